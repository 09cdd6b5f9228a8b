//! The process under test and the stubs of its dependencies.

use super::agent::TimedAgent;
use super::meter::CpuMeter;
use super::settings::SiteSettings;
use crate::control::ControlClient;
use crate::node::Node;
use crate::process::status_kb;
use crate::report::ScenarioError;
use crate::stubs::start_name_service;
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// One process with a [`TimedAgent`], a name service and a control socket.
pub struct TestBed {
    /// The process.
    pub node: Node,
    /// The stub agent of the process.
    pub agent: TimedAgent,
    /// The CPU meter of the process.
    pub meter: CpuMeter,
    /// Time from the start of the process until it accepted connections, in milliseconds.
    pub start_ms: f64,
    config: Value,
}

/// The exit of a process.
#[derive(Clone, Copy, Debug)]
pub struct Exit {
    /// The exit code; `None` if the process was killed or did not exit in time.
    pub code: Option<i32>,
    /// Number of processes that are still running, 0 or 1.
    pub leftover_processes: u64,
}

impl TestBed {
    /// Starts a process of this build, or of `program`, and waits until it accepts connections. Each run takes `work`.
    pub fn start(
        site: &SiteSettings, program: Option<&Path>, work: Duration,
    ) -> Result<TestBed, ScenarioError> {
        TestBed::start_with(site, program, work, "")
    }

    /// Starts a process like [`TestBed::start`], with more sections in the operator's file.
    pub fn start_with(
        site: &SiteSettings, program: Option<&Path>, work: Duration, sections: &str,
    ) -> Result<TestBed, ScenarioError> {
        let agent = TimedAgent::start(work)?;
        let listen_addr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let naming = start_name_service()?;
        let mut config = json!({"name": "n1", "listen": listen_addr.to_string(), "agent": agent.addr.to_string(),
            "naming": naming.to_string(), "seed": "00000000000000a7", "stop_ms": 2_000,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1_024}});
        let operator_file = format!(
            "[changes]\ncontrol {{dir}}/control\nstate {{dir}}/state\n[log]\nformat json\n{sections}"
        );
        let text = config_text(&mut config, site);
        let started_at = Instant::now();
        let node = Node::spawn_with_files(
            listen_addr,
            &text,
            Some(&operator_file),
            program.map(Path::to_path_buf),
            "none",
        )?;
        while TcpStream::connect(listen_addr).is_err() {
            if started_at.elapsed() > STARTUP_TIMEOUT {
                return Err(format!(
                    "asterrilld did not listen on {listen_addr} within {} s; its log: {}",
                    STARTUP_TIMEOUT.as_secs(),
                    node.read_log()
                )
                .into());
            }
            thread::sleep(Duration::from_micros(300));
        }
        let start_ms = started_at.elapsed().as_secs_f64() * 1e3;
        let meter = CpuMeter::new(node.child.id());
        Ok(TestBed { node, agent, meter, start_ms, config })
    }

    /// Returns the text of the platform's file for a site.
    pub fn config_text(&mut self, site: &SiteSettings) -> String {
        config_text(&mut self.config, site)
    }

    /// Returns the path of the platform's file.
    pub fn config_path(&self) -> PathBuf {
        self.node.dir.join("config.json")
    }

    /// Creates a client of the control socket.
    pub fn control_client(&self) -> ControlClient {
        ControlClient::new(&self.node.dir.join("control"))
    }

    /// Returns the path of the state directory.
    pub fn state_dir(&self) -> PathBuf {
        self.node.dir.join("state")
    }

    /// Returns a value in kB of the process's `/proc/PID/status`.
    pub fn status_kb(&self, name: &str) -> Option<u64> {
        status_kb(&self.node.process(), name)
    }

    /// Shuts the process down and waits for its exit.
    pub fn shut_down(&mut self) -> Exit {
        self.node.signal("TERM");
        let code = self.node.wait_for_exit(EXIT_TIMEOUT);
        let is_running = Path::new(&format!("/proc/{}", self.node.child.id())).exists();
        Exit { code, leftover_processes: u64::from(is_running) }
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        self.agent.stop();
    }
}

/// Returns the text of the platform's file. The settings are added only for the conversion, so that no second copy
/// stays in memory.
fn config_text(config: &mut Value, site: &SiteSettings) -> String {
    config["settings"] = site.settings();
    let text = config.to_string();
    config["settings"] = Value::Null;
    text
}
