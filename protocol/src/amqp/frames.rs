//! Decoding and encoding of frames (2.3.5, 4.2.3). The codec is given only complete frames of a bounded size and of a
//! type that the peer may send.

use super::depth;
use crate::ProtocolError;
use amq_protocol::frame::{gen_frame, parse_frame, AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::protocol::AMQPClass;

/// Maximum size of a frame that is proposed and accepted, in bytes, with its head of seven bytes and its end octet.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Frame size that each side must accept (4.2.3), in bytes. A lower maximum cannot be negotiated.
pub const MIN_FRAME_BYTES: usize = 4096;

/// Size of a frame's head in bytes: type, channel and size of the payload.
const HEAD_BYTES: usize = 7;
/// Upper bound of the maximum frame size of a [`FrameReader`], in bytes.
const MAX_CONFIGURABLE_FRAME_BYTES: usize = 1 << 24;
/// Class `basic`, the only one whose methods carry content (1.8).
pub(super) const CLASS_BASIC: u16 = 60;
/// Class and method of `connection.start` (1.4.2.1).
const CONNECTION_START: (u16, u16) = (10, 10);
/// Octet that ends each frame (4.2.3).
const FRAME_END: u8 = 206;
const TYPE_METHOD: u8 = 1;
const TYPE_HEADER: u8 = 2;
const TYPE_BODY: u8 = 3;
const TYPE_HEARTBEAT: u8 = 8;

/// Sender of the frames that are read. A broker and a client may send different methods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Broker. Only the methods that a broker sends to a consumer are accepted.
    Broker,
    /// Client. All methods are accepted.
    Client,
}

/// Class and method of each method that a broker may send to a consumer that publishes with confirms.
const BROKER_METHODS: [(u16, u16); 23] = [
    (10, 10),
    (10, 20),
    (10, 30),
    (10, 41),
    (10, 50),
    (10, 51),
    (10, 60),
    (10, 61),
    (20, 11),
    (20, 20),
    (20, 40),
    (20, 41),
    (60, 11),
    (60, 21),
    (60, 30),
    (60, 31),
    (60, 50),
    (60, 60),
    (60, 80),
    (60, 120),
    (60, 111),
    (85, 11),
    (10, 71),
];

/// Reader that collects and decodes one frame at a time.
pub struct FrameReader {
    origin: Origin,
    max_frame_size: usize,
    partial: Vec<u8>,
    /// First error; reading ends with it.
    failed: Option<ProtocolError>,
}

impl FrameReader {
    /// Returns a reader of frames from `origin` of at most `max_frame_size` bytes, clamped to 4 KiB to 16 MiB.
    pub fn new(origin: Origin, max_frame_size: usize) -> FrameReader {
        let max_frame_size = max_frame_size.clamp(MIN_FRAME_BYTES, MAX_CONFIGURABLE_FRAME_BYTES);
        FrameReader { origin, max_frame_size, partial: Vec::new(), failed: None }
    }

    /// Sets the negotiated maximum frame size, in bytes. It can't become larger than it is.
    pub fn set_max_frame_size(&mut self, max_frame_size: usize) {
        self.max_frame_size = max_frame_size.clamp(MIN_FRAME_BYTES, self.max_frame_size);
    }

