//! Script of the faults that the broker injects.

use std::collections::VecDeque;

/// Script of the faults that the broker injects, with counts over all connections.
#[derive(Clone, Debug, Default)]
pub struct FaultScript {
    /// Numbers of deliveries after which the connection is cut; each is used once, in order.
    pub cuts: VecDeque<u64>,
    /// Whether a cut loses the settlements made on the connection: all of its messages are delivered again.
    pub loses_settlements: bool,
    /// Interval of redeliveries that are sent twice, with two delivery tags; 0 for none.
    pub duplicate_every: u64,
    /// Faults with the number of deliveries after which each is injected once.
    pub faults: VecDeque<(u64, BrokerFault)>,
    /// Frame size in bytes that the broker proposes.
    pub frame_max: Option<u32>,
    /// Heartbeat in seconds that the broker proposes; 0 for none.
    pub heartbeat_s: u16,
    /// Whether deliveries have the `x-delivery-count` header.
    pub counts_deliveries: bool,
}

/// Fault that a broker may cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokerFault {
    /// Cancellation of the consumer.
    CancelConsumer,
    /// `connection.blocked` for 300 ms.
    Block,
    /// Close of the channel with 406, as for an unknown delivery tag.
    CloseChannel,
    /// Close of the connection with 320.
    CloseConnection,
    /// Connection on which the broker stops reading and writing.
    Silence,
    /// Message with a body of 60 MB.
    HugeBody,
    /// Frame with a method that AMQP 0-9-1 does not define.
    UnknownMethod,
    /// Bytes that do not form a frame.
    Garbage,
    /// Delivery whose body arrives half a second after its header.
    SplitContent,
}
