//! One socket and its coroutine: what comes is handed on, what waits in the outbox is written, and neither
//! waits for the other.

use crate::clock::turn;
use crate::outbox::{Close, Waker};
use crate::{now, wait_until, Outbox, Pool, SIZE};
use may::io::WaitIo;
use may::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

/// Who understands the bytes of a connection.
pub trait Peer {
    /// Takes what came. What comes after a false is not wanted.
    fn read(&mut self, bytes: &[u8]) -> bool;
    /// The other side sends nothing more, but may still read: the connection stays until it is closed here.
    fn half_closed(&mut self);
    /// How long a connection that is closed here, in microseconds, is read on until the other side closes it too: a
    /// close over unread bytes is a reset, and takes what is still on its way there with it. What had come before it is
    /// closed is taken then as well, and keeps it open. None where neither matters.
    fn lingers(&self) -> Option<u64> {
        None
    }
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
const LOOKS: usize = 4; // at what came before it is closed, for a peer that goes on sending
const REST: usize = 1 << 16; // bytes that are read on after the end, at the most
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
    if let Some(span) = peer.lingers().filter(|_| end == End::Closed && out.closing() == Close::Written) {
        linger(stream, now() + if out.hurry() { 0 } else { span });
    }
    end
}

/// Ends writing, then reads on until the other side has closed too.
fn linger(stream: &TcpStream, until: u64) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let (mut bytes, mut rest, mut pause) = ([0; 512], REST, 1_000);
    loop {
        match stream.inner().read(&mut bytes) {
            Ok(0) => return,
            Ok(n) if n < rest => rest -= n,
            Ok(_) => return,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock && now() < until => {
                wait_until((now() + pause).min(until));
                pause = (pause * 2).min(GLANCE.as_micros() as u64);
            }
            Err(_) => return,
        }
    }
}

fn pump(stream: &TcpStream, out: &Outbox, pool: &Pool, peer: &mut dyn Peer) -> End {
    let (mut open, mut wanted, mut looks) = (true, true, LOOKS);
    // Events come at changes only. It is read when one told of something to read, until less came than there was
    // room for: what comes after that is a change again. The end of the other side is one that may come with it.
    let mut events = READABLE;
    loop {
        let (mut more, mut starved) = (false, false);
        for _ in 0..READS {
            // What comes once a connection is being closed is left, until all is written.
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
            // What came before it was to be closed counts as any other: then it is not closed yet.
            Close::Written if out.is_empty() && open && wanted && looks > 0 && peer.lingers().is_some() => {
                looks -= 1;
                match pool.take() {
                    None => starved = true,
                    Some(mut buf) => {
                        buf.resize(SIZE, 0);
                        match stream.inner().read(&mut buf) {
                            Ok(0) => return End::Closed,
                            Ok(n) => {
                                out.reopen();
                                out.touch(now());
                                wanted = peer.read(&buf[..n]);
                                (events, more) = (events | READABLE, true);
                            }
                            Err(e) if e.kind() == ErrorKind::Interrupted => more = true,
                            Err(e) if e.kind() == ErrorKind::WouldBlock => return End::Closed,
                            Err(_) => return End::Broken,
                        }
                    }
                }
            }
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
