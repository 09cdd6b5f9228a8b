//! The section `[fleet]`: consensus of backends on settings and lists.

use crate::directive::Directive;
use crate::error::ParseError;
use crate::section::Section;
use crate::units::{MILLISECOND, MINUTE, SECOND};

/// Most voters.
const MAX_VOTERS: usize = 9;
/// How often a lease is renewed within its duration.
const RENEWALS_PER_LEASE: u64 = 5;

/// Consensus of backends. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Names of the members that vote and store versions, sorted; an odd number up to nine (`keeper`).
    pub voters: Vec<String>,
    /// How long a version is in effect without a renewal by the leader, 500 ms to 1 min (`lease`).
    pub lease: u64,
    /// How often the lease is renewed.
    pub renew_interval: u64,
    /// The interval of the consensus clock, 10 ms to 1 s (`tick`).
    pub tick_interval: u64,
}

impl FleetConfig {
    /// Reads the section `[fleet]`.
    pub(crate) fn read(mut section: Section<'_>) -> Result<FleetConfig, ParseError> {
        let mut fleet = FleetConfig {
            voters: Vec::new(),
            lease: 5 * SECOND,
            renew_interval: 0,
            tick_interval: 50 * MILLISECOND,
        };
        for directive in section.take_directives() {
            directive.value()?;
            if directive.name() != "keeper" {
                section.check_first(&directive)?;
            }
            match directive.name() {
                "keeper" => fleet.add_voter(&directive)?,
                "lease" => fleet.lease = directive.duration(500 * MILLISECOND..=MINUTE)?,
                "tick" => fleet.tick_interval = directive.duration(10 * MILLISECOND..=SECOND)?,
                _ => return Err(section.unknown_directive(&directive)),
            }
        }
        if fleet.voters.len().is_multiple_of(2) {
            return Err(section.error("[fleet] wants an odd number of keepers, best three or five"));
        }
        fleet.voters.sort();
        fleet.renew_interval = fleet.lease / RENEWALS_PER_LEASE;
        Ok(fleet)
    }

    fn add_voter(&mut self, directive: &Directive<'_>) -> Result<(), ParseError> {
        let name = directive.value()?;
        if self.voters.iter().any(|voter| voter == name) {
            return Err(directive.error(format!("the keeper {name} is named already")));
        }
        if self.voters.len() >= MAX_VOTERS {
            return Err(directive.error(format!("there are {MAX_VOTERS} keepers at most")));
        }
        self.voters.push(name.into());
        Ok(())
    }
}
