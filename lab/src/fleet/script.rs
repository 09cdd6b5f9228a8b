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

use super::mesh::{apart, Weather};
use super::Fleet;
use crate::report::Fault;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Kill,
    Crash,
    Start,
    Pause,
    Resume,
    Term,
    State(Spoil),
    BelowGone,
    BelowBack(f64),
    AgentHang,
    AgentPass,
    AgentDeaf,
    AgentMute,
    AgentDelay(u64),
    NamingGone,
    NamingBack,
    Reconnect,
    Split(Vec<Vec<usize>>),
    NetDeaf,
    NetMute,
    Lossy(u64),
    Late(u64),
    Double(u64),
    Heal,
    Flood,
}

/// What becomes of a state directory.
#[derive(Clone, Debug, PartialEq)]
pub enum Spoil {
    Lost,
    Torn,
    /// As if written a week ago.
    Old,
    /// Of another deployment.
    Other,
    ReadOnly,
    /// Whatever is written there finds no room.
    Full,
    Swap(usize),
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub at_ms: u64,
    pub what: What,
    /// Numbers of members; empty where none is meant.
    pub whom: Vec<usize>,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.whom.iter().map(|n| format!("n{n}")).collect();
        let (at, whom) = (self.at_ms, names.join(","));
        match &self.what {
            What::Kill => write!(f, "{at} kill {whom}"),
            What::Crash => write!(f, "{at} crash {whom}"),
            What::Start => write!(f, "{at} start {whom}"),
            What::Pause => write!(f, "{at} pause {whom}"),
            What::Resume => write!(f, "{at} resume {whom}"),
            What::Term => write!(f, "{at} term {whom}"),
            What::State(Spoil::Lost) => write!(f, "{at} state {whom} lost"),
            What::State(Spoil::Torn) => write!(f, "{at} state {whom} torn"),
            What::State(Spoil::Old) => write!(f, "{at} state {whom} old"),
            What::State(Spoil::Other) => write!(f, "{at} state {whom} other"),
            What::State(Spoil::ReadOnly) => write!(f, "{at} state {whom} readonly"),
            What::State(Spoil::Full) => write!(f, "{at} state {whom} full"),
            What::State(Spoil::Swap(with)) => write!(f, "{at} state {whom} swap n{with}"),
            What::BelowGone => write!(f, "{at} below gone"),
            What::BelowBack(speed) => write!(f, "{at} below back {speed}"),
            What::AgentHang => write!(f, "{at} agent {whom} hang"),
            What::AgentPass => write!(f, "{at} agent {whom} pass"),
            What::AgentDeaf => write!(f, "{at} agent {whom} deaf"),
            What::AgentMute => write!(f, "{at} agent {whom} mute"),
            What::AgentDelay(ms) => write!(f, "{at} agent {whom} delay {ms}"),
            What::NamingGone => write!(f, "{at} naming gone"),
            What::NamingBack => write!(f, "{at} naming back"),
            What::Reconnect => write!(f, "{at} callers reconnect"),
            What::Split(groups) => {
                let group = |g: &Vec<usize>| g.iter().map(|n| format!("n{n}")).collect::<Vec<_>>().join(",");
                write!(f, "{at} net split {}", groups.iter().map(group).collect::<Vec<_>>().join("|"))
            }
            What::NetDeaf => write!(f, "{at} net deaf {whom}"),
            What::NetMute => write!(f, "{at} net mute {whom}"),
            What::Lossy(n) => write!(f, "{at} net lossy {n}"),
            What::Late(ms) => write!(f, "{at} net late {ms}"),
            What::Double(n) => write!(f, "{at} net double {n}"),
            What::Heal => write!(f, "{at} net heal"),
            What::Flood => write!(f, "{at} net flood {whom}"),
        }
    }
}

