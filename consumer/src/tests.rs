//! A queue against a broker and an engine played by the test, with a ledger of every tag and every run.

use crate::dedup::{Ended, Identity};
use crate::prefetch::{Signs, Window};
use crate::{Do, Known, Queue, Select, Terms, WorkId};
use asterrill::{Effect, Final, MethodId, Us};
use asterrill_protocol::amqp::{Channel, Delivery, DeliveryTag, Headers, Settle};
use quickcheck::Gen;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Us = 1_000;
const S: Us = 1_000_000;

fn terms(method: &str) -> Terms {
    Terms {
        queue: "q".into(),
        method: Select { header: Some("kind".into()), otherwise: Some(method.into()), ..Select::default() },
        tenant: Select::default(),
        caller: Select::default(),
        prefetch: 64,
        bound: 10 * S,
        attempts: 3,
        pause: (100 * MS, 2 * S),
        size_kb: 4.0,
        remember: 600 * S,
        remembered: 10_000,
        trusting: false,
    }
}

/// Three methods; tenants are not told apart.
struct Three;

impl Known for Three {
    fn method(&self, name: &str) -> Option<(MethodId, Effect)> {
        let all = [("read", Effect::Idempotent), ("keyed", Effect::Tokened), ("pay", Effect::NonIdempotent)];
        let place = all.iter().position(|(known, _)| *known == name)?;
        Some((MethodId(place), all[place].1))
    }
    fn tenant(&self, _: &str) -> Option<usize> {
        None
    }
    fn tells_tenants(&self) -> bool {
        false
    }
}

/// A message in the broker.
#[derive(Clone, Debug)]
struct Message {
    name: u64,
    named: bool,
    times: u64,
    reply: bool,
}

/// The broker, the engine and their ledgers.
struct World {
    queue: Queue,
    now: Us,
    ready: VecDeque<Message>,
    /// Out on the channel that stands, by tag.
    out: BTreeMap<DeliveryTag, Message>,
    settled: BTreeSet<DeliveryTag>,
    ends: BTreeMap<u64, Vec<Settle>>,
    tags: u64,
    offered: BTreeMap<WorkId, u64>,
    running: BTreeMap<WorkId, u64>,
    runs: BTreeMap<u64, u64>,
    replies: Vec<WorkId>,
    next_reply: u64,
    consuming: Option<u16>,
    asked: Vec<Do>,
    faults: Vec<String>,
    session: Tags,
}

/// Tags come from a session only, so that nobody else can make one: here one is played for each.
struct Tags(asterrill_protocol::amqp::Session);

