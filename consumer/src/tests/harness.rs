//! Test harness with a simulated broker and engine, which record every settlement and every run.

use crate::{Action, Backoff, Catalog, ConsumerConfig, FieldSource, InFlightId, QueueConsumer};
use asterrill::{FinalAnswer, Idempotency, MethodId, Us};
use asterrill_protocol::amqp::{Channel, Delivery, DeliveryTag, MessageProperties, Settlement};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(super) const MS: Us = 1_000;
pub(super) const S: Us = 1_000_000;

pub(super) fn config(method: &str) -> ConsumerConfig {
    ConsumerConfig {
        name: "q".into(),
        method: FieldSource {
            header: Some("kind".into()),
            default: Some(method.into()),
            ..FieldSource::default()
        },
        tenant: FieldSource::default(),
        caller: FieldSource::default(),
        prefetch: 64,
        processing_timeout: 10 * S,
        max_attempts: 3,
        backoff: Backoff { min: 100 * MS, max: 2 * S },
        size_kb: 4.0,
        dedup_ttl: 600 * S,
        dedup_capacity: 10_000,
        run_unverified_redeliveries: false,
    }
}

/// Catalog with one method of each idempotency and without tenants.
pub(super) struct TestCatalog;

impl Catalog for TestCatalog {
    fn method(&self, name: &str) -> Option<(MethodId, Idempotency)> {
        let all = [
            ("read", Idempotency::Idempotent),
            ("keyed", Idempotency::Keyed),
            ("pay", Idempotency::NonIdempotent),
        ];
        let index = all.iter().position(|(method, _)| *method == name)?;
        Some((MethodId(index), all[index].1))
    }
    fn tenant(&self, _: &str) -> Option<usize> {
        None
    }
    fn requires_tenant(&self) -> bool {
        false
    }
}

/// Message in the simulated broker.
#[derive(Clone, Debug)]
pub(super) struct QueuedMessage {
    pub(super) number: u64,
    pub(super) has_message_id: bool,
    pub(super) prior_deliveries: u64,
    pub(super) wants_reply: bool,
}

/// Consumer under test with its simulated broker and engine, and what these have recorded.
pub(super) struct Harness {
    pub(super) queue: QueueConsumer,
    pub(super) now: Us,
    /// Messages in the queue, to be delivered next.
    pub(super) ready: VecDeque<QueuedMessage>,
    /// Unsettled messages that were delivered on the current channel, by delivery tag.
    pub(super) unsettled: BTreeMap<DeliveryTag, QueuedMessage>,
    pub(super) settled_tags: BTreeSet<DeliveryTag>,
    /// Settlements other than requeues that the broker may not have read, as it has answered no request since.
    pub(super) maybe_unread: Vec<QueuedMessage>,
    /// Settlements other than requeues, by the number of the message.
    pub(super) settlements: BTreeMap<u64, Vec<Settlement>>,
    pub(super) last_tag: u64,
    /// Numbers of the messages that were submitted and have not started to run.
    pub(super) submitted: BTreeMap<InFlightId, u64>,
    pub(super) running: BTreeMap<InFlightId, u64>,
    /// Number of runs, by the number of the message.
    pub(super) runs: BTreeMap<u64, u64>,
    /// Number of runs that ended ok, by the number of the message.
    pub(super) completed: BTreeMap<u64, u64>,
    pub(super) reply_requests: Vec<InFlightId>,
    pub(super) publish_sequence: u64,
    pub(super) prefetch: Option<u16>,
    pub(super) actions: Vec<Action>,
    /// Rules that the consumer has violated.
    pub(super) violations: Vec<String>,
    pub(super) tag_source: TagSource,
}

/// Source of delivery tags. Only a session can create one, so each tag is taken from a delivery that a session reads.
pub(super) struct TagSource(asterrill_protocol::amqp::Session);

