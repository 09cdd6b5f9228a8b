//! Configuration of the agreement, which must be the same on each node of a fleet.

use crate::lease::contradiction_bound;
use asterrill::Us;

/// Voters and time intervals of the agreement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Names of the voters, the same and in the same order on each node.
    pub voters: Vec<String>,
    /// Duration of a lease, in microseconds.
    pub lease_duration: Us,
    /// Interval between two lease requests of a node, in microseconds.
    pub renew_interval: Us,
    /// Duration of a voter's tick, in microseconds.
    ///
    /// After ten ticks without a message from the leader another voter may be elected.
    pub tick_interval: Us,
}

impl Config {
    /// Returns the maximum time for which two nodes may enforce contradicting versions, in microseconds.
    pub fn contradiction_bound(&self) -> Us {
        contradiction_bound(self.lease_duration, self.renew_interval)
    }

    /// Returns the index of a voter in [`Config::voters`].
    pub(crate) fn voter_index(&self, name: &str) -> Option<usize> {
        self.voters.iter().position(|voter| voter == name)
    }
}
