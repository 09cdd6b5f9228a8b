//! Who may act on which version, and for how long: the leader's office, which gives leases, and the holder, which has one.
//!
//! The proof of the stated time, in short. A holder counts its lease from the moment at which it asked. The leader grants
//! only after a majority has confirmed, later than the asking came, that it leads; it counts the lease from then, a
//! twentieth longer for clocks that run at different speeds. So a lease that a leader counts as over is over. Who is
//! elected waits one such span before it lets a version come into force that contradicts the one before: whoever led
//! before can't have granted anything later than that election.

use asterrill::Us;
use std::collections::BTreeMap;

const RATE: u64 = 20; // clocks differ by one part in so many at the most
const HOLDERS: usize = 4_096;
const ASKS: usize = 4_096; // that wait for a barrier

/// How long a holder's lease counts for whoever gave it.
pub fn counted(lease: Us) -> Us {
    lease.saturating_add(lease / RATE + 1)
}

/// The time from which on nobody acts on a version that contradicts one that has come into force elsewhere.
pub fn stated(lease: Us, renew: Us) -> Us {
    counted(lease).saturating_add(renew)
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    /// Which start of it, and its last round: what is older came late.
    start: u64,
    round: u64,
    /// The newest version that it has, and acts on as far as that is the stricter.
    has: u64,
    until: Us,
}

/// An asking that waits for a barrier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub by: String,
    pub start: u64,
    pub round: u64,
}

/// What a leader knows of holders. Made anew with each term that this one leads.
#[derive(Debug)]
pub struct Office {
    /// Until then leases may be about of which this one knows nothing.
    quiet: Us,
    holders: BTreeMap<String, Holder>,
    waiting: Vec<Asked>,
    behind: BTreeMap<u64, Vec<Asked>>,
    barrier: u64,
}

impl Office {
    pub fn new(now: Us, lease: Us, term: u64) -> Office {
        // Numbers of barriers are this term's own.
        let barrier = term << 32;
        let (holders, waiting, behind) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Office { quiet: now.saturating_add(counted(lease)), holders, waiting, behind, barrier }
    }
    /// A holder asks, and says what it has. False if that came late, or nobody else can be remembered.
    pub fn asks(&mut self, asked: Asked, has: u64) -> bool {
        let known = self.holders.get(&asked.by).copied();
        if known.is_some_and(|k| (k.start, k.round) >= (asked.start, asked.round)) {
            return false;
        }
        if (known.is_none() && self.holders.len() >= HOLDERS) || self.waiting.len() >= ASKS {
            return false;
        }
        let until = known.map_or(0, |known| known.until);
        let holder = Holder { start: asked.start, round: asked.round, has, until };
        self.holders.insert(asked.by.clone(), holder);
        self.waiting.push(asked);
        true
    }
    /// The number of the barrier that those who wait now stand behind, if any do.
    pub fn barrier(&mut self) -> Option<u64> {
        if self.waiting.is_empty() || self.behind.len() >= 64 {
            return None;
        }
        self.barrier += 1;
        self.behind.insert(self.barrier, std::mem::take(&mut self.waiting));
        Some(self.barrier)
    }
    /// A majority has passed a barrier: those behind it, and behind earlier ones, get their leases.
    pub fn passed(&mut self, now: Us, number: u64, lease: Us) -> Vec<Asked> {
        let later = self.behind.split_off(&(number + 1));
        let granted: Vec<Asked> =
            std::mem::replace(&mut self.behind, later).into_values().flatten().collect();
        for asked in &granted {
            if let Some(holder) = self.holders.get_mut(&asked.by) {
                holder.until = holder.until.max(now.saturating_add(counted(lease)));
            }
        }
        granted
    }
    /// Whether a version that contradicts the one in force may come into force: every holder has it, or its lease is over.
    pub fn all_have(&self, now: Us, number: u64) -> bool {
        now >= self.quiet && self.holders.values().all(|h| h.has >= number || h.until <= now)
    }
    /// Holders with a lease, and of those the ones that have a version.
    pub fn count(&self, now: Us, number: u64) -> (usize, usize) {
        let on = self.holders.values().filter(|h| h.until > now);
        on.fold((0, 0), |(all, have), h| (all + 1, have + usize::from(h.has >= number)))
    }
}

/// The lease of this node.
#[derive(Debug, Default)]
pub struct Held {
    round: u64,
    /// When each of the last rounds was asked.
    asked: BTreeMap<u64, Us>,
    until: Us,
}

impl Held {
    /// A round begins.
    pub fn ask(&mut self, now: Us) -> u64 {
        self.round += 1;
        self.asked.insert(self.round, now);
        while self.asked.len() > 32 {
            self.asked.pop_first();
        }
        self.round
    }
    /// A round was granted: the lease lasts from when it was asked. False if that is not known any more.
    pub fn granted(&mut self, round: u64, lease: Us) -> bool {
        let Some(asked) = self.asked.get(&round).copied() else { return false };
        self.asked = self.asked.split_off(&(round + 1));
        self.until = self.until.max(asked.saturating_add(lease));
        true
    }
    pub fn until(&self) -> Us {
        self.until
    }
}
