//! Input of time, datagrams and completed writes into a node, and the handling of its voter's output.

use super::state::Node;
use crate::lessor::Lessor;
use crate::message::Message;
use crate::voter::{RaftMessage, Voter};
use asterrill::Us;

impl Node {
    /// Returns the time at which [`Node::tick`] must be called next.
    pub fn next_tick(&self) -> Us {
        let voter = self.voter.as_ref().map_or(Us::MAX, Voter::next_tick);
        let lease_end = Some(self.lease.until()).filter(|until| *until > self.now).unwrap_or(Us::MAX);
        let proposal = self.next_proposal_event().unwrap_or(Us::MAX);
        voter.min(lease_end).min(proposal).min(self.next_renewal).max(self.now)
    }

    /// Advances the time. `unix_now` is the Unix clock in microseconds, by which entries expire.
    pub fn tick(&mut self, now: Us, unix_now: Us) {
        self.now = self.now.max(now);
        if let Some(voter) = &mut self.voter {
            voter.tick(self.now);
        }
        self.process_voter();
        if self.now >= self.next_renewal {
            self.next_renewal = self.now + self.config.renew_interval;
            self.request_lease();
        }
        self.sweep_expired_entries(unix_now);
        self.send_open_proposals();
        self.refresh_policy();
    }

    /// Handles a datagram from another node.
    pub fn receive(&mut self, now: Us, from: &str, payload: &[u8]) {
        self.now = self.now.max(now);
        let Some(bytes) = self.reassembler.receive(from, payload) else { return };
        match postcard::from_bytes(&bytes) {
            Ok(message) => self.handle(from, message),
            Err(_) => self.counters.invalid_messages += 1,
        }
        self.process_voter();
        self.refresh_policy();
    }

    /// Records that all writes up to this number are on disk.
    pub fn persisted(&mut self, now: Us, number: u64) {
        self.now = self.now.max(now);
        if let Some(voter) = &mut self.voter {
            voter.persisted(number);
        }
        self.process_voter();
        self.refresh_policy();
    }

    /// Handles the output of the voter, and performs the duties of a leader.
    fn process_voter(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        let (leads, term) = (voter.is_leader(), voter.term());
        let leader_to_notify = voter.take_leader_to_notify();
        let outgoing = voter.take_outgoing();
        let confirmed_barriers = voter.take_confirmed_barriers();
        let resolved = voter.take_resolved();

        self.update_lessor(leads, term);
        self.send_raft(outgoing);
        if let Some(leader) = leader_to_notify.and_then(|id| self.voter_name(id).map(str::to_string)) {
            self.send(&leader, &Message::LostLog);
        }
        self.deliver_resolved(resolved, leads);
        let newest = self.version_log().newest();
        let active = self.version_log().active();
        self.grant_leases(confirmed_barriers, active, &newest);
        self.start_barrier();
        self.propose_activation(active, &newest);
        // Raft messages that result from these steps are sent now. Other results wait for the next input.
        let outgoing = self.voter.as_mut().map(Voter::take_outgoing).unwrap_or_default();
        self.send_raft(outgoing);
    }

    fn update_lessor(&mut self, leads: bool, term: u64) {
        if !leads {
            self.lessor = None;
        } else if self.lessor.is_none() || self.lessor_term != term {
            self.lessor = Some(Lessor::new(self.now, self.config.lease_duration, term));
        }
        self.lessor_term = term;
    }

    fn send_raft(&mut self, messages: Vec<RaftMessage>) {
        for message in messages {
            if let Some(name) = self.voter_name(message.to).map(str::to_string) {
                self.send(&name, &Message::Raft(message.bytes));
            }
        }
    }
}
