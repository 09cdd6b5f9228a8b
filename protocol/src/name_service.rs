//! Reports to the name service, spoken in HTTP/1.1.

use crate::ProtocolError;
use std::io::Write;

/// The longest head of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 4096;
/// The longest body of a reply, in bytes; it is passed over.
const MAX_REPLY_BODY_BYTES: usize = 65_536;
/// The most headers of a reply.
const MAX_HEADERS: usize = 32;

/// Writes a report: whether this backend takes work.
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

/// The reply to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The name service has accepted the report (status 204).
    pub accepted: bool,
    /// The connection can carry another report.
    pub keep_alive: bool,
}

/// Reads the reply to one report at a time.
#[derive(Default)]
pub struct Reader {
    head: Vec<u8>,
    /// A reply whose head was read, and the bytes of its body still to come.
    pending: Option<(Reply, usize)>,
}

impl Reader {
    /// Takes from `input` up to the end of the next reply. Without one all of `input` has been taken.
    ///
    /// # Errors
    /// A reply that is not HTTP/1, or too long.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<Reply>, ProtocolError> {
        while self.pending.is_none() {
            let Some((byte, later)) = input.split_first() else { return Ok(None) };
            self.head.push(*byte);
            *input = later;
            if self.head.ends_with(b"\r\n\r\n") {
                self.pending = parse_head(&self.head)?;
                self.head.clear();
            } else if self.head.len() >= MAX_HEAD_BYTES {
                return Err(ProtocolError("a reply of the name service has too long a head"));
            }
        }
        let Some((reply, left)) = &mut self.pending else { return Ok(None) };
        let taken = (*left).min(input.len());
        *input = &input[taken..];
        *left -= taken;
        let reply = *reply;
        if *left > 0 {
            return Ok(None);
        }
        self.pending = None;
        Ok(Some(reply))
    }
}

/// `None` for an interim reply, which another one follows.
fn parse_head(bytes: &[u8]) -> Result<Option<(Reply, usize)>, ProtocolError> {
    const MALFORMED: ProtocolError = ProtocolError("a reply of the name service is not understood");
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
    // Without a length the body of anything but 204 ends with the connection: it is not waited for.
    keep_alive &= code == 204 || length.is_some();
    let left = if code == 204 || !keep_alive { 0 } else { length.unwrap_or(0) };
    Ok(Some((Reply { accepted: code == 204, keep_alive }, left)))
}
