//! The session with the broker and the state machines of the queues: setup, reconfiguration, connection, timers.

use super::stats::BrokerStats;
use asterrill::{FinalAnswer, Us};
use asterrill_consumer::{ConsumerConfig, InFlightId, QueueConsumer};
use asterrill_protocol::amqp::{Channel, Login, Session, State};
use nanorand::{Rng, WyRand};
use std::fmt;

/// Channel on which replies are published.
pub(super) const REPLY_CHANNEL: Channel = Channel(1);
/// Channel of the first queue; the other queues use the following channels.
const FIRST_QUEUE_CHANNEL: u16 = 2;
/// Maximum number of different queues consumed during the life of the process, because each queue keeps its channel.
const MAX_QUEUES: usize = 200;
/// Position of the queue number in an [`InFlightId`]; queues are numbered from 1.
const QUEUE_NUMBER_SHIFT_BITS: u32 = 48;

/// Configuration of the queues and of the connection to their broker.
pub struct QueueConfig {
    /// Credentials and limits of the connection.
    pub login: Login,
    /// The queues to consume.
    pub consumers: Vec<ConsumerConfig>,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The number of cores of this server.
    pub cores: f64,
    /// The number of deliveries, over all queues, for which there is memory.
    pub delivery_capacity: f64,
    /// Whether the figure published to callers is a credit: the number of RPCs that each may have in flight.
    pub publishes_credit: bool,
}

/// Consumed queues, and the session with their broker.
pub struct QueueConsumers {
    /// The state machine of the connection.
    pub(super) session: Session,
    /// The state machines of the queues, in the order of their channels.
    pub(super) queues: Vec<QueueConsumer>,
    cores: f64,
    delivery_capacity: f64,
    publishes_credit: bool,
    /// The generator of ids and seeds.
    pub(super) rng: WyRand,
    /// Whether the reply channel is open and in confirm mode.
    pub(super) can_publish: bool,
    /// Whether the graceful shutdown has begun.
    pub(super) draining: bool,
    /// Whether the broker has confirmed the final close of the connection.
    pub(super) close_confirmed: bool,
    /// The counters of the connection.
    pub(super) stats: BrokerStats,
}

impl QueueConsumers {
    /// Creates the queues of this configuration, without a connection.
    pub fn new(now: Us, config: QueueConfig) -> QueueConsumers {
        let mut rng = WyRand::new_seed(config.seed);
        let numbered = (1..).zip(config.consumers);
        let queues = numbered.map(|(number, consumer)| {
            let seed = rng.generate();
            QueueConsumer::new(now, number, seed, consumer)
        });
        let queues = queues.collect();
        QueueConsumers {
            session: Session::new(config.login),
            queues,
            cores: config.cores,
            delivery_capacity: config.delivery_capacity,
            publishes_credit: config.publishes_credit,
            rng,
            can_publish: false,
            draining: false,
            close_confirmed: false,
            stats: BrokerStats::default(),
        }
    }

    /// Reports whether there are enough channels to consume these queues.
    pub fn has_capacity_for(&self, configs: &[ConsumerConfig]) -> bool {
        let is_new = |config: &&ConsumerConfig| !self.queues.iter().any(|q| q.config().name == config.name);
        self.queues.len() + configs.iter().filter(is_new).count() <= MAX_QUEUES
    }

    /// Changes the set of consumed queues to this one, and drains the queues that are no longer in it.
    pub fn reconfigure(&mut self, now: Us, configs: Vec<ConsumerConfig>) {
        if self.draining {
            return;
        }
        for queue in &mut self.queues {
            if !configs.iter().any(|config| config.name == queue.config().name) {
                queue.drain(now);
            }
        }
        for config in configs {
            match self.queues.iter_mut().find(|queue| queue.config().name == config.name) {
                Some(queue) => queue.reconfigure(config),
                None => self.add_queue(now, config),
            }
        }
    }

    fn add_queue(&mut self, now: Us, config: ConsumerConfig) {
        let number = self.queues.len() as u16 + 1;
        let seed = self.rng.generate();
        let mut queue = QueueConsumer::new(now, number, seed, config);
        if self.session.state() == State::Open {
            queue.connection_up(now);
        }
        self.queues.push(queue);
    }

