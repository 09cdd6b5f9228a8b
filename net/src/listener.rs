//! Taking in connections, no more than there is room for.

use crate::clock::turn;
use crate::{now, wait_until, Bell};
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use slog::{warn, Logger};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, AtomicIsize, Ordering};
use std::sync::{Arc, Mutex};

const RUSH: usize = 8; // connections taken in before everyone else gets a turn
const PAUSE: u64 = 50_000; // after a failed accept, and between looks for an idle connection at the cap

/// Room for so many connections. Each holds its place until it is dropped.
#[derive(Clone)]
pub struct Room(Arc<(AtomicIsize, Bell)>);

pub struct Place(Room);

impl Drop for Place {
    fn drop(&mut self) {
        let (free, bell) = &*self.0 .0;
        free.fetch_add(1, Ordering::AcqRel);
        bell.ring();
    }
}

impl Room {
    pub fn new(most: usize) -> Room {
        Room(Arc::new((AtomicIsize::new(most as isize), Bell::default())))
    }
    /// Room for so many more or fewer from now on. What is taken beyond it is not taken back: the next wait until
    /// enough of them have ended.
    pub fn grow(&self, by: isize) {
        self.0 .0.fetch_add(by, Ordering::AcqRel);
        self.0 .1.ring();
    }
    fn take(&self) -> Option<Place> {
        let one = self.0 .0.fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
            Some(free - 1).filter(|left| *left >= 0)
        });
        one.ok().map(|_| Place(self.clone()))
    }
}

/// Closes a listening socket: at once for those who come, and after what the system has taken in for us already.
#[derive(Clone, Default)]
pub struct Door(Arc<(AtomicBool, Mutex<Option<WaitIoWaker>>)>);

impl Door {
    pub fn close(&self) {
        let (closed, waker) = &*self.0;
        closed.store(true, Ordering::Release);
        if let Some(waker) = &*waker.lock().unwrap_or_else(|e| e.into_inner()) {
            waker.wakeup();
        }
    }
    fn closed(&self) -> bool {
        self.0 .0.load(Ordering::Acquire)
    }
    fn wakes(&self, waker: WaitIoWaker) {
        *self.0 .1.lock().unwrap_or_else(|e| e.into_inner()) = Some(waker);
    }
}

/// A connection waits to be taken in.
fn waits(listener: &TcpListener) -> bool {
    let mut fds = [PollFd::new(listener.inner().as_fd(), PollFlags::POLLIN)];
    // Where it can't be told, accepting will tell.
    poll(&mut fds, PollTimeout::ZERO).map_or(true, |ready| ready > 0)
}

/// Listens, so that a failure shows before anything else starts.
pub fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(at)
}

/// Hands on each connection with its place, until the door is closed and nobody waits. At the cap one connection waits here and the others in the
/// system's queue; `crowded` may let an idle one go, again and again until there is room.
pub fn listen(
    listener: TcpListener, door: &Door, room: Room, log: Logger, crowded: impl Fn(),
    took: impl Fn(TcpStream, Place),
) {
    room.0 .1.attend();
    door.wakes(listener.waker());
    let mut rush = 0;
    loop {
        if !waits(&listener) {
            if door.closed() {
                return;
            }
            listener.wait_io();
            continue;
        }
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(log, "a connection could not be taken in"; "error" => %e);
                wait_until(now() + PAUSE);
                continue;
            }
        };
        let place = loop {
            match room.take() {
                Some(place) => break place,
                None => {
                    crowded();
                    wait_until(now() + PAUSE);
                }
            }
        };
        took(stream, place);
        rush = (rush + 1) % RUSH;
        if rush == 0 {
            turn(); // what they send is read before others may take their place
        }
    }
}
