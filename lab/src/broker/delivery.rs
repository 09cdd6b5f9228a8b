//! Deliveries to consumers, and the faults that the script injects.

use super::channel::{Channel, Consumer};
use super::connection::Connection;
use super::faults::BrokerFault;
use super::message::Message;
use super::state::BrokerState;
use crate::sync::lock;
use amq_protocol::protocol::basic::{self, AMQPMethod as BasicMethod, AMQPProperties};
use amq_protocol::protocol::connection::{self, AMQPMethod as ConnectionMethod};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::{AMQPValue, FieldTable};
use asterrill_protocol::amqp::write_content;
use std::time::{Duration, Instant};

/// Maximum bytes of a message body in one frame.
pub(super) const MAX_CONTENT_FRAME_BYTES: usize = 4096;
/// Number of bytes waiting to be written above which no further message is delivered.
const MAX_OUT_BYTES: usize = 1 << 18;
const UNREAD_BEFORE_CUT: Duration = Duration::from_millis(20);
const BLOCKED_TIME: Duration = Duration::from_millis(300);
/// Pause between the two parts of a split delivery.
const SPLIT_PAUSE: Duration = Duration::from_millis(500);
const HUGE_BODY_BYTES: usize = 60_000_000;
const GARBAGE_BYTES: u32 = 999;
const PRECONDITION_FAILED: u16 = 406;
const CONNECTION_FORCED: u16 = 320;

/// Reason to stop delivering for the moment.
enum Interruption {
    Cut,
    Fault(BrokerFault),
    /// Enough bytes wait to be written.
    Flush,
}

impl Connection {
    /// Sends as many deliveries as the consumers have capacity for, and injects the scripted faults. Returns `None`
    /// if the connection is cut.
    pub(super) fn deliver(&mut self) -> Option<()> {
        if !self.open {
            return Some(());
        }
        match self.deliver_until_interrupted() {
            None | Some(Interruption::Flush) => Some(()),
            Some(Interruption::Cut) => {
                self.flush()?;
                // Bytes that the client writes during this pause are never read.
                std::thread::sleep(UNREAD_BEFORE_CUT);
                None
            }
            Some(Interruption::Fault(fault)) => self.inject_fault(fault),
        }
    }

    fn deliver_until_interrupted(&mut self) -> Option<Interruption> {
        let mut state = lock(&self.state);
        for (id, channel) in &mut self.channels {
            let mut duplicate = None;
            while channel.has_capacity() || duplicate.is_some() {
                let Some(consumer) = &channel.consumer else { break };
                let next = duplicate.take().or_else(|| state.next_message(&consumer.queue));
                let Some(message) = next else { break };
                state.ledger.deliveries += 1;
                if message.delivery_count > 0 {
                    state.ledger.redeliveries += 1;
                    let every = state.script.duplicate_every;
                    if every > 0 && state.ledger.redeliveries.is_multiple_of(every) {
                        duplicate = Some(message.clone());
                    }
                }
                write_delivery(&mut self.out, *id, channel, message, state.script.counts_deliveries);
                state.ledger.max_unsettled = state.ledger.max_unsettled.max(channel.unsettled.len());
                if let Some(interruption) = next_interruption(&mut state) {
                    return Some(interruption);
                }
                if self.out.len() > MAX_OUT_BYTES {
                    return Some(Interruption::Flush);
                }
            }
        }
        None
    }

    fn inject_fault(&mut self, fault: BrokerFault) -> Option<()> {
        let id = self.channels.iter().find(|(_, channel)| channel.consumer.is_some()).map(|(id, _)| *id)?;
        match fault {
            BrokerFault::CancelConsumer => {
                let consumer = self.channels.get_mut(&id)?.consumer.take()?;
                let cancel = basic::Cancel { consumer_tag: consumer.tag.as_str().into(), nowait: true };
                self.send(id, AMQPClass::Basic(BasicMethod::Cancel(cancel)));
            }
            BrokerFault::Block => {
                let blocked = connection::Blocked { reason: "low on memory".into() };
                self.send(0, AMQPClass::Connection(ConnectionMethod::Blocked(blocked)));
                self.unblock_at = Some(Instant::now() + BLOCKED_TIME);
            }
            BrokerFault::CloseChannel => {
                self.close_channel_with(
                    id,
                    PRECONDITION_FAILED,
                    "PRECONDITION_FAILED - unknown delivery tag",
                );
            }
            BrokerFault::CloseConnection => {
                let (reply_code, reply_text) = (CONNECTION_FORCED, "CONNECTION_FORCED - shutdown".into());
                let close = connection::Close { reply_code, reply_text, class_id: 0, method_id: 0 };
                self.send(0, AMQPClass::Connection(ConnectionMethod::Close(close)));
            }
            BrokerFault::Silence => {
                self.flush()?;
                self.silent = true;
            }
            BrokerFault::HugeBody => {
                let bytes = self.extra_delivery(id, Vec::new(), &vec![b'x'; HUGE_BODY_BYTES])?;
                self.out.extend(bytes);
            }
            BrokerFault::UnknownMethod => {
                self.out.extend_from_slice(&[1, 0, 0, 0, 0, 0, 4, 0, 10, 0, 99, 206]);
            }
            BrokerFault::Garbage => {
                let byte = |n: u32| (n.wrapping_mul(2_654_435_761) >> 13) as u8;
                self.out.extend((0..GARBAGE_BYTES).map(byte));
            }
            BrokerFault::SplitContent => {
                self.flush()?;
                self.deliver_in_two_parts(id)?;
            }
        }
        Some(())
    }

