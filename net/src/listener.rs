//! Taking in connections, no more than there is room for.

use crate::clock::turn;
use crate::{now, wait_until, Bell};
use may::net::{TcpListener, TcpStream};
use slog::{warn, Logger};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicIsize, Ordering};
use std::sync::Arc;

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

/// Listens, so that a failure shows before anything else starts.
pub fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(at)
}

/// Hands on each connection with its place. At the cap one connection waits here and the others in the
/// system's queue; `crowded` may let an idle one go, again and again until there is room.
pub fn listen(
    listener: TcpListener, room: Room, log: Logger, crowded: impl Fn(), took: impl Fn(TcpStream, Place),
) {
    room.0 .1.attend();
    let mut rush = 0;
    loop {
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