impl Tags {
    fn new() -> Tags {
        use asterrill_protocol::amqp::{Credentials, Login, Session};
        let credentials = Credentials { user: "u".into(), password: "p".into() };
        let login = Login { credentials, virtual_host: "/".into(), heartbeat: 0, max_body_bytes: 64 };
        Tags(Session::new(login))
    }
    /// The tag of a delivery with this number on the channel as it stands now.
    fn tag(&mut self, number: u64) -> DeliveryTag {
        let name = [1, b'c'];
        let mut payload = vec![0, 60, 0, 60];
        payload.extend_from_slice(&name);
        payload.extend_from_slice(&number.to_be_bytes());
        payload.extend_from_slice(&[0, 0, 0]); // not redelivered, no exchange, no routing key
        let header = [0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
        let bytes = [frame(1, 2, &payload), frame(2, 2, &header)].concat();
        match self.0.read(1, &mut &bytes[..]) {
            Ok(Some(asterrill_protocol::amqp::Event::Delivered(delivery))) => delivery.tag,
            other => panic!("{other:?}"),
        }
    }
    /// A new connection with a new channel.
    fn renew(&mut self) {
        self.0.connected(1);
        let start = [&[0, 10, 0, 10, 0, 9, 0, 0, 0, 0, 0, 0, 0, 5][..], b"PLAIN", &[0, 0, 0, 0]].concat();
        let tune = [0, 10, 0, 30, 0, 0, 0, 0, 0, 0, 0, 0];
        let bytes = [frame(1, 0, &start), frame(1, 0, &tune), frame(1, 0, &[0, 10, 0, 41, 0])].concat();
        let mut input = &bytes[..];
        while self.0.read(1, &mut input).unwrap().is_some() {}
        assert!(self.0.open(Channel(2)));
        let ok = frame(1, 2, &[0, 20, 0, 11, 0, 0, 0, 0]);
        assert!(self.0.read(1, &mut &ok[..]).unwrap().is_some());
        self.0.out.clear();
    }
}

fn frame(kind: u8, channel: u16, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&channel.to_be_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(206);
    bytes
}

impl World {
    fn new(terms: Terms) -> World {
        let queue = Queue::new(S, 1, 5, terms);
        let mut world = World {
            queue,
            now: S,
            ready: VecDeque::new(),
            out: BTreeMap::new(),
            settled: BTreeSet::new(),
            ends: BTreeMap::new(),
            tags: 0,
            offered: BTreeMap::new(),
            running: BTreeMap::new(),
            runs: BTreeMap::new(),
            replies: Vec::new(),
            next_reply: 0,
            consuming: None,
            asked: Vec::new(),
            faults: Vec::new(),
            session: Tags::new(),
        };
        world.connect();
        world
    }
    fn connect(&mut self) {
        self.session.renew();
        self.queue.up(self.now);
        self.todo();
        self.look(8.0);
    }
    fn look(&mut self, credit: f64) {
        self.queue.look(self.now, Some(credit), 2.0, 100.0);
        self.todo();
    }
    fn publish(&mut self, name: u64, named: bool, reply: bool) {
        self.ready.push_back(Message { name, named, times: 0, reply });
    }

    fn todo(&mut self) {
        while let Some(todo) = self.queue.todo() {
            self.asked.push(todo.clone());
            match todo {
                Do::OpenChannel => self.queue.channel_open(self.now),
                Do::Consume(window) => {
                    self.consuming = Some(window);
                    self.queue.consuming(self.now);
                }
                Do::Cancel => {
                    self.consuming = None;
                    self.queue.cancelled(self.now, false);
                }
                Do::Offer(offer) => {
                    let name =
                        self.queue.body(offer.work).map(|body| std::str::from_utf8(body).unwrap().parse());
                    let name: u64 = name.unwrap().unwrap();
                    if self.offered.insert(offer.work, name).is_some()
                        || self.running.contains_key(&offer.work)
                    {
                        self.faults.push(format!("{name} was offered while it was offered"));
                    }
                }
                Do::Withdraw(work) => {
                    if self.offered.remove(&work).is_some() {
                        self.queue.withdrawn(self.now, work);
                    }
                }
                Do::Settle(tag, how) => self.settle(tag, how),
                Do::Publish(work) => self.replies.push(work),
                Do::CloseChannel(..) => self.lose(),
                Do::Log(_) => {}
            }
        }
    }
    fn settle(&mut self, tag: DeliveryTag, how: Settle) {
        if !self.settled.insert(tag) {
            self.faults.push(format!("{tag:?} was settled twice"));
        }
        // One whose channel is over is not written by the session.
        let Some(mut message) = self.out.remove(&tag) else {
            if self.session.0.is_current(tag) {
                self.faults.push(format!("{tag:?} was never delivered"));
            }
            return;
        };
        if how == Settle::Requeue {
            message.times += 1;
            self.ready.push_back(message);
        } else {
            self.ends.entry(message.name).or_default().push(how);
        }
    }
    /// What is out goes back, to be delivered again.
    fn lose(&mut self) {
        self.consuming = None;
        for (_, mut message) in std::mem::take(&mut self.out) {
            message.times += 1;
            self.ready.push_front(message);
        }
    }
    fn cut(&mut self) {
        self.session.0.disconnected();
        self.queue.down();
        self.lose();
        self.todo();
    }
    /// Sends what there is room for; `twice` sends the first of it under a second tag as well.
    fn deliver(&mut self, most: usize, twice: bool) {
        for n in 0..most {
            let room = self.consuming.is_some_and(|window| self.out.len() < usize::from(window));
            if !room {
                return;
            }
            let Some(message) = self.ready.pop_front() else { return };
            for _ in 0..if twice && n == 0 && message.times > 0 { 2 } else { 1 } {
                self.tags += 1;
                let tag = self.session.tag(self.tags);
                let headers = Headers {
                    message_id: message.named.then(|| format!("m{}", message.name)),
                    reply_to: message.reply.then(|| "r".to_string()),
                    ..Headers::default()
                };
                self.out.insert(tag, message.clone());
                let delivery = Delivery {
                    tag,
                    redelivered: message.times > 0,
                    exchange: String::new(),
                    routing_key: "q".into(),
                    headers,
                    size: 1,
                    body: Some(message.name.to_string().into_bytes()),
                };
                self.queue.delivered(self.now, delivery, &Three);
                self.todo();
            }
        }
    }
    fn launch(&mut self) -> Option<u64> {
        let (work, name) = self.offered.pop_first()?;
        self.queue.launched(work);
        self.running.insert(work, name);
        *self.runs.entry(name).or_default() += 1;
        Some(name)
    }
    fn end(&mut self, ok: bool) {
        if let Some((work, _)) = self.running.pop_first() {
            let answer = if ok { Final::Ok(b"result") } else { Final::Aborted };
            self.queue.answered(self.now, work, answer);
            self.todo();
        }
    }
    fn push_back(&mut self, come_back: Us) {
        if let Some((work, _)) = self.offered.pop_first() {
            self.queue.answered(self.now, work, Final::PushedBack { terminal: false, come_back });
            self.todo();
        }
    }
    fn answers(&mut self, arrived: bool) {
        for work in std::mem::take(&mut self.replies) {
            if self.queue.reply(work).is_some() {
                self.next_reply += 1;
                self.queue.published(work, self.next_reply);
            }
        }
        self.queue.confirmed(self.now, self.next_reply, true, arrived);
        self.todo();
    }
    fn pass(&mut self, span: Us) {
        let until = self.now + span;
        while let Some(at) = self.queue.next().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.look(8.0);
        }
        self.now = until;
    }
    fn check(&self) {
        assert_eq!(self.faults, Vec::<String>::new());
        assert!(self.queue.open() <= self.queue.terms().table());
    }
}

