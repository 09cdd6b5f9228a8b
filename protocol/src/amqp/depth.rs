//! Check of the nesting depth of field tables (4.2.5.5) before they are parsed. The codec parses them recursively, and
//! a deeply nested table would overflow the small stack of a coroutine.

use crate::ProtocolError;

/// Maximum nesting depth of tables and arrays, the outermost table included.
const MAX_TABLE_DEPTH: usize = 8;

/// Cursor that skips the fields of a table or the values of an array without storing them.
struct FieldWalker<'a>(&'a [u8]);

const TRUNCATED: ProtocolError = ProtocolError("AMQP field table is truncated");

impl<'a> FieldWalker<'a> {
    /// Returns the next `n` bytes.
    fn take(&mut self, n: usize) -> Result<&'a [u8], ProtocolError> {
        let (now, later) = self.0.split_at_checked(n).ok_or(TRUNCATED)?;
        self.0 = later;
        Ok(now)
    }

    /// Returns the unsigned integer in the next `bytes` bytes, in network byte order.
    fn integer(&mut self, bytes: usize) -> Result<usize, ProtocolError> {
        Ok(self.take(bytes)?.iter().fold(0, |n, b| n << 8 | *b as usize))
    }

    fn skip_short_string(&mut self) -> Result<(), ProtocolError> {
        let n = self.integer(1)?;
        self.take(n).map(drop)
    }

    fn long_string(&mut self) -> Result<&'a [u8], ProtocolError> {
        let n = self.integer(4)?;
        self.take(n)
    }

    fn skip_value(&mut self, depth_left: usize) -> Result<(), ProtocolError> {
        let kind = self.take(1)?.first().copied().unwrap_or(0);
        match kind {
            b't' | b'b' | b'B' => self.take(1).map(drop),
            b's' | b'U' | b'u' => self.take(2).map(drop),
            b'I' | b'i' | b'f' => self.take(4).map(drop),
            b'L' | b'l' | b'd' | b'T' => self.take(8).map(drop),
            b'D' => self.take(5).map(drop),
            b'S' | b'x' => self.long_string().map(drop),
            b'V' => Ok(()),
            b'A' => FieldWalker(self.long_string()?).skip_all(depth_left, false),
            b'F' => FieldWalker(self.long_string()?).skip_all(depth_left, true),
            _ => Err(ProtocolError("AMQP field has an unknown type")),
        }
    }

    /// Skips all that is left: fields with names if `named`, else values without names.
    fn skip_all(&mut self, depth_left: usize, named: bool) -> Result<(), ProtocolError> {
        let depth_left = depth_left
            .checked_sub(1)
            .ok_or(ProtocolError("AMQP field tables are nested more than 8 levels deep"))?;
        while !self.0.is_empty() {
            if named {
                self.skip_short_string()?;
            }
            self.skip_value(depth_left)?;
        }
        Ok(())
    }

    fn skip_table(&mut self) -> Result<(), ProtocolError> {
        FieldWalker(self.long_string()?).skip_all(MAX_TABLE_DEPTH, true)
    }
}

/// Checks the payload of a content header (2.3.5.2): class, weight, size and flags, then content type, content encoding
/// and headers, as far as the flags announce them.
pub(super) fn check_content_header(payload: &[u8]) -> Result<(), ProtocolError> {
    let mut walker = FieldWalker(payload);
    walker.take(12)?;
    let flags = walker.integer(2)?;
    for flag in [1 << 15, 1 << 14] {
        if flags & flag != 0 {
            walker.skip_short_string()?;
        }
    }
    if flags & 1 << 13 != 0 {
        walker.skip_table()?;
    }
    Ok(())
}

/// Checks the payload of `connection.start` (1.4.2.1): class, method and version, then a table.
pub(super) fn check_start(payload: &[u8]) -> Result<(), ProtocolError> {
    let mut walker = FieldWalker(payload);
    walker.take(6)?;
    walker.skip_table()
}
