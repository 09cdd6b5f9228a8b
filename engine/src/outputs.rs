//! What the engine hands back, and what it stats.

use asterrill::{FinalAnswer, MethodId, RpcId, Us};

/// The way to the layer below that a call goes by, as the layer's owner numbers them; nothing is read into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamLinkId(pub usize);

/// An RPC that was served, well or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Served {
    pub method: MethodId,
    /// From its arrival, reading included, to its answer, in microseconds.
    pub latency: Us,
    /// A call of it below has failed or timed out.
    pub upstream_failed: bool,
}

/// What the engine has done. Each is carried out at once and nothing here waits.
pub trait Outputs<P> {
    /// The one final answer to the RPC that was read at this place. `credit`: the number published to callers,
    /// where there is one; `of`: what is known of the RPC, none of one that could never be run.
    fn answer(&mut self, to: P, answer: FinalAnswer<'_>, credit: Option<f64>, of: Option<Served>);
    /// The RPC is over: nothing is owed, nothing runs. Its id may come again.
    fn closed(&mut self, id: RpcId);
    /// Start the run of the RPC that was read at this place.
    fn launch(&mut self, at: P, id: RpcId, method: MethodId, body: &[u8]);
    /// Stop a run; it still ends by [`crate::Engine::run_ended`].
    fn stop(&mut self, id: RpcId);
    /// The reply to the call that a run waits for.
    fn resume(&mut self, id: RpcId, reply: &[u8]);
    /// A run goes on without the call that it waits for.
    fn skip(&mut self, id: RpcId);
    /// A run was made for the RPC read at this place.
    fn run_completed(&mut self, at: P);
    /// Ask for the gauges: [`crate::Engine::gauges_sampled`] brings them.
    fn request_gauges(&mut self);
    /// Place a call below that is waited for `wait` microseconds. `last`: the way by which the RPC's call before
    /// went. Hands back the way by which it was sent; none if it surely was not.
    fn send_call(
        &mut self, last: Option<UpstreamLinkId>, id: RpcId, wait: Us, body: &[u8],
    ) -> Option<UpstreamLinkId>;
    /// Nobody waits for this call any more.
    fn cancel_call(&mut self, by: UpstreamLinkId, id: RpcId);
    /// One call fewer is in hand on this way; `late` if its reply did not come in time.
    fn call_finished(&mut self, by: UpstreamLinkId, late: bool);
    /// The answer to health checks from now on.
    fn set_health(&mut self, good: bool);
    /// Connections idle for this long, in microseconds, are to be closed; 0 once callers are to leave for good.
    fn close_idle(&mut self, span: Us);
    /// A line for the operators' log.
    fn log(&mut self, line: &str);
}

/// What was read, answered and run since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineStats {
    /// RPCs read, whether they could be taken or not; and of these the ones without a buffer.
    pub requests: u64,
    pub no_buffer: u64,
    /// Final answers, and RPCs whose caller left before its answer.
    pub ok: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub callers_gone: u64,
    /// RPCs that waited for the answer of another, results that had to go before their time, and new tokened RPCs that
    /// there was no room to remember.
    pub coalesced: u64,
    pub results_evicted: u64,
    pub idempotency_keys_full: u64,
    /// Runs started, and how they ended.
    pub runs: u64,
    pub runs_ok: u64,
    pub runs_aborted: u64,
    pub runs_stopped: u64,
    pub runs_not_started: u64,
    /// Calls below, how they ended, and those left out.
    pub calls: u64,
    pub calls_ok: u64,
    pub calls_rejected: u64,
    pub calls_aborted: u64,
    pub calls_timed_out: u64,
    pub calls_skipped: u64,
    /// Wakes of the module, and those of them without gauges.
    pub wakeups: u64,
    pub wakeups_without_gauges: u64,
    /// Ends of runs and needs of calls about RPCs that are over.
    pub stale_events: u64,
    /// Replies from below that no call waited for.
    pub late_replies: u64,
}
