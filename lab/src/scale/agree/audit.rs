//! An audit of enforced versions, independent of the nodes.
//!
//! It records which node enforced which version, for how long two nodes enforced versions that contradict each other,
//! and whether a version number ever had two contents.

use super::node::EnforcedVersions;
use asterrill::Us;
use asterrill_consensus::{contradicts, Version};
use std::collections::{BTreeMap, HashMap};

/// The moment at which a node began to enforce a version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Activation {
    pub(super) node: usize,
    /// The highest version that the node enforced before.
    pub(super) before: u64,
    pub(super) version: u64,
    pub(super) at: Us,
}

/// The record of enforced versions.
#[derive(Default)]
pub(super) struct VersionAudit {
    pub(super) activations: Vec<Activation>,
    /// Known versions, including those that the voters have dropped. Versions share common parts in memory.
    versions: BTreeMap<u64, Version>,
    /// Cached results of comparisons of two versions.
    contradictions: HashMap<(u64, u64), bool>,
    /// The time at which the first node enforced a version that was also its newest.
    enforced_since: BTreeMap<u64, Us>,
    /// The longest time for which a node enforced a version that contradicts one enforced by another node.
    pub(super) longest_contradiction: Us,
    /// Number of times that a node reverted to an older version.
    pub(super) reverted: u64,
    hashes: BTreeMap<u64, u64>,
    /// Number of times that a version was observed with other content than before.
    pub(super) content_conflicts: u64,
}

impl VersionAudit {
    /// Records the content hash with which a version was observed.
    pub(super) fn record_hash(&mut self, version: u64, hash: u64) {
        self.content_conflicts += u64::from(*self.hashes.entry(version).or_insert(hash) != hash);
    }

    /// Retains a version for later comparisons.
    pub(super) fn retain_version(&mut self, version: &Version) {
        self.versions.entry(version.number).or_insert_with(|| version.clone());
    }

    /// Records that a node enforces versions from now on. `highest` is the highest version that it enforced before.
    pub(super) fn begin_enforcing(
        &mut self, node: usize, versions: EnforcedVersions, highest: u64, was_enforcing: bool, now: Us,
    ) {
        let EnforcedVersions { effective, newest } = versions;
        if effective == newest {
            self.enforced_since.entry(effective).or_insert(now);
        }
        self.reverted += u64::from(effective < highest);
        if effective > highest || !was_enforcing {
            self.activations.push(Activation { node, before: highest, version: effective, at: now });
        }
    }

    /// Records that a node no longer enforces a version, and updates the longest time of a contradiction with a
    /// version that another node enforces. `find` looks a version up in the logs of the voters.
    pub(super) fn end_enforcing(&mut self, version: u64, at: Us, find: &dyn Fn(u64) -> Option<Version>) {
        let later = self.enforced_since.range(version + 1..).map(|(v, since)| (*v, *since));
        let later: Vec<(u64, Us)> = later.collect();
        for (other, since) in later {
            if at > since && at - since > self.longest_contradiction && self.contradict(version, other, find)
            {
                self.longest_contradiction = at - since;
            }
        }
    }

    /// Reports whether two versions contradict each other. They count as contradicting if one of them is not available.
    fn contradict(&mut self, first: u64, second: u64, find: &dyn Fn(u64) -> Option<Version>) -> bool {
        if let Some(contradict) = self.contradictions.get(&(first, second)) {
            return *contradict;
        }
        let (Some(a), Some(b)) = (self.version(first, find), self.version(second, find)) else { return true };
        let contradict = contradicts(&a, &b);
        self.contradictions.insert((first, second), contradict);
        contradict
    }

    fn version(&mut self, number: u64, find: &dyn Fn(u64) -> Option<Version>) -> Option<Version> {
        if let Some(version) = self.versions.get(&number) {
            return Some(version.clone());
        }
        let version = find(number)?;
        self.versions.insert(number, version.clone());
        Some(version)
    }

    /// Returns the times from a proposal until each of the nodes enforced its version.
    pub(super) fn in_force_after(&self, version: u64, proposed: Us, nodes: &[usize]) -> Vec<Us> {
        let time_to_enforce = |node: &usize| {
            let mut reached = self.activations.iter().filter(|activation| {
                activation.node == *node && activation.before < version && version <= activation.version
            });
            reached.next().map(|activation| activation.at.saturating_sub(proposed))
        };
        nodes.iter().filter_map(time_to_enforce).collect()
    }
}
