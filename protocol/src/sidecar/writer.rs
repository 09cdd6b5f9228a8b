//! Writes the frames that a backend sends to sidecars. Writing into memory can't fail.

use super::message::{StreamId, TYPE_ANSWER, TYPE_GOAWAY, TYPE_HEALTH};
use asterrill::FinalAnswer;

/// The most bytes that a final answer takes besides its body.
pub const MAX_ANSWER_OVERHEAD_BYTES: usize = 128;

/// The stream of what concerns the connection.
const CONNECTION_STREAM: StreamId = StreamId(0);
/// The length, which is filled in last.
const LENGTH_BYTES: usize = 4;

const CODE_OK: u8 = 0;
const CODE_ABORTED: u8 = 5;
const CODE_REJECTED: u8 = 11;

/// Writes a final answer; `credit` is the figure that is published to callers, if any.
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

/// Writes the answer to a health check.
pub fn health(to: &mut Vec<u8>, stream: StreamId, good: bool, credit: Option<f64>) {
    let start = start_frame(to, TYPE_HEALTH, stream);
    to.push(u8::from(!good));
    Fields::new(to).add_credit(credit);
    finish_frame(to, start);
}

/// Writes an error that belongs to no RPC; at most half of [`MAX_ANSWER_OVERHEAD_BYTES`] of the text.
pub fn error(to: &mut Vec<u8>, text: &str) {
    let start = start_frame(to, TYPE_ANSWER, CONNECTION_STREAM);
    to.extend_from_slice(&[CODE_ABORTED, 0]);
    to.extend_from_slice(&text.as_bytes()[..text.len().min(MAX_ANSWER_OVERHEAD_BYTES / 2)]);
    finish_frame(to, start);
}

/// Writes that no new RPC is wanted on this connection.
pub fn goaway(to: &mut Vec<u8>) {
    let start = start_frame(to, TYPE_GOAWAY, CONNECTION_STREAM);
    finish_frame(to, start);
}

fn start_frame(to: &mut Vec<u8>, frame_type: u8, stream: StreamId) -> usize {
    let start = to.len();
    to.extend_from_slice(&[0; LENGTH_BYTES]);
    to.push(frame_type);
    to.extend_from_slice(&stream.0.to_be_bytes());
    start
}

fn finish_frame(to: &mut [u8], start: usize) {
    let length = (to.len() - start - LENGTH_BYTES) as u32;
    to[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// The fields of a frame: their number, then names and values with their lengths.
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
