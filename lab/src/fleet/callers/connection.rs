//! Connection of a caller to a backend, and the events on it.

use crate::sidecar::{read_frame, Answer, ANSWER, DRAINING};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Identifier of a connection, unique among all connections of one caller.
pub(super) type ConnectionId = u64;

/// An attempt that awaits its answer.
pub(super) struct Attempt {
    pub(super) rpc: u64,
    pub(super) sent: Instant,
}

/// An event on a connection.
pub(super) enum Event {
    Answer { node: usize, connection: ConnectionId, stream: u32, answer: Answer },
    Draining { node: usize, connection: ConnectionId },
    Broken { node: usize, connection: ConnectionId },
}

/// A connection to a backend, with the attempts in flight on it.
pub(super) struct Connection {
    pub(super) id: ConnectionId,
    pub(super) to: TcpStream,
    pub(super) last_stream: u32,
    /// Attempts that await an answer, by stream.
    pub(super) in_flight: BTreeMap<u32, Attempt>,
    pub(super) answered: u32,
    pub(super) draining: bool,
    /// The credit that the backend advertised last.
    pub(super) credit: Option<f64>,
}

impl Connection {
    /// Connects, and starts a thread that sends what is received as events.
    pub(super) fn open(
        id: ConnectionId, node: usize, address: SocketAddr, events: &Sender<Event>,
    ) -> Option<Connection> {
        let to = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        to.set_nodelay(true).ok()?;
        to.set_write_timeout(Some(CONNECT_TIMEOUT)).ok()?;
        let (from, events) = (to.try_clone().ok()?, events.clone());
        thread::spawn(move || {
            read_events(from, node, id, &events).unwrap_or_default();
            events.send(Event::Broken { node, connection: id }).unwrap_or_default();
        });
        let in_flight = BTreeMap::new();
        Some(Connection { id, to, last_stream: 0, in_flight, answered: 0, draining: false, credit: None })
    }

    pub(super) fn shut_down(&self) {
        self.to.shutdown(Shutdown::Both).unwrap_or_default();
    }
}

/// Reads frames and sends their events until the connection ends.
fn read_events(
    mut from: TcpStream, node: usize, connection: ConnectionId, events: &Sender<Event>,
) -> Option<()> {
    loop {
        let frame = read_frame(&mut from)?;
        match frame.kind {
            DRAINING => events.send(Event::Draining { node, connection }).ok()?,
            ANSWER if frame.stream > 0 => {
                let (stream, answer) = (frame.stream, Answer::parse(&frame.payload)?);
                events.send(Event::Answer { node, connection, stream, answer }).ok()?;
            }
            _ => {}
        }
    }
}
