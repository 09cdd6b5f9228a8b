//! The section `[fleet]`: consensus of the backends on settings and lists.

use crate::directive::Directive;
use crate::error::ParseError;
use crate::section::Section;
use crate::units::{MILLISECOND_US, MINUTE_US, SECOND_US};

/// Maximum number of voters.
const MAX_VOTERS: usize = 9;
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u64 = 5;

/// Consensus of the backends on settings and lists. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The names of the members that vote and store versions, sorted; an odd number up to nine (`keeper`).
    pub voters: Vec<String>,
    /// The time for which a version stays in effect without a renewal by the leader, 500 ms to 1 min (`lease`).
    pub lease: u64,
    /// The interval at which the lease is renewed.
    pub renew_interval: u64,
    /// The tick interval of the consensus protocol, 10 ms to 1 s (`tick`).
    pub tick_interval: u64,
}

impl FleetConfig {
    /// Reads the section `[fleet]`.
    pub(crate) fn read(mut section: Section<'_>) -> Result<FleetConfig, ParseError> {
        let mut fleet = FleetConfig {
            voters: Vec::new(),
            lease: 5 * SECOND_US,
            renew_interval: 0,
            tick_interval: 50 * MILLISECOND_US,
        };
        for directive in section.take_directives() {
            directive.value()?;
            if directive.name() != "keeper" {
                section.check_first(&directive)?;
            }
            match directive.name() {
                "keeper" => fleet.add_voter(&directive)?,
                "lease" => fleet.lease = directive.duration(500 * MILLISECOND_US..=MINUTE_US)?,
                "tick" => fleet.tick_interval = directive.duration(10 * MILLISECOND_US..=SECOND_US)?,
                _ => return Err(section.unknown_directive(&directive)),
            }
        }
        if fleet.voters.len().is_multiple_of(2) {
            return Err(section.error("[fleet] requires an odd number of keepers, preferably three or five"));
        }
        fleet.voters.sort();
        fleet.renew_interval = fleet.lease / RENEWALS_PER_LEASE;
        Ok(fleet)
    }

    fn add_voter(&mut self, directive: &Directive<'_>) -> Result<(), ParseError> {
        let name = directive.value()?;
        if self.voters.iter().any(|voter| voter == name) {
            return Err(directive.error(format!("duplicate keeper {name}")));
        }
        if self.voters.len() >= MAX_VOTERS {
            return Err(directive.error(format!("[fleet] has more than {MAX_VOTERS} keepers")));
        }
        self.voters.push(name.into());
        Ok(())
    }
}
