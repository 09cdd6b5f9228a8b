//! A UDP socket whose clones let one coroutine receive while another sends.

use crate::clock::yield_to_others;
use may::net::UdpSocket;
use std::io;
use std::net::SocketAddr;

/// Number of datagrams that are received before the coroutine yields to others.
const MAX_DATAGRAMS_PER_TURN: usize = 8;
/// Maximum length of a received datagram. Longer ones are truncated, and then fail authentication.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A UDP socket.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds a socket to a local address.
    ///
    /// # Errors
    /// Returns the operating system's error if the address can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: UdpSocket::bind(address)? })
    }

    /// Duplicates the handle of the socket, for another coroutine.
    ///
    /// # Errors
    /// Returns the operating system's error, such as too many open file descriptors.
    pub fn try_clone(&self) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: self.socket.try_clone()? })
    }

    /// Sends one datagram and reports whether it was sent. An unsent datagram is not retried: it counts as lost, like one that
    /// the network drops.
    pub fn send(&self, to: SocketAddr, payload: &[u8]) -> bool {
        self.socket.send_to(payload, to).is_ok_and(|sent| sent == payload.len())
    }

    /// Passes each received datagram to `on_datagram`. Never returns. Datagrams that arrive faster than they are handled
    /// overflow the socket's receive buffer and are lost.
    pub fn receive(&self, mut on_datagram: impl FnMut(SocketAddr, &[u8])) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut received = 0;
        loop {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => on_datagram(from, buffer.get(..length).unwrap_or(&[])),
                // The error reports an earlier datagram that could not be delivered; the socket stays usable.
                Err(_) => yield_to_others(),
            }
            received = (received + 1) % MAX_DATAGRAMS_PER_TURN;
            if received == 0 {
                yield_to_others();
            }
        }
    }
}
