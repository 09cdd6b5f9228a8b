//! Fault scripts: one fault per line, with the time in milliseconds since the load began, the fault, the members and
//! further arguments. Scripts are written by hand or generated from a seed; a scenario that fails prints its script,
//! and `--script` runs it again.
//!
//! ```text
//! 6000 kill n0,n1,n2         # SIGKILL and a restart of the machine: the agent loses its runs, the cores are cold
//! 6400 start all             # starts the members that are down
//! 7000 pause n3 / resume n3  # SIGSTOP, SIGCONT
//! 7000 term n4               # SIGTERM
//! 7000 crash n5              # SIGKILL and start of the process alone: the agent keeps running
//! 6200 state n0 lost         # damages the state directory: lost, torn, old, other, readonly, full
//! 6200 state n0 swap n1
//! 8000 below gone / below back 0.33
//! 9000 agent n2 hang / agent n2 pass        # the link stays open and transfers nothing
//! 9000 agent n2 deaf / agent n2 mute        # one direction only: to the agent, from the agent
//! 9000 agent n2 delay 20                    # milliseconds in each direction
//! 9000 naming gone / naming back
//! 9000 callers reconnect
//! 9000 net split n0,n1|n2,n3,n4             # members reach each other within a group; a member may be in two groups
//! 9000 net deaf n3 / net mute n3            # blocks datagrams between processes, to n3 / from n3
//! 9000 net lossy 15 / net late 300 / net double 20     # percent, milliseconds at most, percent
//! 9000 net heal                             # ends all faults of the network
//! 9000 net flood n0                         # sends invalid datagrams for a second
//! ```

use crate::report::ScenarioError;
use std::fmt;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// SIGKILL and a restart of the machine: the agent restarts, and the cores are cold.
    Kill,
    /// SIGKILL and start of the process alone: the agent keeps running.
    Crash,
    /// Start of the processes that are down.
    Start,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// SIGTERM.
    Terminate,
    /// Damage to the state directory.
    State(StateFault),
    /// The upstream is unreachable.
    UpstreamDown,
    /// The upstream is reachable again, without its former calls and at this fraction of its speed.
    UpstreamRestored(f64),
    /// The link to the agent transfers nothing, in either direction.
    AgentLinkStalled,
    /// The link to the agent transfers data again, in both directions.
    AgentLinkRestored,
    /// The link transfers nothing to the agent.
    AgentInboundStalled,
    /// The link transfers nothing from the agent.
    AgentOutboundStalled,
    /// The link to the agent delays data by this many milliseconds in each direction.
    AgentLinkDelay(u64),
    /// The name service is unreachable.
    NameServiceDown,
    /// The name service is reachable again.
    NameServiceRestored,
    /// All callers close their connections.
    CallersReconnect,
    /// Members reach each other only within a group.
    GossipPartition(Vec<Vec<usize>>),
    /// Members receive no datagrams.
    GossipInboundBlocked,
    /// Members send no datagrams.
    GossipOutboundBlocked,
    /// Loss of a percentage of the datagrams.
    GossipLoss(u64),
    /// Datagrams are delayed by at most this many milliseconds.
    GossipDelay(u64),
    /// Duplication of a percentage of the datagrams.
    GossipDuplication(u64),
    /// All faults of the network between members end.
    GossipHeal,
    /// Members receive invalid datagrams for a second.
    GossipFlood,
}

