//! The section `[fleet]`: settings and lists on which backends agree.

use crate::lines::ParseError;
use crate::units::time_in;
use crate::Directives;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const KEEPERS: usize = 9;

/// How backends agree. Times are microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Names of the members that keep versions, in the same order everywhere.
    pub voters: Vec<String>,
    /// How long a version may be acted on without a word of whoever leads.
    pub lease: u64,
    pub renew_interval: u64,
    pub tick_interval: u64,
}

impl FleetConfig {
    pub(crate) fn read(mut section: Directives<'_>) -> Result<FleetConfig, ParseError> {
        let mut fleet =
            FleetConfig { voters: Vec::new(), lease: 5 * S, renew_interval: 0, tick_interval: 50 * MS };
        for directive in section.take() {
            let word = directive.one()?;
            if directive.name() != "keeper" {
                section.once(&directive)?;
            }
            match directive.name() {
                "keeper" if fleet.voters.iter().any(|name| name == word) => {
                    return Err(directive.error(format!("the keeper {word} is named already")))
                }
                "keeper" if fleet.voters.len() >= KEEPERS => {
                    return Err(directive.error(format!("there are {KEEPERS} keepers at most")))
                }
                "keeper" => fleet.voters.push(word.into()),
                "lease" => fleet.lease = time_in(&directive, word, 500 * MS, 60 * S)?,
                "tick" => fleet.tick_interval = time_in(&directive, word, 10 * MS, S)?,
                other => return Err(directive.error(format!("[fleet] has no directive {other}"))),
            }
        }
        if fleet.voters.len().is_multiple_of(2) {
            return Err(section.error("[fleet] wants an odd number of keepers, best three or five"));
        }
        fleet.voters.sort();
        fleet.renew_interval = fleet.lease / 5;
        Ok(fleet)
    }
}
