//! Incremental parsing of the entries in a body, in chunks, so that a long text is never held in memory as a whole.

use super::error::RecordError;
use asterrill_entries::{read_step, Change, Configuration, GlobalSettings, StepError, MAX_CHANGES};

/// Minimum length of a chunk of lines that is parsed at once, in bytes.
const MIN_CHUNK_BYTES: usize = 1 << 16;

/// Parser of entries from lines. After an error, further lines are ignored, and `finish` returns the error.
pub(super) struct EntryReader {
    content: Result<Configuration, RecordError>,
    chunk: Vec<u8>,
    mode: ApplyMode,
}

enum ApplyMode {
    /// Applies each chunk as it is read, because the entries of a snapshot only set values.
    Snapshot,
    /// Collects all changes, because a step is applied completely or not at all.
    Step(Vec<Change>),
}

impl EntryReader {
    /// Creates a reader of a snapshot, which starts from an empty configuration.
    pub(super) fn snapshot() -> EntryReader {
        let content = Ok(Configuration::new(GlobalSettings::default()));
        EntryReader { content, chunk: Vec::new(), mode: ApplyMode::Snapshot }
    }

    /// Creates a reader of a step that changes `base`.
    pub(super) fn step(base: Configuration) -> EntryReader {
        EntryReader { content: Ok(base), chunk: Vec::new(), mode: ApplyMode::Step(Vec::new()) }
    }

    /// Adds a line, including its line end.
    pub(super) fn push_line(&mut self, line: &[u8]) {
        self.chunk.extend_from_slice(line);
        if self.chunk.len() >= MIN_CHUNK_BYTES {
            self.apply_chunk();
        }
    }

    /// Returns the resulting configuration, or the first error in the entries.
    pub(super) fn finish(mut self) -> Result<Configuration, RecordError> {
        self.apply_chunk();
        let changes = match self.mode {
            ApplyMode::Snapshot => Vec::new(),
            ApplyMode::Step(changes) => changes,
        };
        Ok(self.content?.apply(&changes)?)
    }

    fn apply_chunk(&mut self) {
        if let Err(error) = self.read_chunk() {
            self.content = Err(error);
        }
        self.chunk.clear();
    }

    fn read_chunk(&mut self) -> Result<(), RecordError> {
        let Ok(content) = &self.content else { return Ok(()) };
        let text = std::str::from_utf8(&self.chunk)?;
        let step = read_step(text, content)?;
        match &mut self.mode {
            ApplyMode::Snapshot => {
                self.content = Ok(content.apply(&step.changes)?);
            }
            ApplyMode::Step(changes) if changes.len() + step.changes.len() <= MAX_CHANGES => {
                changes.extend(step.changes);
            }
            ApplyMode::Step(_) => return Err(StepError::TooManyChanges.into()),
        }
        Ok(())
    }
}
