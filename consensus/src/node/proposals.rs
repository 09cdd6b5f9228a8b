//! Operators' proposals: sent to the leader until they are resolved, and proposed to the voters by the leader.

use super::state::{Node, OpenProposal};
use crate::command::{Command, CommandOutcome, ProposalId, ResolvedProposal};
use crate::message::Message;
use crate::proposal::{CompletedProposal, Proposal, ProposalOutcome};
use crate::step::Step;
use asterrill::Us;

/// Maximum number of open proposals at one node.
const MAX_OPEN_PROPOSALS: usize = 256;
const PROPOSAL_TIMEOUT_US: Us = 5_000_000;
const RESEND_INTERVAL_US: Us = 200_000;
/// Maximum number of proposals that the leader remembers as recently proposed.
const MAX_RECENTLY_PROPOSED: usize = 4_096;
/// Minimum time before the leader proposes the same proposal again.
const REPROPOSE_INTERVAL_US: Us = 1_000_000;

impl Node {
    /// Proposes a change that an operator requested at this node.
    ///
    /// Returns the number of the proposal, whose outcome [`Node::take_outcomes`] returns within 5 seconds.
    pub fn propose(&mut self, proposal: Proposal) -> u64 {
        self.last_proposal_number += 1;
        let number = self.last_proposal_number;
        if self.open_proposals.len() >= MAX_OPEN_PROPOSALS {
            let reason = format!("too many proposals are open at this node (limit {MAX_OPEN_PROPOSALS})");
            let outcome = ProposalOutcome::Rejected(reason);
            self.completed.push_back(CompletedProposal { number, outcome });
            return number;
        }
        let id = ProposalId { proposer: self.name.clone(), incarnation: self.incarnation, number };
        let open = OpenProposal { proposal, deadline: self.now + PROPOSAL_TIMEOUT_US, next_send: self.now };
        self.open_proposals.insert(id, open);
        self.send_open_proposals();
        self.refresh_policy();
        number
    }

    /// Returns the time at which the next open proposal must be sent again or times out.
    pub(super) fn next_proposal_event(&self) -> Option<Us> {
        self.open_proposals.values().map(|open| open.next_send.min(open.deadline)).min()
    }

    /// Completes proposals whose deadline has passed, and sends those again that are due.
    pub(super) fn send_open_proposals(&mut self) {
        self.expire_proposals();
        let now = self.now;
        let due: Vec<(ProposalId, Proposal)> = self
            .open_proposals
            .iter_mut()
            .filter(|(_, open)| open.next_send <= now)
            .map(|(id, open)| {
                open.next_send = now + RESEND_INTERVAL_US;
                (id.clone(), open.proposal.clone())
            })
            .collect();
        for (id, proposal) in due {
            let to = self.request_target();
            self.send(&to, &Message::Propose { id, proposal });
        }
    }

    fn expire_proposals(&mut self) {
        let now = self.now;
        let expired = self.open_proposals.iter().filter(|(_, open)| open.deadline <= now);
        let expired: Vec<ProposalId> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.open_proposals.remove(&id);
            let outcome = ProposalOutcome::NoQuorum;
            self.completed.push_back(CompletedProposal { number: id.number, outcome });
        }
    }

    /// Handles a proposal, as the leader.
    pub(super) fn on_propose(&mut self, from: &str, id: ProposalId, proposal: Proposal) {
        if let Some(outcome) = self.version_log().outcome(&id).cloned() {
            return self.send(from, &Message::Resolved { id, outcome });
        }
        let (now, leads) = (self.now, self.is_leader());
        self.recently_proposed.retain(|_, at| *at + REPROPOSE_INTERVAL_US > now && leads);
        if self.recently_proposed.contains_key(&id) {
            return;
        }
        if leads && self.recently_proposed.len() < MAX_RECENTLY_PROPOSED {
            self.recently_proposed.insert(id.clone(), now);
        }
        // A proposal that is committed twice still has one outcome.
        let command = command_of(id, proposal);
        if !(leads && self.voter.as_mut().is_some_and(|voter| voter.propose(&command))) {
            let leader = self.leader().map(str::to_string);
            self.send(from, &Message::Redirect { leader });
        }
    }

    /// Completes the committed proposals of this node and, as the leader, notifies the nodes of the others.
    pub(super) fn deliver_resolved(&mut self, resolved: Vec<ResolvedProposal>, leads: bool) {
        for ResolvedProposal { id, outcome } in resolved {
            if id.proposer == self.name {
                self.complete_proposal(&id, outcome);
            } else if leads {
                let to = id.proposer.clone();
                self.send(&to, &Message::Resolved { id, outcome });
            }
        }
    }

    pub(super) fn complete_proposal(&mut self, id: &ProposalId, outcome: CommandOutcome) {
        if self.open_proposals.remove(id).is_none() {
            return;
        }
        let outcome = match outcome {
            CommandOutcome::Applied { number, hash } => ProposalOutcome::Committed { number, hash },
            CommandOutcome::Rejected(error) => ProposalOutcome::Rejected(error.to_string()),
        };
        self.completed.push_back(CompletedProposal { number: id.number, outcome });
    }
}

fn command_of(id: ProposalId, proposal: Proposal) -> Command {
    match proposal {
        Proposal::Change { base, changes } => {
            let step = Step { base, proposer: id.proposer.clone(), changes };
            Command::Step { id, step }
        }
        Proposal::Undo { base, to } => Command::Undo { id, base, to },
    }
}
