//! The words of the platform for values of an enumeration, for reading and writing alike.

use crate::globals::UpstreamKind;
use asterrill::{FeedbackMode, Idempotency, StopMode};

/// The words of one field, each with its meaning.
pub(crate) type Keywords<T> = [(&'static str, T)];

/// `Effect` of a method.
pub(crate) const EFFECTS: &Keywords<Idempotency> = &[
    ("free", Idempotency::Idempotent),
    ("guarded", Idempotency::Keyed),
    ("single_shot", Idempotency::NonIdempotent),
];

/// `FamilyInfo.Below`.
pub(crate) const UPSTREAM_KINDS: &Keywords<UpstreamKind> =
    &[("off", UpstreamKind::None), ("shared", UpstreamKind::Shared), ("tier", UpstreamKind::Tier)];

/// `FamilyInfo.StopMode`.
pub(crate) const STOP_MODES: &Keywords<StopMode> =
    &[("off", StopMode::Off), ("abort", StopMode::Abort), ("suspend", StopMode::Suspend)];

/// `FamilyInfo.Say`.
pub(crate) const FEEDBACK_MODES: &Keywords<FeedbackMode> = &[
    ("off", FeedbackMode::Off),
    ("window", FeedbackMode::Credit),
    ("threshold", FeedbackMode::Threshold),
    ("share_of", FeedbackMode::AcceptProbability),
];

/// The meaning of a word.
pub(crate) fn parse_keyword<T: Copy>(keywords: &Keywords<T>, keyword: &str) -> Option<T> {
    keywords.iter().find(|(candidate, _)| *candidate == keyword).map(|(_, value)| *value)
}

/// The word for a meaning.
pub(crate) fn keyword_for<T: PartialEq>(keywords: &Keywords<T>, value: T) -> &'static str {
    keywords.iter().find(|(_, candidate)| *candidate == value).map_or("", |(keyword, _)| keyword)
}
