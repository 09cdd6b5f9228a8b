//! One connection to a broker, from the protocol header to the close, with its channels.
//!
//! A session decides nothing: what is consumed, how much of it and how each delivery is settled is up to its
//! owner. What is to be written gathers in [`Session::out`].

mod commands;
mod incoming;

use super::channel_state::{ChannelStage, ChannelState};
use super::error::SessionError;
use super::frames::{self, FrameReader, Origin, MAX_FRAME_BYTES, MIN_FRAME_BYTES};
use super::message::{Channel, DeliveryTag, Login};
use amq_protocol::frame::{AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::AMQPClass;
use asterrill::Us;
use std::collections::BTreeMap;

/// From the connection until it may be used.
const HANDSHAKE_TIMEOUT: Us = 10_000_000;
/// How long a confirmation of our close is waited for.
const CLOSE_TIMEOUT: Us = 1_000_000;

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// There is no connection.
    Disconnected,
    /// The protocol header was sent; `connection.start` is awaited.
    Starting,
    /// `connection.tune` is awaited.
    Tuning,
    /// `connection.open-ok` is awaited.
    Opening,
    /// The connection may be used.
    Open,
    /// One side has closed the connection.
    Closing,
}

/// The state machine of one connection.
pub struct Session {
    login: Login,
    state: State,
    frames: FrameReader,
    channels: BTreeMap<Channel, ChannelState>,
    /// Channels opened so far, over all connections: tells tags of different openings apart.
    epoch: u64,
    /// Bytes of the largest frame that the broker takes.
    max_frame_size: usize,
    /// The agreed interval; 0 for none.
    heartbeat: Us,
    /// When the handshake or the close began.
    state_since: Us,
    last_received: Us,
    last_sent: Us,
    blocked: bool,
    /// Bytes to be written, in order.
    pub out: Vec<u8>,
}

impl Session {
    /// A session without a connection.
    pub fn new(login: Login) -> Session {
        Session {
            login,
            state: State::Disconnected,
            frames: FrameReader::new(Origin::Broker, MAX_FRAME_BYTES),
            channels: BTreeMap::new(),
            epoch: 0,
            max_frame_size: MIN_FRAME_BYTES,
            heartbeat: 0,
            state_since: 0,
            last_received: 0,
            last_sent: 0,
            blocked: false,
            out: Vec::new(),
        }
    }

    /// How far the connection is.
    pub fn state(&self) -> State {
        self.state
    }

    /// The broker wants nothing published (RabbitMQ's `connection.blocked`).
    pub fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// The delivery of this tag can still be settled: its channel is open as it was when the delivery came.
    pub fn is_current(&self, tag: DeliveryTag) -> bool {
        self.is_open(tag.channel)
            && self.channels.get(&tag.channel).is_some_and(|state| state.epoch == tag.epoch)
    }

    fn is_open(&self, channel: Channel) -> bool {
        self.state == State::Open
            && self.channels.get(&channel).is_some_and(|state| state.stage == ChannelStage::Open)
    }

    /// A connection was made: the handshake begins (1.4.2). Channels and tags of the one before are void.
    pub fn connected(&mut self, now: Us) {
        self.disconnected();
        self.state = State::Starting;
        self.state_since = now;
        self.last_received = now;
        self.last_sent = now;
        self.frames = FrameReader::new(Origin::Broker, MAX_FRAME_BYTES);
        self.send_frame(&AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
    }

    /// The connection is gone.
    pub fn disconnected(&mut self) {
        self.state = State::Disconnected;
        self.channels.clear();
        self.out.clear();
        self.blocked = false;
        self.heartbeat = 0;
        self.max_frame_size = MIN_FRAME_BYTES;
    }

    /// The moment at which [`Session::tick`] must be called next, if any.
    pub fn next_tick(&self) -> Option<Us> {
        match self.state {
            State::Disconnected => None,
            State::Starting | State::Tuning | State::Opening => Some(self.state_since + HANDSHAKE_TIMEOUT),
            State::Closing => Some(self.state_since + CLOSE_TIMEOUT),
            State::Open if self.heartbeat == 0 => None,
            State::Open => Some(self.receive_deadline().min(self.heartbeat_due())),
        }
    }

    /// Time has passed: heartbeats are written (4.2.7), and a broker that is silent for too long is an error.
    pub fn tick(&mut self, now: Us) -> Result<(), SessionError> {
        match self.state {
            State::Starting | State::Tuning | State::Opening
                if now >= self.state_since + HANDSHAKE_TIMEOUT =>
            {
                return Err(SessionError::HandshakeTimeout)
            }
            State::Closing if now >= self.state_since + CLOSE_TIMEOUT => {
                return Err(SessionError::CloseTimeout)
            }
            State::Open if self.heartbeat > 0 => {
                if now >= self.receive_deadline() {
                    return Err(SessionError::HeartbeatTimeout(2 * self.heartbeat / 1000));
                }
                if now >= self.heartbeat_due() && self.out.is_empty() {
                    self.send_frame(&AMQPFrame::Heartbeat(0));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// A broker that sends nothing until then is taken for dead.
    fn receive_deadline(&self) -> Us {
        self.last_received + 2 * self.heartbeat
    }

    /// When a heartbeat is to be written unless something else is before.
    fn heartbeat_due(&self) -> Us {
        self.last_sent + self.heartbeat / 2
    }

    /// The bytes in [`Session::out`] have been taken for writing.
    pub fn mark_written(&mut self, now: Us) {
        self.last_sent = self.last_sent.max(now);
        self.out.clear();
    }

    fn send_method(&mut self, channel: u16, method: AMQPClass) {
        self.send_frame(&AMQPFrame::Method(channel, method));
    }

    fn send_frame(&mut self, frame: &AMQPFrame) {
        frames::write_frame(&mut self.out, frame);
    }
}
