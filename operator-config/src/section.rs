//! Sections of a file with their directives.

use crate::directive::Directive;
use crate::error::ParseError;
use std::collections::BTreeMap;
use std::iter::Peekable;

/// Maximum length of a line.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum number of lines of a file.
const MAX_LINES: usize = 10_000;

/// A reader that splits a file into sections.
pub(crate) struct SectionReader<'a> {
    file: &'a str,
    directives: Peekable<std::vec::IntoIter<Directive<'a>>>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of the sections of a text.
    ///
    /// # Errors
    /// Returns a [`ParseError`] if the text or a line is too long, or a line contains control characters.
    pub(crate) fn new(file: &'a str, text: &'a str) -> Result<SectionReader<'a>, ParseError> {
        let mut directives = Vec::new();
        for (index, line) in text.lines().enumerate() {
            // An invalid line is rejected before any of it is stored.
            check_line(file, index, line)?;
            let directive = Directive::new(file, index + 1, line);
            if !directive.words().is_empty() {
                directives.push(directive);
            }
        }
        Ok(SectionReader { file, directives: directives.into_iter().peekable() })
    }

    /// Creates an error about the file as a whole.
    pub(crate) fn error(&self, message: &str) -> ParseError {
        ParseError { file: self.file.into(), line: 0, message: message.into() }
    }

    /// Returns the next section with all its directives, or `None` at the end of the file.
    ///
    /// # Errors
    /// Returns a [`ParseError`] if the next line is not a valid section header.
    pub(crate) fn next_section(&mut self) -> Result<Option<Section<'a>>, ParseError> {
        let Some(header) = self.directives.next() else { return Ok(None) };
        let (kind, name) = parse_header(&header)?;
        let mut directives = Vec::new();
        while let Some(directive) = self.directives.next_if(|next| !next.name().starts_with('[')) {
            directives.push(directive);
        }
        Ok(Some(Section { header, kind, name, directives, lines: BTreeMap::new() }))
    }
}

fn check_line(file: &str, index: usize, line: &str) -> Result<(), ParseError> {
    let error = |message| Err(ParseError { file: file.into(), line: index + 1, message });
    if index >= MAX_LINES {
        return error(format!("the file has more than {MAX_LINES} lines"));
    }
    if line.len() > MAX_LINE_BYTES {
        return error(format!("the line is longer than {MAX_LINE_BYTES} bytes"));
    }
    match line.chars().find(|c| c.is_control() && *c != '\t') {
        Some(c) => error(format!("control character {c:?} is not allowed")),
        None => Ok(()),
    }
}

/// Parses a section header, `[KIND]` or `[KIND NAME]`, into its kind and name.
fn parse_header<'a>(header: &Directive<'a>) -> Result<(&'a str, Option<&'a str>), ParseError> {
    let words = match *header.words() {
        [word] => word.strip_prefix('[').and_then(|word| word.strip_suffix(']')).map(|kind| (kind, None)),
        [kind, name] => {
            kind.strip_prefix('[').zip(name.strip_suffix(']')).map(|(kind, name)| (kind, Some(name)))
        }
        _ => None,
    };
    match words {
        Some((kind, _)) if kind.is_empty() || kind.contains(['[', ']']) => Err(header_error(header)),
        Some((_, Some(""))) => Err(header.error("the section name is empty")),
        Some(kind_and_name) => Ok(kind_and_name),
        None => Err(header_error(header)),
    }
}

fn header_error(header: &Directive<'_>) -> ParseError {
    if header.name().starts_with('[') {
        header.error("expected a section header: [KIND] or [KIND NAME]")
    } else {
        header.error(format!("{} appears before the first section", header.name()))
    }
}

/// A section: its header and its directives.
pub(crate) struct Section<'a> {
    header: Directive<'a>,
    kind: &'a str,
    name: Option<&'a str>,
    directives: Vec<Directive<'a>>,
    /// Lines of the directives that were checked by [`Section::check_first`], by name.
    lines: BTreeMap<&'a str, usize>,
}

impl<'a> Section<'a> {
    /// Returns the kind, the first word in the brackets.
    pub(crate) fn kind(&self) -> &'a str {
        self.kind
    }

    /// Returns the name, the second word in the brackets, if there is one.
    pub(crate) fn name(&self) -> Option<&'a str> {
        self.name
    }

    /// Returns the line number of the header, from 1.
    pub(crate) fn line(&self) -> usize {
        self.header.line()
    }

    /// Creates an error about the section as a whole.
    pub(crate) fn error(&self, message: impl Into<String>) -> ParseError {
        self.header.error(message)
    }

    /// Removes and returns the directives, in file order.
    pub(crate) fn take_directives(&mut self) -> Vec<Directive<'a>> {
        std::mem::take(&mut self.directives)
    }

    /// Checks that a directive that may occur once has not occurred before.
    ///
    /// # Errors
    /// Returns a [`ParseError`] with the line of the earlier occurrence.
    pub(crate) fn check_first(&mut self, directive: &Directive<'a>) -> Result<(), ParseError> {
        let name = directive.name();
        match self.lines.insert(name, directive.line()) {
            None => Ok(()),
            Some(line) => Err(directive.error(format!("duplicate {name}; the first is in line {line}"))),
        }
    }

    /// Reports whether a directive was checked by [`Section::check_first`].
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.lines.contains_key(name)
    }

    /// Creates the error for a directive that the section does not have.
    pub(crate) fn unknown_directive(&self, directive: &Directive<'_>) -> ParseError {
        directive.error(format!("unknown directive {} in [{}]", directive.name(), self.kind))
    }
}
