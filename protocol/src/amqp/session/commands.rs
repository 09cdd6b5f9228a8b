//! Commands of the owner of a session: channels, consumers, settlements, replies and closes.

use super::{Session, State};
use crate::amqp::channel_state::{ChannelStage, ChannelState, ConsumerStage};
use crate::amqp::frames::write_content;
use crate::amqp::message::{Channel, DeliveryTag, Reply, Settlement};
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::protocol::{basic, channel, confirm, connection, AMQPClass};
use amq_protocol::types::FieldTable;
use asterrill::Us;

impl Session {
    /// Opens a channel (1.5.2.1). Returns false if the channel exists already or the connection is not open.
    pub fn open_channel(&mut self, channel: Channel) -> bool {
        if self.state != State::Open || self.channels.contains_key(&channel) {
            return false;
        }
        self.epoch += 1;
        self.channels.insert(channel, ChannelState::opening(self.epoch));
        self.send_method(channel.0, AMQPClass::Channel(channel::AMQPMethod::Open(channel::Open {})));
        true
    }

    /// Requests publisher confirms on an open channel (RabbitMQ's `confirm.select`).
    pub fn select_confirms(&mut self, channel: Channel) {
        if self.is_open(channel) {
            let select = confirm::AMQPMethod::Select(confirm::Select { nowait: false });
            self.send_method(channel.0, AMQPClass::Confirm(select));
        }
    }

    /// Consumes from a queue with at most `prefetch` unsettled deliveries, 1 or more (1.8.3.1, 1.8.3.3). Returns false
    /// if `prefetch` is 0, or the channel is not open or has a consumer.
    pub fn consume(&mut self, channel: Channel, queue: &str, consumer_tag: &str, prefetch: u16) -> bool {
        if !self.is_open(channel) || prefetch == 0 {
            return false;
        }
        let state = self.channels.get_mut(&channel);
        let Some(state) = state.filter(|state| state.consumer == ConsumerStage::None) else {
            return false;
        };
        state.consumer = ConsumerStage::Requested;
        let qos = basic::Qos { prefetch_count: prefetch, global: false };
        let consume = basic::Consume {
            queue: queue.into(),
            consumer_tag: consumer_tag.into(),
            no_local: false,
            no_ack: false,
            exclusive: false,
            nowait: false,
            arguments: FieldTable::default(),
        };
        self.send_method(channel.0, AMQPClass::Basic(basic::AMQPMethod::Qos(qos)));
        self.send_method(channel.0, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
        true
    }

    /// Cancels a consumer (1.8.3.5). Deliveries that the broker sends before it reads this still arrive. Returns false
    /// if this channel has no active consumer.
    pub fn cancel(&mut self, channel: Channel, consumer_tag: &str) -> bool {
        let state = self.channels.get_mut(&channel).filter(|state| state.consumer == ConsumerStage::Active);
        let Some(state) = state.filter(|_| self.state == State::Open) else { return false };
        state.consumer = ConsumerStage::Cancelling;
        let cancel = basic::Cancel { consumer_tag: consumer_tag.into(), nowait: false };
        self.send_method(channel.0, AMQPClass::Basic(basic::AMQPMethod::Cancel(cancel)));
        true
    }

    /// Settles a delivery (1.8.3.13, 1.8.3.14). Returns false and writes nothing if its channel is no longer open.
    pub fn settle(&mut self, tag: DeliveryTag, settlement: Settlement) -> bool {
        if !self.is_current(tag) {
            return false;
        }
        let delivery_tag = tag.number;
        let method = match settlement {
            Settlement::Ack => basic::AMQPMethod::Ack(basic::Ack { delivery_tag, multiple: false }),
            Settlement::Reject => basic::AMQPMethod::Reject(basic::Reject { delivery_tag, requeue: false }),
            Settlement::Requeue => basic::AMQPMethod::Reject(basic::Reject { delivery_tag, requeue: true }),
        };
        self.send_method(tag.channel.0, AMQPClass::Basic(method));
        true
    }

    /// Publishes a reply to the queue that its message named, through the default exchange. The broker returns a reply
    /// that it can't route. Returns the publish sequence number that the confirm will carry, or `None` if the channel
    /// is not open, the broker has blocked publishing, or the reply does not fit into frames.
    pub fn publish(&mut self, channel: Channel, reply: &Reply<'_>) -> Option<u64> {
        if !self.is_open(channel) || self.blocked {
            return None;
        }
        let mut properties =
            AMQPProperties::default().with_message_id(reply.message_id.into()).with_type(reply.kind.into());
        if let Some(id) = reply.correlation_id {
            properties = properties.with_correlation_id(id.into());
        }
        let publish = AMQPClass::Basic(basic::AMQPMethod::Publish(basic::Publish {
            exchange: "".into(),
            routing_key: reply.to.into(),
            mandatory: true,
            immediate: false,
        }));
        let max_frame_size = self.max_frame_size;
        if !write_content(&mut self.out, channel.0, publish, properties, reply.body, max_frame_size) {
            return None;
        }
        let state = self.channels.get_mut(&channel)?;
        state.published += 1;
        Some(state.published)
    }

    /// Closes a channel from this side (1.5.2.5). Frames that still arrive on it are ignored. The channel can be opened
    /// again once the broker has confirmed the close.
    pub fn close_channel(&mut self, channel: Channel, code: u16, text: &str) {
        if let Some(state) = self.usable_channel(channel) {
            state.start_closing();
            let close =
                channel::Close { reply_code: code, reply_text: text.into(), class_id: 0, method_id: 0 };
            self.send_method(channel.0, AMQPClass::Channel(channel::AMQPMethod::Close(close)));
        }
    }

    /// Closes the connection from this side (1.4.2.10); [`crate::amqp::Event::CloseConfirmed`] follows. Returns false
    /// if there is no connection, `connection.start` has not arrived yet, or the connection is closing already.
    pub fn close(&mut self, now: Us, code: u16, text: &str) -> bool {
        if matches!(self.state, State::Disconnected | State::Starting | State::Closing) {
            return false;
        }
        self.state = State::Closing;
        self.state_since = now;
        self.channels.clear();
        let close =
            connection::Close { reply_code: code, reply_text: text.into(), class_id: 0, method_id: 0 };
        self.send_method(0, AMQPClass::Connection(connection::AMQPMethod::Close(close)));
        true
    }

    /// Returns the state of a channel unless it is being closed from this side.
    pub(super) fn usable_channel(&mut self, channel: Channel) -> Option<&mut ChannelState> {
        self.channels.get_mut(&channel).filter(|state| state.stage != ChannelStage::Closing)
    }
}
