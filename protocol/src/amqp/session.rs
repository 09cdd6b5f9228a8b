//! One connection to a broker, from the protocol header to the close, with its channels. It decides nothing:
//! what is consumed, how much and how each delivery is settled is told by its owner. What is written gathers in
//! [`Session::out`].

use super::frames::{self, write_content, Frames, Origin, FRAME_LEAST, FRAME_MOST};
use crate::ProtocolError;
use amq_protocol::frame::{AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::protocol::{basic, channel, confirm, connection, AMQPClass};
use amq_protocol::types::{AMQPValue, FieldTable};
use asterrill::Us;
use std::collections::BTreeMap;
use std::fmt;

const HANDSHAKE: Us = 10_000_000; // from the connection until it may be used
const CLOSE: Us = 1_000_000; // until the answer to a close is not waited for any more
const CHANNELS: u16 = 256; // the most channels that are asked for

/// A channel's number on a connection, 1 or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Channel(pub u16);

/// A delivery's tag together with the opening of the channel it came by: a tag of an earlier opening, or of an
/// earlier connection, is never used (1.8.3.13).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryTag {
    pub channel: Channel,
    epoch: u64,
    number: u64,
}

/// Name and password; neither is ever shown.
#[derive(Clone)]
pub struct Credentials {
    pub user: String,
    pub password: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credentials(..)")
    }
}

/// What a connection is opened with.
#[derive(Clone, Debug)]
pub struct Login {
    pub credentials: Credentials,
    pub virtual_host: String,
    /// Asked for, in microseconds; the broker may want another. 0 for none.
    pub heartbeat: Us,
    /// Longest body that is kept, in bytes; of longer ones only the head is handed on.
    pub max_body_bytes: usize,
}

/// How a delivery is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settle {
    Ack,
    /// For the dead-letter side, where the queue has one.
    Reject,
    /// Back into the queue.
    Requeue,
}

/// What is read of a message's properties (1.8.1 and RabbitMQ's `x-delivery-count`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers {
    pub message_id: Option<String>,
    pub correlation_id: Option<String>,
    pub reply_to: Option<String>,
    /// Milliseconds, as a decimal text.
    pub expiration: Option<String>,
    /// Seconds since 1970.
    pub timestamp: Option<u64>,
    /// Times that it was delivered before, where the queue counts them.
    pub delivery_count: Option<u64>,
    /// The headers that are texts or whole numbers.
    pub fields: BTreeMap<String, String>,
}

/// A message as it was delivered.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    pub tag: DeliveryTag,
    pub redelivered: bool,
    pub exchange: String,
    pub routing_key: String,
    pub headers: Headers,
    /// Bytes in the body, and the body unless it was too long to be kept.
    pub size: u64,
    pub body: Option<Vec<u8>>,
}

/// An answer to a message that asked for one.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply<'a> {
    pub to: &'a str,
    pub correlation_id: Option<&'a str>,
    /// By which a return of it is known.
    pub message_id: &'a str,
    /// What became of the RPC: `ok` or `aborted`.
    pub kind: &'a str,
    pub body: &'a [u8],
}

/// What came of the bytes read.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The connection may be used.
    Up,
    ChannelOpen(Channel),
    /// From now on every message published on this channel is confirmed.
    Confirms(Channel),
    Consuming(Channel),
    /// No more deliveries: as was asked, or since the broker says so (`by_broker`).
    Cancelled {
        channel: Channel,
        by_broker: bool,
    },
    Delivered(Box<Delivery>),
    /// Published messages up to this one, or only this one, arrived or were refused.
    Confirmed {
        number: u64,
        multiple: bool,
        arrived: bool,
    },
    /// A message that was published could not be routed.
    Returned {
        message_id: Option<String>,
        code: u16,
    },
    Blocked {
        reason: String,
    },
    Unblocked,
    /// The broker closed a channel.
    ChannelClosed {
        channel: Channel,
        code: u16,
        text: String,
    },
    /// The broker closed the connection; that was confirmed.
    Closed {
        code: u16,
        text: String,
    },
    /// The broker has confirmed our close.
    Left,
}

