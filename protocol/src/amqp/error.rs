//! Errors that end a connection to a broker.

use crate::ProtocolError;

/// Error that ends the connection, after which the session must reconnect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// Violation of the framing or of the order of methods by the broker.
    #[error("{0}")]
    Protocol(&'static str),
    /// Offer of authentication mechanisms by the broker that does not include PLAIN.
    #[error("expected the broker to offer the authentication mechanism PLAIN; it offers {0:?}")]
    PlainNotOffered(String),
    /// Lack of data from the broker for this many milliseconds, twice the negotiated heartbeat interval.
    #[error("no data from the broker for {0} ms, twice the negotiated heartbeat interval")]
    HeartbeatTimeout(u64),
    /// Handshake that the broker did not complete in time.
    #[error("the broker did not open the connection within 10 s")]
    HandshakeTimeout,
    /// Maximum frame size in bytes that the broker proposed and that is below the minimum for both sides (4.2.3).
    #[error("the broker proposed a maximum frame size of {0} bytes; expected at least 4096")]
    FrameMaxTooSmall(u32),
    /// Close of the connection from this side that the broker did not confirm in time.
    #[error("the broker did not confirm the close of the connection within 1 s")]
    CloseTimeout,
}

/// Error for a well-formed frame that is not allowed in the current state of the connection or channel.
pub(super) const UNEXPECTED_FRAME: SessionError =
    SessionError::Protocol("AMQP frame not allowed in the current state of the connection or channel");

impl From<ProtocolError> for SessionError {
    fn from(error: ProtocolError) -> SessionError {
        SessionError::Protocol(error.0)
    }
}
