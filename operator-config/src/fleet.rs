//! The section `[fleet]`: settings and lists on which backends agree.

use crate::lines::Mistake;
use crate::units::time_in;
use crate::Directives;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const KEEPERS: usize = 9;

/// How backends agree. Times are microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Names of the members that keep versions, in the same order everywhere.
    pub keepers: Vec<String>,
    /// How long a version may be acted on without a word of whoever leads.
    pub lease: u64,
    pub renew: u64,
    pub tick: u64,
}

impl Fleet {
    pub(crate) fn read(mut section: Directives<'_>) -> Result<Fleet, Mistake> {
        let mut fleet = Fleet { keepers: Vec::new(), lease: 5 * S, renew: 0, tick: 50 * MS };
        for directive in section.take() {
            let word = directive.one()?;
            if directive.name() != "keeper" {
                section.once(&directive)?;
            }
            match directive.name() {
                "keeper" if fleet.keepers.iter().any(|name| name == word) => {
                    return Err(directive.mistake(format!("the keeper {word} is named already")))
                }
                "keeper" if fleet.keepers.len() >= KEEPERS => {
                    return Err(directive.mistake(format!("there are {KEEPERS} keepers at most")))
                }
                "keeper" => fleet.keepers.push(word.into()),
                "lease" => fleet.lease = time_in(&directive, word, 500 * MS, 60 * S)?,
                "tick" => fleet.tick = time_in(&directive, word, 10 * MS, S)?,
                other => return Err(directive.mistake(format!("[fleet] has no directive {other}"))),
            }
        }
        if fleet.keepers.len().is_multiple_of(2) {
            return Err(section.mistake("[fleet] wants an odd number of keepers, best three or five"));
        }
        fleet.keepers.sort();
        fleet.renew = fleet.lease / 5;
        Ok(fleet)
    }
}
