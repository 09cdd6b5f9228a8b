//! A fleet of processes on separate loopback addresses, with their agents, and proxies between the processes and the
//! services that they depend on.

use super::callers::{BackendAddresses, CallerProfile, Callers};
use super::datagram_network::DatagramNetwork;
use super::name_service::NameService;
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
const CONTACTS_PER_MEMBER: usize = 3;
const LISTED_TIMEOUT: Duration = Duration::from_secs(8);
/// Upper bound of the delay with which callers see the list of the name service.
const MAX_LIST_DELAY: Duration = Duration::from_millis(2_100);

/// A process with the agent of its machine, and proxies between the process and its dependencies.
pub struct Member {
    /// The process.
    pub node: Node,
    /// The agent of its machine.
    pub agent: Agent,
    /// Proxy between the process and its agent.
    pub agent_proxy: TcpProxy,
    /// Proxy between the process and the upstream.
    pub upstream_proxy: TcpProxy,
    /// Proxy between the process and the name service.
    pub name_service_proxy: TcpProxy,
    /// Time of the last start, or of the end of the last fault that kept the process from answering.
    pub available_since: Instant,
    /// Whether the process was started and not stopped since.
    pub up: bool,
}

/// A fleet of processes, each on its own loopback address.
pub struct Fleet {
    /// The members, by index.
    pub members: Vec<Member>,
    /// The upstream that all members share.
    pub upstream: Upstream,
    /// The name service.
    pub name_service: NameService,
    /// Start time of the fleet.
    pub start: Instant,
    /// Network between the processes, if they gossip.
    pub network: Option<DatagramNetwork>,
    /// Speed of the cores after a restart of a machine.
    pub cold_start: ColdStart,
}

/// Size and parts of a fleet.
#[derive(Clone)]
pub struct FleetConfig {
    /// Number of processes.
    pub nodes: usize,
    /// Setup of each process.
    pub setup: Setup,
    /// Speed of the cores after a restart of a machine.
    pub cold_start: ColdStart,
    /// Calls that the upstream processes concurrently.
    pub upstream_slots: usize,
    /// Time that the upstream takes for a call.
    pub upstream_call_time: Duration,
    /// Seed of the network between processes that gossip; `None` for a fleet without gossip.
    pub network_seed: Option<u64>,
}

/// Returns the name and address of a member. The operating system never assigns such an address to an outgoing
/// connection.
fn placement(n: usize) -> Placement {
    let process = std::process::id();
    let (a, b) = (20 + (process / 250 % 200) as u8, (process % 250) as u8 + 1);
    let address = SocketAddr::from(([127, a, b, n as u8 + 1], SIDECAR_PORT));
    Placement { name: format!("n{n}"), address, placeholders: Vec::new() }
}

/// Returns the address at which a member receives datagrams.
fn gossip_address(n: usize) -> SocketAddr {
    SocketAddr::from((placement(n).address.ip(), GOSSIP_PORT))
}

/// Returns the placeholders of the operator's file that differ between members, with their values.
fn placeholders(n: usize, gossip_address: SocketAddr, network: &DatagramNetwork) -> Vec<(String, String)> {
    let contacts =
        network.addresses.iter().take(CONTACTS_PER_MEMBER).map(|address| format!("contact {address}\n"));
    vec![
        ("{own}".into(), gossip_address.to_string()),
        ("{relay}".into(), network.addresses[n].to_string()),
        ("{contacts}".into(), contacts.collect()),
    ]
}

impl Fleet {
    /// Starts all processes and waits until each of them listens.
    pub fn start(config: &FleetConfig) -> Result<Fleet, ScenarioError> {
        let start = Instant::now();
        let upstream = Upstream::start(start, config.upstream_slots, config.upstream_call_time)?;
        let name_service = NameService::start(start)?;
        let gossip_addresses: Vec<SocketAddr> = (0..config.nodes).map(gossip_address).collect();
        let network =
            config.network_seed.map(|seed| DatagramNetwork::start(&gossip_addresses, seed)).transpose()?;
        let mut members = Vec::new();
        for (n, gossip_address) in gossip_addresses.iter().enumerate() {
            let mut placement = placement(n);
            if let Some(network) = &network {
                placement.placeholders = placeholders(n, *gossip_address, network);
            }
            members.push(Member::start(config, &placement, upstream.address, name_service.address)?);
        }
        for member in &members {
            member.node.wait_until_listening()?;
        }
        Ok(Fleet { members, upstream, name_service, start, network, cold_start: config.cold_start })
    }

    /// Returns the index and address of each process, by name.
    pub fn backend_addresses(&self) -> BackendAddresses {
        let entry = |(n, m): (usize, &Member)| (format!("n{n}"), (n, m.node.address));
        BackendAddresses { by_name: Arc::new(self.members.iter().enumerate().map(entry).collect()) }
    }

    /// Waits until the delayed lists of all callers have every member, or a timeout expires.
    pub fn wait_until_listed(&self) {
        let deadline = Instant::now() + LISTED_TIMEOUT;
        while self.name_service.listed_backends(Duration::ZERO).len() < self.members.len()
            && Instant::now() < deadline
        {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(MAX_LIST_DELAY);
    }

    /// Returns how many runs repeated an earlier one with the same body, over all agents, for bodies with this
    /// prefix.
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
        Callers::start(self.start, profile, &self.backend_addresses(), &self.name_service)
    }

    /// Returns the state directory of a member.
    pub fn state_dir(&self, n: usize) -> PathBuf {
        self.members[n].node.dir.join("state")
    }

    /// Returns the milliseconds since the start of the fleet.
    pub fn at_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Reports whether the logs of all processes are free of panics.
    pub fn none_panicked(&self) -> bool {
        self.members.iter().all(|member| !member.node.read_log().contains("panick"))
    }

    /// Kills every process and returns how many of them still exist.
    pub fn kill_all(&mut self) -> usize {
        // SIGKILL also ends processes that are stopped by SIGSTOP.
        self.members.iter_mut().for_each(|member| member.node.kill());
        self.upstream.stop();
        self.name_service.stop();
        let alive = |m: &&Member| std::path::Path::new(&format!("/proc/{}", m.node.process())).exists();
        self.members.iter().filter(alive).count()
    }
}

impl Member {
    fn start(
        config: &FleetConfig, placement: &Placement, upstream: SocketAddr, name_service: SocketAddr,
    ) -> Result<Member, ScenarioError> {
        let agent = Agent::start(config.setup.cores, &config.setup.methods)?;
        let [agent_proxy, upstream_proxy, name_service_proxy] =
            [TcpProxy::start(agent.address)?, TcpProxy::start(upstream)?, TcpProxy::start(name_service)?];
        let services = Services {
            agent: agent_proxy.address,
            upstream: upstream_proxy.address,
            naming: name_service_proxy.address,
        };
        let node = Node::spawn(&config.setup, placement, &services, "none")?;
        let available_since = Instant::now();
        Ok(Member { node, agent, agent_proxy, upstream_proxy, name_service_proxy, available_since, up: true })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
    }
}
