//! Commands to the agent that owns the cores, and its notices. Both are lines of words, some followed by a body.

use crate::line_reader::LineReader;
use crate::ProtocolError;
use asterrill::{Gauges, RpcId, RunEnd, Us};
use std::io::Write;

/// Exclusive upper bound of times in milliseconds, so that they fit as microseconds.
const MAX_TIME_MS: f64 = 1e15;

/// Number of a notice. The numbers ascend over all connections to one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NoticeId(pub u64);

/// Notice from the agent.
#[derive(Debug, PartialEq)]
pub enum Notice<'a> {
    /// First notice on a connection.
    Greeting {
        /// Whether the agent started with empty caches, so that this server is cold.
        cold_start: bool,
        /// Time since the agent's start, in microseconds.
        uptime: Us,
    },
    /// End of a run, with its result if it is ok. A run whose result exceeds [`crate::MAX_BODY_BYTES`] counts as
    /// aborted.
    Ended(NoticeId, RpcId, RunEnd, &'a [u8]),
    /// Request of a run for an upstream call with this body, for which the run waits. The body is `None` if it exceeds
    /// [`crate::MAX_BODY_BYTES`].
    CallNeeded(NoticeId, RpcId, Option<&'a [u8]>),
    /// Values of the gauges, in the order of the settings, with the tag of the request.
    Sampled(u64, Vec<f64>),
    /// Result of the work of a thorough health check, with the tag of the request: true if it succeeded.
    Exercised(u64, bool),
    /// Command that the agent did not carry out.
    Refused {
        /// Whether the command was a launch.
        launch: bool,
        /// RPC that the command referred to.
        id: Option<RpcId>,
    },
    /// Notice that requires no action; only its number is recorded.
    Ignored(NoticeId),
}

/// Reader of the notices on one connection.
#[derive(Default)]
pub struct Reader(LineReader);

impl Reader {
    /// Reads the next notice and advances `input` past it. Without a complete notice, all of `input` is consumed.
    ///
    /// # Errors
    /// Returns an error for a line that is not a notice, and for a line or body that exceeds its maximum length.
    pub fn next<'a>(&'a mut self, input: &mut &[u8]) -> Result<Option<Notice<'a>>, ProtocolError> {
        match self.0.next(input, body_length)? {
            Some((line, body)) => parse_notice(line, body)
                .map(Some)
                .ok_or(ProtocolError("unknown or malformed notice from the agent")),
            None => Ok(None),
        }
    }
}

/// Returns the length of the body that follows a line; none if the line has no body.
fn body_length(line: &str) -> Result<Option<usize>, ProtocolError> {
    let mut words = line.split(' ');
    let last = match words.next() {
        Some("outcome") => words.nth(4),
        Some("request") => words.nth(2),
        _ => return Ok(None),
    };
    let length = last
        .and_then(|n| n.parse().ok())
        .ok_or(ProtocolError("expected a body length in a notice from the agent"))?;
    Ok(Some(length))
}

fn parse_notice<'a>(line: &str, body: Option<&'a [u8]>) -> Option<Notice<'a>> {
    let mut words = line.split(' ');
    let kind = words.next()?;
    let mut word = || words.next().filter(|w| !w.is_empty());
    Some(match kind {
        "greeting" => {
            let cold_start = match word()? {
                "EMPTY" => true,
                "LOADED" => false,
                _ => return None,
            };
            Notice::Greeting { cold_start, uptime: parse_milliseconds(word()?)? }
        }
        "outcome" => {
            let (number, id) = (NoticeId(word()?.parse().ok()?), RpcId::new(word()?)?);
            let end = match word()? {
                "PASS" if body.is_some() => RunEnd::Ok,
                "PASS" | "FAIL" => RunEnd::Aborted,
                "KILLED" => RunEnd::Stopped,
                "NOOP" => RunEnd::NotStarted,
                _ => return None,
            };
            Notice::Ended(number, id, end, body.unwrap_or(&[]))
        }
        "request" => Notice::CallNeeded(NoticeId(word()?.parse().ok()?), RpcId::new(word()?)?, body),
        "sampled" => {
            let tag = word()?.parse().ok()?;
            let values = words.map(|w| w.parse().ok().filter(|v: &f64| *v >= 0.0));
            Notice::Sampled(tag, values.collect::<Option<Vec<f64>>>()?)
        }
        "exercised" => {
            let tag = word()?.parse().ok()?;
            match word()? {
                "PASS" => Notice::Exercised(tag, true),
                "FAIL" => Notice::Exercised(tag, false),
                _ => return None,
            }
        }
        "refusal" => {
            let launch = word()? == "launch";
            Notice::Refused { launch, id: word().and_then(RpcId::new) }
        }
        "aside" => Notice::Ignored(NoticeId(word()?.parse().ok()?)),
        _ => return None,
    })
}

/// Parses a time in milliseconds and returns it in microseconds.
fn parse_milliseconds(word: &str) -> Option<Us> {
    word.parse::<f64>().ok().filter(|ms| *ms >= 0.0 && *ms < MAX_TIME_MS).map(|ms| (ms * 1000.0) as Us)
}

/// Returns the gauges that the decision module reads, selected from `values`, which are in the order of `names`.
pub fn gauges(names: &[String], values: &[f64]) -> Gauges {
    let gauge = |name: &str| names.iter().position(|n| n == name).and_then(|i| values.get(i)).copied();
    Gauges { runnable: gauge("on_cores"), memory_ratio: gauge("heap_share"), connections: gauge("links") }
}

/// Writes a line. The result is ignored because a write to a `Vec` can't fail.
fn write_line(to: &mut Vec<u8>, line: std::fmt::Arguments<'_>) {
    to.write_fmt(line).unwrap_or_default();
}

/// Writes a request for all notices after the notice `last`.
pub fn subscribe(to: &mut Vec<u8>, last: NoticeId) {
    write_line(to, format_args!("subscribe {}\r\n", last.0));
}

/// Writes the line that launches a run with a body of `length` bytes. The caller appends the body and CR LF.
pub fn launch(to: &mut Vec<u8>, id: RpcId, method: &str, length: usize) {
    write_line(to, format_args!("launch {} {method} {length}\r\n", id.as_str()));
}

/// Writes a command that stops a run.
pub fn stop(to: &mut Vec<u8>, id: RpcId) {
    write_line(to, format_args!("freeze {}\r\n", id.as_str()));
}

/// Writes the line that delivers the reply to an upstream call, of `length` bytes. The caller appends the reply and
/// CR LF.
pub fn deliver(to: &mut Vec<u8>, id: RpcId, length: usize) {
    write_line(to, format_args!("deliver {} {length}\r\n", id.as_str()));
}

/// Writes a command that lets a run continue without the upstream call that the notice `request` asked for.
pub fn skip(to: &mut Vec<u8>, id: RpcId, request: NoticeId) {
    write_line(to, format_args!("forgo {} {}\r\n", id.as_str(), request.0));
}

/// Writes a request for the gauges; the answer carries `tag`.
pub fn sample(to: &mut Vec<u8>, tag: u64) {
    write_line(to, format_args!("sample {tag}\r\n"));
}

/// Writes a request for the work of a thorough health check; the answer carries `tag`.
pub fn exercise(to: &mut Vec<u8>, tag: u64) {
    write_line(to, format_args!("exercise {tag}\r\n"));
}
