//! The links to the layer below, as far as calls go by them: which one the next call takes, and when one is not
//! used again.

use crate::wire::{LinkId, Wire};
use asterrill_engine::UpstreamLinkId;

/// A link below as far as calls go. A call has one to itself while there are enough: a reply that spoils its
/// link takes no other call with it. The next call of the same RPC goes by another, so that a late reply, or
/// a second copy, can't pass for the reply to that.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamLink {
    calls: usize,
    /// Counts the calls placed: of free links the one used last is taken, and the others may go.
    last: u64,
    /// Pauses after its end.
    resting: bool,
    /// Is not used again as it stands: closed once its calls have ended.
    old: bool,
    closing: bool,
}

pub struct UpstreamLinks {
    links: Vec<UpstreamLink>,
    placed: u64,
}

impl UpstreamLinks {
    pub fn new(links: usize) -> UpstreamLinks {
        UpstreamLinks { links: vec![UpstreamLink::default(); links], placed: 0 }
    }

    /// The link for a call of an RPC whose last one went by `last`: never that one again, as a second copy of the
    /// reply may still come there. None where there is no other just now.
    pub fn pick(&self, last: Option<UpstreamLinkId>) -> Option<LinkId> {
        let links = self.links.iter().enumerate().map(|(i, link)| (LinkId(i), link));
        let another = |id: &LinkId| Some(UpstreamLinkId(id.0)) != last;
        let usable = links.filter(|(id, link)| !link.closing && !link.old && another(id));
        let order =
            |(_, link): &(LinkId, &UpstreamLink)| (link.resting, link.calls, std::cmp::Reverse(link.last));
        usable.min_by_key(order).map(|(id, _)| id)
    }

    /// A call went by this link.
    pub fn placed(&mut self, by: LinkId) {
        self.placed += 1;
        let placed = self.placed;
        let link = self.links.iter_mut().skip(by.0).take(1);
        link.for_each(|link| (link.calls, link.last) = (link.calls + 1, placed));
    }

    /// The one place where a call leaves its link. One whose reply did not come in time is not used again.
    pub fn off(&mut self, by: LinkId, late: bool, wire: &mut dyn Wire) {
        let Some(link) = self.links.get_mut(by.0) else { return };
        link.calls = link.calls.saturating_sub(1);
        link.old |= late;
        if link.old {
            self.retire(by, wire);
        }
    }

    /// A link has ended: it rests, and its calls are about to end.
    pub fn ends(&mut self, by: LinkId) {
        if let Some(link) = self.links.get_mut(by.0) {
            (link.resting, link.old, link.closing) = (true, true, false);
        }
    }
    /// All calls of a link that ended have ended.
    pub fn ended(&mut self, by: LinkId) {
        if let Some(link) = self.links.get_mut(by.0) {
            link.old = false;
        }
    }
    /// A link may be made again.
    pub fn ready(&mut self, by: LinkId) {
        if let Some(link) = self.links.get_mut(by.0) {
            link.resting = false;
        }
    }

    /// A link is not used again as it stands: it idles, or it was left without a reply. Its calls go on.
    pub fn retire(&mut self, by: LinkId, wire: &mut dyn Wire) {
        let Some(link) = self.links.get_mut(by.0).filter(|link| !link.closing && !link.resting) else {
            return;
        };
        link.closing = link.calls == 0 && wire.close_link(by);
        link.old = link.calls > 0;
    }
    /// The layer below is to be found elsewhere. What is in hand may still end where it was.
    pub fn moved(&mut self, wire: &mut dyn Wire) {
        for i in 0..self.links.len() {
            self.retire(LinkId(i), wire);
        }
    }

    /// Calls are in hand on this link.
    pub fn busy(&self, by: LinkId) -> bool {
        self.links.get(by.0).is_some_and(|link| link.calls > 0)
    }
}
