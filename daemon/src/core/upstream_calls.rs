//! Replies of the upstream tier, and the links that its calls go over.

use super::state::Core;
use crate::outbound::Outbound;
use asterrill::{CallEnd, RpcId, Us};
use asterrill_engine::UpstreamLinkId;

impl Core {
    /// A call has ended with a reply.
    pub fn call_ended(
        &mut self, now: Us, link: UpstreamLinkId, id: RpcId, end: CallEnd, reply: &[u8],
        outbound: &mut dyn Outbound,
    ) {
        self.with_engine(now, outbound, |engine, now, outputs| {
            engine.call_ended(now, link, id, end, reply, outputs)
        });
    }

    /// A link has ended with all calls on it. `refused` proves that none of them had any effect.
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

    /// The backoff of a link is over: it may be connected again.
    pub fn link_backoff_ended(&mut self, link: UpstreamLinkId) {
        self.state.upstream_links.backoff_ended(link);
    }

    /// Takes a link out of use; its calls in flight go on.
    pub fn retire_link(&mut self, link: UpstreamLinkId, outbound: &mut dyn Outbound) {
        self.state.upstream_links.retire(link, outbound);
    }

    /// The upstream address has changed. Calls in flight may still end where they were sent.
    pub fn upstream_address_changed(&mut self, outbound: &mut dyn Outbound) {
        self.state.upstream_links.retire_all(outbound);
    }

    /// Whether calls are in flight on a link.
    pub fn link_has_calls(&self, link: UpstreamLinkId) -> bool {
        self.state.upstream_links.has_calls(link)
    }
}
