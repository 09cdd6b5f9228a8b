//! Session with the agent, which spans successive links.
//!
//! Numbered notices are handled once. After a link has ended, each last command about a run is in one of three states:
//!
//! - received: a notice that follows from it has arrived, or the agent has answered a request that was sent on the same
//!   link more than [`LOSS_WINDOW_US`] later;
//! - unsent: there was no link when it was issued;
//! - uncertain: all others.
//!
//! Unsent commands are sent on the next link. An uncertain one may be resent only if that has no effect on a run that
//! has received it, also if the run goes on before the resent command arrives.
//!
//! A link that hangs without breaking, and a run about which no notice arrives, are detected by timeouts. The link is
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
/// Maximum time between the loss of a command and the break of its link, in microseconds.
const LOSS_WINDOW_US: Us = 50_000;
/// Number of the link of a message that was issued while there was no link.
const NO_LINK: u64 = 0;

/// What is known about whether the agent has received a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Receipt {
    /// Nothing is known.
    #[default]
    Unknown,
    /// The agent has certainly received it.
    Confirmed,
    /// No notice followed for so long that it counts as lost, whatever its link carried after it.
    Doubted,
}

/// Record of the messages exchanged with the agent about a run in progress.
#[derive(Clone, Copy, Debug, Default)]
struct RunRecord {
    /// The number of the link on which the last command was sent, or [`NO_LINK`].
    command_link: u64,
    /// The time of the last command.
    command_at: Us,
    /// Whether the agent has received the last command.
    receipt: Receipt,
    /// The number of the link on which the stop was sent, or [`NO_LINK`].
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

    /// Reports whether the last command may not have been received, and can't arrive any more on the link `current`.
    fn may_be_lost(&self, current: u64) -> bool {
        self.receipt != Receipt::Confirmed && self.command_link < current
    }
}

/// Request on the current link whose answer proves that earlier commands have been received.
#[derive(Clone, Copy, Debug)]
struct ReceiptProbe {
    tag: u64,
    requested_at: Us,
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

/// Runs whose last message from this server is not known to have been received on an earlier link.
#[derive(Debug, Default)]
pub struct UnreceivedMessages {
    /// The runs whose last command was never sent.
    pub unsent: Vec<RpcId>,
    /// The runs whose last command may or may not have been received.
    pub uncertain: Vec<RpcId>,
    /// The runs whose stop has to be sent again.
    pub stops: Vec<RpcId>,
}

/// Successive links to the agent, and the messages sent on them.
#[derive(Default)]
pub struct AgentSession {
    /// The number of the current or last link; links are numbered from 1.
    link: u64,
    /// Whether the current link is connected.
    is_connected: bool,
    last_notice: NoticeId,
    last_tag: u64,
    /// The tag of the sample after which all missed notices have been read.
    resync_tag: Option<u64>,
    receipt_probe: Option<ReceiptProbe>,
    runs: BTreeMap<RpcId, RunRecord>,
    has_greeted: bool,
    /// The time since which a message from the agent is expected and none has arrived.
    awaiting_since: Option<Us>,
    next_check: Us,
    /// The time without a notice after which an uncertain command is handled.
    uncertain_timeout: Us,
    /// The time without a notice after which a run counts as lost.
    run_timeout: Us,
    /// The minimum time between two reconnects because of silence.
    reconnect_backoff: Us,
    reconnect_allowed_at: Us,
}

impl AgentSession {
    /// Sets the longest latency target of all methods, which determines the timeouts of uncertain commands and of silent
    /// runs.
    pub fn set_longest_latency_target(&mut self, target: Us) {
        self.uncertain_timeout = target;
        self.run_timeout = target.saturating_mul(RUN_TIMEOUT_LATENCY_TARGETS).max(SILENCE_TIMEOUT_US);
    }

    /// Registers a new link and returns the number of the last notice read.
    ///
    /// A greeting is expected on the link if the agent has sent one before. The first greeting may arrive at any time,
    /// because the agent may start later than this server.
    pub fn link_connected(&mut self, now: Us) -> NoticeId {
        self.link += 1;
        self.is_connected = true;
        self.receipt_probe = None;
        self.awaiting_since = Some(now).filter(|_| self.has_greeted);
        self.last_notice
    }

    /// Records that the link has ended. Messages issued before the next one is connected are unsent.
    pub fn link_disconnected(&mut self) {
        self.is_connected = false;
        self.receipt_probe = None;
    }

    /// Returns the number of the link on which a message is sent now, or [`NO_LINK`].
    fn sending_link(&self) -> u64 {
        if self.is_connected {
            self.link
        } else {
            NO_LINK
        }
    }

