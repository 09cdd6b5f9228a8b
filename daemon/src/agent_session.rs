//! What is peculiar to the agent: its notices come by numbers, and what a link that broke may have lost is sent
//! again. A link that carries nothing any more without breaking, and a run of which nothing is heard, show by their
//! silence: then the link is made anew, and the same recovery follows.

use asterrill::{RpcId, Us};
use asterrill_protocol::agent::NoticeId;
use std::collections::BTreeMap;
use std::fmt;

const SILENT: Us = 1_000_000; // without a byte from the agent after it was asked something: ten samples go unanswered
const PATIENCE: Us = 4; // longest latency targets that a run may take until it counts as lost
const LOOK: Us = 250_000; // between looks while something is to be heard from the agent
const LONGEST: Us = 60_000_000; // between two links made for silence

/// What the agent was record about a run that goes on.
#[derive(Clone, Copy, Debug, Default)]
struct RunRecord {
    /// The link by which the last command went.
    by: u64,
    /// The link by which it was record to stop.
    stop_sent_by: Option<u64>,
    /// The notice that asked for the call that the run waits for, or waited for last.
    asked: NoticeId,
    /// When something was last record or heard of it.
    at: Us,
    /// It waits for a call: nothing is to be heard of it from the agent.
    awaits_call: bool,
}

/// Why the link is to be made anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Nothing came for so long after it was asked something.
    Link(Us),
    /// Nothing was heard of this run for so long, nor of `others` more, while the link carries.
    Run { id: RpcId, silent: Us, others: usize, by: u64, link: u64, last: NoticeId },
}

impl fmt::Display for Silence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Silence::Link(span) => write!(f, "the agent has been silent for {} ms", span / 1000),
            Silence::Run { id, silent, others, by, link, last } => write!(
                f,
                "nothing was heard of run {id:?} for {} ms, nor of {others} more: record by link {by} of {link}, last \
                 notice {}",
                silent / 1000,
                last.0
            ),
        }
    }
}

/// The links to the agent, one after the other, and what was sent by each.
#[derive(Default)]
pub struct AgentSession {
    link: u64, // counts the links
    last: NoticeId,
    tag: u64,
    resync_tag: Option<u64>, // the sample after which all that was missed has been read
    runs: BTreeMap<RpcId, RunRecord>,
    has_greeted: bool,
    awaiting_since: Option<Us>, // since when the agent owes a reply of any kind and nothing has arrived
    next_check: Us,
    run_timeout: Us,
    reconnect_backoff: Us,
    reconnect_allowed_at: Us,
}

impl AgentSession {
    /// The longest latency target from now on.
    pub fn target(&mut self, longest: Us) {
        self.run_timeout = longest.saturating_mul(PATIENCE).max(SILENT);
    }
    /// A new link stands. Hands back the number of the last notice read. An agent that was up before owes a greeting
    /// from now on; one that never was may come up late.
    pub fn linked(&mut self, now: Us) -> NoticeId {
        self.link += 1;
        self.awaiting_since = Some(now).filter(|_| self.has_greeted);
        self.last
    }
    /// A number for a sample or an exercise, which is asked for now.
    pub fn tag(&mut self, now: Us) -> u64 {
        self.tag += 1;
        self.awaiting_since = self.awaiting_since.or(Some(now));
        self.tag
    }
    /// The agent greets: once the sample with the number handed back has come, all was read that was missed.
    pub fn greeted(&mut self, now: Us) -> u64 {
        self.has_greeted = true;
        self.heard();
        let tag = self.tag(now);
        self.resync_tag = Some(tag);
        tag
    }
    /// Something whole came from the agent.
    pub fn heard(&mut self) {
        self.awaiting_since = None;
    }
    /// When `silence` is wanted next.
    pub fn next(&self) -> Option<Us> {
        Some(self.next_check).filter(|_| self.awaiting_since.is_some() || !self.runs.is_empty())
    }
    /// Guards against a link that hangs without breaking, and against a command or a notice that got lost on one
    /// that stands: the run would never end here, and its place on the cores never be free again. The agent passes
    /// over commands that it knows, so saying them again costs a link. Harm: a link for a run of many times its
    /// latency target, at pauses that double.
    pub fn silence(&mut self, now: Us) -> Option<Silence> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + LOOK;
        let silent = |record: &RunRecord| !record.awaits_call && record.at + self.run_timeout <= now;
        let mut runs = self.runs.iter().filter(|(_, record)| silent(record));
        let found = match self.awaiting_since {
            Some(asked) if asked + SILENT <= now => Some(Silence::Link(now - asked)),
            _ => runs.next().map(|(id, record)| Silence::Run {
                id: *id,
                silent: now - record.at,
                others: runs.count(),
                by: record.by,
                link: self.link,
                last: self.last,
            }),
        };
        if found.is_none() {
            if now >= self.reconnect_allowed_at + self.reconnect_backoff {
                self.reconnect_backoff = 0;
            }
            return None;
        }
        if now < self.reconnect_allowed_at {
            return None;
        }
        self.reconnect_backoff = (self.reconnect_backoff * 2).clamp(2 * SILENT, LONGEST);
        self.reconnect_allowed_at = now + self.reconnect_backoff;
        self.awaiting_since = None;
        found
    }
    /// A sample has come. True once, when all that was missed has been read.
    pub fn sampled(&mut self, tag: u64) -> bool {
        self.resync_tag.take_if(|resync_tag| *resync_tag == tag).is_some()
    }
    /// Every numbered notice comes by here first. False if it was read before.
    pub fn fresh(&mut self, number: NoticeId) -> bool {
        let fresh = number > self.last;
        self.last = self.last.max(number);
        fresh
    }
    /// A command about a run goes out. Hands back the notice that asked for its call.
    pub fn sends(&mut self, now: Us, id: RpcId) -> NoticeId {
        let record = self.runs.entry(id).or_default();
        (record.by, record.at, record.awaits_call) = (self.link, now, false);
        record.asked
    }
    /// A run needs a call.
    pub fn asked(&mut self, id: RpcId, number: NoticeId) {
        self.runs.entry(id).and_modify(|record| (record.asked, record.awaits_call) = (number, true));
    }
    pub fn stops(&mut self, now: Us, id: RpcId) {
        let record = self.runs.entry(id).or_default();
        (record.stop_sent_by, record.at, record.awaits_call) = (Some(self.link), now, false);
    }
    /// The run is over: the one place where what is known of it is given back.
    pub fn over(&mut self, id: RpcId) {
        self.runs.remove(&id);
    }
    /// The runs whose last command may have been lost, and those whose stop may have been. By now it is counted
    /// as sent again, by the present link.
    pub fn lost(&mut self, now: Us) -> (Vec<RpcId>, Vec<RpcId>) {
        let (link, mut commands, mut stops) = (self.link, Vec::new(), Vec::new());
        for (id, record) in &mut self.runs {
            if std::mem::replace(&mut record.by, link) < link {
                record.at = now;
                commands.push(*id);
            }
            if record.stop_sent_by.is_some_and(|last| last < link) {
                (record.stop_sent_by, record.at) = (Some(link), now);
                stops.push(*id);
            }
        }
        (commands, stops)
    }
}