impl TagSource {
    pub(super) fn new() -> TagSource {
        use asterrill_protocol::amqp::{Credentials, Login, Session};
        let credentials = Credentials { user: "u".into(), password: "p".into() };
        let login = Login { credentials, virtual_host: "/".into(), heartbeat: 0, max_body_bytes: 64 };
        TagSource(Session::new(login))
    }
    /// Returns the tag of a delivery with this number on the current channel.
    pub(super) fn tag(&mut self, number: u64) -> DeliveryTag {
        let consumer_tag = [1, b'c'];
        let mut payload = vec![0, 60, 0, 60];
        payload.extend_from_slice(&consumer_tag);
        payload.extend_from_slice(&number.to_be_bytes());
        // Not redelivered, without an exchange and a routing key.
        payload.extend_from_slice(&[0, 0, 0]);
        let header = [0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
        let bytes = [frame(1, 2, &payload), frame(2, 2, &header)].concat();
        match self.0.read(1, &mut &bytes[..]) {
            Ok(Some(asterrill_protocol::amqp::Event::Delivered(delivery))) => delivery.tag,
            other => panic!("{other:?}"),
        }
    }
    /// Opens a new channel on a new connection.
    pub(super) fn reconnect(&mut self) {
        self.0.connected(1);
        let start = [&[0, 10, 0, 10, 0, 9, 0, 0, 0, 0, 0, 0, 0, 5][..], b"PLAIN", &[0, 0, 0, 0]].concat();
        let tune = [0, 10, 0, 30, 0, 0, 0, 0, 0, 0, 0, 0];
        let bytes = [frame(1, 0, &start), frame(1, 0, &tune), frame(1, 0, &[0, 10, 0, 41, 0])].concat();
        let mut input = &bytes[..];
        while self.0.read(1, &mut input).unwrap().is_some() {}
        assert!(self.0.open_channel(Channel(2)));
        let ok = frame(1, 2, &[0, 20, 0, 11, 0, 0, 0, 0]);
        assert!(self.0.read(1, &mut &ok[..]).unwrap().is_some());
        self.0.out.clear();
    }
}

pub(super) fn frame(kind: u8, channel: u16, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&channel.to_be_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(206);
    bytes
}

impl Harness {
    pub(super) fn new(config: ConsumerConfig) -> Harness {
        let queue = QueueConsumer::new(S, 1, 5, config);
        let mut harness = Harness {
            queue,
            now: S,
            ready: VecDeque::new(),
            unsettled: BTreeMap::new(),
            settled_tags: BTreeSet::new(),
            maybe_unread: Vec::new(),
            settlements: BTreeMap::new(),
            last_tag: 0,
            submitted: BTreeMap::new(),
            running: BTreeMap::new(),
            runs: BTreeMap::new(),
            completed: BTreeMap::new(),
            reply_requests: Vec::new(),
            publish_sequence: 0,
            prefetch: None,
            actions: Vec::new(),
            violations: Vec::new(),
            tag_source: TagSource::new(),
        };
        harness.connect();
        harness
    }
    pub(super) fn connect(&mut self) {
        self.tag_source.reconnect();
        self.queue.connection_up(self.now);
        self.carry_out_actions();
        self.update_prefetch(8.0);
    }
    pub(super) fn update_prefetch(&mut self, credit: f64) {
        self.queue.update_prefetch(self.now, Some(credit), 2.0, 100.0);
        self.carry_out_actions();
    }
    /// Puts a message into the queue.
    pub(super) fn publish(&mut self, number: u64, has_message_id: bool, wants_reply: bool) {
        self.ready.push_back(QueuedMessage { number, has_message_id, prior_deliveries: 0, wants_reply });
    }

