//! The section `[queue NAME]`: how the deliveries of a queue map to RPCs and are processed.

use crate::backoff::Backoff;
use crate::directive::Directive;
use crate::error::ParseError;
use crate::section::Section;
use crate::units::{DAY_US, HOUR_US, KIBIBYTE, MILLISECOND_US, MINUTE_US, SECOND_US};
use std::collections::BTreeMap;

/// Maximum length of a queue's name in AMQP.
const MAX_NAME_BYTES: usize = 255;
/// Maximum number of unacknowledged deliveries.
const MAX_PREFETCH: u64 = 16_384;
/// Maximum number of attempts of a delivery.
const MAX_ATTEMPTS: u64 = 1000;
/// Maximum number of deliveries that are remembered for deduplication.
const MAX_DEDUP_ENTRIES: u64 = 1_000_000;

/// The source of a value of a delivery: a header, a default or both.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValueSource {
    /// The header that holds the value (`...-header`).
    pub header: Option<String>,
    /// Values by header text (`...-means`). A text that is not listed is the value itself.
    pub values: BTreeMap<String, String>,
    /// The value if the header does not give one.
    pub default_value: Option<String>,
}

impl ValueSource {
    /// Reads the directive `subject` or `subject-suffix`.
    fn read_directive(
        &mut self, directive: &Directive<'_>, subject: &str, suffix: &str,
    ) -> Result<(), ParseError> {
        match suffix {
            "" => self.default_value = Some(directive.value()?.into()),
            "header" => self.header = Some(directive.value()?.into()),
            "means" => {
                let name = directive.name();
                let (text, value) = directive.value_pair()?;
                if self.header.is_none() {
                    return Err(directive.error(format!("{name} requires {subject}-header before it")));
                }
                if self.values.insert(text.into(), value.into()).is_some() {
                    return Err(directive.error(format!("duplicate {name} {text}")));
                }
            }
            _ => return Err(unknown_directive(directive)),
        }
        Ok(())
    }
}

/// The handling of a redelivered message of a non-idempotent method that the deduplication window does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeliveryPolicy {
    /// Rejects the message, since it may have run.
    Reject,
    /// Runs the message.
    Run,
}

/// The bounds within which redelivered messages are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupWindow {
    /// The time for which a delivery is remembered, in microseconds, 1 s to 7 d.
    pub duration: u64,
    /// Maximum number of deliveries that are remembered at a time, up to a million.
    pub max_entries: usize,
}

impl DedupWindow {
    fn read(directive: &Directive<'_>) -> Result<DedupWindow, ParseError> {
        let (duration, max_entries) = directive.value_pair()?;
        let duration = directive.parse_duration(duration, SECOND_US..=7 * DAY_US)?;
        let max_entries = directive.parse_count(max_entries, 0..=MAX_DEDUP_ENTRIES)?;
        Ok(DedupWindow { duration, max_entries: max_entries as usize })
    }
}

/// A queue to consume from. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// The name of the queue at the broker.
    pub name: String,
    /// The line number of the section header, from 1.
    pub line: usize,
    /// The method of a delivery (`method`, `method-header`, `method-means`).
    pub method: ValueSource,
    /// The tenant of a delivery (`tenant`, ...).
    pub tenant: ValueSource,
    /// The caller of a delivery (`caller`, ...).
    pub caller: ValueSource,
    /// Maximum number of unacknowledged deliveries, 1 to 16,384 (`prefetch`).
    pub prefetch: u16,
    /// Maximum time until a delivery is settled, 10 ms to 1 d (`bound`).
    pub processing_timeout: u64,
    /// Maximum number of attempts of a delivery, 1 to 1000 (`attempts`).
    pub max_attempts: u32,
    /// The delays between attempts (`pause`).
    pub retry_backoff: Backoff,
    /// The memory that a queued delivery takes in kB, 1 to 2000 (`memory`).
    pub memory_kb: f64,
    /// The bounds within which redelivered messages are recognised (`remember`).
    pub dedup_window: DedupWindow,
    /// The handling of redelivered messages that are not recognised (`redelivered`).
    pub redelivery_policy: RedeliveryPolicy,
}

