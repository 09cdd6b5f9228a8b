//! Methods as the operators configure them, and the changes that may be staged for methods and tenants.

use crate::ids::{MethodId, Us};

/// Whether an RPC of a method may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// It carries an idempotency key: of all attempts with that key within the method's window, one runs.
    Keyed,
    /// It must never run twice.
    NonIdempotent,
}

/// What cancelling a running RPC does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// Running RPCs can't be cancelled.
    Off,
    /// The work done so far is lost.
    Abort,
    /// Progress and memory are retained.
    Suspend,
}

/// One method as the operators describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    /// Latency objective, from the client's first attempt: an ok answer within it earns the whole criticality.
    pub latency_target: Us,
    /// How long a client waits for an answer altogether.
    pub deadline: Us,
    /// Whether an RPC may run again.
    pub idempotency: Idempotency,
    /// Priority weight: what an ok answer in time is worth, 0 or more.
    pub criticality: f64,
    /// Fraction of the criticality, 0 to 1, that an ok answer after the latency target earns.
    pub late_value_ratio: f64,
    /// For keyed methods: how long after its arrival another attempt with the same key may come.
    pub idempotency_window: Us,
    /// Fraction of the criticality, 0 to 1, earned when an upstream call is skipped; 0 where skipping is not
    /// allowed.
    pub skip_value_ratio: f64,
}

/// A change to one method or tenant, staged to come into force at the next commit.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsUpdate {
    /// A method's settings; `None` removes it.
    Method(MethodId, Option<Method>),
    /// The quota of the tenant with this index, in RPCs per second over the whole fleet, 0 or more; `None`
    /// removes it.
    Tenant(usize, Option<f64>),
}
