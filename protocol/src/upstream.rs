//! Calls to the upstream tier through the local proxy, and its replies. Both are lines of words, some followed by a
//! body.

use crate::line_reader::LineReader;
use crate::{ProtocolError, MAX_BODY_BYTES};
use asterrill::{CallEnd, RpcId, Us};
use std::io::Write;

/// Reply to a call.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// RPC for which the call was made.
    pub id: RpcId,
    /// Outcome of the call.
    pub end: CallEnd,
    /// Result; empty unless the call ended ok.
    pub body: &'a [u8],
}

/// Reader of the replies on one connection.
#[derive(Default)]
pub struct Reader(LineReader);

impl Reader {
    /// Reports whether a reply has been received in part.
    pub fn has_partial(&self) -> bool {
        self.0.has_partial()
    }

    /// Reads the next reply and advances `input` past it. Without a complete reply, all of `input` is consumed.
    ///
    /// # Errors
    /// Returns an error for a line that is not a reply, and for a body that exceeds [`crate::MAX_BODY_BYTES`].
    pub fn next<'a>(&'a mut self, input: &mut &[u8]) -> Result<Option<Reply<'a>>, ProtocolError> {
        let Some((line, body)) = self.0.next(input, body_length)? else { return Ok(None) };
        let mut words = line.split(' ');
        let id = words.next().filter(|id| !id.is_empty()).and_then(RpcId::new);
        let end = match words.next() {
            Some("DONE") if body.is_some() => Some(CallEnd::Ok),
            Some("WAIT" | "EMPTY") => Some(CallEnd::Rejected),
            Some("ERROR") => Some(CallEnd::Aborted),
            Some("PAST") => Some(CallEnd::TimedOut),
            _ => None,
        };
        match (id, end) {
            (Some(id), Some(end)) => Ok(Some(Reply { id, end, body: body.unwrap_or(&[]) })),
            _ => Err(ProtocolError("unknown or malformed upstream reply")),
        }
    }
}

/// Returns the length of the body that follows a line; none if the line has no body.
fn body_length(line: &str) -> Result<Option<usize>, ProtocolError> {
    let mut words = line.split(' ').skip(1);
    if words.next() != Some("DONE") {
        return Ok(None);
    }
    match words.next().and_then(|n| n.parse().ok()) {
        Some(n) if n <= MAX_BODY_BYTES => Ok(Some(n)),
        Some(_) => Err(ProtocolError("body of an upstream reply exceeds 4096 bytes")),
        None => Err(ProtocolError("expected a body length in an upstream reply")),
    }
}

/// Writes the line that makes a call with a body of `length` bytes. The caller appends the body and CR LF. `timeout` is
/// rounded up to whole milliseconds.
pub fn call(to: &mut Vec<u8>, id: RpcId, timeout: Us, length: usize) {
    write!(to, "OP {} {} {length}\r\n", id.as_str(), timeout.div_ceil(1000)).unwrap_or_default();
}

/// Writes a command that cancels the call made for this RPC.
pub fn cancel(to: &mut Vec<u8>, id: RpcId) {
    write!(to, "UNOP {}\r\n", id.as_str()).unwrap_or_default();
}
