//! Input into a voter: time, messages, proposals and barriers.

use super::state::Voter;
use super::types::VoterId;
use crate::command::Command;
use asterrill::Us;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};

impl Voter {
    /// Advances the time.
    pub fn tick(&mut self, now: Us) {
        if now < self.next_tick {
            return;
        }
        // After a pause only one tick is counted, because the voter received nothing while it was paused itself. More ticks
        // would time out a leader that is alive.
        self.next_tick = now + self.tick_interval;
        if !self.non_voting {
            self.raft.tick();
        }
        self.process_ready();
    }

    /// Handles a message of another voter. Returns false if the message is invalid and was dropped.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        if message.get_from() != from || message.get_to() != self.id {
            return false;
        }
        if !self.is_consistent(&message) {
            let heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
            if heartbeat {
                self.leader_to_notify = Some(from);
            }
            return heartbeat || self.non_voting;
        }
        let is_append = message.get_msg_type() == MessageType::MsgAppend;
        let leader_commit = message.get_commit();
        let accepted = self.raft.step(message).is_ok();
        self.process_ready();
        if is_append {
            self.vote_if_caught_up(leader_commit);
        }
        accepted
    }

    /// Proposes a command. Returns false if this voter does not lead, or too many bytes are uncommitted.
    pub fn propose(&mut self, command: &Command) -> bool {
        let Ok(bytes) = postcard::to_stdvec(command) else { return false };
        let accepted = self.is_leader() && self.raft.propose(Vec::new(), bytes).is_ok();
        self.process_ready();
        accepted
    }

    /// Starts a barrier.
    ///
    /// Once a majority has confirmed, after this moment, that this voter leads, [`Voter::take_confirmed_barriers`]
    /// returns the number.
    pub fn start_barrier(&mut self, number: u64) {
        self.raft.read_index(number.to_le_bytes().to_vec());
        self.process_ready();
    }
}