/// Whatever happens in whatever order: each tag once, keyed messages run once, and all comes to an end.
fn any_order(method: &'static str) {
    let holds = move |steps: Vec<(u8, u16)>| {
        let mut w = World::new(Terms { trusting: true, ..terms(method) });
        let mut names = 0;
        for (what, n) in steps {
            match what % 12 {
                0 | 1 => {
                    names += 1;
                    w.publish(names, true, n % 3 == 0);
                }
                2 | 3 => w.deliver(1 + n as usize % 4, n % 5 == 0),
                4 | 5 => drop(w.launch()),
                6 => w.end(n % 4 != 0),
                7 => w.push_back(n as Us % 300 * MS),
                8 => w.answers(n % 4 != 0),
                9 if n % 4 == 0 => {
                    w.cut();
                    w.connect();
                }
                10 if n % 6 == 0 => {
                    w.queue.channel_closed(w.now, 406, "unknown tag");
                    w.session.renew();
                    w.lose();
                    w.todo();
                }
                11 if n % 6 == 0 => {
                    w.consuming = None;
                    w.queue.cancelled(w.now, true);
                    w.todo();
                }
                _ => w.pass(n as Us % 400 * MS),
            }
            w.check();
        }
        for _ in 0..3_000 {
            w.deliver(4, false);
            while w.launch().is_some() {}
            w.end(true);
            w.answers(true);
            w.pass(20 * MS);
        }
        w.check();
        assert!(w.ready.is_empty() && w.out.is_empty(), "{} {}", w.ready.len(), w.out.len());
        assert_eq!((w.queue.out(), w.queue.open()), (0, 0));
        if method != "read" {
            assert!(w.runs.values().all(|runs| *runs == 1), "{:?}", w.runs);
            // However often it came, it ended in one way.
            assert!(w.ends.values().all(|ends| ends.iter().all(|end| *end == ends[0])));
        }
        assert!(w.ends.len() as u64 == names, "a message never ended");
        true
    };
    // quickcheck takes plain functions only.
    let mut gen = Gen::from_size_and_seed(120, 17 + method.len() as u64);
    for _ in 0..60 {
        assert!(holds(quickcheck::Arbitrary::arbitrary(&mut gen)));
    }
}

