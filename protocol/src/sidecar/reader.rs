//! Reader of the frames of one connection.

use super::message::{Frame, RpcRequest, StreamId, TYPE_CANCEL, TYPE_HEALTH_CHECK, TYPE_RPC};
use super::stream_ids::UsedStreams;
use crate::ProtocolError;
use asterrill::{CallerId, RpcId, Us};

/// Size of a frame's head in bytes: its length, type and stream.
const HEAD_BYTES: usize = 9;
/// Minimum value of a frame's length field, in bytes. The length does not include the length field itself.
const MIN_FRAME_LENGTH_BYTES: usize = 5;
/// Maximum value of a frame's length field, in bytes.
const MAX_FRAME_LENGTH_BYTES: usize = 262_144;
/// Maximum length of the body of an RPC, in bytes. An RPC with a longer one is malformed.
const MAX_RPC_BODY_BYTES: usize = 2048;
/// Maximum length of the value of a field that is read, in bytes. An RPC with a longer one is malformed.
const MAX_VALUE_BYTES: usize = 128;
/// Number of hexadecimal digits of an RPC's id.
const RPC_ID_DIGITS: usize = 16;
/// Exclusive upper bound of times in milliseconds, so that they fit as microseconds.
const MAX_TIME_MS: u64 = 1 << 50;
/// Exclusive upper bound of the memory of an RPC, in kilobytes.
const MAX_SIZE_KB: f64 = 2000.0;

/// Names of the fields that are read. All others are skipped.
const FIELDS: [&str; 10] =
    ["route", "trace", "born", "client", "customer", "patience", "size", "order", "entity", "thorough"];

/// Part of a frame that is being read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Element {
    Head,
    FieldCount,
    NameLength,
    Name,
    ValueLength,
    Value,
    Body,
}

/// Reader of the frames that a sidecar sends on one connection.
pub struct Reader {
    element: Element,
    /// Stored bytes of the current element.
    stored: Vec<u8>,
    /// Total number of bytes of the current element.
    element_bytes: usize,
    /// Number of bytes of the current element that were skipped.
    skipped: usize,
    /// Number of bytes of the frame after the current element.
    remaining: usize,
    frame_type: u8,
    stream: StreamId,
    remaining_fields: u8,
    name: Vec<u8>,
    body: Vec<u8>,
    /// Values of the frame's fields. Of several fields with one name, the first counts.
    values: Vec<(&'static str, String)>,
    malformed: bool,
    used_streams: UsedStreams,
    highest_stream: StreamId,
    /// First error; reading ends with it.
    failed: Option<ProtocolError>,
}

impl Default for Reader {
    fn default() -> Reader {
        Reader {
            element: Element::Head,
            stored: Vec::new(),
            element_bytes: HEAD_BYTES,
            skipped: 0,
            remaining: 0,
            frame_type: 0,
            stream: StreamId(0),
            remaining_fields: 0,
            name: Vec::new(),
            body: Vec::new(),
            values: Vec::new(),
            malformed: false,
            used_streams: UsedStreams::default(),
            highest_stream: StreamId(0),
            failed: None,
        }
    }
}

impl Reader {
    /// Reports whether a frame has been received in part.
    pub fn has_partial(&self) -> bool {
        self.element != Element::Head || !self.stored.is_empty()
    }

    /// Releases the memory of the last frame, if no further one has been received in part.
    pub fn release_memory(&mut self) {
        if !self.has_partial() {
            self.stored = Vec::new();
            self.name = Vec::new();
            self.body = Vec::new();
            self.values = Vec::new();
        }
    }

    /// Returns the number of bytes that are stored for the current frame, or for the last one until they are released.
    pub fn stored_bytes(&self) -> usize {
        let values: usize = self.values.iter().map(|(_, value)| value.capacity()).sum();
        self.stored.capacity() + self.name.capacity() + self.body.capacity() + values
    }

