//! Inputs from the front ends: incoming RPCs and cancellations by callers.

use crate::engine::Engine;
use crate::idempotency::EarlierAttempt;
use crate::outputs::Outputs;
use crate::request::IncomingRpc;
use crate::response_cache::CacheKey;
use crate::rpc::{OpenRpc, RpcState};
use asterrill::{Arrival, FinalAnswer, RpcId, Us};

/// Reason for which an RPC is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeError {
    /// Its id belongs to an RPC that is open, that ran recently or whose result is retained.
    IdInUse,
    /// Its requester awaits the answer to another RPC.
    RequesterInUse,
}

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Accepts an RPC that was received completely. An error has no effect.
    pub fn request_received(
        &mut self, now: Us, reply_to: ReplyTo, request: IncomingRpc, body: &[u8],
        out: &mut dyn Outputs<ReplyTo>,
    ) -> Result<(), IntakeError> {
        self.advance_to(now);
        let id = request.id;
        if self.is_known(id) {
            return Err(IntakeError::IdInUse);
        }
        if self.rpcs.unanswered(reply_to).is_some() {
            return Err(IntakeError::RequesterInUse);
        }
        if self.earlier_attempt(&request) == EarlierAttempt::Expired {
            self.stats.results_expired += 1;
            self.abort_unserviceable(now, reply_to, out);
            return Ok(());
        }
        if self.idempotency.is_full() && request.idempotency_key.is_some() && !self.is_retry(&request) {
            self.stats.idempotency_keys_full += 1;
            self.reject(now, reply_to, out);
            return Ok(());
        }
        let Some(body) = (self.copy_body)(body) else {
            self.stats.no_buffer += 1;
            self.abort_unserviceable(now, reply_to, out);
            return Ok(());
        };
        self.stats.requests += 1;
        let arrived_at = self.arrival_time(&request);
        self.rpcs.insert(OpenRpc {
            reply_to,
            request,
            arrived_at,
            answered_at: None,
            original: None,
            state: RpcState::Queued,
            body: Some(body),
            used_connections: Vec::new(),
            upstream_failed: false,
        });
        self.submit(id, out);
        Ok(())
    }

    /// Reports whether an RPC with this id is open, ran recently, or its result is retained for others.
    fn is_known(&self, id: RpcId) -> bool {
        self.rpcs.contains(id)
            || self.recent_runs.contains(id)
            || self.response_cache.contains(id)
            || self.idempotency.contains(id)
    }

    fn arrival_time(&self, request: &IncomingRpc) -> Us {
        self.now.saturating_sub(request.read_delay)
    }

    /// Reports whether an RPC that arrives now repeats one that has run or is about to run.
    pub fn is_retry(&self, request: &IncomingRpc) -> bool {
        self.earlier_attempt(request) != EarlierAttempt::None
    }

    fn earlier_attempt(&self, request: &IncomingRpc) -> EarlierAttempt {
        self.earlier_attempt_at(request, self.arrival_time(request))
    }

    /// Returns what is known about an earlier attempt of an RPC that arrived at `arrived_at`, under the idempotency window
    /// in force.
    fn earlier_attempt_at(&self, request: &IncomingRpc, arrived_at: Us) -> EarlierAttempt {
        let Some(key) = request.idempotency_key else { return EarlierAttempt::None };
        let window = self.control.idempotency_window(request.method);
        self.idempotency.earlier_attempt(key, arrived_at, window)
    }

    /// Submits a queued RPC to the decision module, together with the RPC that it duplicates.
    pub(crate) fn submit(&mut self, id: RpcId, out: &mut dyn Outputs<ReplyTo>) {
        let Some(rpc) = self.rpcs.get(id) else { return };
        let request = &rpc.request;
        let cache_key = self.cache_key(request);
        let original = match self.earlier_attempt_at(request, rpc.arrived_at) {
            EarlierAttempt::Recorded(original) => Some(original),
            EarlierAttempt::Expired => return self.answer(id, FinalAnswer::Aborted, out),
            EarlierAttempt::None => cache_key.and_then(|key| self.response_cache.original(key, self.now)),
        };
        if request.denied && original.is_none() {
            let rejection = FinalAnswer::Rejected { terminal: true, retry_after: 0 };
            return self.answer(id, rejection, out);
        }
        let arrival = Arrival {
            id,
            method: request.method,
            caller: request.caller,
            deadline: request.deadline,
            size_kb: request.size_kb,
            unread_for: self.now.saturating_sub(rpc.arrived_at),
            original,
            cache_key: request.cache_key,
        };
        let tenant = request.tenant;
        if let (Some(key), None, None) = (cache_key, original, request.idempotency_key) {
            self.response_cache.register(key, id);
        }
        if let Some(rpc) = self.rpcs.get_mut(id) {
            rpc.original = original;
        }
        let outcome = self.control.rpc_read(self.now, arrival, tenant);
        self.apply(outcome, out);
    }

    /// Returns the key under which the result of an RPC may be shared, or none if it may not be shared.
    fn cache_key(&self, request: &IncomingRpc) -> Option<CacheKey> {
        let may_share = request.coalescible && self.is_coalescible(request.method);
        let key = request.cache_key.filter(|_| may_share)?;
        Some(CacheKey { method: request.method, key })
    }

    /// Aborts an incoming RPC that this server can't run, without adding it to the table.
    pub fn abort_unserviceable(&mut self, now: Us, reply_to: ReplyTo, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        self.stats.requests += 1;
        self.stats.aborted += 1;
        out.answer(reply_to, FinalAnswer::Aborted, self.credit, None);
    }

    /// Rejects an incoming RPC that this server must not serve, without adding it to the table. The rejection is
    /// terminal, so that the caller does not retry elsewhere.
    pub fn reject(&mut self, now: Us, reply_to: ReplyTo, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        self.stats.requests += 1;
        self.stats.rejected += 1;
        let answer = FinalAnswer::Rejected { terminal: true, retry_after: 0 };
        out.answer(reply_to, answer, self.credit, None);
    }

    /// Cancels the RPC of a requester that no longer waits for its answer. Returns false if no answer was due.
    pub fn caller_cancelled(&mut self, now: Us, reply_to: ReplyTo, out: &mut dyn Outputs<ReplyTo>) -> bool {
        self.advance_to(now);
        let Some(id) = self.rpcs.remove_unanswered(reply_to) else { return false };
        self.stats.cancelled += 1;
        self.release_rpc(id, out);
        let outcome = self.control.caller_cancelled(self.now, id);
        self.apply(outcome, out);
        true
    }
}
