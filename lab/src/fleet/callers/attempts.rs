//! Life cycle of RPCs from the first attempt to the final answer.

use super::caller::{Caller, Rpc, Timer};
use super::connection::{Attempt, ConnectionId};
use super::ledger::{Rejection, UnansweredAttempt};
use crate::load::pick_weighted;
use crate::sidecar::{Answer, RpcHeader, OK, REJECTED};
use rand::Rng;
use std::io::Write;
use std::time::{Duration, Instant};

/// Maximum number of attempts of one RPC.
const MAX_ATTEMPTS_PER_RPC: u32 = 3;
/// Time after the timeout of an attempt at which its answer counts as missing.
const ANSWER_SLACK: Duration = Duration::from_millis(250);
/// Remaining time of an RPC below which it is not attempted again.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(5);

impl Caller {
    pub(super) fn start_rpc(&mut self, rpc: u64, at: Instant) {
        let Some(method) = pick_weighted(&self.shared.profile.methods, &mut self.rng).copied() else {
            return;
        };
        let body = format!("{} {} {rpc}", method.method, self.number).into_bytes();
        self.rpcs.insert(rpc, Rpc { method, first_sent: at, body, attempts: 0 });
        self.record_bucket(at, |bucket| bucket.offered += method.criticality);
        self.record(|ledger| ledger.rpcs += 1);
        self.set_timer(at + method.timeout, Timer::RpcTimeout(rpc));
        self.attempt(rpc);
    }

    pub(super) fn finish_rpc(&mut self, rpc: u64, ok: bool) {
        let Some(rpc) = self.rpcs.remove(&rpc) else { return };
        if ok && rpc.first_sent.elapsed() <= rpc.method.target {
            self.record_bucket(rpc.first_sent, |bucket| bucket.in_time += rpc.method.criticality);
        }
    }

    pub(super) fn attempt(&mut self, id: u64) {
        let now = Instant::now();
        let Some(rpc) = self.rpcs.get(&id) else { return };
        let (method, attempts) = (rpc.method, rpc.attempts);
        let timeout = (rpc.first_sent + method.timeout).saturating_duration_since(now);
        if attempts >= MAX_ATTEMPTS_PER_RPC || timeout < MIN_ATTEMPT_TIMEOUT {
            return self.finish_rpc(id, false);
        }
        let Some(node) = self.choose_backend() else {
            // No backend can be called now; the RPC is tried again shortly until it times out.
            let delay = Duration::from_millis(self.rng.random_range(20..60));
            return self.set_timer(now + delay, Timer::Retry(id));
        };
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        rpc.attempts += 1;
        let (trace, caller) = (self.rng.random(), self.number as u64);
        let header = RpcHeader { method: method.method, trace, caller, timeout, tenant: None };
        let Some(connection) = self.connections.get_mut(&node) else { return };
        connection.last_stream += 1;
        let (connection_id, stream) = (connection.id, connection.last_stream);
        connection.in_flight.insert(stream, Attempt { rpc: id, sent: now });
        if connection.to.write_all(&header.encode(stream, &rpc.body)).is_err() {
            connection.shut_down();
        }
        self.record_bucket(now, |bucket| bucket.attempts += 1);
        let timer = Timer::AnswerDeadline { node, connection: connection_id, stream };
        self.set_timer(now + timeout + ANSWER_SLACK, timer);
    }

    /// Records an attempt that is still in flight at its deadline as unanswered.
    pub(super) fn handle_answer_deadline(&mut self, node: usize, connection: ConnectionId, stream: u32) {
        let Some(connection) = self.connection(node, connection) else { return };
        if let Some(attempt) = connection.in_flight.remove(&stream) {
            let unanswered = UnansweredAttempt { node, sent: attempt.sent };
            self.record(|ledger| ledger.unanswered.push(unanswered));
        }
    }

    /// Schedules another attempt of an RPC after a failed one. An RPC that may have run and must not run twice is
    /// ended.
    pub(super) fn retry(&mut self, id: u64, may_have_run: bool) {
        let Some(rpc) = self.rpcs.get(&id) else { return };
        if may_have_run && self.shared.profile.unsafe_to_retry.contains(&rpc.method.method) {
            return self.finish_rpc(id, false);
        }
        let jitter = Duration::from_millis(self.rng.random_range(1..10));
        self.set_timer(Instant::now() + jitter, Timer::Retry(id));
    }

    pub(super) fn handle_answer(
        &mut self, node: usize, connection: ConnectionId, stream: u32, answer: &Answer,
    ) {
        let Some(connection) = self.connection(node, connection) else { return };
        let credit = answer.field("advice").and_then(|value| value.parse().ok());
        connection.credit = credit.or(connection.credit);
        connection.answered += 1;
        let Some(attempt) = connection.in_flight.remove(&stream) else {
            // An answer after the deadline of its attempt counts as late. It counts as a duplicate only if the attempt
            // was answered before.
            let late = stream <= connection.last_stream && connection.answered <= connection.last_stream;
            return self.record(|ledger| ledger.answered_twice += u64::from(!late));
        };
        match answer.code {
            OK => {
                let expected = self.rpcs.get(&attempt.rpc).map(|rpc| [b"did ", &rpc.body[..]].concat());
                let is_wrong = expected.is_some_and(|expected| expected != answer.body);
                self.record(|ledger| ledger.wrong_results += u64::from(is_wrong));
                self.finish_rpc(attempt.rpc, true);
            }
            REJECTED => self.handle_rejection(node, attempt.rpc, answer),
            _ => self.retry(attempt.rpc, true),
        }
    }

    fn handle_rejection(&mut self, node: usize, rpc: u64, answer: &Answer) {
        let now = Instant::now();
        if let Some(ms) = answer.field("pause").and_then(|value| value.parse().ok()) {
            self.paused_until.insert(node, now + Duration::from_millis(ms));
        }
        self.record(|ledger| ledger.rejections.push(Rejection { node, at: now }));
        let terminal = answer.field("terminal") == Some("1") && !self.ignores_credit_and_pauses;
        if terminal {
            self.finish_rpc(rpc, false);
        } else {
            self.retry(rpc, false);
        }
    }
}
