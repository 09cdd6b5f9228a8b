//! The front of the queues: the session with the broker on one side, each queue's state machine on the other.
//! What the queues want of the engine is handed on to the core; all else is carried out here.

use asterrill::{FinalAnswer, RpcId, Us};
use asterrill_consumer::{
    Action, Catalog, ConsumerConfig, InFlightId, PendingReply, QueueConsumer, Submission,
};
use asterrill_engine::IncomingRpc;
use asterrill_protocol::amqp::{Channel, Delivery, Event, Login, Reply, Session, State};
use nanorand::{Rng, WyRand};
use std::fmt;

const ANSWERS: Channel = Channel(1); // the channel by which answers are published; the queues follow
const FIRST: u16 = 2;
const QUEUES: usize = 200; // that there ever were: each keeps its channel
const LEAVING: u16 = 200; // the reply code of a close that nothing is wrong with
const UNUSABLE: u16 = 501; // and of one for frames that are not understood

/// What the queues are made from.
pub struct QueueConfig {
    pub login: Login,
    pub terms: Vec<ConsumerConfig>,
    pub seed: u64,
    pub cores: f64,
    /// Deliveries of one queue for which there is memory.
    pub room: f64,
    /// The number published to callers says what each may have outstanding.
    pub credit: bool,
}

/// What was counted of the connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Connections that could be used, those that ended, and those that ended for what the broker did.
    pub up: u64,
    pub down: u64,
    pub bad_broker: u64,
    /// Times that the broker closed the connection, and that it wanted nothing published.
    pub closed: u64,
    pub blocked: u64,
    /// Settlements that were not written, as their channel was over.
    pub late: u64,
}

/// What the core is asked for.
pub enum QueueRequest {
    Offer(IncomingRpc, InFlightId, Vec<u8>),
    Withdraw(InFlightId),
    Log(String),
}

pub struct QueueConsumers {
    session: Session,
    queues: Vec<QueueConsumer>,
    cores: f64,
    room: f64,
    credit: bool,
    chance: WyRand,
    /// Answers can be published.
    answers: bool,
    leaving: bool,
    /// The broker was left for good.
    left: bool,
    pub counts: Counts,
}

impl QueueConsumers {
    pub fn new(now: Us, setup: QueueConfig) -> QueueConsumers {
        let mut chance = WyRand::new_seed(setup.seed);
        let queue = |(i, terms): (usize, ConsumerConfig)| {
            QueueConsumer::new(now, i as u16 + 1, chance.generate(), terms)
        };
        let queues = setup.terms.into_iter().enumerate().map(queue).collect();
        QueueConsumers {
            session: Session::new(setup.login),
            queues,
            cores: setup.cores,
            room: setup.room,
            credit: setup.credit,
            chance,
            answers: false,
            leaving: false,
            left: false,
            counts: Counts::default(),
        }
    }

    /// Whether these terms could be taken up.
    pub fn could_take(&self, terms: &[ConsumerConfig]) -> bool {
        let fresh = |t: &&ConsumerConfig| !self.queues.iter().any(|queue| queue.config().name == t.name);
        self.queues.len() + terms.iter().filter(fresh).count() <= QUEUES
    }
    /// Other queues and terms from now on: what is not named is left, and what is new is consumed.
    pub fn change(&mut self, now: Us, terms: Vec<ConsumerConfig>) {
        if self.leaving {
            return;
        }
        for queue in &mut self.queues {
            if !terms.iter().any(|t| t.name == queue.config().name) {
                queue.drain(now);
            }
        }
        for terms in terms {
            let known = self.queues.iter_mut().find(|queue| queue.config().name == terms.name);
            if let Some(queue) = known {
                queue.reconfigure(terms);
                continue;
            }
            let (number, seed) = (self.queues.len() as u16 + 1, self.chance.generate());
            let mut queue = QueueConsumer::new(now, number, seed, terms);
            if self.session.state() == State::Open {
                queue.connection_up(now);
            }
            self.queues.push(queue);
        }
    }

    fn of(&mut self, work: InFlightId) -> Option<&mut QueueConsumer> {
        self.queues.get_mut((work.0 >> 48).checked_sub(1)? as usize)
    }
    fn at(&mut self, channel: Channel) -> Option<&mut QueueConsumer> {
        self.queues.get_mut(channel.0.checked_sub(FIRST)? as usize)
    }
    fn channel(queue: usize) -> Channel {
        Channel(queue as u16 + FIRST)
    }

