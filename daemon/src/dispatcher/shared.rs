//! The dispatcher: the core and the outboxes behind one lock, and the state shared by the tasks of the daemon.

use super::outboxes::Outboxes;
use crate::core::Core;
use crate::outbound::Outbound;
use crate::queues::QueueConsumers;
use crate::stats::Stats;
use asterrill::Us;
use asterrill_consensus::LeasedPolicy;
use asterrill_membership::STATIC_QUOTA_FRACTION;
use asterrill_net::{
    monotonic_now, now, BufferPool, ConnectionLimit, ListenerHandle, Notify, Outbox, PoolUsage, BUFFER_BYTES,
};
use slog::Logger;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Divisor that gives the share of the memory limit used by each of the two buffer pools.
const POOL_MEMORY_DIVISOR: u64 = 6;

/// Returns the number of buffers in each pool under a memory limit in MB.
pub fn buffers_per_pool(memory_mb: u64) -> usize {
    (memory_mb * 1024 * 1024 / POOL_MEMORY_DIVISOR / BUFFER_BYTES as u64) as usize
}

/// State protected by the dispatcher's lock.
pub(super) struct DispatcherState {
    /// The core.
    pub(super) core: Core,
    /// The outboxes that receive the core's messages.
    pub(super) outboxes: Outboxes,
    /// The time at which the control loop wakes up.
    armed_for: Us,
    /// The number of sidecar connections opened so far.
    pub(super) connections_opened: u64,
    /// The expiry of the quota lease, as a [`monotonic_now`] time.
    quota_until: Us,
    /// The expiry of the lease of the agreed deny lists, as a [`monotonic_now`] time.
    policy_until: Us,
}

/// Passes inputs to the core one at a time, and the core's messages to the connections.
pub struct Dispatcher {
    locked: Mutex<DispatcherState>,
    /// The buffers for sockets.
    pub pool: BufferPool,
    /// The buffers for bodies of RPCs.
    body_pool: BufferPool,
    /// The limit on sidecar connections.
    pub connection_limit: ConnectionLimit,
    /// The handle that closes the listening socket.
    pub listener: ListenerHandle,
    /// The log.
    pub log: Logger,
    /// The notification for the control loop to wake up earlier than its armed time.
    pub timer_wakeup: Notify,
    /// The notification that there is a change to report to the name service.
    pub load_report_wakeup: Notify,
    /// Whether configuration changes are accepted. They are not while this backend is cut off from the others.
    pub changes_allowed: AtomicBool,
}

impl Dispatcher {
    /// Creates a dispatcher for a core and the outboxes of the agent and the upstream links.
    ///
    /// `max_connections` bounds the sidecar connections; idle ones are closed after `idle_timeout` microseconds.
    /// `pools` are the buffers for sockets and for bodies, in this order.
    pub fn new(
        core: Core, agent: Outbox, upstream: Vec<Outbox>, max_connections: usize, idle_timeout: Us,
        pools: [BufferPool; 2], log: Logger,
    ) -> Dispatcher {
        let listener = ListenerHandle::default();
        let outboxes =
            Outboxes::new(agent, upstream, max_connections, idle_timeout, listener.clone(), log.clone());
        let locked = DispatcherState {
            core,
            outboxes,
            armed_for: Us::MAX,
            connections_opened: 0,
            quota_until: Us::MAX,
            policy_until: Us::MAX,
        };
        let [pool, body_pool] = pools;
        Dispatcher {
            locked: Mutex::new(locked),
            pool,
            body_pool,
            connection_limit: ConnectionLimit::new(max_connections),
            listener,
            log,
            timer_wakeup: Notify::default(),
            load_report_wakeup: Notify::default(),
            changes_allowed: AtomicBool::new(true),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.locked.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Starts consuming deliveries of these queues, with the outbox of the connection to their broker.
    pub fn attach_queues(&self, queues: QueueConsumers, out: Outbox) {
        let mut locked = self.lock();
        locked.core.attach_queues(queues);
        locked.outboxes.broker = Some(out);
    }

    /// Applies one input to the core. The lock is held only for the duration of the input, and never while waiting.
    pub fn with<R>(&self, input: impl FnOnce(&mut Core, &mut dyn Outbound, Us) -> R) -> R {
        let mut locked = self.lock();
        locked.expire_leases();
        let DispatcherState { core, outboxes, armed_for, .. } = &mut *locked;
        let serving_before = outboxes.serving;
        let result = input(core, outboxes, now());
        outboxes.version = core.version();
        outboxes.close_answered(core);
        if outboxes.serving != serving_before {
            self.load_report_wakeup.notify();
        }
        let deadline = core.next_deadline().unwrap_or(Us::MAX);
        if deadline < *armed_for {
            *armed_for = deadline;
            self.timer_wakeup.notify();
        }
        result
    }

    /// Renews the lease of the quota assigned by the members until a [`monotonic_now`] time, and sets whether
    /// configuration changes are accepted.
    pub fn renew_quota_lease(&self, until: Us, changes_allowed: bool) {
        self.lock().quota_until = until;
        self.changes_allowed.store(changes_allowed, Ordering::Release);
    }

    /// Sets the agreed deny lists to enforce, and the expiry of their lease.
    pub fn set_apply_policy(&self, leased: LeasedPolicy) {
        let mut locked = self.lock();
        locked.core.set_apply_policy(leased.policy);
        locked.policy_until = leased.until;
    }

    /// Arms the timer for the core's next deadline, or for `latest` if that is earlier, and returns that time.
    pub fn arm_timer(&self, latest: Us) -> Us {
        let mut locked = self.lock();
        locked.armed_for = locked.core.next_deadline().unwrap_or(Us::MAX).min(latest);
        locked.armed_for
    }

    /// Returns whether this backend is reported to the name service as serving, or `None` until it is known.
    pub fn serving(&self) -> Option<bool> {
        self.lock().outboxes.serving
    }

    /// Adjusts the buffers to a memory limit, and sets the limit on sidecar connections. The number of upstream links
    /// does not change.
    pub fn resize(&self, memory_mb: u64, max_connections: usize) {
        let mut locked = self.lock();
        let outboxes = &mut locked.outboxes;
        self.connection_limit.adjust(max_connections as isize - outboxes.max_connections as isize);
        outboxes.max_connections = max_connections;
        drop(locked);
        let buffers = buffers_per_pool(memory_mb);
        self.pool.resize(buffers);
        self.body_pool.resize(buffers);
    }

    /// Returns all counters.
    pub fn stats(&self) -> Stats {
        self.lock().core.stats()
    }

    /// Returns all counters and the current gauges as one line for the log.
    pub fn stats_line(&self) -> String {
        let core = &self.lock().core;
        let PoolUsage { in_use, peak } = self.pool.usage();
        let (open, unanswered) = (core.open_rpcs(), core.unanswered_rpcs());
        let queues = core.queues().map(|queues| format!(" {queues}")).unwrap_or_default();
        let stats = core.stats();
        format!("{stats}open={open} owed={unanswered} buffers={in_use} buffers_peak={peak}{queues}")
    }
}

impl DispatcherState {
    /// Applies the expiry of leases that were not renewed in time, because this process was paused or starved of CPU.
    fn expire_leases(&mut self) {
        if self.quota_until != Us::MAX && monotonic_now() > self.quota_until {
            self.quota_until = Us::MAX;
            self.core.set_quota_fraction(now(), STATIC_QUOTA_FRACTION, &mut self.outboxes);
        }
        if self.policy_until != Us::MAX && monotonic_now() >= self.policy_until {
            self.policy_until = Us::MAX;
            self.core.expire_policy_lease();
        }
    }
}
