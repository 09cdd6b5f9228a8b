//! Outboxes of all connections, and the graceful closing of sidecar connections.

use super::partial_message::PartialMessage;
use super::sidecar_connection::SidecarConnectionState;
use crate::core::Core;
use crate::ids::{ConnectionId, SidecarStream};
use asterrill::Us;
use asterrill_net::{now, ListenerHandle, Outbox};
use asterrill_protocol::sidecar;
use slog::{info, Logger};
use std::collections::BTreeMap;

/// Maximum number of log lines about closed sidecar connections per second; further ones are suppressed.
const MAX_CLOSE_LINES_PER_SECOND: u32 = 5;
/// Initial capacity of the encoding buffer, into which most messages fit.
const SCRATCH_CAPACITY_BYTES: usize = 512;

/// Rate limit for log lines about closed connections.
#[derive(Default)]
struct LogRateLimit {
    second: u64,
    lines: u32,
}

impl LogRateLimit {
    /// Counts a line and reports whether it may be written in this second.
    fn allows_line(&mut self, now: Us) -> bool {
        let second = now / 1_000_000;
        if self.second != second {
            *self = LogRateLimit { second, lines: 0 };
        }
        self.lines += 1;
        self.lines <= MAX_CLOSE_LINES_PER_SECOND
    }
}

/// State of a link to the upstream tier.
pub(super) struct UpstreamLinkState {
    /// The bytes to be written to it.
    pub(super) out: Outbox,
    /// The part of a reply that has been received.
    pub(super) partial: PartialMessage,
}

/// Outboxes of all connections, through which the core sends its messages.
pub(super) struct Outboxes {
    /// The open sidecar connections.
    pub(super) sidecars: BTreeMap<ConnectionId, SidecarConnectionState>,
    /// The connections to close once no answer is pending on them, with the time at which closing started.
    pub(super) closing: BTreeMap<ConnectionId, Option<Us>>,
    /// The handle that closes the listening socket.
    pub(super) listener: ListenerHandle,
    /// The bytes to be written to the agent.
    pub(super) agent: Outbox,
    /// Whether there is a link to the agent. Without one, nothing is put into its outbox.
    pub(super) agent_connected: bool,
    /// The upstream links, indexed by their ids.
    pub(super) upstream: Vec<UpstreamLinkState>,
    /// The bytes to be written to the broker, if queues are consumed.
    pub(super) broker: Option<Outbox>,
    /// The limit on sidecar connections.
    pub(super) max_connections: usize,
    close_log_limit: LogRateLimit,
    /// Whether this backend is reported as serving; `None` until it is known.
    pub(super) serving: Option<bool>,
    /// The time after which idle connections are closed, in microseconds.
    pub(super) idle_timeout: Us,
    /// Whether sidecars were asked to send no new RPC.
    pub(super) draining: bool,
    /// Whether all connections are being closed, including newly accepted ones.
    pub(super) closing_all: bool,
    /// The active configuration version, as written to the log.
    pub(super) version: u64,
    /// The buffer in which messages are encoded.
    pub(super) scratch: Vec<u8>,
    /// The log.
    pub(super) log: Logger,
}

impl Outboxes {
    /// Creates the outboxes, without any sidecar connection.
    pub(super) fn new(
        agent: Outbox, upstream: Vec<Outbox>, max_connections: usize, idle_timeout: Us,
        listener: ListenerHandle, log: Logger,
    ) -> Outboxes {
        let link = |out| UpstreamLinkState { out, partial: PartialMessage::default() };
        Outboxes {
            sidecars: BTreeMap::new(),
            closing: BTreeMap::new(),
            listener,
            agent,
            agent_connected: false,
            upstream: upstream.into_iter().map(link).collect(),
            broker: None,
            max_connections,
            close_log_limit: LogRateLimit::default(),
            serving: None,
            idle_timeout,
            draining: false,
            closing_all: false,
            version: 1,
            scratch: Vec::with_capacity(SCRATCH_CAPACITY_BYTES),
            log,
        }
    }

    /// Starts closing those of the connections marked for closing on which no answer is pending.
    pub(super) fn close_answered(&mut self, core: &Core) {
        for (conn, close_started) in self.closing.iter_mut().filter(|(_, since)| since.is_none()) {
            let Some(sidecar) = self.sidecars.get(conn) else { continue };
            // A partial frame may still be completed, unless the slot is needed.
            let may_close = sidecar.evicted || !sidecar.partial.is_pending();
            if !may_close || core.pending_answers_on(*conn) > 0 {
                continue;
            }
            *close_started = Some(now());
            if sidecar.evicted {
                sidecar.out.finish_without_linger();
            } else {
                sidecar.out.finish();
            }
        }
    }

    /// Marks a connection to be closed once no answer is pending on it.
    pub(super) fn close(&mut self, conn: ConnectionId) {
        self.closing.entry(conn).or_default();
    }

    /// Closes a connection after sending the sidecar an error. Returns false if it is already being closed.
    pub(super) fn close_with_error(&mut self, conn: ConnectionId, reason: &str) -> bool {
        let Some(sidecar) = self.sidecars.get_mut(&conn) else { return false };
        if self.closing.insert(conn, None).is_some() {
            return false;
        }
        sidecar.partial.clear();
        if self.close_log_limit.allows_line(now()) {
            info!(self.log, "closing a sidecar connection"; "why" => reason);
        }
        self.scratch.clear();
        sidecar::error(&mut self.scratch, reason);
        sidecar.out.put(&[&self.scratch]);
        true
    }

    /// Asks a sidecar to close its connection.
    pub(super) fn request_close(&mut self, conn: ConnectionId, now: Us) {
        let Some(sidecar) = self.sidecars.get_mut(&conn) else { return };
        sidecar.goaway_sent_at = Some(now);
        send_goaway(&mut self.scratch, &sidecar.out);
    }

    /// Asks the sidecar at the other end of an outbox to send no new RPC.
    pub(super) fn send_goaway(&mut self, out: &Outbox) {
        send_goaway(&mut self.scratch, out);
    }

    /// Asks all sidecars to send no new RPC.
    pub(super) fn send_goaway_to_all(&mut self) {
        for sidecar in self.sidecars.values() {
            send_goaway(&mut self.scratch, &sidecar.out);
        }
    }

    /// Sends a message to a sidecar if its connection is open.
    pub(super) fn send_to_sidecar(&mut self, to: SidecarStream, encode: impl FnOnce(&mut Vec<u8>)) {
        let Some(sidecar) = self.sidecars.get(&to.conn) else { return };
        self.scratch.clear();
        encode(&mut self.scratch);
        sidecar.out.put(&[&self.scratch]);
    }

    /// Sends a message without a body to the agent.
    pub(super) fn send_to_agent(&mut self, encode: impl FnOnce(&mut Vec<u8>)) {
        if !self.agent_connected {
            return;
        }
        self.scratch.clear();
        encode(&mut self.scratch);
        self.agent.put(&[&self.scratch]);
    }

    /// Sends a message with a body to the agent.
    pub(super) fn send_body_to_agent(&mut self, encode: impl FnOnce(&mut Vec<u8>), body: &[u8]) {
        if !self.agent_connected {
            return;
        }
        self.scratch.clear();
        encode(&mut self.scratch);
        self.agent.put(&[&self.scratch, body, b"\r\n"]);
    }
}

fn send_goaway(scratch: &mut Vec<u8>, out: &Outbox) {
    scratch.clear();
    sidecar::goaway(scratch);
    out.put(&[scratch]);
}
