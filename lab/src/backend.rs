//! A backend with the smallest stand-ins around it.

use crate::agent::Agent;
use crate::node::Node;
use crate::report::ScenarioError;
use crate::setup::{Services, Setup};
use crate::stubs::{start_echo_upstream, start_name_service};
use std::time::{Duration, Instant};

/// A backend among its stand-ins.
pub struct Backend {
    /// The agent of its machine.
    pub agent: Agent,
    /// Its process.
    pub node: Node,
}

impl Backend {
    /// Starts both, and waits until the backend listens.
    pub fn start(setup: &Setup, password: &str) -> Result<Backend, ScenarioError> {
        let agent = Agent::start(setup.cores, &setup.methods)?;
        agent.state().lost_launch = setup.lost_launch;
        let (upstream, naming) = (start_echo_upstream()?, start_name_service()?);
        let services = Services { agent: agent.address, upstream, naming };
        let node = Node::start(setup, &services, password)?;
        Ok(Backend { agent, node })
    }
}

const POLL: Duration = Duration::from_millis(5);

/// Waits until it holds, so long at most; whether it does.
pub fn wait_until(within: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(POLL);
    }
    holds()
}
