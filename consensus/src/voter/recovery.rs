//! Recovery of voters whose file is lost or damaged.
//!
//! A voter that may have acknowledged entries that it no longer has must not vote before it has caught up, and messages
//! that assume such entries must not reach `raft`.

use super::state::Voter;
use super::types::VoterId;
use raft::eraftpb::{Message, MessageType};

impl Voter {
    /// Records that another voter's log is empty.
    ///
    /// Once the logs of all voters are empty, the cluster is new and this voter may vote.
    pub fn on_peer_log_empty(&mut self, id: VoterId) {
        self.empty_voters.insert(id);
        self.bootstrap_if_all_empty();
    }

    pub(super) fn bootstrap_if_all_empty(&mut self) {
        if self.is_log_empty() && self.empty_voters.len() >= self.voter_count {
            self.non_voting = false;
        }
    }

    /// Records that another voter has lost log entries, so that this voter, as the leader, sends it the log from the start.
    pub fn on_peer_log_lost(&mut self, id: VoterId) {
        let progress = self.raft.raft.mut_prs().get_mut(id);
        if let Some(progress) = progress.filter(|_| id != self.id) {
            progress.matched = 0;
            progress.next_idx = 1;
            progress.become_probe();
        }
    }

    /// Lets this voter vote again if it has everything that the leader had committed when it sent its message.
    pub(super) fn vote_if_caught_up(&mut self, leader_commit: u64) {
        let committed = self.raft.raft.raft_log.committed;
        if self.non_voting && self.last_index() > 0 && committed >= leader_commit {
            self.non_voting = false;
        }
    }

    /// Reports whether a message is consistent with the log of this voter. `raft` panics on a message that is not.
    pub(super) fn is_consistent(&self, message: &Message) -> bool {
        match message.get_msg_type() {
            MessageType::MsgHeartbeat => message.get_commit() <= self.last_index(),
            MessageType::MsgAppend => {
                self.matches_committed(message.get_index(), message.get_log_term())
                    && message
                        .get_entries()
                        .iter()
                        .all(|e| self.matches_committed(e.get_index(), e.get_term()))
            }
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => !self.non_voting,
            MessageType::MsgHup | MessageType::MsgBeat | MessageType::MsgPropose => false,
            _ => true,
        }
    }

    /// Reports whether this voter has no committed entry at `index` with another term.
    fn matches_committed(&self, index: u64, term: u64) -> bool {
        let log = &self.raft.raft.raft_log;
        if index == 0 || index > log.committed {
            return true;
        }
        let own_term = log.term(index).unwrap_or(0);
        own_term == 0 || own_term == term
    }
}
