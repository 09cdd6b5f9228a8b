//! Commands to the agent that owns the cores, and its notices. Lines of words, some with a body.

use crate::line_reader::LineReader;
use crate::ProtocolError;
use asterrill::{Gauges, RpcId, RunEnd, Us};
use std::io::Write;

/// The number of a notice; they ascend over all connections to one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NoticeId(pub u64);

/// What the agent reports.
#[derive(Debug, PartialEq)]
pub enum Notice<'a> {
    /// The first notice on a connection.
    Greeting {
        /// The agent started with empty caches: this server is cold.
        cold_start: bool,
        /// Since the agent's start, in microseconds.
        uptime: Us,
    },
    /// A run has ended, with its result if it is ok. A result over [`crate::MAX_BODY_BYTES`] counts as aborted.
    Ended(NoticeId, RpcId, RunEnd, &'a [u8]),
    /// A run waits for an upstream call with this body; `None` where it is over [`crate::MAX_BODY_BYTES`].
    CallNeeded(NoticeId, RpcId, Option<&'a [u8]>),
    /// The gauges in the order of the settings, for the request of this number.
    Sampled(u64, Vec<f64>),
    /// Whether the work of the thorough health check of this number got done.
    Exercised(u64, bool),
    /// A command was not carried out.
    Refused {
        /// It was a launch.
        launch: bool,
        /// The RPC that it was about.
        id: Option<RpcId>,
    },
    /// A notice without consequences; only its number counts.
    Ignored(NoticeId),
}

/// Reads the notices on one connection.
#[derive(Default)]
pub struct Reader(LineReader);

impl Reader {
    /// Takes from `input` up to the end of the next notice. Without one all of `input` has been taken.
    ///
    /// # Errors
    /// A line that is no notice, or whose length is out of bounds.
    pub fn next<'a>(&'a mut self, input: &mut &[u8]) -> Result<Option<Notice<'a>>, ProtocolError> {
        match self.0.next(input, length)? {
            Some((line, body)) => notice(line, body).map(Some),
            None => Ok(None),
        }
    }
}

fn length(line: &str) -> Result<Option<usize>, ProtocolError> {
    let mut words = line.split(' ');
    let last = match words.next() {
        Some("outcome") => words.nth(4),
        Some("request") => words.nth(2),
        _ => return Ok(None),
    };
    let length =
        last.and_then(|n| n.parse().ok()).ok_or(ProtocolError("a notice of the agent lacks its length"))?;
    Ok(Some(length))
}

fn notice<'a>(line: &str, body: Option<&'a [u8]>) -> Result<Notice<'a>, ProtocolError> {
    parse(line, body).ok_or(ProtocolError("a notice of the agent is not understood"))
}

fn parse<'a>(line: &str, body: Option<&'a [u8]>) -> Option<Notice<'a>> {
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
            Notice::Greeting { cold_start, uptime: milliseconds(word()?)? }
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

fn milliseconds(word: &str) -> Option<Us> {
    word.parse::<f64>().ok().filter(|ms| *ms >= 0.0 && *ms < 1e15).map(|ms| (ms * 1000.0) as Us)
}

/// The gauges that the decision module reads, out of the sampled `values`, which are in the order of `names`.
pub fn gauges(names: &[String], values: &[f64]) -> Gauges {
    let gauge = |name: &str| names.iter().position(|n| n == name).and_then(|i| values.get(i)).copied();
    Gauges { runnable: gauge("on_cores"), memory_ratio: gauge("heap_share"), connections: gauge("links") }
}

/// Writing into memory can't fail.
fn write_line(to: &mut Vec<u8>, line: std::fmt::Arguments<'_>) {
    to.write_fmt(line).unwrap_or_default();
}

/// Asks for all notices after this one.
pub fn subscribe(to: &mut Vec<u8>, last: NoticeId) {
    write_line(to, format_args!("subscribe {}\r\n", last.0));
}

/// Writes the line that announces a run and its body of `length` bytes; the body and CR LF follow.
pub fn launch(to: &mut Vec<u8>, id: RpcId, method: &str, length: usize) {
    write_line(to, format_args!("launch {} {method} {length}\r\n", id.as_str()));
}

/// Stops a run.
pub fn stop(to: &mut Vec<u8>, id: RpcId) {
    write_line(to, format_args!("freeze {}\r\n", id.as_str()));
}

/// Writes the line that announces the reply to an upstream call, of `length` bytes; the reply and CR LF follow.
pub fn deliver(to: &mut Vec<u8>, id: RpcId, length: usize) {
    write_line(to, format_args!("deliver {} {length}\r\n", id.as_str()));
}

/// Lets a run go on without the upstream call that the notice `needed` asked for.
pub fn skip(to: &mut Vec<u8>, id: RpcId, needed: NoticeId) {
    write_line(to, format_args!("forgo {} {}\r\n", id.as_str(), needed.0));
}

/// Asks for the gauges; the answer carries the tag.
pub fn sample(to: &mut Vec<u8>, tag: u64) {
    write_line(to, format_args!("sample {tag}\r\n"));
}

/// Asks for the work of a thorough health check; the answer carries the tag.
pub fn exercise(to: &mut Vec<u8>, tag: u64) {
    write_line(to, format_args!("exercise {tag}\r\n"));
}
