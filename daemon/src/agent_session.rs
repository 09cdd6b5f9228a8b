//! The session with the agent across its successive links: numbered notices are read once, and commands that a broken
//! link may have lost are sent again on the next one. A link that hangs without breaking, and a run of which nothing
//! is heard, are recognised by their silence: the link is then reconnected and the same recovery follows.

use asterrill::{RpcId, Us};
use asterrill_protocol::agent::NoticeId;
use std::collections::BTreeMap;
use std::fmt;

/// The longest time, in microseconds, without a byte from the agent after it was asked something: ten samples then go
/// unanswered.
const SILENCE_TIMEOUT_US: Us = 1_000_000;
/// A run of which nothing is heard for this many of the longest latency targets counts as lost.
const RUN_TIMEOUT_LATENCY_TARGETS: Us = 4;
/// Microseconds between checks for silence while something is expected from the agent.
const CHECK_INTERVAL_US: Us = 250_000;
/// The longest backoff, in microseconds, between two reconnects for silence.
const MAX_RECONNECT_BACKOFF_US: Us = 60_000_000;

/// What was sent to the agent about a run in progress.
#[derive(Clone, Copy, Debug, Default)]
struct RunRecord {
    /// The link that the last command was sent on.
    command_link: u64,
    /// The link that the stop was sent on.
    stop_link: Option<u64>,
    /// The notice that requested the call that the run waits for, or waited for last.
    call_notice: NoticeId,
    /// When something was last sent or received about it.
    last_activity: Us,
    /// It waits for an upstream call, so nothing is expected from the agent.
    awaits_call: bool,
}

impl RunRecord {
    /// Nothing was sent or received about it for `timeout`, though the agent is expected to speak.
    fn is_silent(&self, now: Us, timeout: Us) -> bool {
        !self.awaits_call && self.last_activity + timeout <= now
    }
}

/// Why the link to the agent is to be reconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Nothing arrived for this many microseconds after the agent was asked something.
    Link(Us),
    /// Nothing was heard of one run or more although the link carries data.
    Run(SilentRun),
}

/// The first of the runs of which nothing was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentRun {
    /// The run's RPC.
    pub id: RpcId,
    /// Microseconds since something was last sent or received about it.
    pub silent_for: Us,
    /// How many more runs are silent.
    pub others: usize,
    /// The link that its last command was sent on.
    pub command_link: u64,
    /// The present link.
    pub current_link: u64,
    /// The last notice that was read.
    pub last_notice: NoticeId,
}

impl fmt::Display for Silence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Silence::Link(silent_for) => write!(f, "no data from the agent for {} ms", silent_for / 1000),
            Silence::Run(run) => write!(
                f,
                "no notice about run {:?} for {} ms, nor about {} more: last command sent on link {} of {}, last \
                 notice {}",
                run.id,
                run.silent_for / 1000,
                run.others,
                run.command_link,
                run.current_link,
                run.last_notice.0
            ),
        }
    }
}

/// Runs whose last message from here may have been lost with an earlier link.
#[derive(Debug, Default)]
pub struct LostMessages {
    /// Runs whose last command is to be sent again.
    pub commands: Vec<RpcId>,
    /// Runs whose stop is to be sent again.
    pub stops: Vec<RpcId>,
}

/// The links to the agent, one after the other, and what was sent on each.
#[derive(Default)]
pub struct AgentSession {
    /// Counts the links.
    link: u64,
    last_notice: NoticeId,
    last_tag: u64,
    /// The tag of the sample after which all notices that were missed have been read.
    resync_tag: Option<u64>,
    runs: BTreeMap<RpcId, RunRecord>,
    has_greeted: bool,
    /// Since when the agent owes a message and nothing has arrived.
    awaiting_since: Option<Us>,
    next_check: Us,
    /// A run of which nothing is heard for so long counts as lost.
    run_timeout: Us,
    /// The least time between two reconnects for silence.
    reconnect_backoff: Us,
    reconnect_allowed_at: Us,
}

impl AgentSession {
    /// Sets the longest latency target of all methods, from which the timeout of a silent run follows.
    pub fn set_longest_latency_target(&mut self, target: Us) {
        self.run_timeout = target.saturating_mul(RUN_TIMEOUT_LATENCY_TARGETS).max(SILENCE_TIMEOUT_US);
    }

    /// A new link is connected. Returns the number of the last notice read. An agent that has greeted before owes a
    /// greeting from now on; one that never has may start late.
    pub fn link_connected(&mut self, now: Us) -> NoticeId {
        self.link += 1;
        self.awaiting_since = Some(now).filter(|_| self.has_greeted);
        self.last_notice
    }

