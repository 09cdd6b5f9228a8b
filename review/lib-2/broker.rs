//! Stand-in of a message broker: AMQP 0-9-1 as far as a consumer with confirmed replies needs it, with a ledger.

use crate::harness::{Record, Step};
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const QUEUE: &str = "stock";

/// A message of the queue, and what became of it.
#[derive(Clone, Default)]
pub struct Message {
    pub id: String,
    pub body: String,
    pub reply_to: Option<String>,
    pub deliveries: u64,
    pub acked: u64,
    pub rejected: u64,
    pub requeued: u64,
    /// Times at which a connection or channel ended with this message unsettled.
    pub taken_back: u64,
}

impl Message {
    pub fn is_settled(&self) -> bool {
        self.acked + self.rejected > 0
    }
}

/// A published reply: its correlation id, its type, and its body.
pub type Reply = (String, String, String);

#[derive(Default)]
struct State {
    messages: Vec<Message>,
    ready: VecDeque<usize>,
    replies: Vec<Reply>,
    consumers: Vec<Consumer>,
    next_connection: u64,
}

struct Consumer {
    connection: u64,
    channel: u16,
    tag: String,
    prefetch: usize,
    to: Arc<Mutex<TcpStream>>,
    next_delivery: u64,
    /// Unsettled deliveries, which outlive a cancel.
    unsettled: BTreeMap<u64, usize>,
    active: bool,
}

/// The broker. Clones share it.
#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
    /// Time until a published message is confirmed.
    confirm_after: Duration,
    quiet: bool,
}

fn short(text: &str) -> Vec<u8> {
    let mut bytes = vec![text.len() as u8];
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

fn frame(kind: u8, channel: u16, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&channel.to_be_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(206);
    bytes
}

fn method(channel: u16, class: u16, method: u16, arguments: &[u8]) -> Vec<u8> {
    let mut payload = class.to_be_bytes().to_vec();
    payload.extend_from_slice(&method.to_be_bytes());
    payload.extend_from_slice(arguments);
    frame(1, channel, &payload)
}

/// Reads the fields of a method in order.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (now, later) = self.0.split_at_checked(n)?;
        self.0 = later;
        Some(now)
    }
    fn number(&mut self, bytes: usize) -> Option<u64> {
        Some(self.take(bytes)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
    }
    fn short(&mut self) -> Option<String> {
        let n = self.number(1)? as usize;
        Some(String::from_utf8_lossy(self.take(n)?).into_owned())
    }
}

impl Broker {
    pub fn start(record: &Record, confirm_after: Duration, quiet: bool) -> Step<Broker> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let broker = Broker { address, state: Arc::default(), record: record.clone(), confirm_after, quiet };
        let acceptor = broker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let broker = acceptor.clone();
                std::thread::spawn(move || broker.serve(stream));
            }
        });
        Ok(broker)
    }

    /// Puts a message into the queue.
    pub fn publish(&self, id: &str, body: &str, reply_to: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        let message = Message {
            id: id.into(),
            body: body.into(),
            reply_to: reply_to.map(str::to_string),
            ..Message::default()
        };
        state.messages.push(message);
        let number = state.messages.len() - 1;
        state.ready.push_back(number);
        self.tell(format!("broker: message {id} published"));
        state.deliver(self);
    }

    pub fn messages(&self) -> Vec<Message> {
        self.state.lock().unwrap().messages.clone()
    }

    pub fn replies(&self) -> Vec<Reply> {
        self.state.lock().unwrap().replies.clone()
    }

    fn tell(&self, text: String) {
        if !self.quiet {
            self.record.add(text);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut header = [0; 8];
        stream.read_exact(&mut header).ok()?;
        if &header != b"AMQP\x00\x00\x09\x01" {
            return None;
        }
        let connection = {
            let mut state = self.state.lock().unwrap();
            state.next_connection += 1;
            state.next_connection
        };
        let to = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let mut start = vec![0, 9, 0, 0, 0, 0];
        for text in ["PLAIN", "en_US"] {
            start.extend_from_slice(&(text.len() as u32).to_be_bytes());
            start.extend_from_slice(text.as_bytes());
        }
        to.lock().unwrap().write_all(&method(0, 10, 10, &start)).ok()?;
        let beat = to.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_secs(1));
            if beat.lock().unwrap().write_all(&frame(8, 0, &[])).is_err() {
                return;
            }
        });
        let mut session = Session { broker: self, connection, to, confirms: BTreeMap::new(), content: BTreeMap::new() };
        let _ = session.run(&mut stream);
        let _ = stream.shutdown(std::net::Shutdown::Both);
        // What is unsettled is taken back, and delivered again, marked so.
        let mut state = self.state.lock().unwrap();
        self.tell("broker: a connection ended".into());
        state.take_back(connection, None, self);
        state.deliver(self);
        Some(())
    }
}

