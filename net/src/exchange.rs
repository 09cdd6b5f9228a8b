//! A single request and reply over an outgoing connection.

use crate::clock::now;
use may::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

const CHUNK_BYTES: usize = 512;
/// Interval between checks of whether the reply is still wanted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a reply that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// A reply of which more is expected.
    Incomplete,
    /// A complete reply, after which the connection can be reused.
    KeepAlive,
    /// A complete or malformed reply, after which the connection must be closed.
    Close,
}

/// Sends a request and reads the reply until `on_data` reports that it is complete.
///
/// Uses the connection `reuse` that an earlier exchange returned, or connects to `to`. Returns the connection if it can be
/// reused. Closes it on any failure, after `timeout`, and once `wanted` returns false.
pub fn exchange(
    reuse: Option<TcpStream>, to: SocketAddr, request: &[u8], timeout: Duration, wanted: impl Fn() -> bool,
    mut on_data: impl FnMut(&[u8]) -> ReplyStatus,
) -> Option<TcpStream> {
    let deadline = now() + timeout.as_micros() as u64;
    let mut stream = match reuse {
        Some(stream) => stream,
        None => TcpStream::connect_timeout(&to, timeout).ok()?,
    };
    stream.set_read_timeout(Some(POLL_INTERVAL)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(request).ok()?;
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(length) => match on_data(chunk.get(..length).unwrap_or(&[])) {
                ReplyStatus::Incomplete => {}
                ReplyStatus::KeepAlive => return Some(stream),
                ReplyStatus::Close => return None,
            },
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
            Err(_) => return None,
        }
        if now() >= deadline || !wanted() {
            return None;
        }
    }
}
