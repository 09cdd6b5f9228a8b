//! The sections of a file, each with its directives.

use crate::directive::Directive;
use crate::error::ParseError;
use std::collections::BTreeMap;
use std::iter::Peekable;

/// Most bytes of a line.
const MAX_LINE_BYTES: usize = 1024;
/// Most lines of a file.
const MAX_LINES: usize = 10_000;

/// Splits a file into sections.
pub(crate) struct SectionReader<'a> {
    file: &'a str,
    directives: Peekable<std::vec::IntoIter<Directive<'a>>>,
}

impl<'a> SectionReader<'a> {
    /// The sections of a text.
    ///
    /// # Errors
    /// The text or a line is too long, or a line has control characters.
    pub(crate) fn new(file: &'a str, text: &'a str) -> Result<SectionReader<'a>, ParseError> {
        let mut directives = Vec::new();
        for (index, line) in text.lines().enumerate() {
            // Before anything of it is stored.
            check_line(file, index, line)?;
            let directive = Directive::new(file, index + 1, line);
            if !directive.words().is_empty() {
                directives.push(directive);
            }
        }
        Ok(SectionReader { file, directives: directives.into_iter().peekable() })
    }

    /// An error of the file as a whole.
    pub(crate) fn error(&self, message: &str) -> ParseError {
        ParseError { file: self.file.into(), line: 0, message: message.into() }
    }

    /// The next section, with all its directives.
    ///
    /// # Errors
    /// Something else stands in its place.
    pub(crate) fn next_section(&mut self) -> Result<Option<Section<'a>>, ParseError> {
        let Some(head) = self.directives.next() else { return Ok(None) };
        let (kind, name) = parse_head(&head)?;
        let mut directives = Vec::new();
        while let Some(directive) = self.directives.next_if(|next| !next.name().starts_with('[')) {
            directives.push(directive);
        }
        Ok(Some(Section { head, kind, name, directives, lines: BTreeMap::new() }))
    }
}

fn check_line(file: &str, index: usize, line: &str) -> Result<(), ParseError> {
    let error = |message| Err(ParseError { file: file.into(), line: index + 1, message });
    if index >= MAX_LINES {
        return error(format!("a file has {MAX_LINES} lines at most"));
    }
    if line.len() > MAX_LINE_BYTES {
        return error(format!("a line has {MAX_LINE_BYTES} bytes at most"));
    }
    match line.chars().find(|c| c.is_control() && *c != '\t') {
        Some(c) => error(format!("the character {c:?} does not belong in a line")),
        None => Ok(()),
    }
}

/// The kind and the name of a section, from its first line: `[KIND]` or `[KIND NAME]`.
fn parse_head<'a>(head: &Directive<'a>) -> Result<(&'a str, Option<&'a str>), ParseError> {
    let words = match *head.words() {
        [word] => word.strip_prefix('[').and_then(|word| word.strip_suffix(']')).map(|kind| (kind, None)),
        [kind, name] => {
            kind.strip_prefix('[').zip(name.strip_suffix(']')).map(|(kind, name)| (kind, Some(name)))
        }
        _ => None,
    };
    match words {
        Some((kind, _)) if kind.is_empty() || kind.contains(['[', ']']) => Err(head_error(head)),
        Some((_, Some(""))) => Err(head.error("a section's name is empty")),
        Some(head) => Ok(head),
        None => Err(head_error(head)),
    }
}

fn head_error(head: &Directive<'_>) -> ParseError {
    if head.name().starts_with('[') {
        head.error("a section begins with [KIND] or [KIND NAME]")
    } else {
        head.error(format!("{} stands before any section", head.name()))
    }
}

/// A section: its first line and its directives.
pub(crate) struct Section<'a> {
    head: Directive<'a>,
    kind: &'a str,
    name: Option<&'a str>,
    directives: Vec<Directive<'a>>,
    /// The lines of the directives that were checked by [`Section::check_first`].
    lines: BTreeMap<&'a str, usize>,
}

impl<'a> Section<'a> {
    /// The first word in its brackets.
    pub(crate) fn kind(&self) -> &'a str {
        self.kind
    }

    /// The second word in its brackets.
    pub(crate) fn name(&self) -> Option<&'a str> {
        self.name
    }

    /// The number of its first line, from 1.
    pub(crate) fn line(&self) -> usize {
        self.head.line()
    }

    /// An error of the section as a whole.
    pub(crate) fn error(&self, message: impl Into<String>) -> ParseError {
        self.head.error(message)
    }

    /// Removes and returns its directives, in their order.
    pub(crate) fn take_directives(&mut self) -> Vec<Directive<'a>> {
        std::mem::take(&mut self.directives)
    }

    /// Checks that a directive which may be given once was not given before.
    ///
    /// # Errors
    /// It was.
    pub(crate) fn check_first(&mut self, directive: &Directive<'a>) -> Result<(), ParseError> {
        let name = directive.name();
        match self.lines.insert(name, directive.line()) {
            None => Ok(()),
            Some(line) => Err(directive.error(format!("{name} stands in line {line} already"))),
        }
    }

    /// Whether a directive was checked by [`Section::check_first`].
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.lines.contains_key(name)
    }

    /// The error for a directive that the section does not have.
    pub(crate) fn unknown_directive(&self, directive: &Directive<'_>) -> ParseError {
        directive.error(format!("[{}] has no directive {}", self.kind, directive.name()))
    }
}
