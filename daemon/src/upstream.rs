//! Selection among the links to the upstream tier: which link the next call takes, and when a link is retired.

use crate::outbound::Outbound;
use asterrill_engine::UpstreamLinkId;
use std::cmp::Reverse;

/// One link, as far as the placing of calls is concerned.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    calls_in_flight: usize,
    /// The serial number of the last call placed on it.
    last_call: u64,
    /// It has ended and waits out its backoff.
    backing_off: bool,
    /// It is not used again as it is: closed once its calls have ended.
    retired: bool,
    closing: bool,
}

/// All links to the upstream tier.
///
/// A call has a link to itself while there are enough: a reply that breaks its link takes no other call with it. The
/// next call of the same RPC takes another link, so that a late or duplicate reply can't pass for the reply to that
/// call. Of idle links the one used last is preferred, so that the others may be closed.
pub struct UpstreamLinks {
    links: Vec<LinkState>,
    calls_placed: u64,
}

impl UpstreamLinks {
    /// As many links as given, all usable.
    pub fn new(count: usize) -> UpstreamLinks {
        UpstreamLinks { links: vec![LinkState::default(); count], calls_placed: 0 }
    }

    /// The link for a call of an RPC whose previous call took `previous`: never that one again, as a duplicate of its
    /// reply may still arrive there. `None` if there is no other at the moment.
    pub fn select(&self, previous: Option<UpstreamLinkId>) -> Option<UpstreamLinkId> {
        let links = self.links.iter().enumerate().map(|(index, link)| (UpstreamLinkId(index), link));
        let usable = links.filter(|(id, link)| !link.closing && !link.retired && Some(*id) != previous);
        let preference = |(_, link): &(UpstreamLinkId, &LinkState)| {
            (link.backing_off, link.calls_in_flight, Reverse(link.last_call))
        };
        usable.min_by_key(preference).map(|(id, _)| id)
    }

    /// A call was sent on this link.
    pub fn call_placed(&mut self, id: UpstreamLinkId) {
        self.calls_placed += 1;
        if let Some(link) = self.links.get_mut(id.0) {
            link.calls_in_flight += 1;
            link.last_call = self.calls_placed;
        }
    }

    /// A call leaves its link; the one place where this is counted. A link whose reply is `late` is retired.
    pub fn call_finished(&mut self, id: UpstreamLinkId, late: bool, outbound: &mut dyn Outbound) {
        let Some(link) = self.links.get_mut(id.0) else { return };
        link.calls_in_flight = link.calls_in_flight.saturating_sub(1);
        link.retired |= late;
        if link.retired {
            self.retire(id, outbound);
        }
    }

    /// A link has ended: it backs off, and its calls are about to be ended.
    pub fn disconnected(&mut self, id: UpstreamLinkId) {
        if let Some(link) = self.links.get_mut(id.0) {
            link.backing_off = true;
            link.retired = true;
            link.closing = false;
        }
    }

    /// All calls of a link that has ended were ended as well.
    pub fn calls_drained(&mut self, id: UpstreamLinkId) {
        if let Some(link) = self.links.get_mut(id.0) {
            link.retired = false;
        }
    }

    /// The backoff of a link is over.
    pub fn backoff_ended(&mut self, id: UpstreamLinkId) {
        if let Some(link) = self.links.get_mut(id.0) {
            link.backing_off = false;
        }
    }

    /// Takes a link out of use, as it is idle or owes a reply. Its calls in flight go on.
    pub fn retire(&mut self, id: UpstreamLinkId, outbound: &mut dyn Outbound) {
        let Some(link) = self.links.get_mut(id.0).filter(|link| !link.closing && !link.backing_off) else {
            return;
        };
        link.closing = link.calls_in_flight == 0 && outbound.close_upstream_link(id);
        link.retired = link.calls_in_flight > 0;
    }

    /// The upstream address has changed: all links are retired. Calls in flight may still end where they were sent.
    pub fn retire_all(&mut self, outbound: &mut dyn Outbound) {
        for index in 0..self.links.len() {
            self.retire(UpstreamLinkId(index), outbound);
        }
    }

    /// Whether calls are in flight on this link.
    pub fn has_calls(&self, id: UpstreamLinkId) -> bool {
        self.links.get(id.0).is_some_and(|link| link.calls_in_flight > 0)
    }
}