#[test]
fn whatever_the_order_each_tag_is_settled_once_reads() {
    any_order("read");
}
#[test]
fn whatever_the_order_each_tag_is_settled_once_and_keyed_messages_run_once() {
    any_order("keyed");
}
#[test]
fn whatever_the_order_each_tag_is_settled_once_and_payments_run_once() {
    any_order("pay");
}

#[test]
fn five_thousand_come_again_some_twice_and_none_runs_again() {
    let mut w = World::new(Terms { prefetch: 8192, ..terms("keyed") });
    for name in 0..5_000 {
        w.publish(name, true, false);
    }
    // The window opens by doublings, a second each.
    for _ in 0..16 {
        w.now += S;
        w.queue.look(w.now, Some(1e9), 1e9, 1e9);
        w.todo();
    }
    w.deliver(5_000, false);
    assert_eq!(w.out.len(), 5_000);
    for n in 0..3_000 {
        w.launch();
        if n % 3 == 0 {
            w.end(n % 2 == 0); // ended here, and the settlement is never read
        }
    }
    let settled: Vec<(DeliveryTag, Settle)> = w
        .asked
        .iter()
        .filter_map(|d| if let Do::Settle(tag, how) = d { Some((*tag, *how)) } else { None })
        .collect();
    assert_eq!(settled.len(), 1_000);
    w.ends.clear();
    w.ready.clear();
    w.out.clear();
    w.cut();
    (0..5_000).for_each(|name| w.ready.push_back(Message { name, named: true, times: 1, reply: false }));
    w.connect();
    for _ in 0..16 {
        w.now += S / 100;
        w.queue.look(w.now, Some(1e9), 1e9, 1e9);
        w.todo();
    }
    while !w.ready.is_empty() {
        w.deliver(10, true);
        w.launch();
        w.end(true);
        w.now += MS;
        w.queue.look(w.now, Some(1e9), 1e9, 1e9);
        w.todo();
        w.check();
    }
    while w.launch().is_some() || !w.running.is_empty() {
        w.end(true);
    }
    w.check();
    assert!(w.runs.values().all(|runs| *runs == 1) && w.runs.len() == 5_000, "{}", w.runs.len());
    assert_eq!((w.out.len(), w.queue.out(), w.ends.len()), (0, 0, 5_000));
    assert!(w.queue.counts.known >= 1_000 && w.queue.counts.joined > 500, "{:?}", w.queue.counts);
}

#[test]
fn a_run_whose_channel_was_lost_is_settled_by_the_new_tag() {
    for ends_first in [false, true] {
        let mut w = World::new(terms("pay"));
        w.publish(1, true, false);
        w.deliver(1, false);
        w.launch();
        w.cut();
        if ends_first {
            w.end(true);
        }
        w.connect();
        w.deliver(1, false);
        if !ends_first {
            assert!(w.ends.is_empty());
            w.end(true);
        }
        w.check();
        assert_eq!((w.ends[&1].as_slice(), w.runs[&1]), (&[Settle::Ack][..], 1));
    }
}

#[test]
fn what_was_not_started_is_withdrawn_and_offered_at_once_when_it_comes_again() {
    let mut w = World::new(terms("read"));
    w.publish(1, true, false);
    w.deliver(1, false);
    w.cut();
    assert!(w.offered.is_empty());
    w.connect();
    w.deliver(1, false);
    assert_eq!(w.offered.len(), 1);
    w.launch();
    w.end(true);
    assert_eq!(w.ends[&1], [Settle::Ack]);
}

