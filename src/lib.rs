//! Admission and scheduling decisions for servers that sit behind other people's balancers.
//!
//! A server keeps one [`Control`] and calls one method for each thing that happens to it: an RPC was
//! read, its caller left, a run ended, a call below is needed or has ended, the notice to leave came, a
//! wake fell due. Each returns an [`Outcome`]: what to answer, stop, run, call and publish, in the
//! order of its lists. The module does no input or output, reads no clock and shares nothing.
//!
//! The mechanism, what it keeps of its source and where it departs from it: `docs/design.md`.

mod control;
mod peak;
mod terms;
#[cfg(test)]
mod tests;
mod types;

pub use control::{
    AdmissionQueue, CallerAccounts, CallerFeedback, ConcurrencyLimit, Control, Drain, IdempotencyKeys,
    MemoryBudget, TenantQuotas, UpstreamCalls,
};
pub use terms::{SettingsUpdate, StagedTable};
pub use types::*;
