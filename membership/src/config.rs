//! Intervals of failure detection and agreement, and the limits that are not configurable.

use crate::quota_lease::scaled_suspicion_timeout;
use asterrill::Us;
use foca::PeriodicParams;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Maximum number of members in the table, including dead ones.
pub(crate) const MAX_MEMBERS: usize = 2048;
/// Maximum size of a datagram payload. It is below the MTU of any path, so that no datagram is fragmented.
const MAX_PAYLOAD_BYTES: usize = 1200;
/// Number of members asked for an indirect probe of a member that did not answer a direct one.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of times that an update is gossiped.
const MAX_TRANSMISSIONS_PER_UPDATE: u8 = 10;
/// Divisor of the probe interval that yields the timeout of a direct probe.
const PROBE_TIMEOUT_DIVISOR: Us = 4;
/// Ratio of the announce interval for live members to that for dead ones.
const LIVE_ANNOUNCE_FACTOR: Us = 4;

/// Intervals in microseconds and the expected cluster size, as configured by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Interval between probes; a quarter of it is the timeout of a direct probe.
    pub probe_interval: Us,
    /// Time from a failed probe until the suspect is declared dead, in a cluster of up to ten members.
    pub suspicion_timeout: Us,
    /// Interval between announcements to missing members and contacts.
    pub announce_interval: Us,
    /// Time for which a newcomer has to be present before it becomes an agreed member.
    pub join_delay: Us,
    /// Time of absence after which a member is removed from the agreed members.
    pub forget_after: Us,
    /// Time constant of the exponential decay of a member's flap score.
    pub flap_window: Us,
    /// Minimum number of members that the operator expects.
    pub expected_members: usize,
}

impl MembershipConfig {
    /// Returns the timeout of a direct probe, after which indirect probes are sent.
    pub(crate) fn probe_timeout(&self) -> Us {
        self.probe_interval / PROBE_TIMEOUT_DIVISOR
    }

    /// Returns the configuration of `foca` for a cluster of `members`.
    pub(crate) fn swim_config(&self, members: usize) -> foca::Config {
        let one = NonZeroUsize::MIN;
        let periodic =
            |interval: Us| Some(PeriodicParams { frequency: duration(interval), num_members: one });
        foca::Config {
            probe_period: duration(self.probe_interval),
            probe_rtt: duration(self.probe_timeout()),
            num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(one),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS_PER_UPDATE).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(scaled_suspicion_timeout(self.suspicion_timeout, members)),
            // This has to be long. Otherwise a late update would add a dead member again.
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
