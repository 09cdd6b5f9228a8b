//! Outputs of the engine, which the embedding program carries out.

use asterrill::{FinalAnswer, MethodId, RpcId, Us};

/// Number of a link to the upstream tier, assigned by the owner of the links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamLinkId(pub usize);

/// One connection of a link to the upstream tier, assigned by the owner of the links. The copy of a reply can arrive only
/// on the connection of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamConnectionId {
    /// Link that the connection belongs to.
    pub link: UpstreamLinkId,
    /// Number of the connection among those of its link.
    pub connection: u64,
}

/// RPC that was answered, with any result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredRpc {
    /// Method of the RPC.
    pub method: MethodId,
    /// Time from its arrival, before it was read, to its answer, in microseconds.
    pub latency: Us,
    /// Whether one of its upstream calls has failed or timed out.
    pub upstream_failed: bool,
}

/// Actions that the engine requests. Implementations carry out each action at once and must not block.
pub trait Outputs<ReplyTo> {
    /// Sends the final answer to an RPC. `credit` is the credit published to callers, if there is one; `answered` is
    /// none for an RPC that was never in the table.
    fn answer(
        &mut self, to: ReplyTo, answer: FinalAnswer<'_>, credit: Option<f64>, answered: Option<AnsweredRpc>,
    );
    /// Reports that an RPC was removed from the table: it neither awaits an answer nor runs, and its id may be reused.
    fn closed(&mut self, id: RpcId);
    /// Starts the run of an RPC.
    fn launch(&mut self, reply_to: ReplyTo, id: RpcId, method: MethodId, body: &[u8]);
    /// Stops a run. The end of the run is still reported by [`crate::Engine::run_ended`].
    fn stop(&mut self, id: RpcId);
    /// Resumes a run with the reply to the call that it waits for.
    fn resume(&mut self, id: RpcId, reply: &[u8]);
    /// Resumes a run without the call that it waits for.
    fn skip(&mut self, id: RpcId);
    /// Reports that a run for this requester has ended, either ok or aborted.
    fn run_completed(&mut self, reply_to: ReplyTo);
    /// Requests a sample of the gauges, to be passed to [`crate::Engine::gauges_sampled`].
    fn request_gauges(&mut self);
    /// Sends an upstream call with a timeout in microseconds, on a connection that is not in `used`: those of the earlier
    /// calls of this RPC. Connections that have ended are removed from `used`, and that of this call is added.
    ///
    /// Returns the link that the call was sent on, or none if it is certain that the call was not sent.
    fn send_call(
        &mut self, used: &mut Vec<UpstreamConnectionId>, id: RpcId, timeout: Us, body: &[u8],
    ) -> Option<UpstreamLinkId>;
    /// Cancels a call that no run waits for.
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId);
    /// Reports that a call on this link is no longer in flight. `late` is true if its reply did not arrive in
    /// time.
    fn call_finished(&mut self, link: UpstreamLinkId, late: bool);
    /// Sets the health status that health checks report.
    fn set_health(&mut self, healthy: bool);
    /// Sets the time in microseconds after which idle connections are closed; 0 if callers must
    /// disconnect because the server drains.
    fn close_idle(&mut self, idle_time: Us);
    /// Writes a line to the operators' log.
    fn log(&mut self, line: &str);
}
