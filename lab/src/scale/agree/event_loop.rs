//! One iteration of the event loop of a node, and its effects.

use super::cluster::{Cluster, Event, Outcome, ProposalKey, ENVELOPE_BYTES};
use super::node::Received;
use super::units::MILLISECOND;
use asterrill::Us;
use asterrill_consensus::{
    CompletedProposal, Datagram, DiskWrite, Node as ConsensusNode, Proposal, ProposalOutcome,
};
use nix::time::{clock_gettime, ClockId};
use rand::Rng;
use std::ops::Range;

/// Maximum number of datagrams that wait to be sent, as in `daemon/src/membership/run.rs`.
const MAX_UNSENT_MESSAGES: usize = 4_096;
/// Minimum sleep of an event loop that has nothing to read.
const MIN_IDLE_SLEEP: Us = MILLISECOND;
const NETWORK_DELAY: Range<Us> = 200..3 * MILLISECOND;
const DISK_WRITE_TIME: Range<Us> = 100..4 * MILLISECOND;

/// Datagrams, writes and outcomes of one iteration.
struct IterationOutput {
    datagrams: Vec<Datagram>,
    writes: Vec<DiskWrite>,
    outcomes: Vec<CompletedProposal>,
    /// Time of the next tick on the local clock of the node.
    next_tick: Us,
    is_leader: bool,
}

impl IterationOutput {
    fn take(consensus: &mut ConsensusNode) -> IterationOutput {
        IterationOutput {
            datagrams: consensus.take_outgoing(),
            writes: consensus.take_writes(),
            outcomes: consensus.take_outcomes(),
            next_tick: consensus.next_tick(),
            is_leader: consensus.is_leader(),
        }
    }
}

/// Returns the CPU time of this thread.
fn cpu_ns() -> u64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0, |at| at.tv_sec() as u64 * 1_000_000_000 + at.tv_nsec() as u64)
}

impl Cluster {
    /// Runs one iteration of a node: a proposal, completed writes, received messages and a due tick, then their
    /// effects. Returns the number of the proposal, if there is one.
    pub(super) fn run_iteration(&mut self, n: usize, proposal: Option<Proposal>) -> Option<u64> {
        let (at, now) = (self.local_time(n), self.now);
        let names = &self.names;
        let node = &mut self.nodes[n];
        let consensus = node.consensus.as_mut()?;
        let started_at = cpu_ns();
        let number = proposal.map(|proposal| consensus.propose(proposal));
        for write in std::mem::take(&mut node.persisted) {
            consensus.persisted(at, write);
        }
        for Received { from, bytes } in std::mem::take(&mut node.inbox) {
            consensus.receive(at, &names[from], &bytes);
        }
        if consensus.next_tick() <= at {
            consensus.tick(at, now);
        }
        let output = IterationOutput::take(consensus);
        let cost = cpu_ns().saturating_sub(started_at);
        node.usage.cpu_ns += cost;
        let end = if self.charges_cpu { now + cost / 1_000 } else { now };
        node.busy_until = end;
        self.apply_output(n, end, output);
        number
    }

    fn apply_output(&mut self, n: usize, end: Us, output: IterationOutput) {
        let start_id = self.nodes[n].start_id;
        self.send(n, end, output.datagrams);
        for write in output.writes {
            let duration = self.rng.random_range(DISK_WRITE_TIME);
            let persisted = self.nodes[n].writing_until.max(end) + duration;
            self.nodes[n].writing_until = persisted;
            self.schedule(persisted, Event::Persisted { node: n, start_id, write });
        }
        for CompletedProposal { number, outcome } in output.outcomes {
            if let ProposalOutcome::Committed { number, hash } = &outcome {
                self.audit.record_hash(*number, *hash);
            }
            let key = ProposalKey { node: n, start_id, number };
            self.proposals.insert(key, Some(Outcome { at: end, outcome }));
        }
        let was_leader = std::mem::replace(&mut self.nodes[n].is_leader, output.is_leader);
        self.elections += u64::from(output.is_leader && !was_leader);
        self.update_enforcement(n);
        self.schedule_iteration(n, self.global_time(n, output.next_tick).max(end + MIN_IDLE_SLEEP));
    }

    fn send(&mut self, n: usize, end: Us, mut datagrams: Vec<Datagram>) {
        let excess = datagrams.len().saturating_sub(MAX_UNSENT_MESSAGES);
        datagrams.drain(..excess);
        self.bound_losses.unsent += excess as u64;
        let usage = &mut self.nodes[n].usage;
        usage.sent += datagrams.len() as u64;
        usage.sent_bytes +=
            datagrams.iter().map(|datagram| datagram.payload.len() as u64 + ENVELOPE_BYTES).sum::<u64>();
        for Datagram { to, payload: bytes } in datagrams {
            let Some(to) = self.indexes.get(&to).copied() else { continue };
            let isolated = self.isolated.contains(&n) || self.isolated.contains(&to);
            if isolated || (self.loss > 0.0 && self.rng.random::<f64>() < self.loss) {
                self.lost_messages += 1;
                continue;
            }
            let delay = self.rng.random_range(NETWORK_DELAY);
            self.schedule(end + delay, Event::Message { from: n, to, bytes });
        }
    }
}
