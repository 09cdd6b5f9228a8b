//! One socket and its coroutine: what comes is handed on, what waits in the outbox is written, and neither
//! waits for the other.

use crate::clock::turn;
use crate::outbox::{Close, Waker};
use crate::{now, wait_until, Outbox, Pool, SIZE};
use may::io::WaitIo;
use may::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Who understands the bytes of a connection.
pub trait Peer {
    /// Takes what came. What comes after a false is not wanted.
    fn read(&mut self, bytes: &[u8]) -> bool;
    /// The other side sends nothing more, but may still read: the connection stays until it is closed here.
    fn half_closed(&mut self);
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// We closed it.
    Closed,
    /// The other side broke it off.
    Broken,
}

const READS: usize = 4; // buffers read in a row before others get their turn
const STARVED: u64 = 1_000; // between looks for a buffer while none is free
const GLANCE: Duration = Duration::from_millis(50); // between looks whether a reply is still wanted
const ENDED: usize = 0x2000; // the flag for an end of the other side
const GONE: usize = 0x8 | 0x10; // the flags for an error and for a connection closed on both sides
const READABLE: usize = 0x1 | ENDED | GONE; // the flags that tell of something to read, an end included

/// Drives a connection until it ends.
pub fn drive(stream: &TcpStream, out: &Outbox, pool: &Pool, peer: &mut dyn Peer) -> End {
    stream.set_nodelay(true).unwrap_or_default();
    out.wakes(Some(Waker::Io(stream.waker())));
    out.touch(now());
    let end = pump(stream, out, pool, peer);
    out.wakes(None);
    end
}

fn pump(stream: &TcpStream, out: &Outbox, pool: &Pool, peer: &mut dyn Peer) -> End {
    let (mut open, mut wanted) = (true, true);
    // Events come at changes only. It is read when one told of something to read, until less came than there was
    // room for: what comes after that is a change again. The end of the other side is one that may come with it.
    let mut events = READABLE;
    loop {
        let (mut more, mut starved) = (false, false);
        for _ in 0..READS {
            // What comes once a connection is being closed is left unread, so that it never counts as taken.
            if !open || events & READABLE == 0 || out.closing() != Close::No {
                break;
            }
            // No buffer to be had: the sender waits until others have given some back.
            let Some(mut buf) = pool.take() else {
                starved = true;
                break;
            };
            buf.resize(SIZE, 0);
            more = false;
            match stream.inner().read(&mut buf) {
                Ok(0) => {
                    open = false;
                    peer.half_closed();
                }
                Ok(n) => {
                    more = n == SIZE || events & ENDED != 0;
                    out.touch(now());
                    wanted = wanted && peer.read(&buf[..n]);
                    if !more {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => more = true,
                Err(_) => return End::Broken,
            }
        }
        loop {
            match out.write(|bytes| stream.inner().write(bytes)) {
                Ok(true) => out.touch(now()),
                Ok(false) => break,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return End::Broken,
            }
        }
        match out.closing() {
            Close::Now => return End::Closed,
            Close::Written if out.is_empty() => return End::Closed,
            _ => {}
        }
        if starved {
            wait_until(now() + STARVED);
        } else if more {
            turn();
        } else {
            events = stream.wait_io();
            if events & GONE != 0 && !open {
                return End::Broken;
            }
        }
    }
}

/// Sends a request on a connection that is kept for the next, and reads until `done` has its reply. None on
/// any failure, and once the reply is not `wanted` any more: the connection is gone then.
pub fn exchange(
    kept: Option<TcpStream>, to: SocketAddr, request: &[u8], within: Duration, wanted: impl Fn() -> bool,
    mut done: impl FnMut(&[u8]) -> Option<bool>,
) -> Option<Option<TcpStream>> {
    let until = now() + within.as_micros() as u64;
    let mut stream = match kept {
        Some(stream) => stream,
        None => TcpStream::connect_timeout(&to, within).ok()?,
    };
    stream.set_read_timeout(Some(GLANCE)).ok()?;
    stream.set_write_timeout(Some(within)).ok()?;
    stream.write_all(request).ok()?;
    let mut bytes = [0; 512];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return None,
            Ok(n) => {
                if let Some(stays) = done(&bytes[..n]) {
                    return Some(stays.then_some(stream));
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
            Err(_) => return None,
        }
        if now() >= until || !wanted() {
            return None;
        }
    }
}
