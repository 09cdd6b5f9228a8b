//! The lines of the file: its first line, heads with checksums, and text that is summed up while it is written or read.

use super::state::StepKind;
use crate::version::VersionHash;
use std::fmt::{self, Write};
use std::io::{self, BufRead, Read};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// The first line of the file.
pub(super) const FIRST_LINE: &str = "asterrill versions 1\n";
/// How the first line begins in any format of this program.
pub(super) const FIRST_LINE_PREFIX: &str = "asterrill versions ";
/// Bytes of one line at the most.
pub(super) const MAX_LINE_BYTES: u64 = 1 << 20;
/// Bytes of a step's head at the most.
const MAX_STEP_HEADER_BYTES: usize = 256;
/// In a step's head, the length of an operator's file that has not changed.
const SAME_OPERATOR_FILE: &str = "-";

/// Bytes of the operator's file at the most, in a record.
pub const MAX_OPERATOR_FILE_BYTES: u64 = 16 << 20;

/// Passes text on, or only counts it, and knows its length and its sum.
pub(super) struct ChecksumWriter<'a> {
    to: Option<&'a mut dyn Write>,
    sum: Xxh3,
    bytes: u64,
}

impl<'a> ChecksumWriter<'a> {
    pub(super) fn new(to: &'a mut dyn Write) -> ChecksumWriter<'a> {
        ChecksumWriter { to: Some(to), sum: Xxh3::new(), bytes: 0 }
    }
    /// Writes nothing.
    pub(super) fn counting() -> ChecksumWriter<'a> {
        ChecksumWriter { to: None, sum: Xxh3::new(), bytes: 0 }
    }
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }
    pub(super) fn sum(&self) -> u64 {
        self.sum.digest()
    }
}

impl Write for ChecksumWriter<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.sum.update(text.as_bytes());
        self.bytes += text.len() as u64;
        self.to.as_mut().map_or(Ok(()), |to| to.write_str(text))
    }
}

/// Adds the checksum of a head to it, and ends the line.
pub(super) fn append_header_checksum(mut head: String) -> String {
    let sum = xxh3_64(head.as_bytes());
    head.push_str(&format!(" {sum:016x}\n"));
    head
}

/// The words of a head, if its sum is right and there are so many.
pub(super) fn verify_header<const N: usize>(line: &[u8]) -> Option<[&str; N]> {
    let line = std::str::from_utf8(line).ok()?.strip_suffix('\n')?;
    let (text, sum) = line.rsplit_once(' ')?;
    if sum != format!("{:016x}", xxh3_64(text.as_bytes())) {
        return None;
    }
    let mut words = text.split(' ');
    let mut all = [""; N];
    for word in &mut all {
        *word = words.next()?;
    }
    words.next().is_none().then_some(all)
}

/// The last line of a snapshot.
pub(super) fn end_line(entries: u64, sum: u64) -> String {
    format!("end {entries} {sum:016x}\n")
}

/// The head of a step.
#[derive(Clone, Debug)]
pub(super) struct StepHeader {
    pub(super) kind: StepKind,
    /// The number of the version that it is about.
    pub(super) number: u64,
    /// The number of the last good version, from which its body leads on.
    pub(super) base: u64,
    pub(super) hash: VersionHash,
    /// Bytes of the operator's file at the begin of the body; `None` where that has not changed.
    pub(super) operator_file_bytes: Option<u64>,
    pub(super) body_bytes: u64,
    pub(super) body_checksum: u64,
}

impl StepHeader {
    /// As a line with its checksum.
    pub(super) fn to_line(&self) -> String {
        let StepHeader { number, base, hash, body_bytes, body_checksum, .. } = self;
        let kind = self.kind.as_str();
        let file = self.operator_file_bytes.map_or(SAME_OPERATOR_FILE.into(), |bytes| bytes.to_string());
        append_header_checksum(format!(
            "step {kind} {number} {base} {hash} {file} {body_bytes} {body_checksum:016x}"
        ))
    }

    fn parse(line: &[u8]) -> Option<StepHeader> {
        let ["step", kind, number, base, hash, file, bytes, sum] = verify_header::<8>(line)? else {
            return None;
        };
        Some(StepHeader {
            kind: StepKind::parse(kind)?,
            number: number.parse().ok()?,
            base: base.parse().ok()?,
            hash: hash.into(),
            operator_file_bytes: if file == SAME_OPERATOR_FILE { None } else { Some(file.parse().ok()?) },
            body_bytes: bytes.parse().ok()?,
            body_checksum: u64::from_str_radix(sum, 16).ok()?,
        })
    }

    /// Finds a head at the end of a line, and where in the line it begins. More than 0 where a record before it has
    /// lost its own end.
    pub(super) fn find(line: &[u8]) -> Option<(usize, StepHeader)> {
        let first = line.len().saturating_sub(MAX_STEP_HEADER_BYTES);
        (first..line.len()).find_map(|at| {
            let rest = line.get(at..).filter(|rest| rest.starts_with(b"step "))?;
            Some((at, StepHeader::parse(rest)?))
        })
    }
}

/// Reads lines and pieces of a file, and knows how far it is.
pub(super) struct LineReader<R> {
    from: R,
    position: u64,
}

impl<R: BufRead> LineReader<R> {
    pub(super) fn new(from: R) -> LineReader<R> {
        LineReader { from, position: 0 }
    }

    /// Bytes that were read so far.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    /// Reads the next line with its end into `line`, `limit` bytes of it at most; nothing at the end of the file.
    pub(super) fn next_line(&mut self, limit: u64, line: &mut Vec<u8>) -> io::Result<()> {
        line.clear();
        (&mut self.from).take(limit.min(MAX_LINE_BYTES)).read_until(b'\n', line)?;
        self.position += line.len() as u64;
        Ok(())
    }

    /// Reads so many bytes, or fewer at the end of the file.
    pub(super) fn next_bytes(&mut self, count: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        (&mut self.from).take(count).read_to_end(&mut bytes)?;
        self.position += bytes.len() as u64;
        Ok(bytes)
    }
}
