//! How much of the fleet a member sees, against the last size that was agreed, not against who happens to be visible.

use crate::id::Name;
use asterrill::Us;
use std::collections::{BTreeMap, BTreeSet};

/// What a member sees of the fleet. What each part does in each view: `docs/design/membership.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// All that were agreed on are there.
    Whole,
    /// More than half of them.
    Majority,
    /// Half of them or fewer.
    Minority,
    /// Nobody else, though there should be.
    Alone,
}

impl View {
    pub fn name(self) -> &'static str {
        match self {
            View::Whole => "whole",
            View::Majority => "majority",
            View::Minority => "minority",
            View::Alone => "alone",
        }
    }
    /// This side may take what others gave up; the other sides of a cut may not.
    pub fn leads(self) -> bool {
        matches!(self, View::Whole | View::Majority)
    }
}

/// On what a view rests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Members that are there, this one included, of so many that were agreed on.
    pub there: usize,
    pub of: usize,
    /// Who is missing; the first few by name.
    pub missing: Vec<Name>,
    pub since: Us,
}

const MOST: usize = 4096; // names that are agreed on
const SHOWN: usize = 5; // missing names that are told

/// The agreed size: a set of names that grows while a majority of it sees newcomers for long enough, and shrinks when
/// someone leaves with a word, or has been gone for very long while a majority saw that.
#[derive(Clone, Debug)]
pub struct Quorum {
    own: Name,
    /// Members that the operator expects at the least.
    expect: usize,
    agreed: BTreeSet<Name>,
    /// Others that were there at the last look, and how many of them were agreed on.
    there: BTreeSet<Name>,
    count: usize,
    /// Newcomers, and since when each is there without a break.
    coming: BTreeMap<Name, Us>,
    /// Agreed ones that are not there, and since when.
    gone: BTreeMap<Name, Us>,
    /// No newcomer is there for longer, and nobody gone: until their times are over nothing is to be looked through.
    first_coming: Us,
    first_gone: Us,
    /// Names of which it is not known at all whether they belong to these: all before the first look.
    open: BTreeSet<Name>,
    /// The newcomers have to be gathered anew.
    anew: bool,
    /// Names that were agreed on or are so no more, until somebody asks.
    moved: BTreeSet<Name>,
    settle: Us,
    forget: Us,
    view: View,
    since: Us,
    /// Since when it is on a side that leads, without a break.
    led: Option<Us>,
}

impl Quorum {
    /// `kept`: who was agreed on before a restart; `settle`: how long a newcomer is there until it counts; `forget`: how
    /// long one may be gone until it counts no more.
    pub fn new(now: Us, own: Name, expect: usize, kept: BTreeSet<Name>, settle: Us, forget: Us) -> Quorum {
        let mut agreed = kept;
        agreed.insert(own.clone());
        let view = if agreed.len().max(expect) > 1 { View::Alone } else { View::Whole };
        let (open, moved) = (agreed.clone(), agreed.clone());
        Quorum {
            own,
            expect,
            agreed,
            there: BTreeSet::new(),
            count: 0,
            coming: BTreeMap::new(),
            gone: BTreeMap::new(),
            first_coming: Us::MAX,
            first_gone: Us::MAX,
            open,
            anew: false,
            moved,
            settle,
            forget,
            view,
            since: now,
            led: None,
        }
    }
    pub fn view(&self) -> View {
        self.view
    }
    /// The size that was agreed on.
    pub fn size(&self) -> usize {
        self.agreed.len().max(self.expect).max(1)
    }
    pub fn agreed(&self) -> &BTreeSet<Name> {
        &self.agreed
    }