    /// Sends a delivery whose body follows its header after half a second.
    fn deliver_in_two_parts(&mut self, id: u16) -> Option<()> {
        let body = b"half and half".to_vec();
        let bytes = self.extra_delivery(id, body.clone(), &body)?;
        // The first part is everything before the body frame.
        let (first, rest) = bytes.split_at(bytes.len() - body.len() - 8);
        self.out = first.to_vec();
        self.flush()?;
        std::thread::sleep(SPLIT_PAUSE);
        self.out = rest.to_vec();
        self.flush()
    }

    /// Encodes the delivery of a message that was never in a queue. If it is not settled, a message with the body
    /// `returned` is put into the queue.
    fn extra_delivery(&mut self, id: u16, returned: Vec<u8>, body: &[u8]) -> Option<Vec<u8>> {
        let channel = self.channels.get_mut(&id)?;
        let queue = channel.consumer.as_ref()?.queue.clone();
        let mut state = lock(&self.state);
        state.ledger.deliveries += 1;
        let number = state.next_number();
        drop(state);
        let delivery_tag =
            channel.assign_tag(queue, Message { number, body: returned, ..Message::default() });
        let deliver = basic::Deliver {
            consumer_tag: "asterrill".into(),
            delivery_tag,
            redelivered: false,
            exchange: "".into(),
            routing_key: "".into(),
        };
        let mut bytes = Vec::new();
        let method = AMQPClass::Basic(BasicMethod::Deliver(deliver));
        write_content(&mut bytes, id, method, AMQPProperties::default(), body, MAX_CONTENT_FRAME_BYTES);
        Some(bytes)
    }
}

/// Takes the next cut or fault of the script that is due after the deliveries so far.
fn next_interruption(state: &mut BrokerState) -> Option<Interruption> {
    let deliveries = state.ledger.deliveries;
    if state.script.cuts.front().is_some_and(|after| deliveries >= *after) {
        state.script.cuts.pop_front();
        state.ledger.cuts += 1;
        return Some(Interruption::Cut);
    }
    if state.script.faults.front().is_some_and(|(after, _)| deliveries >= *after) {
        let (_, fault) = state.script.faults.pop_front()?;
        state.ledger.faults += 1;
        return Some(Interruption::Fault(fault));
    }
    None
}

/// Writes the delivery of a message to the consumer of a channel.
fn write_delivery(out: &mut Vec<u8>, id: u16, channel: &mut Channel, message: Message, with_count: bool) {
    let Some(Consumer { queue, tag, .. }) = &channel.consumer else { return };
    let deliver = basic::Deliver {
        consumer_tag: tag.as_str().into(),
        delivery_tag: channel.last_tag + 1,
        redelivered: message.delivery_count > 0,
        exchange: "".into(),
        routing_key: queue.as_str().into(),
    };
    let method = AMQPClass::Basic(BasicMethod::Deliver(deliver));
    write_content(out, id, method, properties(&message, with_count), &message.body, MAX_CONTENT_FRAME_BYTES);
    let queue = queue.clone();
    channel.assign_tag(queue, message);
}

/// Returns the properties of a delivery; `with_count` adds the `x-delivery-count` header.
fn properties(message: &Message, with_count: bool) -> AMQPProperties {
    let mut properties = AMQPProperties::default();
    if let Some(id) = &message.id {
        properties = properties.with_message_id(id.as_str().into());
    }
    if let Some(to) = &message.reply_to {
        properties = properties.with_reply_to(to.as_str().into());
        properties = properties.with_correlation_id(format!("c{}", message.number).into());
    }
    if let Some(expiration) = &message.expiration {
        properties = properties.with_expiration(expiration.as_str().into());
    }
    if with_count {
        let mut headers = FieldTable::default();
        let count = AMQPValue::LongLongInt(message.delivery_count as i64);
        headers.insert("x-delivery-count".into(), count);
        properties = properties.with_headers(headers);
    }
    properties
}
