//! Tables within tables (4.2.5.5): how deep they go is told before they are parsed, since the codec parses them
//! by calling itself, and the stacks here are small.

use crate::ProtocolError;

/// Tables and lists within one another at most; nobody who sends headers for people needs as many.
const DEEPEST: usize = 8;

/// Walks the fields of a table or the values of a list without keeping anything.
struct Walk<'a>(&'a [u8]);

const SHORT: ProtocolError = ProtocolError("an AMQP field table ends too early");

impl<'a> Walk<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], ProtocolError> {
        let (now, later) = self.0.split_at_checked(n).ok_or(SHORT)?;
        self.0 = later;
        Ok(now)
    }
    fn number(&mut self, bytes: usize) -> Result<usize, ProtocolError> {
        Ok(self.take(bytes)?.iter().fold(0, |n, b| n << 8 | *b as usize))
    }
    fn short(&mut self) -> Result<(), ProtocolError> {
        let n = self.number(1)?;
        self.take(n).map(drop)
    }
    fn long(&mut self) -> Result<&'a [u8], ProtocolError> {
        let n = self.number(4)?;
        self.take(n)
    }
    fn value(&mut self, left: usize) -> Result<(), ProtocolError> {
        let kind = self.take(1)?.first().copied().unwrap_or(0);
        match kind {
            b't' | b'b' | b'B' => self.take(1).map(drop),
            b's' | b'U' | b'u' => self.take(2).map(drop),
            b'I' | b'i' | b'f' => self.take(4).map(drop),
            b'L' | b'l' | b'd' | b'T' => self.take(8).map(drop),
            b'D' => self.take(5).map(drop),
            b'S' | b'x' => self.long().map(drop),
            b'V' => Ok(()),
            b'A' => Walk(self.long()?).all(left, false),
            b'F' => Walk(self.long()?).all(left, true),
            _ => Err(ProtocolError("an AMQP field has a type that is not known")),
        }
    }
    /// All there is: fields with their names, or values alone.
    fn all(&mut self, left: usize, named: bool) -> Result<(), ProtocolError> {
        let left =
            left.checked_sub(1).ok_or(ProtocolError("AMQP field tables lie too deep in one another"))?;
        while !self.0.is_empty() {
            if named {
                self.short()?;
            }
            self.value(left)?;
        }
        Ok(())
    }
    fn table(&mut self) -> Result<(), ProtocolError> {
        Walk(self.long()?).all(DEEPEST, true)
    }
}

/// A content header's payload (2.3.5.2): class, weight, size, flags, then content type, encoding and headers.
pub(super) fn header(payload: &[u8]) -> Result<(), ProtocolError> {
    let mut walk = Walk(payload);
    walk.take(12)?;
    let flags = walk.number(2)?;
    for flag in [1 << 15, 1 << 14] {
        if flags & flag != 0 {
            walk.short()?;
        }
    }
    if flags & 1 << 13 != 0 {
        walk.table()?;
    }
    Ok(())
}

/// The payload of `connection.start` (1.4.2.1): class, method, version, then a table.
pub(super) fn start(payload: &[u8]) -> Result<(), ProtocolError> {
    let mut walk = Walk(payload);
    walk.take(6)?;
    walk.table()
}
