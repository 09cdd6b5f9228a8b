//! A stand-in broker: the server's side of AMQP 0-9-1 as far as a consumer needs it, with faults by script and
//! its own ledger of every delivery.

use amq_protocol::frame::{AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::{self, AMQPMethod as B, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as C};
use amq_protocol::protocol::confirm::{self, AMQPMethod as F};
use amq_protocol::protocol::connection::{self, AMQPMethod as N};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{AMQPValue, FieldTable};
use asterrill_protocol::amqp::{write, write_content, Frames, Origin};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One message in the broker.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub number: u64,
    pub id: Option<String>,
    pub reply_to: Option<String>,
    pub expiration: Option<String>,
    pub body: Vec<u8>,
    pub delivered: u64,
}

/// What the broker does wrong, and when. Counted over all its connections.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// After so many deliveries the connection is cut; each is used once, in order.
    pub cuts: VecDeque<u64>,
    /// On a cut, what was settled on the connection counts as never read: all of it comes again.
    pub forgets: bool,
    /// Every so many-th redelivery is sent twice, with two tags.
    pub twice: u64,
    /// After so many deliveries: one of the odd things, once each.
    pub odd: VecDeque<(u64, Odd)>,
    /// The frame size and heartbeat that are offered.
    pub frame_max: Option<u32>,
    pub heartbeat: u16,
    /// Counts deliveries in `x-delivery-count`.
    pub counting: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Odd {
    CancelConsumer,
    /// Wants nothing published, for 300 ms.
    Block,
    /// Closes the channel with 406, as for a tag that it does not know.
    CloseChannel,
    CloseConnection,
    /// Says nothing more, and reads nothing.
    Silence,
    /// A body of 60 MB.
    Huge,
    UnknownMethod,
    Garbage,
    /// A frame's header and half of its content, then nothing for half a second.
    HalfContent,
}

/// How a delivery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Acked,
    Rejected,
    Requeued,
}

/// The broker's own account: of each delivery, by connection, channel and tag.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub deliveries: u64,
    pub redeliveries: u64,
    pub acked: u64,
    pub rejected: u64,
    pub requeued: u64,
    /// Settlements of a tag that had been settled, or was never given out on its channel.
    pub settled_twice: u64,
    pub unknown_tags: u64,
    /// Deliveries that were settled never, on channels that stood until the connection was closed well.
    pub unsettled: u64,
    /// Deliveries lost with their connection or channel: they come again.
    pub lost: u64,
    pub connections: u64,
    pub closed_well: u64,
    pub closed_at: Option<Instant>,
    pub replies: Vec<(String, Option<String>, Vec<u8>)>,
    pub returned: u64,
    pub cut: u64,
    pub odd: u64,
    /// Consumers that were cancelled by the client, and subscriptions.
    pub cancels: u64,
    pub subscriptions: u64,
    pub most_out: usize,
    /// The ends of messages, by number; a requeue is none.
    pub ends: BTreeMap<u64, Vec<End>>,
    pub logins: BTreeSet<String>,
}

/// Makes the message of a number.
pub type Make = fn(u64) -> Message;

pub struct State {
    pub queues: BTreeMap<String, VecDeque<Message>>,
    /// A queue that never empties: messages are made with these bodies, as wanted.
    pub endless: Option<(String, Make)>,
    pub reply_queues: BTreeSet<String>,
    pub script: Script,
    pub ledger: Ledger,
    pub password: String,
    next: u64,
}

#[derive(Clone)]
pub struct Broker {
    pub at: SocketAddr,
    pub state: Arc<Mutex<State>>,
}

