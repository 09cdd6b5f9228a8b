//! Fleets without gossip and without a shared upstream, for short scenarios.

use super::cluster::{Fleet, FleetConfig};
use super::workload::{COLD_START, WARM_UP};
use crate::method::Method;
use crate::report::ScenarioError;
use crate::setup::Setup;
use crate::time::ms;
use std::time::Duration;

const CORES: usize = 2;
const UPSTREAM_SLOTS: usize = 400;

/// Returns the setup of a member with two cores.
pub(super) fn member_setup(methods: &[Method], sockets: u64, callers: usize) -> Setup {
    Setup {
        memory_mb: 64,
        sockets,
        stop_ms: 1_500,
        warm_up: WARM_UP,
        skip_value: 0.5,
        callers,
        ..Setup::new(methods, CORES)
    }
}

/// Starts a fleet of members with this setup.
pub(super) fn start_fleet(nodes: usize, setup: Setup) -> Result<Fleet, ScenarioError> {
    let upstream_call_time: Duration = ms(10);
    Fleet::start(&FleetConfig {
        nodes,
        setup,
        cold_start: COLD_START,
        upstream_slots: UPSTREAM_SLOTS,
        upstream_call_time,
        network_seed: None,
    })
}
