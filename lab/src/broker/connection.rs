//! A connection of the broker: its socket, its heartbeat, and the loop that reads and writes.

use super::channel::Channel;
use super::state::BrokerState;
use crate::sync::lock;
use amq_protocol::frame::{AMQPFrame, ProtocolVersion};
use amq_protocol::protocol::connection::{self, AMQPMethod as ConnectionMethod};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::types::FieldTable;
use asterrill_protocol::amqp::{write_frame, FrameReader, Origin};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const PROTOCOL_HEADER: &[u8; 8] = b"AMQP\x00\x00\x09\x01";
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of a read, kept short because deliveries are sent between two reads.
const READ_TIMEOUT: Duration = Duration::from_millis(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_SILENCE: Duration = Duration::from_secs(4);
const MAX_FRAME_BYTES: usize = 1 << 17;

/// A connection of a client.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) state: Arc<Mutex<BrokerState>>,
    pub(super) channels: BTreeMap<u16, Channel>,
    /// Bytes that wait to be written.
    pub(super) out: Vec<u8>,
    /// Whether the client has opened the connection.
    pub(super) open: bool,
    /// Whether the broker has stopped reading and writing.
    pub(super) silent: bool,
    /// Whether the client has closed the connection with code 200.
    pub(super) closed_cleanly: bool,
    pub(super) heartbeat_s: u16,
    last_write: Instant,
    pub(super) unblock_at: Option<Instant>,
}

/// Decision whether to keep the connection after a frame.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionAction {
    Continue,
    Close,
}

fn is_timeout(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

impl Connection {
    /// Serves a connection until it ends.
    pub(super) fn serve(stream: TcpStream, state: Arc<Mutex<BrokerState>>) {
        stream.set_nodelay(true).unwrap_or_default();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap_or_default();
        let mut connection = Connection {
            stream,
            state,
            channels: BTreeMap::new(),
            out: Vec::new(),
            open: false,
            silent: false,
            closed_cleanly: false,
            heartbeat_s: 0,
            last_write: Instant::now(),
            unblock_at: None,
        };
        connection.lock_state().ledger.connections += 1;
        let ended = connection.run();
        connection.end(ended.is_none());
    }

    pub(super) fn lock_state(&self) -> MutexGuard<'_, BrokerState> {
        lock(&self.state)
    }

    pub(super) fn send(&mut self, channel: u16, method: AMQPClass) {
        write_frame(&mut self.out, &AMQPFrame::Method(channel, method));
    }

    pub(super) fn flush(&mut self) -> Option<()> {
        if !self.out.is_empty() {
            self.last_write = Instant::now();
            let out = std::mem::take(&mut self.out);
            self.stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
            self.stream.write_all(&out).ok()?;
        }
        Some(())
    }

    /// Reads and writes until the connection ends. Returns `None` if it was cut.
    fn run(&mut self) -> Option<()> {
        let Some(header) = self.read_header() else { return Some(()) };
        if &header != PROTOCOL_HEADER {
            write_frame(&mut self.out, &AMQPFrame::ProtocolHeader(ProtocolVersion::amqp_0_9_1()));
            return self.flush();
        }
        let start = connection::Start {
            version_major: 0,
            version_minor: 9,
            server_properties: FieldTable::default(),
            mechanisms: "AMQPLAIN PLAIN".into(),
            locales: "en_US".into(),
        };
        self.send(0, AMQPClass::Connection(ConnectionMethod::Start(start)));
        self.flush()?;
        let mut frames = FrameReader::new(Origin::Client, MAX_FRAME_BYTES);
        loop {
            let next = if self.silent { self.stay_silent() } else { self.poll(&mut frames)? };
            if next == ConnectionAction::Close {
                return Some(());
            }
        }
    }

    /// Reads the protocol header of the client. Returns the bytes read so far if it does not arrive in time, or
    /// `None` at the end of the connection.
    fn read_header(&mut self) -> Option<[u8; 8]> {
        let mut header = [0; 8];
        let deadline = Instant::now() + HEADER_TIMEOUT;
        let mut read = 0;
        while read < header.len() && Instant::now() < deadline {
            match self.stream.read(&mut header[read..]) {
                Ok(0) => return None,
                Ok(n) => read += n,
                Err(error) if is_timeout(&error) => {}
                Err(_) => return None,
            }
        }
        Some(header)
    }

    /// Reads frames, delivers messages and sends heartbeats. Returns `None` if the connection breaks or is cut.
    fn poll(&mut self, frames: &mut FrameReader) -> Option<ConnectionAction> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => return Some(ConnectionAction::Close),
            Ok(n) => {
                let mut input = &bytes[..n];
                while let Some(frame) = frames.next(&mut input).ok()? {
                    if self.handle_frame(frame)? == ConnectionAction::Close {
                        self.flush()?;
                        return Some(ConnectionAction::Close);
                    }
                }
            }
            Err(error) if is_timeout(&error) => {}
            Err(_) => return Some(ConnectionAction::Close),
        }
        self.deliver()?;
        if self.unblock_at.take_if(|at| *at <= Instant::now()).is_some() {
            let unblocked = ConnectionMethod::Unblocked(connection::Unblocked {});
            self.send(0, AMQPClass::Connection(unblocked));
        }
        let interval = Duration::from_secs(u64::from(self.heartbeat_s)) / 2;
        if self.heartbeat_s > 0 && self.last_write.elapsed() > interval {
            write_frame(&mut self.out, &AMQPFrame::Heartbeat(0));
        }
        self.flush()?;
        Some(ConnectionAction::Continue)
    }

    /// Reads nothing until the client closes the connection or the time limit of the silence has passed.
    fn stay_silent(&mut self) -> ConnectionAction {
        std::thread::sleep(SILENCE_POLL_INTERVAL);
        match self.stream.peek(&mut [0]) {
            // The end of the stream may follow the bytes that are not read.
            Ok(n) if n > 0 && self.last_write.elapsed() < MAX_SILENCE => ConnectionAction::Continue,
            Err(error) if is_timeout(&error) => ConnectionAction::Continue,
            _ => ConnectionAction::Close,
        }
    }

    /// Closes a channel and requeues its unsettled deliveries.
    pub(super) fn close_channel(&mut self, id: u16) {
        if let Some(channel) = self.channels.remove(&id) {
            self.lock_state().requeue(channel, false);
        }
    }

    /// Requeues the unsettled deliveries of all channels at the end of the connection.
    fn end(&mut self, cut: bool) {
        let channels = std::mem::take(&mut self.channels);
        let mut state = lock(&self.state);
        for channel in channels.into_values() {
            let unsettled = if self.closed_cleanly { channel.unsettled.len() as u64 } else { 0 };
            state.requeue(channel, cut);
            state.ledger.lost -= unsettled;
            state.ledger.unsettled += unsettled;
        }
    }
}
