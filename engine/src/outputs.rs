//! What the engine hands back to its surroundings.

use asterrill::{FinalAnswer, MethodId, RpcId, Us};

/// A link to the upstream tier, as the owner of the links numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamLinkId(pub usize);

/// An RPC that was answered, well or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredRpc {
    /// Its method.
    pub method: MethodId,
    /// The time from its arrival, reading included, to its answer, in microseconds.
    pub latency: Us,
    /// Whether an upstream call of it has failed or timed out.
    pub upstream_failed: bool,
}

/// What the engine asks of its surroundings. Each is carried out at once; nothing here may wait.
pub trait Outputs<ReplyTo> {
    /// Sends the one final answer to an RPC. `credit` is the number published to callers, where there is one; `served`
    /// is none for an RPC that never entered the table.
    fn answer(
        &mut self, to: ReplyTo, answer: FinalAnswer<'_>, credit: Option<f64>, served: Option<AnsweredRpc>,
    );
    /// An RPC left the table: no answer is due and nothing runs. Its id may be used again.
    fn closed(&mut self, id: RpcId);
    /// Starts the run of an RPC.
    fn launch(&mut self, reply_to: ReplyTo, id: RpcId, method: MethodId, body: &[u8]);
    /// Stops a run; it still ends by [`crate::Engine::run_ended`].
    fn stop(&mut self, id: RpcId);
    /// Gives a run the reply to the call that it waits for.
    fn resume(&mut self, id: RpcId, reply: &[u8]);
    /// Lets a run go on without the call that it waits for.
    fn skip(&mut self, id: RpcId);
    /// A run made for this requester has ended, ok or aborted.
    fn run_completed(&mut self, reply_to: ReplyTo);
    /// Asks for the gauges; [`crate::Engine::gauges_sampled`] brings them.
    fn request_gauges(&mut self);
    /// Sends an upstream call that is waited for `timeout` microseconds. `previous` is the link of the RPC's call
    /// before. Returns the link that it was sent on; none if it was surely not sent.
    fn send_call(
        &mut self, previous: Option<UpstreamLinkId>, id: RpcId, timeout: Us, body: &[u8],
    ) -> Option<UpstreamLinkId>;
    /// Nobody waits for this call any more.
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId);
    /// One call fewer is in flight on this link; `late` if its reply did not come in time.
    fn call_finished(&mut self, link: UpstreamLinkId, late: bool);
    /// Sets the answer to health checks.
    fn set_health(&mut self, healthy: bool);
    /// Connections idle for this long, in microseconds, are to be closed; 0 once callers are to leave for good.
    fn close_idle(&mut self, idle_time: Us);
    /// Writes a line to the operators' log.
    fn log(&mut self, line: &str);
}
