//! The agreed members, and the view computed against their number.
//!
//! A view computed against the members that are visible would let each side of a partition see a complete cluster.

use crate::member_name::MemberName;
use crate::view::{View, ViewEvidence};
use asterrill::Us;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of agreed members, and of newcomers.
const MAX_AGREED_MEMBERS: usize = 4096;
/// Maximum number of missing members that [`ViewEvidence`] names.
const MAX_MISSING_SHOWN: usize = 5;

/// Set of agreed members, and the view that follows from it.
///
/// While a majority of the set is present, newcomers that stay for the join delay are added to it, and members that are
/// absent for the forget time are removed. A member that announces that it leaves is removed at once.
///
/// The cost of an update grows with the number of members that changed since the last one, not with the cluster size.
#[derive(Clone, Debug)]
pub struct Quorum {
    local: MemberName,
    expected_members: usize,
    agreed: BTreeSet<MemberName>,
    /// Other members that are present.
    present: BTreeSet<MemberName>,
    /// Number of members in `present` that are agreed members.
    agreed_present: usize,
    /// Present members that are not agreed members, and the start of their uninterrupted presence.
    newcomers: BTreeMap<MemberName, Us>,
    /// Agreed members that are absent, and the start of their absence.
    absent: BTreeMap<MemberName, Us>,
    /// Lower bounds of the times in the two tables. A table is searched only once its bound is old enough.
    earliest_newcomer: Us,
    earliest_absence: Us,
    /// Members whose table has to be determined again; before the first update, all agreed members.
    unclassified: BTreeSet<MemberName>,
    /// True if the table of newcomers has to be rebuilt.
    rebuild_newcomers: bool,
    /// Members added to or removed from the agreed members since the last [`Quorum::take_agreement_changes`].
    agreement_changes: BTreeSet<MemberName>,
    join_delay: Us,
    forget_after: Us,
    view: View,
    since: Us,
    /// Start of the current uninterrupted quorum.
    quorum_since: Option<Us>,
}

impl Quorum {
    /// Creates the quorum of the member `local`.
    ///
    /// `expected_members` is the minimum number of members that the operator expects. `agreed` are the agreed members
    /// from before a restart. A newcomer becomes an agreed member after `join_delay` of presence, and an agreed member
    /// is removed after `forget_after` of absence. Times are microseconds.
    pub fn new(
        now: Us, local: MemberName, expected_members: usize, agreed: BTreeSet<MemberName>, join_delay: Us,
        forget_after: Us,
    ) -> Quorum {
        let mut agreed = agreed;
        agreed.insert(local.clone());
        let is_single_member = agreed.len().max(expected_members) <= 1;
        Quorum {
            local,
            expected_members,
            unclassified: agreed.clone(),
            agreement_changes: agreed.clone(),
            agreed,
            present: BTreeSet::new(),
            agreed_present: 0,
            newcomers: BTreeMap::new(),
            absent: BTreeMap::new(),
            earliest_newcomer: Us::MAX,
            earliest_absence: Us::MAX,
            rebuild_newcomers: false,
            join_delay,
            forget_after,
            view: if is_single_member { View::Complete } else { View::Isolated },
            since: now,
            quorum_since: None,
        }
    }

    /// Returns the view as of the last update.
    pub fn view(&self) -> View {
        self.view
    }

    /// Returns the agreed size: the number of agreed members or of expected members, whichever is greater.
    pub fn agreed_size(&self) -> usize {
        self.agreed.len().max(self.expected_members).max(1)
    }

    /// Returns the agreed members, including this one.
    pub fn agreed_members(&self) -> &BTreeSet<MemberName> {
        &self.agreed
    }

    /// Returns the members added to or removed from the agreed members since the last call.
    pub(crate) fn take_agreement_changes(&mut self) -> BTreeSet<MemberName> {
        std::mem::take(&mut self.agreement_changes)
    }

    /// Removes a member that announced that it leaves from the agreed members, with or without a quorum.
    pub fn remove_departed(&mut self, name: &MemberName) {
        if *name == self.local {
            return;
        }
        self.remove_agreed(name);
        self.newcomers.remove(name);
        self.absent.remove(name);
        self.unclassified.insert(name.clone());
    }

    /// Updates the view from the complete set of other members that are present. Returns true if the view changed.
    pub fn update(&mut self, now: Us, present: &BTreeSet<MemberName>) -> bool {
        let arrived: Vec<MemberName> = present.difference(&self.present).cloned().collect();
        let departed: Vec<MemberName> = self.present.difference(present).cloned().collect();
        arrived.iter().for_each(|name| self.set_present(name, true));
        departed.iter().for_each(|name| self.set_present(name, false));
        self.advance(now)
    }

    /// Records whether a member is present.
    ///
    /// Calls of this function for every member whose presence may have changed, followed by [`Quorum::advance`], are
    /// equivalent to [`Quorum::update`].
    pub(crate) fn set_present(&mut self, name: &MemberName, present: bool) {
        if present == self.present.contains(name) {
            return;
        }
        let agreed = usize::from(self.agreed.contains(name));
        if present {
            self.present.insert(name.clone());
            self.agreed_present += agreed;
        } else {
            self.present.remove(name);
            self.agreed_present -= agreed;
        }
        self.unclassified.insert(name.clone());
    }

