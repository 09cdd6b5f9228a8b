//! One turn of a node's loop, and what comes of it.

use super::cluster::{Cluster, Event, Outcome, ProposalKey, ENVELOPE_BYTES};
use super::node::Received;
use super::units::MS;
use asterrill::Us;
use asterrill_consensus::{
    CompletedProposal, Datagram, DiskWrite, Node as ConsensusNode, Proposal, ProposalOutcome,
};
use nix::time::{clock_gettime, ClockId};
use rand::Rng;
use std::ops::Range;

const MAX_UNSENT: usize = 4_096; // daemon/src/membership.rs: datagrams that wait to be sent
const IDLE_SLEEP: Us = MS; // a loop that has nothing to read sleeps so long at the least
const NETWORK_DELAY: Range<Us> = 200..3 * MS;
const WRITE_TIME: Range<Us> = 100..4 * MS;

/// What a node has to send, to write and to report after a turn.
struct TurnOutput {
    datagrams: Vec<Datagram>,
    writes: Vec<DiskWrite>,
    outcomes: Vec<CompletedProposal>,
    /// By its own clock.
    next_tick: Us,
    leads: bool,
}

impl TurnOutput {
    fn take(consensus: &mut ConsensusNode) -> TurnOutput {
        TurnOutput {
            datagrams: consensus.take_outgoing(),
            writes: consensus.take_writes(),
            outcomes: consensus.take_outcomes(),
            next_tick: consensus.next_tick(),
            leads: consensus.is_leader(),
        }
    }
}

/// CPU time of this thread.
fn cpu_ns() -> u64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0, |at| at.tv_sec() as u64 * 1_000_000_000 + at.tv_nsec() as u64)
}

impl Cluster {
    /// One turn of a node's loop: what is on disk, what was received, what is due; then what comes of it. The number of the
    /// proposal, if there is one.
    pub(super) fn take_turn(&mut self, n: usize, proposal: Option<Proposal>) -> Option<u64> {
        let (at, now) = (self.local_time(n), self.now);
        let names = &self.names;
        let node = &mut self.nodes[n];
        let consensus = node.consensus.as_mut()?;
        let begun = cpu_ns();
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
        let output = TurnOutput::take(consensus);
        let cost = cpu_ns().saturating_sub(begun);
        node.usage.cpu_ns += cost;
        let end = if self.charges_cpu { now + cost / 1_000 } else { now };
        node.busy_until = end;
        self.finish_turn(n, end, output);
        number
    }

    fn finish_turn(&mut self, n: usize, end: Us, output: TurnOutput) {
        let start = self.nodes[n].start;
        self.send(n, end, output.datagrams);
        for write in output.writes {
            let took = self.rng.random_range(WRITE_TIME);
            let persisted = self.nodes[n].writing_until.max(end) + took;
            self.nodes[n].writing_until = persisted;
            self.push(persisted, Event::Persisted { node: n, start, write });
        }
        for CompletedProposal { number, outcome } in output.outcomes {
            if let ProposalOutcome::Committed { number, hash } = &outcome {
                self.audit.see(*number, *hash);
            }
            let key = ProposalKey { node: n, start, number };
            self.proposals.insert(key, Some(Outcome { at: end, outcome }));
        }
        let led = std::mem::replace(&mut self.nodes[n].leads, output.leads);
        self.elections += u64::from(output.leads && !led);
        self.read_view(n);
        self.wake(n, self.global_time(n, output.next_tick).max(end + IDLE_SLEEP));
    }

    fn send(&mut self, n: usize, end: Us, mut datagrams: Vec<Datagram>) {
        let excess = datagrams.len().saturating_sub(MAX_UNSENT);
        datagrams.drain(..excess);
        self.bound_losses.unsent += excess as u64;
        let usage = &mut self.nodes[n].usage;
        usage.sent += datagrams.len() as u64;
        usage.sent_bytes +=
            datagrams.iter().map(|datagram| datagram.payload.len() as u64 + ENVELOPE_BYTES).sum::<u64>();
        for Datagram { to, payload: bytes } in datagrams {
            let Some(to) = self.indexes.get(&to).copied() else { continue };
            let cut = self.cut.contains(&n) || self.cut.contains(&to);
            if cut || (self.loss > 0.0 && self.rng.random::<f64>() < self.loss) {
                self.lost += 1;
                continue;
            }
            let delay = self.rng.random_range(NETWORK_DELAY);
            self.push(end + delay, Event::Message { from: n, to, bytes });
        }
    }
}
