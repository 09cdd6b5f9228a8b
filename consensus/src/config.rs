//! How the nodes of a fleet agree: the same on each of them.

use crate::lease::contradiction_bound;
use asterrill::Us;

/// Voters and times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Names of the voters, the same and in the same order on each node.
    pub voters: Vec<String>,
    /// Length of a lease, in microseconds.
    pub lease_duration: Us,
    /// Between two requests of a node for its lease, in microseconds.
    pub renew_interval: Us,
    /// Length of a tick of the voters, in microseconds; after ten without a message of the leader another may be elected.
    pub tick_interval: Us,
}

impl Config {
    /// The longest time for which two nodes may act on contradicting versions, in microseconds.
    pub fn contradiction_bound(&self) -> Us {
        contradiction_bound(self.lease_duration, self.renew_interval)
    }

    /// The place of a voter in [`Config::voters`].
    pub(crate) fn voter_index(&self, name: &str) -> Option<usize> {
        self.voters.iter().position(|voter| voter == name)
    }
}