/// Why a connection is of no more use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("{0}")]
    ProtocolError(&'static str),
    #[error("the broker does not take PLAIN, it offers {0:?}")]
    NoPlain(String),
    #[error("nothing came from the broker for {0} ms, twice the heartbeat that was agreed")]
    Silent(u64),
    #[error("the broker did not open the connection within 10 s")]
    SlowHandshake,
    #[error("the broker asks for frames of {0} bytes, less than the 4096 that both sides must take")]
    SmallFrames(u32),
    #[error("the close was not answered within 1 s")]
    SlowClose,
}

impl From<ProtocolError> for Fault {
    fn from(broken: ProtocolError) -> Fault {
        Fault::ProtocolError(broken.0)
    }
}

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Down,
    Greeting,
    Tuning,
    Opening,
    Up,
    Closing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Opening,
    Open,
    /// Closed here; what still comes on it is passed over until the broker knows.
    Closing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Consuming {
    No,
    Asked,
    Yes,
    Cancelling,
}

/// A message whose content has not come whole.
struct Content {
    what: What,
    header: Option<Box<(Headers, u64)>>,
    body: Vec<u8>,
    left: u64,
}

enum What {
    Deliver(basic::Deliver),
    Return(u16),
}

struct Line {
    stage: Stage,
    epoch: u64,
    consuming: Consuming,
    published: u64,
    content: Option<Content>,
}

/// See the module's page.
pub struct Session {
    login: Login,
    state: State,
    frames: Frames,
    lines: BTreeMap<Channel, Line>,
    epoch: u64,
    frame_most: usize,
    heartbeat: Us,
    since: Us,
    heard: Us,
    said: Us,
    blocked: bool,
    /// What is to be written, in order.
    pub out: Vec<u8>,
}

const UNEXPECTED: Fault = Fault::ProtocolError("an AMQP frame came where it does not belong");

impl Session {
    pub fn new(login: Login) -> Session {
        Session {
            login,
            state: State::Down,
            frames: Frames::new(Origin::Broker, FRAME_MOST),
            lines: BTreeMap::new(),
            epoch: 0,
            frame_most: FRAME_LEAST,
            heartbeat: 0,
            since: 0,
            heard: 0,
            said: 0,
            blocked: false,
            out: Vec::new(),
        }
    }

    pub fn state(&self) -> State {
        self.state
    }
    /// The broker wants nothing published (RabbitMQ's `connection.blocked`).
    pub fn blocked(&self) -> bool {
        self.blocked
    }
    /// Tags of this channel can still be used.
    pub fn stands(&self, tag: DeliveryTag) -> bool {
        self.is_open(tag.channel) && self.lines.get(&tag.channel).is_some_and(|line| line.epoch == tag.epoch)
    }

