//! Commands to the agent that owns the cores, and what it tells.

use crate::line_reader::LineReader;
use crate::ProtocolError;
use asterrill::{Gauges, RpcId, RunEnd, Us};
use std::io::Write;

/// The number of a notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NoticeId(pub u64);

#[derive(Debug, PartialEq)]
pub enum Notice<'a> {
    /// The agent is up: whether it started without what makes it warm, and how long ago.
    Greeting { empty: bool, ago: Us },
    /// A run is over; with the result where it is ok. A result too long to be passed on is none.
    Ended(NoticeId, RpcId, RunEnd, &'a [u8]),
    /// A run waits for a call with this body; none where it is too long to be passed on.
    CallNeeded(NoticeId, RpcId, Option<&'a [u8]>),
    /// The gauges in the order of the settings, as asked for under a number.
    Sampled(u64, Vec<f64>),
    /// Whether the work of a thorough health check got done.
    Exercised(u64, bool),
    /// A command about this RPC was not carried out; whether it was to run it.
    Refused { launch: bool, id: Option<RpcId> },
    /// A remark.
    Aside(NoticeId),
}

/// Reads what the agent tells.
#[derive(Default)]
pub struct Reader(LineReader);

impl Reader {
    /// Takes from `input` up to the end of the next notice. Without one all of `input` has been taken.
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
            let empty = match word()? {
                "EMPTY" => true,
                "LOADED" => false,
                _ => return None,
            };
            Notice::Greeting { empty, ago: milliseconds(word()?)? }
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
        "aside" => Notice::Aside(NoticeId(word()?.parse().ok()?)),
        _ => return None,
    })
}

fn milliseconds(word: &str) -> Option<Us> {
    word.parse::<f64>().ok().filter(|ms| *ms >= 0.0 && *ms < 1e15).map(|ms| (ms * 1000.0) as Us)
}

/// The gauges the module reads, out of what the agent sampled, by their names in order.
pub fn gauges(names: &[String], values: &[f64]) -> Gauges {
    let gauge = |name: &str| names.iter().position(|n| n == name).and_then(|i| values.get(i)).copied();
    Gauges { on_cores: gauge("on_cores"), heap_share: gauge("heap_share"), links: gauge("links") }
}

/// Writing into memory can't fail.
fn put(to: &mut Vec<u8>, line: std::fmt::Arguments<'_>) {
    to.write_fmt(line).unwrap_or_default();
}

pub fn subscribe(to: &mut Vec<u8>, last: NoticeId) {
    put(to, format_args!("subscribe {}\r\n", last.0));
}

/// What goes before the body of a run, which CR LF follows.
pub fn launch(to: &mut Vec<u8>, id: RpcId, method: &str, length: usize) {
    put(to, format_args!("launch {} {method} {length}\r\n", id.as_str()));
}

pub fn stop(to: &mut Vec<u8>, id: RpcId) {
    put(to, format_args!("freeze {}\r\n", id.as_str()));
}

/// What goes before the reply to a call, which CR LF follows.
pub fn deliver(to: &mut Vec<u8>, id: RpcId, length: usize) {
    put(to, format_args!("deliver {} {length}\r\n", id.as_str()));
}

/// The run goes on without the call that this notice asked for.
pub fn skip(to: &mut Vec<u8>, id: RpcId, asked: NoticeId) {
    put(to, format_args!("forgo {} {}\r\n", id.as_str(), asked.0));
}

pub fn sample(to: &mut Vec<u8>, tag: u64) {
    put(to, format_args!("sample {tag}\r\n"));
}

pub fn exercise(to: &mut Vec<u8>, tag: u64) {
    put(to, format_args!("exercise {tag}\r\n"));
}
