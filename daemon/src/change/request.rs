//! A change as it is asked for.

use asterrill_entries::Configuration;
use asterrill_rollout::StageOptions;

/// Bytes of a text up to which it may be held while it is read, to be read again.
const MAX_RETAINED_TEXT_BYTES: usize = 512 * 1024;

/// What is handed in as a change.
#[derive(Clone, Debug)]
pub enum ChangeSource {
    /// A file's text: settings in JSON, or an operator's file.
    Text(String),
    /// A step, one entry a line.
    Step(String),
    /// Entries that were read already.
    Configuration(Configuration),
}

/// A change as it was asked for.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// What is handed in.
    pub source: ChangeSource,
    /// The version that it was made from, where that is given.
    pub base: Option<u64>,
    /// What else was asked for.
    pub options: StageOptions,
}

impl ChangeRequest {
    /// Whether a copy may be held while it is read, to read it again if another version came into force meanwhile.
    pub fn may_be_retained(&self) -> bool {
        match &self.source {
            ChangeSource::Text(text) | ChangeSource::Step(text) => text.len() <= MAX_RETAINED_TEXT_BYTES,
            ChangeSource::Configuration(_) => true,
        }
    }
}