    /// Returns the queue of a message in flight.
    pub(super) fn queue_of(&mut self, id: InFlightId) -> Option<&mut QueueConsumer> {
        self.queues.get_mut((id.0 >> QUEUE_NUMBER_SHIFT_BITS).checked_sub(1)? as usize)
    }

    /// Returns the queue that is consumed on a channel.
    pub(super) fn queue_on(&mut self, channel: Channel) -> Option<&mut QueueConsumer> {
        self.queues.get_mut(channel.0.checked_sub(FIRST_QUEUE_CHANNEL)? as usize)
    }

    /// Returns the channel of the queue at this index.
    pub(super) fn channel_of(index: usize) -> Channel {
        Channel(index as u16 + FIRST_QUEUE_CHANNEL)
    }

    /// Handles a new connection.
    pub fn connected(&mut self, now: Us) {
        self.session.connected(now);
        self.can_publish = false;
    }

    /// Handles the end of the connection. Returns whether it had been usable.
    pub fn disconnected(&mut self) -> bool {
        let was_usable = matches!(self.session.state(), State::Open | State::Closing);
        self.stats.disconnected += u64::from(was_usable);
        self.session.disconnected();
        self.can_publish = false;
        for queue in &mut self.queues {
            queue.connection_down();
        }
        was_usable
    }

    /// Reports whether no connection is needed any more.
    pub fn is_done(&self) -> bool {
        self.close_confirmed || self.draining && self.session.state() == State::Disconnected
    }

    /// Records that the run of a message was launched.
    pub fn launched(&mut self, id: InFlightId) {
        if let Some(queue) = self.queue_of(id) {
            queue.run_started(id);
        }
    }

    /// Passes the final answer for a message to its queue.
    pub fn answered(&mut self, now: Us, id: InFlightId, answer: FinalAnswer<'_>) {
        if let Some(queue) = self.queue_of(id) {
            queue.answered(now, id, answer);
        }
    }

    /// Records that a message was withdrawn from the engine before it ran.
    pub fn withdrawn(&mut self, now: Us, id: InFlightId) {
        if let Some(queue) = self.queue_of(id) {
            queue.withdrawn(now, id);
        }
    }

    /// Begins the graceful shutdown, after which no new message is accepted.
    pub fn drain(&mut self, now: Us) {
        self.draining = true;
        for queue in &mut self.queues {
            queue.drain(now);
        }
    }

    /// Returns the time at which [`QueueConsumers::tick`] is due next.
    pub fn next_deadline(&self) -> Option<Us> {
        self.queues.iter().filter_map(QueueConsumer::next_timer).chain(self.session.next_tick()).min()
    }

    /// Reports whether a tick is due.
    pub fn is_due(&self, now: Us) -> bool {
        self.next_deadline().is_some_and(|deadline| deadline <= now)
    }

    /// Processes timers that are due and updates the prefetch of the queues.
    ///
    /// `credit` is the figure published to callers; nothing is consumed while `can_run` is false. The error says why
    /// the connection has failed.
    pub fn tick(&mut self, now: Us, credit: Option<f64>, can_run: bool) -> Result<(), String> {
        let credit = if can_run { credit.filter(|_| self.publishes_credit) } else { Some(0.0) };
        let capacity = self.delivery_capacity / self.queues.len().max(1) as f64;
        for queue in &mut self.queues {
            queue.update_prefetch(now, credit, self.cores, capacity);
        }
        self.session.tick(now).map_err(|error| {
            self.stats.protocol_errors += 1;
            error.to_string()
        })
    }

    /// Returns the session, which holds the bytes to be written to the broker.
    pub fn session_mut(&mut self) -> &mut Session {
        &mut self.session
    }
}

impl fmt::Display for QueueConsumers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BrokerStats { connected, disconnected, protocol_errors, .. } = &self.stats;
        let BrokerStats { closed_by_broker, blocked, late_settlements, .. } = &self.stats;
        write!(f, "broker_up={connected} broker_down={disconnected} bad_broker={protocol_errors} ")?;
        write!(f, "broker_closed={closed_by_broker} ")?;
        write!(f, "broker_blocked={blocked} settled_late={late_settlements} ")?;
        for queue in &self.queues {
            let name = &queue.config().name;
            write!(f, "queue={name} {} ", queue.stats)?;
            write!(f, "out={} open={} window={} ", queue.unsettled(), queue.in_flight(), queue.prefetch())?;
            write!(f, "remembered={} ", queue.dedup_entries())?;
        }
        Ok(())
    }
}