impl State {
    /// Takes back the unsettled deliveries of a connection, or of one of its channels.
    fn take_back(&mut self, connection: u64, channel: Option<u16>, broker: &Broker) {
        let mut back = Vec::new();
        self.consumers.retain(|consumer| {
            let ends = consumer.connection == connection && channel.is_none_or(|c| c == consumer.channel);
            if ends {
                back.extend(consumer.unsettled.values().copied());
            }
            !ends
        });
        back.sort_unstable();
        for number in back.into_iter().rev() {
            self.messages[number].taken_back += 1;
            broker.tell(format!("broker: message {} taken back, it was not settled", self.messages[number].id));
            self.ready.push_front(number);
        }
    }

    /// Delivers as many messages as the prefetch of the consumers allows.
    fn deliver(&mut self, broker: &Broker) {
        loop {
            let free = |c: &&mut Consumer| c.active && c.unsettled.len() < c.prefetch;
            let Some(consumer) = self.consumers.iter_mut().find(free) else { return };
            let Some(number) = self.ready.pop_front() else { return };
            let message = &mut self.messages[number];
            consumer.next_delivery += 1;
            let tag = consumer.next_delivery;
            consumer.unsettled.insert(tag, number);
            let redelivered = message.deliveries > 0;
            message.deliveries += 1;
            let mut deliver = short(&consumer.tag);
            deliver.extend_from_slice(&tag.to_be_bytes());
            deliver.push(u8::from(redelivered));
            deliver.extend(short(""));
            deliver.extend(short(QUEUE));
            let mut head = 60_u16.to_be_bytes().to_vec();
            head.extend_from_slice(&0_u16.to_be_bytes());
            head.extend_from_slice(&(message.body.len() as u64).to_be_bytes());
            let reply = message.reply_to.is_some();
            let flags: u16 = 1 << 7 | if reply { 1 << 10 | 1 << 9 } else { 0 };
            head.extend_from_slice(&flags.to_be_bytes());
            if let Some(reply_to) = &message.reply_to {
                head.extend(short(&message.id));
                head.extend(short(reply_to));
            }
            head.extend(short(&message.id));
            let mut bytes = method(consumer.channel, 60, 60, &deliver);
            bytes.extend(frame(2, consumer.channel, &head));
            if !message.body.is_empty() {
                bytes.extend(frame(3, consumer.channel, message.body.as_bytes()));
            }
            let again = if redelivered { ", redelivered" } else { "" };
            broker.tell(format!("broker: message {} delivered on connection {}{again}", message.id, consumer.connection));
            let _ = consumer.to.lock().unwrap().write_all(&bytes);
        }
    }
}

/// Content that a client publishes.
struct Content {
    correlation: String,
    kind: String,
    left: u64,
    body: Vec<u8>,
}

struct Session<'a> {
    broker: &'a Broker,
    connection: u64,
    to: Arc<Mutex<TcpStream>>,
    /// Number of messages published on each channel in confirm mode.
    confirms: BTreeMap<u16, u64>,
    content: BTreeMap<u16, Content>,
}

