//! One socket and its coroutine: what arrives is handed on, what waits in the outbox is written, and neither waits for the other.

use crate::clock::{now, wait_until, yield_to_others};
use crate::outbox::{CloseRequest, Outbox, Waker};
use crate::pool::{BufferPool, PooledBuffer, BUFFER_BYTES};
use may::io::WaitIo;
use may::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

const READ_BURST: usize = 4; // buffers that are read before other coroutines get their turn
const NO_BUFFER_RETRY_US: u64 = 1_000; // between looks for a buffer while none is free
const MAX_LAST_READS: usize = 4; // of what had arrived when the connection was to be closed, from a peer that goes on sending
const MAX_LINGER_BYTES: usize = 1 << 16; // that are read and dropped after the end
const LINGER_CHUNK_BYTES: usize = 512;
const MIN_LINGER_POLL_US: u64 = 1_000;
const MAX_LINGER_POLL_US: u64 = 50_000;

/// The event flags of `epoll` that `may` reports.
mod event {
    /// The other side has ended its half (`EPOLLRDHUP`).
    pub const HALF_CLOSED: usize = 0x2000;
    /// An error, or both halves are closed (`EPOLLERR`, `EPOLLHUP`).
    pub const GONE: usize = 0x8 | 0x10;
    /// There is something to read (`EPOLLIN`), an end included.
    pub const READABLE: usize = 0x1 | HALF_CLOSED | GONE;
}

/// Understands the bytes of a connection.
pub trait ConnectionHandler {
    /// Takes what has arrived. After a false nothing more is wanted, and what arrives is dropped.
    fn on_data(&mut self, bytes: &[u8]) -> bool;

    /// The other side sends nothing more, but may still read: the connection stays until it is closed here.
    fn on_half_closed(&mut self);

    /// For how long, in microseconds, a connection that is closed here is read on until the other side closes it too: a close
    /// over unread bytes is a reset, and destroys what is still on its way there. What had arrived before it is closed is then
    /// handed on as well, and keeps the connection open. `None` where neither matters.
    fn linger_us(&self) -> Option<u64> {
        None
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It was closed here.
    Closed,
    /// The other side broke it off.
    Broken,
}

/// Runs a connection until it ends.
pub fn run_connection(
    stream: &TcpStream, outbox: &Outbox, pool: &BufferPool, handler: &mut dyn ConnectionHandler,
) -> ConnectionEnd {
    stream.set_nodelay(true).unwrap_or_default();
    outbox.set_waker(Some(Waker::Io(stream.waker())));
    outbox.touch(now());
    let end = Connection::new(stream, outbox, pool, handler).run();
    outbox.set_waker(None);
    let in_order = end == ConnectionEnd::Closed && outbox.close_request() == CloseRequest::AfterFlush;
    if let Some(span) = handler.linger_us().filter(|_| in_order) {
        linger(stream, now() + if outbox.skips_linger() { 0 } else { span });
    }
    end
}

/// Ends writing, then reads and drops bytes until the other side has closed too, until `deadline` at the latest.
fn linger(stream: &TcpStream, deadline: u64) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = [0; LINGER_CHUNK_BYTES];
    let (mut allowance, mut pause) = (MAX_LINGER_BYTES, MIN_LINGER_POLL_US);
    loop {
        match stream.inner().read(&mut chunk) {
            Ok(0) => return,
            Ok(length) if length < allowance => allowance -= length,
            Ok(_) => return,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock && now() < deadline => {
                wait_until((now() + pause).min(deadline));
                pause = (pause * 2).min(MAX_LINGER_POLL_US);
            }
            Err(_) => return,
        }
    }
}

/// What has to be waited for before the next round.
#[derive(Clone, Copy, Default)]
struct Progress {
    /// There may be more to read now.
    more: bool,
    /// No buffer was free.
    no_buffer: bool,
}

/// A connection that runs.
struct Connection<'a> {
    stream: &'a TcpStream,
    outbox: &'a Outbox,
    pool: &'a BufferPool,
    handler: &'a mut dyn ConnectionHandler,
    /// The other side has not ended its half.
    open: bool,
    /// The handler wants what arrives.
    wanted: bool,
    last_reads_left: usize,
    /// The last event flags. Events come at changes only: after one that says that there is something to read, the socket is
    /// read until less arrives than there was space for; what arrives after that is a change again. The end of the other side
    /// may come with the same event.
    events: usize,
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
            open: true,
            wanted: true,
            last_reads_left: MAX_LAST_READS,
            events: event::READABLE,
        }
    }

    fn run(&mut self) -> ConnectionEnd {
        loop {
            if let Err(end) = self.run_round() {
                return end;
            }
        }
    }

    /// Reads, writes, closes if that was requested, and waits. The error is the end of the connection.
    fn run_round(&mut self) -> Result<(), ConnectionEnd> {
        let mut progress = Progress::default();
        self.read(&mut progress)?;
        self.write()?;
        self.close_if_requested(&mut progress)?;
        self.wait(progress)
    }

    fn read(&mut self, progress: &mut Progress) -> Result<(), ConnectionEnd> {
        for _ in 0..READ_BURST {
            // What arrives once the connection is to be closed stays unread until everything is written.
            let readable = self.open && self.events & event::READABLE != 0;
            if !readable || self.outbox.close_request() != CloseRequest::None {
                break;
            }
            // Without a buffer the sender waits until others have returned some.
            let Some(mut buffer) = self.take_buffer() else {
                progress.no_buffer = true;
                break;
            };
            progress.more = false;
            match self.stream.inner().read(&mut buffer) {
                Ok(0) => {
                    self.open = false;
                    self.handler.on_half_closed();
                }
                Ok(length) => {
                    progress.more = length == BUFFER_BYTES || self.events & event::HALF_CLOSED != 0;
                    self.outbox.touch(now());
                    self.wanted = self.wanted && self.handler.on_data(buffer.get(..length).unwrap_or(&[]));
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

    fn take_buffer(&self) -> Option<PooledBuffer> {
        let mut buffer = self.pool.take()?;
        buffer.resize(BUFFER_BYTES, 0);
        Some(buffer)
    }

    fn write(&mut self) -> Result<(), ConnectionEnd> {
        loop {
            match self.outbox.write_first(|bytes| self.stream.inner().write(bytes)) {
                Ok(true) => self.outbox.touch(now()),
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
                let read_last = self.open && self.wanted && self.last_reads_left > 0;
                if read_last && self.handler.linger_us().is_some() {
                    self.last_reads_left -= 1;
                    self.read_last(progress)
                } else {
                    Err(ConnectionEnd::Closed)
                }
            }
            _ => Ok(()),
        }
    }

    /// What arrived before the connection was to be closed counts like any other: then it is not closed yet.
    fn read_last(&mut self, progress: &mut Progress) -> Result<(), ConnectionEnd> {
        let Some(mut buffer) = self.take_buffer() else {
            progress.no_buffer = true;
            return Ok(());
        };
        match self.stream.inner().read(&mut buffer) {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(length) => {
                self.outbox.reopen();
                self.outbox.touch(now());
                self.wanted = self.handler.on_data(buffer.get(..length).unwrap_or(&[]));
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
        if progress.no_buffer {
            wait_until(now() + NO_BUFFER_RETRY_US);
        } else if progress.more {
            yield_to_others();
        } else {
            self.events = self.stream.wait_io();
            if self.events & event::GONE != 0 && !self.open {
                return Err(ConnectionEnd::Broken);
            }
        }
        Ok(())
    }
}
