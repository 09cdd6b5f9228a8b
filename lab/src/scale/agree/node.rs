//! One node: its state machine, what waits to be read, its disk, and what it has spent.

use asterrill::Us;
use asterrill_consensus::Node as ConsensusNode;
use std::collections::{HashMap, VecDeque};

const BURST: f64 = 2_000.0; // messages that one sender may send at once
const RATE: f64 = 1_000.0; // and a second

/// What one node has spent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Usage {
    pub(super) cpu_ns: u64,
    pub(super) sent: u64,
    pub(super) sent_bytes: u64,
    pub(super) received: u64,
    pub(super) received_bytes: u64,
}

impl Usage {
    pub(super) fn since(&self, before: &Usage) -> Usage {
        Usage {
            cpu_ns: self.cpu_ns - before.cpu_ns,
            sent: self.sent - before.sent,
            sent_bytes: self.sent_bytes - before.sent_bytes,
            received: self.received - before.received,
            received_bytes: self.received_bytes - before.received_bytes,
        }
    }
}

/// The versions that a node acts on under a lease: the effective one, and the newest, which is the stricter of the two.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Acting {
    pub(super) effective: u64,
    pub(super) newest: u64,
}

/// What a node acts on, as it would answer now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct View {
    pub(super) acting: Option<Acting>,
    /// When its lease ends.
    pub(super) until: Us,
}

/// What one sender may send.
#[derive(Clone, Copy)]
struct Allowance {
    messages: f64,
    at: Us,
}

/// Files that were written anew.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FilesWritten {
    pub(super) files: u64,
    pub(super) bytes: u64,
}

/// A message that waits to be read.
pub(super) struct Received {
    pub(super) from: usize,
    pub(super) bytes: Vec<u8>,
}

/// One node.
pub(super) struct Node {
    /// None while it is down.
    pub(super) consensus: Option<ConsensusNode>,
    /// Thousandths of its clock's rate.
    pub(super) clock_rate: u64,
    pub(super) inbox: VecDeque<Received>,
    /// Writes that are on disk, and of which it has not been notified.
    pub(super) persisted: Vec<u64>,
    /// Until when it computes.
    pub(super) busy_until: Us,
    /// When its next turn is.
    pub(super) turn: Option<Us>,
    /// Its number of this start; tells starts of all nodes apart.
    pub(super) start: u64,
    pub(super) disk: Vec<u8>,
    /// Until when it writes.
    pub(super) writing_until: Us,
    pub(super) leads: bool,
    pub(super) view: View,
    /// The highest version that it acted on since its start.
    pub(super) highest: u64,
    allowances: HashMap<usize, Allowance>,
    pub(super) usage: Usage,
    /// Bytes that were appended on disk.
    pub(super) appended: u64,
    pub(super) files_written: FilesWritten,
}

impl Node {
    /// A node that does not run yet.
    pub(super) fn new(clock_rate: u64) -> Node {
        Node {
            consensus: None,
            clock_rate,
            inbox: VecDeque::new(),
            persisted: Vec::new(),
            busy_until: 0,
            turn: None,
            start: 0,
            disk: Vec::new(),
            writing_until: 0,
            leads: false,
            view: View::default(),
            highest: 0,
            allowances: HashMap::new(),
            usage: Usage::default(),
            appended: 0,
            files_written: FilesWritten::default(),
        }
    }

    /// Whether a sender may send one more message now, which is counted.
    pub(super) fn admits(&mut self, from: usize, now: Us) -> bool {
        let allowance = self.allowances.entry(from).or_insert(Allowance { messages: BURST, at: now });
        let more = RATE * (now - allowance.at) as f64 / 1e6;
        allowance.messages = (allowance.messages + more).min(BURST);
        allowance.at = now;
        if allowance.messages < 1.0 {
            return false;
        }
        allowance.messages -= 1.0;
        true
    }

    /// The version number of its log; none while it is down.
    pub(super) fn version_number(&self) -> Option<u64> {
        self.consensus.as_ref().map(|consensus| consensus.version_log().number())
    }
}
