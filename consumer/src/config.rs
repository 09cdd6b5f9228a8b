//! Configuration of a queue's consumer.

use crate::field_source::FieldSource;
use asterrill::Us;

/// Number of messages that may be held in addition to three prefetch windows.
const IN_FLIGHT_MARGIN: usize = 16;

/// Bounds of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// First delay, in microseconds.
    pub min: Us,
    /// Maximum delay, in microseconds.
    pub max: Us,
}

impl Backoff {
    /// Maximum number of times that the delay doubles. It bounds the factor to 2^20, with which any usual `min` reaches
    /// `max`.
    const MAX_DOUBLINGS: u32 = 20;

    /// Returns the delay after a number of previous delays. It doubles with each of them, up to `max`.
    pub(crate) fn delay(self, previous_delays: u32) -> Us {
        let factor = 1 << previous_delays.min(Self::MAX_DOUBLINGS);
        self.min.saturating_mul(factor).min(self.max)
    }
}

/// Configuration of one queue's consumer.
#[derive(Clone, Debug)]
pub struct ConsumerConfig {
    /// Name of the queue at the broker.
    pub name: String,
    /// Source of a delivery's method.
    pub method: FieldSource,
    /// Source of a delivery's tenant.
    pub tenant: FieldSource,
    /// Source of a delivery's caller.
    pub caller: FieldSource,
    /// Maximum prefetch, the number of deliveries that may be unsettled at a time; 1 or more.
    pub prefetch: u16,
    /// Maximum time from reading a delivery to its deadline, in microseconds.
    pub processing_timeout: Us,
    /// Number of runs of a message, including those before a redelivery, after which it is rejected.
    pub max_attempts: u32,
    /// Delay before a message is submitted again.
    pub backoff: Backoff,
    /// Memory that a message in flight is accounted for, in kB.
    pub size_kb: f64,
    /// Time for which the settlement of a message is remembered for its redeliveries, in microseconds.
    pub dedup_ttl: Us,
    /// Maximum number of settlements that are remembered.
    pub dedup_capacity: usize,
    /// Whether a redelivered message of a non-idempotent method is run although it may have run before.
    pub run_unverified_redeliveries: bool,
}

impl ConsumerConfig {
    /// Returns the maximum number of messages that may be held at a time. It allows for the current window, a window of
    /// a cancelled consumer whose deliveries still arrive, and messages that still run from before a channel was lost.
    pub fn max_in_flight(&self) -> usize {
        usize::from(self.prefetch) * 3 + IN_FLIGHT_MARGIN
    }
}
