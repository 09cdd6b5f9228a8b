//! Ids, times and the result handed back. No decision is taken here.

use std::fmt;

/// A moment or a span in whole microseconds. The clock has no particular start.
pub type Us = u64;

/// The name of one RPC: up to 36 bytes, given back as it came.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RpcId([u8; 36]);

impl RpcId {
    /// Takes a name of at most 36 bytes; a longer one is refused.
    pub fn new(name: &str) -> Option<RpcId> {
        let mut bytes = [0; 36];
        bytes.get_mut(..name.len())?.copy_from_slice(name.as_bytes());
        Some(RpcId(bytes))
    }

    /// Before all others, and after them.
    pub const MIN: RpcId = RpcId([0; 36]);
    pub const MAX: RpcId = RpcId([0xff; 36]);

    /// The name of 16 hex digits that stands for a number.
    pub fn from_number(number: u64) -> RpcId {
        let mut bytes = [0; 36];
        for (i, byte) in bytes.iter_mut().take(16).enumerate() {
            *byte = b"0123456789abcdef"[(number >> (60 - 4 * i) & 15) as usize];
        }
        RpcId(bytes)
    }

    /// The name as it came.
    pub fn as_str(&self) -> &str {
        let end = self.0.iter().position(|b| *b == 0).unwrap_or(36);
        std::str::from_utf8(&self.0[..end]).unwrap_or("")
    }
}

impl fmt::Debug for RpcId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A method's place in the list given at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MethodId(pub usize);

/// A caller's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Whether an RPC of a method may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run again.
    Idempotent,
    /// It carries a mark by which a repeat is known; one run within its window.
    Keyed,
    /// It must never run twice.
    NonIdempotent,
}

/// What stopping does to running work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// Running work can't be stopped.
    Off,
    /// What was done is lost.
    Abort,
    /// Progress and memory are kept.
    Suspend,
}

/// What lies below this server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Upstream {
    /// Nothing.
    Absent,
    /// One dependency of all servers: our share of the calls it survives, as a mean over the window.
    Shared { share: f64, window: Us },
    /// A tier of servers that run the same decisions; no share is told.
    Tier,
}

/// What callers make of the number published to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedbackMode {
    /// Nothing may be published.
    Off,
    /// RPCs each caller may have outstanding here.
    Credit,
    /// Callers send nothing whose rank is below it.
    Threshold,
    /// The chance, 0 to 1, that a caller does not pass this server over.
    AcceptProbability,
}

/// One method as the operators describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    /// An answer within this time of the client's first try earns everything.
    pub latency_target: Us,
    /// A client's whole waiting time.
    pub deadline: Us,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// What an ok answer is worth.
    pub criticality: f64,
    /// The share of it that an answer after the latency target earns.
    pub late_value_ratio: f64,
    /// For tokened methods: how long after its arrival a repeat may come.
    pub idempotency_window: Us,
    /// The share of criticality earned when a call below is skipped; 0 where that is not allowed.
    pub skip_value_ratio: f64,
}

/// One RPC as it was read.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: RpcId,
    pub method: MethodId,
    pub caller: CallerId,
    /// When its caller gives up, where that is sent.
    pub deadline: Option<Us>,
    /// Memory taken while held.
    pub size_kb: f64,
    /// How long it lay unread here.
    pub unread_for: Us,
    /// A further try or a second copy, where such are marked.
    pub retry_or_hedge: bool,
    /// The kept RPC that this one repeats.
    pub original: Option<RpcId>,
    /// Its subject, where told.
    pub cache_key: Option<u64>,
}

/// Where an RPC stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Held,
    /// Waits for the one that it repeats.
    Joined,
    Running,
    /// Off the cores, waiting for leave to call.
    AtCall,
    Calling,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Ok,
    Aborted,
    /// Stopped, or ended at a call after its answer or its caller's leaving.
    Stopped,
    /// It was over before it began.
    NotStarted,
}

/// How a call below ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Ok,
    /// It failed or was cut off and may have taken effect.
    Aborted,
    /// Abandoned for time; it may have taken effect and lingers below.
    TimedOut,
    /// It surely never ran.
    Rejected,
}

