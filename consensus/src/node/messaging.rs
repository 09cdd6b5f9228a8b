//! Sending of messages, and dispatching of received messages to their handlers.

use super::state::{Datagram, Node};
use crate::fragment::fragment;
use crate::message::Message;
use crate::voter::VoterId;

/// Maximum number of datagrams that wait to be sent.
const MAX_OUTGOING_DATAGRAMS: usize = 16_384;

impl Node {
    /// Sends a message to a node, which may be this one.
    pub(super) fn send(&mut self, to: &str, message: &Message) {
        if to == self.name {
            return self.send_to_self(message);
        }
        self.last_message_number = self.last_message_number.wrapping_add(1);
        let fragments =
            postcard::to_stdvec(message).ok().and_then(|bytes| fragment(self.last_message_number, &bytes));
        let has_room =
            |fragments: &Vec<Vec<u8>>| self.outgoing.len() + fragments.len() <= MAX_OUTGOING_DATAGRAMS;
        let Some(fragments) = fragments.filter(has_room) else {
            self.counters.dropped_messages += 1;
            return;
        };
        self.counters.sent_datagrams += fragments.len() as u64;
        let datagrams = fragments.into_iter().map(|payload| Datagram { to: to.to_string(), payload });
        self.outgoing.extend(datagrams);
    }

    /// Handles a message to this node itself. It is encoded and decoded like any other, so that both use the same code path.
    fn send_to_self(&mut self, message: &Message) {
        let message = postcard::to_stdvec(message).ok().and_then(|bytes| postcard::from_bytes(&bytes).ok());
        if let Some(message) = message {
            let name = self.name.clone();
            self.handle(&name, message);
        }
    }

    /// Handles a received message.
    pub(super) fn handle(&mut self, from: &str, message: Message) {
        match message {
            Message::Raft(bytes) => self.on_raft(from, &bytes),
            Message::EmptyLog => {
                if let (Some(id), Some(voter)) = (self.voter_id(from), &mut self.voter) {
                    voter.on_peer_log_empty(id);
                }
            }
            Message::LostLog => {
                if let (Some(id), Some(voter)) = (self.voter_id(from), &mut self.voter) {
                    voter.on_peer_log_lost(id);
                }
            }
            Message::LeaseRequest { incarnation, round, version, hash } => {
                self.on_lease_request(from, incarnation, round, version, hash)
            }
            Message::LeaseGrant { round, active, newest, hash } => {
                self.on_lease_grant(from, round, active, newest, hash)
            }
            Message::Redirect { leader } => self.on_redirect(leader),
            Message::Fetch { number, hash, transfer } => self.on_fetch(from, number, hash, transfer),
            Message::Steps { after, steps, hash } => self.on_steps(after, steps, hash),
            Message::VersionPart { number, hash, offset, total, bytes } => {
                self.on_version_part(from, number, hash, offset, total, &bytes)
            }
            Message::Propose { id, proposal } => self.on_propose(from, id, proposal),
            Message::Resolved { id, outcome } => self.complete_proposal(&id, outcome),
        }
    }

    fn on_raft(&mut self, from: &str, bytes: &[u8]) {
        let accepted = match (self.voter_id(from), &mut self.voter) {
            (Some(id), Some(voter)) => voter.receive(id, bytes),
            _ => false,
        };
        self.counters.invalid_messages += u64::from(!accepted);
    }

    fn voter_id(&self, name: &str) -> Option<VoterId> {
        self.config.voter_index(name).map(|index| index as VoterId + 1)
    }
}