impl Broker {
    /// Listens on a port that the system chooses.
    pub fn start(script: Script) -> std::io::Result<Broker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            queues: BTreeMap::new(),
            endless: None,
            reply_queues: BTreeSet::new(),
            script,
            ledger: Ledger::default(),
            password: "secret of the stand-in".into(),
            next: 0,
        }));
        let kept = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = kept.clone();
                std::thread::spawn(move || Link::serve(stream, state));
            }
        });
        Ok(Broker { at, state })
    }
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
    pub fn ledger(&self) -> Ledger {
        self.state().ledger.clone()
    }
    /// Puts a message into a queue; hands back its number.
    pub fn publish(&self, queue: &str, mut message: Message) -> u64 {
        let mut state = self.state();
        state.next += 1;
        message.number = state.next;
        let number = message.number;
        state.queues.entry(queue.into()).or_default().push_back(message);
        number
    }
    /// Messages that are ready in a queue.
    pub fn ready(&self, queue: &str) -> usize {
        self.state().queues.get(queue).map_or(0, VecDeque::len)
    }
}

struct Consumer {
    queue: String,
    tag: String,
    prefetch: usize,
}

#[derive(Default)]
struct Chan {
    prefetch: usize,
    consumer: Option<Consumer>,
    next_tag: u64,
    out: BTreeMap<u64, (String, Message)>,
    settled: BTreeSet<u64>,
    done: Vec<(String, Message)>,
    confirms: Option<u64>,
    publishing: Option<(basic::Publish, Option<AMQPProperties>, Vec<u8>, u64)>,
}

/// One connection.
struct Link {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    chans: BTreeMap<u16, Chan>,
    out: Vec<u8>,
    open: bool,
    silent: bool,
    well: bool,
    heartbeat: u16,
    said: Instant,
    unblock: Option<Instant>,
}

