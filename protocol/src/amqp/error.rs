//! Why a connection to a broker is of no more use.

use crate::ProtocolError;

/// Ends the connection: the session must be reconnected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The broker broke the framing or the order of methods.
    #[error("{0}")]
    Protocol(&'static str),
    /// The broker offers these mechanisms, and PLAIN is not among them.
    #[error("the broker does not take PLAIN, it offers {0:?}")]
    PlainNotOffered(String),
    /// No heartbeat within this many milliseconds.
    #[error("nothing came from the broker for {0} ms, twice the heartbeat that was agreed")]
    HeartbeatTimeout(u64),
    /// The connection was not opened in time.
    #[error("the broker did not open the connection within 10 s")]
    HandshakeTimeout,
    /// The broker proposes frames of this many bytes, under the least that both sides must take (4.2.3).
    #[error("the broker asks for frames of {0} bytes, less than the 4096 that both sides must take")]
    FrameMaxTooSmall(u32),
    /// Our close was not confirmed in time.
    #[error("the close was not answered within 1 s")]
    CloseTimeout,
}

/// A frame that is well formed but not allowed in the state that the connection or channel is in.
pub(super) const UNEXPECTED_FRAME: SessionError =
    SessionError::Protocol("an AMQP frame came where it does not belong");

impl From<ProtocolError> for SessionError {
    fn from(error: ProtocolError) -> SessionError {
        SessionError::Protocol(error.0)
    }
}