#[test]
fn one_that_is_redelivered_and_not_known_is_not_trusted_if_it_must_not_run_twice() {
    for (method, trusting, runs) in
        [("pay", false, 0), ("pay", true, 1), ("keyed", false, 1), ("read", false, 1)]
    {
        let mut w = World::new(Terms { trusting, ..terms(method) });
        w.ready.push_back(Message { name: 1, named: true, times: 1, reply: false });
        w.deliver(1, false);
        w.launch();
        w.end(true);
        assert_eq!(w.runs.len(), runs, "{method}");
        let how = if runs == 0 { Settle::Reject } else { Settle::Ack };
        assert_eq!((w.ends[&1].as_slice(), w.queue.counts.unknown), (&[how][..], 1 - runs as u64));
    }
}

#[test]
fn messages_alike_without_a_name_are_told_apart_by_their_number() {
    let mut w = World::new(terms("keyed"));
    w.publish(1, false, false);
    w.publish(1, false, false);
    w.look(8.0);
    w.now += 2 * S;
    w.look(8.0);
    w.deliver(2, false);
    assert_eq!(w.offered.len(), 2, "two that are alike are two");
    w.launch();
    w.cut();
    w.connect();
    w.now += 2 * S;
    w.look(8.0);
    w.deliver(2, false);
    assert_eq!((w.offered.len(), w.running.len()), (1, 1));
    while w.launch().is_some() {}
    w.end(true);
    w.end(true);
    assert_eq!((w.ends[&1].len(), w.runs[&1]), (2, 2));
    w.check();
}

#[test]
fn a_pushed_back_one_waits_its_time_and_is_not_sent_back() {
    let mut w = World::new(terms("read"));
    w.publish(1, true, false);
    w.deliver(1, false);
    w.push_back(700 * MS);
    w.pass(690 * MS);
    assert!(w.offered.is_empty() && w.out.len() == 1 && w.queue.out() == 1);
    w.pass(20 * MS);
    assert_eq!(w.offered.len(), 1);
    // Without a time to come back the pause doubles, and ends with what is due.
    let start = w.now;
    while w.ends.is_empty() {
        w.push_back(0);
        w.pass(10 * MS);
    }
    assert!((5 * S..11 * S).contains(&(w.now - start + S)), "{}", w.now - start);
    assert_eq!((w.ends[&1].as_slice(), w.queue.counts.expired), (&[Settle::Reject][..], 1));
    assert!(w.queue.counts.pushed_back < 12, "{}", w.queue.counts.pushed_back);
}

#[test]
fn a_poison_message_is_tried_so_often_with_pauses_and_then_rejected() {
    let mut w = World::new(terms("read"));
    w.publish(1, true, false);
    w.deliver(1, false);
    let start = w.now;
    while w.ends.is_empty() {
        w.launch();
        w.end(false);
        w.pass(10 * MS);
    }
    assert_eq!((w.runs[&1], w.queue.counts.poisoned), (3, 1));
    assert!(w.now - start >= 300 * MS, "pauses of 100 and 200 ms");
    for method in ["keyed", "pay"] {
        let mut w = World::new(terms(method));
        w.publish(1, true, false);
        w.deliver(1, false);
        w.launch();
        w.end(false);
        assert_eq!((w.ends[&1].as_slice(), w.queue.counts.failed), (&[Settle::Reject][..], 1));
    }
}

#[test]
fn leaving_sends_back_what_never_ran_and_settles_what_runs() {
    let mut w = World::new(terms("read"));
    w.now += 4 * S;
    for name in 0..5 {
        w.publish(name, true, name == 4);
        w.look(64.0);
        w.now += S + 1;
        w.look(64.0);
    }
    w.deliver(5, false);
    assert_eq!(w.offered.len(), 5);
    w.push_back(50 * MS); // the first waits
    w.launch();
    w.launch();
    w.queue.leave(w.now);
    w.todo();
    assert!(w.consuming.is_none() && !w.queue.left());
    // What crosses the cancel goes back at once.
    w.consuming = Some(9);
    w.publish(9, true, false);
    w.deliver(9, false);
    assert!(w.offered.len() == 2 && w.ready.iter().any(|m| m.name == 9));
    w.push_back(0);
    w.end(true);
    w.end(false); // it may run again, but not here
    w.launch();
    w.end(true); // asks for an answer that the broker does not take
    assert!(!w.queue.left());
    w.pass(600 * MS);
    w.check();
    assert!(w.queue.left(), "{} out", w.queue.out());
    assert_eq!((w.queue.counts.acked, w.queue.counts.replies_lost), (2, 1));
    assert_eq!(w.ready.iter().map(|m| m.name).collect::<BTreeSet<_>>(), [0, 2, 3, 9].into());
}

