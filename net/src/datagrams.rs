//! Datagrams, taken in by one coroutine and sent by another.

use crate::clock::turn;
use may::net::UdpSocket;
use std::io;
use std::net::SocketAddr;

const RUSH: usize = 8; // taken in before everyone else gets a turn
const LONGEST: usize = 2_048; // bytes of one; longer ones are cut, and then fit no hash

/// A socket for datagrams.
pub struct Datagrams(UdpSocket);

impl Datagrams {
    pub fn bind(at: SocketAddr) -> io::Result<Datagrams> {
        UdpSocket::bind(at).map(Datagrams)
    }
    /// The same socket for another coroutine.
    pub fn again(&self) -> io::Result<Datagrams> {
        self.0.try_clone().map(Datagrams)
    }
    /// Sends one. What can't be sent is lost, as on the way.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool {
        self.0.send_to(bytes, to).is_ok_and(|sent| sent == bytes.len())
    }
    /// Hands each on as it comes, for good. Whoever sends more than is read loses it in the system's queue.
    pub fn receive(&self, mut took: impl FnMut(SocketAddr, &[u8])) {
        let mut bytes = vec![0; LONGEST];
        let mut rush = 0;
        loop {
            match self.0.recv_from(&mut bytes) {
                Ok((n, from)) => took(from, bytes.get(..n).unwrap_or(&[])),
                // Of an earlier datagram that nobody took; the socket is as good as before.
                Err(_) => turn(),
            }
            rush = (rush + 1) % RUSH;
            if rush == 0 {
                turn();
            }
        }
    }
}
