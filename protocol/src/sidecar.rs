//! Binary frames between sidecars and a backend. A frame may be far longer than what is kept of it: fields
//! that nobody asked for are passed over as they come.

use crate::ProtocolError;
use asterrill::{CallerId, Final, RpcId, Us};
use std::collections::BTreeSet;

/// A stream's number on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u32);

/// The streams that may be open on one connection.
pub const MAX_STREAMS: usize = 32;
/// The most bytes that one final answer takes besides its body.
pub const ANSWER_OVERHEAD_BYTES: usize = 128;

const SHORTEST: usize = 5;
const LONGEST: usize = 262_144;
const BODY: usize = 2048;
const VALUE: usize = 128; // the longest value of a field that is read here
const GAPS: usize = 128; // stream numbers left out on one connection

/// An RPC as a sidecar sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcRequest {
    pub id: RpcId,
    pub method: String,
    pub tenant: String,
    pub caller: CallerId,
    /// When it came to the machine.
    pub born: Us,
    /// When its caller stops waiting, where callers tell: some sites' never do.
    pub due: Option<Us>,
    pub size_kb: f64,
    pub key: Option<u64>,
}

#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    Rpc(StreamId, RpcRequest, &'a [u8]),
    /// An RPC with a field missing or odd, or a body too long: it can only be aborted.
    Malformed(StreamId),
    /// Nobody waits for this stream any more.
    Cancelled(StreamId),
    /// A health check; a thorough one wants to know whether work gets done.
    Check(StreamId, bool),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Head,
    Count,
    NameLength,
    Name,
    ValueLength,
    Value,
    Body,
}

/// Reads what a sidecar sends on one connection.
pub struct Reader {
    at: At,
    part: Vec<u8>,
    need: usize,
    /// Of the element: bytes not kept so far.
    passed: usize,
    /// Of the frame: bytes after the present element.
    rest: usize,
    kind: u8,
    stream: StreamId,
    fields: u8,
    name: Vec<u8>,
    body: Vec<u8>,
    values: Vec<(&'static str, String)>,
    odd: bool,
    used: Used,
    highest: StreamId,
    broken: Option<ProtocolError>,
}

impl Default for Reader {
    fn default() -> Reader {
        Reader {
            at: At::Head,
            part: Vec::new(),
            need: 9,
            passed: 0,
            rest: 0,
            kind: 0,
            stream: StreamId(0),
            fields: 0,
            name: Vec::new(),
            body: Vec::new(),
            values: Vec::new(),
            odd: false,
            used: Used::default(),
            highest: StreamId(0),
            broken: None,
        }
    }
}

const FIELDS: [&str; 10] =
    ["route", "trace", "born", "client", "customer", "patience", "size", "order", "entity", "thorough"];

impl Reader {
    /// In the middle of a frame.
    pub fn has_partial(&self) -> bool {
        self.at != At::Head || !self.part.is_empty()
    }

