//! Profile of callers, and the addresses of backends.

use crate::load::MethodLoad;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Behaviour of the callers.
#[derive(Clone)]
pub struct CallerProfile {
    /// Methods that they call.
    pub methods: Vec<MethodLoad>,
    /// Methods that must not be retried once they may have run.
    pub unsafe_to_retry: Vec<&'static str>,
    /// Number of callers.
    pub callers: usize,
    /// RPCs per second of all callers together.
    pub rate: f64,
    /// Share (0 to 1) of the callers that ignore the credit and the pauses that backends advertise.
    pub ignoring_share: f64,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Indices and addresses of the backends.
#[derive(Clone)]
pub struct BackendAddresses {
    /// Index and address, by the name in the name service.
    pub by_name: Arc<BTreeMap<String, (usize, SocketAddr)>>,
}
