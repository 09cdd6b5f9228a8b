//! Counters of the connection to the broker.

/// Counters of the connection to the broker.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct BrokerStats {
    /// Connections that became usable.
    pub(super) connected: u64,
    /// Usable connections that ended.
    pub(super) disconnected: u64,
    /// Connections closed by this server because of a protocol error of the broker.
    pub(super) protocol_errors: u64,
    /// Connections that the broker closed.
    pub(super) closed_by_broker: u64,
    /// Notifications that the broker blocked publishing.
    pub(super) blocked: u64,
    /// Settlements that were not written because their channel was closed.
    pub(super) late_settlements: u64,
}
