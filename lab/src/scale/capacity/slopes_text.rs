//! Writer of `slopes.json`.

use super::slopes::{Provenance, Slope, Slopes, FORMAT};
use serde::Serialize;
use serde_json::ser::{Formatter, PrettyFormatter};
use std::io;

/// Returns the text of the file, with each field on a line of its own and all points of a slope on one line.
pub(super) fn write_slopes(slopes: &Slopes) -> io::Result<String> {
    let mut bytes = Vec::new();
    let mut serializer = serde_json::Serializer::with_formatter(
        &mut bytes,
        CompactArrays { pretty: PrettyFormatter::new(), depth: 0 },
    );
    SlopesFile {
        format: FORMAT,
        provenance: &slopes.provenance,
        previous_provenance: &slopes.previous_provenance,
        slopes: &slopes.slopes,
    }
    .serialize(&mut serializer)?;
    let mut text = String::from_utf8(bytes).map_err(io::Error::other)?;
    text.push('\n');
    Ok(text)
}

/// Contents of the file in the order in which they are written.
#[derive(Serialize)]
struct SlopesFile<'a> {
    format: u64,
    #[serde(rename = "taken")]
    provenance: &'a Provenance,
    #[serde(rename = "before")]
    previous_provenance: &'a Provenance,
    slopes: &'a [Slope],
}

/// Formatter like `PrettyFormatter` that keeps each array within the outermost one on a single line.
struct CompactArrays {
    pretty: PrettyFormatter<'static>,
    depth: usize,
}

impl Formatter for CompactArrays {
    fn begin_array<W: ?Sized + io::Write>(&mut self, writer: &mut W) -> io::Result<()> {
        self.depth += 1;
        if self.depth == 1 {
            self.pretty.begin_array(writer)
        } else {
            writer.write_all(b"[")
        }
    }
    fn end_array<W: ?Sized + io::Write>(&mut self, writer: &mut W) -> io::Result<()> {
        self.depth -= 1;
        if self.depth == 0 {
            self.pretty.end_array(writer)
        } else {
            writer.write_all(b"]")
        }
    }
    fn begin_array_value<W: ?Sized + io::Write>(&mut self, writer: &mut W, first: bool) -> io::Result<()> {
        match (self.depth, first) {
            (1, _) => self.pretty.begin_array_value(writer, first),
            (_, true) => Ok(()),
            (_, false) => writer.write_all(b", "),
        }
    }
    fn end_array_value<W: ?Sized + io::Write>(&mut self, writer: &mut W) -> io::Result<()> {
        if self.depth == 1 {
            self.pretty.end_array_value(writer)
        } else {
            Ok(())
        }
    }
    fn begin_object<W: ?Sized + io::Write>(&mut self, writer: &mut W) -> io::Result<()> {
        self.pretty.begin_object(writer)
    }
    fn end_object<W: ?Sized + io::Write>(&mut self, writer: &mut W) -> io::Result<()> {
        self.pretty.end_object(writer)
    }
    fn begin_object_key<W: ?Sized + io::Write>(&mut self, writer: &mut W, first: bool) -> io::Result<()> {
        self.pretty.begin_object_key(writer, first)
    }
    fn begin_object_value<W: ?Sized + io::Write>(&mut self, writer: &mut W) -> io::Result<()> {
        self.pretty.begin_object_value(writer)
    }
    fn end_object_value<W: ?Sized + io::Write>(&mut self, writer: &mut W) -> io::Result<()> {
        self.pretty.end_object_value(writer)
    }
}
