//! Voters whose file is lost or damaged: a voter that may have acknowledged more than it has must not vote before it has caught
//! up, and messages that assume more than it has must not reach `raft`.

use super::state::Voter;
use super::types::VoterId;
use raft::eraftpb::{Message, MessageType};

impl Voter {
    /// Another voter says that its log is empty. Once all have said so, the cluster is new and this voter may vote.
    pub fn peer_is_empty(&mut self, id: VoterId) {
        self.empty_voters.insert(id);
        self.bootstrap_if_all_empty();
    }

    pub(super) fn bootstrap_if_all_empty(&mut self) {
        if self.is_empty() && self.empty_voters.len() >= self.voter_count {
            self.non_voting = false;
        }
    }

    /// Another voter says that it has less than it had: as the leader, send it everything from the start.
    pub fn peer_lost_log(&mut self, id: VoterId) {
        let progress = self.raft.raft.mut_prs().get_mut(id);
        if let Some(progress) = progress.filter(|_| id != self.id) {
            progress.matched = 0;
            progress.next_idx = 1;
            progress.become_probe();
        }
    }

    /// Everything that the leader had committed when it sent its message is here: this voter may vote again.
    pub(super) fn vote_if_caught_up(&mut self, leader_commit: u64) {
        let committed = self.raft.raft.raft_log.committed;
        if self.non_voting && self.last_index() > 0 && committed >= leader_commit {
            self.non_voting = false;
        }
    }

    /// Whether a message is consistent with the log of this voter. `raft` panics on one that is not.
    pub(super) fn is_consistent(&self, message: &Message) -> bool {
        match message.get_msg_type() {
            MessageType::MsgHeartbeat => message.get_commit() <= self.last_index(),
            MessageType::MsgAppend => {
                self.agrees_on(message.get_index(), message.get_log_term())
                    && message.get_entries().iter().all(|e| self.agrees_on(e.get_index(), e.get_term()))
            }
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => !self.non_voting,
            MessageType::MsgHup | MessageType::MsgBeat | MessageType::MsgPropose => false,
            _ => true,
        }
    }

    /// Whether no committed entry of this voter at `index` has another term.
    fn agrees_on(&self, index: u64, term: u64) -> bool {
        let log = &self.raft.raft.raft_log;
        if index == 0 || index > log.committed {
            return true;
        }
        let own_term = log.term(index).unwrap_or(0);
        own_term == 0 || own_term == term
    }
}
