//! A directive with its values: one line of a file.

use crate::error::ParseError;

/// A directive, split into words and without the comment.
#[derive(Clone, Debug)]
pub(crate) struct Directive<'a> {
    file: &'a str,
    line: usize,
    words: Vec<&'a str>,
}

impl<'a> Directive<'a> {
    /// Parses a line. The directive has no words if the line is blank or a comment.
    pub(crate) fn new(file: &'a str, line: usize, text: &'a str) -> Directive<'a> {
        let without_comment = text.split('#').next().unwrap_or("");
        Directive { file, line, words: without_comment.split_whitespace().collect() }
    }

    /// Returns the line number, from 1.
    pub(crate) fn line(&self) -> usize {
        self.line
    }

    /// Returns all words, the name first.
    pub(crate) fn words(&self) -> &[&'a str] {
        &self.words
    }

    /// Returns the name, which is the first word.
    pub(crate) fn name(&self) -> &'a str {
        self.words.first().copied().unwrap_or("")
    }

    /// Creates an error about this line.
    pub(crate) fn error(&self, message: impl Into<String>) -> ParseError {
        ParseError { file: self.file.into(), line: self.line, message: message.into() }
    }

    /// Returns the single value, the word after the name.
    ///
    /// # Errors
    /// Returns a [`ParseError`] if there is no value or more than one.
    pub(crate) fn value(&self) -> Result<&'a str, ParseError> {
        match self.words[..] {
            [_, value] => Ok(value),
            [name] => Err(self.error(format!("{name} requires a value"))),
            _ => Err(self.error(format!("{} takes one value, found {}", self.name(), self.value_count()))),
        }
    }

    /// Returns the two values, the words after the name.
    ///
    /// # Errors
    /// Returns a [`ParseError`] if there are fewer or more than two values.
    pub(crate) fn value_pair(&self) -> Result<(&'a str, &'a str), ParseError> {
        match self.words[..] {
            [_, first, second] => Ok((first, second)),
            _ => Err(self.error(format!("{} takes two values, found {}", self.name(), self.value_count()))),
        }
    }

    fn value_count(&self) -> usize {
        self.words.len().saturating_sub(1)
    }
}
