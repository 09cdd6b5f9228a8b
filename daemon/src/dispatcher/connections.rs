//! The life of connections as their drivers report it.

use super::shared::{Dispatcher, DispatcherState};
use super::sidecar_connection::SidecarConnectionState;
use crate::ids::ConnectionId;
use asterrill_engine::UpstreamLinkId;
use asterrill_net::{now, Outbox};

impl Dispatcher {
    /// A sidecar connection was accepted.
    pub fn connection_opened(&self, out: Outbox) -> ConnectionId {
        let mut locked = self.lock();
        locked.opened += 1;
        let conn = ConnectionId(locked.opened);
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

    /// A sidecar connection has ended; `broken`: the other side broke it off.
    pub fn connection_closed(&self, conn: ConnectionId, broken: bool) {
        self.with(|core, outbound, now| {
            core.stats_mut().connections_broken += u64::from(broken);
            core.connection_closed(now, conn, outbound);
        });
        let mut locked = self.lock();
        locked.outboxes.sidecars.remove(&conn);
        locked.outboxes.closing.remove(&conn);
    }

    /// Bytes of a connection were read: whether a complete frame has come on it so far, and whether a frame has arrived
    /// in part.
    pub fn frame_progress(&self, conn: ConnectionId, has_received_frame: bool, has_partial: bool) {
        let mut locked = self.lock();
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        let Some(sidecar) = outboxes.sidecars.get_mut(&conn) else { return };
        sidecar.has_received_frame = has_received_frame;
        sidecar.partial_since =
            if has_partial { sidecar.partial_since.or_else(|| Some(now())) } else { None };
        // Something came on one that was about to be closed: that waits until it has been dealt with.
        if let Some(close_started) = outboxes.closing.get_mut(&conn) {
            *close_started = None;
            outboxes.close_answered(core);
        }
    }

    /// Bytes of an upstream link were read: whether a reply has arrived in part.
    pub fn reply_progress(&self, link: UpstreamLinkId, has_partial: bool) {
        if let Some(link) = self.lock().outboxes.upstream.get_mut(link.0) {
            link.partial_since = if has_partial { link.partial_since.or_else(|| Some(now())) } else { None };
        }
    }

    /// No more is read from a connection: it is closed once no answer is pending on it. The sidecar is sent the error.
    pub fn close_when_answered(&self, conn: ConnectionId, error: Option<&str>) {
        let mut locked = self.lock();
        let DispatcherState { core, outboxes, .. } = &mut *locked;
        match error {
            Some(why) => {
                core.stats_mut().sidecar_protocol_errors += u64::from(outboxes.close_with_error(conn, why))
            }
            None if outboxes.sidecars.contains_key(&conn) => outboxes.close(conn),
            None => {}
        }
        outboxes.close_answered(core);
    }

    /// Closes all connections: what had come on them is dealt with, and all that was answered arrives.
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

    /// Whether no connection is left, and all that is for the broker has been written.
    pub fn all_closed(&self) -> bool {
        let outboxes = &self.lock().outboxes;
        outboxes.sidecars.is_empty() && outboxes.broker.iter().all(Outbox::is_empty)
    }
}
