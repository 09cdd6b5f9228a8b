//! Admission: an RPC that was read is queued, coalesced with the one it repeats, or rejected at once.

use super::state::Control;
use crate::admission_queue::{PriorityBand, QueueKey};
use crate::events::Arrival;
use crate::ids::{RpcId, Us};
use crate::method::{Idempotency, Method};
use crate::outcome::KeyRetention;
use crate::rpc::{Rpc, RunAccounting, Stage};
use crate::tuning::COST_SPREAD;
use crate::upstream_calls::MAX_ATTEMPTS;

/// Fraction of buf_limit reserved for more critical RPCs once RPCs are queued.
const RESERVE: f64 = 0.5;

/// What serving an RPC is expected to take.
struct Forecast {
    /// The upper estimate, in nanoseconds.
    max_cost: f64,
    /// Mean serving time as learned, in microseconds.
    work: f64,
    /// Mean serving time at the server's speed now, in microseconds.
    serving_time: f64,
    /// The slowdown that these estimates count with.
    slowdown: f64,
}

/// Until when an answer to an RPC is of use.
struct Usefulness {
    /// It arrived after the grace of a drain.
    after_grace: bool,
    /// When it must have its answer.
    deadline: Us,
    /// The last moment for a queued RPC: one that would be late is not worth the cores that one in time could have.
    in_time: Us,
    /// The last moment at which an ok answer earns anything.
    last_useful: Us,
}

/// An arrival with all that its admission is decided by.
struct Candidate {
    arrival: Arrival,
    method: Method,
    forecast: Forecast,
    usefulness: Usefulness,
    /// buf_value of its caller's account.
    buf_value: f64,
    /// Priority weight.
    weight: f64,
    key: QueueKey,
    /// How long its key is to be retained; 0 for not at all.
    retention: Us,
}

impl Candidate {
    /// It waits for the result of the RPC that it repeats.
    fn coalesces(&self) -> bool {
        self.arrival.original.is_some() && self.method.idempotency != Idempotency::NonIdempotent
    }
}

/// Why an RPC is rejected at once, and what its caller gets to hear of it.
struct Rejection {
    terminal: bool,
    /// Expected time, in microseconds, until an RPC like it could be admitted.
    wait: f64,
}

impl Control {
    /// An RPC was read: it is tracked from now on, and queued, coalesced or rejected.
    pub(super) fn admit(&mut self, arrival: Arrival, tenant: Option<usize>) {
        let Some(candidate) = self.assess(arrival, tenant) else { return };
        self.track(&candidate);
        if candidate.coalesces() {
            return self.coalesce(candidate.arrival.id, candidate.usefulness.deadline);
        }
        let rejection = self.out_of_time(&candidate).or_else(|| self.out_of_credit(&candidate));
        match rejection {
            Some(Rejection { terminal, wait }) => self.reject(candidate.arrival.id, terminal, wait),
            None => self.enqueue(&candidate),
        }
    }

    /// Counts an arrival and gathers what its admission is decided by. One of an unknown method is rejected.
    fn assess(&mut self, arrival: Arrival, tenant: Option<usize>) -> Option<Candidate> {
        let now = self.now;
        let Some((method, forecast)) = self.forecast(&arrival) else {
            self.reject(arrival.id, true, 0.0);
            return None;
        };
        self.feedback.record_arrival(now, arrival.unread_for);
        let buf_value = self.accounts.record_seen(now, arrival.caller);
        let usefulness = self.usefulness(&arrival, &method);
        let criticality = if self.has_method(arrival.method) { method.criticality } else { 0.0 };
        let weight = criticality * self.quotas.take_weight(now, tenant);
        self.sequence += 1;
        let key = QueueKey::new(PriorityBand::new(weight), self.sequence, arrival.id);
        let cacheable = arrival.cache_key.is_some();
        let retention =
            self.keys.retention(&method, cacheable, arrival.unread_for, forecast.serving_time, self.step);
        Some(Candidate { arrival, method, forecast, usefulness, buf_value, weight, key, retention })
    }

    fn forecast(&self, arrival: &Arrival) -> Option<(Method, Forecast)> {
        let method = self.methods.latest(arrival.method.0)?;
        let cost = self.costs.get(arrival.method.0)?;
        let slowdown = if self.slowdown > COST_SPREAD { self.slowdown } else { 1.0 };
        let forecast = Forecast {
            max_cost: cost.max_cost() * 1e3 * slowdown,
            work: cost.mean,
            serving_time: cost.mean * slowdown,
            slowdown,
        };
        Some((method.clone(), forecast))
    }

