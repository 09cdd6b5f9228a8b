//! The sections `[broker]` and `[queue NAME]`.

use crate::lines::{Lines, ParseError};
use crate::units::{address, count_in, size_in, time_in};
use crate::Directives;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const DAY: u64 = 86_400 * S;
const QUEUES: usize = 64;

/// Bounds of an exponential backoff, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The first delay.
    pub min: u64,
    /// The longest delay.
    pub max: u64,
}

/// How long, and for how many deliveries at the most, redelivered messages are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupWindow {
    /// Microseconds.
    pub duration: u64,
    /// The most deliveries that are remembered at a time.
    pub max_entries: usize,
}

/// Where deliveries come from. Times are microseconds, sizes bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokerConfig {
    /// In order of preference, one at least.
    pub addresses: Vec<SocketAddr>,
    pub user: String,
    pub password_file: PathBuf,
    pub virtual_host: String,
    pub heartbeat: u64,
    /// The least and the longest pause before a connection is made anew.
    pub reconnect_backoff: Backoff,
    /// Longest body that is taken.
    pub max_body_bytes: u64,
    pub queues: Vec<QueueConfig>,
    line: usize,
}

/// Where a value comes from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValueSource {
    pub header: Option<String>,
    pub values: BTreeMap<String, String>,
    pub default_value: Option<String>,
}

/// What becomes of a redelivered message of a non-idempotent method that is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeliveryPolicy {
    Reject,
    Run,
}

/// One queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    pub name: String,
    /// The line where its section begins.
    pub line: usize,
    pub method: ValueSource,
    pub tenant: ValueSource,
    pub caller: ValueSource,
    pub prefetch: u16,
    pub processing_timeout: u64,
    pub max_attempts: u32,
    pub retry_backoff: Backoff,
    pub memory_kb: f64,
    pub dedup_window: DedupWindow,
    pub redelivery_policy: RedeliveryPolicy,
}

/// Reads the section `[broker]`.
pub(crate) fn broker(mut section: Directives<'_>) -> Result<BrokerConfig, ParseError> {
    let mut broker = BrokerConfig {
        addresses: Vec::new(),
        user: String::new(),
        password_file: PathBuf::new(),
        virtual_host: "/".into(),
        heartbeat: 10 * S,
        reconnect_backoff: Backoff { min: 100 * MS, max: 10 * S },
        max_body_bytes: 2048,
        queues: Vec::new(),
        line: section.line(),
    };
    for directive in section.take() {
        if directive.name() != "address" {
            section.once(&directive)?;
        }
        match directive.name() {
            "address" => {
                let at = address(&directive, directive.one()?)?;
                if broker.addresses.contains(&at) {
                    return Err(directive.error(format!("the address {at} is listed already")));
                }
                broker.addresses.push(at);
            }
            "user" => broker.user = directive.one()?.into(),
            "password-file" => broker.password_file = directive.one()?.into(),
            "virtual-host" => broker.virtual_host = directive.one()?.into(),
            "heartbeat" => broker.heartbeat = time_in(&directive, directive.one()?, S, 600 * S)?,
            "reconnect" => {
                let (least, most) = directive.two()?;
                let least = time_in(&directive, least, 10 * MS, 60 * S)?;
                let max = time_in(&directive, most, least, 600 * S)?;
                broker.reconnect_backoff = Backoff { min: least, max };
            }
            "body" => broker.max_body_bytes = size_in(&directive, directive.one()?, 1, 4096)?,
            other => return Err(directive.error(format!("[broker] has no directive {other}"))),
        }
    }
    for (name, fine) in [
        ("address", !broker.addresses.is_empty()),
        ("user", section.has("user")),
        ("password-file", section.has("password-file")),
    ] {
        if !fine {
            return Err(section.error(&format!("[broker] lacks {name}")));
        }
    }
    Ok(broker)
}

impl BrokerConfig {
    /// All but its queues.
    pub fn without_queues(mut self) -> BrokerConfig {
        (self.queues, self.line) = (Vec::new(), 0);
        self
    }

