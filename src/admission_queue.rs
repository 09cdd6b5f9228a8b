//! The queue of admitted RPCs that wait for a core.

use crate::ids::RpcId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Ratio of the expected wait to the work queued ahead. It exceeds 1, because more RPCs of higher priority will
/// arrive.
const WAIT_FACTOR: f64 = 2.5;

/// Number of steps in which the relative buffer of a key is counted.
const RELATIVE_BUFFER_SCALE: f64 = 1e6;
/// Number of levels of the relative buffer for which the queued work is counted separately.
const BUFFER_LEVELS: f64 = 32.0;

/// A class of RPCs of equal priority weight; higher weights sort first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PriorityBand(Reverse<u64>);

/// A place in the order of the queue, without the age: priority weight, then level of the relative buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    band: PriorityBand,
    buffer_level: Reverse<u64>,
}

impl PriorityBand {
    /// Creates the band of a weight: the criticality, reduced for RPCs above their tenant's quota; 0 or more.
    pub(crate) fn new(weight: f64) -> PriorityBand {
        PriorityBand(Reverse((weight * 1e6) as u64))
    }
}

/// The sort key of a waiting RPC: priority weight, then relative buffer of the caller's account, then age.
///
/// The derived order compares the fields in the order of their declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) band: PriorityBand,
    relative_buffer: Reverse<u64>,
    sequence: u64,
    pub(crate) id: RpcId,
}

impl QueueKey {
    /// Creates a key. `sequence` is the number of the arrival; the relative buffer is 0 until the account is charged.
    pub(crate) fn new(band: PriorityBand, sequence: u64, id: RpcId) -> QueueKey {
        QueueKey { band, relative_buffer: Reverse(0), sequence, id }
    }

    /// Returns the place of the key in the queue.
    pub(crate) fn position(&self) -> QueuePosition {
        let ratio = self.relative_buffer.0 as f64 / RELATIVE_BUFFER_SCALE;
        QueuePosition { band: self.band, buffer_level: Reverse((ratio * BUFFER_LEVELS) as u64) }
    }

    /// Returns the key with the relative buffer that the account has after the charge.
    pub(crate) fn with_relative_buffer(self, ratio: f64) -> QueueKey {
        QueueKey { relative_buffer: Reverse((ratio * RELATIVE_BUFFER_SCALE) as u64), ..self }
    }
}

/// Admitted RPCs that wait for a core, and their expected work.
#[derive(Default)]
pub(crate) struct AdmissionQueue {
    order: BTreeSet<QueueKey>,
    /// Work of the queued RPCs, by position.
    work: BTreeMap<QueuePosition, QueuedWork>,
}

/// Work of the RPCs at one position.
#[derive(Default)]
struct QueuedWork {
    rpcs: usize,
    /// Expected serving time in microseconds.
    serving_time: f64,
}

impl AdmissionQueue {
    /// Adds an RPC. `work` is its expected serving time in microseconds.
    pub(crate) fn push(&mut self, key: QueueKey, work: f64) {
        self.order.insert(key);
        let queued = self.work.entry(key.position()).or_default();
        queued.rpcs += 1;
        queued.serving_time += work;
    }

    /// Removes an RPC if it is queued. `work` is the value that it was added with.
    pub(crate) fn remove(&mut self, key: QueueKey, work: f64) {
        if !self.order.remove(&key) {
            return;
        }
        let Some(queued) = self.work.get_mut(&key.position()) else { return };
        queued.rpcs -= 1;
        queued.serving_time -= work;
        if queued.rpcs == 0 {
            self.work.remove(&key.position());
        }
    }

    pub(crate) fn first(&self) -> Option<QueueKey> {
        self.order.first().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the work, in microseconds, that a new RPC at this position is expected to wait for.
    ///
    /// RPCs of callers that have used more of their accounts come after it, however many they are.
    pub(crate) fn work_ahead(&self, position: QueuePosition) -> f64 {
        let ahead = self.work.range(..=position).map(|(_, queued)| queued.serving_time);
        WAIT_FACTOR * ahead.sum::<f64>().max(0.0)
    }
}
