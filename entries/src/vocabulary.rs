//! The words of the platform for values of an enumeration, for reading and writing alike.

use crate::globals::UpstreamKind;
use asterrill::{FeedbackMode, Idempotency, StopMode};

/// The words of one field, each with its meaning.
pub(crate) type Words<T> = [(&'static str, T)];

/// `Effect` of a method.
pub(crate) const EFFECTS: &Words<Idempotency> = &[
    ("free", Idempotency::Idempotent),
    ("guarded", Idempotency::Keyed),
    ("single_shot", Idempotency::NonIdempotent),
];

/// `FamilyInfo.Below`.
pub(crate) const UPSTREAM_KINDS: &Words<UpstreamKind> =
    &[("off", UpstreamKind::None), ("shared", UpstreamKind::Shared), ("tier", UpstreamKind::Tier)];

/// `FamilyInfo.StopMode`.
pub(crate) const STOP_MODES: &Words<StopMode> =
    &[("off", StopMode::Off), ("abort", StopMode::Abort), ("suspend", StopMode::Suspend)];

/// `FamilyInfo.Say`.
pub(crate) const FEEDBACK_MODES: &Words<FeedbackMode> = &[
    ("off", FeedbackMode::Off),
    ("window", FeedbackMode::Credit),
    ("threshold", FeedbackMode::Threshold),
    ("share_of", FeedbackMode::AcceptProbability),
];

/// The meaning of a word.
pub(crate) fn meaning_of<T: Copy>(words: &Words<T>, word: &str) -> Option<T> {
    words.iter().find(|(candidate, _)| *candidate == word).map(|(_, meaning)| *meaning)
}

/// The word for a meaning.
pub(crate) fn word_for<T: PartialEq>(words: &Words<T>, meaning: T) -> &'static str {
    words.iter().find(|(_, candidate)| *candidate == meaning).map_or("", |(word, _)| word)
}
