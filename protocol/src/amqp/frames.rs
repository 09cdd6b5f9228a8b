//! Bytes to frames and back (2.3.5, 4.2.3). The codec only ever sees a frame that is whole, of a bounded size,
//! and of a kind that the other side may send.

use super::depth;
use crate::ProtocolError;
use amq_protocol::frame::{gen_frame, parse_frame, AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::protocol::AMQPClass;

/// The largest frame that is offered and taken, its seven bytes of head and its end included.
pub const FRAME_MOST: usize = 16 * 1024;
/// The least that both sides must take (4.2.3).
pub const FRAME_LEAST: usize = 4096;

const HEAD: usize = 7;
const END: u8 = 206;
const METHOD: u8 = 1;
const HEADER: u8 = 2;
const BODY: u8 = 3;
const HEARTBEAT: u8 = 8;

/// Of whom the frames are read: each side may send only its own methods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Broker,
    Client,
}

/// What a broker may send to a consumer that publishes with confirms, by class and method.
const BROKER: [(u16, u16); 23] = [
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
pub struct Frames {
    from: Origin,
    most: usize,
    part: Vec<u8>,
    broken: Option<ProtocolError>,
}

impl Frames {
    /// `most`: bytes of the largest frame that is taken.
    pub fn new(from: Origin, most: usize) -> Frames {
        Frames { from, most: most.clamp(FRAME_LEAST, 1 << 24), part: Vec::new(), broken: None }
    }
    /// From now on frames are as large as was agreed.
    pub fn set_max_frame_size(&mut self, most: usize) {
        self.most = most.clamp(FRAME_LEAST, self.most);
    }
    /// In the middle of a frame.
    pub fn has_partial(&self) -> bool {
        !self.part.is_empty()
    }

    /// Takes from `input` up to the end of the next frame. Without one all of `input` has been taken.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<AMQPFrame>, ProtocolError> {
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        let frame = self.collect(input);
        self.broken = frame.as_ref().err().cloned();
        frame
    }

    fn collect(&mut self, input: &mut &[u8]) -> Result<Option<AMQPFrame>, ProtocolError> {
        let need = loop {
            let need = self.need()?;
            let (now, later) = input.split_at((need - self.part.len()).min(input.len()));
            self.part.extend_from_slice(now);
            *input = later;
            if self.part.len() < need {
                return Ok(None);
            }
            if need > HEAD {
                break need;
            }
        };
        let part = std::mem::take(&mut self.part);
        if part.get(need - 1) != Some(&END) {
            return Err(ProtocolError("an AMQP frame does not end where it should"));
        }
        let frame = self.parse(&part);
        self.part = part;
        self.part.clear();
        frame.map(Some)
    }

    /// Bytes that are needed before more can be told: the head, then the whole frame.
    fn need(&self) -> Result<usize, ProtocolError> {
        let Some(kind) = self.part.first() else { return Ok(HEAD) };
        match *kind {
            METHOD | HEADER | BODY | HEARTBEAT => {}
            b'A' => return Err(ProtocolError("the broker speaks another version of AMQP")),
            _ => return Err(ProtocolError("an AMQP frame's type is not known")),
        }
        let Some(size) = self.part.get(3..HEAD) else { return Ok(HEAD) };
        let size = size.iter().fold(0, |n, b| n << 8 | *b as usize);
        if HEAD + size + 1 > self.most {
            return Err(ProtocolError("an AMQP frame is larger than was agreed"));
        }
        Ok(HEAD + size + 1)
    }

    fn parse(&self, part: &[u8]) -> Result<AMQPFrame, ProtocolError> {
        const BAD: ProtocolError = ProtocolError("an AMQP frame is not understood");
        let payload = part.get(HEAD..part.len() - 1).ok_or(BAD)?;
        match part.first().copied() {
            Some(METHOD) => {
                let two = |at: usize| Some(u16::from_be_bytes(payload.get(at..at + 2)?.try_into().ok()?));
                let method = two(0).zip(two(2)).ok_or(BAD)?;
                if self.from == Origin::Broker && !BROKER.contains(&method) {
                    return Err(ProtocolError("an AMQP method that a broker does not send"));
                }
                if method == (10, 10) {
                    depth::start(payload)?;
                }
            }
            Some(HEADER) => depth::header(payload)?,
            _ => {}
        }
        match parse_frame(part) {
            Ok(([], frame)) => Ok(frame),
            _ => Err(BAD),
        }
    }
}

/// Writes a frame of at most [`FRAME_MOST`] bytes. False if it is larger; nothing was written then.
pub fn write(to: &mut Vec<u8>, frame: &AMQPFrame) -> bool {
    let start = to.len();
    let room = match frame {
        AMQPFrame::Body(_, body) => body.len() + HEAD + 1,
        AMQPFrame::Heartbeat(_) | AMQPFrame::ProtocolHeader(_) => HEAD + 1,
        _ => FRAME_MOST,
    };
    to.resize(start + room.min(FRAME_MOST), 0);
    let written = match gen_frame(frame)(to[start..].as_mut().into()) {
        Ok(context) => Some(context.position as usize),
        Err(_) => None,
    };
    to.truncate(start + written.unwrap_or(0));
    written.is_some()
}

/// Writes a method that carries content: its frame, the content header and body frames of at most `most` bytes.
/// False if something in it does not fit; nothing was written then.
pub fn write_content(
    to: &mut Vec<u8>, channel: u16, method: AMQPClass, properties: AMQPProperties, body: &[u8], most: usize,
) -> bool {
    let start = to.len();
    let (class_id, body_size) = (60, body.len() as u64);
    let header = AMQPContentHeader { class_id, body_size, properties };
    let mut fine = write(to, &AMQPFrame::Method(channel, method))
        && write(to, &AMQPFrame::Header(channel, class_id, Box::new(header)));
    for piece in body.chunks(most.clamp(FRAME_LEAST, FRAME_MOST) - HEAD - 1) {
        fine = fine && write(to, &AMQPFrame::Body(channel, piece.to_vec()));
    }
    if !fine {
        to.truncate(start);
    }
    fine
}