    fn usefulness(&self, arrival: &Arrival, method: &Method) -> Usefulness {
        let arrived = self.now.saturating_sub(arrival.unread_for);
        let deadline = arrival.deadline.unwrap_or(arrived + method.deadline);
        let deadline = deadline.saturating_sub(2 * self.step).min(self.drain.answers_due);
        let in_time = deadline.min(arrived + method.latency_target);
        Usefulness {
            after_grace: arrived >= self.drain.grace_ends,
            deadline,
            in_time,
            last_useful: if method.late_value_ratio > 0.0 { deadline } else { in_time },
        }
    }

    /// Takes an arrival into the table of open RPCs and reserves its memory.
    fn track(&mut self, candidate: &Candidate) {
        let Candidate { arrival, method, forecast, usefulness, key, .. } = candidate;
        self.memory.used_kb += arrival.size_kb;
        let rpc = Rpc {
            method: arrival.method,
            caller: arrival.caller,
            size_kb: arrival.size_kb,
            stage: if candidate.coalesces() { Stage::Coalesced } else { Stage::Queued },
            key: *key,
            deadline: usefulness.deadline,
            last_useful: usefulness.last_useful,
            timer: Us::MAX,
            work: forecast.work,
            charged: 0.0,
            run: RunAccounting { since: self.now, ..RunAccounting::default() },
            answered: false,
            call_attempts: MAX_ATTEMPTS,
            idempotency: method.idempotency,
            skip_value_ratio: method.skip_value_ratio,
            reserved_kb: arrival.size_kb,
        };
        self.rpcs.insert(arrival.id, rpc);
    }

    /// A repeated RPC waits for the one it repeats. That one may have run, so a repeat is never rejected: without
    /// memory or time for it, it is aborted.
    fn coalesce(&mut self, id: RpcId, deadline: Us) {
        let fits = self.now < deadline && self.memory.fits(self.keys.used_kb(), 0.0);
        if fits {
            self.outcome.coalesced.push(id);
        }
        self.set_timer(id, if fits { deadline } else { self.now });
    }

    /// Rejects what can't be answered in time or has no place here: draining, out of memory, stalled, or behind.
    fn out_of_time(&self, candidate: &Candidate) -> Option<Rejection> {
        let Candidate { usefulness, forecast, .. } = candidate;
        let key_kb = if candidate.retention > 0 { self.keys.entry_kb } else { 0.0 };
        let fits = self.memory.fits(self.keys.used_kb() + key_kb, 0.0);
        let queue_wait =
            self.queue.work_ahead(candidate.key.band) * forecast.slowdown / self.concurrency.target;
        let lateness = self.now as f64 + queue_wait + forecast.serving_time - usefulness.in_time as f64;
        let too_late = lateness > 0.0 && self.cores.running > 0;
        let stalled = self.is_stalled();
        let rejected =
            usefulness.after_grace || self.now >= usefulness.deadline || !fits || too_late || stalled;
        let wait = if too_late { lateness } else { 0.0 };
        rejected.then_some(Rejection { terminal: too_late && !stalled, wait })
    }

    /// While the cores are full and RPCs queue, rejects what its caller's account can't pay for. Less critical RPCs
    /// leave a reserve for more critical ones.
    fn out_of_credit(&self, candidate: &Candidate) -> Option<Rejection> {
        let highest_weight = self.methods.greatest(f64::MIN_POSITIVE);
        let reserve = self.accounts.buf_limit * RESERVE * (1.0 - candidate.weight / highest_weight);
        let full = self.cores.running as f64 >= self.concurrency.target && !self.queue.is_empty();
        let needed = candidate.forecast.max_cost + reserve;
        let rejected = full && candidate.buf_value < needed;
        let wait = (needed - candidate.buf_value) / self.accounts.mrr * 1e3;
        rejected.then_some(Rejection { terminal: true, wait })
    }

    /// Charges the caller's account and queues the RPC.
    fn enqueue(&mut self, candidate: &Candidate) {
        let Candidate { arrival, forecast, usefulness, retention, .. } = candidate;
        let (now, id) = (self.now, arrival.id);
        let charge = self.accounts.charge(now, arrival.caller, forecast.max_cost);
        let key = candidate.key.with_relative_buffer(charge.relative_buffer);
        self.rpcs.entry(id).and_modify(|rpc| (rpc.charged, rpc.key) = (charge.amount, key));
        self.queue.push(key, forecast.work);
        if *retention > 0 {
            self.keys.retain(id, now + retention);
            self.outcome.retained_keys.push(KeyRetention { id, duration: *retention });
        }
        // With nothing on the cores this one is a trial, whatever the estimates say.
        let latest_start = if self.cores.running > 0 {
            usefulness.in_time.saturating_sub(forecast.serving_time as Us)
        } else {
            usefulness.in_time
        };
        self.set_timer(id, latest_start.max(now));
    }
}
