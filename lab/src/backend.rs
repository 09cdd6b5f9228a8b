//! A backend with minimal stubs of its dependencies.

use crate::agent::Agent;
use crate::node::Node;
use crate::report::ScenarioError;
use crate::setup::{Services, Setup};
use crate::stubs::{start_echo_upstream, start_name_service};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A backend with stubs of its dependencies.
pub struct Backend {
    /// Stub agent of its machine.
    pub agent: Agent,
    /// Process of the backend.
    pub node: Node,
}

impl Backend {
    /// Starts the agent and the backend, and waits until the backend listens.
    pub fn start(setup: &Setup, password: &str) -> Result<Backend, ScenarioError> {
        Backend::start_with_upstream(setup, password, start_echo_upstream()?)
    }

    /// Starts the agent and the backend with another upstream, and waits until the backend listens.
    pub fn start_with_upstream(
        setup: &Setup, password: &str, upstream: SocketAddr,
    ) -> Result<Backend, ScenarioError> {
        let agent = Agent::start(setup.cores, &setup.methods)?;
        agent.state().lost_launch = setup.lost_launch;
        let services = Services { agent: agent.address, upstream, naming: start_name_service()? };
        let node = Node::start(setup, &services, password)?;
        Ok(Backend { agent, node })
    }
}

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until the condition holds, for `timeout` at most, and reports whether it holds.
pub fn wait_until(timeout: Duration, holds: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    holds()
}
