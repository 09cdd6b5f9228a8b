//! Closing of connections that are idle, silent or stalled, and of the least useful ones when free slots are scarce.

use super::outboxes::Outboxes;
use super::shared::{Dispatcher, DispatcherState};
use super::sidecar_connection::{IdleClass, SidecarConnectionState};
use crate::core::Core;
use crate::ids::ConnectionId;
use asterrill::Us;
use asterrill_engine::UpstreamLinkId;
use asterrill_net::now;
use slog::warn;

/// Time within which the rest of a partial frame has to arrive, in microseconds.
const PARTIAL_FRAME_TIMEOUT_US: Us = 1_500_000;
/// Time within which a connection has to send its first complete frame, in microseconds.
const FIRST_FRAME_TIMEOUT_US: Us = 2_000_000;
/// Time within which a sidecar that was asked to close a connection has to do so, in microseconds.
const GOAWAY_TIMEOUT_US: Us = 1_000_000;
/// Time within which the sidecar of a closing connection has to read its pending answers, in microseconds.
const CLOSE_TIMEOUT_US: Us = 10_000_000;
/// Idle time after which an upstream link is closed, before the peer closes it or drops its state, in microseconds.
const UPSTREAM_IDLE_TIMEOUT_US: Us = 500_000;
/// Time within which the rest of a partial upstream reply has to arrive, in microseconds.
const PARTIAL_REPLY_TIMEOUT_US: Us = 200_000;
/// Divisor that gives the share of the connection limit kept free for new connections.
const SPARE_CONNECTIONS_DIVISOR: usize = 8;

/// Sidecar connections selected by a sweep.
#[derive(Default)]
struct SweepFindings {
    /// Connections whose partial frame was not completed in time.
    partial: Vec<ConnectionId>,
    /// Connections on which no complete frame was received in time.
    silent: Vec<ConnectionId>,
    /// Connections that were idle for longer than the idle timeout.
    idle: Vec<ConnectionId>,
    /// Number of connections that remain open and were not asked to close.
    remaining: usize,
}

impl Dispatcher {
    /// Closes connections that were idle for too long, those on which a complete frame did not arrive in time, and the
    /// least useful ones before the connection limit is reached.
    pub fn sweep_connections(&self) {
        self.sweep_at(now());
    }

    /// Performs [`Dispatcher::sweep_connections`] as of the given time.
    pub fn sweep_at(&self, now: Us) {
        let mut locked = self.lock();
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        let found = inspect_connections(core, outboxes, now);
        close_slow_readers(outboxes, now);
        for (conns, reason) in
            [(found.partial, "a frame stopped halfway"), (found.silent, "nothing whole came")]
        {
            for conn in conns {
                core.stats_mut().sidecar_protocol_errors +=
                    u64::from(outboxes.close_with_error(conn, reason));
            }
        }
        outboxes.close_answered(core);
        let spare = outboxes.max_connections / SPARE_CONNECTIONS_DIVISOR;
        let excess = found.remaining.saturating_sub(outboxes.max_connections - spare);
        let idle =
            if excess > found.idle.len() { least_useful(core, outboxes, excess, now) } else { found.idle };
        for conn in idle {
            core.stats_mut().closed_idle += 1;
            outboxes.request_close(conn, now);
        }
        sweep_upstream_links(core, outboxes, now);
    }

    /// Closes some connections without pending answers at once, because there is no slot for another connection.
    ///
    /// Nothing more is read from them, so an RPC still in transit has never been accepted. Connections that may still
    /// be useful are closed one at a time.
    pub fn evict_idle(&self) {
        let now = now();
        let mut locked = self.lock();
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        let idle = outboxes
            .sidecars
            .iter()
            .filter(|(conn, sidecar)| sidecar.goaway_sent_at.is_none() && !core.has_pending_answers(**conn));
        let usefulness = |(conn, sidecar): (&ConnectionId, &SidecarConnectionState)| {
            (sidecar.idle_class(core.is_verified(*conn), now), sidecar.last_used(), *conn)
        };
        let mut idle: Vec<(IdleClass, Us, ConnectionId)> = idle.map(usefulness).collect();
        idle.sort_unstable();
        let max_evictions =
            (outboxes.max_connections / SPARE_CONNECTIONS_DIVISOR / SPARE_CONNECTIONS_DIVISOR).max(1);
        for (n, (class, _, conn)) in idle.into_iter().take(max_evictions).enumerate() {
            if n == 0 || class < IdleClass::New {
                core.stats_mut().connections_evicted += 1;
                outboxes.request_close(conn, now);
                if let Some(sidecar) = outboxes.sidecars.get_mut(&conn) {
                    sidecar.evicted = true;
                }
                outboxes.close(conn);
            }
        }
        outboxes.close_answered(core);
    }
}