    /// Takes from `input` up to the end of the next frame that says something, and hands it back. Without
    /// one all of `input` has been taken.
    pub fn next<'a>(&'a mut self, input: &mut &[u8]) -> Result<Option<Frame<'a>>, ProtocolError> {
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        match self.until_frame(input) {
            Ok(false) => Ok(None),
            Ok(true) => Ok(Some(self.frame())),
            Err(broken) => {
                self.broken = Some(broken.clone());
                Err(broken)
            }
        }
    }

    fn until_frame(&mut self, input: &mut &[u8]) -> Result<bool, ProtocolError> {
        loop {
            if self.at == At::Head && self.part.is_empty() {
                (self.need, self.passed) = (9, 0);
            }
            let taken = (self.need - self.part.len() - self.passed).min(input.len());
            let (now, later) = input.split_at(taken);
            let kept = match self.at {
                At::Value => VALUE,
                At::Body => BODY,
                _ => self.need,
            };
            let keep = taken.min(kept.saturating_sub(self.part.len()));
            self.part.extend_from_slice(&now[..keep]);
            self.passed += taken - keep;
            *input = later;
            if self.part.len() + self.passed < self.need {
                return Ok(false);
            }
            if self.element()? {
                return Ok(true);
            }
        }
    }

    /// An element is whole. True at the end of a frame.
    fn element(&mut self) -> Result<bool, ProtocolError> {
        let whole = self.passed == 0;
        match self.at {
            At::Head => {
                let length = number(&self.part[..4]);
                self.kind = self.part[4];
                self.stream = StreamId(number(&self.part[5..]) as u32);
                if !(SHORTEST..=LONGEST).contains(&length) {
                    return Err(ProtocolError("a frame's length is out of bounds"));
                }
                self.rest = length - SHORTEST;
                self.values.clear();
                self.odd = false;
                match self.kind {
                    1 | 4 => {
                        self.highest = self.highest.max(self.stream);
                        if self.kind == 1 && !self.used.take(self.stream) {
                            return Err(ProtocolError("a stream was used twice"));
                        }
                        self.go(At::Count, 1)
                    }
                    3 if self.stream > self.highest => {
                        Err(ProtocolError("a stream that was never used is given up"))
                    }
                    3 if self.rest == 0 => Ok(self.end()),
                    3 => Err(ProtocolError("a frame of type 3 has a payload")),
                    _ => Err(ProtocolError("a frame's type is not known")),
                }
            }
            At::Count => {
                self.fields = self.part[0];
                self.next_field()
            }
            At::NameLength => self.go(At::Name, self.part[0] as usize),
            At::Name => {
                self.name = std::mem::take(&mut self.part);
                self.go(At::ValueLength, 2)
            }
            At::ValueLength => self.go(At::Value, number(&self.part)),
            At::Value => {
                if let Some(name) = FIELDS.iter().find(|n| n.as_bytes() == self.name) {
                    match std::str::from_utf8(&self.part) {
                        Ok(value) if whole => self.values.push((name, value.to_string())),
                        _ => self.odd = true,
                    }
                }
                self.fields -= 1;
                self.next_field()
            }
            At::Body => {
                self.odd |= !whole;
                std::mem::swap(&mut self.part, &mut self.body);
                Ok(self.end())
            }
        }
    }

    fn next_field(&mut self) -> Result<bool, ProtocolError> {
        if self.fields > 0 {
            return self.go(At::NameLength, 1);
        }
        self.go(At::Body, self.rest)
    }

    /// On to the next element, of this length. True where that is the end already.
    fn go(&mut self, at: At, need: usize) -> Result<bool, ProtocolError> {
        self.rest = self.rest.checked_sub(need).ok_or(ProtocolError("a frame's fields don't parse"))?;
        self.part.clear();
        (self.at, self.need, self.passed) = (at, need, 0);
        if need > 0 {
            return Ok(false);
        }
        self.element()
    }

    fn end(&mut self) -> bool {
        self.at = At::Head;
        self.part.clear();
        true
    }

    fn frame(&mut self) -> Frame<'_> {
        let stream = self.stream;
        let ask = if self.kind == 1 { self.ask() } else { None };
        let thorough = self.value("thorough") == Some("1");
        let body = &self.body[..];
        match (self.kind, ask) {
            (1, Some(ask)) if !self.odd => Frame::Rpc(stream, ask, body),
            (1, _) => Frame::Malformed(stream),
            (3, _) => Frame::Cancelled(stream),
            _ => Frame::Check(stream, thorough),
        }
    }

    fn value(&self, name: &str) -> Option<&str> {
        self.values.iter().find(|(n, _)| *n == name).map(|(_, v)| v.as_str())
    }

    fn ask(&self) -> Option<RpcRequest> {
        let id = self.value("trace").filter(|t| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit()))?;
        let whole =
            |name| self.value(name).filter(|v| v.bytes().all(|b| b.is_ascii_digit()))?.parse::<u64>().ok();
        let milliseconds = |name| whole(name).filter(|ms| *ms < 1 << 50);
        let born = milliseconds("born")? * 1000;
        // The rank is not used, but one out of its range tells of nonsense.
        let patience = match self.value("patience") {
            Some(_) => Some(milliseconds("patience")? * 1000),
            None => None,
        };
        let rank = self.value("order").map_or(Some(0.0), |rank| rank.parse::<f64>().ok());
        rank.filter(|rank| (0.0..1.0).contains(rank))?;
        let key = match self.value("entity") {
            Some(key) if key.starts_with('+') => return None,
            Some(key) => Some(u64::from_str_radix(key, 16).ok()?),
            None => None,
        };
        Some(RpcRequest {
            id: RpcId::new(id)?,
            method: self.value("route")?.to_string(),
            tenant: self.value("customer").unwrap_or("").to_string(),
            caller: CallerId(whole("client")?),
            born,
            due: patience.map(|patience| born + patience),
            size_kb: self.value("size")?.parse().ok().filter(|kb: &f64| *kb > 0.0 && *kb < 2000.0)?,
            key,
        })
    }
}

