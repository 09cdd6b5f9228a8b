//! Frames of the sidecar protocol as a caller writes and reads them.
//!
//! The codec is independent of `asterrill-protocol`, so that a fault there is not repeated here and is found.

use asterrill::Us;
use rand::rngs::StdRng;
use rand::Rng;
use std::io::Read;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Type of a frame that carries an RPC.
pub const REQUEST: u8 = 1;
/// Type of a frame that carries the answer to an RPC.
pub const ANSWER: u8 = 2;
/// Type of a frame that requests a health check.
pub const HEALTH_CHECK: u8 = 4;
/// Type of a frame that answers a health check.
pub const HEALTH: u8 = 5;
/// Type of a frame with which a backend announces that it drains.
pub const DRAINING: u8 = 6;

/// Code of an answer with a result.
pub const OK: u8 = 0;
/// Code of a final answer without a result; the RPC may have run.
pub const ABORTED: u8 = 5;
/// Code of an answer that rejects an RPC that has not run.
pub const REJECTED: u8 = 11;

/// Maximum number of RPCs that a sidecar has open on one connection.
pub const MAX_STREAMS: usize = 32;

/// Bytes that the length field counts before the payload: the type and the stream.
const HEADER_BYTES: usize = 5;

/// A frame of the protocol.
#[derive(Clone, Debug)]
pub struct Frame {
    /// Frame type, one of the constants of this module.
    pub kind: u8,
    /// Stream id; 0 stands for the connection as a whole.
    pub stream: u32,
    /// Bytes after the header.
    pub payload: Vec<u8>,
}

impl Frame {
    /// Returns the code of an answer, or of the answer to a health check.
    pub fn code(&self) -> Option<u8> {
        self.payload.first().copied()
    }

    /// Reports whether the frame answers the RPC on a stream.
    pub fn answers(&self, stream: u32) -> bool {
        self.kind == ANSWER && self.stream == stream
    }
}

/// Reads the next frame. Returns `None` at the end of the connection or for a frame whose length is too small.
pub fn read_frame(from: &mut TcpStream) -> Option<Frame> {
    let mut header = [0; 4 + HEADER_BYTES];
    from.read_exact(&mut header).ok()?;
    let length = u32::from_be_bytes(header[..4].try_into().ok()?) as usize;
    let mut payload = vec![0; length.checked_sub(HEADER_BYTES)?];
    from.read_exact(&mut payload).ok()?;
    let stream = u32::from_be_bytes(header[5..].try_into().ok()?);
    Some(Frame { kind: header[4], stream, payload })
}

/// Encodes a frame.
pub fn encode_frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() + HEADER_BYTES) as u32;
    [&length.to_be_bytes()[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

/// Encodes a health check.
pub fn encode_health_check(stream: u32) -> Vec<u8> {
    encode_frame(HEALTH_CHECK, stream, &[0])
}

/// Returns the id of a new attempt. Loads with one seed are equal but for their ids, which are never repeated.
pub fn new_trace(rng: &mut StdRng) -> u64 {
    static ATTEMPTS: AtomicU64 = AtomicU64::new(0);
    rng.random::<u64>().wrapping_add(ATTEMPTS.fetch_add(1, Ordering::Relaxed))
}

/// Header of an RPC.
#[derive(Clone, Copy, Debug)]
pub struct RpcHeader<'a> {
    /// Name of the method.
    pub method: &'a str,
    /// Trace id of the RPC.
    pub trace: u64,
    /// Number of the caller.
    pub caller: u64,
    /// Time that the caller waits for the answer.
    pub timeout: Duration,
    /// Tenant on whose behalf the method is called.
    pub tenant: Option<&'a str>,
}

impl RpcHeader<'_> {
    /// Encodes the frame of an RPC that is issued at the current time.
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

/// Encodes the frame of an RPC: the number of fields, each field with its lengths, and the body.
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

/// Payload of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Answer code, one of the constants of this module.
    pub code: u8,
    /// Names and values of the fields.
    pub fields: Vec<(String, String)>,
    /// Result of the run.
    pub body: Vec<u8>,
}

impl Answer {
    /// Parses the payload of an answer. Returns `None` if a length exceeds the payload.
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

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// Returns the current time in microseconds since the Unix epoch.
pub fn unix_us() -> Us {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Us)
}