#[test]
fn other_terms_count_from_the_next_delivery_on_and_a_queue_that_was_left_may_come_back() {
    let mut w = World::new(terms("read"));
    w.publish(1, true, false);
    w.publish(2, true, false);
    w.deliver(1, false);
    w.launch();
    let mut other = terms("keyed");
    (other.attempts, other.prefetch, other.bound) = (1, 4, S);
    w.queue.change(other.clone());
    w.end(false); // read as one that may run again: it does, by the new number of attempts it may not
    assert_eq!((w.ends[&1].as_slice(), w.queue.counts.poisoned), (&[Settle::Reject][..], 1));
    w.deliver(1, false);
    assert!(w.offered.len() == 1 && w.queue.terms().bound == S);
    // Left, with one in hand that still ends, and taken up again on the channel that stands.
    w.queue.leave(w.now);
    w.todo();
    assert!(w.consuming.is_none() && !w.queue.left());
    w.launch();
    w.end(true);
    assert!(w.queue.left() && w.ends[&2] == [Settle::Ack]);
    w.queue.change(other);
    w.now += 2 * S;
    w.look(8.0);
    w.publish(3, true, false);
    w.deliver(1, false);
    w.launch();
    w.end(true);
    assert_eq!(w.ends[&3], [Settle::Ack]);
    w.check();
}

#[test]
fn an_answer_is_published_again_until_it_is_left_out_and_the_delivery_waits_for_it() {
    let mut w = World::new(terms("keyed"));
    w.publish(1, true, true);
    w.deliver(1, false);
    w.launch();
    w.end(true);
    assert!(w.ends.is_empty() && w.replies.len() == 1);
    w.answers(false);
    w.pass(200 * MS);
    // The connection is lost in between: the result is kept, and answered by the next.
    w.answers(false);
    w.cut();
    w.connect();
    w.deliver(1, false);
    w.pass(200 * MS);
    assert!(w.ends.is_empty());
    w.answers(true);
    w.check();
    assert_eq!((w.ends[&1].as_slice(), w.runs[&1], w.queue.counts.replies), (&[Settle::Ack][..], 1, 1));
}

#[test]
fn a_broker_that_sends_more_than_was_asked_for_loses_its_channel() {
    let mut w = World::new(Terms { prefetch: 1, ..terms("read") });
    w.consuming = Some(100);
    (0..40).for_each(|name| w.publish(name, true, false));
    w.deliver(40, false);
    assert_eq!(w.queue.counts.overrun, 1);
    assert!(w.queue.open() <= w.queue.terms().table());
    let asked = w.asked.iter().any(|todo| matches!(todo, Do::CloseChannel(406, _)));
    assert!(asked);
}

#[test]
fn what_can_not_be_routed_or_is_too_long_is_rejected_with_a_reason() {
    let mut w = World::new(terms("riddle"));
    w.publish(1, true, false);
    w.deliver(1, false);
    assert_eq!((w.ends[&1].as_slice(), w.queue.counts.unrouted), (&[Settle::Reject][..], 1));
    let said =
        w.asked.iter().any(|todo| matches!(todo, Do::Log(line) if line.contains("\"riddle\" is not known")));
    assert!(said);
    let tag = w.session.tag(77);
    let delivery = Delivery {
        tag,
        redelivered: false,
        exchange: String::new(),
        routing_key: String::new(),
        headers: Headers::default(),
        size: 60_000_000,
        body: None,
    };
    w.queue.delivered(w.now, delivery, &Three);
    assert_eq!((w.queue.todo(), w.queue.counts.too_long), (Some(Do::Settle(tag, Settle::Reject)), 1));
}