    /// Reports whether a frame has been received in part.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Reads the next frame and advances `input` past it. Without a complete frame, all of `input` is consumed.
    ///
    /// # Errors
    /// Returns an error for an invalid frame, and the same error from every later call.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<AMQPFrame>, ProtocolError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let frame = self.collect(input);
        self.failed = frame.as_ref().err().cloned();
        frame
    }

    fn collect(&mut self, input: &mut &[u8]) -> Result<Option<AMQPFrame>, ProtocolError> {
        let frame_size = loop {
            let required = self.required_bytes()?;
            let (now, later) = input.split_at((required - self.partial.len()).min(input.len()));
            self.partial.extend_from_slice(now);
            *input = later;
            if self.partial.len() < required {
                return Ok(None);
            }
            if required > HEAD_BYTES {
                break required;
            }
        };
        let bytes = std::mem::take(&mut self.partial);
        if bytes.get(frame_size - 1) != Some(&FRAME_END) {
            return Err(ProtocolError("AMQP frame does not end with the octet 206"));
        }
        let frame = self.parse(&bytes);
        self.partial = bytes;
        self.partial.clear();
        frame.map(Some)
    }

    /// Returns the number of bytes to collect next: those of the head, then those of the complete frame.
    fn required_bytes(&self) -> Result<usize, ProtocolError> {
        let Some(kind) = self.partial.first() else { return Ok(HEAD_BYTES) };
        match *kind {
            TYPE_METHOD | TYPE_HEADER | TYPE_BODY | TYPE_HEARTBEAT => {}
            b'A' => return Err(ProtocolError("the broker does not support AMQP 0-9-1")),
            _ => return Err(ProtocolError("unknown AMQP frame type")),
        }
        let Some(size) = self.partial.get(3..HEAD_BYTES) else { return Ok(HEAD_BYTES) };
        let size = size.iter().fold(0, |n, b| n << 8 | *b as usize);
        if HEAD_BYTES + size + 1 > self.max_frame_size {
            return Err(ProtocolError("AMQP frame exceeds the negotiated maximum frame size"));
        }
        Ok(HEAD_BYTES + size + 1)
    }

    /// Checks and decodes a complete frame.
    fn parse(&self, frame: &[u8]) -> Result<AMQPFrame, ProtocolError> {
        const MALFORMED: ProtocolError = ProtocolError("malformed AMQP frame");
        let payload = frame.get(HEAD_BYTES..frame.len() - 1).ok_or(MALFORMED)?;
        match frame.first().copied() {
            Some(TYPE_METHOD) => {
                let u16_at = |at: usize| Some(u16::from_be_bytes(payload.get(at..at + 2)?.try_into().ok()?));
                let method = u16_at(0).zip(u16_at(2)).ok_or(MALFORMED)?;
                if self.origin == Origin::Broker && !BROKER_METHODS.contains(&method) {
                    return Err(ProtocolError("AMQP method that a broker must not send to a consumer"));
                }
                if method == CONNECTION_START {
                    depth::check_start(payload)?;
                }
            }
            Some(TYPE_HEADER) => depth::check_content_header(payload)?,
            _ => {}
        }
        match parse_frame(frame) {
            Ok(([], frame)) => Ok(frame),
            _ => Err(MALFORMED),
        }
    }
}

/// Writes a frame of at most [`MAX_FRAME_BYTES`] bytes. Returns false and writes nothing if it is larger.
pub fn write_frame(to: &mut Vec<u8>, frame: &AMQPFrame) -> bool {
    let start = to.len();
    let size = match frame {
        AMQPFrame::Body(_, body) => body.len() + HEAD_BYTES + 1,
        AMQPFrame::Heartbeat(_) | AMQPFrame::ProtocolHeader(_) => HEAD_BYTES + 1,
        _ => MAX_FRAME_BYTES,
    };
    to.resize(start + size.min(MAX_FRAME_BYTES), 0);
    let written = match gen_frame(frame)(to[start..].as_mut().into()) {
        Ok(context) => Some(context.position as usize),
        Err(_) => None,
    };
    to.truncate(start + written.unwrap_or(0));
    written.is_some()
}

/// Writes a method that carries content: its frame, the content header, and body frames of at most `max_frame_size`
/// bytes. Returns false and writes nothing if the method or the header does not fit into a frame.
pub fn write_content(
    to: &mut Vec<u8>, channel: u16, method: AMQPClass, properties: AMQPProperties, body: &[u8],
    max_frame_size: usize,
) -> bool {
    let start = to.len();
    let (class_id, body_size) = (CLASS_BASIC, body.len() as u64);
    let header = AMQPContentHeader { class_id, body_size, properties };
    let mut fits = write_frame(to, &AMQPFrame::Method(channel, method))
        && write_frame(to, &AMQPFrame::Header(channel, class_id, Box::new(header)));
    for chunk in body.chunks(max_frame_size.clamp(MIN_FRAME_BYTES, MAX_FRAME_BYTES) - HEAD_BYTES - 1) {
        fits = fits && write_frame(to, &AMQPFrame::Body(channel, chunk.to_vec()));
    }
    if !fits {
        to.truncate(start);
    }
    fits
}
