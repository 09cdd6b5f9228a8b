//! Reports to the name service over HTTP/1.1.

use crate::ProtocolError;
use std::io::Write;

/// Maximum length of the status line and headers of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 4096;
/// Maximum length of the body of a reply, in bytes. The body is skipped.
const MAX_REPLY_BODY_BYTES: usize = 65_536;
/// Maximum number of headers of a reply.
const MAX_HEADERS: usize = 32;

/// Writes a report to the name service on whether this backend accepts work.
pub fn report(to: &mut Vec<u8>, name: &str, host: &str, serving: bool) {
    let body = if serving { r#"{"serving":"yes"}"# } else { r#"{"serving":"no"}"# };
    let length = body.len();
    write!(
        to,
        "PUT /ns/hosts/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .unwrap_or_default();
}

/// Reply to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whether the name service accepted the report (status 204).
    pub accepted: bool,
    /// Whether the connection can be used for another report.
    pub keep_alive: bool,
}

/// Reader of the replies on one connection, one report at a time.
#[derive(Default)]
pub struct Reader {
    head: Vec<u8>,
    /// Reply whose head has been read, with the number of bytes of its body that are still to be skipped.
    pending: Option<(Reply, usize)>,
}

impl Reader {
    /// Reads the next reply and advances `input` past it. Without a complete reply, all of `input` is consumed.
    ///
    /// # Errors
    /// Returns an error for a reply that is not HTTP/1, or that exceeds its maximum length.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<Reply>, ProtocolError> {
        while self.pending.is_none() {
            let Some((byte, later)) = input.split_first() else { return Ok(None) };
            self.head.push(*byte);
            *input = later;
            if self.head.ends_with(b"\r\n\r\n") {
                self.pending = parse_head(&self.head)?;
                self.head.clear();
            } else if self.head.len() >= MAX_HEAD_BYTES {
                return Err(ProtocolError("head of a reply from the name service exceeds 4096 bytes"));
            }
        }
        let Some((reply, remaining)) = &mut self.pending else { return Ok(None) };
        let taken = (*remaining).min(input.len());
        *input = &input[taken..];
        *remaining -= taken;
        let reply = *reply;
        if *remaining > 0 {
            return Ok(None);
        }
        self.pending = None;
        Ok(Some(reply))
    }
}

/// Parses the head of a reply and returns the reply with the number of bytes of its body to skip. Returns `None` for an
/// interim reply, which is followed by the final one.
fn parse_head(bytes: &[u8]) -> Result<Option<(Reply, usize)>, ProtocolError> {
    const MALFORMED: ProtocolError = ProtocolError("malformed HTTP reply from the name service");
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(bytes).map_err(|_| MALFORMED)?;
    let code = response.code.ok_or(MALFORMED)?;
    if (100..200).contains(&code) {
        return Ok(None);
    }
    let (mut length, mut keep_alive) = (None, response.version == Some(1));
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| MALFORMED)?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse().ok().filter(|n| *n <= MAX_REPLY_BODY_BYTES).ok_or(MALFORMED)?);
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep_alive &= !value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            keep_alive = false;
        }
    }
    // A body without a length, with any status but 204, ends with the connection. The reader does not wait for its end.
    keep_alive &= code == 204 || length.is_some();
    let remaining = if code == 204 || !keep_alive { 0 } else { length.unwrap_or(0) };
    Ok(Some((Reply { accepted: code == 204, keep_alive }, remaining)))
}