    /// Advances the time and updates the agreed members and the view. Returns true if the view changed.
    pub(crate) fn advance(&mut self, now: Us) -> bool {
        self.classify_changed(now);
        let before = self.view;
        self.view = self.current_view();
        self.quorum_since = self.quorum_since.or(Some(now)).filter(|_| self.view.has_quorum());
        // Without a quorum the agreed members stay unchanged. Otherwise both sides of a partition could reach a quorum.
        if let Some(quorum_since) = self.quorum_since {
            self.admit_newcomers(now, quorum_since);
            self.forget_absent(now, quorum_since);
            self.view = self.current_view();
        } else if self.agreed.len() < self.agreed_size() {
            self.bootstrap(now);
        }
        if self.view != before {
            self.since = now;
        }
        self.view != before
    }

    fn classify_changed(&mut self, now: Us) {
        if std::mem::take(&mut self.rebuild_newcomers) {
            self.unclassified.extend(self.present.difference(&self.agreed).cloned());
        }
        for name in std::mem::take(&mut self.unclassified) {
            self.classify(now, &name);
        }
    }

    /// Moves a member into the table of newcomers, into that of absent members, or out of both.
    fn classify(&mut self, now: Us, name: &MemberName) {
        let (present, agreed) = (self.present.contains(name), self.agreed.contains(name));
        if !present {
            self.newcomers.remove(name);
        } else if !agreed && self.newcomers.len() < MAX_AGREED_MEMBERS && !self.newcomers.contains_key(name) {
            self.newcomers.insert(name.clone(), now);
            self.earliest_newcomer = self.earliest_newcomer.min(now);
        }
        if present {
            self.absent.remove(name);
        } else if agreed && *name != self.local && !self.absent.contains_key(name) {
            self.absent.insert(name.clone(), now);
            self.earliest_absence = self.earliest_absence.min(now);
        }
    }

    /// Forms the first quorum of a new cluster, which has fewer agreed members than the operator expects.
    ///
    /// Newcomers that were present for the join delay become agreed members once they complete a majority of the agreed
    /// size.
    fn bootstrap(&mut self, now: Us) {
        let join_delay_passed = |since: Us| now.saturating_sub(since) >= self.join_delay;
        let admitted = if join_delay_passed(self.earliest_newcomer) {
            names_where(&self.newcomers, join_delay_passed)
        } else {
            Vec::new()
        };
        if 2 * (self.agreed.len() + admitted.len()) <= self.agreed_size() {
            return;
        }
        self.newcomers.clear();
        self.earliest_newcomer = Us::MAX;
        self.rebuild_newcomers = true;
        admitted.into_iter().for_each(|name| self.add_agreed(name));
        self.view = self.current_view();
    }

    /// Makes newcomers that were present for the join delay agreed members.
    ///
    /// Presence before the start of the quorum is no evidence, so the delay counts from that start at the earliest.
    fn admit_newcomers(&mut self, now: Us, quorum_since: Us) {
        let join_delay_passed = |since: Us| now.saturating_sub(since.max(quorum_since)) >= self.join_delay;
        if !join_delay_passed(self.earliest_newcomer) {
            return;
        }
        for name in names_where(&self.newcomers, join_delay_passed) {
            if self.agreed.len() < MAX_AGREED_MEMBERS {
                self.newcomers.remove(&name);
                self.add_agreed(name);
            }
        }
        self.earliest_newcomer = earliest(&self.newcomers);
    }

    /// Removes agreed members that were absent for `forget_after`.
    ///
    /// As for newcomers, that time counts from the start of the quorum at the earliest.
    fn forget_absent(&mut self, now: Us, quorum_since: Us) {
        let expired = |since: Us| now.saturating_sub(since.max(quorum_since)) >= self.forget_after;
        if !expired(self.earliest_absence) {
            return;
        }
        for name in names_where(&self.absent, expired) {
            self.absent.remove(&name);
            self.remove_agreed(&name);
        }
        self.earliest_absence = earliest(&self.absent);
    }

    fn add_agreed(&mut self, name: MemberName) {
        if self.agreed.insert(name.clone()) {
            self.agreed_present += usize::from(self.present.contains(&name));
            self.agreement_changes.insert(name);
        }
    }

    fn remove_agreed(&mut self, name: &MemberName) {
        if self.agreed.remove(name) {
            self.agreed_present -= usize::from(self.present.contains(name));
            self.agreement_changes.insert(name.clone());
        }
    }

    fn current_view(&self) -> View {
        let (count, size) = (1 + self.agreed_present, self.agreed_size());
        match count {
            _ if count >= size => View::Complete,
            _ if 2 * count > size => View::Majority,
            1 if self.present.is_empty() => View::Isolated,
            _ => View::Minority,
        }
    }

    /// Returns the evidence for the view. `present` are the other members that are present.
    pub fn evidence(&self, present: &BTreeSet<MemberName>) -> ViewEvidence {
        ViewEvidence {
            present: 1 + self.agreed.intersection(present).count(),
            agreed_size: self.agreed_size(),
            missing: self.absent.keys().take(MAX_MISSING_SHOWN).cloned().collect(),
            since: self.since,
        }
    }
}

fn names_where(table: &BTreeMap<MemberName, Us>, condition: impl Fn(Us) -> bool) -> Vec<MemberName> {
    table.iter().filter(|(_, since)| condition(**since)).map(|(name, _)| name.clone()).collect()
}

fn earliest(table: &BTreeMap<MemberName, Us>) -> Us {
    table.values().copied().min().unwrap_or(Us::MAX)
}