/// Damage to a state directory.
#[derive(Clone, Debug, PartialEq)]
pub enum StateFault {
    /// The directory is removed.
    Lost,
    /// The snapshot is truncated to half of its length.
    Truncated,
    /// The snapshot has a time stamp of long ago.
    Outdated,
    /// The snapshot has the method costs of another deployment.
    OtherDeployment,
    /// The directory is replaced by a file, so that nothing can be written there.
    Unwritable,
    /// Writes fail as on a full disk.
    DiskFull,
    /// The snapshots of this and another member are swapped.
    Swap(usize),
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds since the load began.
    pub at_ms: u64,
    /// The fault.
    pub kind: FaultKind,
    /// Indices of the members; empty for faults that are not limited to certain members.
    pub nodes: Vec<usize>,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.nodes.iter().map(|n| format!("n{n}")).collect();
        let (at, nodes) = (self.at_ms, names.join(","));
        match &self.kind {
            FaultKind::Kill => write!(f, "{at} kill {nodes}"),
            FaultKind::Crash => write!(f, "{at} crash {nodes}"),
            FaultKind::Start => write!(f, "{at} start {nodes}"),
            FaultKind::Pause => write!(f, "{at} pause {nodes}"),
            FaultKind::Resume => write!(f, "{at} resume {nodes}"),
            FaultKind::Terminate => write!(f, "{at} term {nodes}"),
            FaultKind::State(StateFault::Lost) => write!(f, "{at} state {nodes} lost"),
            FaultKind::State(StateFault::Truncated) => write!(f, "{at} state {nodes} torn"),
            FaultKind::State(StateFault::Outdated) => write!(f, "{at} state {nodes} old"),
            FaultKind::State(StateFault::OtherDeployment) => write!(f, "{at} state {nodes} other"),
            FaultKind::State(StateFault::Unwritable) => write!(f, "{at} state {nodes} readonly"),
            FaultKind::State(StateFault::DiskFull) => write!(f, "{at} state {nodes} full"),
            FaultKind::State(StateFault::Swap(with)) => write!(f, "{at} state {nodes} swap n{with}"),
            FaultKind::UpstreamDown => write!(f, "{at} below gone"),
            FaultKind::UpstreamRestored(speed) => write!(f, "{at} below back {speed}"),
            FaultKind::AgentLinkStalled => write!(f, "{at} agent {nodes} hang"),
            FaultKind::AgentLinkRestored => write!(f, "{at} agent {nodes} pass"),
            FaultKind::AgentInboundStalled => write!(f, "{at} agent {nodes} deaf"),
            FaultKind::AgentOutboundStalled => write!(f, "{at} agent {nodes} mute"),
            FaultKind::AgentLinkDelay(ms) => write!(f, "{at} agent {nodes} delay {ms}"),
            FaultKind::NameServiceDown => write!(f, "{at} naming gone"),
            FaultKind::NameServiceRestored => write!(f, "{at} naming back"),
            FaultKind::CallersReconnect => write!(f, "{at} callers reconnect"),
            FaultKind::GossipPartition(groups) => {
                let group = |g: &Vec<usize>| g.iter().map(|n| format!("n{n}")).collect::<Vec<_>>().join(",");
                write!(f, "{at} net split {}", groups.iter().map(group).collect::<Vec<_>>().join("|"))
            }
            FaultKind::GossipInboundBlocked => write!(f, "{at} net deaf {nodes}"),
            FaultKind::GossipOutboundBlocked => write!(f, "{at} net mute {nodes}"),
            FaultKind::GossipLoss(n) => write!(f, "{at} net lossy {n}"),
            FaultKind::GossipDelay(ms) => write!(f, "{at} net late {ms}"),
            FaultKind::GossipDuplication(n) => write!(f, "{at} net double {n}"),
            FaultKind::GossipHeal => write!(f, "{at} net heal"),
            FaultKind::GossipFlood => write!(f, "{at} net flood {nodes}"),
        }
    }
}

impl ScheduledFault {
    /// Returns a fault that is injected this many milliseconds after the load began.
    pub fn new(at_ms: u64, kind: FaultKind, nodes: &[usize]) -> ScheduledFault {
        ScheduledFault { at_ms, kind, nodes: nodes.to_vec() }
    }
}

/// Parses a script for a fleet of this many nodes and returns its faults in the order of their times.
///
/// # Errors
/// A line is not valid; the error has its number and text.
pub fn parse(text: &str, nodes: usize) -> Result<Vec<ScheduledFault>, ScenarioError> {
    let mut faults = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        let invalid = || {
            format!("line {} of the fault script: expected a time in ms and a fault, found {line:?}", i + 1)
        };
        faults.push(parse_line(&words, nodes).ok_or_else(invalid)?);
    }
    faults.sort_by_key(|fault: &ScheduledFault| fault.at_ms);
    Ok(faults)
}

