//! One simulated node: its state machine, its inbox, its disk and its resource usage.

use asterrill::Us;
use asterrill_consensus::Node as ConsensusNode;
use std::collections::{HashMap, VecDeque};

/// Maximum number of messages that one sender may send at once.
const MAX_SENDER_BURST_MESSAGES: f64 = 2_000.0;
/// Maximum sustained rate of messages of one sender.
const MAX_SENDER_MESSAGES_PER_S: f64 = 1_000.0;

/// CPU time and traffic of one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Usage {
    pub(super) cpu_ns: u64,
    pub(super) sent: u64,
    pub(super) sent_bytes: u64,
    pub(super) received: u64,
    pub(super) received_bytes: u64,
}

impl Usage {
    /// Returns the usage since an earlier reading.
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

/// The versions that a node enforces under a lease: the effective one and the newest one, which is the stricter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EnforcedVersions {
    pub(super) effective: u64,
    pub(super) newest: u64,
}

/// Versions that a node enforces at a point in time, and the end of its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Enforcement {
    /// The enforced versions; `None` without a lease.
    pub(super) versions: Option<EnforcedVersions>,
    /// The virtual time at which the lease expires.
    pub(super) lease_until: Us,
}

/// The rate limit of one sender.
#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    updated_at: Us,
}

/// Number and total size of the files that replaced an earlier file.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReplacedFiles {
    pub(super) count: u64,
    pub(super) bytes: u64,
}

/// A received message that the node has not read yet.
pub(super) struct Received {
    pub(super) from: usize,
    pub(super) bytes: Vec<u8>,
}

/// One simulated node.
pub(super) struct Node {
    /// State machine of the node; `None` while the node is down.
    pub(super) consensus: Option<ConsensusNode>,
    /// The rate of the node's clock, in thousandths of virtual time.
    pub(super) clock_rate_permille: u64,
    pub(super) inbox: VecDeque<Received>,
    /// Writes that are on disk but not yet reported to the state machine.
    pub(super) persisted: Vec<u64>,
    /// The virtual time until which the node is computing.
    pub(super) busy_until: Us,
    /// The virtual time of the next iteration of its event loop.
    pub(super) next_iteration: Option<Us>,
    /// The id of the current start, unique over all starts of all nodes.
    pub(super) start_id: u64,
    pub(super) disk: Vec<u8>,
    /// The virtual time until which the disk is busy.
    pub(super) writing_until: Us,
    pub(super) is_leader: bool,
    pub(super) enforcement: Enforcement,
    /// The highest version that the node has enforced since its start.
    pub(super) highest_enforced: u64,
    rate_limits: HashMap<usize, TokenBucket>,
    pub(super) usage: Usage,
    /// Total of the bytes that were appended on disk.
    pub(super) appended_bytes: u64,
    pub(super) replaced_files: ReplacedFiles,
}

impl Node {
    /// Creates a node that is not running.
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

    /// Consumes a token of a sender for one message. Returns `false` if the sender has none left.
    pub(super) fn try_consume_token(&mut self, from: usize, now: Us) -> bool {
        let bucket = self
            .rate_limits
            .entry(from)
            .or_insert(TokenBucket { tokens: MAX_SENDER_BURST_MESSAGES, updated_at: now });
        let refill = MAX_SENDER_MESSAGES_PER_S * (now - bucket.updated_at) as f64 / 1e6;
        bucket.tokens = (bucket.tokens + refill).min(MAX_SENDER_BURST_MESSAGES);
        bucket.updated_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the newest version number in the log, or `None` while the node is down.
    pub(super) fn version_number(&self) -> Option<u64> {
        self.consensus.as_ref().map(|consensus| consensus.version_log().number())
    }
}