impl QueueConfig {
    /// Returns the name of the queue from the section header.
    pub(crate) fn read_name(section: &Section<'_>) -> Result<String, ParseError> {
        let name = section.name().unwrap_or("");
        if name.len() > MAX_NAME_BYTES {
            return Err(section.error(format!("the queue name is longer than {MAX_NAME_BYTES} bytes")));
        }
        Ok(name.into())
    }

    /// Reads the directives of the queue `name`.
    pub(crate) fn read(name: String, mut section: Section<'_>) -> Result<QueueConfig, ParseError> {
        let mut queue = QueueConfig::with_defaults(name, section.line());
        for directive in section.take_directives() {
            if !directive.name().ends_with("-means") {
                section.check_first(&directive)?;
            }
            queue.read_directive(&directive)?;
        }
        if queue.method.default_value.is_none() && queue.method.header.is_none() {
            return Err(section.error("[queue] requires method or method-header"));
        }
        Ok(queue)
    }

    fn with_defaults(name: String, line: usize) -> QueueConfig {
        QueueConfig {
            name,
            line,
            method: ValueSource::default(),
            tenant: ValueSource::default(),
            caller: ValueSource::default(),
            prefetch: 64,
            processing_timeout: 30 * SECOND_US,
            max_attempts: 5,
            retry_backoff: Backoff { min: 100 * MILLISECOND_US, max: 5 * SECOND_US },
            memory_kb: 4.0,
            dedup_window: DedupWindow { duration: 10 * MINUTE_US, max_entries: 10_000 },
            redelivery_policy: RedeliveryPolicy::Reject,
        }
    }

    fn read_directive(&mut self, directive: &Directive<'_>) -> Result<(), ParseError> {
        let (subject, suffix) = directive.name().split_once('-').unwrap_or((directive.name(), ""));
        match subject {
            "method" => self.method.read_directive(directive, subject, suffix),
            "tenant" => self.tenant.read_directive(directive, subject, suffix),
            "caller" => self.caller.read_directive(directive, subject, suffix),
            _ => self.read_processing_directive(directive),
        }
    }

    fn read_processing_directive(&mut self, directive: &Directive<'_>) -> Result<(), ParseError> {
        match directive.name() {
            "prefetch" => self.prefetch = directive.count(1..=MAX_PREFETCH)? as u16,
            "bound" => self.processing_timeout = directive.duration(10 * MILLISECOND_US..=DAY_US)?,
            "attempts" => self.max_attempts = directive.count(1..=MAX_ATTEMPTS)? as u32,
            "pause" => self.retry_backoff = Backoff::read(directive, MILLISECOND_US..=MINUTE_US, HOUR_US)?,
            "memory" => {
                let bytes = directive.size(KIBIBYTE..=2_000 * KIBIBYTE)?;
                self.memory_kb = bytes as f64 / KIBIBYTE as f64;
            }
            "remember" => self.dedup_window = DedupWindow::read(directive)?,
            "redelivered" => self.redelivery_policy = read_redelivery_policy(directive)?,
            _ => return Err(unknown_directive(directive)),
        }
        Ok(())
    }
}

fn read_redelivery_policy(directive: &Directive<'_>) -> Result<RedeliveryPolicy, ParseError> {
    match directive.value()? {
        "reject" => Ok(RedeliveryPolicy::Reject),
        "run" => Ok(RedeliveryPolicy::Run),
        other => Err(directive.error(format!("redelivered must be reject or run, found {other:?}"))),
    }
}

fn unknown_directive(directive: &Directive<'_>) -> ParseError {
    directive.error(format!("unknown directive {} in [queue]", directive.name()))
}
