//! Taking in connections, no more than there is room for.

use crate::{now, wait_until};
use may::net::{TcpListener, TcpStream};
use may::sync::Semphore;
use slog::{warn, Logger};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

const PAUSE: u64 = 50_000; // after a failed accept: descriptors come back by then

/// Room for so many connections. Each holds its place until it is dropped.
#[derive(Clone)]
pub struct Room(Arc<Semphore>);

pub struct Place(Arc<Semphore>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.post();
    }
}

impl Room {
    pub fn new(most: usize) -> Room {
        Room(Arc::new(Semphore::new(most)))
    }
}

/// Listens, so that a failure shows before anything else starts.
pub fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(at)
}

/// Hands on each connection with its place. At the cap `crowded` may let an idle one go; the next waits in
/// the system's queue meanwhile.
pub fn listen(
    listener: TcpListener, room: Room, log: Logger, crowded: impl Fn(), took: impl Fn(TcpStream, Place),
) {
    loop {
        if !room.0.try_wait() {
            crowded();
            room.0.wait();
        }
        let place = Place(room.0.clone());
        match listener.accept() {
            Ok((stream, _)) => took(stream, place),
            Err(e) => {
                warn!(log, "a connection could not be taken in"; "error" => %e);
                wait_until(now() + PAUSE);
            }
        }
    }
}
