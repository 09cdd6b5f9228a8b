//! A backend with a control socket, and the checks that all its scenarios share.

use crate::backend::Backend;
use crate::broker::Broker;
use crate::control::{request_once, ANSWER_TIMEOUT};
use crate::load::{sum, LoadStats, MethodStats};
use crate::method::{Method, LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::node::Node;
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use crate::time::ms;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::Duration;

const CORES: usize = 4;
const PREFETCH: u64 = 32;
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// A backend with a control socket.
pub(super) struct ManagedBackend {
    pub(super) backend: Backend,
    pub(super) setup: Setup,
    /// Path of its control socket, in its state directory.
    pub(super) socket: PathBuf,
}

/// Returns the operator's file with the control socket, and with a queue of the given prefetch if there is a broker.
pub(super) fn operator_file(socket: &Path, dir: &Path, broker: Option<(&Broker, u64)>) -> String {
    let (socket, dir) = (socket.display(), dir.display());
    let changes = format!("[changes]\ncontrol {socket}\nstate {dir}\n[log]\nformat json\n");
    let queue = broker.map_or(String::new(), |(broker, prefetch)| {
        let address = broker.address;
        format!(
            "[broker]\naddress {address}\nuser u\npassword-file {{password}}\n[queue stock]\nmethod stock-update\n\
             prefetch {prefetch}\n"
        )
    });
    changes + &queue
}

impl ManagedBackend {
    /// Starts a backend whose cores are 70% busy at 250 RPCs per second; with `thrashes` its cores thrash under
    /// overload.
    pub(super) fn start(seed: u64, thrashes: bool) -> Result<ManagedBackend, ScenarioError> {
        ManagedBackend::start_with(seed, thrashes, None)
    }

    /// Starts such a backend with a queue if there is a broker.
    pub(super) fn start_with(
        seed: u64, thrashes: bool, broker: Option<&Broker>,
    ) -> Result<ManagedBackend, ScenarioError> {
        let dir = std::env::temp_dir().join(format!("asterrill-lab-{}-c{seed}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let socket = dir.join("control");
        std::fs::remove_file(&socket).unwrap_or_default();
        let file = operator_file(&socket, &dir, broker.map(|broker| (broker, PREFETCH)));
        let methods = [
            Method { work: ms(8), calls_upstream: false, ..TILL_PRICE },
            Method { work: ms(10), calls_upstream: true, ..LOOK_UP },
            Method { work: ms(4), ..STOCK_UPDATE },
        ];
        let setup = Setup { operator_file: Some(file), ..Setup::new(&methods, CORES) };
        let password = broker.map_or(String::new(), Broker::password);
        let backend = Backend::start(&setup, &password)?;
        backend.agent.state().thrashes = thrashes;
        Ok(ManagedBackend { backend, setup, socket })
    }

    pub(super) fn node(&self) -> &Node {
        &self.backend.node
    }

    /// Sends a request to the control socket.
    pub(super) fn request(&self, request: Value) -> Result<Value, ScenarioError> {
        request_once(&self.socket, request, ANSWER_TIMEOUT)
    }

    /// Requests the status of the configuration, and the counters.
    pub(super) fn status(&self) -> Result<Value, ScenarioError> {
        self.request(json!({"do": "status"}))
    }

    /// Returns the reason of the last event in the configuration history.
    pub(super) fn last_reason(&self) -> Result<Option<Value>, ScenarioError> {
        let history = self.request(json!({"do": "history"}))?;
        let last = history["history"].as_array().and_then(|all| all.last());
        Ok(last.map(|event| event["why"].clone()))
    }

    /// Returns the platform's file with the given settings.
    pub(super) fn platform_file(&self, settings: Value) -> String {
        let setup = &self.setup;
        let limits = json!({"cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets});
        json!({"name": "n1", "listen": "127.0.0.1:1", "agent": "127.0.0.1:1", "naming": "127.0.0.1:1", "seed": "1",
            "stop_ms": setup.stop_ms, "limits": limits, "settings": settings})
        .to_string()
    }

    /// Checks that no answer was decided under a mix of two versions.
    pub(super) fn check_versions(&self, report: &mut Report) -> Result<(), ScenarioError> {
        let half_applied = self.status()?["counters"]["half_applied"].as_u64();
        report.set("half_applied_seen", json!(half_applied));
        report.rule("an answer was decided under a mix of two versions", half_applied == Some(0));
        Ok(())
    }

    /// Returns the changes of the configuration that were logged with hash and reason.
    pub(super) fn logged_changes(&self) -> Vec<Value> {
        let is_change = |event: &Value| {
            event["msg"] == json!("configuration") && event["hash"].is_string() && event["why"].is_string()
        };
        let log = self.node().read_log();
        log.lines().filter_map(|line| serde_json::from_str(line).ok()).filter(is_change).collect()
    }

    /// Shuts the backend down, and checks that it exits with code 0 and that changes were logged.
    pub(super) fn shut_down(mut self, report: &mut Report) {
        self.backend.node.signal("TERM");
        let code = self.backend.node.wait_for_exit(EXIT_TIMEOUT);
        report.rule("asterrilld did not exit with code 0 within 6 s", code == Some(0));
        let events = self.logged_changes().len();
        report.set("events_logged", json!(events));
        report.rule("fewer than two changes were logged with hash and reason", events > 1);
        if let Some(dir) = self.socket.parent() {
            std::fs::remove_dir_all(dir).unwrap_or_default();
        }
    }
}

/// Reports whether an answer of the control socket accepts the request.
pub(super) fn accepted(answer: &Value) -> bool {
    answer["ok"] == json!(true)
}

/// Checks that each framed RPC was answered once, with its own result.
pub(super) fn check_framed(report: &mut Report, all: &[&LoadStats]) {
    let count = |of: fn(&MethodStats) -> u64| all.iter().map(|stats| sum(stats, of)).sum::<u64>();
    let (unanswered, twice) = (count(|s| s.unanswered), count(|s| s.answered_twice));
    report.set("no_final_answer", json!(unanswered));
    report.set("answered_twice", json!(twice));
    report.rule("a framed RPC got no final answer", unanswered == 0);
    report.rule("a framed RPC was answered twice", twice == 0);
    report.rule("a framed RPC got the result of another RPC", count(|s| s.wrong_results) == 0);
}
