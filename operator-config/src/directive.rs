//! One line of a file: a directive with its values.

use crate::error::ParseError;

/// One directive: its words, without the comment.
#[derive(Clone, Debug)]
pub(crate) struct Directive<'a> {
    file: &'a str,
    line: usize,
    words: Vec<&'a str>,
}

impl<'a> Directive<'a> {
    /// The directive in a line; it has no words if the line is blank or a comment.
    pub(crate) fn new(file: &'a str, line: usize, text: &'a str) -> Directive<'a> {
        let without_comment = text.split('#').next().unwrap_or("");
        Directive { file, line, words: without_comment.split_whitespace().collect() }
    }

    /// The line's number, from 1.
    pub(crate) fn line(&self) -> usize {
        self.line
    }

    /// All words, the name first.
    pub(crate) fn words(&self) -> &[&'a str] {
        &self.words
    }

    /// The first word.
    pub(crate) fn name(&self) -> &'a str {
        self.words.first().copied().unwrap_or("")
    }

    /// An error in this line.
    pub(crate) fn error(&self, message: impl Into<String>) -> ParseError {
        ParseError { file: self.file.into(), line: self.line, message: message.into() }
    }

    /// The one word after the name.
    ///
    /// # Errors
    /// There is none, or there are several.
    pub(crate) fn value(&self) -> Result<&'a str, ParseError> {
        match self.words[..] {
            [_, value] => Ok(value),
            [name] => Err(self.error(format!("{name} wants a value"))),
            _ => Err(self.error(format!("{} wants one value, not {}", self.name(), self.value_count()))),
        }
    }

    /// The two words after the name.
    ///
    /// # Errors
    /// There are fewer or more.
    pub(crate) fn value_pair(&self) -> Result<(&'a str, &'a str), ParseError> {
        match self.words[..] {
            [_, first, second] => Ok((first, second)),
            _ => Err(self.error(format!("{} wants two values, not {}", self.name(), self.value_count()))),
        }
    }

    fn value_count(&self) -> usize {
        self.words.len().saturating_sub(1)
    }
}