    /// Returns the tag for a sample or an exercise that is requested now.
    pub fn next_tag(&mut self, now: Us) -> u64 {
        self.last_tag += 1;
        self.awaiting_since = self.awaiting_since.or(Some(now));
        if self.is_connected && self.receipt_probe.is_none() {
            self.receipt_probe = Some(ReceiptProbe { tag: self.last_tag, requested_at: now });
        }
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
    /// released. The commands of silent runs become uncertain. In the worst case there is one reconnect, with a doubling
    /// backoff, for each run that takes many times its latency target.
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
        let timeout = self.run_timeout;
        for run in self.runs.values_mut().filter(|run| run.is_silent(now, timeout)) {
            run.receipt = Receipt::Doubted;
        }
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
        if let Some(probe) = self.receipt_probe.take_if(|probe| tag >= probe.tag) {
            self.confirm_commands(probe);
        }
        self.resync_tag.take_if(|resync| *resync == tag).is_some()
    }

    /// Marks the commands as received that were sent on the current link so long before an answered request that they
    /// can't have been lost.
    fn confirm_commands(&mut self, answered: ReceiptProbe) {
        let link = self.link;
        let is_proven = |run: &&mut RunRecord| {
            run.receipt == Receipt::Unknown
                && run.command_link == link
                && run.command_at + LOSS_WINDOW_US <= answered.requested_at
        };
        for run in self.runs.values_mut().filter(is_proven) {
            run.receipt = Receipt::Confirmed;
        }
    }

    /// Registers a numbered notice and reports whether it is new.
    pub fn is_new_notice(&mut self, number: NoticeId) -> bool {
        let is_new = number > self.last_notice;
        self.last_notice = self.last_notice.max(number);
        is_new
    }

    /// Records a command about a run, and returns the notice that requested the run's call.
    pub fn command_sent(&mut self, now: Us, id: RpcId) -> NoticeId {
        let link = self.sending_link();
        let run = self.runs.entry(id).or_default();
        run.command_link = link;
        run.command_at = now;
        run.receipt = Receipt::Unknown;
        run.last_activity = now;
        run.awaits_call = false;
        run.call_notice
    }

    /// Records that a run requested an upstream call by this notice, so that it has received its last command.
    pub fn call_requested(&mut self, id: RpcId, number: NoticeId) {
        self.runs.entry(id).and_modify(|run| {
            run.receipt = Receipt::Confirmed;
            run.call_notice = number;
            run.awaits_call = true;
        });
    }

    /// Records that a stop is sent to a run.
    pub fn stop_sent(&mut self, now: Us, id: RpcId) {
        let link = self.sending_link();
        let run = self.runs.entry(id).or_default();
        run.stop_link = Some(link);
        run.last_activity = now;
        run.awaits_call = false;
    }

    /// Removes the record of a run that has ended. No other function removes records.
    pub fn run_closed(&mut self, id: RpcId) {
        self.runs.remove(&id);
    }

    /// Returns the messages that were not sent or may have been lost with an earlier link. The stops are recorded as sent
    /// on this one.
    pub fn take_unreceived_messages(&mut self, now: Us) -> UnreceivedMessages {
        let mut unreceived = UnreceivedMessages::default();
        for (id, run) in &mut self.runs {
            if run.may_be_lost(self.link) {
                let commands = if run.command_link == NO_LINK {
                    &mut unreceived.unsent
                } else {
                    &mut unreceived.uncertain
                };
                commands.push(*id);
            }
            if run.stop_link.is_some_and(|link| link < self.link) {
                run.stop_link = Some(self.link);
                run.last_activity = now;
                unreceived.stops.push(*id);
            }
        }
        unreceived
    }

    /// Returns the runs whose last command is still uncertain although a notice should have arrived by now. Each is
    /// returned again after the same time.
    pub fn take_overdue_uncertain(&mut self, now: Us) -> Vec<RpcId> {
        if !self.is_connected || self.resync_tag.is_some() {
            return Vec::new();
        }
        let (link, timeout) = (self.link, self.uncertain_timeout);
        let is_overdue =
            |run: &RunRecord| run.may_be_lost(link) && !run.awaits_call && run.last_activity + timeout <= now;
        let overdue = self.runs.iter_mut().filter(|(_, run)| is_overdue(run));
        let touch = |(id, run): (&RpcId, &mut RunRecord)| {
            run.last_activity = now;
            *id
        };
        overdue.map(touch).collect()
    }
}