impl Link {
    fn serve(stream: TcpStream, state: Arc<Mutex<State>>) {
        stream.set_nodelay(true).unwrap_or_default();
        stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap_or_default();
        let mut link = Link {
            stream,
            state,
            chans: BTreeMap::new(),
            out: Vec::new(),
            open: false,
            silent: false,
            well: false,
            heartbeat: 0,
            said: Instant::now(),
            unblock: None,
        };
        link.lock().ledger.connections += 1;
        let ended = link.run();
        link.over(ended.is_none());
    }
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Until the end of the connection; none if it was cut.
    fn run(&mut self) -> Option<()> {
        let mut head = [0; 8];
        let until = Instant::now() + Duration::from_secs(5);
        let mut got = 0;
        while got < 8 && Instant::now() < until {
            match self.stream.read(&mut head[got..]) {
                Ok(0) => return Some(()),
                Ok(n) => got += n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return Some(()),
            }
        }
        if &head != b"AMQP\x00\x00\x09\x01" {
            write(&mut self.out, &AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
            self.flush()?;
            return Some(());
        }
        let start = connection::Start {
            version_major: 0,
            version_minor: 9,
            server_properties: FieldTable::default(),
            mechanisms: "AMQPLAIN PLAIN".into(),
            locales: "en_US".into(),
        };
        self.tell(0, AMQPClass::Connection(N::Start(start)));
        self.flush()?;
        let mut frames = Frames::new(Origin::Client, 1 << 17);
        let mut bytes = [0; 16 * 1024];
        loop {
            if !self.silent {
                match self.stream.read(&mut bytes) {
                    Ok(0) => return Some(()),
                    Ok(n) => {
                        let mut input = &bytes[..n];
                        while let Some(frame) = frames.next(&mut input).ok()? {
                            if !self.take(frame)? {
                                self.flush()?;
                                return Some(());
                            }
                        }
                    }
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(_) => return Some(()),
                }
                self.deliver()?;
                if self.unblock.take_if(|at| *at <= Instant::now()).is_some() {
                    self.tell(0, AMQPClass::Connection(N::Unblocked(connection::Unblocked {})));
                }
                let beat = Duration::from_secs(u64::from(self.heartbeat)) / 2;
                if self.heartbeat > 0 && self.said.elapsed() > beat {
                    write(&mut self.out, &AMQPFrame::Heartbeat(0));
                }
                self.flush()?;
            } else {
                std::thread::sleep(Duration::from_millis(20));
                match self.stream.peek(&mut [0]) {
                    // The end may lie behind what is not read.
                    Ok(n) if n > 0 && self.said.elapsed() < Duration::from_secs(4) => {}
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    _ => return Some(()),
                }
            }
        }
    }

    fn tell(&mut self, channel: u16, method: AMQPClass) {
        write(&mut self.out, &AMQPFrame::Method(channel, method));
    }
    fn flush(&mut self) -> Option<()> {
        if !self.out.is_empty() {
            self.said = Instant::now();
            let out = std::mem::take(&mut self.out);
            self.stream.set_write_timeout(Some(Duration::from_secs(5))).ok()?;
            self.stream.write_all(&out).ok()?;
        }
        Some(())
    }

    /// False once the connection is closed well; none if it breaks.
    fn take(&mut self, frame: AMQPFrame) -> Option<bool> {
        match frame {
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => return self.connection(method),
            AMQPFrame::Method(at, AMQPClass::Channel(C::Open(_))) => {
                self.chans.insert(at, Chan::default());
                self.tell(at, AMQPClass::Channel(C::OpenOk(channel::OpenOk {})));
            }
            AMQPFrame::Method(at, AMQPClass::Channel(C::Close(_))) => {
                self.close_chan(at);
                self.tell(at, AMQPClass::Channel(C::CloseOk(channel::CloseOk {})));
            }
            AMQPFrame::Method(at, AMQPClass::Confirm(F::Select(_))) => {
                self.chans.get_mut(&at)?.confirms = Some(0);
                self.tell(at, AMQPClass::Confirm(F::SelectOk(confirm::SelectOk {})));
            }
            AMQPFrame::Method(at, AMQPClass::Basic(method)) => self.basic(at, method)?,
            AMQPFrame::Header(at, _, header) => {
                let publishing = self.chans.get_mut(&at)?.publishing.as_mut()?;
                (publishing.1, publishing.3) = (Some(header.properties), header.body_size);
                self.published(at)?;
            }
            AMQPFrame::Body(at, bytes) => {
                self.chans.get_mut(&at)?.publishing.as_mut()?.2.extend_from_slice(&bytes);
                self.published(at)?;
            }
            _ => {}
        }
        Some(true)
    }

    fn connection(&mut self, method: N) -> Option<bool> {
        match method {
            N::StartOk(ok) => {
                let response = String::from_utf8_lossy(ok.response.as_bytes()).into_owned();
                let mut state = self.lock();
                let (user, password) = response.strip_prefix('\0')?.split_once('\0')?;
                state.ledger.logins.insert(user.to_string());
                if password != state.password {
                    drop(state);
                    let (reply_code, reply_text) = (403, "ACCESS_REFUSED".into());
                    let close = connection::Close { reply_code, reply_text, class_id: 10, method_id: 11 };
                    self.tell(0, AMQPClass::Connection(N::Close(close)));
                    return Some(true);
                }
                let (frame_max, heartbeat) = (state.script.frame_max, state.script.heartbeat);
                drop(state);
                let frame_max = frame_max.unwrap_or(131_072);
                let tune = connection::Tune { channel_max: 2047, frame_max, heartbeat };
                self.tell(0, AMQPClass::Connection(N::Tune(tune)));
            }
            N::TuneOk(ok) => self.heartbeat = ok.heartbeat,
            N::Open(_) => {
                self.open = true;
                self.tell(0, AMQPClass::Connection(N::OpenOk(connection::OpenOk {})));
            }
            N::Close(close) => {
                self.tell(0, AMQPClass::Connection(N::CloseOk(connection::CloseOk {})));
                self.well = close.reply_code == 200;
                let well = self.well;
                let mut state = self.lock();
                state.ledger.closed_well += u64::from(well);
                state.ledger.closed_at = Some(Instant::now());
                return Some(false);
            }
            N::CloseOk(_) => return Some(false),
            _ => {}
        }
        Some(true)
    }

    fn basic(&mut self, at: u16, method: B) -> Option<()> {
        let Some(chan) = self.chans.get_mut(&at) else { return Some(()) };
        match method {
            B::Qos(qos) => {
                chan.prefetch = qos.prefetch_count.into();
                self.tell(at, AMQPClass::Basic(B::QosOk(basic::QosOk {})));
            }
            B::Consume(consume) => {
                let (queue, tag) = (consume.queue.to_string(), consume.consumer_tag.to_string());
                let prefetch = chan.prefetch;
                let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
                let endless = state.endless.as_ref().is_some_and(|(name, _)| *name == queue);
                if !state.queues.contains_key(&queue) && !endless {
                    drop(state);
                    return self.close_with(at, 404, "NOT_FOUND - no queue");
                }
                state.ledger.subscriptions += 1;
                drop(state);
                chan.consumer = Some(Consumer { queue, tag, prefetch });
                let consumer_tag = consume.consumer_tag;
                self.tell(at, AMQPClass::Basic(B::ConsumeOk(basic::ConsumeOk { consumer_tag })));
            }
            B::Cancel(cancel) => {
                chan.consumer = None;
                self.lock().ledger.cancels += 1;
                let consumer_tag = cancel.consumer_tag;
                self.tell(at, AMQPClass::Basic(B::CancelOk(basic::CancelOk { consumer_tag })));
            }
            B::Ack(ack) => self.settle(at, ack.delivery_tag, End::Acked),
            B::Reject(reject) => {
                let end = if reject.requeue { End::Requeued } else { End::Rejected };
                self.settle(at, reject.delivery_tag, end);
            }
            B::Publish(publish) => chan.publishing = Some((publish, None, Vec::new(), u64::MAX)),
            _ => {}
        }
        Some(())
    }

    fn settle(&mut self, at: u16, tag: u64, end: End) {
        let Some(chan) = self.chans.get_mut(&at) else { return };
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let Some((queue, mut message)) = chan.out.remove(&tag) else {
            if chan.settled.contains(&tag) {
                state.ledger.settled_twice += 1;
            } else {
                state.ledger.unknown_tags += 1;
            }
            return;
        };
        chan.settled.insert(tag);
        match end {
            End::Acked => state.ledger.acked += 1,
            End::Rejected => state.ledger.rejected += 1,
            End::Requeued => state.ledger.requeued += 1,
        }
        if end == End::Requeued {
            message.delivered += 1;
            state.queues.entry(queue).or_default().push_front(message);
        } else {
            state.ledger.ends.entry(message.number).or_default().push(end);
            if state.script.forgets {
                chan.done.push((queue, message));
            }
        }
    }

    /// A message was published by the client: an answer.
    fn published(&mut self, at: u16) -> Option<()> {
        let chan = self.chans.get_mut(&at)?;
        let whole = chan.publishing.as_ref().is_some_and(|p| p.1.is_some() && p.2.len() as u64 >= p.3);
        let Some((publish, properties, body, _)) = chan.publishing.take_if(|_| whole) else {
            return Some(());
        };
        let number = chan.confirms.as_mut().map(|n| {
            *n += 1;
            *n
        });
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let to = publish.routing_key.to_string();
        let routed = state.reply_queues.contains(&to);
        let properties = properties.unwrap_or_default();
        if routed {
            let correlation = properties.correlation_id().as_ref().map(ToString::to_string);
            state.ledger.replies.push((to, correlation, body));
            drop(state);
        } else {
            state.ledger.returned += 1;
            drop(state);
            let (exchange, routing_key) = (publish.exchange, publish.routing_key);
            let (reply_code, reply_text) = (312, "NO_ROUTE".into());
            let back = basic::Return { reply_code, reply_text, exchange, routing_key };
            write_content(&mut self.out, at, AMQPClass::Basic(B::Return(back)), properties, &body, 4096);
        }
        if let Some(delivery_tag) = number {
            self.tell(at, AMQPClass::Basic(B::Ack(basic::Ack { delivery_tag, multiple: false })));
        }
        Some(())
    }

    fn close_with(&mut self, at: u16, reply_code: u16, why: &str) -> Option<()> {
        self.close_chan(at);
        let close = channel::Close { reply_code, reply_text: why.into(), class_id: 60, method_id: 80 };
        self.tell(at, AMQPClass::Channel(C::Close(close)));
        Some(())
    }

    /// A channel is over: what was not settled comes again.
    fn close_chan(&mut self, at: u16) {
        if let Some(chan) = self.chans.remove(&at) {
            let mut state = self.lock();
            give_back(&mut state, chan, false);
        }
    }

    /// Sends what the consumers have room for, and does what the script wants.
    fn deliver(&mut self) -> Option<()> {
        if !self.open {
            return Some(());
        }
        let state = self.state.clone();
        let mut state = state.lock().unwrap_or_else(|e| e.into_inner());
        for (at, chan) in &mut self.chans {
            let Some(consumer) = &chan.consumer else { continue };
            let mut twice = None;
            while chan.out.len() < consumer.prefetch.max(1) || twice.is_some() {
                let message = match twice.take() {
                    Some(message) => message,
                    None => {
                        let ready = state.queues.get_mut(&consumer.queue).and_then(VecDeque::pop_front);
                        let made = state.endless.as_ref().filter(|(name, _)| *name == consumer.queue);
                        let made = made.map(|(_, make)| *make);
                        match (ready, made) {
                            (Some(message), _) => message,
                            (None, Some(make)) => {
                                state.next += 1;
                                Message { number: state.next, ..make(state.next) }
                            }
                            _ => break,
                        }
                    }
                };
                state.ledger.deliveries += 1;
                let again = message.delivered > 0;
                state.ledger.redeliveries += u64::from(again);
                let every = state.script.twice;
                if again && every > 0 && state.ledger.redeliveries.is_multiple_of(every) {
                    twice = Some(message.clone());
                }
                chan.next_tag += 1;
                let deliver = basic::Deliver {
                    consumer_tag: consumer.tag.as_str().into(),
                    delivery_tag: chan.next_tag,
                    redelivered: again,
                    exchange: "".into(),
                    routing_key: consumer.queue.as_str().into(),
                };
                let mut with = AMQPProperties::default();
                if let Some(id) = &message.id {
                    with = with.with_message_id(id.as_str().into());
                }
                if let Some(to) = &message.reply_to {
                    with = with.with_reply_to(to.as_str().into());
                    with = with.with_correlation_id(format!("c{}", message.number).into());
                }
                if let Some(expiration) = &message.expiration {
                    with = with.with_expiration(expiration.as_str().into());
                }
                if state.script.counting {
                    let mut headers = FieldTable::default();
                    let count = AMQPValue::LongLongInt(message.delivered as i64);
                    headers.insert("x-delivery-count".into(), count);
                    with = with.with_headers(headers);
                }
                let method = AMQPClass::Basic(B::Deliver(deliver));
                write_content(&mut self.out, *at, method, with, &message.body, 4096);
                chan.out.insert(chan.next_tag, (consumer.queue.clone(), message));
                state.ledger.most_out = state.ledger.most_out.max(chan.out.len());
                let due = |after: &u64| state.ledger.deliveries >= *after;
                if state.script.cuts.front().is_some_and(due) {
                    state.script.cuts.pop_front();
                    state.ledger.cut += 1;
                    drop(state);
                    self.flush()?;
                    // What is written to us now is never read.
                    std::thread::sleep(Duration::from_millis(20));
                    return None;
                }
                if state.script.odd.front().is_some_and(|(after, _)| due(after)) {
                    let odd = state.script.odd.pop_front()?.1;
                    state.ledger.odd += 1;
                    drop(state);
                    return self.odd(odd);
                }
                if self.out.len() > 1 << 18 {
                    return Some(());
                }
            }
        }
        Some(())
    }

    fn odd(&mut self, odd: Odd) -> Option<()> {
        let at = self.chans.iter().find(|(_, chan)| chan.consumer.is_some()).map(|(at, _)| *at)?;
        match odd {
            Odd::CancelConsumer => {
                let consumer = self.chans.get_mut(&at)?.consumer.take()?;
                let cancel = basic::Cancel { consumer_tag: consumer.tag.as_str().into(), nowait: true };
                self.tell(at, AMQPClass::Basic(B::Cancel(cancel)));
            }
            Odd::Block => {
                let blocked = connection::Blocked { reason: "low on memory".into() };
                self.tell(0, AMQPClass::Connection(N::Blocked(blocked)));
                self.unblock = Some(Instant::now() + Duration::from_millis(300));
            }
            Odd::CloseChannel => self.close_with(at, 406, "PRECONDITION_FAILED - unknown delivery tag")?,
            Odd::CloseConnection => {
                let (reply_code, reply_text) = (320, "CONNECTION_FORCED - shutdown".into());
                let close = connection::Close { reply_code, reply_text, class_id: 0, method_id: 0 };
                self.tell(0, AMQPClass::Connection(N::Close(close)));
            }
            Odd::Silence => {
                self.flush()?;
                self.silent = true;
            }
            Odd::Huge => {
                let chan = self.chans.get_mut(&at)?;
                chan.next_tag += 1;
                let (delivery_tag, queue) = (chan.next_tag, chan.consumer.as_ref()?.queue.clone());
                let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
                state.next += 1;
                state.ledger.deliveries += 1;
                let number = state.next;
                drop(state);
                chan.out.insert(delivery_tag, (queue, Message { number, ..Message::default() }));
                let deliver = basic::Deliver {
                    consumer_tag: "asterrill".into(),
                    delivery_tag,
                    redelivered: false,
                    exchange: "".into(),
                    routing_key: "".into(),
                };
                let body = vec![b'x'; 60_000_000];
                let method = AMQPClass::Basic(B::Deliver(deliver));
                write_content(&mut self.out, at, method, AMQPProperties::default(), &body, 4096);
            }
            Odd::UnknownMethod => {
                self.out.extend_from_slice(&[1, 0, 0, 0, 0, 0, 4, 0, 10, 0, 99, 206]);
            }
            Odd::Garbage => {
                self.out.extend((0..999_u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8))
            }
            Odd::HalfContent => {
                self.flush()?;
                self.half(at)?;
            }
        }
        Some(())
    }

    /// A delivery whose body comes in two halves, half a second apart.
    fn half(&mut self, at: u16) -> Option<()> {
        let chan = self.chans.get_mut(&at)?;
        chan.next_tag += 1;
        let (delivery_tag, queue) = (chan.next_tag, chan.consumer.as_ref()?.queue.clone());
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        state.next += 1;
        state.ledger.deliveries += 1;
        let number = state.next;
        drop(state);
        let body = b"half and half".to_vec();
        chan.out.insert(delivery_tag, (queue, Message { number, body: body.clone(), ..Message::default() }));
        let deliver = basic::Deliver {
            consumer_tag: "asterrill".into(),
            delivery_tag,
            redelivered: false,
            exchange: "".into(),
            routing_key: "".into(),
        };
        let mut bytes = Vec::new();
        let method = AMQPClass::Basic(B::Deliver(deliver));
        write_content(&mut bytes, at, method, AMQPProperties::default(), &body, 4096);
        // All but the body's frame first.
        let (first, rest) = bytes.split_at(bytes.len() - body.len() - 8);
        self.out = first.to_vec();
        self.flush()?;
        std::thread::sleep(Duration::from_millis(500));
        self.out = rest.to_vec();
        self.flush()
    }

    /// The connection is over.
    fn over(&mut self, cut: bool) {
        let chans = std::mem::take(&mut self.chans);
        let well = self.well;
        let mut state = self.lock();
        for chan in chans.into_values() {
            let out = if well { chan.out.len() as u64 } else { 0 };
            give_back(&mut state, chan, cut);
            state.ledger.lost -= out;
            state.ledger.unsettled += out;
        }
    }
}

/// What was not settled goes back to the front of its queue, in its order; after a cut by a broker that forgets,
/// what was settled as well.
fn give_back(state: &mut State, chan: Chan, cut: bool) {
    state.ledger.lost += chan.out.len() as u64;
    let done = chan.done.into_iter().filter(|_| cut);
    let all: Vec<(String, Message)> = done.chain(chan.out.into_values()).collect();
    for (queue, mut message) in all.into_iter().rev() {
        message.delivered += 1;
        state.queues.entry(queue).or_default().push_front(message);
    }
}
