//! Input of a node: time, datagrams and finished writes, and what follows from what its voter does.

use super::state::Node;
use crate::lessor::Lessor;
use crate::message::Message;
use crate::voter::{RaftMessage, Voter};
use asterrill::Us;

impl Node {
    /// When [`Node::tick`] is to be called next.
    pub fn next_tick(&self) -> Us {
        let voter = self.voter.as_ref().map_or(Us::MAX, Voter::next_tick);
        let lease_end = Some(self.lease.until()).filter(|until| *until > self.now).unwrap_or(Us::MAX);
        let proposal = self.next_proposal_event().unwrap_or(Us::MAX);
        voter.min(lease_end).min(proposal).min(self.next_renewal).max(self.now)
    }

    /// Time has passed. `unix_now` is the Unix clock in microseconds, for entries that expire.
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

    /// A datagram of another node has arrived.
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

    /// All writes up to this number are on disk.
    pub fn persisted(&mut self, now: Us, number: u64) {
        self.now = self.now.max(now);
        if let Some(voter) = &mut self.voter {
            voter.persisted(number);
        }
        self.process_voter();
        self.refresh_policy();
    }

    /// Handles what the voter has done, and does what a leader has to do.
    fn process_voter(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        let (leads, term) = (voter.is_leader(), voter.term());
        let leader_to_notify = voter.take_leader_to_notify();
        let outgoing = voter.take_outgoing();
        let passed_barriers = voter.take_passed_barriers();
        let resolved = voter.take_resolved();

        self.update_lessor(leads, term);
        self.send_raft(outgoing);
        if let Some(leader) = leader_to_notify.and_then(|id| self.voter_name(id).map(str::to_string)) {
            self.send(&leader, &Message::LostLog);
        }
        self.deliver_resolved(resolved, leads);
        let newest = self.version_log().newest();
        let active = self.version_log().active();
        self.grant_leases(passed_barriers, active, &newest);
        self.start_barrier();
        self.propose_activation(active, &newest);
        // Messages that follow from all this are sent now. Other consequences wait for the next input.
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
