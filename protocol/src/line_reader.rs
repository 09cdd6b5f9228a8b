//! Lines of words ended by CR LF, some followed by a body, whose length the line says, and CR LF.

use crate::{ProtocolError, MAX_BODY_BYTES};

/// The longest line, in bytes.
const MAX_LINE_BYTES: usize = 512;
/// A line that announces a longer body is malformed.
const MAX_ANNOUNCED_BYTES: usize = 1 << 24;
const CRLF: &[u8] = b"\r\n";

/// A line, and its body unless that is too long.
pub(crate) type Line<'a> = (&'a str, Option<&'a [u8]>);

/// Collects a line, then its body. What is handed back lives until the next call.
#[derive(Default)]
pub(crate) struct LineReader {
    line: Vec<u8>,
    body: Vec<u8>,
    /// Bytes of the body and its CR LF still to come.
    remaining: Option<usize>,
    /// The body is passed over.
    oversized: bool,
    /// The last call handed back a line.
    complete: bool,
}

impl LineReader {
    /// In the middle of a line or its body.
    pub(crate) fn has_partial(&self) -> bool {
        !self.complete && !self.line.is_empty()
    }

    /// Takes from `input` up to the end of the next line and its body. `length` reads from a line how
    /// long its body is, if it has one; one of more than [`MAX_BODY_BYTES`] is handed back as `None`.
    pub(crate) fn next(
        &mut self, input: &mut &[u8], length: fn(&str) -> Result<Option<usize>, ProtocolError>,
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
                return Err(ProtocolError("a line is too long"));
            }
            self.line.extend_from_slice(now);
            *input = later;
            if self.line.last() != Some(&b'\n') {
                return Ok(None);
            }
            if !self.line.ends_with(CRLF) {
                return Err(ProtocolError("a line does not end in CR LF"));
            }
            self.line.truncate(self.line.len() - CRLF.len());
            match length(text(&self.line)?)? {
                None => self.complete = true,
                Some(n) if n > MAX_ANNOUNCED_BYTES => return Err(ProtocolError("a body is too long")),
                Some(n) => (self.remaining, self.oversized) = (Some(n + CRLF.len()), n > MAX_BODY_BYTES),
            }
        }
        if let Some(remaining) = self.remaining {
            let (now, later) = input.split_at(remaining.min(input.len()));
            // Of a body that is too long only its last two bytes are looked at.
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
                return Err(ProtocolError("a body does not end in CR LF"));
            }
            self.body.truncate(self.body.len() - CRLF.len());
            (self.remaining, self.complete) = (None, true);
        }
        let body = if self.oversized { None } else { Some(&self.body[..]) };
        Ok(Some((text(&self.line)?, body)))
    }
}

fn text(line: &[u8]) -> Result<&str, ProtocolError> {
    std::str::from_utf8(line).map_err(|_| ProtocolError("a line is not text"))
}