/// Reads a script.
pub fn parse(text: &str, nodes: usize) -> Result<Vec<Line>, Fault> {
    let mut lines = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        if words.is_empty() {
            continue;
        }
        let wrong = || format!("line {} of the script is not understood: {line:?}", i + 1);
        lines.push(one(&words, nodes).ok_or_else(wrong)?);
    }
    lines.sort_by_key(|line: &Line| line.at_ms);
    Ok(lines)
}

fn one(words: &[&str], nodes: usize) -> Option<Line> {
    let at_ms = words.first()?.parse().ok()?;
    let member = |name: &str| name.strip_prefix('n')?.parse().ok().filter(|n: &usize| *n < nodes);
    let members = |list: &str| -> Option<Vec<usize>> {
        match list {
            "all" => Some((0..nodes).collect()),
            list => list.split(',').map(member).collect(),
        }
    };
    let (what, whom) = match words[1..] {
        ["kill", list] => (What::Kill, members(list)?),
        ["crash", list] => (What::Crash, members(list)?),
        ["start", list] => (What::Start, members(list)?),
        ["pause", list] => (What::Pause, members(list)?),
        ["resume", list] => (What::Resume, members(list)?),
        ["term", list] => (What::Term, members(list)?),
        ["state", list, "lost"] => (What::State(Spoil::Lost), members(list)?),
        ["state", list, "torn"] => (What::State(Spoil::Torn), members(list)?),
        ["state", list, "old"] => (What::State(Spoil::Old), members(list)?),
        ["state", list, "other"] => (What::State(Spoil::Other), members(list)?),
        ["state", list, "readonly"] => (What::State(Spoil::ReadOnly), members(list)?),
        ["state", list, "full"] => (What::State(Spoil::Full), members(list)?),
        ["state", list, "swap", with] => (What::State(Spoil::Swap(member(with)?)), members(list)?),
        ["below", "gone"] => (What::BelowGone, vec![]),
        ["below", "back", speed] => {
            (What::BelowBack(speed.parse().ok().filter(|s| *s > 0.0 && *s <= 4.0)?), vec![])
        }
        ["agent", list, "hang"] => (What::AgentHang, members(list)?),
        ["agent", list, "pass"] => (What::AgentPass, members(list)?),
        ["agent", list, "deaf"] => (What::AgentDeaf, members(list)?),
        ["agent", list, "mute"] => (What::AgentMute, members(list)?),
        ["agent", list, "delay", ms] => (What::AgentDelay(ms.parse().ok()?), members(list)?),
        ["naming", "gone"] => (What::NamingGone, vec![]),
        ["naming", "back"] => (What::NamingBack, vec![]),
        ["callers", "reconnect"] => (What::Reconnect, vec![]),
        ["net", "split", groups] => {
            (What::Split(groups.split('|').map(members).collect::<Option<_>>()?), vec![])
        }
        ["net", "deaf", list] => (What::NetDeaf, members(list)?),
        ["net", "mute", list] => (What::NetMute, members(list)?),
        ["net", "lossy", n] => (What::Lossy(n.parse().ok().filter(|n| *n <= 100)?), vec![]),
        ["net", "late", ms] => (What::Late(ms.parse().ok().filter(|ms| *ms <= 60_000)?), vec![]),
        ["net", "double", n] => (What::Double(n.parse().ok().filter(|n| *n <= 100)?), vec![]),
        ["net", "heal"] => (What::Heal, vec![]),
        ["net", "flood", list] => (What::Flood, members(list)?),
        _ => return None,
    };
    Some(Line { at_ms, what, whom })
}

/// What a played script has done so far.
#[derive(Default)]
pub struct Played {
    /// Members that were told to leave; nothing is owed by one that has left.
    pub left: BTreeSet<usize>,
    /// Since when a member can't answer, as it stands still; and the spans in which it could not.
    pub stopped: BTreeMap<usize, Instant>,
    pub still: Vec<(usize, Instant, Instant)>,
    pub faults: u64,
}

const PATIENCE: Duration = Duration::from_millis(3_300); // of any caller, at the most

