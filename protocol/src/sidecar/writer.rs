//! Functions that write the frames that a backend sends to sidecars.

use super::message::{StreamId, TYPE_ANSWER, TYPE_GOAWAY, TYPE_HEALTH_ANSWER};
use asterrill::FinalAnswer;

/// Maximum size of a final answer without its body, in bytes.
pub const MAX_ANSWER_OVERHEAD_BYTES: usize = 128;

/// Stream of frames that concern the whole connection.
const CONNECTION_STREAM: StreamId = StreamId(0);
/// Size of the length field, in bytes. The field is filled in once the frame is complete.
const LENGTH_BYTES: usize = 4;

const CODE_OK: u8 = 0;
const CODE_ABORTED: u8 = 5;
const CODE_REJECTED: u8 = 11;

/// Writes a final answer. `credit` is the credit that is published to callers, if any.
pub fn answer(to: &mut Vec<u8>, stream: StreamId, answer: FinalAnswer<'_>, credit: Option<f64>) {
    let (code, body): (u8, &[u8]) = match answer {
        FinalAnswer::Ok(result) => (CODE_OK, result),
        FinalAnswer::Rejected { .. } => (CODE_REJECTED, &[]),
        FinalAnswer::Aborted => (CODE_ABORTED, &[]),
    };
    let start = start_frame(to, TYPE_ANSWER, stream);
    to.push(code);
    let mut fields = Fields::new(to);
    fields.add_credit(credit);
    if let FinalAnswer::Rejected { terminal, retry_after } = answer {
        if retry_after > 0 {
            fields.add("pause", &retry_after.div_ceil(1000).to_string());
        }
        if terminal {
            fields.add("terminal", "1");
        }
    }
    to.extend_from_slice(body);
    finish_frame(to, start);
}

/// Writes the answer to a health check: whether the backend is healthy, and the credit that is published, if any.
pub fn health(to: &mut Vec<u8>, stream: StreamId, healthy: bool, credit: Option<f64>) {
    let start = start_frame(to, TYPE_HEALTH_ANSWER, stream);
    to.push(u8::from(!healthy));
    Fields::new(to).add_credit(credit);
    finish_frame(to, start);
}

/// Writes an error of the connection. The text is truncated to half of [`MAX_ANSWER_OVERHEAD_BYTES`].
pub fn error(to: &mut Vec<u8>, text: &str) {
    let start = start_frame(to, TYPE_ANSWER, CONNECTION_STREAM);
    to.extend_from_slice(&[CODE_ABORTED, 0]);
    to.extend_from_slice(&text.as_bytes()[..text.len().min(MAX_ANSWER_OVERHEAD_BYTES / 2)]);
    finish_frame(to, start);
}

/// Writes the announcement that no new RPC is accepted on this connection.
pub fn goaway(to: &mut Vec<u8>) {
    let start = start_frame(to, TYPE_GOAWAY, CONNECTION_STREAM);
    finish_frame(to, start);
}

/// Writes the head of a frame without its length, and returns the offset of the frame in the buffer.
fn start_frame(to: &mut Vec<u8>, frame_type: u8, stream: StreamId) -> usize {
    let start = to.len();
    to.extend_from_slice(&[0; LENGTH_BYTES]);
    to.push(frame_type);
    to.extend_from_slice(&stream.0.to_be_bytes());
    start
}

/// Fills in the length of the frame that starts at this offset.
fn finish_frame(to: &mut [u8], start: usize) {
    let length = (to.len() - start - LENGTH_BYTES) as u32;
    to[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Writer of the fields of a frame: their number, then each name and value with its length.
struct Fields<'a> {
    to: &'a mut Vec<u8>,
    count_at: usize,
}

impl<'a> Fields<'a> {
    fn new(to: &'a mut Vec<u8>) -> Fields<'a> {
        to.push(0);
        let count_at = to.len() - 1;
        Fields { to, count_at }
    }

    fn add(&mut self, name: &str, value: &str) {
        self.to[self.count_at] += 1;
        self.to.push(name.len() as u8);
        self.to.extend_from_slice(name.as_bytes());
        self.to.extend_from_slice(&(value.len() as u16).to_be_bytes());
        self.to.extend_from_slice(value.as_bytes());
    }

    fn add_credit(&mut self, credit: Option<f64>) {
        if let Some(credit) = credit {
            self.add("advice", &format!("{credit:.4}"));
        }
    }
}
