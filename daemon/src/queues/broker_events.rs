//! Input from the broker: bytes are parsed by the session, and the resulting events are passed to the queues.

use super::consumers::{QueueConsumers, REPLY_CHANNEL};
use asterrill::Us;
use asterrill_consumer::{Catalog, InFlightId};
use asterrill_protocol::amqp::{Channel, Event};

/// AMQP reply code for malformed frames.
const FRAME_ERROR: u16 = 501;
/// Maximum number of characters of a text from the broker that are written to the log.
const MAX_LOGGED_CHARS: usize = 128;

impl QueueConsumers {
    /// Processes bytes from the broker. Deliveries are routed by `catalog`, the active names. The error says why the
    /// connection has failed.
    pub fn read(
        &mut self, now: Us, mut bytes: &[u8], logs: &mut Vec<String>, catalog: &dyn Catalog,
    ) -> Result<(), String> {
        loop {
            match self.session.read(now, &mut bytes) {
                Ok(Some(event)) => self.handle_event(now, event, logs, catalog)?,
                Ok(None) => return Ok(()),
                Err(error) => {
                    self.stats.protocol_errors += 1;
                    self.session.close(now, FRAME_ERROR, "frames that are not understood");
                    return Err(error.to_string());
                }
            }
        }
    }

    fn handle_event(
        &mut self, now: Us, event: Event, logs: &mut Vec<String>, catalog: &dyn Catalog,
    ) -> Result<(), String> {
        match event {
            Event::Connected => self.connection_opened(now, logs),
            Event::ChannelOpen(REPLY_CHANNEL) => self.session.select_confirms(REPLY_CHANNEL),
            Event::ConfirmsSelected(_) => self.can_publish = true,
            Event::ChannelOpen(channel) => {
                if let Some(queue) = self.queue_on(channel) {
                    queue.channel_opened(now);
                }
            }
            Event::Consuming(channel) => {
                if let Some(queue) = self.queue_on(channel) {
                    queue.consume_ok(now);
                }
            }
            Event::Cancelled { channel, by_broker } => {
                if let Some(queue) = self.queue_on(channel) {
                    queue.cancelled(now, by_broker);
                }
            }
            Event::Delivered(delivery) => {
                if let Some(queue) = self.queue_on(delivery.tag.channel) {
                    queue.delivered(now, *delivery, catalog);
                }
            }
            Event::Confirmed { number, multiple, accepted } => {
                for queue in &mut self.queues {
                    queue.reply_confirmed(now, number, multiple, accepted);
                }
            }
            Event::Returned { message_id, code } => self.reply_returned(message_id, code, logs),
            Event::Blocked { reason } => {
                self.stats.blocked += 1;
                logs.push(format!("broker blocked publishing: {}", printable(&reason)));
            }
            Event::Unblocked => logs.push("broker unblocked publishing".into()),
            Event::ChannelClosed { channel, code, text } => {
                self.channel_closed(now, channel, code, &text, logs);
            }
            Event::Closed { code, text } => {
                self.stats.closed_by_broker += 1;
                return Err(format!("closed by the broker: {code} {}", printable(&text)));
            }
            Event::CloseConfirmed => self.close_confirmed = true,
        }
        Ok(())
    }

    fn connection_opened(&mut self, now: Us, logs: &mut Vec<String>) {
        self.stats.connected += 1;
        logs.push("connected to the broker".into());
        self.session.open_channel(REPLY_CHANNEL);
        for queue in &mut self.queues {
            queue.connection_up(now);
        }
    }

    fn channel_closed(&mut self, now: Us, channel: Channel, code: u16, text: &str, logs: &mut Vec<String>) {
        if channel != REPLY_CHANNEL {
            if let Some(queue) = self.queue_on(channel) {
                queue.channel_closed(now, code, text);
            }
            return;
        }
        logs.push(format!("broker closed the reply channel; reopening it: {code} {}", printable(text)));
        self.can_publish = false;
        for queue in &mut self.queues {
            queue.reply_channel_lost();
        }
        self.session.open_channel(REPLY_CHANNEL);
    }

    fn reply_returned(&mut self, message_id: Option<String>, code: u16, logs: &mut Vec<String>) {
        logs.push(format!("broker returned a reply: {code}"));
        let id = message_id.and_then(|id| u64::from_str_radix(&id, 16).ok()).map(InFlightId);
        let Some(id) = id else { return };
        if let Some(queue) = self.queue_of(id) {
            queue.reply_returned(id);
        }
    }
}

/// Returns a text from the broker without control characters and truncated, so that it can be logged safely.
fn printable(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).filter(|c| !c.is_control()).collect()
}
