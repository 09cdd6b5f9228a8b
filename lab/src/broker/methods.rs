//! Handlers for the frames of a client.

use super::channel::{Channel, Consumer, PendingPublish};
use super::connection::{Connection, ConnectionAction};
use super::delivery::MAX_CONTENT_FRAME_BYTES;
use super::ledger::{Reply, Settlement};
use crate::sync::lock;
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::{self, AMQPMethod as BasicMethod};
use amq_protocol::protocol::channel::{self, AMQPMethod as ChannelMethod};
use amq_protocol::protocol::confirm::{self, AMQPMethod as ConfirmMethod};
use amq_protocol::protocol::connection::{self, AMQPMethod as ConnectionMethod};
use amq_protocol::protocol::AMQPClass;
use asterrill_protocol::amqp::write_content;
use std::time::Instant;

const DEFAULT_FRAME_MAX_BYTES: u32 = 131_072;
const CHANNEL_MAX: u16 = 2047;
const REPLY_SUCCESS: u16 = 200;
const ACCESS_REFUSED: u16 = 403;
const NOT_FOUND: u16 = 404;
const NO_ROUTE: u16 = 312;

impl Connection {
    /// Handles a frame. Returns `None` if it is not valid in the state of the connection, which then ends.
    pub(super) fn handle_frame(&mut self, frame: AMQPFrame) -> Option<ConnectionAction> {
        match frame {
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => return self.handle_connection(method),
            AMQPFrame::Method(id, AMQPClass::Channel(ChannelMethod::Open(_))) => {
                self.channels.insert(id, Channel::default());
                self.send(id, AMQPClass::Channel(ChannelMethod::OpenOk(channel::OpenOk {})));
            }
            AMQPFrame::Method(id, AMQPClass::Channel(ChannelMethod::Close(_))) => {
                self.close_channel(id);
                self.send(id, AMQPClass::Channel(ChannelMethod::CloseOk(channel::CloseOk {})));
            }
            AMQPFrame::Method(id, AMQPClass::Confirm(ConfirmMethod::Select(_))) => {
                self.channels.get_mut(&id)?.confirms = Some(0);
                self.send(id, AMQPClass::Confirm(ConfirmMethod::SelectOk(confirm::SelectOk {})));
            }
            AMQPFrame::Method(id, AMQPClass::Basic(method)) => self.handle_basic(id, method),
            AMQPFrame::Header(id, _, header) => {
                let pending_publish = self.channels.get_mut(&id)?.pending_publish.as_mut()?;
                pending_publish.properties = Some(header.properties);
                pending_publish.body_size = Some(header.body_size);
                self.finish_publish(id)?;
            }
            AMQPFrame::Body(id, bytes) => {
                self.channels.get_mut(&id)?.pending_publish.as_mut()?.body.extend_from_slice(&bytes);
                self.finish_publish(id)?;
            }
            _ => {}
        }
        Some(ConnectionAction::Continue)
    }

    fn handle_connection(&mut self, method: ConnectionMethod) -> Option<ConnectionAction> {
        match method {
            ConnectionMethod::StartOk(ok) => self.log_in(ok.response.as_bytes())?,
            ConnectionMethod::TuneOk(ok) => self.heartbeat_s = ok.heartbeat,
            ConnectionMethod::Open(_) => {
                self.open = true;
                let open_ok = ConnectionMethod::OpenOk(connection::OpenOk {});
                self.send(0, AMQPClass::Connection(open_ok));
            }
            ConnectionMethod::Close(close) => {
                let close_ok = ConnectionMethod::CloseOk(connection::CloseOk {});
                self.send(0, AMQPClass::Connection(close_ok));
                self.closed_cleanly = close.reply_code == REPLY_SUCCESS;
                let mut state = lock(&self.state);
                state.ledger.closed_cleanly += u64::from(self.closed_cleanly);
                state.ledger.closed_at = Some(Instant::now());
                return Some(ConnectionAction::Close);
            }
            ConnectionMethod::CloseOk(_) => return Some(ConnectionAction::Close),
            _ => {}
        }
        Some(ConnectionAction::Continue)
    }

    /// Checks the password of a SASL PLAIN response, and tunes the connection. Returns `None` for a malformed response.
    fn log_in(&mut self, response: &[u8]) -> Option<()> {
        let response = String::from_utf8_lossy(response).into_owned();
        let (user, password) = response.strip_prefix('\0')?.split_once('\0')?;
        let mut state = self.lock_state();
        state.ledger.logins.insert(user.to_string());
        let accepted = password == state.password;
        let (frame_max, heartbeat) =
            (state.script.frame_max.unwrap_or(DEFAULT_FRAME_MAX_BYTES), state.script.heartbeat_s);
        drop(state);
        let answer = if accepted {
            ConnectionMethod::Tune(connection::Tune { channel_max: CHANNEL_MAX, frame_max, heartbeat })
        } else {
            ConnectionMethod::Close(connection::Close {
                reply_code: ACCESS_REFUSED,
                reply_text: "ACCESS_REFUSED".into(),
                class_id: 10,
                method_id: 11,
            })
        };
        self.send(0, AMQPClass::Connection(answer));
        Some(())
    }

