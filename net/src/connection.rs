//! The driver of one socket: its coroutine passes received bytes to a handler and writes the bytes queued in the outbox, and
//! neither direction blocks the other.

use crate::clock::{now, wait_until, yield_to_others};
use crate::outbox::{CloseRequest, Outbox, Waker};
use crate::pool::{BufferPool, PooledBuffer, BUFFER_BYTES};
use crate::turns::Turn;
use may::io::WaitIo;
use may::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

/// Maximum number of buffers that are read before the coroutine yields to others.
const MAX_READS_PER_TURN: usize = 4;
/// Interval between attempts to take a buffer while the pool is exhausted.
const NO_BUFFER_RETRY_US: u64 = 1_000;
/// Maximum number of reads of data that had arrived before a requested close. Bounds how long a peer that keeps sending can
/// delay the close.
const MAX_FINAL_READS: usize = 4;
/// Maximum number of bytes that are read and discarded after the close.
const MAX_LINGER_BYTES: usize = 1 << 16;
const LINGER_CHUNK_BYTES: usize = 512;
const MIN_LINGER_POLL_US: u64 = 1_000;
const MAX_LINGER_POLL_US: u64 = 50_000;

/// The event flags of `epoll` that `may` reports.
mod event {
    /// The peer has closed its half of the connection (`EPOLLRDHUP`).
    pub const HALF_CLOSED: usize = 0x2000;
    /// An error occurred, or both halves are closed (`EPOLLERR`, `EPOLLHUP`).
    pub const CLOSED_OR_FAILED: usize = 0x8 | 0x10;
    /// Data, an end of stream or an error can be read (`EPOLLIN` and the above).
    pub const READABLE: usize = 0x1 | HALF_CLOSED | CLOSED_OR_FAILED;
}

/// A handler for the bytes that a connection receives.
pub trait ConnectionHandler {
    /// Handles received bytes. Returns whether more are accepted; after `false`, further bytes are discarded.
    fn on_data(&mut self, bytes: &[u8]) -> bool;

    /// Handles the end of the peer's stream. The peer may still read; the connection stays open until it is closed locally.
    fn on_half_closed(&mut self);

    /// Returns how long, in microseconds, a locally closed connection keeps reading while the peer has not closed it too.
    ///
    /// Closing a socket with unread bytes sends a reset, which destroys data that is still on its way to the peer. With a
    /// linger time, bytes that had arrived before the close are also passed to the handler and keep the connection open. `None`
    /// disables both.
    fn linger_us(&self) -> Option<u64> {
        None
    }

    /// Returns whether data that arrived before a reset by the peer is still read. `false` is for requests, whose sender no
    /// longer waits for the answers.
    fn reads_after_reset(&self) -> bool {
        true
    }

    /// Returns whether the connection waits for its turn among all such connections while its peer sends as fast as it is
    /// read. `false` is for a peer that all others depend on.
    fn takes_turns(&self) -> bool {
        true
    }
}

/// The way in which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// A close from this side.
    Closed,
    /// A reset by the peer, or a failure of the socket.
    Broken,
}

/// Runs a connection until it ends. Returns how it ended.
pub fn run_connection(
    stream: &TcpStream, outbox: &Outbox, pool: &BufferPool, handler: &mut dyn ConnectionHandler,
) -> ConnectionEnd {
    stream.set_nodelay(true).unwrap_or_default();
    outbox.set_waker(Some(Waker::Io(stream.waker())));
    outbox.record_activity(now());
    let end = Connection::new(stream, outbox, pool, handler).run();
    outbox.set_waker(None);
    let flushed = end == ConnectionEnd::Closed && outbox.close_request() == CloseRequest::AfterFlush;
    if let Some(linger_us) = handler.linger_us().filter(|_| flushed) {
        linger(stream, now() + if outbox.skips_linger() { 0 } else { linger_us });
    }
    end
}

/// Shuts down writing, then reads and discards bytes until the peer closes too, until `deadline`, or until
/// [`MAX_LINGER_BYTES`].
fn linger(stream: &TcpStream, deadline: u64) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = [0; LINGER_CHUNK_BYTES];
    let (mut remaining, mut poll_interval) = (MAX_LINGER_BYTES, MIN_LINGER_POLL_US);
    loop {
        match stream.inner().read(&mut chunk) {
            Ok(0) => return,
            Ok(length) if length < remaining => remaining -= length,
            Ok(_) => return,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock && now() < deadline => {
                wait_until((now() + poll_interval).min(deadline));
                poll_interval = (poll_interval * 2).min(MAX_LINGER_POLL_US);
            }
            Err(_) => return,
        }
    }
}

/// The result of one round, which determines what the coroutine waits for before the next.
#[derive(Clone, Copy, Default)]
struct Progress {
    /// Whether more data may be readable already.
    more: bool,
    /// Whether the buffer pool was exhausted.
    no_buffer: bool,
}

/// The state of a running connection.
struct Connection<'a> {
    stream: &'a TcpStream,
    outbox: &'a Outbox,
    pool: &'a BufferPool,
    handler: &'a mut dyn ConnectionHandler,
    /// Whether the peer has not closed its half of the connection.
    read_open: bool,
    /// Whether the handler accepts further bytes.
    accepts_data: bool,
    final_reads_left: usize,
    /// The event flags of the last wakeup. Events are edge-triggered: after a readable event, the socket is read until a read
    /// returns less than the buffer holds, since later data triggers another event. The same event may also report the peer's
    /// end of stream.
    events: usize,
    /// The turn in which data is read that had arrived before the last round.
    turn: Option<Turn>,
}

