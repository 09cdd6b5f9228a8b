//! Lines to sections of directives, and what is wrong with one.

use std::collections::BTreeMap;

/// What is wrong with a file, and where. Line 0 stands for the file as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {text}")]
pub struct ParseError {
    pub file: String,
    pub line: usize,
    pub text: String,
}

const LONGEST: usize = 1024; // bytes in a line
const MOST: usize = 10_000; // lines in a file

/// One directive: its words, without what is beyond `#`.
#[derive(Clone, Debug)]
pub(crate) struct Directive<'a> {
    file: &'a str,
    pub(crate) line: usize,
    pub(crate) words: Vec<&'a str>,
}

impl<'a> Directive<'a> {
    pub(crate) fn error(&self, text: impl Into<String>) -> ParseError {
        ParseError { file: self.file.into(), line: self.line, text: text.into() }
    }
    pub(crate) fn name(&self) -> &'a str {
        self.words.first().copied().unwrap_or("")
    }
    /// The one word after the name.
    pub(crate) fn one(&self) -> Result<&'a str, ParseError> {
        match self.words[..] {
            [_, word] => Ok(word),
            [name] => Err(self.error(format!("{name} wants a value"))),
            _ => Err(self.error(format!("{} wants one value, not {}", self.name(), self.words.len() - 1))),
        }
    }
    /// The two words after the name.
    pub(crate) fn two(&self) -> Result<(&'a str, &'a str), ParseError> {
        match self.words[..] {
            [_, one, two] => Ok((one, two)),
            _ => {
                let (name, given) = (self.name(), self.words.len() - 1);
                Err(self.error(format!("{name} wants two values, not {given}")))
            }
        }
    }
}

/// The lines of a file that say something.
pub(crate) struct Lines<'a> {
    file: &'a str,
    lines: std::iter::Peekable<std::vec::IntoIter<Directive<'a>>>,
}

impl<'a> Lines<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Result<Lines<'a>, ParseError> {
        let mut lines = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let mut directive = Directive { file, line: i + 1, words: Vec::new() };
            if i >= MOST {
                return Err(directive.error(format!("a file has {MOST} lines at most")));
            }
            if line.len() > LONGEST {
                return Err(directive.error(format!("a line has {LONGEST} bytes at most")));
            }
            if let Some(odd) = line.chars().find(|c| c.is_control() && *c != '\t') {
                return Err(directive.error(format!("the character {odd:?} does not belong in a line")));
            }
            directive.words = line.split('#').next().unwrap_or("").split_whitespace().collect();
            if !directive.words.is_empty() {
                lines.push(directive);
            }
        }
        Ok(Lines { file, lines: lines.into_iter().peekable() })
    }

    pub(crate) fn error(&self, text: &str) -> ParseError {
        ParseError { file: self.file.into(), line: 0, text: text.into() }
    }

    /// The next section, with all its directives.
    pub(crate) fn section(&mut self) -> Result<Option<Section<'a>>, ParseError> {
        let Some(head) = self.lines.next() else { return Ok(None) };
        let inner = |word: &'a str| word.strip_prefix('[').and_then(|word| word.strip_suffix(']'));
        let (kind, name) = match head.words[..] {
            [kind] => (inner(kind), None),
            [kind, name] => (kind.strip_prefix('['), name.strip_suffix(']')),
            _ => (None, None),
        };
        let fine = kind.filter(|kind| !kind.is_empty() && (head.words.len() == 1 || name.is_some()));
        let Some(kind) = fine.filter(|kind| !kind.contains(['[', ']'])) else {
            let text = if head.name().starts_with('[') {
                "a section begins with [KIND] or [KIND NAME]".to_string()
            } else {
                format!("{} stands before any section", head.name())
            };
            return Err(head.error(text));
        };
        if name == Some("") {
            return Err(head.error("a section's name is empty"));
        }
        let mut directives = Vec::new();
        while let Some(next) = self.lines.next_if(|next| !next.name().starts_with('[')) {
            directives.push(next);
        }
        Ok(Some(Section { head, kind, name, directives, seen: BTreeMap::new() }))
    }
}

/// A section: its head and its directives.
pub(crate) struct Section<'a> {
    head: Directive<'a>,
    kind: &'a str,
    name: Option<&'a str>,
    directives: Vec<Directive<'a>>,
    seen: BTreeMap<&'a str, usize>,
}

impl<'a> Section<'a> {
    pub(crate) fn kind(&self) -> &'a str {
        self.kind
    }
    pub(crate) fn name(&self) -> Option<&'a str> {
        self.name
    }
    pub(crate) fn line(&self) -> usize {
        self.head.line
    }
    pub(crate) fn error(&self, text: &str) -> ParseError {
        self.head.error(text)
    }
    /// Its directives, one after the other.
    pub(crate) fn take(&mut self) -> Vec<Directive<'a>> {
        std::mem::take(&mut self.directives)
    }
    /// A directive that may stand once.
    pub(crate) fn once(&mut self, directive: &Directive<'a>) -> Result<(), ParseError> {
        match self.seen.insert(directive.name(), directive.line) {
            None => Ok(()),
            Some(line) => {
                let name = directive.name();
                Err(directive.error(format!("{name} stands in line {line} already")))
            }
        }
    }
    pub(crate) fn has(&self, name: &str) -> bool {
        self.seen.contains_key(name)
    }
}
