//! Reads the frames of one connection.

use super::message::{Frame, RpcRequest, StreamId, TYPE_CANCEL, TYPE_CHECK, TYPE_RPC};
use super::stream_ids::UsedStreams;
use crate::ProtocolError;
use asterrill::{CallerId, RpcId, Us};

/// Length, type and stream.
const HEAD_BYTES: usize = 9;
/// The least and the most that a frame's length may say: what follows the length itself.
const MIN_LENGTH: usize = 5;
const MAX_LENGTH: usize = 262_144;
/// The longest body of an RPC that is stored.
const MAX_RPC_BODY_BYTES: usize = 2048;
/// The longest value of a field that is stored.
const MAX_VALUE_BYTES: usize = 128;
/// Digits of an RPC's id.
const TRACE_DIGITS: usize = 16;
/// Times in milliseconds are under this, so that microseconds fit.
const MAX_MILLISECONDS: u64 = 1 << 50;
/// Sizes in kilobytes are under this.
const MAX_SIZE_KB: f64 = 2000.0;

/// The fields that are read; all others are passed over.
const FIELDS: [&str; 10] =
    ["route", "trace", "born", "client", "customer", "patience", "size", "order", "entity", "thorough"];

/// The part of a frame that is being read.
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

/// Reads what a sidecar sends on one connection.
pub struct Reader {
    element: Element,
    /// The bytes of the present element, as far as they are stored.
    stored: Vec<u8>,
    /// Bytes of the present element in all.
    need: usize,
    /// Bytes of the present element that were passed over.
    skipped: usize,
    /// Bytes of the frame after the present element.
    rest: usize,
    frame_type: u8,
    stream: StreamId,
    fields_left: u8,
    name: Vec<u8>,
    body: Vec<u8>,
    values: Vec<(&'static str, String)>,
    malformed: bool,
    used_streams: UsedStreams,
    highest_stream: StreamId,
    /// Reading ends with the first error.
    failed: Option<ProtocolError>,
}

impl Default for Reader {
    fn default() -> Reader {
        Reader {
            element: Element::Head,
            stored: Vec::new(),
            need: HEAD_BYTES,
            skipped: 0,
            rest: 0,
            frame_type: 0,
            stream: StreamId(0),
            fields_left: 0,
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
    /// In the middle of a frame.
    pub fn has_partial(&self) -> bool {
        self.element != Element::Head || !self.stored.is_empty()
    }

    /// Takes from `input` up to the end of the next frame, and hands it back. Without one all of `input` has been
    /// taken.
    ///
    /// # Errors
    /// Framing that can't be followed; every later call gives the same error.
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

    /// True at the end of a frame.
    fn read_frame(&mut self, input: &mut &[u8]) -> Result<bool, ProtocolError> {
        loop {
            if self.element == Element::Head && self.stored.is_empty() {
                self.need = HEAD_BYTES;
                self.skipped = 0;
            }
            let taken = (self.need - self.stored.len() - self.skipped).min(input.len());
            let (now, later) = input.split_at(taken);
            let most = match self.element {
                Element::Value => MAX_VALUE_BYTES,
                Element::Body => MAX_RPC_BODY_BYTES,
                _ => self.need,
            };
            let store = taken.min(most.saturating_sub(self.stored.len()));
            self.stored.extend_from_slice(&now[..store]);
            self.skipped += taken - store;
            *input = later;
            if self.stored.len() + self.skipped < self.need {
                return Ok(false);
            }
            if self.end_element()? {
                return Ok(true);
            }
        }
    }

    /// An element is complete. True at the end of a frame.
    fn end_element(&mut self) -> Result<bool, ProtocolError> {
        let complete = self.skipped == 0;
        match self.element {
            Element::Head => self.end_head(),
            Element::FieldCount => {
                self.fields_left = self.stored[0];
                self.next_field()
            }
            Element::NameLength => self.start_element(Element::Name, self.stored[0] as usize),
            Element::Name => {
                self.name = std::mem::take(&mut self.stored);
                self.start_element(Element::ValueLength, 2)
            }
            Element::ValueLength => self.start_element(Element::Value, big_endian(&self.stored)),
            Element::Value => {
                self.store_value(complete);
                self.fields_left -= 1;
                self.next_field()
            }
            Element::Body => {
                self.malformed |= !complete;
                std::mem::swap(&mut self.stored, &mut self.body);
                Ok(self.end_frame())
            }
        }
    }

    fn end_head(&mut self) -> Result<bool, ProtocolError> {
        let length = big_endian(&self.stored[..4]);
        self.frame_type = self.stored[4];
        self.stream = StreamId(big_endian(&self.stored[5..]) as u32);
        if !(MIN_LENGTH..=MAX_LENGTH).contains(&length) {
            return Err(ProtocolError("a frame's length is out of bounds"));
        }
        self.rest = length - MIN_LENGTH;
        self.values.clear();
        self.malformed = false;
        match self.frame_type {
            TYPE_RPC | TYPE_CHECK => {
                self.highest_stream = self.highest_stream.max(self.stream);
                if self.frame_type == TYPE_RPC && !self.used_streams.insert(self.stream) {
                    return Err(ProtocolError("a stream was used twice"));
                }
                self.start_element(Element::FieldCount, 1)
            }
            TYPE_CANCEL if self.stream > self.highest_stream => {
                Err(ProtocolError("a stream that was never used is given up"))
            }
            TYPE_CANCEL if self.rest == 0 => Ok(self.end_frame()),
            TYPE_CANCEL => Err(ProtocolError("a frame of type 3 has a payload")),
            _ => Err(ProtocolError("a frame's type is not known")),
        }
    }

    fn store_value(&mut self, complete: bool) {
        let Some(name) = FIELDS.iter().find(|name| name.as_bytes() == self.name) else { return };
        match std::str::from_utf8(&self.stored) {
            Ok(value) if complete => self.values.push((name, value.to_string())),
            _ => self.malformed = true,
        }
    }

    fn next_field(&mut self) -> Result<bool, ProtocolError> {
        if self.fields_left > 0 {
            return self.start_element(Element::NameLength, 1);
        }
        self.start_element(Element::Body, self.rest)
    }

    /// On to the next element, of this length. True where that is the end of the frame already.
    fn start_element(&mut self, element: Element, need: usize) -> Result<bool, ProtocolError> {
        self.rest = self.rest.checked_sub(need).ok_or(ProtocolError("a frame's fields don't parse"))?;
        self.stored.clear();
        self.element = element;
        self.need = need;
        self.skipped = 0;
        if need > 0 {
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

    /// The fields of an RPC; `None` if one is missing or out of its range.
    fn rpc_request(&self) -> Option<RpcRequest> {
        let is_trace =
            |text: &&str| text.len() == TRACE_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = self.value("trace").filter(is_trace)?;
        let arrived_at = self.milliseconds("born")?;
        let patience = match self.value("patience") {
            Some(_) => Some(self.milliseconds("patience")?),
            None => None,
        };
        // The rank is not used, but one out of its range shows that the frame is not to be trusted.
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
            deadline: patience.map(|patience| arrived_at + patience),
            size_kb: self.value("size")?.parse().ok().filter(|kb: &f64| *kb > 0.0 && *kb < MAX_SIZE_KB)?,
            key,
        })
    }

    fn value(&self, name: &str) -> Option<&str> {
        self.values.iter().find(|(field, _)| *field == name).map(|(_, value)| value.as_str())
    }

    /// A whole number of decimal digits, without a sign.
    fn integer(&self, name: &str) -> Option<u64> {
        self.value(name).filter(|value| value.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()
    }

    /// A time in milliseconds, as microseconds.
    fn milliseconds(&self, name: &str) -> Option<Us> {
        self.integer(name).filter(|ms| *ms < MAX_MILLISECONDS).map(|ms| ms * 1000)
    }
}

fn big_endian(bytes: &[u8]) -> usize {
    bytes.iter().fold(0, |number, byte| number << 8 | *byte as usize)
}
