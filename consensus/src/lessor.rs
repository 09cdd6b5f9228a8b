//! Lease bookkeeping of the leader: which nodes have a lease, until when, and with which version.

use crate::lease::leader_lease_duration;
use asterrill::Us;
use std::collections::BTreeMap;

const MAX_LEASE_HOLDERS: usize = 4_096;
/// Maximum number of requests for which no barrier has been started yet.
const MAX_WAITING_REQUESTS: usize = 4_096;
const MAX_OPEN_BARRIERS: usize = 64;

/// Request for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Name of the requesting node.
    pub requester: String,
    /// Incarnation of that node; later starts have greater numbers.
    pub incarnation: u64,
    /// Round of the request in [`crate::lease::LocalLease`], counted within an incarnation.
    pub round: u64,
}

/// Number of nodes that have a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseHolderCount {
    /// Number of nodes whose lease has not expired.
    pub leased: usize,
    /// Number of those nodes that have the version in question, or a newer one.
    pub up_to_date: usize,
}

#[derive(Clone, Copy, Debug)]
struct LeaseHolder {
    /// Incarnation of the last request. Requests that are not later than the last one are dropped.
    incarnation: u64,
    round: u64,
    /// Newest version that the node has. The node already enforces it where it is the stricter one.
    version: u64,
    lease_until: Us,
}

/// Lease state of the leader, created for each term in which this node leads.
#[derive(Debug)]
pub struct Lessor {
    /// Time until which leases that an earlier leader granted may be valid.
    earlier_leases_until: Us,
    lease_holders: BTreeMap<String, LeaseHolder>,
    waiting_requests: Vec<LeaseRequest>,
    /// Requests that wait for a barrier, by the number of the barrier.
    requests_by_barrier: BTreeMap<u64, Vec<LeaseRequest>>,
    last_barrier: u64,
}

impl Lessor {
    /// Returns the state for the leader of a term, elected at `now`.
    pub fn new(now: Us, lease_duration: Us, term: u64) -> Lessor {
        Lessor {
            earlier_leases_until: now.saturating_add(leader_lease_duration(lease_duration)),
            lease_holders: BTreeMap::new(),
            waiting_requests: Vec::new(),
            requests_by_barrier: BTreeMap::new(),
            // The term in the upper bits makes barrier numbers of different terms differ.
            last_barrier: term << 32,
        }
    }

    /// Queues a request of a node that has versions up to `version`.
    ///
    /// Returns false if the request is outdated or there are too many requests or lease holders.
    pub fn add_request(&mut self, request: LeaseRequest, version: u64) -> bool {
        let existing = self.lease_holders.get(&request.requester).copied();
        if existing.is_some_and(|e| (e.incarnation, e.round) >= (request.incarnation, request.round)) {
            return false;
        }
        let no_capacity = existing.is_none() && self.lease_holders.len() >= MAX_LEASE_HOLDERS;
        if no_capacity || self.waiting_requests.len() >= MAX_WAITING_REQUESTS {
            return false;
        }
        let lease_holder = LeaseHolder {
            incarnation: request.incarnation,
            round: request.round,
            version,
            lease_until: existing.map_or(0, |existing| existing.lease_until),
        };
        self.lease_holders.insert(request.requester.clone(), lease_holder);
        self.waiting_requests.push(request);
        true
    }

    /// Starts a barrier for all waiting requests and returns its number.
    ///
    /// Returns `None` if no request waits or too many barriers are open.
    pub fn start_barrier(&mut self) -> Option<u64> {
        if self.waiting_requests.is_empty() || self.requests_by_barrier.len() >= MAX_OPEN_BARRIERS {
            return None;
        }
        self.last_barrier += 1;
        self.requests_by_barrier.insert(self.last_barrier, std::mem::take(&mut self.waiting_requests));
        Some(self.last_barrier)
    }

    /// Grants and returns the requests of a barrier that a majority has confirmed, and of earlier barriers.
    pub fn confirm_barrier(&mut self, now: Us, number: u64, lease_duration: Us) -> Vec<LeaseRequest> {
        let later = self.requests_by_barrier.split_off(&(number + 1));
        let confirmed = std::mem::replace(&mut self.requests_by_barrier, later);
        let granted: Vec<LeaseRequest> = confirmed.into_values().flatten().collect();
        for request in &granted {
            if let Some(lease_holder) = self.lease_holders.get_mut(&request.requester) {
                lease_holder.lease_until =
                    lease_holder.lease_until.max(now.saturating_add(leader_lease_duration(lease_duration)));
            }
        }
        granted
    }

    /// Reports whether a version that contradicts the active one may become active.
    ///
    /// It may if each node has it or has no lease any more, and the leases that an earlier leader may have granted have
    /// expired.
    pub fn may_activate(&self, now: Us, number: u64) -> bool {
        let ready = |holder: &LeaseHolder| holder.version >= number || holder.lease_until <= now;
        now >= self.earlier_leases_until && self.lease_holders.values().all(ready)
    }

    /// Returns how many nodes have a lease, and how many of them have version `number` or a newer one.
    pub fn count(&self, now: Us, number: u64) -> LeaseHolderCount {
        let leased = self.lease_holders.values().filter(|holder| holder.lease_until > now);
        leased.fold(LeaseHolderCount::default(), |count, holder| LeaseHolderCount {
            leased: count.leased + 1,
            up_to_date: count.up_to_date + usize::from(holder.version >= number),
        })
    }
}
