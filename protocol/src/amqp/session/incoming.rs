//! Processing of frames from the broker: the handshake, methods on channels, and the content of messages.

use super::{Session, State};
use crate::amqp::channel_state::{ChannelStage, ConsumerStage, ContentMethod};
use crate::amqp::error::{SessionError, UNEXPECTED_FRAME};
use crate::amqp::frames::{MAX_FRAME_BYTES, MIN_FRAME_BYTES};
use crate::amqp::message::{Channel, Credentials, Event, MessageProperties};
use crate::amqp::properties::{client_properties, message_properties};
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::{basic, channel, confirm, connection, AMQPClass};
use asterrill::Us;

/// Maximum number of channels that is proposed to the broker.
const MAX_CHANNELS: u16 = 256;
/// Maximum number of characters of the broker's list of mechanisms that an error quotes.
const MAX_QUOTED_CHARS: usize = 64;

impl Session {
    /// Reads frames up to the next one that results in an event, and advances `input` past it. Without such a frame,
    /// all of `input` is consumed.
    ///
    /// # Errors
    /// Returns an error for a frame that is invalid or not allowed in the current state. The connection can't be used
    /// any more.
    pub fn read(&mut self, now: Us, input: &mut &[u8]) -> Result<Option<Event>, SessionError> {
        if self.state == State::Disconnected {
            *input = &[];
            return Ok(None);
        }
        if !input.is_empty() {
            self.last_received = self.last_received.max(now);
        }
        while let Some(frame) = self.frames.next(input)? {
            let event = self.process_frame(now, frame)?;
            if event.is_some() {
                return Ok(event);
            }
        }
        Ok(None)
    }

    fn process_frame(&mut self, now: Us, frame: AMQPFrame) -> Result<Option<Event>, SessionError> {
        match frame {
            AMQPFrame::Method(0, method) => self.connection_method(now, method),
            _ if matches!(self.state, State::Starting | State::Tuning | State::Opening) => {
                Err(UNEXPECTED_FRAME)
            }
            AMQPFrame::Heartbeat(_) => Ok(None),
            // After the close of the connection, only its confirmation is processed (1.4.2.10).
            _ if self.state != State::Open => Ok(None),
            AMQPFrame::Method(n, method) => self.channel_method(Channel(n), method),
            AMQPFrame::Header(n, class, header) => {
                let properties = message_properties(&header.properties);
                self.content_header(Channel(n), class, properties, header.body_size)
            }
            AMQPFrame::Body(n, bytes) => self.content_body(Channel(n), &bytes),
            AMQPFrame::ProtocolHeader(_) => Err(UNEXPECTED_FRAME),
        }
    }

    fn connection_method(&mut self, now: Us, method: AMQPClass) -> Result<Option<Event>, SessionError> {
        use connection::AMQPMethod as Method;
        let AMQPClass::Connection(method) = method else { return Err(UNEXPECTED_FRAME) };
        match (self.state, method) {
            (State::Starting, Method::Start(start)) => self.start(&start),
            (State::Tuning, Method::Secure(_)) => {
                Err(SessionError::Protocol("expected connection.tune; the broker sent connection.secure"))
            }
            (State::Tuning, Method::Tune(tune)) => self.tune(&tune),
            (State::Opening, Method::OpenOk(_)) => {
                self.state = State::Open;
                Ok(Some(Event::Connected))
            }
            (_, Method::Close(close)) => {
                self.send_method(0, AMQPClass::Connection(Method::CloseOk(connection::CloseOk {})));
                self.state = State::Closing;
                self.state_since = now;
                Ok(Some(Event::Closed { code: close.reply_code, text: close.reply_text.to_string() }))
            }
            (State::Closing, Method::CloseOk(_)) => Ok(Some(Event::CloseConfirmed)),
            (State::Closing, _) => Ok(None),
            (State::Open, Method::Blocked(blocked)) => {
                self.blocked = true;
                Ok(Some(Event::Blocked { reason: blocked.reason.to_string() }))
            }
            (State::Open, Method::Unblocked(_)) => {
                self.blocked = false;
                Ok(Some(Event::Unblocked))
            }
            _ => Err(UNEXPECTED_FRAME),
        }
    }

