//! Selection of upstream links for calls, and retirement of links.

use crate::outbound::Outbound;
use asterrill_engine::{UpstreamConnectionId, UpstreamLinkId};
use std::cmp::Reverse;

/// State of a link that is relevant to the placement of calls.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    /// The number of its current or next connection.
    connection: u64,
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
/// A call has a link of its own while there are enough, so that a reply that breaks the link affects no other call. All
/// calls of one RPC use different connections: replies name only the RPC, so that a late or duplicate reply could be
/// mistaken for the reply to a later call on the same connection. Among idle links the most recently used one is
/// preferred, so that the others may be closed.
pub struct UpstreamLinks {
    links: Vec<LinkState>,
    calls_placed: u64,
}

impl UpstreamLinks {
    /// Creates `count` links, all usable.
    pub fn new(count: usize) -> UpstreamLinks {
        UpstreamLinks { links: vec![LinkState::default(); count], calls_placed: 0 }
    }

    /// Returns the connection for a call of an RPC whose earlier calls used the connections in `used`.
    ///
    /// The result is never one of these. Returns `None` if no other connection is usable at present.
    pub fn select(&self, used: &[UpstreamConnectionId]) -> Option<UpstreamConnectionId> {
        let preference = |(_, link): &(UpstreamConnectionId, &LinkState)| {
            (link.backing_off, link.calls_in_flight, Reverse(link.last_call))
        };
        self.usable(used).min_by_key(preference).map(|(connection, _)| connection)
    }

    /// Returns the connections on which an RPC can be called whose earlier calls used the connections in `used`.
    fn usable<'a>(
        &'a self, used: &'a [UpstreamConnectionId],
    ) -> impl Iterator<Item = (UpstreamConnectionId, &'a LinkState)> {
        let connections = self.links.iter().enumerate().map(|(index, link)| {
            (UpstreamConnectionId { link: UpstreamLinkId(index), connection: link.connection }, link)
        });
        connections.filter(|(connection, link)| !link.closing && !link.retired && !used.contains(connection))
    }

    /// Removes the connections that have ended.
    pub fn remove_ended(&self, used: &mut Vec<UpstreamConnectionId>) {
        used.retain(|connection| self.is_current(*connection));
    }

    fn is_current(&self, connection: UpstreamConnectionId) -> bool {
        self.links.get(connection.link.0).is_some_and(|link| link.connection == connection.connection)
    }

    /// Retires the link of the earliest of these connections, used by one RPC, if no other connection is left for its
    /// next call. Links without calls in flight are preferred, as they are connected again at once.
    pub fn renew_used(&mut self, used: &[UpstreamConnectionId], outbound: &mut dyn Outbound) {
        if self.usable(used).next().is_some() {
            return;
        }
        let links = used.iter().map(|connection| connection.link);
        if let Some(link) = links.min_by_key(|link| self.has_calls(*link)) {
            self.retire(link, outbound);
        }
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
            link.connection += 1;
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
