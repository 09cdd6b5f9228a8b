//! What is counted of the connection to the broker.

/// Counters of the connection to the broker.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct BrokerStats {
    /// Connections that could be used.
    pub(super) connected: u64,
    /// Usable connections that ended.
    pub(super) disconnected: u64,
    /// Connections closed here for what the broker did.
    pub(super) protocol_errors: u64,
    /// Connections that the broker closed.
    pub(super) closed_by_broker: u64,
    /// Times that the broker blocked publishing.
    pub(super) blocked: u64,
    /// Settlements that were not written, as their channel was over.
    pub(super) late_settlements: u64,
}
