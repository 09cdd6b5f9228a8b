//! What the broker does wrong, and when.

use std::collections::VecDeque;

/// What the broker does wrong, and when. Counted over all its connections.
#[derive(Clone, Debug, Default)]
pub struct FaultScript {
    /// After so many deliveries the connection is cut; each is used once, in order.
    pub cuts: VecDeque<u64>,
    /// On a cut, what was settled on the connection counts as never read: all of it is delivered again.
    pub loses_settlements: bool,
    /// Every so many-th redelivery is sent twice, with two tags; 0 for none.
    pub duplicate_every: u64,
    /// After so many deliveries: a fault, once each.
    pub faults: VecDeque<(u64, BrokerFault)>,
    /// The frame size that is offered, in bytes.
    pub frame_max: Option<u32>,
    /// The heartbeat that is offered, in seconds; 0 for none.
    pub heartbeat_s: u16,
    /// Counts deliveries in `x-delivery-count`.
    pub counts_deliveries: bool,
}

/// One thing that a broker may do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokerFault {
    /// Cancels the consumer.
    CancelConsumer,
    /// Wants nothing published, for 300 ms.
    Block,
    /// Closes the channel with 406, as for a tag that is unknown.
    CloseChannel,
    /// Closes the connection with 320.
    CloseConnection,
    /// Sends nothing more, and reads nothing.
    Silence,
    /// A body of 60 MB.
    HugeBody,
    /// A method that AMQP does not have.
    UnknownMethod,
    /// Bytes that are no frame.
    Garbage,
    /// A frame's header and half of its content, then nothing for half a second.
    SplitContent,
}
