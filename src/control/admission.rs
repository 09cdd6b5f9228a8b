//! Admission: an RPC that was read is queued, coalesced with the RPC that it repeats, or rejected at once.

use super::state::Control;
use crate::admission_queue::{PriorityBand, QueueKey};
use crate::events::Arrival;
use crate::ids::{RpcId, Us};
use crate::method::{Idempotency, Method};
use crate::outcome::KeyRetention;
use crate::rpc::{Rpc, RunAccounting, Stage};
use crate::tuning::COST_SPREAD;
use crate::upstream_calls::MAX_CALL_ATTEMPTS;

/// Maximum fraction of buf_limit that is reserved for more critical RPCs while RPCs are queued.
const RESERVE_FRACTION: f64 = 0.5;

/// The expected cost of serving an RPC.
struct Forecast {
    /// Upper estimate of the cost, in nanoseconds.
    max_cost: f64,
    /// Learned mean serving time, in microseconds.
    work: f64,
    /// Mean serving time at the server's current speed, in microseconds.
    serving_time: f64,
    /// Slowdown that these estimates are based on.
    slowdown: f64,
}

/// Time limits for an answer to an RPC.
struct TimeLimits {
    /// Whether the RPC arrived after the grace period of a drain.
    arrived_after_grace: bool,
    /// Time by which the RPC must be answered.
    deadline: Us,
    /// Time by which a queued RPC must finish. A run that would be late takes cores from RPCs that can be in time.
    on_time_until: Us,
    /// Latest time at which a successful answer earns any value.
    useful_until: Us,
}

/// An arrival with the data that its admission depends on.
struct Candidate {
    arrival: Arrival,
    method: Method,
    forecast: Forecast,
    time_limits: TimeLimits,
    /// buf_value of its caller's account.
    buf_value: f64,
    /// Its priority weight.
    weight: f64,
    key: QueueKey,
    /// Time for which its key is to be retained; 0 for not at all.
    retention: Us,
}

impl Candidate {
    /// Reports whether the RPC waits for the result of the RPC that it repeats.
    fn coalesces(&self) -> bool {
        self.arrival.original.is_some() && self.method.idempotency != Idempotency::NonIdempotent
    }
}

/// The rejection of an arrival, as it is reported to the caller.
struct Rejection {
    /// Whether the caller is asked not to try another server.
    terminal: bool,
    /// Expected time, in microseconds, until a similar RPC could be admitted.
    wait: f64,
}

impl Control {
    /// Starts tracking an RPC that was read, and queues, coalesces or rejects it.
    pub(super) fn admit(&mut self, arrival: Arrival, tenant: Option<usize>) {
        let Some(candidate) = self.evaluate(arrival, tenant) else { return };
        self.track(&candidate);
        if candidate.coalesces() {
            return self.coalesce(candidate.arrival.id, candidate.time_limits.deadline);
        }
        let rejection = self.capacity_rejection(&candidate).or_else(|| self.credit_rejection(&candidate));
        match rejection {
            Some(Rejection { terminal, wait }) => self.reject(candidate.arrival.id, terminal, wait),
            None => self.enqueue(&candidate),
        }
    }