    /// A connection stands.
    pub fn connected(&mut self, now: Us) {
        self.session.connected(now);
        self.answers = false;
    }
    /// The connection is gone. True if it had been of use.
    pub fn down(&mut self) -> bool {
        let useful = matches!(self.session.state(), State::Open | State::Closing);
        self.counts.down += u64::from(useful);
        self.session.disconnected();
        self.answers = false;
        self.queues.iter_mut().for_each(QueueConsumer::connection_down);
        useful
    }
    /// No connection is wanted any more.
    pub fn done(&self) -> bool {
        self.left || self.leaving && self.session.state() == State::Disconnected
    }

    /// Takes what the broker sent; `known`: what is in force, by which deliveries find their way. The error is why the
    /// connection is of no more use.
    pub fn read(
        &mut self, now: Us, mut bytes: &[u8], logs: &mut Vec<String>, known: &dyn Catalog,
    ) -> Result<(), String> {
        loop {
            match self.session.read(now, &mut bytes) {
                Ok(Some(event)) => self.take(now, event, logs, known)?,
                Ok(None) => return Ok(()),
                Err(fault) => {
                    self.counts.bad_broker += 1;
                    self.session.close(now, UNUSABLE, "frames that are not understood");
                    return Err(fault.to_string());
                }
            }
        }
    }

    fn take(
        &mut self, now: Us, event: Event, logs: &mut Vec<String>, known: &dyn Catalog,
    ) -> Result<(), String> {
        match event {
            Event::Connected => {
                self.counts.up += 1;
                logs.push("the broker took the connection".into());
                self.session.open(ANSWERS);
                self.queues.iter_mut().for_each(|queue| queue.connection_up(now));
            }
            Event::ChannelOpen(ANSWERS) => self.session.select_confirms(ANSWERS),
            Event::ConfirmsSelected(_) => self.answers = true,
            Event::ChannelOpen(at) => self.at(at).into_iter().for_each(|queue| queue.channel_opened(now)),
            Event::Consuming(at) => self.at(at).into_iter().for_each(|queue| queue.consume_ok(now)),
            Event::Cancelled { channel, by_broker } => {
                self.at(channel).into_iter().for_each(|queue| queue.cancelled(now, by_broker));
            }
            Event::Delivered(delivery) => self.delivered(now, *delivery, known),
            Event::Confirmed { number, multiple, accepted } => {
                self.queues
                    .iter_mut()
                    .for_each(|queue| queue.reply_confirmed(now, number, multiple, accepted));
            }
            Event::Returned { message_id, code } => {
                let work = message_id.and_then(|id| u64::from_str_radix(&id, 16).ok()).map(InFlightId);
                logs.push(format!("an answer came back from the broker: {code}"));
                if let Some(work) = work {
                    self.of(work).into_iter().for_each(|queue| queue.reply_returned(work));
                }
            }
            Event::Blocked { reason } => {
                self.counts.blocked += 1;
                logs.push(format!("the broker wants nothing published: {}", short(&reason)));
            }
            Event::Unblocked => logs.push("the broker takes answers again".into()),
            Event::ChannelClosed { channel: ANSWERS, code, text } => {
                logs.push(format!("the broker closed the channel for answers: {code} {}", short(&text)));
                self.answers = false;
                self.queues.iter_mut().for_each(QueueConsumer::reply_channel_lost);
                self.session.open(ANSWERS);
            }
            Event::ChannelClosed { channel, code, text } => {
                self.at(channel).into_iter().for_each(|queue| queue.channel_closed(now, code, &text));
            }
            Event::Closed { code, text } => {
                self.counts.closed += 1;
                return Err(format!("the broker closed it: {code} {}", short(&text)));
            }
            Event::CloseConfirmed => self.left = true,
        }
        Ok(())
    }

    fn delivered(&mut self, now: Us, delivery: Delivery, known: &dyn Catalog) {
        if let Some(queue) = self.at(delivery.tag.channel) {
            queue.delivered(now, delivery, known);
        }
    }

    pub fn launched(&mut self, work: InFlightId) {
        self.of(work).into_iter().for_each(|queue| queue.run_started(work));
    }
    pub fn answered(&mut self, now: Us, work: InFlightId, answer: FinalAnswer<'_>) {
        self.of(work).into_iter().for_each(|queue| queue.answered(now, work, answer));
    }
    pub fn withdrawn(&mut self, now: Us, work: InFlightId) {
        self.of(work).into_iter().for_each(|queue| queue.withdrawn(now, work));
    }

