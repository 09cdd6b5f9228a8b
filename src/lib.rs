//! Admission and scheduling decisions for servers behind load balancers that they don't control.
//!
//! A server keeps one [`Control`] and calls one of its methods for each event: an RPC was read, its caller left, a run
//! ended, an upstream call is needed or has ended, a shutdown notice was received, a timer fired. Each method returns
//! an [`Outcome`]: the RPCs to answer, cancel and start, the calls to make and the values to publish, to be carried out
//! in the order of its lists. The crate performs no I/O, reads no clock and has no shared state; the same inputs with
//! the same seed give the same outcomes.
//!
//! `docs/design.md` describes the algorithm, the published design that it is based on, and its deviations from it.
#![warn(missing_docs)]

mod admission_queue;
mod caller_accounts;
mod caller_feedback;
mod concurrency_limit;
mod control;
mod core_usage;
mod cost_estimate;
mod decaying_sum;
mod drain;
mod events;
mod idempotency_keys;
mod ids;
mod learned_state;
mod max_tree;
mod memory_budget;
mod method;
mod outcome;
mod ranked_table;
mod rpc;
mod staged_table;
mod status;
mod tenant_quotas;
#[cfg(test)]
mod tests;
mod tuning;
mod upstream_calls;

pub use caller_accounts::CallerAccounts;
pub use caller_feedback::{CallerFeedback, FeedbackMode};
pub use concurrency_limit::ConcurrencyLimit;
pub use control::{Control, ControlParts};
pub use drain::Drain;
pub use events::{Arrival, CallEnd, Gauges, RunEnd};
pub use idempotency_keys::IdempotencyKeys;
pub use ids::{Caller, CallerId, MethodId, RpcId, Us};
pub use learned_state::{LearnedAllowance, LearnedBalance, LearnedCost, LearnedState};
pub use memory_budget::MemoryBudget;
pub use method::{Idempotency, Method, SettingsUpdate, StopMode};
pub use outcome::{Answer, CallRequest, FinalAnswer, KeyRetention, Outcome, Reply};
pub use staged_table::StagedTable;
pub use status::{RecoveryLimits, Status};
pub use tenant_quotas::TenantQuotas;
pub use upstream_calls::{Upstream, UpstreamCalls};
