//! Injects the faults of a script into a fleet.

use super::callers::UnansweredAttempt;
use super::cluster::{Fleet, Member};
use super::datagram_network::{cuts_between, NetworkConditions};
use super::fault_script::{FaultKind, ScheduledFault, StateFault};
use crate::agent::ColdStart;
use crate::report::ScenarioError;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::symlink;
use std::path::Path;
use std::time::{Duration, Instant};

const LONGEST_PATIENCE: Duration = Duration::from_millis(3_300); // of any caller
const FLOOD: Duration = Duration::from_secs(1);
const FLOOD_DATAGRAMS: u32 = 20_000; // at the most
const FLOOD_PACE: Duration = Duration::from_micros(100);
const EXITS_WITHIN: Duration = Duration::from_secs(6);

/// A time in which a member was stopped and could not answer.
struct Pause {
    node: usize,
    from: Instant,
    to: Instant,
}

/// What the injected faults have done so far.
#[derive(Default)]
pub struct InjectedFaults {
    /// Since when members are stopped.
    paused: BTreeMap<usize, Instant>,
    pauses: Vec<Pause>,
}

impl InjectedFaults {
    /// The attempts without an answer that count. A member that is stopped answers nothing; it is called all the same, and
    /// once it runs again its callers are gone.
    pub fn count_unexcused(&self, unanswered: &[UnansweredAttempt]) -> usize {
        let now = Instant::now();
        let still_paused = self.paused.iter().map(|(node, from)| (*node, *from, now));
        let over = self.pauses.iter().map(|pause| (pause.node, pause.from, pause.to));
        let pauses: Vec<(usize, Instant, Instant)> = over.chain(still_paused).collect();
        let excused = |attempt: &UnansweredAttempt| {
            pauses.iter().any(|(node, from, to)| {
                *node == attempt.node && *from <= attempt.sent + LONGEST_PATIENCE && attempt.sent <= *to
            })
        };
        unanswered.iter().filter(|attempt| !excused(attempt)).count()
    }
}

impl Fleet {
    /// Injects one fault.
    pub fn inject(
        &mut self, fault: &ScheduledFault, injected: &mut InjectedFaults,
    ) -> Result<(), ScenarioError> {
        match &fault.kind {
            FaultKind::UpstreamGone => self.members.iter().for_each(|m| m.upstream_proxy.refuse(true)),
            FaultKind::UpstreamBack(speed) => {
                self.upstream.state().restart(*speed);
                self.members.iter().for_each(|m| m.upstream_proxy.refuse(false));
            }
            FaultKind::NamingGone => self.members.iter().for_each(|m| m.naming_proxy.refuse(true)),
            FaultKind::NamingBack => self.members.iter().for_each(|m| m.naming_proxy.refuse(false)),
            FaultKind::GossipSplit(_)
            | FaultKind::GossipDeaf
            | FaultKind::GossipMute
            | FaultKind::GossipLoss(_)
            | FaultKind::GossipDelay(_)
            | FaultKind::GossipDuplication(_)
            | FaultKind::GossipHeal
            | FaultKind::GossipFlood => self.inject_network(fault)?,
            _ => {
                // Processes die together, within a few milliseconds, before anything else is done about them.
                if matches!(fault.kind, FaultKind::Kill | FaultKind::Crash) {
                    for n in &fault.nodes {
                        self.members[*n].node.child.kill().unwrap_or_default();
                    }
                }
                for n in &fault.nodes {
                    self.inject_member(*n, &fault.kind, injected)?;
                }
            }
        }
        Ok(())
    }

    fn inject_member(
        &mut self, n: usize, kind: &FaultKind, injected: &mut InjectedFaults,
    ) -> Result<(), ScenarioError> {
        let cold = self.cold;
        let member = &mut self.members[n];
        match kind {
            FaultKind::Kill => {
                member.node.kill();
                member.agent.restart_cold(cold);
                member.up = false;
            }
            FaultKind::Crash => {
                member.node.kill();
                member.agent.handle_backend_restart();
                member.node.restart()?;
                member.since = Instant::now();
            }
            FaultKind::Start if !member.up => member.start_again(cold)?,
            FaultKind::Pause => {
                member.node.signal("STOP");
                injected.paused.insert(n, Instant::now());
            }
            FaultKind::Resume => {
                member.node.signal("CONT");
                let from = injected.paused.remove(&n);
                injected.pauses.extend(from.map(|from| Pause { node: n, from, to: Instant::now() }));
                member.since = Instant::now();
            }
            FaultKind::Term => {
                member.node.signal("TERM");
                member.up = false;
            }
            FaultKind::State(fault) => self.damage_state(n, fault)?,
            _ => member.inject_agent_link(kind),
        }
        Ok(())
    }

    /// Faults of the network between processes.
    fn inject_network(&self, fault: &ScheduledFault) -> Result<(), ScenarioError> {
        let Some(network) = &self.network else { return Err("these processes do not gossip".into()) };
        let members = self.members.len();
        network.change_conditions(|conditions| match &fault.kind {
            FaultKind::GossipSplit(groups) => conditions.cut = cuts_between(groups, members),
            FaultKind::GossipDeaf => conditions.cut.extend(cuts_towards(&fault.nodes, members)),
            FaultKind::GossipMute => conditions.cut.extend(cuts_from(&fault.nodes, members)),
            FaultKind::GossipLoss(n) => conditions.loss = *n as f64 / 100.0,
            FaultKind::GossipDelay(ms) => conditions.delay = Duration::from_millis(*ms),
            FaultKind::GossipDuplication(n) => conditions.duplication = *n as f64 / 100.0,
            FaultKind::GossipHeal => *conditions = NetworkConditions::default(),
            _ => {}
        });
        if fault.kind == FaultKind::GossipFlood {
            let to = fault.nodes.iter().filter_map(|n| network.at.get(*n).copied());
            let to: Vec<SocketAddr> = to.collect();
            std::thread::spawn(move || flood(&to));
        }
        Ok(())
    }