    fn handle_basic(&mut self, id: u16, method: BasicMethod) {
        let Some(channel) = self.channels.get_mut(&id) else { return };
        match method {
            BasicMethod::Qos(qos) => {
                channel.prefetch = qos.prefetch_count.into();
                self.send(id, AMQPClass::Basic(BasicMethod::QosOk(basic::QosOk {})));
            }
            BasicMethod::Consume(consume) => self.consume(id, consume),
            BasicMethod::Cancel(cancel) => {
                channel.consumer = None;
                let cancel_ok = basic::CancelOk { consumer_tag: cancel.consumer_tag };
                self.send(id, AMQPClass::Basic(BasicMethod::CancelOk(cancel_ok)));
            }
            BasicMethod::Ack(ack) => self.settle(id, ack.delivery_tag, Settlement::Acked),
            BasicMethod::Reject(reject) => {
                let settlement = if reject.requeue { Settlement::Requeued } else { Settlement::Rejected };
                self.settle(id, reject.delivery_tag, settlement);
            }
            BasicMethod::Publish(publish) => channel.pending_publish = Some(PendingPublish::new(publish)),
            _ => {}
        }
    }

    fn consume(&mut self, id: u16, consume: basic::Consume) {
        let Some(channel) = self.channels.get_mut(&id) else { return };
        let (queue, tag) = (consume.queue.to_string(), consume.consumer_tag.to_string());
        let mut state = lock(&self.state);
        if !state.has_queue(&queue) {
            drop(state);
            return self.close_channel_with(id, NOT_FOUND, "NOT_FOUND - no queue");
        }
        state.ledger.subscriptions += 1;
        drop(state);
        channel.consumer = Some(Consumer { queue, tag, prefetch: channel.prefetch });
        let consume_ok = basic::ConsumeOk { consumer_tag: consume.consumer_tag };
        self.send(id, AMQPClass::Basic(BasicMethod::ConsumeOk(consume_ok)));
    }

    fn settle(&mut self, id: u16, tag: u64, settlement: Settlement) {
        let Some(channel) = self.channels.get_mut(&id) else { return };
        let mut state = lock(&self.state);
        let Some((queue, mut message)) = channel.unsettled.remove(&tag) else {
            if channel.settled_tags.contains(&tag) {
                state.ledger.settled_twice += 1;
            } else {
                state.ledger.unknown_tags += 1;
            }
            return;
        };
        channel.settled_tags.insert(tag);
        state.ledger.settle(message.number, settlement);
        if settlement == Settlement::Requeued {
            message.delivery_count += 1;
            state.queues.entry(queue).or_default().push_front(message);
        } else if state.script.loses_settlements {
            channel.settled_messages.push((queue, message));
        }
    }

    /// Routes a reply that the client published, once it is complete.
    fn finish_publish(&mut self, id: u16) -> Option<()> {
        let channel = self.channels.get_mut(&id)?;
        let Some(published) = channel.take_published() else { return Some(()) };
        let confirm = channel.next_confirm();
        let PendingPublish { publish, properties, body, .. } = published;
        let properties = properties.unwrap_or_default();
        let mut state = lock(&self.state);
        if state.reply_queues.contains(publish.routing_key.as_str()) {
            let correlation_id = properties.correlation_id().as_ref().map(ToString::to_string);
            state.ledger.replies.push(Reply { correlation_id, body });
        } else {
            state.ledger.returned += 1;
            let returned = BasicMethod::Return(basic::Return {
                reply_code: NO_ROUTE,
                reply_text: "NO_ROUTE".into(),
                exchange: publish.exchange,
                routing_key: publish.routing_key,
            });
            write_content(
                &mut self.out,
                id,
                AMQPClass::Basic(returned),
                properties,
                &body,
                MAX_CONTENT_FRAME_BYTES,
            );
        }
        drop(state);
        if let Some(delivery_tag) = confirm {
            let ack = BasicMethod::Ack(basic::Ack { delivery_tag, multiple: false });
            self.send(id, AMQPClass::Basic(ack));
        }
        Some(())
    }

    /// Closes a channel with a reply code and a reason.
    pub(super) fn close_channel_with(&mut self, id: u16, reply_code: u16, reason: &str) {
        self.close_channel(id);
        let close = channel::Close { reply_code, reply_text: reason.into(), class_id: 60, method_id: 80 };
        self.send(id, AMQPClass::Channel(ChannelMethod::Close(close)));
    }
}
