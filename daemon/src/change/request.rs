//! Requests for a change of the configuration.

use asterrill_entries::Configuration;
use asterrill_rollout::StageOptions;

/// Maximum size of a text that is retained during validation, so that it can be validated again.
const MAX_RETAINED_TEXT_BYTES: usize = 512 * 1024;

/// Source of a change.
#[derive(Clone, Debug)]
pub enum ChangeSource {
    /// Text of a file: settings in JSON, or an operator's file.
    Text(String),
    /// Step, with one entry per line.
    Step(String),
    /// Configuration that was parsed already.
    Configuration(Configuration),
}

/// Request for a change.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Source of the change.
    pub source: ChangeSource,
    /// Version that the change was made from, if the request names it.
    pub base: Option<u64>,
    /// Options of the request.
    pub options: StageOptions,
}

impl ChangeRequest {
    /// Reports whether a copy may be retained during validation, to validate it again if another version is applied
    /// meanwhile.
    pub fn may_be_retained(&self) -> bool {
        match &self.source {
            ChangeSource::Text(text) | ChangeSource::Step(text) => text.len() <= MAX_RETAINED_TEXT_BYTES,
            ChangeSource::Configuration(_) => true,
        }
    }
}
