//! The leader's side of leases: who has one, for how long, and with which version.

use crate::lease::leader_lease_span;
use asterrill::Us;
use std::collections::BTreeMap;

const MAX_LEASE_HOLDERS: usize = 4_096;
const MAX_WAITING_REQUESTS: usize = 4_096; // that no barrier has been started for
const MAX_OPEN_BARRIERS: usize = 64;

/// One request for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Name of the node that asks.
    pub requester: String,
    /// Which start of that node; later starts have greater numbers.
    pub incarnation: u64,
    /// The round of [`crate::lease::LocalLease`], counted within an incarnation.
    pub round: u64,
}

/// How many nodes have a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseHolderCount {
    /// Nodes whose lease has not expired.
    pub leased: usize,
    /// Those of them that have the version in question, or a newer one.
    pub up_to_date: usize,
}

#[derive(Clone, Copy, Debug)]
struct LeaseHolder {
    /// The last request: earlier ones came late.
    incarnation: u64,
    round: u64,
    /// The newest version that the node has. It acts on it as far as it is the stricter one.
    version: u64,
    until: Us,
}

/// What a leader knows about lease holders. Made for each term in which this node leads.
#[derive(Debug)]
pub struct Lessor {
    /// Until then there may be leases that an earlier leader granted.
    foreign_leases_until: Us,
    lease_holders: BTreeMap<String, LeaseHolder>,
    waiting: Vec<LeaseRequest>,
    /// Requests that wait for a barrier, by its number.
    behind_barrier: BTreeMap<u64, Vec<LeaseRequest>>,
    last_barrier: u64,
}

impl Lessor {
    /// For the leader of a term, elected `now`.
    pub fn new(now: Us, lease: Us, term: u64) -> Lessor {
        Lessor {
            foreign_leases_until: now.saturating_add(leader_lease_span(lease)),
            lease_holders: BTreeMap::new(),
            waiting: Vec::new(),
            behind_barrier: BTreeMap::new(),
            // Barrier numbers of different terms differ.
            last_barrier: term << 32,
        }
    }

    /// Takes in a request of a node that has versions up to `version`. False if it came late or too many wait.
    pub fn request(&mut self, request: LeaseRequest, version: u64) -> bool {
        let existing = self.lease_holders.get(&request.requester).copied();
        if existing.is_some_and(|e| (e.incarnation, e.round) >= (request.incarnation, request.round)) {
            return false;
        }
        let no_capacity = existing.is_none() && self.lease_holders.len() >= MAX_LEASE_HOLDERS;
        if no_capacity || self.waiting.len() >= MAX_WAITING_REQUESTS {
            return false;
        }
        let lease_holder = LeaseHolder {
            incarnation: request.incarnation,
            round: request.round,
            version,
            until: existing.map_or(0, |existing| existing.until),
        };
        self.lease_holders.insert(request.requester.clone(), lease_holder);
        self.waiting.push(request);
        true
    }

    /// Starts a barrier for all requests that wait, if any do and not too many barriers are open. Returns its number.
    pub fn start_barrier(&mut self) -> Option<u64> {
        if self.waiting.is_empty() || self.behind_barrier.len() >= MAX_OPEN_BARRIERS {
            return None;
        }
        self.last_barrier += 1;
        self.behind_barrier.insert(self.last_barrier, std::mem::take(&mut self.waiting));
        Some(self.last_barrier)
    }

    /// A majority has confirmed a barrier: the requests behind it and behind earlier ones are granted. Returns them.
    pub fn barrier_passed(&mut self, now: Us, number: u64, lease: Us) -> Vec<LeaseRequest> {
        let later = self.behind_barrier.split_off(&(number + 1));
        let passed = std::mem::replace(&mut self.behind_barrier, later);
        let granted: Vec<LeaseRequest> = passed.into_values().flatten().collect();
        for request in &granted {
            if let Some(lease_holder) = self.lease_holders.get_mut(&request.requester) {
                lease_holder.until = lease_holder.until.max(now.saturating_add(leader_lease_span(lease)));
            }
        }
        granted
    }

    /// Whether a version that contradicts the active one may become active: every node has it, or has no lease any more.
    pub fn may_activate(&self, now: Us, number: u64) -> bool {
        let ready = |holder: &LeaseHolder| holder.version >= number || holder.until <= now;
        now >= self.foreign_leases_until && self.lease_holders.values().all(ready)
    }

    /// How many nodes have a lease, and how many of them version `number` or a newer one.
    pub fn count(&self, now: Us, number: u64) -> LeaseHolderCount {
        let leased = self.lease_holders.values().filter(|holder| holder.until > now);
        leased.fold(LeaseHolderCount::default(), |count, holder| LeaseHolderCount {
            leased: count.leased + 1,
            up_to_date: count.up_to_date + usize::from(holder.version >= number),
        })
    }
}
