//! What the operators set for a queue.

use crate::field_source::FieldSource;
use asterrill::Us;

/// Messages that are held beyond three prefetch windows at the most.
const IN_FLIGHT_MARGIN: usize = 16;

/// The bounds of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The first delay, in microseconds.
    pub min: Us,
    /// The longest delay, in microseconds.
    pub max: Us,
}

impl Backoff {
    /// The largest exponent; with it the delay is at `max` for any sensible `min`.
    const MAX_DOUBLINGS: u32 = 20;

    /// The delay after so many earlier ones: it doubles with each, up to `max`.
    pub(crate) fn delay(self, earlier: u32) -> Us {
        let factor = 1 << earlier.min(Self::MAX_DOUBLINGS);
        self.min.saturating_mul(factor).min(self.max)
    }
}

/// The configuration of one queue's consumer.
#[derive(Clone, Debug)]
pub struct ConsumerConfig {
    /// The queue's name at the broker.
    pub name: String,
    /// Where a delivery's method is read from.
    pub method: FieldSource,
    /// Where its tenant is read from.
    pub tenant: FieldSource,
    /// Where its caller is read from.
    pub caller: FieldSource,
    /// Upper bound of the prefetch: deliveries unsettled at a time, 1 or more.
    pub prefetch: u16,
    /// The longest time from reading a delivery to its deadline, in microseconds.
    pub processing_timeout: Us,
    /// Runs of a message, those before a redelivery included, after which it is rejected.
    pub max_attempts: u32,
    /// The delay before a message is submitted again.
    pub backoff: Backoff,
    /// Memory that is accounted for a message in flight, in kB.
    pub size_kb: f64,
    /// How long the settlement of a message is remembered for its redeliveries, in microseconds.
    pub dedup_ttl: Us,
    /// How many settlements are remembered at most.
    pub dedup_capacity: usize,
    /// Whether a redelivered message of a non-idempotent method is run though it is not known whether it has run.
    pub run_unverified_redeliveries: bool,
}

impl ConsumerConfig {
    /// The most messages that may be held at a time: two windows, one of them cancelled but still on its way, and
    /// what still runs from before a channel was lost.
    pub fn max_in_flight(&self) -> usize {
        usize::from(self.prefetch) * 3 + IN_FLIGHT_MARGIN
    }
}
