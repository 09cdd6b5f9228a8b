//! Who can hear whom, as far as the injected faults say.

use crate::fleet::datagram_network::blocked_links_between;
use crate::fleet::fault_injection::{links_from, links_to};
use crate::fleet::fault_script::{FaultKind, ScheduledFault};
use std::collections::BTreeSet;

/// Who can hear whom.
#[derive(Clone, PartialEq)]
pub(super) struct Reachability {
    up: Vec<bool>,
    running: Vec<bool>,
    /// Directions that carry nothing: from, to.
    pub(super) blocked_links: BTreeSet<(usize, usize)>,
    /// The network is such that a view may be any of those that lead.
    pub(super) lossy: bool,
}

impl Reachability {
    /// All hear each other.
    pub(super) fn complete(nodes: usize) -> Reachability {
        Reachability {
            up: vec![true; nodes],
            running: vec![true; nodes],
            blocked_links: BTreeSet::new(),
            lossy: false,
        }
    }

    /// How many members there are.
    pub(super) fn nodes(&self) -> usize {
        self.up.len()
    }

    /// What a fault changes.
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

    /// Whether a member can answer.
    pub(super) fn is_responsive(&self, n: usize) -> bool {
        self.up[n] && self.running[n]
    }

    /// Whether two members hear each other.
    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        self.is_responsive(a)
            && self.is_responsive(b)
            && !self.blocked_links.contains(&(a, b))
            && !self.blocked_links.contains(&(b, a))
    }

    /// Members that one is in touch with, both ways, directly or over others, itself among them.
    pub(super) fn component(&self, n: usize) -> BTreeSet<usize> {
        let mut seen = BTreeSet::from([n]);
        let mut open = vec![n];
        while let Some(a) = open.pop() {
            for b in (0..self.up.len()).filter(|b| self.connected(a, *b)) {
                if seen.insert(b) {
                    open.push(b);
                }
            }
        }
        seen
    }

    /// The view that a member has to come to.
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
