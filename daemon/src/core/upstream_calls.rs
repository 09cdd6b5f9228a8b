//! Replies of the upstream tier, and the links over which calls are sent.

use super::state::Core;
use crate::outbound::Outbound;
use asterrill::{CallEnd, RpcId, Us};
use asterrill_engine::UpstreamLinkId;

impl Core {
    /// Handles the reply to a call.
    pub fn call_ended(
        &mut self, now: Us, link: UpstreamLinkId, id: RpcId, end: CallEnd, reply: &[u8],
        outbound: &mut dyn Outbound,
    ) {
        self.with_engine(now, outbound, |engine, now, outputs| {
            engine.call_ended(now, link, id, end, reply, outputs)
        });
    }

    /// Handles the end of a link and ends all calls on it. If `refused` is set, none of them had any effect.
    pub fn link_ended(&mut self, now: Us, link: UpstreamLinkId, refused: bool, outbound: &mut dyn Outbound) {
        let end = if refused { CallEnd::Rejected } else { CallEnd::Aborted };
        let had_calls = self.state.upstream_links.has_calls(link);
        self.state.upstream_links.disconnected(link);
        if had_calls {
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.upstream_link_ended(now, link, end, outputs)
            });
        }
        self.state.upstream_links.calls_drained(link);
    }

    /// Handles the end of a link's backoff, after which it may be connected again.
    pub fn link_backoff_ended(&mut self, link: UpstreamLinkId) {
        self.state.upstream_links.backoff_ended(link);
    }

    /// Stops using a link for new calls; its calls in flight continue.
    pub fn retire_link(&mut self, link: UpstreamLinkId, outbound: &mut dyn Outbound) {
        self.state.upstream_links.retire(link, outbound);
    }

    /// Retires all links after a change of the upstream address. Calls in flight may still complete at the old address.
    pub fn upstream_address_changed(&mut self, outbound: &mut dyn Outbound) {
        self.state.upstream_links.retire_all(outbound);
    }

    /// Reports whether calls are in flight on a link.
    pub fn link_has_calls(&self, link: UpstreamLinkId) -> bool {
        self.state.upstream_links.has_calls(link)
    }
}
