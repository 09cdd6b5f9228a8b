//! Reports to the name service, spoken in HTTP/1.1.

use crate::ProtocolError;
use std::io::Write;

const HEAD: usize = 4096;
const BODY: usize = 65_536;

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

/// What came back for a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The report counts.
    pub counts: bool,
    /// The connection can carry another.
    pub stays: bool,
}

/// Reads the reply to one report at a time.
#[derive(Default)]
pub struct Reader {
    head: Vec<u8>,
    found: Option<(Reply, usize)>, // the reply, and bytes of its body still to come
}

impl Reader {
    /// Takes from `input` up to the end of the next reply. Without one all of `input` has been taken.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<Reply>, ProtocolError> {
        while self.found.is_none() {
            let Some((byte, later)) = input.split_first() else { return Ok(None) };
            self.head.push(*byte);
            *input = later;
            if self.head.ends_with(b"\r\n\r\n") {
                self.found = head(&self.head)?;
                self.head.clear();
            } else if self.head.len() >= HEAD {
                return Err(ProtocolError("a reply of the name service has too long a head"));
            }
        }
        let Some((reply, left)) = &mut self.found else { return Ok(None) };
        let taken = (*left).min(input.len());
        *input = &input[taken..];
        *left -= taken;
        let reply = *reply;
        if *left > 0 {
            return Ok(None);
        }
        self.found = None;
        Ok(Some(reply))
    }
}

/// None for an interim reply, which another one follows.
fn head(bytes: &[u8]) -> Result<Option<(Reply, usize)>, ProtocolError> {
    const BAD: ProtocolError = ProtocolError("a reply of the name service is not understood");
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(bytes).map_err(|_| BAD)?;
    let code = response.code.ok_or(BAD)?;
    if (100..200).contains(&code) {
        return Ok(None);
    }
    let (mut length, mut stays) = (None, response.version == Some(1));
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| BAD)?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse().ok().filter(|n| *n <= BODY).ok_or(BAD)?);
        } else if header.name.eq_ignore_ascii_case("connection") {
            stays &= !value.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            stays = false;
        }
    }
    // Without a length the body of anything but 204 ends with the connection: it is not waited for.
    stays &= code == 204 || length.is_some();
    let left = if code == 204 || !stays { 0 } else { length.unwrap_or(0) };
    Ok(Some((Reply { counts: code == 204, stays }, left)))
}