    /// Damages the state of a member that is down.
    pub fn damage_state(&self, n: usize, fault: &StateFault) -> Result<(), ScenarioError> {
        let dir = self.state_dir(n);
        let snapshot = dir.join("learned");
        let text = std::fs::read_to_string(&snapshot).unwrap_or_default();
        match fault {
            StateFault::Lost => std::fs::remove_dir_all(&dir).unwrap_or_default(),
            StateFault::Torn => std::fs::write(&snapshot, &text[..text.len() / 2])?,
            StateFault::Old => {
                let old = edit_snapshot(&text, "moment ", |_| "moment 1 1 0000000000000001".into());
                std::fs::write(&snapshot, old)?;
            }
            StateFault::Other => {
                std::fs::write(&snapshot, edit_snapshot(&text, "method ", costlier_method))?;
            }
            StateFault::ReadOnly => {
                // Root writes whatever the mode says; a file in the directory's place stops anybody.
                std::fs::remove_dir_all(&dir).unwrap_or_default();
                std::fs::write(&dir, "no directory")?;
            }
            StateFault::Full => fill_disk(&dir)?,
            StateFault::Swap(with) => {
                let other = self.state_dir(*with).join("learned");
                let other_text = std::fs::read_to_string(&other).unwrap_or_default();
                std::fs::write(&snapshot, other_text)?;
                std::fs::write(&other, text)?;
            }
        }
        Ok(())
    }
}

impl Member {
    /// The machine starts, and was up for as long as it takes to start the process.
    fn start_again(&mut self, cold: ColdStart) -> Result<(), ScenarioError> {
        if let Ok(None) = self.node.child.try_wait() {
            self.node.wait_for_exit(EXITS_WITHIN);
            self.node.kill();
        }
        self.agent.restart_cold(cold);
        self.node.restart()?;
        (self.since, self.up) = (Instant::now(), true);
        Ok(())
    }

    /// Faults of the link to the agent.
    fn inject_agent_link(&mut self, kind: &FaultKind) {
        match kind {
            FaultKind::AgentHang => self.agent_proxy.hang(true),
            FaultKind::AgentPass => {
                self.agent_proxy.hang(false);
                // What it decided meanwhile had reasons of its own.
                self.since = Instant::now();
            }
            FaultKind::AgentDeaf => self.agent_proxy.hang_direction(true, true),
            FaultKind::AgentMute => self.agent_proxy.hang_direction(false, true),
            FaultKind::AgentDelay(ms) => self.agent_proxy.delay(Duration::from_millis(*ms)),
            _ => {}
        }
    }
}

/// All directions that end at these members.
pub(super) fn cuts_towards(nodes: &[usize], members: usize) -> Vec<(usize, usize)> {
    nodes.iter().flat_map(|n| (0..members).map(move |from| (from, *n))).collect()
}

/// All directions that begin at these members.
pub(super) fn cuts_from(nodes: &[usize], members: usize) -> Vec<(usize, usize)> {
    nodes.iter().flat_map(|n| (0..members).map(move |to| (*n, to))).collect()
}

/// Sends garbage for a second, from an address of its own and bounded in number.
fn flood(to: &[SocketAddr]) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0") else { return };
    let until = Instant::now() + FLOOD;
    for n in 0..FLOOD_DATAGRAMS {
        if Instant::now() > until {
            return;
        }
        // By turns too short, of another version, and well formed by its looks.
        let bytes = [vec![1; 8], vec![9; 80], [vec![1], vec![(n % 251) as u8; 200]].concat()];
        for at in to {
            socket.send_to(&bytes[n as usize % 3], at).map(drop).unwrap_or_default();
        }
        std::thread::sleep(FLOOD_PACE);
    }
}

/// Each file is written beside its place: there, into a device that is always full.
fn fill_disk(dir: &Path) -> std::io::Result<()> {
    for name in ["learned", "good", "probation", "members"] {
        let beside = dir.join(name).with_extension("new");
        std::fs::remove_file(&beside).unwrap_or_default();
        symlink("/dev/full", &beside)?;
    }
    Ok(())
}

/// A method's line with the costs of another deployment: a hundred times what it is here.
fn costlier_method(line: &str) -> String {
    let words: Vec<&str> = line.splitn(5, ' ').collect();
    match words[..] {
        ["method", target, mean, runs, name] => {
            let mean = mean.parse::<f64>().unwrap_or(0.0) * 100.0;
            format!("method {target} {mean} {runs} {name}")
        }
        _ => line.into(),
    }
}

/// A snapshot with the lines that begin so changed, under a checksum that holds.
fn edit_snapshot(text: &str, prefix: &str, change: impl Fn(&str) -> String) -> String {
    let body: String = text
        .lines()
        .skip(2)
        .map(|line| if line.starts_with(prefix) { change(line) } else { line.into() })
        .map(|line| line + "\n")
        .collect();
    asterrill_recovery::encode_checksummed("learned", 1, &body)
}
