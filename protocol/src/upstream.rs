//! Calls to the upstream tier through the local proxy, and its replies. Lines of words, some with a body.

use crate::line_reader::LineReader;
use crate::{ProtocolError, MAX_BODY_BYTES};
use asterrill::{CallEnd, RpcId, Us};
use std::io::Write;

/// How a call ended.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    /// The RPC that the call was made for.
    pub id: RpcId,
    /// How it ended.
    pub end: CallEnd,
    /// The result; empty unless the call ended ok.
    pub body: &'a [u8],
}

/// Reads the replies on one connection.
#[derive(Default)]
pub struct Reader(LineReader);

impl Reader {
    /// In the middle of a reply.
    pub fn has_partial(&self) -> bool {
        self.0.has_partial()
    }

    /// Takes from `input` up to the end of the next reply. Without one all of `input` has been taken.
    ///
    /// # Errors
    /// A line that is no reply, or a body over [`crate::MAX_BODY_BYTES`].
    pub fn next<'a>(&'a mut self, input: &mut &[u8]) -> Result<Option<Reply<'a>>, ProtocolError> {
        let Some((line, body)) = self.0.next(input, length)? else { return Ok(None) };
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
            _ => Err(ProtocolError("an upstream reply is not understood")),
        }
    }
}

fn length(line: &str) -> Result<Option<usize>, ProtocolError> {
    let mut words = line.split(' ').skip(1);
    if words.next() != Some("DONE") {
        return Ok(None);
    }
    match words.next().and_then(|n| n.parse().ok()) {
        Some(n) if n <= MAX_BODY_BYTES => Ok(Some(n)),
        Some(_) => Err(ProtocolError("an upstream reply is too long")),
        None => Err(ProtocolError("an upstream reply lacks its length")),
    }
}

/// Writes the line that announces a call and its body of `length` bytes; the body and CR LF follow. `timeout` is
/// rounded up to whole milliseconds.
pub fn call(to: &mut Vec<u8>, id: RpcId, timeout: Us, length: usize) {
    write!(to, "OP {} {} {length}\r\n", id.as_str(), timeout.div_ceil(1000)).unwrap_or_default();
}

/// Cancels the call made for this RPC.
pub fn cancel(to: &mut Vec<u8>, id: RpcId) {
    write!(to, "UNOP {}\r\n", id.as_str()).unwrap_or_default();
}
