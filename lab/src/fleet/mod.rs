//! Several real processes among stand-ins, with faults between them. Issues of the whole fleet share this rig.

pub mod agree;
pub mod callers;
pub mod members;
pub mod mesh;
pub mod narrow;
pub mod plot;
pub mod relay;
pub mod restart_recovery;
pub mod script;
pub mod shared_services;

use crate::report::Fault;
use crate::world::{Agent, Cold, Method, Node, Setup, Stand};
use callers::{Callers, Habits, Targets};
use mesh::Mesh;
use relay::Relay;
use shared_services::{Below, Naming};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One process with the agent of its machine, and relays between it and its parties.
pub struct Member {
    pub node: Node,
    pub agent: Agent,
    pub to_agent: Relay,
    pub to_below: Relay,
    pub to_naming: Relay,
    /// When it was started last.
    pub since: Instant,
    pub up: bool,
}

/// A fleet of processes, each on an address of the loopback range of its own.
pub struct Fleet {
    pub members: Vec<Member>,
    pub below: Below,
    pub naming: Naming,
    pub start: Instant,
    /// Between the processes, where they talk to each other.
    pub mesh: Option<Mesh>,
    cold: Cold,
}

/// What a fleet is made of.
#[derive(Clone)]
pub struct Plan {
    pub nodes: usize,
    pub setup: Setup,
    pub cold: Cold,
    /// Calls at a time that the layer below can do, and how long each takes.
    pub slots: usize,
    pub call: Duration,
    /// Processes talk to each other, over relays with this seed.
    pub mesh: Option<u64>,
}

/// An address that no connection of the system's choosing ever takes.
fn stand(n: usize) -> Stand {
    let process = std::process::id();
    let (a, b) = (20 + (process / 250 % 200) as u8, (process % 250) as u8 + 1);
    let at = SocketAddr::from(([127, a, b, n as u8 + 1], 7_000));
    Stand { name: format!("n{n}"), at, words: Vec::new() }
}

/// Where a member takes datagrams.
fn datagrams(n: usize) -> SocketAddr {
    SocketAddr::from((stand(n).at.ip(), 7_946))
}

impl Fleet {
    pub fn start(plan: &Plan) -> Result<Fleet, Fault> {
        let start = Instant::now();
        let below = Below::start(start, plan.slots, plan.call)?;
        let naming = Naming::start(start)?;
        let own: Vec<SocketAddr> = (0..plan.nodes).map(datagrams).collect();
        let mesh = plan.mesh.map(|seed| Mesh::start(&own, seed)).transpose()?;
        let mut members = Vec::new();
        for (n, own) in own.iter().enumerate() {
            let agent = Agent::start(plan.setup.cores, &plan.setup.methods)?;
            let [to_agent, to_below, to_naming] =
                [Relay::start(agent.at)?, Relay::start(below.at)?, Relay::start(naming.at)?];
            let mut stand = stand(n);
            if let Some(mesh) = &mesh {
                let contacts: String = mesh.at.iter().take(3).map(|at| format!("contact {at}\n")).collect();
                let words = [("{own}", own.to_string()), ("{relay}", mesh.at[n].to_string())];
                let words = words.into_iter().chain([("{contacts}", contacts)]);
                stand.words = words.map(|(word, means)| (word.into(), means)).collect();
            }
            let node = Node::begin(&plan.setup, &stand, to_agent.at, to_below.at, to_naming.at, "none")?;
            members.push(Member {
                node,
                agent,
                to_agent,
                to_below,
                to_naming,
                since: Instant::now(),
                up: true,
            });
        }
        for member in &members {
            member.node.listens()?;
        }
        Ok(Fleet { members, below, naming, start, mesh, cold: plan.cold })
    }

    pub fn targets(&self) -> Targets {
        let of = |(n, m): (usize, &Member)| (format!("n{n}"), (n, m.node.at));
        let of: BTreeMap<String, (usize, SocketAddr)> = self.members.iter().enumerate().map(of).collect();
        Targets { of: Arc::new(of) }
    }
    /// Waits until callers find all of them: lists are late.
    pub fn listed(&self) {
        let until = Instant::now() + Duration::from_secs(8);
        while self.naming.listed(Duration::ZERO).len() < self.members.len() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(2_100));
    }
    /// Runs beyond the first of bodies that begin so, over all agents.
    pub fn effects_twice(&self, begins: &str) -> u64 {
        let mut runs: BTreeMap<Vec<u8>, u64> = BTreeMap::new();
        for member in &self.members {
            for (body, n) in member.agent.runs().of.iter().filter(|(b, _)| b.starts_with(begins.as_bytes())) {
                *runs.entry(body.clone()).or_default() += n;
            }
        }
        runs.values().map(|n| n - 1).sum()
    }
    pub fn callers(&self, habits: &Habits) -> Callers {
        Callers::start(self.start, habits, &self.targets(), &self.naming)
    }
    pub fn state(&self, n: usize) -> PathBuf {
        self.members[n].node.dir.join("state")
    }
    /// Milliseconds since the start.
    pub fn at_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Ends every process by its id and says how many are still there.
    pub fn end(&mut self) -> usize {
        // SIGKILL ends one that is stopped as well.
        self.members.iter_mut().for_each(|member| member.node.kill());
        self.below.end();
        self.naming.end();
        let alive = |m: &&Member| std::path::Path::new(&format!("/proc/{}", m.node.child.id())).exists();
        self.members.iter().filter(alive).count()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// The mean work of one RPC, by the weights of what is asked. A run that calls takes its work before the call, and
/// again after it, as [`Agent`] has it.
pub fn mean_work(methods: &[Method], weights: &[u32]) -> Duration {
    let total: u32 = weights.iter().sum();
    let work = |m: &Method| m.work.as_secs_f64() * if m.calls { 2.0 } else { 1.0 };
    let sum: f64 = methods.iter().zip(weights).map(|(m, w)| work(m) * f64::from(*w)).sum();
    Duration::from_secs_f64(sum / f64::from(total.max(1)))
}
