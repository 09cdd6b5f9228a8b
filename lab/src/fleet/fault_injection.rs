//! Injection of scripted faults into a fleet.

use super::callers::UnansweredAttempt;
use super::cluster::{Fleet, Member};
use super::datagram_network::{blocked_links_between, NetworkConditions};
use super::fault_script::{FaultKind, ScheduledFault, StateFault};
use crate::agent::ColdStart;
use crate::report::ScenarioError;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::symlink;
use std::path::Path;
use std::time::{Duration, Instant};

/// The longest time that any caller waits for an answer.
const MAX_RPC_TIMEOUT: Duration = Duration::from_millis(3_300);
const FLOOD_DURATION: Duration = Duration::from_secs(1);
const MAX_FLOOD_DATAGRAMS: u32 = 20_000;
const FLOOD_INTERVAL: Duration = Duration::from_micros(100);
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// A time span in which a member was stopped by SIGSTOP and could not answer.
struct Pause {
    node: usize,
    from: Instant,
    to: Instant,
}

/// The injected faults that explain missing answers.
#[derive(Default)]
pub struct InjectedFaults {
    /// Members that are stopped now, and since when.
    paused: BTreeMap<usize, Instant>,
    pauses: Vec<Pause>,
}

impl InjectedFaults {
    /// Returns the number of attempts without an answer that no pause explains. A stopped member still receives calls
    /// but answers none of them, and its callers have given up by the time it runs again.
    pub fn count_unexplained(&self, unanswered: &[UnansweredAttempt]) -> usize {
        let now = Instant::now();
        let still_paused = self.paused.iter().map(|(node, from)| (*node, *from, now));
        let ended = self.pauses.iter().map(|pause| (pause.node, pause.from, pause.to));
        let pauses: Vec<(usize, Instant, Instant)> = ended.chain(still_paused).collect();
        let explained = |attempt: &UnansweredAttempt| {
            pauses.iter().any(|(node, from, to)| {
                *node == attempt.node && *from <= attempt.sent + MAX_RPC_TIMEOUT && attempt.sent <= *to
            })
        };
        unanswered.iter().filter(|attempt| !explained(attempt)).count()
    }
}

