//! The queue of admitted RPCs that wait for a core.

use crate::ids::RpcId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Ratio of the expected wait to the work queued ahead. It exceeds 1, because more RPCs of higher priority will
/// arrive.
const WAIT_FACTOR: f64 = 2.5;

/// A class of RPCs of equal priority weight; higher weights sort first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PriorityBand(Reverse<u64>);

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

    /// Returns the key with the relative buffer that the account has after the charge.
    pub(crate) fn with_relative_buffer(self, ratio: f64) -> QueueKey {
        QueueKey { relative_buffer: Reverse((ratio * 1e6) as u64), ..self }
    }
}

/// Admitted RPCs that wait for a core, and their expected work.
#[derive(Default)]
pub(crate) struct AdmissionQueue {
    order: BTreeSet<QueueKey>,
    /// Expected serving time in microseconds, by band.
    work: BTreeMap<PriorityBand, f64>,
}

impl AdmissionQueue {
    /// Adds an RPC. `work` is its expected serving time in microseconds.
    pub(crate) fn push(&mut self, key: QueueKey, work: f64) {
        self.order.insert(key);
        *self.work.entry(key.band).or_default() += work;
    }

    /// Removes an RPC if it is queued. `work` is the value that it was added with.
    pub(crate) fn remove(&mut self, key: QueueKey, work: f64) {
        if self.order.remove(&key) {
            *self.work.entry(key.band).or_default() -= work;
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

    /// Returns the work, in microseconds, that a new RPC of this band is expected to wait for.
    pub(crate) fn work_ahead(&self, band: PriorityBand) -> f64 {
        WAIT_FACTOR * self.work.range(..=band).map(|(_, work)| work).sum::<f64>().max(0.0)
    }
}
