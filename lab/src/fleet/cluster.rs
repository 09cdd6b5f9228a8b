//! A fleet of processes with their agents, on loopback addresses of their own, and proxies between them and what they
//! depend on.

use super::callers::{CallerProfile, Callers, Targets};
use super::datagram_network::DatagramNetwork;
use super::naming::Naming;
use super::tcp_proxy::TcpProxy;
use super::upstream::Upstream;
use crate::agent::{Agent, ColdStart};
use crate::node::Node;
use crate::report::ScenarioError;
use crate::setup::{Placement, Services, Setup};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SIDECAR_PORT: u16 = 7_000;
const GOSSIP_PORT: u16 = 7_946;
const CONTACTS: usize = 3;
const LISTED_WITHIN: Duration = Duration::from_secs(8);
const LIST_DELAY: Duration = Duration::from_millis(2_100); // lists of all callers are later than this

/// One process with the agent of its machine, and proxies between it and what it depends on.
pub struct Member {
    /// The process.
    pub node: Node,
    /// Its agent.
    pub agent: Agent,
    /// Between the process and its agent.
    pub agent_proxy: TcpProxy,
    /// Between the process and the upstream.
    pub upstream_proxy: TcpProxy,
    /// Between the process and the name service.
    pub naming_proxy: TcpProxy,
    /// When it was started last, or could last answer again.
    pub since: Instant,
    /// It was started and not stopped.
    pub up: bool,
}

/// A fleet of processes, each on an address of the loopback range of its own.
pub struct Fleet {
    /// The processes.
    pub members: Vec<Member>,
    /// The upstream that all share.
    pub upstream: Upstream,
    /// The name service.
    pub naming: Naming,
    /// When the fleet was started.
    pub start: Instant,
    /// Between the processes, where they gossip.
    pub network: Option<DatagramNetwork>,
    /// How cores are when a machine restarts.
    pub cold: ColdStart,
}

/// What a fleet is made of.
#[derive(Clone)]
pub struct Plan {
    /// Processes.
    pub nodes: usize,
    /// How each is set up.
    pub setup: Setup,
    /// How cores are when a machine restarts.
    pub cold: ColdStart,
    /// Calls at a time that the upstream can do.
    pub slots: usize,
    /// How long each call takes.
    pub call: Duration,
    /// Seed of the network between processes that gossip; none if they do not.
    pub network: Option<u64>,
}

/// An address that no connection of the system's choosing ever takes.
fn placement(n: usize) -> Placement {
    let process = std::process::id();
    let (a, b) = (20 + (process / 250 % 200) as u8, (process % 250) as u8 + 1);
    let at = SocketAddr::from(([127, a, b, n as u8 + 1], SIDECAR_PORT));
    Placement { name: format!("n{n}"), address: at, placeholders: Vec::new() }
}

/// Where a member takes datagrams.
fn gossip_address(n: usize) -> SocketAddr {
    SocketAddr::from((placement(n).address.ip(), GOSSIP_PORT))
}

/// The words of the operator's file that differ from member to member.
fn placeholders(n: usize, own: SocketAddr, network: &DatagramNetwork) -> Vec<(String, String)> {
    let contacts = network.at.iter().take(CONTACTS).map(|at| format!("contact {at}\n"));
    vec![
        ("{own}".into(), own.to_string()),
        ("{relay}".into(), network.at[n].to_string()),
        ("{contacts}".into(), contacts.collect()),
    ]
}

impl Fleet {
    /// Starts all, and waits until each listens.
    pub fn start(plan: &Plan) -> Result<Fleet, ScenarioError> {
        let start = Instant::now();
        let upstream = Upstream::start(start, plan.slots, plan.call)?;
        let naming = Naming::start(start)?;
        let own: Vec<SocketAddr> = (0..plan.nodes).map(gossip_address).collect();
        let network = plan.network.map(|seed| DatagramNetwork::start(&own, seed)).transpose()?;
        let mut members = Vec::new();
        for (n, own) in own.iter().enumerate() {
            let mut placement = placement(n);
            if let Some(network) = &network {
                placement.placeholders = placeholders(n, *own, network);
            }
            members.push(Member::start(plan, &placement, upstream.at, naming.at)?);
        }
        for member in &members {
            member.node.wait_until_listening()?;
        }
        Ok(Fleet { members, upstream, naming, start, network, cold: plan.cold })
    }

    /// Where each process is reached.
    pub fn targets(&self) -> Targets {
        let target = |(n, m): (usize, &Member)| (format!("n{n}"), (n, m.node.address));
        Targets { by_name: Arc::new(self.members.iter().enumerate().map(target).collect()) }
    }

    /// Waits until callers find all of them: lists are late.
    pub fn wait_until_listed(&self) {
        let until = Instant::now() + LISTED_WITHIN;
        while self.naming.listed(Duration::ZERO).len() < self.members.len() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(LIST_DELAY);
    }

    /// Runs beyond the first of bodies that begin so, over all agents.
    pub fn repeated_effects(&self, prefix: &str) -> u64 {
        let mut starts: BTreeMap<Vec<u8>, u64> = BTreeMap::new();
        for member in &self.members {
            let state = member.agent.state();
            for (body, n) in state.starts.iter().filter(|(body, _)| body.starts_with(prefix.as_bytes())) {
                *starts.entry(body.clone()).or_default() += n;
            }
        }
        starts.values().map(|n| n - 1).sum()
    }

    /// Starts callers of this fleet.
    pub fn start_callers(&self, profile: &CallerProfile) -> Callers {
        Callers::start(self.start, profile, &self.targets(), &self.naming)
    }

    /// A member's state directory.
    pub fn state_dir(&self, n: usize) -> PathBuf {
        self.members[n].node.dir.join("state")
    }

    /// Milliseconds since the start.
    pub fn at_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Whether no process has panicked, by their logs.
    pub fn none_panicked(&self) -> bool {
        self.members.iter().all(|member| !member.node.read_log().contains("panick"))
    }

    /// Ends every process by its id; how many are still there.
    pub fn end(&mut self) -> usize {
        // SIGKILL ends one that is stopped as well.
        self.members.iter_mut().for_each(|member| member.node.kill());
        self.upstream.stop();
        self.naming.stop();
        let alive = |m: &&Member| std::path::Path::new(&format!("/proc/{}", m.node.process())).exists();
        self.members.iter().filter(alive).count()
    }
}

impl Member {
    fn start(
        plan: &Plan, placement: &Placement, upstream: SocketAddr, naming: SocketAddr,
    ) -> Result<Member, ScenarioError> {
        let agent = Agent::start(plan.setup.cores, &plan.setup.methods)?;
        let [agent_proxy, upstream_proxy, naming_proxy] =
            [TcpProxy::start(agent.address)?, TcpProxy::start(upstream)?, TcpProxy::start(naming)?];
        let services =
            Services { agent: agent_proxy.at, upstream: upstream_proxy.at, naming: naming_proxy.at };
        let node = Node::spawn(&plan.setup, placement, &services, "none")?;
        let since = Instant::now();
        Ok(Member { node, agent, agent_proxy, upstream_proxy, naming_proxy, since, up: true })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}