    /// A connection stands: the handshake begins (1.4.2). All channels and tags of the one before are over.
    pub fn connected(&mut self, now: Us) {
        self.ended();
        (self.state, self.since, self.heard, self.said) = (State::Greeting, now, now, now);
        self.frames = Frames::new(Origin::Broker, FRAME_MOST);
        self.put(&AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
    }

    /// The connection is gone.
    pub fn ended(&mut self) {
        self.state = State::Down;
        self.lines.clear();
        self.out.clear();
        (self.blocked, self.heartbeat, self.frame_most) = (false, 0, FRAME_LEAST);
    }

    /// Takes from `input` up to the end of the next frame that says something. Without one all of it was taken.
    pub fn read(&mut self, now: Us, input: &mut &[u8]) -> Result<Option<Event>, Fault> {
        if self.state == State::Down {
            *input = &[];
            return Ok(None);
        }
        if !input.is_empty() {
            self.heard = self.heard.max(now);
        }
        while let Some(frame) = self.frames.next(input)? {
            let event = match frame {
                AMQPFrame::Method(0, method) => self.connection(now, method)?,
                _ if matches!(self.state, State::Greeting | State::Tuning | State::Opening) => {
                    return Err(UNEXPECTED)
                }
                AMQPFrame::Heartbeat(_) => None,
                // After our close nothing counts but its answer (1.4.2.10).
                _ if self.state != State::Up => None,
                AMQPFrame::Method(n, method) => self.method(Channel(n), method)?,
                AMQPFrame::Header(n, class, header) => {
                    let (headers, size) = (headers(&header.properties), header.body_size);
                    self.header(Channel(n), class, headers, size)?
                }
                AMQPFrame::Body(n, bytes) => self.body(Channel(n), &bytes)?,
                AMQPFrame::ProtocolHeader(_) => return Err(UNEXPECTED),
            };
            if event.is_some() {
                return Ok(event);
            }
        }
        Ok(None)
    }

    fn connection(&mut self, now: Us, method: AMQPClass) -> Result<Option<Event>, Fault> {
        use connection::AMQPMethod as M;
        let AMQPClass::Connection(method) = method else { return Err(UNEXPECTED) };
        match (self.state, method) {
            (State::Greeting, M::Start(start)) => {
                let offered = String::from_utf8_lossy(start.mechanisms.as_bytes()).into_owned();
                if !offered.split(' ').any(|mechanism| mechanism == "PLAIN") {
                    return Err(Fault::NoPlain(offered.chars().take(64).collect()));
                }
                let Credentials { user, password } = &self.login.credentials;
                let start_ok = connection::StartOk {
                    client_properties: properties(),
                    mechanism: "PLAIN".into(),
                    response: format!("\0{user}\0{password}").as_str().into(),
                    locale: "en_US".into(),
                };
                self.state = State::Tuning;
                self.tell(0, AMQPClass::Connection(M::StartOk(start_ok)));
                Ok(None)
            }
            (State::Tuning, M::Secure(_)) => Err(Fault::ProtocolError("the broker wants more than PLAIN")),
            (State::Tuning, M::Tune(tune)) => {
                let most = if tune.frame_max == 0 { u32::MAX } else { tune.frame_max };
                if (most as usize) < FRAME_LEAST {
                    return Err(Fault::SmallFrames(most));
                }
                let channel_max =
                    if tune.channel_max == 0 { CHANNELS } else { tune.channel_max.min(CHANNELS) };
                let ours = (self.login.heartbeat / 1_000_000).min(u16::MAX.into()) as u16;
                let theirs = tune.heartbeat;
                let heartbeat = if ours == 0 || theirs == 0 { ours.max(theirs) } else { ours.min(theirs) };
                self.frame_most = (most as usize).min(FRAME_MOST);
                self.heartbeat = Us::from(heartbeat) * 1_000_000;
                self.frames.agreed(self.frame_most);
                let frame_max = self.frame_most as u32;
                let tune_ok = connection::TuneOk { channel_max, frame_max, heartbeat };
                let open = connection::Open { virtual_host: self.login.virtual_host.as_str().into() };
                self.state = State::Opening;
                self.tell(0, AMQPClass::Connection(M::TuneOk(tune_ok)));
                self.tell(0, AMQPClass::Connection(M::Open(open)));
                Ok(None)
            }
            (State::Opening, M::OpenOk(_)) => {
                self.state = State::Up;
                Ok(Some(Event::Up))
            }
            (_, M::Close(close)) => {
                self.tell(0, AMQPClass::Connection(M::CloseOk(connection::CloseOk {})));
                self.state = State::Closing;
                self.since = now;
                Ok(Some(Event::Closed { code: close.reply_code, text: close.reply_text.to_string() }))
            }
            (State::Closing, M::CloseOk(_)) => Ok(Some(Event::Left)),
            (State::Closing, _) => Ok(None),
            (State::Up, M::Blocked(blocked)) => {
                self.blocked = true;
                Ok(Some(Event::Blocked { reason: blocked.reason.to_string() }))
            }
            (State::Up, M::Unblocked(_)) => {
                self.blocked = false;
                Ok(Some(Event::Unblocked))
            }
            _ => Err(UNEXPECTED),
        }
    }

    fn method(&mut self, at: Channel, method: AMQPClass) -> Result<Option<Event>, Fault> {
        use basic::AMQPMethod as B;
        use channel::AMQPMethod as C;
        // A channel that was closed here may still be spoken on until the broker has read so.
        let Some(line) = self.lines.get_mut(&at) else { return Ok(None) };
        if line.stage == Stage::Closing {
            if let AMQPClass::Channel(C::CloseOk(_)) = method {
                self.lines.remove(&at);
            }
            if let AMQPClass::Channel(C::Close(_)) = method {
                self.tell(at.0, AMQPClass::Channel(C::CloseOk(channel::CloseOk {})));
            }
            return Ok(None);
        }
        if line.content.is_some() {
            return Err(UNEXPECTED);
        }
        match method {
            AMQPClass::Channel(C::OpenOk(_)) if line.stage == Stage::Opening => {
                line.stage = Stage::Open;
                Ok(Some(Event::ChannelOpen(at)))
            }
            AMQPClass::Channel(C::Close(close)) => {
                self.lines.remove(&at);
                self.tell(at.0, AMQPClass::Channel(C::CloseOk(channel::CloseOk {})));
                let (code, text) = (close.reply_code, close.reply_text.to_string());
                Ok(Some(Event::ChannelClosed { channel: at, code, text }))
            }
            AMQPClass::Channel(C::Flow(flow)) => {
                let flow_ok = channel::FlowOk { active: flow.active };
                self.tell(at.0, AMQPClass::Channel(C::FlowOk(flow_ok)));
                Ok(None)
            }
            AMQPClass::Confirm(confirm::AMQPMethod::SelectOk(_)) => Ok(Some(Event::Confirms(at))),
            AMQPClass::Basic(B::QosOk(_)) => Ok(None),
            AMQPClass::Basic(B::ConsumeOk(_)) if line.consuming == Consuming::Asked => {
                line.consuming = Consuming::Yes;
                Ok(Some(Event::Consuming(at)))
            }
            AMQPClass::Basic(B::CancelOk(_)) if line.consuming == Consuming::Cancelling => {
                line.consuming = Consuming::No;
                Ok(Some(Event::Cancelled { channel: at, by_broker: false }))
            }
            AMQPClass::Basic(B::Cancel(cancel)) => {
                // Ours may cross theirs: one of the two is enough.
                let news = line.consuming == Consuming::Yes;
                line.consuming = if news { Consuming::No } else { line.consuming };
                if !cancel.nowait {
                    let consumer_tag = cancel.consumer_tag;
                    let cancel_ok = AMQPClass::Basic(B::CancelOk(basic::CancelOk { consumer_tag }));
                    self.tell(at.0, cancel_ok);
                }
                Ok(Some(Event::Cancelled { channel: at, by_broker: true }).filter(|_| news))
            }
            AMQPClass::Basic(B::Deliver(deliver)) => {
                let (what, body) = (What::Deliver(deliver), Vec::new());
                line.content = Some(Content { what, header: None, body, left: 0 });
                Ok(None)
            }
            AMQPClass::Basic(B::Return(returned)) => {
                let (what, body) = (What::Return(returned.reply_code), Vec::new());
                line.content = Some(Content { what, header: None, body, left: 0 });
                Ok(None)
            }
            AMQPClass::Basic(B::Ack(ack)) => {
                let (number, multiple) = (ack.delivery_tag, ack.multiple);
                Ok(Some(Event::Confirmed { number, multiple, arrived: true }))
            }
            AMQPClass::Basic(B::Nack(nack)) => {
                let (number, multiple) = (nack.delivery_tag, nack.multiple);
                Ok(Some(Event::Confirmed { number, multiple, arrived: false }))
            }
            _ => Err(UNEXPECTED),
        }
    }

    fn header(
        &mut self, at: Channel, class: u16, headers: Headers, size: u64,
    ) -> Result<Option<Event>, Fault> {
        let Some(line) = self.line(at) else { return Ok(None) };
        match &mut line.content {
            Some(content) if content.header.is_none() && class == 60 => {
                content.header = Some(Box::new((headers, size)));
                content.left = size;
            }
            _ => return Err(UNEXPECTED),
        }
        self.whole(at)
    }

    fn body(&mut self, at: Channel, bytes: &[u8]) -> Result<Option<Event>, Fault> {
        let most = self.login.max_body_bytes as u64;
        let Some(line) = self.line(at) else { return Ok(None) };
        let content = line.content.as_mut().ok_or(UNEXPECTED)?;
        let size = content.header.as_ref().map(|header| header.1).ok_or(UNEXPECTED)?;
        content.left = content
            .left
            .checked_sub(bytes.len() as u64)
            .ok_or(Fault::ProtocolError("an AMQP body is longer than its header said"))?;
        if size <= most {
            content.body.extend_from_slice(bytes);
        }
        self.whole(at)
    }

    /// A channel that is spoken on.
    fn line(&mut self, at: Channel) -> Option<&mut Line> {
        self.lines.get_mut(&at).filter(|line| line.stage != Stage::Closing)
    }

    /// Hands on a message whose content is whole.
    fn whole(&mut self, at: Channel) -> Result<Option<Event>, Fault> {
        let most = self.login.max_body_bytes as u64;
        let Some(line) = self.lines.get_mut(&at) else { return Ok(None) };
        let Some(content) = line.content.take_if(|content| content.left == 0) else { return Ok(None) };
        let Some(header) = content.header else { return Err(UNEXPECTED) };
        let (headers, size) = *header;
        Ok(Some(match content.what {
            What::Return(code) => Event::Returned { message_id: headers.message_id, code },
            What::Deliver(deliver) => Event::Delivered(Box::new(Delivery {
                tag: DeliveryTag { channel: at, epoch: line.epoch, number: deliver.delivery_tag },
                redelivered: deliver.redelivered,
                exchange: deliver.exchange.to_string(),
                routing_key: deliver.routing_key.to_string(),
                headers,
                size,
                body: Some(content.body).filter(|_| size <= most),
            })),
        }))
    }

    /// Opens a channel (1.5.2.1). False if it stands, or the connection can't be used.
    pub fn open(&mut self, at: Channel) -> bool {
        if self.state != State::Up || self.lines.contains_key(&at) {
            return false;
        }
        self.epoch += 1;
        let (epoch, consuming) = (self.epoch, Consuming::No);
        let line = Line { stage: Stage::Opening, epoch, consuming, published: 0, content: None };
        self.lines.insert(at, line);
        self.tell(at.0, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})));
        true
    }

    /// Asks for confirms on an open channel (RabbitMQ's `confirm.select`).
    pub fn confirms(&mut self, at: Channel) {
        if self.is_open(at) {
            self.tell(
                at.0,
                AMQPClass::Confirm(confirm::AMQPMethod::Select(confirm::Select { nowait: false })),
            );
        }
    }

    fn is_open(&self, at: Channel) -> bool {
        self.state == State::Up && self.lines.get(&at).is_some_and(|line| line.stage == Stage::Open)
    }

    /// Consumes from a queue with so many deliveries out at a time, 1 or more (1.8.3.1, 1.8.3.3). False if the
    /// channel is not open or has a consumer.
    pub fn consume(&mut self, at: Channel, queue: &str, consumer: &str, prefetch: u16) -> bool {
        if !self.is_open(at) || prefetch == 0 {
            return false;
        }
        let Some(line) = self.lines.get_mut(&at).filter(|line| line.consuming == Consuming::No) else {
            return false;
        };
        line.consuming = Consuming::Asked;
        let qos = basic::Qos { prefetch_count: prefetch, global: false };
        let consume = basic::Consume {
            queue: queue.into(),
            consumer_tag: consumer.into(),
            no_local: false,
            no_ack: false,
            exclusive: false,
            nowait: false,
            arguments: FieldTable::default(),
        };
        self.tell(at.0, AMQPClass::Basic(basic::AMQPMethod::Qos(qos)));
        self.tell(at.0, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
        true
    }

    /// Ends consuming (1.8.3.5). What was sent before the broker reads so still arrives. False if nothing is
    /// consumed on this channel.
    pub fn cancel(&mut self, at: Channel, consumer: &str) -> bool {
        let line = self.lines.get_mut(&at).filter(|line| line.consuming == Consuming::Yes);
        let Some(line) = line.filter(|_| self.state == State::Up) else { return false };
        line.consuming = Consuming::Cancelling;
        let cancel = basic::Cancel { consumer_tag: consumer.into(), nowait: false };
        self.tell(at.0, AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel)));
        true
    }

    /// Settles a delivery (1.8.3.13, 1.8.3.14). False if its channel is over: nothing is written then.
    pub fn settle(&mut self, tag: DeliveryTag, how: Settle) -> bool {
        if !self.stands(tag) {
            return false;
        }
        let delivery_tag = tag.number;
        let method = match how {
            Settle::Ack => basic::AMQPMethod::Ack(basic::Ack { delivery_tag, multiple: false }),
            Settle::Reject => basic::AMQPMethod::Reject(basic::Reject { delivery_tag, requeue: false }),
            Settle::Requeue => basic::AMQPMethod::Reject(basic::Reject { delivery_tag, requeue: true }),
        };
        self.tell(tag.channel.0, AMQPClass::Basic(method));
        true
    }

    /// Publishes an answer to the queue that its message named, through the default exchange; one that can't be
    /// routed comes back. Hands back its number for the confirm; none if the channel is not open, nothing may be
    /// published now, or it does not fit.
    pub fn publish(&mut self, at: Channel, reply: &Reply<'_>) -> Option<u64> {
        if !self.is_open(at) || self.blocked {
            return None;
        }
        let mut with =
            AMQPProperties::default().with_message_id(reply.message_id.into()).with_type(reply.kind.into());
        if let Some(id) = reply.correlation_id {
            with = with.with_correlation_id(id.into());
        }
        let publish = AMQPClass::Basic(basic::AMQPMethod::Publish(basic::Publish {
            exchange: "".into(),
            routing_key: reply.to.into(),
            mandatory: true,
            immediate: false,
        }));
        let most = self.frame_most;
        if !write_content(&mut self.out, at.0, publish, with, reply.body, most) {
            return None;
        }
        let line = self.lines.get_mut(&at)?;
        line.published += 1;
        Some(line.published)
    }

    /// Closes a channel from this side (1.5.2.5); it is over at once, and may be opened again once the broker knows.
    pub fn close_channel(&mut self, at: Channel, code: u16, text: &str) {
        if let Some(line) = self.line(at) {
            (line.stage, line.content) = (Stage::Closing, None);
            let (reply_text, class_id, method_id) = (text.into(), 0, 0);
            let close = channel::Close { reply_code: code, reply_text, class_id, method_id };
            self.tell(at.0, AMQPClass::Channel(channel::AMQPMethod::Close(close)));
        }
    }

    /// Closes the connection from this side (1.4.2.10); [`Event::Left`] tells that the broker knows. False if it
    /// can't be closed in this way.
    pub fn close(&mut self, now: Us, code: u16, text: &str) -> bool {
        if matches!(self.state, State::Down | State::Greeting | State::Closing) {
            return false;
        }
        (self.state, self.since) = (State::Closing, now);
        self.lines.clear();
        let (reply_text, class_id, method_id) = (text.into(), 0, 0);
        let close = connection::Close { reply_code: code, reply_text, class_id, method_id };
        self.tell(0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
        true
    }

    /// When `tick` is wanted next.
    pub fn next(&self) -> Option<Us> {
        match self.state {
            State::Down => None,
            State::Greeting | State::Tuning | State::Opening => Some(self.since + HANDSHAKE),
            State::Closing => Some(self.since + CLOSE),
            State::Up if self.heartbeat == 0 => None,
            State::Up => Some((self.heard + 2 * self.heartbeat).min(self.said + self.heartbeat / 2)),
        }
    }

    /// Time has passed: heartbeats are written (4.2.7), and a broker that is silent for too long is given up.
    pub fn tick(&mut self, now: Us) -> Result<(), Fault> {
        match self.state {
            State::Greeting | State::Tuning | State::Opening if now >= self.since + HANDSHAKE => {
                return Err(Fault::SlowHandshake)
            }
            State::Closing if now >= self.since + CLOSE => return Err(Fault::SlowClose),
            State::Up if self.heartbeat > 0 => {
                if now >= self.heard + 2 * self.heartbeat {
                    return Err(Fault::Silent(2 * self.heartbeat / 1000));
                }
                if now >= self.said + self.heartbeat / 2 && self.out.is_empty() {
                    self.put(&AMQPFrame::Heartbeat(0));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// What was gathered goes out now.
    pub fn written(&mut self, now: Us) {
        self.said = self.said.max(now);
        self.out.clear();
    }

    fn tell(&mut self, channel: u16, method: AMQPClass) {
        self.put(&AMQPFrame::Method(channel, method));
    }
    fn put(&mut self, frame: &AMQPFrame) {
        frames::write(&mut self.out, frame);
    }
}

/// What we say we are (1.4.2.2), with what we can do beyond the specification.
fn properties() -> FieldTable {
    let mut can = FieldTable::default();
    for name in ["publisher_confirms", "consumer_cancel_notify", "basic.nack", "connection.blocked"] {
        can.insert(name.into(), AMQPValue::Boolean(true));
    }
    let mut table = FieldTable::default();
    table.insert("product".into(), AMQPValue::LongString("asterrill".into()));
    table.insert("version".into(), AMQPValue::LongString(env!("CARGO_PKG_VERSION").into()));
    table.insert("capabilities".into(), AMQPValue::FieldTable(can));
    table
}

fn whole(value: &AMQPValue) -> Option<i64> {
    Some(match value {
        AMQPValue::ShortShortInt(n) => (*n).into(),
        AMQPValue::ShortShortUInt(n) => (*n).into(),
        AMQPValue::ShortInt(n) => (*n).into(),
        AMQPValue::ShortUInt(n) => (*n).into(),
        AMQPValue::LongInt(n) => (*n).into(),
        AMQPValue::LongUInt(n) => (*n).into(),
        AMQPValue::LongLongInt(n) => *n,
        _ => return None,
    })
}

fn headers(from: &AMQPProperties) -> Headers {
    let text =
        |value: &Option<_>| value.as_ref().map(|value: &amq_protocol::types::ShortString| value.to_string());
    let mut fields = BTreeMap::new();
    let mut delivery_count = None;
    for (name, value) in from.headers().as_ref().map(FieldTable::inner).into_iter().flatten() {
        if name.as_str() == "x-delivery-count" {
            delivery_count = whole(value).and_then(|n| u64::try_from(n).ok());
        }
        let shown = match value {
            AMQPValue::LongString(s) => std::str::from_utf8(s.as_bytes()).ok().map(str::to_string),
            AMQPValue::ShortString(s) => Some(s.to_string()),
            value => whole(value).map(|n| n.to_string()),
        };
        fields.extend(shown.map(|shown| (name.to_string(), shown)));
    }
    Headers {
        message_id: text(from.message_id()),
        correlation_id: text(from.correlation_id()),
        reply_to: text(from.reply_to()),
        expiration: text(from.expiration()),
        timestamp: *from.timestamp(),
        delivery_count,
        fields,
    }
}
