//! The simulation's own account of versions: who acted on what, for how long two acted on versions that contradict each
//! other, and whether a version ever had two contents.

use super::node::EnforcedVersions;
use asterrill::Us;
use asterrill_consensus::{contradicts, Version};
use std::collections::{BTreeMap, HashMap};

/// A node began to act on a version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Activation {
    pub(super) node: usize,
    /// The highest version that it acted on before.
    pub(super) before: u64,
    pub(super) version: u64,
    pub(super) at: Us,
}

/// The account.
#[derive(Default)]
pub(super) struct VersionAudit {
    pub(super) activations: Vec<Activation>,
    /// Versions that are remembered, also once the voters have forgotten them; they share what they have in common.
    versions: BTreeMap<u64, Version>,
    /// Whether two versions contradict each other.
    contradictions: HashMap<(u64, u64), bool>,
    /// Since when some node acts on a version alone.
    enforced_since: BTreeMap<u64, Us>,
    /// The longest time for which a node acted on a version that contradicts one that another acted on.
    pub(super) longest_contradiction: Us,
    /// How often a node went back to an older version.
    pub(super) reverted: u64,
    hashes: BTreeMap<u64, u64>,
    /// How often a version had another content than before.
    pub(super) forked: u64,
}

impl VersionAudit {
    /// A version was seen with a content.
    pub(super) fn record_hash(&mut self, version: u64, hash: u64) {
        self.forked += u64::from(*self.hashes.entry(version).or_insert(hash) != hash);
    }

    /// Remembers a version.
    pub(super) fn remember(&mut self, version: &Version) {
        self.versions.entry(version.number).or_insert_with(|| version.clone());
    }

    /// A node acts on versions from now on; `highest`: the highest that it acted on before.
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

    /// A node does not act on a version any more: for how long did another act on one that contradicts it? `find` looks a
    /// version up with the voters.
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

    /// Versions of which one is nowhere to be found count as contradicting.
    fn contradict(&mut self, one: u64, other: u64, find: &dyn Fn(u64) -> Option<Version>) -> bool {
        if let Some(contradict) = self.contradictions.get(&(one, other)) {
            return *contradict;
        }
        let (Some(a), Some(b)) = (self.version(one, find), self.version(other, find)) else { return true };
        let contradict = contradicts(&a, &b);
        self.contradictions.insert((one, other), contradict);
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

    /// From its proposal until each of these nodes acted on a version.
    pub(super) fn in_force_after(&self, version: u64, proposed: Us, nodes: &[usize]) -> Vec<Us> {
        let first = |node: &usize| {
            let mut reached = self
                .activations
                .iter()
                .filter(|one| one.node == *node && one.before < version && version <= one.version);
            reached.next().map(|one| one.at.saturating_sub(proposed))
        };
        nodes.iter().filter_map(first).collect()
    }
}
