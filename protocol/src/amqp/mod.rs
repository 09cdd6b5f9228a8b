//! Client side of AMQP 0-9-1, as far as a consumer needs it. Section numbers in this module refer to the specification
//! of AMQP 0-9-1. The module has two layers, each a state machine without I/O:
//!
//! - [`FrameReader`]: decodes bytes into frames of a bounded size and depth, with the codec of `amq-protocol` (2.3,
//!   4.2).
//! - [`Session`]: one connection with its channels: handshake, tuning, heartbeats, consuming, settling,
//!   publishing with confirms, and closing from either side (1.4 to 1.8, 2.2, 4.2.7).
//!
//! The owner of a [`Session`] decides what is consumed and how each delivery is settled.

mod channel_state;
mod depth;
mod error;
mod frames;
mod message;
mod properties;
mod session;
#[cfg(test)]
mod tests;

pub use error::SessionError;
pub use frames::{write_content, write_frame, FrameReader, Origin, MAX_FRAME_BYTES};
pub use message::{
    Channel, Credentials, Delivery, DeliveryTag, Event, Login, MessageProperties, Reply, Settlement,
};
pub use session::{Session, State};
