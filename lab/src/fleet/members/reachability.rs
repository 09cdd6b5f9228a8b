//! Reachability between members that follows from the injected faults.

use crate::fleet::datagram_network::blocked_links_between;
use crate::fleet::fault_injection::{links_from, links_to};
use crate::fleet::fault_script::{FaultKind, ScheduledFault};
use std::collections::BTreeSet;

/// Members that are up, and the links between them.
#[derive(Clone, PartialEq)]
pub(super) struct Reachability {
    up: Vec<bool>,
    running: Vec<bool>,
    /// Links that transfer nothing, as pairs of sender and receiver.
    pub(super) blocked_links: BTreeSet<(usize, usize)>,
    /// Whether datagrams are lost or delayed, so that a member may have any view with a majority.
    pub(super) lossy: bool,
}

impl Reachability {
    /// Returns the state in which all members reach each other.
    pub(super) fn complete(nodes: usize) -> Reachability {
        Reachability {
            up: vec![true; nodes],
            running: vec![true; nodes],
            blocked_links: BTreeSet::new(),
            lossy: false,
        }
    }

    /// Returns the number of members.
    pub(super) fn nodes(&self) -> usize {
        self.up.len()
    }

    /// Applies a fault.
    pub(super) fn apply(&mut self, fault: &ScheduledFault) {
        let members = self.up.len();
        let nodes = &fault.nodes;
        match &fault.kind {
            FaultKind::Kill | FaultKind::Terminate => nodes.iter().for_each(|n| self.up[*n] = false),
            FaultKind::Start => nodes.iter().for_each(|n| self.up[*n] = true),
            FaultKind::Pause => nodes.iter().for_each(|n| self.running[*n] = false),
            FaultKind::Resume => nodes.iter().for_each(|n| self.running[*n] = true),
            FaultKind::GossipPartition(groups) => self.blocked_links = blocked_links_between(groups, members),
            FaultKind::GossipInboundBlocked => self.blocked_links.extend(links_to(nodes, members)),
            FaultKind::GossipOutboundBlocked => self.blocked_links.extend(links_from(nodes, members)),
            FaultKind::GossipLoss(_) | FaultKind::GossipDelay(_) => self.lossy = true,
            FaultKind::GossipHeal => (self.blocked_links, self.lossy) = (BTreeSet::new(), false),
            _ => {}
        }
    }

    /// Reports whether a member can answer.
    pub(super) fn is_responsive(&self, n: usize) -> bool {
        self.up[n] && self.running[n]
    }

    /// Reports whether two members reach each other in both directions.
    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        self.is_responsive(a)
            && self.is_responsive(b)
            && !self.blocked_links.contains(&(a, b))
            && !self.blocked_links.contains(&(b, a))
    }

    /// Returns the members that a member reaches in both directions, directly or through others, including itself.
    pub(super) fn component(&self, n: usize) -> BTreeSet<usize> {
        let mut seen = BTreeSet::from([n]);
        let mut pending = vec![n];
        while let Some(a) = pending.pop() {
            for b in (0..self.up.len()).filter(|b| self.connected(a, *b)) {
                if seen.insert(b) {
                    pending.push(b);
                }
            }
        }
        seen
    }

    /// Returns the view that a member has to reach.
    pub(super) fn expected_view(&self, n: usize) -> &'static str {
        let (reached, all) = (self.component(n).len(), self.up.len());
        match reached {
            _ if reached == all => "whole",
            _ if 2 * reached > all => "majority",
            1 => "alone",
            _ => "minority",
        }
    }
}

#[cfg(test)]
#[path = "tests/reachability.rs"]
mod tests;
