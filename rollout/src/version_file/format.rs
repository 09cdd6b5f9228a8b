//! Lines of the version file: the first line, headers with checksums, and text whose checksum is computed while
//! writing.

use super::state::StepKind;
use crate::version::VersionHash;
use std::fmt::{self, Write};
use std::io::{self, BufRead, Read};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// First line of the file.
pub(super) const FIRST_LINE: &str = "asterrill versions 1\n";
/// Prefix of the first line in all formats of this program.
pub(super) const FIRST_LINE_PREFIX: &str = "asterrill versions ";
/// Maximum length of a line, in bytes.
pub(super) const MAX_LINE_BYTES: u64 = 1 << 20;
/// Maximum length of a step header, in bytes.
const MAX_STEP_HEADER_BYTES: usize = 256;
/// Placeholder in a step header for the length of an operator's file that has not changed.
const UNCHANGED_OPERATOR_FILE: &str = "-";

/// Maximum length of the operator's file in a record, in bytes.
pub const MAX_OPERATOR_FILE_BYTES: u64 = 16 << 20;

/// Writer that computes the length and the checksum of the text, and passes it on or discards it.
pub(super) struct ChecksumWriter<'a> {
    to: Option<&'a mut dyn Write>,
    hasher: Xxh3,
    bytes: u64,
}

impl<'a> ChecksumWriter<'a> {
    pub(super) fn new(to: &'a mut dyn Write) -> ChecksumWriter<'a> {
        ChecksumWriter { to: Some(to), hasher: Xxh3::new(), bytes: 0 }
    }
    /// Creates a writer that discards the text.
    pub(super) fn counting() -> ChecksumWriter<'a> {
        ChecksumWriter { to: None, hasher: Xxh3::new(), bytes: 0 }
    }
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }
    pub(super) fn checksum(&self) -> u64 {
        self.hasher.digest()
    }
}

impl Write for ChecksumWriter<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.hasher.update(text.as_bytes());
        self.bytes += text.len() as u64;
        self.to.as_mut().map_or(Ok(()), |to| to.write_str(text))
    }
}

/// Appends the checksum and the line end to a header.
pub(super) fn append_header_checksum(mut header: String) -> String {
    let checksum = xxh3_64(header.as_bytes());
    header.push_str(&format!(" {checksum:016x}\n"));
    header
}

/// Returns the words of a header, or `None` if its checksum does not match or the number of words is not `N`.
pub(super) fn verify_header<const N: usize>(line: &[u8]) -> Option<[&str; N]> {
    let line = std::str::from_utf8(line).ok()?.strip_suffix('\n')?;
    let (text, checksum) = line.rsplit_once(' ')?;
    if checksum != format!("{:016x}", xxh3_64(text.as_bytes())) {
        return None;
    }
    let mut words = text.split(' ');
    let mut all = [""; N];
    for word in &mut all {
        *word = words.next()?;
    }
    words.next().is_none().then_some(all)
}

/// Returns the end line of a snapshot.
pub(super) fn end_line(entries: u64, checksum: u64) -> String {
    format!("end {entries} {checksum:016x}\n")
}

/// Header of a step.
#[derive(Clone, Debug)]
pub(super) struct StepHeader {
    pub(super) kind: StepKind,
    /// Number of the version that the step concerns.
    pub(super) number: u64,
    /// Number of the last good version, to which the changes in the body apply.
    pub(super) base: u64,
    pub(super) hash: VersionHash,
    /// Length of the operator's file at the start of the body; `None` if the file has not changed.
    pub(super) operator_file_bytes: Option<u64>,
    pub(super) body_bytes: u64,
    pub(super) body_checksum: u64,
}

impl StepHeader {
    /// Returns the header as a line with its checksum.
    pub(super) fn to_line(&self) -> String {
        let StepHeader { number, base, hash, body_bytes, body_checksum, .. } = self;
        let kind = self.kind.as_str();
        let file = self.operator_file_bytes.map_or(UNCHANGED_OPERATOR_FILE.into(), |bytes| bytes.to_string());
        append_header_checksum(format!(
            "step {kind} {number} {base} {hash} {file} {body_bytes} {body_checksum:016x}"
        ))
    }

    fn parse(line: &[u8]) -> Option<StepHeader> {
        let ["step", kind, number, base, hash, file, bytes, body_checksum] = verify_header::<8>(line)? else {
            return None;
        };
        Some(StepHeader {
            kind: StepKind::parse(kind)?,
            number: number.parse().ok()?,
            base: base.parse().ok()?,
            hash: hash.into(),
            operator_file_bytes: if file == UNCHANGED_OPERATOR_FILE {
                None
            } else {
                Some(file.parse().ok()?)
            },
            body_bytes: bytes.parse().ok()?,
            body_checksum: u64::from_str_radix(body_checksum, 16).ok()?,
        })
    }

    /// Finds a header at the end of a line, and returns its offset in the line. The offset is greater than 0 if the
    /// record before it lost its end.
    pub(super) fn find(line: &[u8]) -> Option<(usize, StepHeader)> {
        let first_offset = line.len().saturating_sub(MAX_STEP_HEADER_BYTES);
        (first_offset..line.len()).find_map(|offset| {
            let rest = line.get(offset..).filter(|rest| rest.starts_with(b"step "))?;
            Some((offset, StepHeader::parse(rest)?))
        })
    }
}

/// Reader of lines and byte ranges that tracks its position in the file.
pub(super) struct LineReader<R> {
    source: R,
    position: u64,
}

impl<R: BufRead> LineReader<R> {
    pub(super) fn new(source: R) -> LineReader<R> {
        LineReader { source, position: 0 }
    }

    /// Returns the number of bytes read so far.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    /// Reads the next line with its line end into `line`, at most `limit` bytes. `line` is empty at the end of the
    /// file.
    pub(super) fn next_line(&mut self, limit: u64, line: &mut Vec<u8>) -> io::Result<()> {
        line.clear();
        (&mut self.source).take(limit.min(MAX_LINE_BYTES)).read_until(b'\n', line)?;
        self.position += line.len() as u64;
        Ok(())
    }

    /// Reads `count` bytes, or fewer at the end of the file.
    pub(super) fn next_bytes(&mut self, count: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        (&mut self.source).take(count).read_to_end(&mut bytes)?;
        self.position += bytes.len() as u64;
        Ok(bytes)
    }
}
