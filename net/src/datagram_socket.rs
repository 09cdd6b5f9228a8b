//! Datagrams, received by one coroutine and sent by another.

use crate::clock::yield_to_others;
use may::net::UdpSocket;
use std::io;
use std::net::SocketAddr;

const BURST: usize = 8; // datagrams that are received before other coroutines get their turn
const MAX_DATAGRAM_BYTES: usize = 2_048; // longer ones are cut, and then fail authentication

/// A UDP socket.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// A socket at a local address.
    ///
    /// # Errors
    /// What the system says if it can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: UdpSocket::bind(address)? })
    }

    /// The same socket, for another coroutine.
    ///
    /// # Errors
    /// What the system says if there are too many descriptors.
    pub fn try_clone(&self) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: self.socket.try_clone()? })
    }

    /// Sends one datagram. False if it could not be sent: then it is lost, as it may be on the network.
    pub fn send(&self, to: SocketAddr, payload: &[u8]) -> bool {
        self.socket.send_to(payload, to).is_ok_and(|sent| sent == payload.len())
    }

    /// Hands on each datagram as it arrives; never returns. A sender that is faster loses datagrams in the system's queue.
    pub fn receive(&self, mut on_datagram: impl FnMut(SocketAddr, &[u8])) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut received = 0;
        loop {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => on_datagram(from, buffer.get(..length).unwrap_or(&[])),
                // About an earlier datagram that could not be delivered; the socket works as before.
                Err(_) => yield_to_others(),
            }
            received = (received + 1) % BURST;
            if received == 0 {
                yield_to_others();
            }
        }
    }
}