fn number(bytes: &[u8]) -> usize {
    bytes.iter().fold(0, |n, b| n << 8 | *b as usize)
}

/// Which stream numbers were taken: all up to one, and some beyond it.
#[derive(Default)]
struct Used {
    upto: u32,
    beyond: BTreeSet<u32>,
}

impl Used {
    fn take(&mut self, stream: StreamId) -> bool {
        if stream.0 <= self.upto || !self.beyond.insert(stream.0) {
            return false;
        }
        while self.beyond.first() == Some(&(self.upto + 1)) || self.beyond.len() > GAPS {
            self.upto = self.beyond.pop_first().unwrap_or(self.upto);
        }
        true
    }
}

/// Writes a final answer with the number that callers are told.
pub fn answer(to: &mut Vec<u8>, stream: StreamId, answer: Final<'_>, credit: Option<f64>) {
    let (code, body): (u8, &[u8]) = match answer {
        Final::Ok(result) => (0, result),
        Final::PushedBack { .. } => (11, &[]),
        Final::Aborted => (5, &[]),
    };
    let start = head(to, 2, stream);
    to.push(code);
    let mut fields = Fields::new(to);
    if let Some(credit) = credit {
        fields.add("advice", &format!("{credit:.4}"));
    }
    if let Final::PushedBack { terminal, come_back } = answer {
        if come_back > 0 {
            fields.add("pause", &come_back.div_ceil(1000).to_string());
        }
        if terminal {
            fields.add("terminal", "1");
        }
    }
    to.extend_from_slice(body);
    close(to, start);
}

/// Writes the answer to a health check.
pub fn health(to: &mut Vec<u8>, stream: StreamId, good: bool, credit: Option<f64>) {
    let start = head(to, 5, stream);
    to.push(u8::from(!good));
    let mut fields = Fields::new(to);
    if let Some(credit) = credit {
        fields.add("advice", &format!("{credit:.4}"));
    }
    close(to, start);
}

/// Writes an error that belongs to no RPC.
pub fn error(to: &mut Vec<u8>, text: &str) {
    let start = head(to, 2, StreamId(0));
    to.extend_from_slice(&[5, 0]);
    to.extend_from_slice(&text.as_bytes()[..text.len().min(ANSWER_OVERHEAD_BYTES / 2)]);
    close(to, start);
}

/// Writes that no new RPC is wanted on this connection.
pub fn leaving(to: &mut Vec<u8>) {
    let start = head(to, 6, StreamId(0));
    close(to, start);
}

fn head(to: &mut Vec<u8>, kind: u8, stream: StreamId) -> usize {
    let start = to.len();
    to.extend_from_slice(&[0, 0, 0, 0, kind]);
    to.extend_from_slice(&stream.0.to_be_bytes());
    start
}

fn close(to: &mut [u8], start: usize) {
    let length = (to.len() - start - 4) as u32;
    to[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

struct Fields<'a> {
    to: &'a mut Vec<u8>,
    count: usize,
}

impl<'a> Fields<'a> {
    fn new(to: &'a mut Vec<u8>) -> Fields<'a> {
        to.push(0);
        let count = to.len() - 1;
        Fields { to, count }
    }
    fn add(&mut self, name: &str, value: &str) {
        self.to[self.count] += 1;
        self.to.push(name.len() as u8);
        self.to.extend_from_slice(name.as_bytes());
        self.to.extend_from_slice(&(value.len() as u16).to_be_bytes());
        self.to.extend_from_slice(value.as_bytes());
    }
}
