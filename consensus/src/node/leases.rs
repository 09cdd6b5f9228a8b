//! Lease requests of every node, and grants by the leader after a majority has confirmed that it leads.

use super::state::Node;
use crate::lessor::{LeaseRequest, Lessor};
use crate::message::Message;
use crate::version::Version;
use crate::version_log::VersionLog;
use crate::voter::Voter;

/// Divisor of the renewal interval for the time between a redirect to another voter and the next lease request.
///
/// It shortens that time so that no lease expires because the leader changed.
const REDIRECT_INTERVAL_DIVISOR: u64 = 8;

impl Node {
    /// Returns the voter that requests are sent to: the leader, if this node knows it.
    pub(super) fn request_target(&self) -> String {
        match self.leader() {
            Some(leader) => leader.into(),
            None => self.config.voters.get(self.contact_index).cloned().unwrap_or_default(),
        }
    }

    fn advance_contact(&mut self) {
        self.contact_index = (self.contact_index + 1) % self.config.voters.len().max(1);
    }

    /// Sends a request for the lease.
    pub(super) fn request_lease(&mut self) {
        // The last request was not answered, so another voter is tried.
        if !std::mem::take(&mut self.contact_answered) {
            self.advance_contact();
        }
        let newest = self.version_log().newest();
        let round = self.lease.begin_round(self.now);
        if self.voter.as_ref().is_some_and(Voter::is_log_empty) {
            for voter in self.config.voters.clone() {
                self.send(&voter, &Message::EmptyLog);
            }
        }
        let to = self.request_target();
        let (incarnation, version, hash) = (self.incarnation, newest.number, newest.hash());
        self.send(&to, &Message::LeaseRequest { incarnation, round, version, hash });
    }

    /// Handles a lease request of a node.
    pub(super) fn on_lease_request(
        &mut self, from: &str, incarnation: u64, round: u64, version: u64, hash: u64,
    ) {
        let same_history = self.version_log().version(version).is_none_or(|own| own.hash() == hash);
        let Some(lessor) = &mut self.lessor else {
            let leader = self.leader().map(str::to_string);
            return self.send(from, &Message::Redirect { leader });
        };
        // A node with another history does not have any version of this history, whatever number it reports.
        let version = if same_history { version } else { 0 };
        lessor.add_request(LeaseRequest { requester: from.into(), incarnation, round }, version);
    }

    /// Handles the reply that the contacted voter does not lead.
    pub(super) fn on_redirect(&mut self, leader: Option<String>) {
        self.contact_answered = true;
        match leader.and_then(|leader| self.config.voter_index(&leader)) {
            Some(index) if index != self.contact_index => {
                self.contact_index = index;
                let retry_at = self.now + self.config.renew_interval / REDIRECT_INTERVAL_DIVISOR;
                self.next_renewal = self.next_renewal.min(retry_at);
            }
            _ => self.advance_contact(),
        }
    }

    /// Handles the grant of the lease for version `active`; `newest` is the newest committed version and `hash` its hash.
    pub(super) fn on_lease_grant(&mut self, from: &str, round: u64, active: u64, newest: u64, hash: u64) {
        self.contact_answered = true;
        let diverged = match self.version_log().version(newest) {
            Some(own) => own.hash() != hash,
            None => self.version_log().number() > newest,
        };
        if diverged && self.voter.is_none() {
            // The disk was copied from elsewhere, or dates from before a change was undone. None of its versions can be
            // trusted.
            self.counters.divergence_resets += 1;
            self.replica_log = VersionLog::default();
            self.incoming_version = None;
        }
        if self.voter.is_none() {
            self.replica_log.observe_active(active);
        }
        // Only a node that has the active version may use the lease.
        let has_active = !diverged && self.version_log().version(active).is_some();
        if has_active && self.lease.accept_grant(round, self.config.lease_duration) {
            self.leased_version = active;
            self.counters.lease_renewals += 1;
        }
        if self.voter.is_none() && self.replica_log.number() < newest {
            self.fetch_missing(from, newest, hash);
        }
    }

    /// Grants the leases whose barriers a majority has confirmed.
    pub(super) fn grant_leases(&mut self, confirmed_barriers: Vec<u64>, active: u64, newest: &Version) {
        for barrier in confirmed_barriers {
            let Some(lessor) = &mut self.lessor else { break };
            for request in lessor.confirm_barrier(self.now, barrier, self.config.lease_duration) {
                let (newest, hash) = (newest.number, newest.hash());
                let grant = Message::LeaseGrant { round: request.round, active, newest, hash };
                self.send(&request.requester, &grant);
            }
        }
    }

    /// Starts a barrier for the waiting requests.
    pub(super) fn start_barrier(&mut self) {
        let barrier = self.lessor.as_mut().and_then(Lessor::start_barrier);
        if let (Some(barrier), Some(voter)) = (barrier, &mut self.voter) {
            voter.start_barrier(barrier);
        }
    }
}
