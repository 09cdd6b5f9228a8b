//! Events in the life cycle of connections, as reported by the coroutines that serve them.

use super::partial_message::ReadProgress;
use super::shared::{Dispatcher, DispatcherState};
use super::sidecar_connection::SidecarConnectionState;
use crate::ids::ConnectionId;
use asterrill_engine::UpstreamLinkId;
use asterrill_net::{now, Outbox};

impl Dispatcher {
    /// Registers an accepted sidecar connection and returns its identifier.
    pub fn connection_opened(&self, out: Outbox) -> ConnectionId {
        let mut locked = self.lock();
        locked.connections_opened += 1;
        let conn = ConnectionId(locked.connections_opened);
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        core.stats_mut().connections += 1;
        if outboxes.draining {
            outboxes.send_goaway(&out);
        }
        outboxes.sidecars.insert(conn, SidecarConnectionState::new(out, now()));
        if outboxes.closing_all {
            outboxes.close(conn);
            outboxes.close_answered(core);
        }
        conn
    }

    /// Handles the end of a sidecar connection. `broken` tells that the peer reset it, or that its socket failed.
    pub fn connection_closed(&self, conn: ConnectionId, broken: bool) {
        self.with(|core, outbound, now| {
            core.stats_mut().connections_broken += u64::from(broken);
            core.connection_closed(now, conn, outbound);
        });
        let mut locked = self.lock();
        locked.outboxes.sidecars.remove(&conn);
        locked.outboxes.closing.remove(&conn);
    }

    /// Records the state of a connection's input after a read.
    pub fn frame_progress(&self, conn: ConnectionId, progress: ReadProgress) {
        let mut locked = self.lock();
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        let Some(sidecar) = outboxes.sidecars.get_mut(&conn) else { return };
        sidecar.has_received_frame |= progress.completed;
        sidecar.partial.update(progress, now());
        // Closing starts over, because the input may have been an RPC that has to be answered first.
        if let Some(close_started) = outboxes.closing.get_mut(&conn) {
            *close_started = None;
            outboxes.close_answered(core);
        }
    }

    /// Records the state of an upstream link's input after a read.
    pub fn reply_progress(&self, link: UpstreamLinkId, progress: ReadProgress) {
        if let Some(link) = self.lock().outboxes.upstream.get_mut(link.0) {
            link.partial.update(progress, now());
        }
    }

    /// Closes a connection from which nothing more is read, once no answer is pending on it. The sidecar is sent the
    /// error, if there is one.
    pub fn close_when_answered(&self, conn: ConnectionId, error: Option<&str>) {
        let mut locked = self.lock();
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        match error {
            Some(reason) => {
                core.stats_mut().sidecar_protocol_errors += u64::from(outboxes.close_with_error(conn, reason))
            }
            None if outboxes.sidecars.contains_key(&conn) => outboxes.close(conn),
            None => {}
        }
        outboxes.close_answered(core);
    }

    /// Closes the listening socket and all connections. RPCs already received are handled, and pending answers are
    /// written first.
    pub fn close_all(&self) {
        let mut locked = self.lock();
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        outboxes.listener.close();
        outboxes.closing_all = true;
        let conns: Vec<ConnectionId> = outboxes.sidecars.keys().copied().collect();
        for conn in conns {
            outboxes.close(conn);
        }
        outboxes.close_answered(core);
    }

    /// Reports whether no sidecar connection is left and all bytes for the broker have been written.
    pub fn all_closed(&self) -> bool {
        let outboxes = &self.lock().outboxes;
        outboxes.sidecars.is_empty() && outboxes.broker.iter().all(Outbox::is_empty)
    }
}