impl Fleet {
    /// Injects a fault.
    pub fn inject(
        &mut self, fault: &ScheduledFault, injected: &mut InjectedFaults,
    ) -> Result<(), ScenarioError> {
        match &fault.kind {
            FaultKind::UpstreamDown => self.members.iter().for_each(|m| m.upstream_proxy.set_refusing(true)),
            FaultKind::UpstreamRestored(speed) => {
                self.upstream.state().restart(*speed);
                self.members.iter().for_each(|m| m.upstream_proxy.set_refusing(false));
            }
            FaultKind::NameServiceDown => {
                self.members.iter().for_each(|m| m.name_service_proxy.set_refusing(true))
            }
            FaultKind::NameServiceRestored => {
                self.members.iter().for_each(|m| m.name_service_proxy.set_refusing(false))
            }
            FaultKind::GossipPartition(_)
            | FaultKind::GossipInboundBlocked
            | FaultKind::GossipOutboundBlocked
            | FaultKind::GossipLoss(_)
            | FaultKind::GossipDelay(_)
            | FaultKind::GossipDuplication(_)
            | FaultKind::GossipHeal
            | FaultKind::GossipFlood => self.inject_network(fault)?,
            _ => {
                // All processes are killed first, within a few milliseconds, so that they fail together.
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
        let cold_start = self.cold_start;
        let member = &mut self.members[n];
        match kind {
            FaultKind::Kill => {
                member.node.kill();
                member.agent.restart_cold(cold_start);
                member.up = false;
            }
            FaultKind::Crash => {
                member.node.kill();
                member.agent.handle_backend_restart();
                member.node.restart()?;
                member.available_since = Instant::now();
            }
            FaultKind::Start if !member.up => member.restart_machine(cold_start)?,
            FaultKind::Pause => {
                member.node.signal("STOP");
                injected.paused.insert(n, Instant::now());
            }
            FaultKind::Resume => {
                member.node.signal("CONT");
                let from = injected.paused.remove(&n);
                injected.pauses.extend(from.map(|from| Pause { node: n, from, to: Instant::now() }));
                member.available_since = Instant::now();
            }
            FaultKind::Terminate => {
                member.node.signal("TERM");
                member.up = false;
            }
            FaultKind::State(fault) => self.damage_state(n, fault)?,
            _ => member.inject_agent_link(kind),
        }
        Ok(())
    }

    /// Injects a fault of the network between processes.
    fn inject_network(&self, fault: &ScheduledFault) -> Result<(), ScenarioError> {
        let Some(network) = &self.network else {
            return Err("network faults need a fleet with gossip; this fleet has none".into());
        };
        let members = self.members.len();
        network.change_conditions(|conditions| match &fault.kind {
            FaultKind::GossipPartition(groups) => {
                conditions.blocked_links = blocked_links_between(groups, members)
            }
            FaultKind::GossipInboundBlocked => {
                conditions.blocked_links.extend(links_to(&fault.nodes, members))
            }
            FaultKind::GossipOutboundBlocked => {
                conditions.blocked_links.extend(links_from(&fault.nodes, members))
            }
            FaultKind::GossipLoss(n) => conditions.loss = *n as f64 / 100.0,
            FaultKind::GossipDelay(ms) => conditions.max_delay = Duration::from_millis(*ms),
            FaultKind::GossipDuplication(n) => conditions.duplication = *n as f64 / 100.0,
            FaultKind::GossipHeal => *conditions = NetworkConditions::default(),
            _ => {}
        });
        if fault.kind == FaultKind::GossipFlood {
            let targets = fault.nodes.iter().filter_map(|n| network.addresses.get(*n).copied());
            let targets: Vec<SocketAddr> = targets.collect();
            std::thread::spawn(move || flood(&targets));
        }
        Ok(())
    }

    /// Damages the state directory of a member that is down.
    pub fn damage_state(&self, n: usize, fault: &StateFault) -> Result<(), ScenarioError> {
        let dir = self.state_dir(n);
        let snapshot = dir.join("learned");
        let text = std::fs::read_to_string(&snapshot).unwrap_or_default();
        match fault {
            StateFault::Lost => std::fs::remove_dir_all(&dir).unwrap_or_default(),
            StateFault::Truncated => std::fs::write(&snapshot, &text[..text.len() / 2])?,
            StateFault::Outdated => {
                let old = edit_snapshot(&text, "moment ", |_| "moment 1 1 0000000000000001".into());
                std::fs::write(&snapshot, old)?;
            }
            StateFault::OtherDeployment => {
                std::fs::write(&snapshot, edit_snapshot(&text, "method ", costlier_method))?;
            }
            StateFault::Unwritable => {
                // Permission bits do not stop root from writing; a file in place of the directory does.
                std::fs::remove_dir_all(&dir).unwrap_or_default();
                std::fs::write(&dir, "no directory")?;
            }
            StateFault::DiskFull => fill_disk(&dir)?,
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
    /// Restarts the machine: the agent restarts with cold cores, then the process starts.
    fn restart_machine(&mut self, cold_start: ColdStart) -> Result<(), ScenarioError> {
        if let Ok(None) = self.node.child.try_wait() {
            self.node.wait_for_exit(EXIT_TIMEOUT);
            self.node.kill();
        }
        self.agent.restart_cold(cold_start);
        self.node.restart()?;
        (self.available_since, self.up) = (Instant::now(), true);
        Ok(())
    }

    /// Injects a fault of the link to the agent.
    fn inject_agent_link(&mut self, kind: &FaultKind) {
        match kind {
            FaultKind::AgentLinkStalled => self.agent_proxy.set_stalled(true),
            FaultKind::AgentLinkRestored => {
                self.agent_proxy.set_stalled(false);
                // Decisions during the fault were due to the fault and do not count as stale.
                self.available_since = Instant::now();
            }
            FaultKind::AgentInboundStalled => self.agent_proxy.set_direction_stalled(true, true),
            FaultKind::AgentOutboundStalled => self.agent_proxy.set_direction_stalled(false, true),
            FaultKind::AgentLinkDelay(ms) => self.agent_proxy.set_delay(Duration::from_millis(*ms)),
            _ => {}
        }
    }
}

/// Returns all links to these members, as pairs of sender and receiver.
pub(super) fn links_to(nodes: &[usize], members: usize) -> Vec<(usize, usize)> {
    nodes.iter().flat_map(|n| (0..members).map(move |from| (from, *n))).collect()
}

/// Returns all links from these members, as pairs of sender and receiver.
pub(super) fn links_from(nodes: &[usize], members: usize) -> Vec<(usize, usize)> {
    nodes.iter().flat_map(|n| (0..members).map(move |to| (*n, to))).collect()
}

/// Sends invalid datagrams from a separate address for [`FLOOD_DURATION`], at most [`MAX_FLOOD_DATAGRAMS`] to each
/// target.
fn flood(targets: &[SocketAddr]) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0") else { return };
    let deadline = Instant::now() + FLOOD_DURATION;
    for n in 0..MAX_FLOOD_DATAGRAMS {
        if Instant::now() > deadline {
            return;
        }
        // The datagrams are in turn too short, of another version, and of a plausible length and version.
        let datagrams = [vec![1; 8], vec![9; 80], [vec![1], vec![(n % 251) as u8; 200]].concat()];
        for target in targets {
            socket.send_to(&datagrams[n as usize % 3], target).map(drop).unwrap_or_default();
        }
        std::thread::sleep(FLOOD_INTERVAL);
    }
}

/// Makes writes to the state directory fail with a full disk. Each file is first written under a temporary name,
/// which becomes a link to a device that is always full.
fn fill_disk(dir: &Path) -> std::io::Result<()> {
    for name in ["learned", "good", "probation", "members"] {
        let temporary = dir.join(name).with_extension("new");
        std::fs::remove_file(&temporary).unwrap_or_default();
        symlink("/dev/full", &temporary)?;
    }
    Ok(())
}

/// Returns a method line of a snapshot with a hundred times the mean cost, as another deployment could have it.
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

/// Returns a snapshot in which the lines with this prefix are changed, with a matching checksum.
fn edit_snapshot(text: &str, prefix: &str, change: impl Fn(&str) -> String) -> String {
    let body: String = text
        .lines()
        .skip(2)
        .map(|line| if line.starts_with(prefix) { change(line) } else { line.into() })
        .map(|line| line + "\n")
        .collect();
    asterrill_recovery::encode_checksummed("learned", 1, &body)
}
