//! The platform's keywords for enumerated values, shared by readers and writers.

use crate::globals::UpstreamKind;
use asterrill::{FeedbackMode, Idempotency, StopMode};

/// The keywords of one field, each with its value.
pub(crate) type Keywords<T> = [(&'static str, T)];

/// Keywords of a method's `Effect`.
pub(crate) const EFFECTS: &Keywords<Idempotency> = &[
    ("free", Idempotency::Idempotent),
    ("guarded", Idempotency::Keyed),
    ("single_shot", Idempotency::NonIdempotent),
];

/// Keywords of `FamilyInfo.Below`.
pub(crate) const UPSTREAM_KINDS: &Keywords<UpstreamKind> =
    &[("off", UpstreamKind::None), ("shared", UpstreamKind::Shared), ("tier", UpstreamKind::Tier)];

/// Keywords of `FamilyInfo.StopMode`.
pub(crate) const STOP_MODES: &Keywords<StopMode> =
    &[("off", StopMode::Off), ("abort", StopMode::Abort), ("suspend", StopMode::Suspend)];

/// Keywords of `FamilyInfo.Say`.
pub(crate) const FEEDBACK_MODES: &Keywords<FeedbackMode> = &[
    ("off", FeedbackMode::Off),
    ("window", FeedbackMode::Credit),
    ("threshold", FeedbackMode::Threshold),
    ("share_of", FeedbackMode::AcceptProbability),
];

/// Returns the value that a keyword stands for.
pub(crate) fn parse_keyword<T: Copy>(keywords: &Keywords<T>, keyword: &str) -> Option<T> {
    keywords.iter().find(|(candidate, _)| *candidate == keyword).map(|(_, value)| *value)
}

/// Returns the keyword for a value.
pub(crate) fn keyword_for<T: PartialEq>(keywords: &Keywords<T>, value: T) -> &'static str {
    keywords.iter().find(|(_, candidate)| *candidate == value).map_or("", |(keyword, _)| keyword)
}
