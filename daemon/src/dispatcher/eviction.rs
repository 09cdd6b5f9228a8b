//! Which connections are closed from here: idle, silent or stalled ones, and the least useful when they get scarce.

use super::outboxes::Outboxes;
use super::shared::{Dispatcher, DispatcherState};
use super::sidecar_connection::{IdleClass, SidecarConnectionState};
use crate::core::Core;
use crate::ids::ConnectionId;
use asterrill::Us;
use asterrill_engine::UpstreamLinkId;
use asterrill_net::now;
use slog::warn;

/// The rest of a partial frame is awaited for so many microseconds.
const PARTIAL_FRAME_TIMEOUT_US: Us = 1_500_000;
/// A connection sends a complete frame within so many microseconds, or is of no use.
const FIRST_FRAME_TIMEOUT_US: Us = 2_000_000;
/// A sidecar that was asked to close a connection does so within so many microseconds.
const GOAWAY_TIMEOUT_US: Us = 1_000_000;
/// Once a connection is being closed, its sidecar reads its pending answers within so many microseconds, or is cut off.
const CLOSE_TIMEOUT_US: Us = 10_000_000;
/// An idle upstream link is closed after so many microseconds, before the other side closes or forgets it.
const UPSTREAM_IDLE_TIMEOUT_US: Us = 500_000;
/// The rest of a partial upstream reply is awaited for so many microseconds.
const PARTIAL_REPLY_TIMEOUT_US: Us = 200_000;
/// Of the connections that there may be, one in so many is left free.
const SPARE_CONNECTIONS_DIVISOR: usize = 8;

/// What a sweep has found of the sidecar connections.
#[derive(Default)]
struct SweepFindings {
    /// A frame arrived in part and did not go on.
    partial: Vec<ConnectionId>,
    /// No complete frame has come.
    silent: Vec<ConnectionId>,
    /// Idle for longer than the idle timeout.
    idle: Vec<ConnectionId>,
    /// Connections that were not asked to close.
    remaining: usize,
}

impl Dispatcher {
    /// Closes connections that were idle for too long, those on which a frame stopped halfway or no complete frame came,
    /// and the least useful before there are too many.
    pub fn sweep_connections(&self) {
        self.sweep_at(now());
    }

    /// [`Dispatcher::sweep_connections`] at a moment.
    pub fn sweep_at(&self, now: Us) {
        let mut locked = self.lock();
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        let found = inspect_connections(core, outboxes, now);
        cut_off_slow_readers(outboxes, now);
        for (conns, why) in [(found.partial, "a frame stopped halfway"), (found.silent, "nothing whole came")]
        {
            for conn in conns {
                core.stats_mut().sidecar_protocol_errors += u64::from(outboxes.close_with_error(conn, why));
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

    /// There is no slot for another connection: some on which no answer is pending are closed at once. Nothing more is read
    /// from them, so an RPC on its way was never taken. Those that may be of use are closed one at a time only.
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
        let at_most =
            (outboxes.max_connections / SPARE_CONNECTIONS_DIVISOR / SPARE_CONNECTIONS_DIVISOR).max(1);
        for (n, (class, _, conn)) in idle.into_iter().take(at_most).enumerate() {
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

/// Looks at each sidecar connection. Those that were asked to close and did not are closed from here.
fn inspect_connections(core: &Core, outboxes: &mut Outboxes, now: Us) -> SweepFindings {
    let mut found = SweepFindings::default();
    for (conn, sidecar) in &mut outboxes.sidecars {
        if sidecar.partial_since.is_some_and(|since| since + PARTIAL_FRAME_TIMEOUT_US < now) {
            sidecar.partial_since = None;
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

/// A sidecar that reads too slowly for its answers to be written in time holds a slot that others need.
fn cut_off_slow_readers(outboxes: &Outboxes, now: Us) {
    for (conn, close_started) in &outboxes.closing {
        if close_started.is_some_and(|since| since + CLOSE_TIMEOUT_US < now) {
            if let Some(sidecar) = outboxes.sidecars.get(conn) {
                sidecar.out.close_now();
            }
        }
    }
}

/// The least useful of the idle connections, as many as there are too many.
fn least_useful(core: &Core, outboxes: &Outboxes, excess: usize, now: Us) -> Vec<ConnectionId> {
    let mut candidates: Vec<_> =
        outboxes.sidecars.iter().filter(|(conn, _)| !core.has_pending_answers(**conn)).collect();
    candidates.retain(|(_, sidecar)| sidecar.goaway_sent_at.is_none() && sidecar.is_idle_when_scarce(now));
    candidates.sort_by_cached_key(|(conn, sidecar)| {
        (sidecar.idle_class(core.is_verified(**conn), now), sidecar.last_used())
    });
    candidates.into_iter().take(excess).map(|(conn, _)| *conn).collect()
}

/// Reconnects upstream links whose reply stopped halfway, and closes idle ones.
fn sweep_upstream_links(core: &mut Core, outboxes: &mut Outboxes, now: Us) {
    for id in (0..outboxes.upstream.len()).map(UpstreamLinkId) {
        let Some(link) = outboxes.upstream.get_mut(id.0) else { continue };
        let last_used = link.out.last_used();
        if link.partial_since.is_some_and(|since| since + PARTIAL_REPLY_TIMEOUT_US < now) {
            link.partial_since = None;
            core.stats_mut().upstream_protocol_errors += 1;
            warn!(outboxes.log, "reconnecting an upstream link"; "why" => "a reply stopped halfway");
            link.out.close_now();
        } else if last_used > 0 && last_used + UPSTREAM_IDLE_TIMEOUT_US < now && !core.link_has_calls(id) {
            core.retire_link(id, outboxes);
        }
    }
}
