//! Faults as lines: a moment in milliseconds since the load began, what, whom, how. Written by hand or drawn from a
//! seed; printed with a failure, and played again with `--script`.
//!
//! ```text
//! 6000 kill n0,n1,n2         # SIGKILL, with the machine: its agent forgets and its cores are cold
//! 6400 start all             # those that are down
//! 7000 pause n3 / resume n3  # SIGSTOP, SIGCONT
//! 7000 term n4               # SIGTERM
//! 7000 crash n5              # SIGKILL of the process alone, and a start: its agent goes on
//! 6200 state n0 lost         # of its state directory: lost, torn, old, other, readonly, full
//! 6200 state n0 swap n1
//! 8000 below gone / below back 0.33
//! 9000 agent n2 hang / agent n2 pass        # the link stands and carries nothing
//! 9000 agent n2 deaf / agent n2 mute        # one way of it only: to the agent, from the agent
//! 9000 agent n2 delay 20                    # milliseconds, each way
//! 9000 naming gone / naming back
//! 9000 callers reconnect
//! 9000 net split n0,n1|n2,n3,n4             # who is in a group together hears each other; a bridge is in two
//! 9000 net deaf n3 / net mute n3            # of datagrams between processes, one way only
//! 9000 net lossy 15 / net late 300 / net double 20     # in 100, in ms at the most, in 100
//! 9000 net heal                             # all of these
//! 9000 net flood n0                         # garbage, another cluster's and recorded datagrams, for a second
//! ```

use crate::report::ScenarioError;
use std::fmt;

/// What goes wrong, or ends.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// SIGKILL, with the machine: its agent restarts, and its cores are cold.
    Kill,
    /// SIGKILL of the process alone, and a start: its agent goes on.
    Crash,
    /// Starts processes that are down.
    Start,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// SIGTERM.
    Terminate,
    /// Something happens to a state directory.
    State(StateFault),
    /// The upstream is away.
    UpstreamDown,
    /// The upstream is back, empty and at a part of its speed.
    UpstreamRestored(f64),
    /// The link to the agent carries nothing.
    AgentLinkStalled,
    /// It carries everything again.
    AgentLinkRestored,
    /// It carries nothing to the agent.
    AgentInboundStalled,
    /// It carries nothing from the agent.
    AgentOutboundStalled,
    /// It is late by so many milliseconds, each way.
    AgentLinkDelay(u64),
    /// The name service is away.
    NameServiceDown,
    /// The name service is back.
    NameServiceRestored,
    /// All callers break off their connections.
    CallersReconnect,
    /// Members of a common group hear each other, others do not.
    GossipPartition(Vec<Vec<usize>>),
    /// Members take no datagrams.
    GossipInboundBlocked,
    /// Members send no datagrams.
    GossipOutboundBlocked,
    /// Of 100 datagrams so many are lost.
    GossipLoss(u64),
    /// Datagrams are late by so many milliseconds at the most.
    GossipDelay(u64),
    /// Of 100 datagrams so many come twice.
    GossipDuplication(u64),
    /// The network is whole again.
    GossipHeal,
    /// Members take garbage for a second.
    GossipFlood,
}

/// FaultKind becomes of a state directory.
#[derive(Clone, Debug, PartialEq)]
pub enum StateFault {
    /// It is removed.
    Lost,
    /// Its snapshot is cut in half.
    Truncated,
    /// As if written a week ago.
    Outdated,
    /// Of another deployment.
    OtherDeployment,
    /// Nothing can be written there.
    Unwritable,
    /// Whatever is written there finds a full disk.
    DiskFull,
    /// It has the snapshot of another member, which has its own.
    Swap(usize),
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds since the load began.
    pub at_ms: u64,
    /// What goes wrong.
    pub kind: FaultKind,
    /// Numbers of members; empty where none is meant.
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
    /// A fault of members, so many milliseconds after the load began.
    pub fn new(at_ms: u64, kind: FaultKind, nodes: &[usize]) -> ScheduledFault {
        ScheduledFault { at_ms, kind, nodes: nodes.to_vec() }
    }
}

/// Reads a script for so many members; its faults in their order.
///
/// # Errors
/// A line is not understood: the error has its number and text.
pub fn parse(text: &str, nodes: usize) -> Result<Vec<ScheduledFault>, ScenarioError> {
    let mut lines = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        let wrong = || format!("line {} of the script is not understood: {line:?}", i + 1);
        lines.push(parse_line(&words, nodes).ok_or_else(wrong)?);
    }
    lines.sort_by_key(|line: &ScheduledFault| line.at_ms);
    Ok(lines)
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
