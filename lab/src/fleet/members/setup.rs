//! Setup of processes with membership: operator files, intervals and the shared upstream.

use crate::control::request_once;
use crate::fleet::workload::WARM_UP;
use crate::method::Method;
use crate::setup::{Setup, UpstreamShare};
use crate::time::ms;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// Interval between probes of a member, as in the operator's file below.
pub const PROBE_MS: u64 = 150;
/// Time from the suspicion of a member until it counts as failed.
pub const SUSPICION_MS: u64 = 900;
/// Interval between announcements to a contact.
pub const ANNOUNCE_MS: u64 = 500;
/// Time from the join of a member until it counts as a member.
pub const JOIN_DELAY_MS: u64 = 1_000;
/// Operator's file of a process without membership.
pub const FILE_WITHOUT_MEMBERS: &str = "[changes]\ncontrol {dir}/control\nstate {dir}/state\n";
const FILE_WITH_MEMBERS: &str =
    "[changes]\ncontrol {dir}/control\nstate {dir}/state\n[members]\ncluster lab\nlisten {own}\n\
    advertise {relay}\nkey-file {password}\n{contacts}probe 150ms\nsuspicion 900ms\ngreet 500ms\nsettle 1s\n";
/// Concurrent calls to the upstream, for each process.
pub const UPSTREAM_CALLS_PER_NODE: f64 = 2.5;
/// Time that the upstream takes for a call.
pub const UPSTREAM_CALL_TIME: Duration = ms(150);
const CORES: usize = 2;
const ANSWER_TIMEOUT: Duration = ms(6_000);

/// Returns the operator's file of a process that expects this many members.
pub fn operator_file(nodes: usize) -> String {
    format!("{FILE_WITH_MEMBERS}expect {nodes}\n")
}

/// Returns the setup of a process that expects this many members and shares the upstream with them.
pub fn member_setup(methods: &[Method], nodes: usize) -> Setup {
    Setup {
        memory_mb: 64,
        sockets: 512,
        stop_ms: 1_500,
        operator_file: Some(operator_file(nodes)),
        warm_up: WARM_UP,
        skip_value: 0.5,
        shared_upstream: Some(UpstreamShare {
            calls: UPSTREAM_CALLS_PER_NODE,
            replicas: nodes,
            linger: UPSTREAM_CALL_TIME,
        }),
        ..Setup::new(methods, CORES)
    }
}

/// Sends a request to the control socket in the directory of a process and returns the answer, if there is one.
pub fn request(dir: &Path, request: Value) -> Option<Value> {
    request_within(dir, request, ANSWER_TIMEOUT)
}

/// Sends a request like [`request`], with this timeout for the answer.
pub fn request_within(dir: &Path, request: Value, timeout: Duration) -> Option<Value> {
    request_once(&dir.join("control"), request, timeout).ok()
}
