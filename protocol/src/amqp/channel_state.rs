//! The state of one open channel, and the message whose content is arriving on it.

use super::error::{SessionError, UNEXPECTED_FRAME};
use super::frames::CLASS_BASIC;
use super::message::{Channel, Delivery, DeliveryTag, Event, MessageProperties};
use amq_protocol::protocol::basic;

/// How far a channel is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChannelStage {
    Opening,
    Open,
    /// Closed here; what still comes on it is passed over until the broker confirms.
    Closing,
}

/// How far a channel's consumer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConsumerStage {
    None,
    Requested,
    Active,
    Cancelling,
}

/// The method that announced content.
pub(super) enum ContentMethod {
    Deliver(basic::Deliver),
    /// With the broker's reply code.
    Return(u16),
}

/// A message whose content is not complete.
struct PartialContent {
    method: ContentMethod,
    /// Properties and the size of the body, once the content header has come.
    header: Option<Box<(MessageProperties, u64)>>,
    body: Vec<u8>,
    /// Bytes of the body still to come.
    remaining: u64,
}

/// One channel of a connection.
pub(super) struct ChannelState {
    pub(super) stage: ChannelStage,
    /// The opening that this channel's delivery tags belong to.
    pub(super) epoch: u64,
    pub(super) consumer: ConsumerStage,
    /// Messages published since the channel was opened.
    pub(super) published: u64,
    content: Option<PartialContent>,
}

impl ChannelState {
    pub(super) fn opening(epoch: u64) -> ChannelState {
        ChannelState {
            stage: ChannelStage::Opening,
            epoch,
            consumer: ConsumerStage::None,
            published: 0,
            content: None,
        }
    }

    /// The channel is closed from this side; a message in part is dropped.
    pub(super) fn start_closing(&mut self) {
        self.stage = ChannelStage::Closing;
        self.content = None;
    }

    /// Only frames of content may come now.
    pub(super) fn expects_content(&self) -> bool {
        self.content.is_some()
    }

    /// A method that content follows has come.
    pub(super) fn start_content(&mut self, method: ContentMethod) {
        self.content = Some(PartialContent { method, header: None, body: Vec::new(), remaining: 0 });
    }

    /// A content header: `size` is the bytes of the body that follows.
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

    /// A part of a body; it is stored only if the whole body is `max_body_bytes` long at most.
    pub(super) fn content_body(&mut self, bytes: &[u8], max_body_bytes: u64) -> Result<(), SessionError> {
        let content = self.content.as_mut().ok_or(UNEXPECTED_FRAME)?;
        let size = content.header.as_ref().map(|header| header.1).ok_or(UNEXPECTED_FRAME)?;
        content.remaining = content
            .remaining
            .checked_sub(bytes.len() as u64)
            .ok_or(SessionError::Protocol("an AMQP body is longer than its header said"))?;
        if size <= max_body_bytes {
            content.body.extend_from_slice(bytes);
        }
        Ok(())
    }

    /// Hands on the message if its content is complete.
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