impl<'a> Connection<'a> {
    fn new(
        stream: &'a TcpStream, outbox: &'a Outbox, pool: &'a BufferPool,
        handler: &'a mut dyn ConnectionHandler,
    ) -> Connection<'a> {
        Connection {
            stream,
            outbox,
            pool,
            handler,
            read_open: true,
            accepts_data: true,
            final_reads_left: MAX_FINAL_READS,
            events: event::READABLE,
            turn: None,
        }
    }

    fn run(&mut self) -> ConnectionEnd {
        loop {
            if let Err(end) = self.run_round() {
                return end;
            }
        }
    }

    /// Reads, writes, closes if requested, and waits.
    ///
    /// # Errors
    /// Returns how the connection ended.
    fn run_round(&mut self) -> Result<(), ConnectionEnd> {
        let mut progress = Progress::default();
        self.read(&mut progress)?;
        self.write()?;
        self.close_if_requested(&mut progress)?;
        self.wait(progress)
    }

    fn read(&mut self, progress: &mut Progress) -> Result<(), ConnectionEnd> {
        for _ in 0..MAX_READS_PER_TURN {
            // Once a close is requested, data stays unread until the outbox is flushed.
            let readable = self.read_open && self.events & event::READABLE != 0;
            if !readable || self.outbox.close_request() != CloseRequest::None {
                break;
            }
            if self.is_reset() {
                return Err(ConnectionEnd::Broken);
            }
            // While the pool is exhausted, the socket is not read, so that flow control stops the sender.
            let Some(mut buffer) = self.take_buffer() else {
                progress.no_buffer = true;
                break;
            };
            progress.more = false;
            match self.stream.inner().read(&mut buffer) {
                Ok(0) => {
                    self.read_open = false;
                    self.handler.on_half_closed();
                }
                Ok(length) => {
                    progress.more = length == BUFFER_BYTES || self.events & event::HALF_CLOSED != 0;
                    self.outbox.record_activity(now());
                    self.accepts_data =
                        self.accepts_data && self.handler.on_data(buffer.get(..length).unwrap_or(&[]));
                    if !progress.more {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => progress.more = true,
                Err(_) => return Err(ConnectionEnd::Broken),
            }
        }
        Ok(())
    }

    /// Reports whether the peer has reset the connection and its unread data is to be discarded. The system still returns
    /// that data before it reports the reset.
    fn is_reset(&self) -> bool {
        !self.handler.reads_after_reset() && !matches!(self.stream.inner().take_error(), Ok(None))
    }

    fn take_buffer(&self) -> Option<PooledBuffer> {
        let mut buffer = self.pool.take()?;
        buffer.resize(BUFFER_BYTES, 0);
        Some(buffer)
    }

    fn write(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            match self.outbox.write_first(|bytes| self.stream.inner().write(bytes)) {
                Ok(true) => self.outbox.record_activity(now()),
                Ok(false) => return Ok(()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(ConnectionEnd::Broken),
            }
        }
    }

    fn close_if_requested(&mut self, progress: &mut Progress) -> Result<(), ConnectionEnd> {
        match self.outbox.close_request() {
            CloseRequest::Now => Err(ConnectionEnd::Closed),
            CloseRequest::AfterFlush if self.outbox.is_empty() => {
                let may_read = self.read_open && self.accepts_data && self.final_reads_left > 0;
                if may_read && self.handler.linger_us().is_some() {
                    self.final_reads_left -= 1;
                    self.read_before_close(progress)
                } else {
                    Err(ConnectionEnd::Closed)
                }
            }
            _ => Ok(()),
        }
    }

    /// Reads data that arrived before the requested close. If there is any, it is handled as usual and cancels the close.
    fn read_before_close(&mut self, progress: &mut Progress) -> Result<(), ConnectionEnd> {
        if self.is_reset() {
            return Err(ConnectionEnd::Broken);
        }
        let Some(mut buffer) = self.take_buffer() else {
            progress.no_buffer = true;
            return Ok(());
        };
        match self.stream.inner().read(&mut buffer) {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(length) => {
                self.outbox.cancel_close();
                self.outbox.record_activity(now());
                self.accepts_data = self.handler.on_data(buffer.get(..length).unwrap_or(&[]));
                self.events |= event::READABLE;
                progress.more = true;
                Ok(())
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {
                progress.more = true;
                Ok(())
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Err(ConnectionEnd::Closed),
            Err(_) => Err(ConnectionEnd::Broken),
        }
    }

    fn wait(&mut self, progress: Progress) -> Result<(), ConnectionEnd> {
        if let Some(turn) = self.turn.take() {
            turn.end();
        }
        if progress.no_buffer {
            wait_until(now() + NO_BUFFER_RETRY_US);
        } else if progress.more && self.handler.takes_turns() {
            self.turn = Some(Turn::wait());
        } else if progress.more {
            yield_to_others();
        } else {
            self.events = self.stream.wait_io();
            if self.events & event::CLOSED_OR_FAILED != 0 && !self.read_open {
                return Err(ConnectionEnd::Broken);
            }
        }
        Ok(())
    }
}