    /// Reads the next frame and advances `input` past it. Without a complete frame, all of `input` is consumed.
    ///
    /// # Errors
    /// Returns an error for invalid framing, and the same error from every later call.
    pub fn next<'a>(&'a mut self, input: &mut &[u8]) -> Result<Option<Frame<'a>>, ProtocolError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        match self.read_frame(input) {
            Ok(false) => Ok(None),
            Ok(true) => Ok(Some(self.frame())),
            Err(error) => {
                self.failed = Some(error.clone());
                Err(error)
            }
        }
    }

    /// Reads up to the end of a frame. Returns false if `input` ended before it.
    fn read_frame(&mut self, input: &mut &[u8]) -> Result<bool, ProtocolError> {
        loop {
            if self.element == Element::Head && self.stored.is_empty() {
                self.element_bytes = HEAD_BYTES;
                self.skipped = 0;
            }
            let taken = (self.element_bytes - self.stored.len() - self.skipped).min(input.len());
            let (now, later) = input.split_at(taken);
            let max_stored = match self.element {
                Element::Value => MAX_VALUE_BYTES,
                Element::Body => MAX_RPC_BODY_BYTES,
                _ => self.element_bytes,
            };
            let store = taken.min(max_stored.saturating_sub(self.stored.len()));
            self.stored.extend_from_slice(&now[..store]);
            self.skipped += taken - store;
            *input = later;
            if self.stored.len() + self.skipped < self.element_bytes {
                return Ok(false);
            }
            if self.end_element()? {
                return Ok(true);
            }
        }
    }

    /// Processes the current element, which is complete. Returns whether the frame ends with it.
    fn end_element(&mut self) -> Result<bool, ProtocolError> {
        let complete = self.skipped == 0;
        match self.element {
            Element::Head => self.end_head(),
            Element::FieldCount => {
                self.remaining_fields = self.stored[0];
                self.start_field_or_body()
            }
            Element::NameLength => self.start_element(Element::Name, self.stored[0] as usize),
            Element::Name => {
                self.name = std::mem::take(&mut self.stored);
                self.start_element(Element::ValueLength, 2)
            }
            Element::ValueLength => self.start_element(Element::Value, big_endian(&self.stored)),
            Element::Value => {
                self.store_value(complete);
                self.remaining_fields -= 1;
                self.start_field_or_body()
            }
            Element::Body => {
                self.malformed |= !complete;
                std::mem::swap(&mut self.stored, &mut self.body);
                Ok(self.end_frame())
            }
        }
    }

    /// Checks the head of a frame and starts its next element. Returns whether the frame ends with its head.
    fn end_head(&mut self) -> Result<bool, ProtocolError> {
        let length = big_endian(&self.stored[..4]);
        self.frame_type = self.stored[4];
        self.stream = StreamId(big_endian(&self.stored[5..]) as u32);
        if !(MIN_FRAME_LENGTH_BYTES..=MAX_FRAME_LENGTH_BYTES).contains(&length) {
            return Err(ProtocolError("a frame's length is out of bounds"));
        }
        self.remaining = length - MIN_FRAME_LENGTH_BYTES;
        self.values.clear();
        self.malformed = false;
        match self.frame_type {
            TYPE_RPC | TYPE_HEALTH_CHECK => {
                self.highest_stream = self.highest_stream.max(self.stream);
                if self.frame_type == TYPE_RPC && !self.used_streams.insert(self.stream) {
                    return Err(ProtocolError("a stream was used twice"));
                }
                self.start_element(Element::FieldCount, 1)
            }
            TYPE_CANCEL if self.stream > self.highest_stream => {
                Err(ProtocolError("a stream that was never used is given up"))
            }
            TYPE_CANCEL if self.remaining == 0 => Ok(self.end_frame()),
            TYPE_CANCEL => Err(ProtocolError("a frame of type 3 has a payload")),
            _ => Err(ProtocolError("a frame's type is not known")),
        }
    }

    fn store_value(&mut self, complete: bool) {
        let Some(name) = FIELDS.iter().find(|name| name.as_bytes() == self.name) else { return };
        match std::str::from_utf8(&self.stored) {
            Ok(_) if complete && self.value(name).is_some() => {}
            Ok(value) if complete => self.values.push((name, value.to_string())),
            _ => self.malformed = true,
        }
    }

    fn start_field_or_body(&mut self) -> Result<bool, ProtocolError> {
        if self.remaining_fields > 0 {
            return self.start_element(Element::NameLength, 1);
        }
        self.start_element(Element::Body, self.remaining)
    }

    /// Starts the next element, of this length in bytes. Returns whether the frame ends with it because it is empty.
    fn start_element(&mut self, element: Element, bytes: usize) -> Result<bool, ProtocolError> {
        self.remaining =
            self.remaining.checked_sub(bytes).ok_or(ProtocolError("a frame's fields don't parse"))?;
        self.stored.clear();
        self.element = element;
        self.element_bytes = bytes;
        self.skipped = 0;
        if bytes > 0 {
            return Ok(false);
        }
        self.end_element()
    }

    fn end_frame(&mut self) -> bool {
        self.element = Element::Head;
        self.stored.clear();
        true
    }

    fn frame(&mut self) -> Frame<'_> {
        let stream = self.stream;
        match self.frame_type {
            TYPE_RPC => match self.rpc_request() {
                Some(request) if !self.malformed => Frame::Rpc(stream, request, &self.body),
                _ => Frame::Malformed(stream),
            },
            TYPE_CANCEL => Frame::Cancelled(stream),
            _ => Frame::HealthCheck(stream, self.value("thorough") == Some("1")),
        }
    }

    /// Returns the RPC of a frame; `None` if a field is missing or out of range.
    fn rpc_request(&self) -> Option<RpcRequest> {
        let is_rpc_id =
            |text: &&str| text.len() == RPC_ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = self.value("trace").filter(is_rpc_id)?;
        let arrived_at = self.milliseconds("born")?;
        let time_to_deadline = match self.value("patience") {
            Some(_) => Some(self.milliseconds("patience")?),
            None => None,
        };
        // The rank is not used, but a rank out of range indicates that the frame as a whole is malformed.
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
            caller: CallerId(self.integer("client")?),
            arrived_at,
            deadline: time_to_deadline.map(|time| arrived_at + time),
            size_kb: self.value("size")?.parse().ok().filter(|kb: &f64| *kb > 0.0 && *kb < MAX_SIZE_KB)?,
            key,
        })
    }

    fn value(&self, name: &str) -> Option<&str> {
        self.values.iter().find(|(field, _)| *field == name).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a field that consists of decimal digits only, without a sign.
    fn integer(&self, name: &str) -> Option<u64> {
        self.value(name).filter(|value| value.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()
    }

    /// Returns the value of a field that is a time in milliseconds, in microseconds.
    fn milliseconds(&self, name: &str) -> Option<Us> {
        self.integer(name).filter(|ms| *ms < MAX_TIME_MS).map(|ms| ms * 1000)
    }
}

fn big_endian(bytes: &[u8]) -> usize {
    bytes.iter().fold(0, |number, byte| number << 8 | *byte as usize)
}