impl Played {
    /// Of tries without an answer, to whom and when they were sent, those that count. One that stands still answers
    /// nothing; it is asked all the same, and once it is awake its callers are gone.
    pub fn excuse(&self, unanswered: &[(usize, Instant)]) -> usize {
        let stopped = self.stopped.iter().map(|(n, since)| (*n, *since, Instant::now()));
        let still: Vec<(usize, Instant, Instant)> = self.still.iter().copied().chain(stopped).collect();
        let excused = |(node, at): &&(usize, Instant)| {
            still.iter().any(|(n, from, to)| n == node && *from <= *at + PATIENCE && at <= to)
        };
        unanswered.iter().filter(|of| !excused(of)).count()
    }
}

impl Fleet {
    /// Carries one fault out.
    pub fn suffer(&mut self, line: &Line, played: &mut Played) -> Result<(), Fault> {
        played.faults += 1;
        let cold = self.cold;
        match &line.what {
            What::BelowGone => {
                self.members.iter().for_each(|m| m.to_below.gone(true));
                return Ok(());
            }
            What::NamingGone | What::NamingBack => {
                let gone = line.what == What::NamingGone;
                self.members.iter().for_each(|m| m.to_naming.gone(gone));
                return Ok(());
            }
            What::Split(_)
            | What::NetDeaf
            | What::NetMute
            | What::Lossy(_)
            | What::Late(_)
            | What::Double(_)
            | What::Heal
            | What::Flood => return self.blow(line),
            What::BelowBack(speed) => {
                self.below.desk().empty(*speed);
                self.members.iter().for_each(|m| m.to_below.gone(false));
                return Ok(());
            }
            _ => {}
        }
        // Processes die together, within a few milliseconds, before anything else is done about them.
        if matches!(line.what, What::Kill | What::Crash) {
            for n in &line.whom {
                self.members[*n].node.child.kill().unwrap_or_default();
            }
        }
        for n in line.whom.iter().copied() {
            let member = &mut self.members[n];
            match &line.what {
                What::Kill => {
                    member.node.kill();
                    member.agent.restart(cold);
                    member.up = false;
                }
                What::Crash => {
                    member.node.kill();
                    member.agent.new_backend();
                    member.node.again()?;
                    member.since = Instant::now();
                }
                What::Start if !member.up => {
                    if let Ok(None) = member.node.child.try_wait() {
                        member.node.ended(Duration::from_secs(6));
                        member.node.kill();
                    }
                    // The machine was up for as long as it takes to start the process.
                    member.agent.restart(cold);
                    member.node.again()?;
                    (member.since, member.up) = (Instant::now(), true);
                    played.left.remove(&n);
                }
                What::Pause => {
                    member.node.signal("STOP");
                    played.stopped.insert(n, Instant::now());
                }
                What::Resume => {
                    member.node.signal("CONT");
                    let since = played.stopped.remove(&n);
                    played.still.extend(since.map(|since| (n, since, Instant::now())));
                    member.since = Instant::now();
                }
                What::Term => {
                    member.node.signal("TERM");
                    member.up = false;
                    played.left.insert(n);
                }
                What::State(spoil) => self.spoil(n, spoil)?,
                What::AgentHang => member.to_agent.hang(true),
                What::AgentPass => {
                    member.to_agent.hang(false);
                    // What it decided meanwhile had reasons of its own.
                    member.since = Instant::now();
                }
                What::AgentDeaf => member.to_agent.hang_one(true, true),
                What::AgentMute => member.to_agent.hang_one(false, true),
                What::AgentDelay(ms) => member.to_agent.delay(Duration::from_millis(*ms)),
                _ => {}
            }
        }
        Ok(())
    }

