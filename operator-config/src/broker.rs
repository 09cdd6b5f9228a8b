//! The sections `[broker]` and `[queue NAME]`.

use crate::lines::{Lines, Mistake};
use crate::units::{address, count_in, size_in, time_in};
use crate::Directives;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const DAY: u64 = 86_400 * S;
const QUEUES: usize = 64;

/// Where deliveries come from. Times are microseconds, sizes bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Broker {
    /// In order of preference, one at least.
    pub addresses: Vec<SocketAddr>,
    pub user: String,
    pub password_file: PathBuf,
    pub virtual_host: String,
    pub heartbeat: u64,
    /// The least and the longest pause before a connection is made anew.
    pub reconnect: (u64, u64),
    /// Longest body that is taken.
    pub body: u64,
    pub queues: Vec<Queue>,
    line: usize,
}

/// Where a value comes from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Select {
    pub header: Option<String>,
    pub means: BTreeMap<String, String>,
    pub otherwise: Option<String>,
}

/// What becomes of a redelivered message of a non-idempotent method that is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Redelivered {
    Reject,
    Run,
}

/// One queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    pub name: String,
    /// The line where its section begins.
    pub line: usize,
    pub method: Select,
    pub tenant: Select,
    pub caller: Select,
    pub prefetch: u16,
    pub bound: u64,
    pub attempts: u32,
    pub pause: (u64, u64),
    pub size_kb: f64,
    pub remember: (u64, usize),
    pub redelivered: Redelivered,
}

/// Reads the section `[broker]`.
pub(crate) fn broker(mut section: Directives<'_>) -> Result<Broker, Mistake> {
    let mut broker = Broker {
        addresses: Vec::new(),
        user: String::new(),
        password_file: PathBuf::new(),
        virtual_host: "/".into(),
        heartbeat: 10 * S,
        reconnect: (100 * MS, 10 * S),
        body: 2048,
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
                    return Err(directive.mistake(format!("the address {at} is listed already")));
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
                broker.reconnect = (least, time_in(&directive, most, least, 600 * S)?);
            }
            "body" => broker.body = size_in(&directive, directive.one()?, 1, 4096)?,
            other => return Err(directive.mistake(format!("[broker] has no directive {other}"))),
        }
    }
    for (name, fine) in [
        ("address", !broker.addresses.is_empty()),
        ("user", section.has("user")),
        ("password-file", section.has("password-file")),
    ] {
        if !fine {
            return Err(section.mistake(&format!("[broker] lacks {name}")));
        }
    }
    Ok(broker)
}

impl Broker {
    /// All but its queues.
    pub fn without_queues(mut self) -> Broker {
        (self.queues, self.line) = (Vec::new(), 0);
        self
    }

    /// Reads a section `[queue NAME]`.
    pub(crate) fn take(&mut self, mut section: Directives<'_>) -> Result<(), Mistake> {
        let name = section.name().unwrap_or("").to_string();
        if name.len() > 255 {
            return Err(section.mistake("a queue's name has 255 bytes at most"));
        }
        if let Some(other) = self.queues.iter().find(|queue| queue.name == name) {
            return Err(section.mistake(&format!("the queue {name} stands in line {} already", other.line)));
        }
        if self.queues.len() >= QUEUES {
            return Err(section.mistake(&format!("there are {QUEUES} queues at most")));
        }
        let mut queue = Queue {
            name,
            line: section.line(),
            method: Select::default(),
            tenant: Select::default(),
            caller: Select::default(),
            prefetch: 64,
            bound: 30 * S,
            attempts: 5,
            pause: (100 * MS, 5 * S),
            size_kb: 4.0,
            remember: (600 * S, 10_000),
            redelivered: Redelivered::Reject,
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
                (Some(select), "") => select.otherwise = Some(directive.one()?.into()),
                (Some(select), "header") => select.header = Some(directive.one()?.into()),
                (Some(select), "means") => {
                    let (text, stands_for) = directive.two()?;
                    if select.header.is_none() {
                        return Err(directive.mistake(format!("{name} wants {what}-header before it")));
                    }
                    if select.means.insert(text.into(), stands_for.into()).is_some() {
                        return Err(directive.mistake(format!("{name} {text} is said already")));
                    }
                }
                (None, _) => match name {
                    "prefetch" => queue.prefetch = count_in(&directive, directive.one()?, 1, 16_384)? as u16,
                    "bound" => queue.bound = time_in(&directive, directive.one()?, 10 * MS, DAY)?,
                    "attempts" => queue.attempts = count_in(&directive, directive.one()?, 1, 1000)? as u32,
                    "pause" => {
                        let (least, most) = directive.two()?;
                        let least = time_in(&directive, least, MS, 60 * S)?;
                        queue.pause = (least, time_in(&directive, most, least, 3600 * S)?);
                    }
                    "memory" => {
                        let bytes = size_in(&directive, directive.one()?, 1 << 10, 2_000 << 10)?;
                        queue.size_kb = bytes as f64 / 1024.0;
                    }
                    "remember" => {
                        let (span, most) = directive.two()?;
                        let span = time_in(&directive, span, S, 7 * DAY)?;
                        queue.remember = (span, count_in(&directive, most, 0, 1_000_000)? as usize);
                    }
                    "redelivered" => {
                        queue.redelivered = match directive.one()? {
                            "reject" => Redelivered::Reject,
                            "run" => Redelivered::Run,
                            other => {
                                let text = format!("redelivered is reject or run, not {other}");
                                return Err(directive.mistake(text));
                            }
                        }
                    }
                    _ => return Err(directive.mistake(format!("[queue] has no directive {name}"))),
                },
                _ => return Err(directive.mistake(format!("[queue] has no directive {name}"))),
            }
        }
        if queue.method.otherwise.is_none() && queue.method.header.is_none() {
            return Err(section.mistake("[queue] lacks method or method-header"));
        }
        self.queues.push(queue);
        Ok(())
    }

    /// What can be told only at the end of the file.
    pub(crate) fn whole(&self, lines: &Lines<'_>) -> Result<(), Mistake> {
        if self.queues.is_empty() {
            let mistake = lines.mistake("[broker] without a [queue NAME] has nothing to do");
            return Err(Mistake { line: self.line, ..mistake });
        }
        Ok(())
    }
}