fn parse_line(words: &[&str], nodes: usize) -> Option<ScheduledFault> {
    let at_ms = words.first()?.parse().ok()?;
    let member = |name: &str| name.strip_prefix('n')?.parse().ok().filter(|n: &usize| *n < nodes);
    let members = |list: &str| -> Option<Vec<usize>> {
        match list {
            "all" => Some((0..nodes).collect()),
            list => list.split(',').map(member).collect(),
        }
    };
    let (kind, nodes_hit) = match words[1..] {
        ["kill", list] => (FaultKind::Kill, members(list)?),
        ["crash", list] => (FaultKind::Crash, members(list)?),
        ["start", list] => (FaultKind::Start, members(list)?),
        ["pause", list] => (FaultKind::Pause, members(list)?),
        ["resume", list] => (FaultKind::Resume, members(list)?),
        ["term", list] => (FaultKind::Terminate, members(list)?),
        ["state", list, "lost"] => (FaultKind::State(StateFault::Lost), members(list)?),
        ["state", list, "torn"] => (FaultKind::State(StateFault::Truncated), members(list)?),
        ["state", list, "old"] => (FaultKind::State(StateFault::Outdated), members(list)?),
        ["state", list, "other"] => (FaultKind::State(StateFault::OtherDeployment), members(list)?),
        ["state", list, "readonly"] => (FaultKind::State(StateFault::Unwritable), members(list)?),
        ["state", list, "full"] => (FaultKind::State(StateFault::DiskFull), members(list)?),
        ["state", list, "swap", with] => (FaultKind::State(StateFault::Swap(member(with)?)), members(list)?),
        ["below", "gone"] => (FaultKind::UpstreamDown, vec![]),
        ["below", "back", speed] => {
            (FaultKind::UpstreamRestored(speed.parse().ok().filter(|s| *s > 0.0 && *s <= 4.0)?), vec![])
        }
        ["agent", list, "hang"] => (FaultKind::AgentLinkStalled, members(list)?),
        ["agent", list, "pass"] => (FaultKind::AgentLinkRestored, members(list)?),
        ["agent", list, "deaf"] => (FaultKind::AgentInboundStalled, members(list)?),
        ["agent", list, "mute"] => (FaultKind::AgentOutboundStalled, members(list)?),
        ["agent", list, "delay", ms] => (FaultKind::AgentLinkDelay(ms.parse().ok()?), members(list)?),
        ["naming", "gone"] => (FaultKind::NameServiceDown, vec![]),
        ["naming", "back"] => (FaultKind::NameServiceRestored, vec![]),
        ["callers", "reconnect"] => (FaultKind::CallersReconnect, vec![]),
        ["net", "split", groups] => {
            (FaultKind::GossipPartition(groups.split('|').map(members).collect::<Option<_>>()?), vec![])
        }
        ["net", "deaf", list] => (FaultKind::GossipInboundBlocked, members(list)?),
        ["net", "mute", list] => (FaultKind::GossipOutboundBlocked, members(list)?),
        ["net", "lossy", n] => (FaultKind::GossipLoss(n.parse().ok().filter(|n| *n <= 100)?), vec![]),
        ["net", "late", ms] => (FaultKind::GossipDelay(ms.parse().ok().filter(|ms| *ms <= 60_000)?), vec![]),
        ["net", "double", n] => (FaultKind::GossipDuplication(n.parse().ok().filter(|n| *n <= 100)?), vec![]),
        ["net", "heal"] => (FaultKind::GossipHeal, vec![]),
        ["net", "flood", list] => (FaultKind::GossipFlood, members(list)?),
        _ => return None,
    };
    Some(ScheduledFault { at_ms, kind, nodes: nodes_hit })
}

#[cfg(test)]
#[path = "tests/fault_script.rs"]
mod tests;
