//! How callers behave, and where they find backends.

use crate::load::MethodLoad;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How callers behave.
#[derive(Clone)]
pub struct CallerProfile {
    /// The methods that they call.
    pub methods: Vec<MethodLoad>,
    /// Methods that must not be retried once they may have run.
    pub unsafe_to_retry: Vec<&'static str>,
    /// Callers.
    pub callers: usize,
    /// RPCs a second, of all.
    pub rate: f64,
    /// Of 1, the part of callers that ignores what backends advertise.
    pub ignoring_share: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Where backends are: by name, the number and the address.
#[derive(Clone)]
pub struct BackendAddresses {
    /// By the name in the name service.
    pub by_name: Arc<BTreeMap<String, (usize, SocketAddr)>>,
}