    /// What befalls the net between processes.
    fn blow(&self, line: &Line) -> Result<(), Fault> {
        let Some(mesh) = &self.mesh else { return Err("these processes do not talk to each other".into()) };
        let nodes = self.members.len();
        mesh.weather(|w| match &line.what {
            What::Split(groups) => w.cut = apart(groups, nodes),
            What::NetDeaf => w.cut.extend(line.whom.iter().flat_map(|n| (0..nodes).map(move |a| (a, *n)))),
            What::NetMute => w.cut.extend(line.whom.iter().flat_map(|n| (0..nodes).map(move |a| (*n, a)))),
            What::Lossy(n) => w.loss = *n as f64 / 100.0,
            What::Late(ms) => w.delay = Duration::from_millis(*ms),
            What::Double(n) => w.doubles = *n as f64 / 100.0,
            What::Heal => *w = Weather::default(),
            _ => {}
        });
        if line.what == What::Flood {
            let to: Vec<SocketAddr> = line.whom.iter().filter_map(|n| mesh.at.get(*n).copied()).collect();
            std::thread::spawn(move || flood(&to));
        }
        Ok(())
    }

    /// Spoils the state of a member that is down.
    pub fn spoil(&self, n: usize, spoil: &Spoil) -> Result<(), Fault> {
        let learned = self.state(n).join("learned");
        let text = std::fs::read_to_string(&learned).unwrap_or_default();
        match spoil {
            Spoil::Lost => std::fs::remove_dir_all(self.state(n)).unwrap_or_default(),
            Spoil::Torn => std::fs::write(&learned, &text[..text.len() / 2])?,
            Spoil::Old => {
                std::fs::write(&learned, edited(&text, "moment ", |_| "moment 1 1 0000000000000001".into()))?
            }
            Spoil::Other => {
                let dear = |line: &str| {
                    // Another deployment's costs: a hundred times what it is here.
                    let words: Vec<&str> = line.splitn(5, ' ').collect();
                    match words[..] {
                        ["method", target, mean, runs, name] => {
                            let mean = mean.parse::<f64>().unwrap_or(0.0) * 100.0;
                            format!("method {target} {mean} {runs} {name}")
                        }
                        _ => line.into(),
                    }
                };
                std::fs::write(&learned, edited(&text, "method ", dear))?;
            }
            Spoil::ReadOnly => {
                // Root writes whatever the mode says; a file in the directory's place stops anybody.
                std::fs::remove_dir_all(self.state(n)).unwrap_or_default();
                std::fs::write(self.state(n), "no directory")?;
            }
            Spoil::Full => {
                // Each file is written beside its place: there, into a device that is always full.
                for name in ["learned", "good", "probation", "members"] {
                    let beside = self.state(n).join(name).with_extension("new");
                    std::fs::remove_file(&beside).unwrap_or_default();
                    std::os::unix::fs::symlink("/dev/full", &beside)?;
                }
            }
            Spoil::Swap(with) => {
                let other = self.state(*with).join("learned");
                let theirs = std::fs::read_to_string(&other).unwrap_or_default();
                std::fs::write(&learned, theirs)?;
                std::fs::write(&other, text)?;
            }
        }
        Ok(())
    }
}

/// For a second, from an address of its own, and bounded in number.
fn flood(to: &[SocketAddr]) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0") else { return };
    let until = Instant::now() + Duration::from_secs(1);
    for n in 0..20_000_u32 {
        if Instant::now() > until {
            return;
        }
        // By turns too short, of another version, and whole by its looks.
        let bytes = [vec![1; 8], vec![9; 80], [vec![1], vec![(n % 251) as u8; 200]].concat()];
        for at in to {
            socket.send_to(&bytes[n as usize % 3], at).map(drop).unwrap_or_default();
        }
        std::thread::sleep(Duration::from_micros(100));
    }
}

/// A snapshot with some of its lines changed, under a checksum that holds.
fn edited(text: &str, begins: &str, change: impl Fn(&str) -> String) -> String {
    let body: String = text
        .lines()
        .skip(2)
        .map(|line| if line.starts_with(begins) { change(line) } else { line.into() })
        .map(|line| line + "\n")
        .collect();
    asterrill_recovery::encode_checksummed("learned", 1, &body)
}

#[cfg(test)]
#[path = "tests/script.rs"]
mod tests;
