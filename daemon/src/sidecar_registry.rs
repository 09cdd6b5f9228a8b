//! What each sidecar connection has verified: whether the agent knows the sidecar at the other end.

use crate::ids::ConnectionId;
use std::collections::BTreeMap;

/// RPCs that could not be run after which a connection that brought nothing else is closed.
const MAX_UNRUNNABLE_RPCS: u32 = 4;

/// What is recorded of a connection that has brought an RPC.
#[derive(Clone, Copy, Debug, Default)]
struct SidecarState {
    /// A run was made for it: the agent knows its sidecar.
    verified: bool,
    /// RPCs that could not be run, counted until one was.
    unrunnable_rpcs: u32,
}

/// The connections that have brought an RPC, each until it closes.
#[derive(Default)]
pub struct SidecarRegistry(BTreeMap<ConnectionId, SidecarState>);

impl SidecarRegistry {
    /// Registers that an RPC came on a connection. False if nothing more is accepted from it.
    pub fn accepts_rpc(&mut self, conn: ConnectionId) -> bool {
        self.0.entry(conn).or_default().unrunnable_rpcs < MAX_UNRUNNABLE_RPCS
    }

    /// Whether a run was ever made for this connection: its RPCs are then those of a sidecar that the agent knows.
    pub fn is_verified(&self, conn: ConnectionId) -> bool {
        self.0.get(&conn).is_some_and(|sidecar| sidecar.verified)
    }

    /// A run was made for an RPC of this connection.
    pub fn run_completed(&mut self, conn: ConnectionId) {
        let verified = SidecarState { verified: true, unrunnable_rpcs: 0 };
        self.0.entry(conn).and_modify(|sidecar| *sidecar = verified);
    }

    /// An RPC could not be run. True when the connection is to be closed for it.
    pub fn count_unrunnable(&mut self, conn: ConnectionId) -> bool {
        let Some(sidecar) = self.0.get_mut(&conn).filter(|sidecar| !sidecar.verified) else { return false };
        sidecar.unrunnable_rpcs += 1;
        sidecar.unrunnable_rpcs == MAX_UNRUNNABLE_RPCS
    }

    /// The connection was closed.
    pub fn remove(&mut self, conn: ConnectionId) {
        self.0.remove(&conn);
    }
}
