//! State machine of one connection to a broker with its channels, from the protocol header to the close.
//!
//! The owner of a session decides what is consumed, with which prefetch, and how each delivery is settled. Bytes to be
//! written are collected in [`Session::out`].

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

/// Maximum duration of the handshake, in microseconds.
const HANDSHAKE_TIMEOUT_US: Us = 10_000_000;
/// Maximum time from the start of a close by either side to the end of the connection, in microseconds.
const CLOSE_TIMEOUT_US: Us = 1_000_000;

/// Stage in the life of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No connection.
    Disconnected,
    /// Protocol header sent, `connection.start` awaited.
    Starting,
    /// `connection.start-ok` sent, `connection.tune` awaited.
    Tuning,
    /// `connection.open` sent, `connection.open-ok` awaited.
    Opening,
    /// Connection open for use.
    Open,
    /// Connection closed by one side.
    Closing,
}

/// State machine of one connection.
pub struct Session {
    login: Login,
    state: State,
    frames: FrameReader,
    channels: BTreeMap<Channel, ChannelState>,
    /// Number of channels opened so far, over all connections. Distinguishes delivery tags of different openings.
    epoch: u64,
    /// Negotiated maximum frame size, in bytes.
    max_frame_size: usize,
    /// Negotiated heartbeat interval, in microseconds; 0 for none.
    heartbeat: Us,
    /// Time at which the handshake or the close began, in microseconds.
    state_since: Us,
    last_received: Us,
    last_sent: Us,
    blocked: bool,
    /// Bytes to be written to the connection.
    pub out: Vec<u8>,
}

impl Session {
    /// Returns a session without a connection.
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

    /// Returns the state of the connection.
    pub fn state(&self) -> State {
        self.state
    }

    /// Reports whether the broker has blocked publishing (RabbitMQ's `connection.blocked`).
    pub fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// Reports whether the delivery with this tag can still be settled: the channel on which it arrived is still open
    /// and has not been reopened since.
    pub fn is_current(&self, tag: DeliveryTag) -> bool {
        self.is_open(tag.channel)
            && self.channels.get(&tag.channel).is_some_and(|state| state.epoch == tag.epoch)
    }

    fn is_open(&self, channel: Channel) -> bool {
        self.state == State::Open
            && self.channels.get(&channel).is_some_and(|state| state.stage == ChannelStage::Open)
    }

    /// Starts the handshake on a new connection (1.4.2). Channels and delivery tags of the previous connection become
    /// invalid.
    pub fn connected(&mut self, now: Us) {
        self.disconnected();
        self.state = State::Starting;
        self.state_since = now;
        self.last_received = now;
        self.last_sent = now;
        self.frames = FrameReader::new(Origin::Broker, MAX_FRAME_BYTES);
        self.send_frame(&AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
    }

    /// Resets the session after its connection was lost or closed.
    pub fn disconnected(&mut self) {
        self.state = State::Disconnected;
        self.channels.clear();
        self.out.clear();
        self.blocked = false;
        self.heartbeat = 0;
        self.max_frame_size = MIN_FRAME_BYTES;
    }

    /// Returns the time at which [`Session::tick`] must be called next, if any.
    pub fn next_tick(&self) -> Option<Us> {
        match self.state {
            State::Disconnected => None,
            State::Starting | State::Tuning | State::Opening => Some(self.state_since + HANDSHAKE_TIMEOUT_US),
            State::Closing => Some(self.state_since + CLOSE_TIMEOUT_US),
            State::Open if self.heartbeat == 0 => None,
            State::Open => Some(self.receive_deadline().min(self.next_heartbeat_at())),
        }
    }

    /// Writes a heartbeat if one is due (4.2.7) and checks the timeouts.
    ///
    /// # Errors
    /// Returns an error if the handshake or the close has taken too long, or the broker has been silent for two
    /// heartbeat intervals.
    pub fn tick(&mut self, now: Us) -> Result<(), SessionError> {
        match self.state {
            State::Starting | State::Tuning | State::Opening
                if now >= self.state_since + HANDSHAKE_TIMEOUT_US =>
            {
                return Err(SessionError::HandshakeTimeout)
            }
            State::Closing if now >= self.state_since + CLOSE_TIMEOUT_US => {
                return Err(SessionError::CloseTimeout)
            }
            State::Open if self.heartbeat > 0 => {
                if now >= self.receive_deadline() {
                    return Err(SessionError::HeartbeatTimeout(2 * self.heartbeat / 1000));
                }
                if now >= self.next_heartbeat_at() && self.out.is_empty() {
                    self.send_frame(&AMQPFrame::Heartbeat(0));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns the time at which the broker counts as failed if it has sent nothing by then.
    fn receive_deadline(&self) -> Us {
        self.last_received + 2 * self.heartbeat
    }

    /// Returns the time at which a heartbeat is written unless other bytes are written before.
    fn next_heartbeat_at(&self) -> Us {
        self.last_sent + self.heartbeat / 2
    }

    /// Records that the bytes in [`Session::out`] have been taken for writing, and clears them.
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
