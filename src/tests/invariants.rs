//! Tests of the invariants, which are checked after every step of random inputs to random servers.

use super::harness::{Harness, ObservedRpc, Position};
use super::server_config::{ServerConfig, MS};
use crate::*;
use quickcheck::{Gen, QuickCheck};

/// Takes one random step: `kind` selects the input, `n` its details.
fn step(harness: &mut Harness, kind: u8, n: usize) {
    let duration = (n as Us % 40) * MS;
    match kind % 16 {
        0..=4 => {
            let timeout = [40, 300, 1_500][n % 3] * MS;
            harness.read(n % 2, n as u64 % 3, duration.min(30 * MS), timeout, None);
        }
        5 => repeat_keyed(harness, n),
        6..=8 => end_nth_run(harness, n),
        9 | 10 => {
            let running = harness.nth_open(n, |rpc| rpc.position == Position::Running);
            if let Some(id) = running.filter(|_| harness.config.upstream != Upstream::Absent) {
                harness.need_call(id);
            }
        }
        11 => {
            if let Some(id) = harness.nth_open(n, |rpc| matches!(rpc.position, Position::Calling(_))) {
                let ends = [CallEnd::Ok, CallEnd::Ok, CallEnd::Aborted, CallEnd::TimedOut, CallEnd::Rejected];
                harness.end_call(id, ends[n % 5]);
            }
        }
        12 => {
            let without_caller =
                |rpc: &ObservedRpc| !rpc.answer_due && rpc.position == Position::WaitingToCall;
            if let Some(id) = harness.nth_open(n, without_caller) {
                harness.end_run(id, RunEnd::Stopped);
            }
            if let Some(id) = harness.nth_open(n, |rpc| rpc.answer_due).filter(|_| n.is_multiple_of(3)) {
                harness.cancel(id);
            }
        }
        13 if harness.drain.is_none() && n.is_multiple_of(10) => {
            harness.notify_drain(harness.now + [600, 3_000][n / 10 % 2] * MS);
        }
        _ => harness.advance(duration),
    }
    harness.check();
}

/// Reads a repetition of a queued keyed RPC.
fn repeat_keyed(harness: &mut Harness, n: usize) {
    let keyed = |rpc: &ObservedRpc| {
        harness.config.idempotency[rpc.method] == Idempotency::Keyed && rpc.position == Position::Queued
    };
    if let Some(original) = harness.nth_open(n, keyed).filter(|id| harness.has_key(id)) {
        let method = harness.rpcs[&original].method;
        harness.read(method, n as u64 % 3, 0, 1_000 * MS, Some(original));
    }
}

/// Ends one of the running RPCs.
fn end_nth_run(harness: &mut Harness, n: usize) {
    if let Some(id) = harness.nth_open(n, |rpc| rpc.position == Position::Running) {
        let answered = !harness.rpcs[&id].answer_due;
        let end = if n.is_multiple_of(7) { RunEnd::Aborted } else { RunEnd::Ok };
        harness.end_run(id, if answered { RunEnd::Stopped } else { end });
    }
}

#[test]
fn invariants_hold_after_every_step() {
    fn holds(seed: u64, steps: Vec<(u8, u16)>) -> bool {
        let mut g = Gen::from_size_and_seed(10, seed);
        let mut harness = Harness::new(ServerConfig::random(&mut g), seed);
        for (kind, n) in &steps {
            step(&mut harness, *kind, usize::from(*n));
        }
        harness.advance(4_000 * MS);
        harness.check();
        true
    }
    let mut runs = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(400, 7));
    runs.quickcheck(holds as fn(u64, Vec<(u8, u16)>) -> bool);
}
