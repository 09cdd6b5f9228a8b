//! Processes that know each other: their files, intervals and promises.

use crate::control::request_once;
use crate::fleet::workload::WARM_UP;
use crate::method::Method;
use crate::setup::{Setup, UpstreamShare};
use crate::time::ms;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// Milliseconds between two probes of a member, as in the operator's file below.
pub const PROBE_MS: u64 = 150;
/// Milliseconds from a suspicion to a failure.
pub const SUSPICION_MS: u64 = 900;
/// Milliseconds between two greetings of a contact.
pub const GREET_MS: u64 = 500;
/// Milliseconds until a newcomer counts.
pub const SETTLE_MS: u64 = 1_000;
/// The operator's file of a process that knows nobody.
pub const FILE_WITHOUT_MEMBERS: &str = "[changes]\ncontrol {dir}/control\nstate {dir}/state\n";
const FILE_WITH_MEMBERS: &str =
    "[changes]\ncontrol {dir}/control\nstate {dir}/state\n[members]\ncluster lab\nlisten {own}\n\
    advertise {relay}\nkey-file {password}\n{contacts}probe 150ms\nsuspicion 900ms\ngreet 500ms\nsettle 1s\n";
/// Calls to the upstream at a time, of each process.
pub const CALLS_EACH: f64 = 2.5;
/// How long each call takes.
pub const CALL: Duration = ms(150);
const CORES: usize = 2;
const ANSWER_TIMEOUT: Duration = ms(6_000);

/// The operator's file of a process that expects so many members.
pub fn operator_file(nodes: usize) -> String {
    format!("{FILE_WITH_MEMBERS}expect {nodes}\n")
}

/// A process that expects so many members, and has its part of the upstream that they share.
pub fn member_setup(methods: &[Method], nodes: usize) -> Setup {
    Setup {
        memory_mb: 64,
        sockets: 512,
        stop_ms: 1_500,
        operator_file: Some(operator_file(nodes)),
        warm_up: WARM_UP,
        skip_value: 0.5,
        shared_upstream: Some(UpstreamShare { calls: CALLS_EACH, replicas: nodes, linger: CALL }),
        ..Setup::new(methods, CORES)
    }
}

/// Sends a request to the control socket of a process, by its directory; none without an answer.
pub fn request(dir: &Path, request: Value) -> Option<Value> {
    request_within(dir, request, ANSWER_TIMEOUT)
}

/// The same with a time for the answer.
pub fn request_within(dir: &Path, request: Value, timeout: Duration) -> Option<Value> {
    request_once(&dir.join("control"), request, timeout).ok()
}