    /// Counts an arrival and collects the data that its admission depends on. Rejects an RPC of an unknown method.
    fn evaluate(&mut self, arrival: Arrival, tenant: Option<usize>) -> Option<Candidate> {
        let now = self.now;
        let Some((method, forecast)) = self.forecast(&arrival) else {
            self.reject(arrival.id, true, 0.0);
            return None;
        };
        self.feedback.record_arrival(now, arrival.unread_for);
        let buf_value = self.accounts.record_seen(now, arrival.caller);
        let time_limits = self.time_limits(&arrival, &method);
        let criticality = if self.has_method(arrival.method) { method.criticality } else { 0.0 };
        let weight = criticality * self.quotas.count_rpc(now, tenant);
        self.sequence += 1;
        let key = QueueKey::new(PriorityBand::new(weight), self.sequence, arrival.id);
        let cacheable = arrival.cache_key.is_some();
        let retention =
            self.keys.retention(&method, cacheable, arrival.unread_for, forecast.serving_time, self.step);
        Some(Candidate { arrival, method, forecast, time_limits, buf_value, weight, key, retention })
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

    fn time_limits(&self, arrival: &Arrival, method: &Method) -> TimeLimits {
        let arrived = self.now.saturating_sub(arrival.unread_for);
        let deadline = arrival.deadline.unwrap_or(arrived + method.deadline);
        let deadline = deadline.saturating_sub(2 * self.step).min(self.drain.answers_due);
        let on_time_until = deadline.min(arrived + method.latency_target);
        TimeLimits {
            arrived_after_grace: arrived >= self.drain.grace_ends,
            deadline,
            on_time_until,
            useful_until: if method.late_value_ratio > 0.0 { deadline } else { on_time_until },
        }
    }

    /// Adds an arrival to the table of open RPCs and reserves its memory.
    fn track(&mut self, candidate: &Candidate) {
        let Candidate { arrival, method, forecast, time_limits, key, .. } = candidate;
        self.memory.used_kb += arrival.size_kb;
        let rpc = Rpc {
            method: arrival.method,
            caller: arrival.caller.account,
            size_kb: arrival.size_kb,
            stage: if candidate.coalesces() { Stage::Coalesced } else { Stage::Queued },
            key: *key,
            deadline: time_limits.deadline,
            useful_until: time_limits.useful_until,
            timer: Us::MAX,
            work: forecast.work,
            charged: 0.0,
            run: RunAccounting { entered_at: self.now, ..RunAccounting::default() },
            answered: false,
            call_attempts: MAX_CALL_ATTEMPTS,
            idempotency: method.idempotency,
            skip_value_ratio: method.skip_value_ratio,
            reserved_kb: arrival.size_kb,
        };
        self.rpcs.insert(arrival.id, rpc);
    }

    /// Makes a repeated RPC wait for the RPC that it repeats.
    ///
    /// The earlier RPC may have run, so a repeated one must not be rejected: if there is no memory or time for it, it
    /// is aborted.
    fn coalesce(&mut self, id: RpcId, deadline: Us) {
        let fits = self.now < deadline && self.memory.fits(self.keys.used_kb(), 0.0);
        if fits {
            self.outcome.coalesced.push(id);
        }
        self.set_timer(id, if fits { deadline } else { self.now });
    }

    /// Returns a rejection for an RPC that can't be answered in time or that the server has no capacity for: it arrived
    /// after the grace period of a drain, its deadline has passed, memory is used up, runs have stopped finishing, or
    /// the queue is too long.
    fn capacity_rejection(&self, candidate: &Candidate) -> Option<Rejection> {
        let Candidate { time_limits, forecast, .. } = candidate;
        let key_kb = if candidate.retention > 0 { self.keys.entry_kb } else { 0.0 };
        let fits = self.memory.fits(self.keys.used_kb() + key_kb, 0.0);
        let buffer_after_charge =
            (candidate.buf_value - forecast.max_cost).max(0.0) / self.accounts.buf_limit;
        let position = candidate.key.with_relative_buffer(buffer_after_charge).position();
        let queue_wait = self.queue.work_ahead(position) * forecast.slowdown / self.concurrency.target;
        let lateness =
            self.now as f64 + queue_wait + forecast.serving_time - time_limits.on_time_until as f64;
        let too_late = lateness > 0.0 && self.cores.running > 0;
        let stalled = self.is_stalled();
        let rejected = time_limits.arrived_after_grace
            || self.now >= time_limits.deadline
            || !fits
            || too_late
            || stalled;
        let wait = if too_late { lateness } else { 0.0 };
        rejected.then_some(Rejection { terminal: too_late && !stalled, wait })
    }

    /// Returns a rejection for an RPC that its caller's account can't pay for, while the cores are full and RPCs are
    /// queued. Less critical RPCs leave a reserve for more critical ones.
    fn credit_rejection(&self, candidate: &Candidate) -> Option<Rejection> {
        let highest_weight = self.methods.max_rank(f64::MIN_POSITIVE);
        let reserve = self.accounts.buf_limit * RESERVE_FRACTION * (1.0 - candidate.weight / highest_weight);
        let full = self.cores.running as f64 >= self.concurrency.target && !self.queue.is_empty();
        let needed = candidate.forecast.max_cost + reserve;
        let rejected = full && candidate.buf_value < needed;
        let wait = (needed - candidate.buf_value) / self.accounts.mrr * 1e3;
        rejected.then_some(Rejection { terminal: true, wait })
    }

    /// Charges the caller's account and queues the RPC.
    fn enqueue(&mut self, candidate: &Candidate) {
        let Candidate { arrival, forecast, time_limits, retention, .. } = candidate;
        let (now, id) = (self.now, arrival.id);
        let charge = self.accounts.charge(now, arrival.caller.account, forecast.max_cost);
        let key = candidate.key.with_relative_buffer(charge.relative_buffer);
        self.rpcs.entry(id).and_modify(|rpc| (rpc.charged, rpc.key) = (charge.amount, key));
        self.queue.push(key, forecast.work);
        if *retention > 0 {
            self.keys.retain(id, now + retention);
            self.outcome.retained_keys.push(KeyRetention { id, duration: *retention });
        }
        // If no RPC is running, this one is admitted as a trial whatever the estimates say.
        let latest_start = if self.cores.running > 0 {
            time_limits.on_time_until.saturating_sub(forecast.serving_time as Us)
        } else {
            time_limits.on_time_until
        };
        self.set_timer(id, latest_start.max(now));
    }
}
