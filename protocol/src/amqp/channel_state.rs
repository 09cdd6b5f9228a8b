//! State of one channel, and of the message whose content is arriving on it.

use super::error::{SessionError, UNEXPECTED_FRAME};
use super::frames::CLASS_BASIC;
use super::message::{Channel, Delivery, DeliveryTag, Event, MessageProperties};
use amq_protocol::protocol::basic;

/// Stage in the life of a channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChannelStage {
    Opening,
    Open,
    /// Closed from this side. Frames that still arrive on it are ignored until the broker confirms the close.
    Closing,
}

/// Stage in the life of a channel's consumer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConsumerStage {
    None,
    Requested,
    Active,
    Cancelling,
}

/// Method that announced content.
pub(super) enum ContentMethod {
    Deliver(basic::Deliver),
    /// `basic.return`, with the broker's reply code.
    Return(u16),
}

/// Message whose content is incomplete.
struct PartialContent {
    method: ContentMethod,
    /// Properties and size of the body in bytes; none until the content header has arrived.
    header: Option<Box<(MessageProperties, u64)>>,
    body: Vec<u8>,
    /// Number of bytes of the body that have not arrived.
    remaining: u64,
}

/// State of one channel of a connection.
pub(super) struct ChannelState {
    pub(super) stage: ChannelStage,
    /// Number of this opening of the channel, to which its delivery tags belong.
    pub(super) epoch: u64,
    pub(super) consumer: ConsumerStage,
    /// Number of messages published since the channel was opened.
    pub(super) published: u64,
    content: Option<PartialContent>,
}

impl ChannelState {
    /// Returns the state of a channel that is being opened.
    pub(super) fn opening(epoch: u64) -> ChannelState {
        ChannelState {
            stage: ChannelStage::Opening,
            epoch,
            consumer: ConsumerStage::None,
            published: 0,
            content: None,
        }
    }

    /// Records that the channel is closed from this side, and drops a message that has arrived in part.
    pub(super) fn start_closing(&mut self) {
        self.stage = ChannelStage::Closing;
        self.content = None;
    }

    /// Reports whether only content frames are allowed now.
    pub(super) fn expects_content(&self) -> bool {
        self.content.is_some()
    }

    /// Starts a message whose method has arrived; its content follows.
    pub(super) fn start_content(&mut self, method: ContentMethod) {
        self.content = Some(PartialContent { method, header: None, body: Vec::new(), remaining: 0 });
    }

    /// Processes a content header. `size` is the size of the following body in bytes.
    pub(super) fn content_header(
        &mut self, class: u16, properties: MessageProperties, size: u64,
    ) -> Result<(), SessionError> {
        match &mut self.content {
            Some(content) if content.header.is_none() && class == CLASS_BASIC => {
                content.header = Some(Box::new((properties, size)));
                content.remaining = size;
                Ok(())
            }
            _ => Err(UNEXPECTED_FRAME),
        }
    }

    /// Processes a part of a body. It is stored only if the whole body has at most `max_body_bytes`.
    pub(super) fn content_body(&mut self, bytes: &[u8], max_body_bytes: u64) -> Result<(), SessionError> {
        let content = self.content.as_mut().ok_or(UNEXPECTED_FRAME)?;
        let size = content.header.as_ref().map(|header| header.1).ok_or(UNEXPECTED_FRAME)?;
        content.remaining = content
            .remaining
            .checked_sub(bytes.len() as u64)
            .ok_or(SessionError::Protocol("AMQP body is longer than announced in its content header"))?;
        if size <= max_body_bytes {
            content.body.extend_from_slice(bytes);
        }
        Ok(())
    }

    /// Returns the event of the current message if its content is complete.
    pub(super) fn take_complete(
        &mut self, channel: Channel, max_body_bytes: u64,
    ) -> Result<Option<Event>, SessionError> {
        let Some(content) = self.content.take_if(|content| content.remaining == 0) else { return Ok(None) };
        let (properties, size) = *content.header.ok_or(UNEXPECTED_FRAME)?;
        let deliver = match content.method {
            ContentMethod::Return(code) => {
                return Ok(Some(Event::Returned { message_id: properties.message_id, code }))
            }
            ContentMethod::Deliver(deliver) => deliver,
        };
        Ok(Some(Event::Delivered(Box::new(Delivery {
            tag: DeliveryTag { channel, epoch: self.epoch, number: deliver.delivery_tag },
            redelivered: deliver.redelivered,
            exchange: deliver.exchange.to_string(),
            routing_key: deliver.routing_key.to_string(),
            properties,
            size,
            body: Some(content.body).filter(|_| size <= max_body_bytes),
        }))))
    }
}