impl Session<'_> {
    fn send(&self, bytes: &[u8]) -> Option<()> {
        self.to.lock().unwrap().write_all(bytes).ok()
    }

    fn run(&mut self, from: &mut TcpStream) -> Option<()> {
        loop {
            let mut head = [0; 7];
            from.read_exact(&mut head).ok()?;
            let size = u32::from_be_bytes(head[3..7].try_into().ok()?) as usize;
            let mut payload = vec![0; size + 1];
            from.read_exact(&mut payload).ok()?;
            payload.pop();
            let channel = u16::from_be_bytes([head[1], head[2]]);
            match head[0] {
                1 => self.method(channel, &payload)?,
                2 => self.content_header(channel, &payload)?,
                3 => {
                    let content = self.content.get_mut(&channel)?;
                    content.left = content.left.checked_sub(payload.len() as u64)?;
                    content.body.extend_from_slice(&payload);
                    self.content_complete(channel)?;
                }
                8 => {}
                _ => return None,
            }
        }
    }

    fn method(&mut self, channel: u16, payload: &[u8]) -> Option<()> {
        let mut fields = Fields(payload);
        let (class, number) = (fields.number(2)?, fields.number(2)?);
        match (class, number) {
            // start-ok: tune with a frame size of 128 KiB and a heartbeat of 10 s.
            (10, 11) => self.send(&method(0, 10, 30, &[0, 100, 0, 2, 0, 0, 0, 10])),
            (10, 31) => Some(()),
            (10, 40) => self.send(&method(0, 10, 41, &[0])),
            (10, 50) => {
                self.send(&method(0, 10, 51, &[]))?;
                None
            }
            (10, 51) => None,
            (20, 10) => self.send(&method(channel, 20, 11, &[0, 0, 0, 0])),
            (20, 40) => {
                let mut state = self.broker.state.lock().unwrap();
                state.take_back(self.connection, Some(channel), self.broker);
                self.send(&method(channel, 20, 41, &[]))?;
                state.deliver(self.broker);
                Some(())
            }
            (20, 41) => Some(()),
            (85, 10) => {
                self.confirms.insert(channel, 0);
                self.send(&method(channel, 85, 11, &[]))
            }
            (60, 10) => {
                fields.number(4)?;
                let prefetch = fields.number(2)? as usize;
                let mut state = self.broker.state.lock().unwrap();
                let old = state.consumers.iter().position(|c| c.connection == self.connection && c.channel == channel);
                match old {
                    Some(old) => state.consumers[old].prefetch = prefetch,
                    None => state.consumers.push(Consumer {
                        connection: self.connection,
                        channel,
                        tag: String::new(),
                        prefetch,
                        to: self.to.clone(),
                        next_delivery: 0,
                        unsettled: BTreeMap::new(),
                        active: false,
                    }),
                }
                self.send(&method(channel, 60, 11, &[]))
            }
            (60, 20) => {
                fields.number(2)?;
                fields.short()?;
                let tag = fields.short()?;
                let mut state = self.broker.state.lock().unwrap();
                let consumer =
                    state.consumers.iter_mut().find(|c| c.connection == self.connection && c.channel == channel)?;
                consumer.tag = tag.clone();
                consumer.active = true;
                self.send(&method(channel, 60, 21, &short(&tag)))?;
                state.deliver(self.broker);
                Some(())
            }
            (60, 30) => {
                let tag = fields.short()?;
                let mut state = self.broker.state.lock().unwrap();
                let consumer =
                    state.consumers.iter_mut().find(|c| c.connection == self.connection && c.channel == channel)?;
                consumer.active = false;
                self.broker.tell("broker: the consumer is cancelled".into());
                self.send(&method(channel, 60, 31, &short(&tag)))
            }
            (60, 40) => {
                let content = Content { correlation: String::new(), kind: String::new(), left: 0, body: Vec::new() };
                self.content.insert(channel, content);
                Some(())
            }
            (60, 80) => {
                let tag = fields.number(8)?;
                self.settle(channel, tag, "acked")
            }
            (60, 90) => {
                let tag = fields.number(8)?;
                let requeue = fields.number(1)? & 1 == 1;
                self.settle(channel, tag, if requeue { "requeued" } else { "rejected" })
            }
            _ => None,
        }
    }

    fn settle(&mut self, channel: u16, tag: u64, how: &str) -> Option<()> {
        let mut state = self.broker.state.lock().unwrap();
        let state = &mut *state;
        let consumer =
            state.consumers.iter_mut().find(|c| c.connection == self.connection && c.channel == channel)?;
        let number = consumer.unsettled.remove(&tag)?;
        let message = &mut state.messages[number];
        match how {
            "acked" => message.acked += 1,
            "rejected" => message.rejected += 1,
            _ => {
                message.requeued += 1;
                state.ready.push_front(number);
            }
        }
        self.broker.tell(format!("broker: message {} {how}", message.id));
        state.deliver(self.broker);
        Some(())
    }

    fn content_header(&mut self, channel: u16, payload: &[u8]) -> Option<()> {
        let mut fields = Fields(payload);
        fields.number(4)?;
        let size = fields.number(8)?;
        let flags = fields.number(2)?;
        let content = self.content.get_mut(&channel)?;
        content.left = size;
        for bit in (2..=15).rev().filter(|bit| flags & 1 << bit != 0) {
            match bit {
                13 => {
                    let n = fields.number(4)? as usize;
                    fields.take(n)?;
                }
                12 | 11 => drop(fields.number(1)?),
                6 => drop(fields.number(8)?),
                10 => content.correlation = fields.short()?,
                5 => content.kind = fields.short()?,
                _ => drop(fields.short()?),
            }
        }
        self.content_complete(channel)
    }

    fn content_complete(&mut self, channel: u16) -> Option<()> {
        if self.content.get(&channel)?.left > 0 {
            return Some(());
        }
        let content = self.content.remove(&channel)?;
        let body = String::from_utf8_lossy(&content.body).into_owned();
        self.broker.tell(format!("broker: reply to {} published: {} {body:?}", content.correlation, content.kind));
        self.broker.state.lock().unwrap().replies.push((content.correlation, content.kind, body));
        if let Some(published) = self.confirms.get_mut(&channel) {
            *published += 1;
            let mut arguments = published.to_be_bytes().to_vec();
            arguments.push(0);
            let (to, after, broker) = (self.to.clone(), self.broker.confirm_after, self.broker.clone());
            std::thread::spawn(move || {
                std::thread::sleep(after);
                broker.tell("broker: reply confirmed".into());
                let _ = to.lock().unwrap().write_all(&method(channel, 60, 80, &arguments));
            });
        }
        Some(())
    }
}
