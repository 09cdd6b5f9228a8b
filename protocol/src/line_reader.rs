//! LineReader of words ended by CR LF, some followed by a body of a told length and CR LF.

use crate::{ProtocolError, MAX_BODY_BYTES};

const LINE: usize = 512;
const LONGEST: usize = 1 << 24; // a length beyond it is nonsense

/// A line, and its body unless that is too long.
pub(crate) type Line<'a> = (&'a str, Option<&'a [u8]>);

/// Collects a line, then its body. What is handed back lives until the next call.
#[derive(Default)]
pub(crate) struct LineReader {
    line: Vec<u8>,
    body: Vec<u8>,
    left: Option<usize>, // bytes of body and CR LF still to come
    long: bool,          // the body is passed over
    whole: bool,         // the last call handed something back
}

impl LineReader {
    /// In the middle of a line or its body.
    pub(crate) fn has_partial(&self) -> bool {
        !self.whole && !self.line.is_empty()
    }

    /// Takes from `input` up to the end of the next line and its body. `length` tells from a line how long
    /// its body is, if it has one; one that is too long is handed back as none.
    pub(crate) fn next(
        &mut self, input: &mut &[u8], length: fn(&str) -> Result<Option<usize>, ProtocolError>,
    ) -> Result<Option<Line<'_>>, ProtocolError> {
        if std::mem::take(&mut self.whole) {
            self.line.clear();
            self.body.clear();
            self.long = false;
        }
        if self.left.is_none() {
            let end = input.iter().position(|b| *b == b'\n').map_or(input.len(), |at| at + 1);
            let (now, later) = input.split_at(end);
            if self.line.len() + now.len() > LINE {
                return Err(ProtocolError("a line is too long"));
            }
            self.line.extend_from_slice(now);
            *input = later;
            if self.line.last() != Some(&b'\n') {
                return Ok(None);
            }
            if !self.line.ends_with(b"\r\n") {
                return Err(ProtocolError("a line does not end in CR LF"));
            }
            self.line.truncate(self.line.len() - 2);
            match length(text(&self.line)?)? {
                None => self.whole = true,
                Some(n) if n > LONGEST => return Err(ProtocolError("a body is too long")),
                Some(n) => (self.left, self.long) = (Some(n + 2), n > MAX_BODY_BYTES),
            }
        }
        if let Some(left) = self.left {
            let (now, later) = input.split_at(left.min(input.len()));
            // Of a body that is too long only its last two bytes are looked at.
            if self.long {
                let kept = self.body.len().min(1);
                self.body.drain(..self.body.len() - kept);
                self.body.extend_from_slice(&now[now.len().saturating_sub(2)..]);
            } else {
                self.body.extend_from_slice(now);
            }
            *input = later;
            if now.len() < left {
                self.left = Some(left - now.len());
                return Ok(None);
            }
            if !self.body.ends_with(b"\r\n") {
                return Err(ProtocolError("a body does not end in CR LF"));
            }
            self.body.truncate(self.body.len() - 2);
            (self.left, self.whole) = (None, true);
        }
        let body = if self.long { None } else { Some(&self.body[..]) };
        Ok(Some((text(&self.line)?, body)))
    }
}

fn text(line: &[u8]) -> Result<&str, ProtocolError> {
    std::str::from_utf8(line).map_err(|_| ProtocolError("a line is not text"))
}
