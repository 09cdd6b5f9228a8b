//! Lines of words ended by CR LF, some followed by a body of a told length and CR LF.

use crate::{Broken, BODY};

const LINE: usize = 512;

/// Collects a line, then its body. What is handed back lives until the next call.
#[derive(Default)]
pub(crate) struct Lines {
    line: Vec<u8>,
    body: Vec<u8>,
    left: Option<usize>, // bytes of body and CR LF still to come
    whole: bool,         // the last call handed something back
}

impl Lines {
    /// Takes from `input` up to the end of the next line and its body. `length` tells from a line how long
    /// its body is, if it has one.
    pub(crate) fn next(
        &mut self, input: &mut &[u8], length: fn(&str) -> Result<Option<usize>, Broken>,
    ) -> Result<Option<(&str, &[u8])>, Broken> {
        if std::mem::take(&mut self.whole) {
            self.line.clear();
            self.body.clear();
        }
        if self.left.is_none() {
            let end = input.iter().position(|b| *b == b'\n').map_or(input.len(), |at| at + 1);
            let (now, later) = input.split_at(end);
            if self.line.len() + now.len() > LINE {
                return Err(Broken("a line is too long"));
            }
            self.line.extend_from_slice(now);
            *input = later;
            if self.line.last() != Some(&b'\n') {
                return Ok(None);
            }
            if !self.line.ends_with(b"\r\n") {
                return Err(Broken("a line does not end in CR LF"));
            }
            self.line.truncate(self.line.len() - 2);
            match length(text(&self.line)?)? {
                None => self.whole = true,
                Some(n) if n > BODY => return Err(Broken("a body is too long")),
                Some(n) => self.left = Some(n + 2),
            }
        }
        if let Some(left) = self.left {
            let (now, later) = input.split_at(left.min(input.len()));
            self.body.extend_from_slice(now);
            *input = later;
            if now.len() < left {
                self.left = Some(left - now.len());
                return Ok(None);
            }
            if !self.body.ends_with(b"\r\n") {
                return Err(Broken("a body does not end in CR LF"));
            }
            self.body.truncate(self.body.len() - 2);
            (self.left, self.whole) = (None, true);
        }
        Ok(Some((text(&self.line)?, &self.body)))
    }
}

fn text(line: &[u8]) -> Result<&str, Broken> {
    std::str::from_utf8(line).map_err(|_| Broken("a line is not text"))
}