    /// Reads a section `[queue NAME]`.
    pub(crate) fn take(&mut self, mut section: Directives<'_>) -> Result<(), ParseError> {
        let name = section.name().unwrap_or("").to_string();
        if name.len() > 255 {
            return Err(section.error("a queue's name has 255 bytes at most"));
        }
        if let Some(other) = self.queues.iter().find(|queue| queue.name == name) {
            return Err(section.error(&format!("the queue {name} stands in line {} already", other.line)));
        }
        if self.queues.len() >= QUEUES {
            return Err(section.error(&format!("there are {QUEUES} queues at most")));
        }
        let mut queue = QueueConfig {
            name,
            line: section.line(),
            method: ValueSource::default(),
            tenant: ValueSource::default(),
            caller: ValueSource::default(),
            prefetch: 64,
            processing_timeout: 30 * S,
            max_attempts: 5,
            retry_backoff: Backoff { min: 100 * MS, max: 5 * S },
            memory_kb: 4.0,
            dedup_window: DedupWindow { duration: 600 * S, max_entries: 10_000 },
            redelivery_policy: RedeliveryPolicy::Reject,
        };
        for directive in section.take() {
            let name = directive.name();
            if !name.ends_with("-means") {
                section.once(&directive)?;
            }
            let (what, part) = name.split_once('-').unwrap_or((name, ""));
            let select = match what {
                "method" => Some(&mut queue.method),
                "tenant" => Some(&mut queue.tenant),
                "caller" => Some(&mut queue.caller),
                _ => None,
            };
            match (select, part) {
                (Some(select), "") => select.default_value = Some(directive.one()?.into()),
                (Some(select), "header") => select.header = Some(directive.one()?.into()),
                (Some(select), "means") => {
                    let (text, stands_for) = directive.two()?;
                    if select.header.is_none() {
                        return Err(directive.error(format!("{name} wants {what}-header before it")));
                    }
                    if select.values.insert(text.into(), stands_for.into()).is_some() {
                        return Err(directive.error(format!("{name} {text} is said already")));
                    }
                }
                (None, _) => match name {
                    "prefetch" => queue.prefetch = count_in(&directive, directive.one()?, 1, 16_384)? as u16,
                    "bound" => {
                        queue.processing_timeout = time_in(&directive, directive.one()?, 10 * MS, DAY)?
                    }
                    "attempts" => {
                        queue.max_attempts = count_in(&directive, directive.one()?, 1, 1000)? as u32
                    }
                    "pause" => {
                        let (least, most) = directive.two()?;
                        let least = time_in(&directive, least, MS, 60 * S)?;
                        let max = time_in(&directive, most, least, 3600 * S)?;
                        queue.retry_backoff = Backoff { min: least, max };
                    }
                    "memory" => {
                        let bytes = size_in(&directive, directive.one()?, 1 << 10, 2_000 << 10)?;
                        queue.memory_kb = bytes as f64 / 1024.0;
                    }
                    "remember" => {
                        let (span, most) = directive.two()?;
                        let span = time_in(&directive, span, S, 7 * DAY)?;
                        let max_entries = count_in(&directive, most, 0, 1_000_000)? as usize;
                        queue.dedup_window = DedupWindow { duration: span, max_entries };
                    }
                    "redelivered" => {
                        queue.redelivery_policy = match directive.one()? {
                            "reject" => RedeliveryPolicy::Reject,
                            "run" => RedeliveryPolicy::Run,
                            other => {
                                let text = format!("redelivered is reject or run, not {other}");
                                return Err(directive.error(text));
                            }
                        }
                    }
                    _ => return Err(directive.error(format!("[queue] has no directive {name}"))),
                },
                _ => return Err(directive.error(format!("[queue] has no directive {name}"))),
            }
        }
        if queue.method.default_value.is_none() && queue.method.header.is_none() {
            return Err(section.error("[queue] lacks method or method-header"));
        }
        self.queues.push(queue);
        Ok(())
    }

    /// What can be told only at the end of the file.
    pub(crate) fn whole(&self, lines: &Lines<'_>) -> Result<(), ParseError> {
        if self.queues.is_empty() {
            let error = lines.error("[broker] without a [queue NAME] has nothing to do");
            return Err(ParseError { line: self.line, ..error });
        }
        Ok(())
    }
}
