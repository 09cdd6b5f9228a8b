//! Session with the agent, which spans successive links.
//!
//! Numbered notices are handled once, and commands that may have been lost with a link are resent on the next one. A
//! link that hangs without breaking, and a run about which no notice arrives, are detected by timeouts. The link is
//! then reconnected, which triggers the same recovery.

use asterrill::{RpcId, Us};
use asterrill_protocol::agent::NoticeId;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum time without data from the agent after a request to it, in microseconds. Ten requests for
/// samples are unanswered by then.
const SILENCE_TIMEOUT_US: Us = 1_000_000;
/// Time without a notice about a run after which it counts as lost, as a multiple of the longest latency target.
const RUN_TIMEOUT_LATENCY_TARGETS: Us = 4;
/// Interval between checks for silence while a message from the agent is expected, in microseconds.
const CHECK_INTERVAL_US: Us = 250_000;
/// Maximum backoff between two reconnects because of silence, in microseconds.
const MAX_RECONNECT_BACKOFF_US: Us = 60_000_000;

/// Record of the messages exchanged with the agent about a run in progress.
#[derive(Clone, Copy, Debug, Default)]
struct RunRecord {
    /// The number of the link on which the last command was sent.
    command_link: u64,
    /// The number of the link on which the stop was sent.
    stop_link: Option<u64>,
    /// The notice that requested the upstream call for which the run waits, or waited last.
    call_notice: NoticeId,
    /// The time of the last message about the run.
    last_activity: Us,
    /// Whether the run waits for an upstream call, so that no notice from the agent is expected.
    awaits_call: bool,
}

impl RunRecord {
    /// Reports whether no message about the run was exchanged for `timeout`, although a notice is expected.
    fn is_silent(&self, now: Us, timeout: Us) -> bool {
        !self.awaits_call && self.last_activity + timeout <= now
    }
}

/// Reason to reconnect the link to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// No data arrived for this many microseconds after a request to the agent.
    Link(Us),
    /// No notice arrived about one or more runs, although the link carries data.
    Run(SilentRun),
}

/// First of the runs about which no notice arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentRun {
    /// The RPC of the run.
    pub id: RpcId,
    /// The time since the last message about the run, in microseconds.
    pub silent_for: Us,
    /// The number of other silent runs.
    pub others: usize,
    /// The number of the link on which its last command was sent.
    pub command_link: u64,
    /// The number of the current link.
    pub current_link: u64,
    /// The last notice read.
    pub last_notice: NoticeId,
}

impl fmt::Display for Silence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Silence::Link(silent_for) => write!(f, "no data from the agent for {} ms", silent_for / 1000),
            Silence::Run(run) => write!(
                f,
                "no notice about run {:?} for {} ms, and none about {} other runs; last command sent on link {}, \
                 current link {}, last notice {}",
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

/// Runs whose last message from this server may have been lost with an earlier link.
#[derive(Debug, Default)]
pub struct LostMessages {
    /// The runs whose last command has to be resent.
    pub commands: Vec<RpcId>,
    /// The runs whose stop has to be resent.
    pub stops: Vec<RpcId>,
}

/// Successive links to the agent, and the messages sent on them.
#[derive(Default)]
pub struct AgentSession {
    /// The number of the current link; links are numbered from 1.
    link: u64,
    last_notice: NoticeId,
    last_tag: u64,
    /// The tag of the sample after which all missed notices have been read.
    resync_tag: Option<u64>,
    runs: BTreeMap<RpcId, RunRecord>,
    has_greeted: bool,
    /// The time since which a message from the agent is expected and none has arrived.
    awaiting_since: Option<Us>,
    next_check: Us,
    /// The time without a notice after which a run counts as lost.
    run_timeout: Us,
    /// The minimum time between two reconnects because of silence.
    reconnect_backoff: Us,
    reconnect_allowed_at: Us,
}

impl AgentSession {
    /// Sets the longest latency target of all methods, which determines the timeout of silent runs.
    pub fn set_longest_latency_target(&mut self, target: Us) {
        self.run_timeout = target.saturating_mul(RUN_TIMEOUT_LATENCY_TARGETS).max(SILENCE_TIMEOUT_US);
    }

    /// Registers a new link and returns the number of the last notice read.
    ///
    /// A greeting is expected on the link if the agent has sent one before. The first greeting may arrive at any time,
    /// because the agent may start later than this server.
    pub fn link_connected(&mut self, now: Us) -> NoticeId {
        self.link += 1;
        self.awaiting_since = Some(now).filter(|_| self.has_greeted);
        self.last_notice
    }

    /// Returns the tag for a sample or an exercise that is requested now.
    pub fn next_tag(&mut self, now: Us) -> u64 {
        self.last_tag += 1;
        self.awaiting_since = self.awaiting_since.or(Some(now));
        self.last_tag
    }

    /// Handles a greeting and returns the tag of the sample to request.
    ///
    /// Once that sample has arrived, all missed notices have been read.
    pub fn greeted(&mut self, now: Us) -> u64 {
        self.has_greeted = true;
        self.message_received();
        let tag = self.next_tag(now);
        self.resync_tag = Some(tag);
        tag
    }

    /// Records that a complete message was received from the agent.
    pub fn message_received(&mut self) {
        self.awaiting_since = None;
    }

    /// Returns the time at which [`AgentSession::check_silence`] is due next.
    pub fn next_deadline(&self) -> Option<Us> {
        Some(self.next_check).filter(|_| self.awaiting_since.is_some() || !self.runs.is_empty())
    }

    /// Returns the reason to reconnect the link now, if there is one.
    ///
    /// This guards against a link that hangs without breaking, and against a command or notice that is lost on a link
    /// that stays up. Without it, such a run would never end on this server, and the core assigned to it would never be
    /// released. Resending costs only the new link, because the agent ignores commands that it has already received. In
    /// the worst case there is one reconnect, with a doubling backoff, for each run that takes many times its latency
    /// target.
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

    /// Handles a sample. Returns true once after each greeting, when all missed notices have been read.
    pub fn sample_received(&mut self, tag: u64) -> bool {
        self.resync_tag.take_if(|resync| *resync == tag).is_some()
    }

    /// Registers a numbered notice and reports whether it is new.
    pub fn is_new_notice(&mut self, number: NoticeId) -> bool {
        let is_new = number > self.last_notice;
        self.last_notice = self.last_notice.max(number);
        is_new
    }

    /// Records a command about a run, and returns the notice that requested the run's call.
    pub fn command_sent(&mut self, now: Us, id: RpcId) -> NoticeId {
        let run = self.runs.entry(id).or_default();
        run.command_link = self.link;
        run.last_activity = now;
        run.awaits_call = false;
        run.call_notice
    }

    /// Records that a run requested an upstream call by this notice.
    pub fn call_requested(&mut self, id: RpcId, number: NoticeId) {
        self.runs.entry(id).and_modify(|run| {
            run.call_notice = number;
            run.awaits_call = true;
        });
    }

    /// Records that a stop is sent to a run.
    pub fn stop_sent(&mut self, now: Us, id: RpcId) {
        let run = self.runs.entry(id).or_default();
        run.stop_link = Some(self.link);
        run.last_activity = now;
        run.awaits_call = false;
    }

    /// Removes the record of a run that has ended. No other function removes records.
    pub fn run_closed(&mut self, id: RpcId) {
        self.runs.remove(&id);
    }

    /// Returns the messages that may have been lost with an earlier link, and records them as resent on this one.
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