    /// The notice to leave.
    pub fn leave(&mut self, now: Us) {
        self.leaving = true;
        self.queues.iter_mut().for_each(|queue| queue.drain(now));
    }

    /// When `tick` is wanted next.
    pub fn next(&self) -> Option<Us> {
        self.queues.iter().filter_map(QueueConsumer::next_timer).chain(self.session.next_tick()).min()
    }

    /// Time has passed. `credit`: the number published to callers; none while nothing can be run. The error is
    /// why the connection is of no more use.
    pub fn tick(&mut self, now: Us, credit: Option<f64>, runs: bool) -> Result<(), String> {
        let credit = if runs { credit.filter(|_| self.credit) } else { Some(0.0) };
        let (cores, room) = (self.cores, self.room / self.queues.len().max(1) as f64);
        self.queues.iter_mut().for_each(|queue| queue.update_prefetch(now, credit, cores, room));
        self.session.tick(now).map_err(|fault| {
            self.counts.bad_broker += 1;
            fault.to_string()
        })
    }

    /// Carries out what the queues want done, until one wants something of the core. `read` is made from an
    /// offer and a new id.
    pub fn ask(&mut self, now: Us) -> Option<QueueRequest> {
        for i in 0..self.queues.len() {
            while let Some(todo) = self.queues[i].next_action() {
                let (channel, queue) = (QueueConsumers::channel(i), &mut self.queues[i]);
                match todo {
                    Action::Submit(offer) => {
                        let body = queue.body(offer.id).unwrap_or(&[]).to_vec();
                        return Some(QueueRequest::Offer(self.read_of(&offer), offer.id, body));
                    }
                    Action::Withdraw(work) => return Some(QueueRequest::Withdraw(work)),
                    Action::Log(line) => return Some(QueueRequest::Log(line)),
                    Action::OpenChannel => {
                        if !self.session.open(channel) {
                            queue.channel_open_failed(now);
                        }
                    }
                    Action::CloseChannel { code, reason } => {
                        self.session.close_channel(channel, code, reason)
                    }
                    Action::Consume { prefetch } => {
                        let name = queue.config().name.clone();
                        self.session.consume(channel, &name, "asterrill", prefetch);
                    }
                    Action::Cancel => {
                        self.session.cancel(channel, "asterrill");
                    }
                    Action::Settle { tag, settlement } => {
                        self.counts.late += u64::from(!self.session.settle(tag, settlement));
                    }
                    Action::PublishReply(work) => {
                        let Some(PendingReply { reply_to: to, correlation_id, ok, body }) =
                            queue.pending_reply(work)
                        else {
                            continue;
                        };
                        let (message_id, kind) =
                            (format!("{:016x}", work.0), if ok { "ok" } else { "aborted" });
                        let reply = Reply { to, correlation_id, message_id: &message_id, kind, body };
                        let number = if self.answers { self.session.publish(ANSWERS, &reply) } else { None };
                        number.into_iter().for_each(|number| queue.reply_published(work, number));
                    }
                }
            }
        }
        let all_left = self.queues.iter().all(QueueConsumer::is_drained);
        if self.leaving && all_left && self.session.state() == State::Open {
            self.session.close(now, LEAVING, "leaving");
        }
        None
    }

    fn read_of(&mut self, offer: &Submission) -> IncomingRpc {
        IncomingRpc {
            id: RpcId::from_number(self.chance.generate()),
            method: offer.method,
            tenant: offer.tenant,
            caller: offer.caller,
            deadline: Some(offer.deadline),
            time_unread: 0,
            size_kb: offer.size_kb,
            cache_key: None,
            coalescible: false,
            idempotency_key: None,
        }
    }

    /// What is to be written to the broker now.
    pub fn out(&mut self) -> &mut Session {
        &mut self.session
    }
}

fn short(text: &str) -> String {
    text.chars().take(128).filter(|c| !c.is_control()).collect()
}

impl fmt::Display for QueueConsumers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { up, down, bad_broker, closed, blocked, late } = &self.counts;
        write!(f, "broker_up={up} broker_down={down} bad_broker={bad_broker} broker_closed={closed} ")?;
        write!(f, "broker_blocked={blocked} settled_late={late} ")?;
        for queue in &self.queues {
            let name = &queue.config().name;
            write!(f, "queue={name} {} ", queue.stats)?;
            write!(f, "out={} open={} window={} ", queue.unsettled(), queue.in_flight(), queue.prefetch())?;
            write!(f, "remembered={} ", queue.dedup_entries())?;
        }
        Ok(())
    }
}