    /// A number for a sample or an exercise that is requested now.
    pub fn next_tag(&mut self, now: Us) -> u64 {
        self.last_tag += 1;
        self.awaiting_since = self.awaiting_since.or(Some(now));
        self.last_tag
    }

    /// The agent has greeted. Returns the tag of the sample to request: once that has come, all missed notices have
    /// been read.
    pub fn greeted(&mut self, now: Us) -> u64 {
        self.has_greeted = true;
        self.message_received();
        let tag = self.next_tag(now);
        self.resync_tag = Some(tag);
        tag
    }

    /// A complete message came from the agent.
    pub fn message_received(&mut self) {
        self.awaiting_since = None;
    }

    /// When [`AgentSession::check_silence`] is due next.
    pub fn next_deadline(&self) -> Option<Us> {
        Some(self.next_check).filter(|_| self.awaiting_since.is_some() || !self.runs.is_empty())
    }

    /// Returns why the link is to be reconnected now, if it is.
    ///
    /// This guards against a link that hangs without breaking, and against a command or notice lost on a link that
    /// stays up: the run would never end here and its place on the cores would never be free again. The agent ignores
    /// commands that it has seen, so repeating them costs no more than a link. Worst case: one link for each run that
    /// takes many times its latency target, with a backoff that doubles.
    pub fn check_silence(&mut self, now: Us) -> Option<Silence> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + CHECK_INTERVAL_US;
        let Some(silence) = self.find_silence(now) else {
            if now >= self.reconnect_allowed_at + self.reconnect_backoff {
                self.reconnect_backoff = 0;
            }
            return None;
        };
        if now < self.reconnect_allowed_at {
            return None;
        }
        self.reconnect_backoff =
            (self.reconnect_backoff * 2).clamp(2 * SILENCE_TIMEOUT_US, MAX_RECONNECT_BACKOFF_US);
        self.reconnect_allowed_at = now + self.reconnect_backoff;
        self.awaiting_since = None;
        Some(silence)
    }

    fn find_silence(&self, now: Us) -> Option<Silence> {
        if let Some(since) = self.awaiting_since.filter(|since| since + SILENCE_TIMEOUT_US <= now) {
            return Some(Silence::Link(now - since));
        }
        let mut silent_runs = self.runs.iter().filter(|(_, run)| run.is_silent(now, self.run_timeout));
        let (id, run) = silent_runs.next()?;
        Some(Silence::Run(SilentRun {
            id: *id,
            silent_for: now - run.last_activity,
            others: silent_runs.count(),
            command_link: run.command_link,
            current_link: self.link,
            last_notice: self.last_notice,
        }))
    }

    /// A sample has come. True once, when all notices that were missed have been read.
    pub fn sample_received(&mut self, tag: u64) -> bool {
        self.resync_tag.take_if(|resync| *resync == tag).is_some()
    }

    /// Registers a numbered notice. False if it was read before.
    pub fn is_new_notice(&mut self, number: NoticeId) -> bool {
        let is_new = number > self.last_notice;
        self.last_notice = self.last_notice.max(number);
        is_new
    }

    /// A command about a run is sent. Returns the notice that requested the run's call.
    pub fn command_sent(&mut self, now: Us, id: RpcId) -> NoticeId {
        let run = self.runs.entry(id).or_default();
        run.command_link = self.link;
        run.last_activity = now;
        run.awaits_call = false;
        run.call_notice
    }

    /// A run requested an upstream call by this notice.
    pub fn call_requested(&mut self, id: RpcId, number: NoticeId) {
        self.runs.entry(id).and_modify(|run| {
            run.call_notice = number;
            run.awaits_call = true;
        });
    }

    /// A stop is sent to a run.
    pub fn stop_sent(&mut self, now: Us, id: RpcId) {
        let run = self.runs.entry(id).or_default();
        run.stop_link = Some(self.link);
        run.last_activity = now;
        run.awaits_call = false;
    }

    /// The run is over: the one place where its record is dropped.
    pub fn run_closed(&mut self, id: RpcId) {
        self.runs.remove(&id);
    }

    /// Returns what may have been lost with an earlier link; it then counts as sent again on the present one.
    pub fn take_lost_messages(&mut self, now: Us) -> LostMessages {
        let mut lost = LostMessages::default();
        for (id, run) in &mut self.runs {
            if std::mem::replace(&mut run.command_link, self.link) < self.link {
                run.last_activity = now;
                lost.commands.push(*id);
            }
            if run.stop_link.is_some_and(|link| link < self.link) {
                run.stop_link = Some(self.link);
                run.last_activity = now;
                lost.stops.push(*id);
            }
        }
        lost
    }
}
