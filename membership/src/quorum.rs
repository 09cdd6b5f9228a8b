//! The agreed members, and the view against their number rather than against who happens to be visible.

use crate::member_name::MemberName;
use crate::view::{View, ViewEvidence};
use asterrill::Us;
use std::collections::{BTreeMap, BTreeSet};

/// Agreed members, and newcomers, at the most.
const MAX_AGREED_MEMBERS: usize = 4096;
/// Missing members that evidence names.
const MAX_MISSING_SHOWN: usize = 5;

/// The set of agreed members. While a majority of it is present, it grows by newcomers that stay for long enough, and
/// shrinks by members that announce that they leave or are absent for very long.
///
/// An update costs what has changed since the last one, not what there is.
#[derive(Clone, Debug)]
pub struct Quorum {
    local: MemberName,
    expected_members: usize,
    agreed: BTreeSet<MemberName>,
    /// Others that are present, and how many of them are agreed members.
    present: BTreeSet<MemberName>,
    agreed_present: usize,
    /// Present members that are not agreed members, and since when each is present without a break.
    newcomers: BTreeMap<MemberName, Us>,
    /// Agreed members that are absent, and since when.
    absent: BTreeMap<MemberName, Us>,
    /// Lower bounds of the times in the two tables: until they are old enough neither table is searched.
    earliest_newcomer: Us,
    earliest_absence: Us,
    /// Members that may belong to another of these tables: all before the first update.
    unclassified: BTreeSet<MemberName>,
    /// The table of newcomers has to be built again.
    rebuild_newcomers: bool,
    /// Members that were added to the agreed ones or removed from them, until somebody takes them.
    agreement_changes: BTreeSet<MemberName>,
    join_delay: Us,
    forget_after: Us,
    view: View,
    since: Us,
    /// Since when there is a quorum, without a break.
    quorum_since: Option<Us>,
}

impl Quorum {
    /// `expected_members`: so many the operator expects at the least; `agreed`: the agreed members before a restart;
    /// `join_delay`: how long a newcomer is present until it is an agreed member; `forget_after`: how long an agreed
    /// member is absent until it is none. Times are microseconds.
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

    /// The view at the last update.
    pub fn view(&self) -> View {
        self.view
    }

    /// The agreed size: the number of agreed members, or that which the operator expects, if that is greater.
    pub fn agreed_size(&self) -> usize {
        self.agreed.len().max(self.expected_members).max(1)
    }

    /// The agreed members, this one included.
    pub fn agreed_members(&self) -> &BTreeSet<MemberName> {
        &self.agreed
    }

    /// Members that were added to the agreed ones or removed from them since the last call.
    pub(crate) fn take_agreement_changes(&mut self) -> BTreeSet<MemberName> {
        std::mem::take(&mut self.agreement_changes)
    }

    /// A member announced that it leaves: at once it is no agreed member any more.
    pub fn remove_departed(&mut self, name: &MemberName) {
        if *name == self.local {
            return;
        }
        self.remove_agreed(name);
        self.newcomers.remove(name);
        self.absent.remove(name);
        self.unclassified.insert(name.clone());
    }

    /// Updates the view from the whole set of other members that are present; true if it has changed.
    pub fn update(&mut self, now: Us, present: &BTreeSet<MemberName>) -> bool {
        let arrived: Vec<MemberName> = present.difference(&self.present).cloned().collect();
        let departed: Vec<MemberName> = self.present.difference(present).cloned().collect();
        arrived.iter().for_each(|name| self.set_present(name, true));
        departed.iter().for_each(|name| self.set_present(name, false));
        self.advance(now)
    }

    /// One member's part of an update. To be called for each that may have come or gone, and then
    /// [`Quorum::advance`]: together they are the same as [`Quorum::update`].
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

    /// Time has passed over who is present now; true if the view has changed.
    pub(crate) fn advance(&mut self, now: Us) -> bool {
        self.classify_changed(now);
        let before = self.view;
        self.view = self.current_view();
        self.quorum_since = self.quorum_since.or(Some(now)).filter(|_| self.view.has_quorum());
        // Without a quorum the agreed members stay: two sides of a partition must never both come to have one.
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

    /// Puts a member among the newcomers or the absent, or in neither table.
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

    /// A new cluster: fewer agreed members than the operator expects, and no quorum yet. With enough newcomers that have
    /// stayed for long enough there is one.
    fn bootstrap(&mut self, now: Us) {
        let settled = |since: Us| now.saturating_sub(since) >= self.join_delay;
        let admitted =
            if settled(self.earliest_newcomer) { names_where(&self.newcomers, settled) } else { Vec::new() };
        if 2 * (self.agreed.len() + admitted.len()) <= self.agreed_size() {
            return;
        }
        self.newcomers.clear();
        self.earliest_newcomer = Us::MAX;
        self.rebuild_newcomers = true;
        admitted.into_iter().for_each(|name| self.add_agreed(name));
        self.view = self.current_view();
    }

    /// Newcomers that were present for long enough become agreed members. What was seen before there was a quorum is no
    /// evidence: their time counts from then.
    fn admit_newcomers(&mut self, now: Us, quorum_since: Us) {
        let settled = |since: Us| now.saturating_sub(since.max(quorum_since)) >= self.join_delay;
        if !settled(self.earliest_newcomer) {
            return;
        }
        for name in names_where(&self.newcomers, settled) {
            if self.agreed.len() < MAX_AGREED_MEMBERS {
                self.newcomers.remove(&name);
                self.add_agreed(name);
            }
        }
        self.earliest_newcomer = earliest(&self.newcomers);
    }

    /// Agreed members that were absent for very long are none any more. Their time counts as that of newcomers does.
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

    /// On what the view rests. `present`: the other members that are present.
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
