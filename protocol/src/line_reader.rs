//! Reader of lines that end with CR LF. Some lines contain the length of a body, which follows with its own CR LF.

use crate::{ProtocolError, MAX_BODY_BYTES};

/// Maximum length of a line, in bytes, with its CR LF.
const MAX_LINE_BYTES: usize = 512;
/// Maximum length of a body that a line may announce, in bytes; a line that announces a longer one is malformed.
const MAX_ANNOUNCED_BODY_BYTES: usize = 1 << 24;
const CRLF: &[u8] = b"\r\n";

/// A line with its body. The body is `None` if it exceeds [`MAX_BODY_BYTES`], and empty if the line has none.
pub(crate) type Line<'a> = (&'a str, Option<&'a [u8]>);

/// Buffer for one line and its body. What [`LineReader::next`] returns is valid until its next call.
#[derive(Default)]
pub(crate) struct LineReader {
    line: Vec<u8>,
    body: Vec<u8>,
    /// Bytes of the body and its CR LF that have not been received; none outside a body.
    remaining: Option<usize>,
    /// Whether the body exceeds [`MAX_BODY_BYTES`] and is skipped.
    oversized: bool,
    /// Whether the last call returned a line.
    complete: bool,
}

impl LineReader {
    /// Reports whether a line or its body has been received in part.
    pub(crate) fn has_partial(&self) -> bool {
        !self.complete && !self.line.is_empty()
    }

    /// Reads the next line with its body and advances `input` past them. Without a complete one, all of `input` is
    /// consumed. `body_length` extracts the length of the body from a line, none if it has no body.
    ///
    /// # Errors
    /// Returns an error for a line or a body without CR LF or over its maximum length, and for a line that is not
    /// UTF-8. Returns the errors of `body_length`.
    pub(crate) fn next(
        &mut self, input: &mut &[u8], body_length: fn(&str) -> Result<Option<usize>, ProtocolError>,
    ) -> Result<Option<Line<'_>>, ProtocolError> {
        if std::mem::take(&mut self.complete) {
            self.line.clear();
            self.body.clear();
            self.oversized = false;
        }
        if self.remaining.is_none() {
            let end = input.iter().position(|b| *b == b'\n').map_or(input.len(), |at| at + 1);
            let (now, later) = input.split_at(end);
            if self.line.len() + now.len() > MAX_LINE_BYTES {
                return Err(ProtocolError("line exceeds 512 bytes"));
            }
            self.line.extend_from_slice(now);
            *input = later;
            if self.line.last() != Some(&b'\n') {
                return Ok(None);
            }
            if !self.line.ends_with(CRLF) {
                return Err(ProtocolError("line does not end with CR LF"));
            }
            self.line.truncate(self.line.len() - CRLF.len());
            match body_length(utf8_line(&self.line)?)? {
                None => self.complete = true,
                Some(n) if n > MAX_ANNOUNCED_BODY_BYTES => {
                    return Err(ProtocolError("announced body exceeds 16 MiB"))
                }
                Some(n) => (self.remaining, self.oversized) = (Some(n + CRLF.len()), n > MAX_BODY_BYTES),
            }
        }
        if let Some(remaining) = self.remaining {
            let (now, later) = input.split_at(remaining.min(input.len()));
            // Only the last two bytes of a skipped body are stored, to check its CR LF.
            if self.oversized {
                let last = self.body.len().min(1);
                self.body.drain(..self.body.len() - last);
                self.body.extend_from_slice(&now[now.len().saturating_sub(2)..]);
            } else {
                self.body.extend_from_slice(now);
            }
            *input = later;
            if now.len() < remaining {
                self.remaining = Some(remaining - now.len());
                return Ok(None);
            }
            if !self.body.ends_with(CRLF) {
                return Err(ProtocolError("body does not end with CR LF"));
            }
            self.body.truncate(self.body.len() - CRLF.len());
            (self.remaining, self.complete) = (None, true);
        }
        let body = if self.oversized { None } else { Some(&self.body[..]) };
        Ok(Some((utf8_line(&self.line)?, body)))
    }
}

fn utf8_line(line: &[u8]) -> Result<&str, ProtocolError> {
    std::str::from_utf8(line).map_err(|_| ProtocolError("line is not valid UTF-8"))
}