/// The server's own readings, each 0 or more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// All that wants a core now.
    pub runnable: Option<f64>,
    /// Share of memory in use.
    pub memory_ratio: Option<f64>,
    /// Connections open.
    pub connections: Option<f64>,
}

/// A final answer given by the module itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Never run here; the caller may be asked not to go on elsewhere, and when to come back here.
    Rejected { terminal: bool, retry_after: Us },
    /// An error without any assurance.
    Aborted,
}

/// A final answer as it goes to whoever asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer<'a> {
    /// With the result of its run.
    Ok(&'a [u8]),
    /// Never run here; whether the caller is asked not to go on elsewhere, and when to come back here.
    Rejected { terminal: bool, retry_after: Us },
    /// An error without any assurance.
    Aborted,
}

/// What serving an RPC of a method takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedCost {
    pub method: MethodId,
    /// Mean serving time in microseconds.
    pub mean: f64,
    /// Runs that this rests on.
    pub runs: f64,
}

/// How full the account of a caller is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedBalance {
    pub caller: CallerId,
    /// Of its limit, 0 to 1.
    pub ratio: f64,
}

/// By how much a tenant may still exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedAllowance {
    /// The place of the tenant in the list given at start.
    pub tenant: usize,
    /// RPCs above its quota.
    pub rpcs: f64,
}

/// What a server has learned by serving, to be kept over a restart, or what of it is to be recalled after one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// What serving an RPC of a method takes, in microseconds, and the runs that this rests on.
    pub costs: Vec<LearnedCost>,
    /// RPCs that run at a time.
    pub concurrency_target: Option<f64>,
    /// Serving times over what is learned.
    pub slowdown: Option<f64>,
    /// Calls below that failed in a row.
    pub call_failures: u32,
    /// Callers, the one heard last first, with the share of its account that each has, 0 to 1.
    pub accounts: Vec<LearnedBalance>,
    /// Of tenants, the RPCs by which each may still exceed its share.
    pub tenants: Vec<LearnedAllowance>,
    /// How long ago that was.
    pub age: Us,
}

/// How carefully a server comes back: off unless it is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryLimits {
    /// Calls below in hand at the most, besides what the settings allow; endless for no more than that.
    pub calls_in_flight: f64,
    /// Repeats of calls for each call made first, over ten seconds; endless for no bound.
    pub retry_ratio: f64,
    /// Share of a time to come back by which it may be longer, drawn for each; 0 for none.
    pub retry_after_jitter: f64,
}

/// Where a server stands, as far as its decisions show.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    pub slowdown: f64,
    /// The crowd that a warm server survives is allowed.
    pub warm: bool,
    /// The breaker holds calls back.
    pub breaker_open: bool,
    /// Work has stopped finishing.
    pub stalled: bool,
    /// Calls below in hand that the settings allow; endless where they don't bound them.
    pub call_limit: f64,
    /// Calls below in hand, and RPCs that wait for leave to call.
    pub calls_in_flight: usize,
    pub waiting_to_call: usize,
}

/// What is to be done, in this order of lists.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Final answers.
    pub answers: Vec<(RpcId, Answer)>,
    /// Running work to stop; comes after the answers, so that what is answered ends for good.
    pub cancellations: Vec<RpcId>,
    /// Keys to keep, and for how long.
    pub retained_keys: Vec<(RpcId, Us)>,
    /// Keys to let go; comes after the keeping, as an RPC may be taken and given up at once.
    pub released_keys: Vec<RpcId>,
    /// Held RPCs to serve from the one they repeat.
    pub coalesced: Vec<RpcId>,
    /// Held RPCs to start.
    pub starts: Vec<RpcId>,
    /// Calls to place below, each with its time-out.
    pub calls: Vec<(RpcId, Us)>,
    /// Calls to leave out.
    pub skipped_calls: Vec<RpcId>,
    /// The number to publish.
    pub credit: Option<f64>,
    /// The answer to health checks from now on, given from store.
    pub healthy: Option<bool>,
    /// Connections idle for this long are to be closed.
    pub close_idle_after: Option<Us>,
    /// Span after which to wake the module, besides the wakes asked for before.
    pub wake_after: Option<Us>,
    /// Lines for the operators' log.
    pub log: Vec<String>,
}