    /// Answers `connection.start` (1.4.2.1) with the credentials.
    fn start(&mut self, start: &connection::Start) -> Result<Option<Event>, SessionError> {
        let mechanisms = String::from_utf8_lossy(start.mechanisms.as_bytes()).into_owned();
        if !mechanisms.split(' ').any(|mechanism| mechanism == "PLAIN") {
            return Err(SessionError::PlainNotOffered(mechanisms.chars().take(MAX_QUOTED_CHARS).collect()));
        }
        let Credentials { user, password } = &self.login.credentials;
        let start_ok = connection::StartOk {
            client_properties: client_properties(),
            mechanism: "PLAIN".into(),
            response: format!("\0{user}\0{password}").as_str().into(),
            locale: "en_US".into(),
        };
        self.state = State::Tuning;
        self.send_method(0, AMQPClass::Connection(connection::AMQPMethod::StartOk(start_ok)));
        Ok(None)
    }

    /// Answers `connection.tune` (1.4.2.5) with the smaller of both sides' limits, where 0 stands for no limit, and
    /// opens the virtual host.
    fn tune(&mut self, tune: &connection::Tune) -> Result<Option<Event>, SessionError> {
        let proposed = if tune.frame_max == 0 { u32::MAX } else { tune.frame_max };
        if (proposed as usize) < MIN_FRAME_BYTES {
            return Err(SessionError::FrameMaxTooSmall(proposed));
        }
        let channel_max =
            if tune.channel_max == 0 { MAX_CHANNELS } else { tune.channel_max.min(MAX_CHANNELS) };
        let own_heartbeat = (self.login.heartbeat / 1_000_000).min(u16::MAX.into()) as u16;
        let heartbeat = if own_heartbeat == 0 || tune.heartbeat == 0 {
            own_heartbeat.max(tune.heartbeat)
        } else {
            own_heartbeat.min(tune.heartbeat)
        };
        self.max_frame_size = (proposed as usize).min(MAX_FRAME_BYTES);
        self.heartbeat = Us::from(heartbeat) * 1_000_000;
        self.frames.set_max_frame_size(self.max_frame_size);
        let frame_max = self.max_frame_size as u32;
        let tune_ok = connection::TuneOk { channel_max, frame_max, heartbeat };
        let open = connection::Open { virtual_host: self.login.virtual_host.as_str().into() };
        self.state = State::Opening;
        self.send_method(0, AMQPClass::Connection(connection::AMQPMethod::TuneOk(tune_ok)));
        self.send_method(0, AMQPClass::Connection(connection::AMQPMethod::Open(open)));
        Ok(None)
    }

    fn channel_method(&mut self, channel: Channel, method: AMQPClass) -> Result<Option<Event>, SessionError> {
        // The broker may still send on a channel that was closed from this side, until it has read the close.
        let Some(state) = self.channels.get_mut(&channel) else { return Ok(None) };
        if state.stage == ChannelStage::Closing {
            self.method_while_closing(channel, &method);
            return Ok(None);
        }
        if state.expects_content() {
            return Err(UNEXPECTED_FRAME);
        }
        match method {
            AMQPClass::Channel(channel::AMQPMethod::OpenOk(_)) if state.stage == ChannelStage::Opening => {
                state.stage = ChannelStage::Open;
                Ok(Some(Event::ChannelOpen(channel)))
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(close)) => {
                self.channels.remove(&channel);
                self.send_close_ok(channel);
                let (code, text) = (close.reply_code, close.reply_text.to_string());
                Ok(Some(Event::ChannelClosed { channel, code, text }))
            }
            AMQPClass::Channel(channel::AMQPMethod::Flow(flow)) => {
                let flow_ok = channel::FlowOk { active: flow.active };
                self.send_method(channel.0, AMQPClass::Channel(channel::AMQPMethod::FlowOk(flow_ok)));
                Ok(None)
            }
            AMQPClass::Confirm(confirm::AMQPMethod::SelectOk(_)) => {
                Ok(Some(Event::ConfirmsSelected(channel)))
            }
            AMQPClass::Basic(method) => self.basic_method(channel, method),
            _ => Err(UNEXPECTED_FRAME),
        }
    }

