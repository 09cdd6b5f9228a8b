//! Entries of a body, taken in a piece at a time, so that a long text is never held completely.

use super::error::RecordError;
use asterrill_entries::{read_step, Change, Configuration, GlobalSettings, StepError, MAX_CHANGES};

/// Bytes of entries that are read and taken in together.
const PIECE_BYTES: usize = 1 << 16;

/// Reads entries from lines. After a mistake nothing more is taken in, and the mistake is reported at the end.
pub(super) struct EntryReader {
    content: Result<Configuration, RecordError>,
    piece: Vec<u8>,
    mode: Mode,
}

enum Mode {
    /// Each entry of a snapshot is put, so that pieces can go in one after the other.
    Snapshot,
    /// A step is applied completely or not at all.
    Step(Vec<Change>),
}

impl EntryReader {
    /// Reads a snapshot, from nothing.
    pub(super) fn snapshot() -> EntryReader {
        let content = Ok(Configuration::new(GlobalSettings::default()));
        EntryReader { content, piece: Vec::new(), mode: Mode::Snapshot }
    }

    /// Reads a step that changes `base`.
    pub(super) fn step(base: Configuration) -> EntryReader {
        EntryReader { content: Ok(base), piece: Vec::new(), mode: Mode::Step(Vec::new()) }
    }

    /// Takes a line, with its end.
    pub(super) fn push_line(&mut self, line: &[u8]) {
        self.piece.extend_from_slice(line);
        if self.piece.len() >= PIECE_BYTES {
            self.take_piece();
        }
    }

    /// What the entries make of the base, or what is wrong with them.
    pub(super) fn finish(mut self) -> Result<Configuration, RecordError> {
        self.take_piece();
        let changes = match self.mode {
            Mode::Snapshot => Vec::new(),
            Mode::Step(changes) => changes,
        };
        Ok(self.content?.apply(&changes)?)
    }

    fn take_piece(&mut self) {
        if let Err(damage) = self.read_piece() {
            self.content = Err(damage);
        }
        self.piece.clear();
    }

    fn read_piece(&mut self) -> Result<(), RecordError> {
        let Ok(content) = &self.content else { return Ok(()) };
        let text = std::str::from_utf8(&self.piece)?;
        let step = read_step(text, content)?;
        match &mut self.mode {
            Mode::Snapshot => {
                self.content = Ok(content.apply(&step.changes)?);
            }
            Mode::Step(changes) if changes.len() + step.changes.len() <= MAX_CHANGES => {
                changes.extend(step.changes);
            }
            Mode::Step(_) => return Err(StepError::TooManyChanges.into()),
        }
        Ok(())
    }
}
