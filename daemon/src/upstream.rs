//! Selection of upstream links for calls, and retirement of links.

use crate::outbound::Outbound;
use asterrill_engine::UpstreamLinkId;
use std::cmp::Reverse;

/// State of a link that is relevant to the placement of calls.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    calls_in_flight: usize,
    /// The sequence number of the last call placed on it.
    last_call: u64,
    /// Whether it has ended and waits for the end of its backoff.
    backing_off: bool,
    /// Whether it takes no more calls, and is closed once its calls have ended.
    retired: bool,
    closing: bool,
}

/// Links to the upstream tier.
///
/// A call has a link of its own while there are enough, so that a reply that breaks the link affects no other call. The
/// next call of the same RPC uses another link, so that a late or duplicate reply can't be mistaken for the reply to
/// that call. Among idle links the most recently used one is preferred, so that the others may be closed.
pub struct UpstreamLinks {
    links: Vec<LinkState>,
    calls_placed: u64,
}

impl UpstreamLinks {
    /// Creates `count` links, all usable.
    pub fn new(count: usize) -> UpstreamLinks {
        UpstreamLinks { links: vec![LinkState::default(); count], calls_placed: 0 }
    }

    /// Returns the link for a call of an RPC whose previous call used the link `previous`.
    ///
    /// The result is never `previous` itself, because a duplicate reply may still arrive there. Returns `None` if no
    /// other link is usable at present.
    pub fn select(&self, previous: Option<UpstreamLinkId>) -> Option<UpstreamLinkId> {
        let links = self.links.iter().enumerate().map(|(index, link)| (UpstreamLinkId(index), link));
        let usable = links.filter(|(id, link)| !link.closing && !link.retired && Some(*id) != previous);
        let preference = |(_, link): &(UpstreamLinkId, &LinkState)| {
            (link.backing_off, link.calls_in_flight, Reverse(link.last_call))
        };
        usable.min_by_key(preference).map(|(id, _)| id)
    }

    /// Records that a call was sent on this link.
    pub fn call_placed(&mut self, id: UpstreamLinkId) {
        self.calls_placed += 1;
        if let Some(link) = self.links.get_mut(id.0) {
            link.calls_in_flight += 1;
            link.last_call = self.calls_placed;
        }
    }

    /// Records that a call on this link has ended. A link is retired if its reply is `late`.
    ///
    /// No other function decrements the number of calls in flight.
    pub fn call_finished(&mut self, id: UpstreamLinkId, late: bool, outbound: &mut dyn Outbound) {
        let Some(link) = self.links.get_mut(id.0) else { return };
        link.calls_in_flight = link.calls_in_flight.saturating_sub(1);
        link.retired |= late;
        if link.retired {
            self.retire(id, outbound);
        }
    }

    /// Records that a link has ended. It backs off, and the caller ends its calls next.
    pub fn disconnected(&mut self, id: UpstreamLinkId) {
        if let Some(link) = self.links.get_mut(id.0) {
            link.backing_off = true;
            link.retired = true;
            link.closing = false;
        }
    }

    /// Records that all calls of an ended link have been ended.
    pub fn calls_drained(&mut self, id: UpstreamLinkId) {
        if let Some(link) = self.links.get_mut(id.0) {
            link.retired = false;
        }
    }

    /// Records that the backoff of a link has ended.
    pub fn backoff_ended(&mut self, id: UpstreamLinkId) {
        if let Some(link) = self.links.get_mut(id.0) {
            link.backing_off = false;
        }
    }

    /// Retires a link because it is idle or a reply on it is late. Its calls in flight continue.
    pub fn retire(&mut self, id: UpstreamLinkId, outbound: &mut dyn Outbound) {
        let Some(link) = self.links.get_mut(id.0).filter(|link| !link.closing && !link.backing_off) else {
            return;
        };
        link.closing = link.calls_in_flight == 0 && outbound.close_upstream_link(id);
        link.retired = link.calls_in_flight > 0;
    }

    /// Retires all links after a change of the upstream address. Calls in flight may still complete at the old address.
    pub fn retire_all(&mut self, outbound: &mut dyn Outbound) {
        for index in 0..self.links.len() {
            self.retire(UpstreamLinkId(index), outbound);
        }
    }

    /// Reports whether calls are in flight on this link.
    pub fn has_calls(&self, id: UpstreamLinkId) -> bool {
        self.links.get(id.0).is_some_and(|link| link.calls_in_flight > 0)
    }
}
