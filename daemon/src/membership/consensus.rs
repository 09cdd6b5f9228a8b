//! Raft node that agrees on lists. Its messages are sent in datagrams of the membership protocol, and its writes are
//! done by the store thread.

use super::shared::MembershipState;
use crate::store::{read_consensus, truncate_consensus};
use asterrill::Us;
use asterrill_consensus::{CompletedProposal, Config, DiskWrite, LeasedPolicy, Node, ProposalOutcome};
use asterrill_membership::MemberName;
use asterrill_net::{monotonic_now, now};
use asterrill_operator_config::FleetConfig;
use asterrill_settings::SettingsError;
use serde_json::{json, Value};
use std::path::Path;
use std::sync::Mutex;

/// Creates the raft node. A voter restores its state from disk.
///
/// # Errors
/// The storage can't be read, or its content is invalid.
pub(super) fn open_node(
    name: &str, generation: u64, fleet: &FleetConfig, dir: &Path,
) -> Result<Node, SettingsError> {
    let config = Config {
        voters: fleet.voters.clone(),
        lease_duration: fleet.lease,
        renew_interval: fleet.renew_interval,
        tick_interval: fleet.tick_interval,
    };
    let error =
        |e: &dyn std::fmt::Display| SettingsError::new(format!("{}: {e}", dir.join("agreed").display()));
    let is_voter = config.voters.iter().any(|voter| voter == name);
    let disk = if is_voter { read_consensus(dir).map_err(|e| error(&e))? } else { Vec::new() };
    let node = Node::new(monotonic_now(), name, generation, config, &disk, &[]).map_err(|e| error(&e))?;
    if is_voter && node.valid_log_len() < disk.len() {
        truncate_consensus(dir, node.valid_log_len()).map_err(|e| error(&e))?;
    }
    Ok(node)
}

/// Output of the raft node for one tick.
pub(super) struct ConsensusOutput {
    /// Writes to make durable, in this order.
    pub(super) writes: Vec<DiskWrite>,
    /// Agreed lists in effect, if they may have changed.
    pub(super) policy: Option<LeasedPolicy>,
    /// Time of the next tick.
    pub(super) next_tick: Us,
}

impl ConsensusOutput {
    fn none() -> ConsensusOutput {
        ConsensusOutput { writes: Vec::new(), policy: None, next_tick: Us::MAX }
    }
}

impl MembershipState {
    /// Passes messages, the time and completed writes to the raft node, and sends its messages and replies.
    pub(super) fn run_consensus(
        &mut self, now_monotonic: Us, durable_writes: &Mutex<Vec<u64>>,
    ) -> ConsensusOutput {
        let messages = self.membership.take_messages();
        let Some(node) = &mut self.consensus else { return ConsensusOutput::none() };
        for number in std::mem::take(&mut *durable_writes.lock().unwrap_or_else(|e| e.into_inner())) {
            node.persisted(now_monotonic, number);
        }
        for message in messages {
            node.receive(now_monotonic, message.from.as_str(), &message.body);
        }
        if node.next_tick() <= now_monotonic {
            node.tick(now_monotonic, now());
        }
        for datagram in node.take_outgoing() {
            if let Some(to) = MemberName::new(&datagram.to) {
                self.membership.send_message(&to, &datagram.payload);
            }
        }
        for CompletedProposal { number, outcome } in node.take_outcomes() {
            if let Some(proposer) = self.proposers.remove(&number) {
                // Sending fails if the client has stopped waiting.
                proposer.try_send(describe_outcome(outcome).into()).unwrap_or_default();
            }
        }
        ConsensusOutput {
            writes: node.take_writes(),
            policy: node.take_apply_policy(),
            next_tick: node.next_tick(),
        }
    }
}

fn describe_outcome(outcome: ProposalOutcome) -> Value {
    match outcome {
        ProposalOutcome::Committed { number, hash } => {
            json!({"ok": true, "version": number, "hash": format!("{hash:016x}")})
        }
        ProposalOutcome::Rejected(why) => json!({"ok": false, "error": why, "kind": "refused"}),
        ProposalOutcome::NoQuorum => json!({"ok": false, "kind": "no majority",
            "error": "no majority of the voters answered in time; the proposal may still be committed"}),
    }
}