#[test]
fn due_is_the_earliest_of_all_bounds_and_clocks_that_differ_take_nothing() {
    use crate::deadline::due;
    let now = 1_000 * S;
    let with = |expiration: &str, timestamp| {
        let expiration = Some(expiration.to_string()).filter(|e| !e.is_empty());
        due(now, &Headers { expiration, timestamp, ..Headers::default() }, 30 * S)
    };
    assert_eq!(with("", None), Some(now + 30 * S));
    assert_eq!(with("5000", None), Some(now + 5 * S));
    assert_eq!(with("60000", None), Some(now + 30 * S));
    assert_eq!(with("5000", Some(998)), Some(now + 4 * S));
    assert_eq!(with("5000", Some(5_000)), Some(now + 6 * S)); // of a clock ahead
    assert_eq!(with("5000", Some(900)), None);
    assert_eq!(with("99999999999999999999", Some(900)), Some(now + 30 * S));
    assert_eq!(with("soon", None), Some(now + 30 * S));
    assert_eq!(with("0", None), None);
}

#[test]
fn the_window_moves_in_doublings_and_not_in_storms() {
    let signs = |credit: f64| Signs { credit: Some(credit), cores: 2.0, room: 1e3, out: 0, waiting: 0 };
    let mut window = Window::new(0, 64);
    let mut seen = Vec::new();
    for n in 0..100 {
        if window.decide(S + n * 100 * MS, signs(20.0)) {
            seen.push(window.get());
        }
    }
    assert_eq!(seen, [1, 2, 4, 8, 16, 32]);
    // A credit that goes up and down every beat: a few changes a second at most.
    let mut changes = 0;
    for n in 0..100 {
        changes += usize::from(window.decide(20 * S + n * 100 * MS, signs([0.0, 20.0][n as usize % 2])));
    }
    assert!(changes <= 20, "{changes}");
    let mut window = Window::new(0, 64);
    assert!(window.decide(S, signs(0.4)) && window.get() == 1, "a part of one lets one out");
    assert!(window.decide(S + 1, signs(0.0)) && window.get() == 0, "down to none at once");
    assert!(!window.decide(S + 500 * MS, signs(9.0)), "and back a second later");
    assert!(window.decide(2 * S + 1, signs(9.0)) && window.get() == 1);
    let mut window = Window::new(0, 64);
    for n in 1..8 {
        window.decide(n * S, signs(20.0));
    }
    let waits = Signs { out: 30, waiting: 20, ..signs(20.0) };
    assert!(window.decide(20 * S, waits) && window.get() == 16, "half while more than half wait");
    let scarce = Signs { room: 3.0, ..signs(20.0) };
    assert!(window.decide(30 * S, scarce) && window.get() == 2);
}

#[test]
fn what_is_remembered_is_bounded_in_number_and_time() {
    let mut ended = Ended::new(10 * S, 100);
    for n in 0..1_000_u128 {
        ended.keep(n as Us, Identity::Named(n), Settle::Ack);
    }
    assert_eq!(ended.len(), 100);
    assert_eq!(
        (ended.find(999, Identity::Named(0)), ended.find(999, Identity::Named(950))),
        (None, Some(Settle::Ack))
    );
    ended.keep(999, Identity::Named(950), Settle::Reject);
    assert_eq!(ended.find(999, Identity::Named(950)), Some(Settle::Ack), "the first end counts");
    assert_eq!((ended.find(11 * S, Identity::Named(999)), ended.len()), (None, 0));
    ended.keep(0, Identity::Alike(1), Settle::Ack);
    ended.keep(0, Identity::Alike(1), Settle::Reject);
    let all = [(); 3].map(|()| ended.find(1, Identity::Alike(1)));
    assert_eq!((all, ended.len()), ([Some(Settle::Ack), Some(Settle::Reject), None], 0));
}

#[test]
fn a_clock_set_back_changes_nothing() {
    let mut w = World::new(terms("read"));
    w.publish(1, true, false);
    w.deliver(1, false);
    w.push_back(100 * MS);
    w.now -= S; // the engine's time is never set back; a queue driven without one only waits longer
    w.look(8.0);
    assert!(w.offered.is_empty() && w.out.len() == 1);
    w.pass(2 * S);
    assert_eq!(w.offered.len(), 1);
    w.check();
}
