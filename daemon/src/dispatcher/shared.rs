//! The dispatcher: the core and the outboxes behind one lock, and what the tasks of the daemon share.

use super::outboxes::Outboxes;
use crate::core::Core;
use crate::outbound::Outbound;
use crate::queues::QueueConsumers;
use crate::stats::Stats;
use asterrill::Us;
use asterrill_consensus::LeasedPolicy;
use asterrill_membership::STATIC_QUOTA_FRACTION;
use asterrill_net::{
    monotonic_now, now, BufferPool, ConnectionLimit, ListenerHandle, Notify, Outbox, PoolUsage, BUFFER_SIZE,
};
use slog::Logger;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Of the memory limit, the buffers for sockets and those for bodies each take one part in so many.
const MEMORY_DIVISOR: u64 = 6;

/// The buffers of each pool under this memory limit in MB.
pub fn buffers_per_pool(memory_mb: u64) -> usize {
    (memory_mb * 1024 * 1024 / MEMORY_DIVISOR / BUFFER_SIZE as u64) as usize
}

/// What is behind the lock.
pub(super) struct DispatcherState {
    /// The core.
    pub(super) core: Core,
    /// Where the core's messages go.
    pub(super) outboxes: Outboxes,
    /// When the clock task wakes.
    armed_for: Us,
    /// Connections opened so far.
    pub(super) opened: u64,
    /// Until when, by [`monotonic_now`], the quota that the members gave holds.
    quota_until: Us,
    /// The same of the agreed lists.
    policy_until: Us,
}

/// Brings inputs to the core, one at a time, and what it sends to the connections.
pub struct Dispatcher {
    locked: Mutex<DispatcherState>,
    /// Buffers for sockets.
    pub pool: BufferPool,
    /// Buffers for the bodies of RPCs.
    body_pool: BufferPool,
    /// How many sidecar connections there may be.
    pub connection_limit: ConnectionLimit,
    /// Closes the listening socket.
    pub listener: ListenerHandle,
    /// The log.
    pub log: Logger,
    /// Notified when the clock task is to wake earlier than it was set to.
    pub timer_wakeup: Notify,
    /// Notified when there is something new to report to the name service.
    pub load_report_wakeup: Notify,
    /// Whether configuration changes are taken: this backend is not cut off from the others.
    pub changes_allowed: AtomicBool,
}

impl Dispatcher {
    /// Joins a core to the outboxes of the agent and the upstream links. `max_connections` bounds the sidecar
    /// connections, `idle_timeout` in microseconds is after what time idle ones are closed. The pools are for sockets
    /// and for bodies.
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
            opened: 0,
            quota_until: Us::MAX,
            policy_until: Us::MAX,
        };
        let [pool, body_pool] = pools;
        Dispatcher {
            locked: Mutex::new(locked),
            pool,
            body_pool,
            connection_limit: ConnectionLimit::new(max_connections),
            listener: listener,
            log,
            timer_wakeup: Notify::default(),
            load_report_wakeup: Notify::default(),
            changes_allowed: AtomicBool::new(true),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.locked.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Deliveries of these queues are consumed from now on, over this outbox.
    pub fn attach_queues(&self, queues: QueueConsumers, out: Outbox) {
        let mut locked = self.lock();
        locked.core.attach_queues(queues);
        locked.outboxes.broker = Some(out);
    }

    /// Brings one input to the core. The lock is held for the time of the input only, and never over a wait.
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

    /// The quota that the members gave last holds until this moment, by [`monotonic_now`]; and whether configuration
    /// changes are taken.
    pub fn renew_quota_lease(&self, until: Us, changes_allowed: bool) {
        self.lock().quota_until = until;
        self.changes_allowed.store(changes_allowed, Ordering::Release);
    }

    /// Sets the agreed lists in force, and until when they hold.
    pub fn set_apply_policy(&self, leased: LeasedPolicy) {
        let mut locked = self.lock();
        locked.core.set_apply_policy(leased.policy);
        locked.policy_until = leased.until;
    }

    /// Sets the clock to the core's next deadline, or to `latest` if that is earlier. Returns that moment.
    pub fn arm_timer(&self, latest: Us) -> Us {
        let mut locked = self.lock();
        locked.armed_for = locked.core.next_deadline().unwrap_or(Us::MAX).min(latest);
        locked.armed_for
    }

    /// What is reported to the name service: whether this backend takes work. `None` until that is certain.
    pub fn serving(&self) -> Option<bool> {
        self.lock().outboxes.serving
    }

    /// Adjusts the buffers to a memory limit, and the sidecar connections to a bound. Upstream links stay as many as they
    /// are.
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

    /// All counters.
    pub fn stats(&self) -> Stats {
        self.lock().core.stats()
    }

    /// All counters and the present figures, as one line for the log.
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
    /// A lease that has run out was not renewed: this process was paused or starved.
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
