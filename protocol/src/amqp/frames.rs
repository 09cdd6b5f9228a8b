//! Bytes to frames and back (2.3.5, 4.2.3). The codec only ever sees a frame that is complete, of a bounded size,
//! and of a type that the other side may send.

use super::depth;
use crate::ProtocolError;
use amq_protocol::frame::{gen_frame, parse_frame, AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::protocol::AMQPClass;

/// The largest frame that is proposed and accepted, in bytes, with its head of seven bytes and its end.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// The frame size that both sides must accept (4.2.3), in bytes.
pub const MIN_FRAME_BYTES: usize = 4096;

/// Type, channel and size of the payload.
const HEAD_BYTES: usize = 7;
/// No frame is larger, whatever is proposed.
const MAX_CONFIGURABLE_FRAME_BYTES: usize = 1 << 24;
/// The class that carries content (1.8).
pub(super) const CLASS_BASIC: u16 = 60;
/// `connection.start`, by class and method (1.4.2.1).
const CONNECTION_START: (u16, u16) = (10, 10);
const FRAME_END: u8 = 206;
const TYPE_METHOD: u8 = 1;
const TYPE_HEADER: u8 = 2;
const TYPE_BODY: u8 = 3;
const TYPE_HEARTBEAT: u8 = 8;

/// Who sends the frames that are read: each side may send only its own methods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A broker: only the methods that a broker sends to a consumer are accepted.
    Broker,
    /// A client: all methods are accepted.
    Client,
}

/// What a broker may send to a consumer that publishes with confirms, by class and method.
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

/// Collects one frame at a time.
pub struct FrameReader {
    origin: Origin,
    max_frame_size: usize,
    partial: Vec<u8>,
    /// Reading ends with the first error.
    failed: Option<ProtocolError>,
}

impl FrameReader {
    /// FrameReader of `origin` of at most `max_frame_size` bytes, which is clamped to 4 KiB to 16 MiB.
    pub fn new(origin: Origin, max_frame_size: usize) -> FrameReader {
        let max_frame_size = max_frame_size.clamp(MIN_FRAME_BYTES, MAX_CONFIGURABLE_FRAME_BYTES);
        FrameReader { origin, max_frame_size, partial: Vec::new(), failed: None }
    }

    /// The frame size that was negotiated, in bytes; never more than before.
    pub fn set_max_frame_size(&mut self, max_frame_size: usize) {
        self.max_frame_size = max_frame_size.clamp(MIN_FRAME_BYTES, self.max_frame_size);
    }

    /// In the middle of a frame.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Takes from `input` up to the end of the next frame. Without one all of `input` has been taken.
    ///
    /// # Errors
    /// A frame that can't be followed; every later call gives the same error.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<AMQPFrame>, ProtocolError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let frame = self.collect(input);
        self.failed = frame.as_ref().err().cloned();
        frame
    }

    fn collect(&mut self, input: &mut &[u8]) -> Result<Option<AMQPFrame>, ProtocolError> {
        let need = loop {
            let need = self.need()?;
            let (now, later) = input.split_at((need - self.partial.len()).min(input.len()));
            self.partial.extend_from_slice(now);
            *input = later;
            if self.partial.len() < need {
                return Ok(None);
            }
            if need > HEAD_BYTES {
                break need;
            }
        };
        let part = std::mem::take(&mut self.partial);
        if part.get(need - 1) != Some(&FRAME_END) {
            return Err(ProtocolError("an AMQP frame does not end where it should"));
        }
        let frame = self.parse(&part);
        self.partial = part;
        self.partial.clear();
        frame.map(Some)
    }

    /// Bytes that the next step needs: the head, then the complete frame.
    fn need(&self) -> Result<usize, ProtocolError> {
        let Some(kind) = self.partial.first() else { return Ok(HEAD_BYTES) };
        match *kind {
            TYPE_METHOD | TYPE_HEADER | TYPE_BODY | TYPE_HEARTBEAT => {}
            b'A' => return Err(ProtocolError("the broker speaks another version of AMQP")),
            _ => return Err(ProtocolError("an AMQP frame's type is not known")),
        }
        let Some(size) = self.partial.get(3..HEAD_BYTES) else { return Ok(HEAD_BYTES) };
        let size = size.iter().fold(0, |n, b| n << 8 | *b as usize);
        if HEAD_BYTES + size + 1 > self.max_frame_size {
            return Err(ProtocolError("an AMQP frame is larger than was agreed"));
        }
        Ok(HEAD_BYTES + size + 1)
    }

    fn parse(&self, part: &[u8]) -> Result<AMQPFrame, ProtocolError> {
        const BAD: ProtocolError = ProtocolError("an AMQP frame is not understood");
        let payload = part.get(HEAD_BYTES..part.len() - 1).ok_or(BAD)?;
        match part.first().copied() {
            Some(TYPE_METHOD) => {
                let two = |at: usize| Some(u16::from_be_bytes(payload.get(at..at + 2)?.try_into().ok()?));
                let method = two(0).zip(two(2)).ok_or(BAD)?;
                if self.origin == Origin::Broker && !BROKER_METHODS.contains(&method) {
                    return Err(ProtocolError("an AMQP method that a broker does not send"));
                }
                if method == CONNECTION_START {
                    depth::check_start(payload)?;
                }
            }
            Some(TYPE_HEADER) => depth::check_content_header(payload)?,
            _ => {}
        }
        match parse_frame(part) {
            Ok(([], frame)) => Ok(frame),
            _ => Err(BAD),
        }
    }
}

/// Writes a frame of at most [`MAX_FRAME_BYTES`] bytes. False if it is larger; nothing was written then.
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

/// Writes a method that carries content: its frame, the content header and body frames of at most `max_frame_size` bytes.
/// False if something in it does not fit; nothing was written then.
pub fn write_content(
    to: &mut Vec<u8>, channel: u16, method: AMQPClass, properties: AMQPProperties, body: &[u8],
    max_frame_size: usize,
) -> bool {
    let start = to.len();
    let (class_id, body_size) = (CLASS_BASIC, body.len() as u64);
    let header = AMQPContentHeader { class_id, body_size, properties };
    let mut fits = write_frame(to, &AMQPFrame::Method(channel, method))
        && write_frame(to, &AMQPFrame::Header(channel, class_id, Box::new(header)));
    for part in body.chunks(max_frame_size.clamp(MIN_FRAME_BYTES, MAX_FRAME_BYTES) - HEAD_BYTES - 1) {
        fits = fits && write_frame(to, &AMQPFrame::Body(channel, part.to_vec()));
    }
    if !fits {
        to.truncate(start);
    }
    fits
}