    pub(super) fn carry_out_actions(&mut self) {
        while let Some(action) = self.queue.next_action() {
            self.actions.push(action.clone());
            match action {
                Action::OpenChannel => self.queue.channel_opened(self.now),
                Action::Consume { prefetch } => {
                    self.prefetch = Some(prefetch);
                    self.maybe_unread.clear();
                    self.queue.consume_ok(self.now);
                }
                Action::Cancel => {
                    self.prefetch = None;
                    self.maybe_unread.clear();
                    self.queue.cancelled(self.now, false);
                }
                Action::Submit(submission) => {
                    let number =
                        self.queue.body(submission.id).map(|body| std::str::from_utf8(body).unwrap().parse());
                    let number: u64 = number.unwrap().unwrap();
                    if self.submitted.insert(submission.id, number).is_some()
                        || self.running.contains_key(&submission.id)
                    {
                        self.violations.push(format!("message {number} was submitted again while in flight"));
                    }
                }
                Action::Withdraw(id) => {
                    if self.submitted.remove(&id).is_some() {
                        self.queue.withdrawn(self.now, id);
                    }
                }
                Action::Settle { tag, settlement } => self.settle(tag, settlement),
                Action::PublishReply(id) => self.reply_requests.push(id),
                Action::CloseChannel { .. } => self.redeliver_unsettled(),
                Action::Log(_) => {}
            }
        }
    }
    pub(super) fn settle(&mut self, tag: DeliveryTag, settlement: Settlement) {
        if !self.settled_tags.insert(tag) {
            self.violations.push(format!("{tag:?} was settled twice"));
        }
        // The session does not write the settlement of a delivery whose channel was lost.
        let Some(mut message) = self.unsettled.remove(&tag) else {
            if self.tag_source.0.is_current(tag) {
                self.violations.push(format!("{tag:?} was never delivered"));
            }
            return;
        };
        if settlement == Settlement::Requeue {
            message.prior_deliveries += 1;
            self.ready.push_back(message);
        } else {
            self.settlements.entry(message.number).or_default().push(settlement);
            self.maybe_unread.push(message);
        }
    }
    /// Puts a message without an id into the queue that another consumer had before.
    pub(super) fn requeue_from_another_consumer(&mut self, number: u64) {
        let (has_message_id, wants_reply) = (false, false);
        self.ready.push_front(QueuedMessage { number, has_message_id, prior_deliveries: 1, wants_reply });
    }
    /// Returns how often the broker has read a settlement of messages with this number.
    pub(super) fn count_settled(&self, number: u64, settlement: Settlement) -> u64 {
        let settlements = self.settlements.get(&number).into_iter().flatten();
        settlements.filter(|settled| **settled == settlement).count() as u64
    }
    /// Puts all unsettled messages back into the queue, to be redelivered.
    pub(super) fn redeliver_unsettled(&mut self) {
        self.prefetch = None;
        for (_, mut message) in std::mem::take(&mut self.unsettled) {
            message.prior_deliveries += 1;
            self.ready.push_front(message);
        }
    }
    /// Loses the connection before the broker has read up to `unread` of the last settlements.
    pub(super) fn disconnect_with_unread(&mut self, unread: usize) {
        let read = self.maybe_unread.len().saturating_sub(unread);
        for mut message in self.maybe_unread.split_off(read) {
            let settlements = self.settlements.get_mut(&message.number);
            settlements.and_then(Vec::pop).expect("an unread settlement was recorded");
            message.prior_deliveries += 1;
            self.ready.push_front(message);
        }
        self.disconnect();
    }
    pub(super) fn disconnect(&mut self) {
        self.maybe_unread.clear();
        self.tag_source.0.disconnected();
        self.queue.connection_down();
        self.redeliver_unsettled();
        self.carry_out_actions();
    }
    /// Delivers at most `limit` messages, as far as the prefetch allows. With `twice`, the first one is delivered under
    /// a second tag as well if it is a redelivery.
    pub(super) fn deliver(&mut self, limit: usize, twice: bool) {
        for n in 0..limit {
            let allowed = self.prefetch.is_some_and(|prefetch| self.unsettled.len() < usize::from(prefetch));
            if !allowed {
                return;
            }
            let Some(message) = self.ready.pop_front() else { return };
            for _ in 0..if twice && n == 0 && message.prior_deliveries > 0 { 2 } else { 1 } {
                self.last_tag += 1;
                let tag = self.tag_source.tag(self.last_tag);
                let properties = MessageProperties {
                    message_id: message.has_message_id.then(|| format!("m{}", message.number)),
                    reply_to: message.wants_reply.then(|| "r".to_string()),
                    ..MessageProperties::default()
                };
                self.unsettled.insert(tag, message.clone());
                let delivery = Delivery {
                    tag,
                    redelivered: message.prior_deliveries > 0,
                    exchange: String::new(),
                    routing_key: "q".into(),
                    properties,
                    size: 1,
                    body: Some(message.number.to_string().into_bytes()),
                };
                self.queue.delivered(self.now, delivery, &TestCatalog);
                self.carry_out_actions();
            }
        }
    }
    /// Starts a run of the oldest submitted message and returns the message's number.
    pub(super) fn start_run(&mut self) -> Option<u64> {
        let (id, number) = self.submitted.pop_first()?;
        self.queue.run_started(id);
        self.running.insert(id, number);
        *self.runs.entry(number).or_default() += 1;
        Some(number)
    }
    /// Ends the oldest run, ok or aborted.
    pub(super) fn end_run(&mut self, ok: bool) {
        if let Some((id, number)) = self.running.pop_first() {
            *self.completed.entry(number).or_default() += u64::from(ok);
            let answer = if ok { FinalAnswer::Ok(b"result") } else { FinalAnswer::Aborted };
            self.queue.answered(self.now, id, answer);
            self.carry_out_actions();
        }
    }
    /// Rejects the oldest submitted message.
    pub(super) fn reject(&mut self, retry_after: Us) {
        if let Some((id, _)) = self.submitted.pop_first() {
            self.queue.answered(self.now, id, FinalAnswer::Rejected { terminal: false, retry_after });
            self.carry_out_actions();
        }
    }
    /// Publishes all requested replies, and confirms or refuses them.
    pub(super) fn confirm_replies(&mut self, accepted: bool) {
        for id in std::mem::take(&mut self.reply_requests) {
            if self.queue.pending_reply(id).is_some() {
                self.publish_sequence += 1;
                self.queue.reply_published(id, self.publish_sequence);
            }
        }
        self.queue.reply_confirmed(self.now, self.publish_sequence, true, accepted);
        self.carry_out_actions();
    }
    /// Advances the time, with an update whenever a timer is due.
    pub(super) fn advance(&mut self, duration: Us) {
        let until = self.now + duration;
        while let Some(at) = self.queue.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.update_prefetch(8.0);
        }
        self.now = until;
    }
    /// Checks that the consumer has violated no rule and holds no more messages than allowed.
    pub(super) fn check(&self) {
        assert_eq!(self.violations, Vec::<String>::new());
        assert!(self.queue.in_flight() <= self.queue.config().max_in_flight());
    }
}
