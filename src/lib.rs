//! Admission and scheduling decisions for servers that sit behind other people's balancers.
//!
//! A server keeps one [`Control`] and calls one method for each thing that happens to it: an RPC was read, its caller
//! left, a run ended, an upstream call is needed or has ended, the notice to shut down came, a timer fired. Each
//! returns an [`Outcome`]: what to answer, cancel, start, call and publish, in the order of its lists. The module
//! does no input or output, reads no clock and shares nothing; the same inputs with the same seed give the same
//! outcomes.
//!
//! The mechanism, what it takes from its source and where it departs from it: `docs/design.md`.
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
pub use ids::{CallerId, MethodId, RpcId, Us};
pub use learned_state::{LearnedAllowance, LearnedBalance, LearnedCost, LearnedState};
pub use memory_budget::MemoryBudget;
pub use method::{Idempotency, Method, SettingsUpdate, StopMode};
pub use outcome::{Answer, CallRequest, FinalAnswer, KeyRetention, Outcome, Reply};
pub use staged_table::StagedTable;
pub use status::{RecoveryLimits, Status};
pub use tenant_quotas::TenantQuotas;
pub use upstream_calls::{Upstream, UpstreamCalls};
