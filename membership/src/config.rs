//! The intervals of failure detection and agreement, and the limits that are not configurable.

use crate::quota_lease::scaled_suspicion_timeout;
use asterrill::Us;
use foca::PeriodicParams;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members in the table at the most, dead ones included.
pub(crate) const MAX_MEMBERS: usize = 2048;
/// Bytes of a datagram's payload: below the MTU of any path, so that none is fragmented.
const MAX_PAYLOAD_BYTES: usize = 1200;
/// Others that are asked to probe a member that did not answer (SWIM's indirect probes).
const INDIRECT_PROBES: usize = 3;
/// Times that an update is gossiped.
const MAX_TRANSMISSIONS: u8 = 10;
/// A direct answer to a probe is awaited for this part of the probe interval.
const PROBE_TIMEOUT_DIVISOR: Us = 4;
/// Announcements to live members are this many times rarer than those to dead ones.
const LIVE_ANNOUNCE_FACTOR: Us = 4;

/// The intervals, as the operator sets them, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Between probes; a quarter of it is the timeout of a direct answer.
    pub probe_interval: Us,
    /// From a failed probe until the suspect is declared dead, among up to ten members.
    pub suspicion_timeout: Us,
    /// Between announcements to configured contacts while members are missing.
    pub announce_interval: Us,
    /// How long a newcomer is present until it is one of the agreed members.
    pub join_delay: Us,
    /// How long a member is absent until it is no agreed member any more.
    pub forget_after: Us,
    /// Time constant with which the count of a member's flaps decays.
    pub flap_window: Us,
    /// Members that the operator expects at the least.
    pub expected_members: usize,
}

impl MembershipConfig {
    /// A probe that is not answered directly within this time goes to indirect probes.
    pub(crate) fn probe_timeout(&self) -> Us {
        self.probe_interval / PROBE_TIMEOUT_DIVISOR
    }

    /// The configuration of the SWIM implementation for a cluster of `members`.
    pub(crate) fn swim_config(&self, members: usize) -> foca::Config {
        let one = NonZeroUsize::MIN;
        let periodic =
            |interval: Us| Some(PeriodicParams { frequency: duration(interval), num_members: one });
        foca::Config {
            probe_period: duration(self.probe_interval),
            probe_rtt: duration(self.probe_timeout()),
            num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(one),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(scaled_suspicion_timeout(self.suspicion_timeout, members)),
            // Long, or a late update brings back a member that has died.
            remove_down_after: Some(duration(self.forget_after)),
            max_packet_size: NonZeroUsize::new(MAX_PAYLOAD_BYTES).unwrap_or(one),
            notify_down_members: true,
            periodic_announce: periodic(self.announce_interval * LIVE_ANNOUNCE_FACTOR),
            periodic_announce_to_down_members: periodic(self.announce_interval),
            periodic_gossip: periodic(self.probe_interval),
        }
    }
}

fn duration(us: Us) -> Duration {
    Duration::from_micros(us)
}