    /// Names of which has changed, since the last time, whether they are agreed on.
    pub(crate) fn take_moved(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.moved)
    }

    /// Someone left with a word: it counts no more, at once.
    pub fn left(&mut self, name: &Name) {
        if *name != self.own {
            if self.agreed.remove(name) {
                self.count -= usize::from(self.there.contains(name));
                self.moved.insert(name.clone());
            }
            self.coming.remove(name);
            self.gone.remove(name);
            self.open.insert(name.clone());
        }
    }

    /// Looks at who is there, this member not among them; true if the view has changed.
    pub fn look(&mut self, now: Us, there: &BTreeSet<Name>) -> bool {
        let come = there.difference(&self.there).map(|name| (name.clone(), true));
        let gone = self.there.difference(there).map(|name| (name.clone(), false));
        let changed: Vec<(Name, bool)> = come.chain(gone).collect();
        changed.into_iter().for_each(|(name, there)| self.is_there(&name, there));
        self.pass(now)
    }

    /// One name's part of a look. Whoever looks by names calls it for each that may have come or gone since the last
    /// look, and then [`Quorum::pass`]: the same as a look over all.
    pub(crate) fn is_there(&mut self, name: &Name, there: bool) {
        if there == self.there.contains(name) {
            return;
        }
        let agreed = usize::from(self.agreed.contains(name));
        if there {
            self.there.insert(name.clone());
            self.count += agreed;
        } else {
            self.there.remove(name);
            self.count -= agreed;
        }
        self.open.insert(name.clone());
    }

    /// Takes down since when a name has been coming, or gone.
    fn sort(&mut self, now: Us, name: &Name) {
        let (there, agreed) = (self.there.contains(name), self.agreed.contains(name));
        if !there {
            self.coming.remove(name);
        } else if !agreed && self.coming.len() < MOST && !self.coming.contains_key(name) {
            self.coming.insert(name.clone(), now);
            self.first_coming = self.first_coming.min(now);
        }
        if there {
            self.gone.remove(name);
        } else if agreed && *name != self.own && !self.gone.contains_key(name) {
            self.gone.insert(name.clone(), now);
            self.first_gone = self.first_gone.min(now);
        }
    }

    /// Time passes over who is there now; true if the view has changed. It costs what has changed since the last time.
    pub(crate) fn pass(&mut self, now: Us) -> bool {
        if std::mem::take(&mut self.anew) {
            self.open.extend(self.there.difference(&self.agreed).cloned());
        }
        for name in std::mem::take(&mut self.open) {
            self.sort(now, &name);
        }
        let before = self.view;
        self.view = self.seen();
        // Only a side that leads may change what is agreed on: two sides must never both come to lead.
        self.led = self.led.or(Some(now)).filter(|_| self.view.leads());
        if let Some(led) = self.led {
            // What was seen on a side that does not lead is no evidence: waiting begins anew.
            self.take_in(now, led);
            self.let_go(now, led);
            self.view = self.seen();
        } else if self.agreed.len() < self.size() {
            // Nothing was agreed on yet, and the operator expects more: with enough newcomers that have settled it is.
            let settled = |since: Us| now.saturating_sub(since) >= self.settle;
            let mut ripe = Vec::new();
            if settled(self.first_coming) {
                ripe.extend(self.coming.iter().filter(|(_, since)| settled(**since)).map(|(n, _)| n.clone()));
            }
            if 2 * (self.agreed.len() + ripe.len()) > self.size() {
                self.coming.clear();
                (self.first_coming, self.anew) = (Us::MAX, true);
                ripe.into_iter().for_each(|name| self.agree(name));
                self.view = self.seen();
            }
        }
        if self.view != before {
            self.since = now;
        }
        self.view != before
    }

    fn agree(&mut self, name: Name) {
        if self.agreed.insert(name.clone()) {
            self.count += usize::from(self.there.contains(&name));
            self.moved.insert(name);
        }
    }

    /// Newcomers that have been there for long enough.
    fn take_in(&mut self, now: Us, led: Us) {
        let settled = |since: Us| now.saturating_sub(since.max(led)) >= self.settle;
        if !settled(self.first_coming) {
            return;
        }
        let come = self.coming.iter().filter(|(_, since)| settled(**since)).map(|(name, _)| name.clone());
        for name in come.collect::<Vec<Name>>() {
            if self.agreed.len() < MOST {
                self.coming.remove(&name);
                self.agree(name);
            }
        }
        self.first_coming = self.coming.values().copied().min().unwrap_or(Us::MAX);
    }

    /// Those that have been gone for very long.
    fn let_go(&mut self, now: Us, led: Us) {
        let over = |since: Us| now.saturating_sub(since.max(led)) >= self.forget;
        if !over(self.first_gone) {
            return;
        }
        let gone = self.gone.iter().filter(|(_, since)| over(**since)).map(|(name, _)| name.clone());
        for name in gone.collect::<Vec<Name>>() {
            self.gone.remove(&name);
            if self.agreed.remove(&name) {
                self.count -= usize::from(self.there.contains(&name));
                self.moved.insert(name);
            }
        }
        self.first_gone = self.gone.values().copied().min().unwrap_or(Us::MAX);
    }

    fn seen(&self) -> View {
        let (count, size) = (1 + self.count, self.size());
        match count {
            _ if count >= size => View::Whole,
            _ if 2 * count > size => View::Majority,
            1 if self.there.is_empty() => View::Alone,
            _ => View::Minority,
        }
    }

    pub fn evidence(&self, there: &BTreeSet<Name>) -> Evidence {
        let missing = self.gone.keys().take(SHOWN).cloned().collect();
        let there = 1 + self.agreed.intersection(there).count();
        Evidence { there, of: self.size(), missing, since: self.since }
    }
}
