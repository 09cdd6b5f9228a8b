//! What is known of the sidecars' connections: whether the agent knows of whoever is at the other end.

use crate::wire::ConnId;
use std::collections::BTreeMap;

const NONSENSE: u32 = 4; // RPCs that could not be run: a connection that brought nothing else is closed

/// What is known of a connection that brought an RPC.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// A run was made for it: it is a sidecar that the agent knows of.
    proven: bool,
    /// RPCs that could not be run, as long as none was.
    nonsense: u32,
}

/// The connections that have brought an RPC, until each ends.
#[derive(Default)]
pub struct SidecarRegistry(BTreeMap<ConnId, Standing>);

impl SidecarRegistry {
    /// An RPC came on a connection. False if nothing more is taken from it.
    pub fn brings(&mut self, conn: ConnId) -> bool {
        self.0.entry(conn).or_default().nonsense < NONSENSE
    }
    /// A run was made for this connection: its RPCs are those of a sidecar that the agent knows of.
    pub fn proven(&self, conn: ConnId) -> bool {
        self.0.get(&conn).is_some_and(|standing| standing.proven)
    }
    /// A run was made for an RPC of this connection.
    pub fn ran(&mut self, conn: ConnId) {
        let run = Standing { proven: true, nonsense: 0 };
        self.0.entry(conn).and_modify(|standing| *standing = run);
    }
    /// An RPC could not be run. True once the connection is to be closed for it.
    pub fn nonsense(&mut self, conn: ConnId) -> bool {
        let Some(standing) = self.0.get_mut(&conn).filter(|standing| !standing.proven) else { return false };
        standing.nonsense += 1;
        standing.nonsense == NONSENSE
    }
    pub fn ended(&mut self, conn: ConnId) {
        self.0.remove(&conn);
    }
}
