//! Writes the slopes as text.

use super::slopes::{Provenance, Slope, Slopes, FORMAT};
use serde::Serialize;
use serde_json::ser::{Formatter, PrettyFormatter};
use std::io;

/// The file's text: a field a line, points on one.
pub(super) fn write_slopes(slopes: &Slopes) -> io::Result<String> {
    let mut bytes = Vec::new();
    let mut to = serde_json::Serializer::with_formatter(
        &mut bytes,
        CompactLists { pretty: PrettyFormatter::new(), depth: 0 },
    );
    File { format: FORMAT, taken: &slopes.taken, before: &slopes.before, slopes: &slopes.slopes }
        .serialize(&mut to)?;
    let mut text = String::from_utf8(bytes).map_err(io::Error::other)?;
    text.push('\n');
    Ok(text)
}

#[derive(Serialize)]
struct File<'a> {
    format: u64,
    taken: &'a Provenance,
    before: &'a Provenance,
    slopes: &'a [Slope],
}

/// As `PrettyFormatter`, but lists within the outer one stay on their line.
struct CompactLists {
    pretty: PrettyFormatter<'static>,
    depth: usize,
}

impl Formatter for CompactLists {
    fn begin_array<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.depth += 1;
        if self.depth == 1 {
            self.pretty.begin_array(to)
        } else {
            to.write_all(b"[")
        }
    }
    fn end_array<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.depth -= 1;
        if self.depth == 0 {
            self.pretty.end_array(to)
        } else {
            to.write_all(b"]")
        }
    }
    fn begin_array_value<W: ?Sized + io::Write>(&mut self, to: &mut W, first: bool) -> io::Result<()> {
        match (self.depth, first) {
            (1, _) => self.pretty.begin_array_value(to, first),
            (_, true) => Ok(()),
            (_, false) => to.write_all(b", "),
        }
    }
    fn end_array_value<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        if self.depth == 1 {
            self.pretty.end_array_value(to)
        } else {
            Ok(())
        }
    }
    fn begin_object<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.pretty.begin_object(to)
    }
    fn end_object<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.pretty.end_object(to)
    }
    fn begin_object_key<W: ?Sized + io::Write>(&mut self, to: &mut W, first: bool) -> io::Result<()> {
        self.pretty.begin_object_key(to, first)
    }
    fn begin_object_value<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.pretty.begin_object_value(to)
    }
    fn end_object_value<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.pretty.end_object_value(to)
    }
}
