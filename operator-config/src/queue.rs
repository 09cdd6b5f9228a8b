//! A section `[queue NAME]`: what the deliveries of a queue mean, and how they are processed.

use crate::backoff::Backoff;
use crate::directive::Directive;
use crate::error::ParseError;
use crate::section::Section;
use crate::units::{DAY, HOUR, KIBIBYTE, MILLISECOND, MINUTE, SECOND};
use std::collections::BTreeMap;

/// Most bytes of a queue's name, as AMQP has it.
const MAX_NAME_BYTES: usize = 255;
/// Most deliveries that may be unacknowledged.
const MAX_PREFETCH: u64 = 16_384;
/// Most attempts of a delivery.
const MAX_ATTEMPTS: u64 = 1000;
/// Most deliveries that are remembered for deduplication.
const MAX_DEDUP_ENTRIES: u64 = 1_000_000;

/// Where a value of a delivery comes from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValueSource {
    /// The header that says it (`...-header`).
    pub header: Option<String>,
    /// What texts of that header stand for (`...-means`); others stand for themselves.
    pub values: BTreeMap<String, String>,
    /// The value where the header does not say it.
    pub default_value: Option<String>,
}

impl ValueSource {
    /// Reads a directive of `subject`, whose name ends in `suffix`.
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
                    return Err(directive.error(format!("{name} wants {subject}-header before it")));
                }
                if self.values.insert(text.into(), value.into()).is_some() {
                    return Err(directive.error(format!("{name} {text} is said already")));
                }
            }
            _ => return Err(unknown_directive(directive)),
        }
        Ok(())
    }
}

/// What becomes of a redelivered message of a non-idempotent method that is not remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeliveryPolicy {
    /// It is rejected: it may have run.
    Reject,
    /// It runs.
    Run,
}

/// How long, and for how many deliveries at the most, redelivered messages are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupWindow {
    /// Microseconds, 1 s to 7 d.
    pub duration: u64,
    /// Most deliveries that are remembered at a time, up to a million.
    pub max_entries: usize,
}

impl DedupWindow {
    fn read(directive: &Directive<'_>) -> Result<DedupWindow, ParseError> {
        let (duration, max_entries) = directive.value_pair()?;
        let duration = directive.parse_duration(duration, SECOND..=7 * DAY)?;
        let max_entries = directive.parse_count(max_entries, 0..=MAX_DEDUP_ENTRIES)?;
        Ok(DedupWindow { duration, max_entries: max_entries as usize })
    }
}

/// One queue. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Its name at the broker.
    pub name: String,
    /// The line where its section begins, from 1.
    pub line: usize,
    /// The method of a delivery (`method`, `method-header`, `method-means`).
    pub method: ValueSource,
    /// The tenant of a delivery (`tenant`, ...).
    pub tenant: ValueSource,
    /// The caller of a delivery (`caller`, ...).
    pub caller: ValueSource,
    /// Most unacknowledged deliveries, 1 to 16,384 (`prefetch`).
    pub prefetch: u16,
    /// How long a delivery may take until it is settled, 10 ms to 1 d (`bound`).
    pub processing_timeout: u64,
    /// Most attempts of a delivery, 1 to 1000 (`attempts`).
    pub max_attempts: u32,
    /// Delays between attempts (`pause`).
    pub retry_backoff: Backoff,
    /// Memory of a queued delivery in kB, 1 to 2000 (`memory`).
    pub memory_kb: f64,
    /// How redelivered messages are recognised (`remember`).
    pub dedup_window: DedupWindow,
    /// What becomes of those that are not (`redelivered`).
    pub redelivery_policy: RedeliveryPolicy,
}

impl QueueConfig {
    /// Reads the name of a queue.
    pub(crate) fn read_name(section: &Section<'_>) -> Result<String, ParseError> {
        let name = section.name().unwrap_or("");
        if name.len() > MAX_NAME_BYTES {
            return Err(section.error(format!("a queue's name has {MAX_NAME_BYTES} bytes at most")));
        }
        Ok(name.into())
    }

    /// Reads the directives of a queue.
    pub(crate) fn read(name: String, mut section: Section<'_>) -> Result<QueueConfig, ParseError> {
        let mut queue = QueueConfig::with_defaults(name, section.line());
        for directive in section.take_directives() {
            if !directive.name().ends_with("-means") {
                section.check_first(&directive)?;
            }
            queue.read_directive(&directive)?;
        }
        if queue.method.default_value.is_none() && queue.method.header.is_none() {
            return Err(section.error("[queue] lacks method or method-header"));
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
            processing_timeout: 30 * SECOND,
            max_attempts: 5,
            retry_backoff: Backoff { min: 100 * MILLISECOND, max: 5 * SECOND },
            memory_kb: 4.0,
            dedup_window: DedupWindow { duration: 10 * MINUTE, max_entries: 10_000 },
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
            "bound" => self.processing_timeout = directive.duration(10 * MILLISECOND..=DAY)?,
            "attempts" => self.max_attempts = directive.count(1..=MAX_ATTEMPTS)? as u32,
            "pause" => self.retry_backoff = Backoff::read(directive, MILLISECOND..=MINUTE, HOUR)?,
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
        other => Err(directive.error(format!("redelivered is reject or run, not {other}"))),
    }
}

fn unknown_directive(directive: &Directive<'_>) -> ParseError {
    directive.error(format!("[queue] has no directive {}", directive.name()))
}
