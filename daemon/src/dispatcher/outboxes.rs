//! The outboxes of all connections, and the orderly closing of sidecar connections.

use super::sidecar_connection::SidecarConnectionState;
use crate::core::Core;
use crate::ids::{ConnectionId, SidecarStream};
use asterrill::Us;
use asterrill_net::{now, ListenerHandle, Outbox};
use asterrill_protocol::sidecar;
use slog::{info, Logger};
use std::collections::BTreeMap;

/// Log lines about closed sidecar connections in one second; more are counted only.
const MAX_CLOSE_LINES_PER_SECOND: u32 = 5;
/// Bytes that most messages fit in.
const SCRATCH_CAPACITY_BYTES: usize = 512;

/// Log lines written in one second.
#[derive(Default)]
struct LogRateLimit {
    second: u64,
    lines: u32,
}

impl LogRateLimit {
    /// Counts a line. False if too many were written in this second.
    fn count(&mut self, now: Us) -> bool {
        let second = now / 1_000_000;
        if self.second != second {
            *self = LogRateLimit { second, lines: 0 };
        }
        self.lines += 1;
        self.lines <= MAX_CLOSE_LINES_PER_SECOND
    }
}

/// One link to the upstream tier.
pub(super) struct UpstreamLinkState {
    /// What is to be written to it.
    pub(super) out: Outbox,
    /// Since when a reply has arrived in part.
    pub(super) partial_since: Option<Us>,
}

/// What is written to the connections; the core sends through it.
pub(super) struct Outboxes {
    /// The sidecar connections that are open.
    pub(super) sidecars: BTreeMap<ConnectionId, SidecarConnectionState>,
    /// Connections that are closed once no answer is pending on them, and since when their drivers are closing them.
    pub(super) closing: BTreeMap<ConnectionId, Option<Us>>,
    /// Closes the listening socket.
    pub(super) listener: ListenerHandle,
    /// What is to be written to the agent.
    pub(super) agent: Outbox,
    /// The upstream links, by their ids.
    pub(super) upstream: Vec<UpstreamLinkState>,
    /// What is to be written to the broker, where queues are consumed.
    pub(super) broker: Option<Outbox>,
    /// How many sidecar connections there may be.
    pub(super) max_connections: usize,
    close_log_limit: LogRateLimit,
    /// What is reported to the name service; `None` until that is certain.
    pub(super) serving: Option<bool>,
    /// Microseconds after which idle connections are closed.
    pub(super) idle_timeout: Us,
    /// Sidecars were asked to send no new RPC.
    pub(super) draining: bool,
    /// All connections are being closed, those that still come in as well.
    pub(super) closing_all: bool,
    /// The configuration version in force, for the log.
    pub(super) version: u64,
    /// Holds a message while it is encoded.
    pub(super) scratch: Vec<u8>,
    /// The log.
    pub(super) log: Logger,
}

impl Outboxes {
    /// No sidecar is connected yet.
    pub(super) fn new(
        agent: Outbox, upstream: Vec<Outbox>, max_connections: usize, idle_timeout: Us,
        listener: ListenerHandle, log: Logger,
    ) -> Outboxes {
        let link = |out| UpstreamLinkState { out, partial_since: None };
        Outboxes {
            sidecars: BTreeMap::new(),
            closing: BTreeMap::new(),
            listener,
            agent,
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

    /// Closes those of the closing connections on which no answer is pending any more.
    pub(super) fn close_answered(&mut self, core: &Core) {
        for (conn, close_started) in self.closing.iter_mut().filter(|(_, since)| since.is_none()) {
            let Some(sidecar) = self.sidecars.get(conn) else { continue };
            // The rest of a partial frame is awaited, but not where the slot is needed.
            let may_close = sidecar.evicted || sidecar.partial_since.is_none();
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

    /// Closes a connection once no answer is pending on it.
    pub(super) fn close(&mut self, conn: ConnectionId) {
        self.closing.entry(conn).or_default();
    }

    /// Closes a connection that is of no use, and tells it why. False if it is being closed already.
    pub(super) fn close_with_error(&mut self, conn: ConnectionId, why: &str) -> bool {
        let Some(sidecar) = self.sidecars.get_mut(&conn) else { return false };
        if self.closing.insert(conn, None).is_some() {
            return false;
        }
        sidecar.partial_since = None;
        if self.close_log_limit.count(now()) {
            info!(self.log, "closing a sidecar connection"; "why" => why);
        }
        self.scratch.clear();
        sidecar::error(&mut self.scratch, why);
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

    /// Sends a message to a sidecar, if its connection is open.
    pub(super) fn send_to_sidecar(&mut self, to: SidecarStream, encode: impl FnOnce(&mut Vec<u8>)) {
        let Some(sidecar) = self.sidecars.get(&to.conn) else { return };
        self.scratch.clear();
        encode(&mut self.scratch);
        sidecar.out.put(&[&self.scratch]);
    }

    /// Sends a message without a body to the agent.
    pub(super) fn send_to_agent(&mut self, encode: impl FnOnce(&mut Vec<u8>)) {
        self.scratch.clear();
        encode(&mut self.scratch);
        self.agent.put(&[&self.scratch]);
    }

    /// Sends a message with a body to the agent.
    pub(super) fn send_body_to_agent(&mut self, encode: impl FnOnce(&mut Vec<u8>), body: &[u8]) {
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