    fn method_while_closing(&mut self, channel: Channel, method: &AMQPClass) {
        match method {
            AMQPClass::Channel(channel::AMQPMethod::CloseOk(_)) => {
                self.channels.remove(&channel);
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(_)) => self.send_close_ok(channel),
            _ => {}
        }
    }

    fn send_close_ok(&mut self, channel: Channel) {
        let close_ok = channel::AMQPMethod::CloseOk(channel::CloseOk {});
        self.send_method(channel.0, AMQPClass::Channel(close_ok));
    }

    fn basic_method(
        &mut self, channel: Channel, method: basic::AMQPMethod,
    ) -> Result<Option<Event>, SessionError> {
        use basic::AMQPMethod as Method;
        let Some(state) = self.channels.get_mut(&channel) else { return Ok(None) };
        match method {
            Method::QosOk(_) => Ok(None),
            Method::ConsumeOk(_) if state.consumer == ConsumerStage::Requested => {
                state.consumer = ConsumerStage::Active;
                Ok(Some(Event::Consuming(channel)))
            }
            Method::CancelOk(_) if state.consumer == ConsumerStage::Cancelling => {
                state.consumer = ConsumerStage::None;
                Ok(Some(Event::Cancelled { channel, by_broker: false }))
            }
            Method::Cancel(cancel) => Ok(self.cancelled_by_broker(channel, cancel)),
            Method::Deliver(deliver) => {
                state.start_content(ContentMethod::Deliver(deliver));
                Ok(None)
            }
            Method::Return(returned) => {
                state.start_content(ContentMethod::Return(returned.reply_code));
                Ok(None)
            }
            Method::Ack(ack) => {
                let (number, multiple) = (ack.delivery_tag, ack.multiple);
                Ok(Some(Event::Confirmed { number, multiple, accepted: true }))
            }
            Method::Nack(nack) => {
                let (number, multiple) = (nack.delivery_tag, nack.multiple);
                Ok(Some(Event::Confirmed { number, multiple, accepted: false }))
            }
            _ => Err(UNEXPECTED_FRAME),
        }
    }

    /// Processes a cancel by the broker. If it crosses a cancel from this side, only the confirmation of the latter
    /// results in an event.
    fn cancelled_by_broker(&mut self, channel: Channel, cancel: basic::Cancel) -> Option<Event> {
        let state = self.channels.get_mut(&channel)?;
        let was_active = state.consumer == ConsumerStage::Active;
        if was_active {
            state.consumer = ConsumerStage::None;
        }
        if !cancel.nowait {
            let cancel_ok = basic::CancelOk { consumer_tag: cancel.consumer_tag };
            self.send_method(channel.0, AMQPClass::Basic(basic::AMQPMethod::CancelOk(cancel_ok)));
        }
        was_active.then_some(Event::Cancelled { channel, by_broker: true })
    }

    fn content_header(
        &mut self, channel: Channel, class: u16, properties: MessageProperties, size: u64,
    ) -> Result<Option<Event>, SessionError> {
        let max_body_bytes = self.login.max_body_bytes as u64;
        let Some(state) = self.usable_channel(channel) else { return Ok(None) };
        state.content_header(class, properties, size)?;
        state.take_complete(channel, max_body_bytes)
    }

    fn content_body(&mut self, channel: Channel, bytes: &[u8]) -> Result<Option<Event>, SessionError> {
        let max_body_bytes = self.login.max_body_bytes as u64;
        let Some(state) = self.usable_channel(channel) else { return Ok(None) };
        state.content_body(bytes, max_body_bytes)?;
        state.take_complete(channel, max_body_bytes)
    }
}
