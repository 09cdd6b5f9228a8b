//! Settings of methods, and the changes that can be staged for methods and tenants.

use crate::ids::{MethodId, Us};

/// Rule for how often an RPC of a method may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The RPC may run more than once without harm.
    Idempotent,
    /// The RPC carries an idempotency key: of all attempts with that key within the method's window, only one runs.
    Keyed,
    /// The RPC must never run twice.
    NonIdempotent,
}

/// The effect of cancelling a running RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// Running RPCs can't be cancelled.
    Off,
    /// The work done so far is lost.
    Abort,
    /// Progress and memory are retained.
    Suspend,
}

/// The settings of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    /// Latency objective, counted from the client's first attempt. A successful answer within it earns the full
    /// criticality.
    pub latency_target: Us,
    /// Total time for which a client waits for an answer.
    pub deadline: Us,
    /// Rule for how often an RPC may run.
    pub idempotency: Idempotency,
    /// Priority weight: the value of a successful answer within the latency target, 0 or more.
    pub criticality: f64,
    /// Fraction of the criticality, 0 to 1, that a successful answer after the latency target earns.
    pub late_value_ratio: f64,
    /// For keyed methods, the time after an RPC's arrival within which another attempt with the same key may arrive.
    pub idempotency_window: Us,
    /// Fraction of the criticality, 0 to 1, that a successful answer earns when its upstream call was skipped; 0 if
    /// the call must not be skipped.
    pub skip_value_ratio: f64,
}

/// A change to one method or tenant, which is staged and takes effect at the next commit.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsUpdate {
    /// The settings of a method; `None` removes the method.
    Method(MethodId, Option<Method>),
    /// The quota of the tenant with this index, in RPCs per second over the whole fleet, 0 or more; `None` removes
    /// the tenant.
    Tenant(usize, Option<f64>),
}
