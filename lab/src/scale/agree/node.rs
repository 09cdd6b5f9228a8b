//! One node: its state machine, what waits to be read, its disk, and what it has spent.

use asterrill::Us;
use asterrill_consensus::Node as ConsensusNode;
use std::collections::{HashMap, VecDeque};

const MAX_SENDER_BURST_MESSAGES: f64 = 2_000.0; // messages that one sender may send at once
const MAX_SENDER_MESSAGES_PER_S: f64 = 1_000.0; // and a second

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
pub(super) struct EnforcedVersions {
    pub(super) effective: u64,
    pub(super) newest: u64,
}

/// What a node acts on, as it would answer now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Enforcement {
    pub(super) versions: Option<EnforcedVersions>,
    /// When its lease ends.
    pub(super) lease_until: Us,
}

/// What one sender may send.
#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    updated_at: Us,
}

/// Files that were written anew.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReplacedFiles {
    pub(super) count: u64,
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
    pub(super) clock_rate_permille: u64,
    pub(super) inbox: VecDeque<Received>,
    /// Writes that are on disk, and of which it has not been notified.
    pub(super) persisted: Vec<u64>,
    /// Until when it computes.
    pub(super) busy_until: Us,
    /// When its next turn is.
    pub(super) next_iteration: Option<Us>,
    /// Its number of this start; tells starts of all nodes apart.
    pub(super) start_id: u64,
    pub(super) disk: Vec<u8>,
    /// Until when it writes.
    pub(super) writing_until: Us,
    pub(super) is_leader: bool,
    pub(super) enforcement: Enforcement,
    /// The highest version that it acted on since its start.
    pub(super) highest_enforced: u64,
    rate_limits: HashMap<usize, TokenBucket>,
    pub(super) usage: Usage,
    /// Bytes that were appended on disk.
    pub(super) appended_bytes: u64,
    pub(super) replaced_files: ReplacedFiles,
}

impl Node {
    /// A node that does not run yet.
    pub(super) fn new(clock_rate_permille: u64) -> Node {
        Node {
            consensus: None,
            clock_rate_permille,
            inbox: VecDeque::new(),
            persisted: Vec::new(),
            busy_until: 0,
            next_iteration: None,
            start_id: 0,
            disk: Vec::new(),
            writing_until: 0,
            is_leader: false,
            enforcement: Enforcement::default(),
            highest_enforced: 0,
            rate_limits: HashMap::new(),
            usage: Usage::default(),
            appended_bytes: 0,
            replaced_files: ReplacedFiles::default(),
        }
    }

    /// Whether a sender may send one more message now, which is counted.
    pub(super) fn try_consume_token(&mut self, from: usize, now: Us) -> bool {
        let bucket = self
            .rate_limits
            .entry(from)
            .or_insert(TokenBucket { tokens: MAX_SENDER_BURST_MESSAGES, updated_at: now });
        let more = MAX_SENDER_MESSAGES_PER_S * (now - bucket.updated_at) as f64 / 1e6;
        bucket.tokens = (bucket.tokens + more).min(MAX_SENDER_BURST_MESSAGES);
        bucket.updated_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// The version number of its log; none while it is down.
    pub(super) fn version_number(&self) -> Option<u64> {
        self.consensus.as_ref().map(|consensus| consensus.version_log().number())
    }
}
