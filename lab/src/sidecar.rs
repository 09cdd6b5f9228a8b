//! Frames of the sidecar protocol as a caller writes and reads them. Written apart from `asterrill-protocol`, so that a
//! mistake there shows.

use asterrill::Us;
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The type of a frame that carries an RPC.
pub const REQUEST: u8 = 1;
/// The type of a frame that carries the answer to an RPC.
pub const ANSWER: u8 = 2;
/// The type of a frame that asks whether the backend is healthy.
pub const HEALTH_CHECK: u8 = 4;
/// The type of a frame that answers a health check.
pub const HEALTH: u8 = 5;
/// The type of a frame by which a backend says that it drains.
pub const DRAINING: u8 = 6;

/// The code of an answer with a result.
pub const OK: u8 = 0;
/// The code of an answer that is final and without a result: the RPC may have run.
pub const ABORTED: u8 = 5;
/// The code of an answer that rejects an RPC which has not run.
pub const REJECTED: u8 = 11;

/// RPCs that a sidecar opens on one connection at the most.
pub const MAX_STREAMS: usize = 32;

const HEAD: usize = 5; // bytes that the length counts before the payload: the type and the stream

/// One frame.
#[derive(Clone, Debug)]
pub struct Frame {
    /// One of the types above.
    pub kind: u8,
    /// The stream, 0 for the connection as a whole.
    pub stream: u32,
    /// What follows the head.
    pub payload: Vec<u8>,
}

impl Frame {
    /// The code of an answer, or of an answer to a health check.
    pub fn code(&self) -> Option<u8> {
        self.payload.first().copied()
    }

    /// Whether it answers the RPC of a stream.
    pub fn answers(&self, stream: u32) -> bool {
        self.kind == ANSWER && self.stream == stream
    }
}

/// Reads the next frame; none at the end of the connection or at a frame that is too short.
pub fn read_frame(from: &mut TcpStream) -> Option<Frame> {
    let mut head = [0; 4 + HEAD];
    from.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let mut payload = vec![0; length.checked_sub(HEAD)?];
    from.read_exact(&mut payload).ok()?;
    let stream = u32::from_be_bytes(head[5..].try_into().ok()?);
    Some(Frame { kind: head[4], stream, payload })
}

/// Encodes a frame.
pub fn encode_frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() + HEAD) as u32;
    [&length.to_be_bytes()[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

/// Encodes a health check.
pub fn encode_health_check(stream: u32) -> Vec<u8> {
    encode_frame(HEALTH_CHECK, stream, &[0])
}

/// What a sidecar says of one RPC.
#[derive(Clone, Copy, Debug)]
pub struct RpcHeader<'a> {
    /// The method's name.
    pub method: &'a str,
    /// Identifies the RPC in traces.
    pub trace: u64,
    /// The caller's number.
    pub caller: u64,
    /// How long the caller waits for the answer.
    pub timeout: Duration,
    /// The tenant on whose behalf it is called.
    pub tenant: Option<&'a str>,
}

impl RpcHeader<'_> {
    /// Encodes the frame of an RPC that is made now.
    pub fn encode(&self, stream: u32, body: &[u8]) -> Vec<u8> {
        let mut fields = vec![
            ("route", self.method.to_string()),
            ("trace", format!("{:016x}", self.trace)),
            ("born", (unix_us() / 1_000).to_string()),
            ("client", self.caller.to_string()),
            ("patience", self.timeout.as_millis().to_string()),
            ("size", "4".to_string()),
        ];
        fields.extend(self.tenant.map(|tenant| ("customer", tenant.to_string())));
        encode_request(stream, &fields, body)
    }
}

/// Encodes an RPC's frame: the count of fields, each field with its lengths, the body.
fn encode_request(stream: u32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        let (name_length, value_length) = (name.len() as u8, value.len() as u16);
        payload.push(name_length);
        payload.extend_from_slice(name.as_bytes());
        payload.extend_from_slice(&value_length.to_be_bytes());
        payload.extend_from_slice(value.as_bytes());
    }
    payload.extend_from_slice(body);
    encode_frame(REQUEST, stream, &payload)
}

/// The payload of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// One of the codes above.
    pub code: u8,
    /// Names and values.
    pub fields: Vec<(String, String)>,
    /// The result of the run.
    pub body: Vec<u8>,
}

impl Answer {
    /// Parses an answer's payload; none if a length leads beyond its end.
    pub fn parse(payload: &[u8]) -> Option<Answer> {
        let (code, count) = (*payload.first()?, *payload.get(1)?);
        let (mut rest, mut fields) = (payload.get(2..)?, Vec::new());
        for _ in 0..count {
            let size = usize::from(*rest.first()?);
            let name = String::from_utf8_lossy(rest.get(1..1 + size)?).into_owned();
            rest = rest.get(1 + size..)?;
            let size = usize::from(u16::from_be_bytes(rest.get(..2)?.try_into().ok()?));
            let value = String::from_utf8_lossy(rest.get(2..2 + size)?).into_owned();
            rest = rest.get(2 + size..)?;
            fields.push((name, value));
        }
        Some(Answer { code, fields, body: rest.to_vec() })
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// Microseconds since the Unix epoch.
pub fn unix_us() -> Us {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Us)
}