/// Inspects all sidecar connections, and starts closing those whose sidecar did not comply with the request to close.
fn inspect_connections(core: &Core, outboxes: &mut Outboxes, now: Us) -> SweepFindings {
    let mut found = SweepFindings::default();
    for (conn, sidecar) in &mut outboxes.sidecars {
        if sidecar.partial.has_timed_out(PARTIAL_FRAME_TIMEOUT_US, now) {
            sidecar.partial.clear();
            found.partial.push(*conn);
        } else if !sidecar.has_received_frame && sidecar.opened_at + FIRST_FRAME_TIMEOUT_US < now {
            found.silent.push(*conn);
        } else if let Some(asked_at) = sidecar.goaway_sent_at {
            if asked_at + GOAWAY_TIMEOUT_US < now {
                outboxes.closing.entry(*conn).or_default();
            }
        } else {
            found.remaining += 1;
            let idle = sidecar.last_used().saturating_add(outboxes.idle_timeout) < now;
            if idle && !core.has_pending_answers(*conn) {
                found.idle.push(*conn);
            }
        }
    }
    found
}

/// Closes connections whose sidecar reads its answers too slowly, because they hold slots that others need.
fn close_slow_readers(outboxes: &Outboxes, now: Us) {
    for (conn, close_started) in &outboxes.closing {
        if close_started.is_some_and(|since| since + CLOSE_TIMEOUT_US < now) {
            if let Some(sidecar) = outboxes.sidecars.get(conn) {
                sidecar.out.close_now();
            }
        }
    }
}

/// Returns the idle ones among the least useful connections, `excess` at most.
fn least_useful(core: &Core, outboxes: &Outboxes, excess: usize, now: Us) -> Vec<ConnectionId> {
    let unused = outboxes
        .sidecars
        .iter()
        .filter(|(conn, sidecar)| sidecar.goaway_sent_at.is_none() && !core.has_pending_answers(**conn));
    let candidate = |(conn, sidecar): (&ConnectionId, &SidecarConnectionState)| UnusedConnection {
        class: sidecar.idle_class(core.is_verified(*conn), now),
        last_used: sidecar.last_used(),
        conn: *conn,
        is_idle: sidecar.is_idle_when_scarce(now),
    };
    select_least_useful(unused.map(candidate).collect(), excess)
}

/// Connection without pending answers. Less useful connections come first in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UnusedConnection {
    class: IdleClass,
    last_used: Us,
    conn: ConnectionId,
    /// Whether it has been idle for long enough to be closed when free slots are scarce.
    is_idle: bool,
}

/// Returns the idle ones among the `excess` least useful connections.
///
/// A less useful connection that is not idle yet is not replaced by a more useful one: a later sweep closes it.
fn select_least_useful(mut unused: Vec<UnusedConnection>, excess: usize) -> Vec<ConnectionId> {
    unused.sort_unstable();
    unused.into_iter().take(excess).filter(|unused| unused.is_idle).map(|unused| unused.conn).collect()
}

/// Closes upstream links that are idle or whose partial reply was not completed in time.
fn sweep_upstream_links(core: &mut Core, outboxes: &mut Outboxes, now: Us) {
    for id in (0..outboxes.upstream.len()).map(UpstreamLinkId) {
        let Some(link) = outboxes.upstream.get_mut(id.0) else { continue };
        let last_used = link.out.last_used();
        if link.partial.has_timed_out(PARTIAL_REPLY_TIMEOUT_US, now) {
            link.partial.clear();
            core.stats_mut().upstream_protocol_errors += 1;
            warn!(outboxes.log, "upstream link failed; reconnecting"; "why" => "incomplete reply timed out");
            link.out.close_now();
        } else if last_used > 0 && last_used + UPSTREAM_IDLE_TIMEOUT_US < now && !core.link_has_calls(id) {
            core.retire_link(id, outboxes);
        }
    }
}

#[cfg(test)]
#[path = "../tests/eviction.rs"]
mod tests;
