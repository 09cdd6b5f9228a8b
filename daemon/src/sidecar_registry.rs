//! Registry of sidecar connections: whether the agent is known to accept RPCs of each sidecar, and the account that each is
//! charged to.

use crate::account_slots::{AccountSlot, AccountSlots};
use crate::ids::ConnectionId;
use asterrill::{Caller, CallerId};
use std::collections::BTreeMap;

/// Number of RPCs that could not be run after which a connection without any completed run is closed.
const MAX_UNRUNNABLE_RPCS: u32 = 4;

/// Fault of a sidecar after which nothing more is accepted from its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SidecarFault {
    /// Too many of its streams are open.
    TooManyStreams,
    /// None of the RPCs of its connection could be run.
    NothingRunnable,
}

impl SidecarFault {
    /// Returns the reason that the sidecar is given.
    pub fn reason(self) -> &'static str {
        match self {
            SidecarFault::TooManyStreams => "too many streams are open",
            SidecarFault::NothingRunnable => "nothing that came here could be run",
        }
    }
}

/// State of a connection on which an RPC was received.
#[derive(Clone, Copy, Debug)]
struct SidecarState {
    account: AccountSlot,
    /// The number that its first RPC stated. A sidecar has one number, so that later ones don't count.
    stated: Option<CallerId>,
    /// Whether a run was completed for it, which shows that the agent knows its sidecar.
    verified: bool,
    /// The number of RPCs that could not be run, counted until the first completed run.
    unrunnable_rpcs: u32,
}

/// Connections on which an RPC was received, each until it is closed.
#[derive(Default)]
pub struct SidecarRegistry {
    sidecars: BTreeMap<ConnectionId, SidecarState>,
    accounts: AccountSlots,
}

impl SidecarRegistry {
    /// Registers an RPC on a connection. Returns false if nothing more is accepted from it.
    pub fn accepts_rpc(&mut self, conn: ConnectionId) -> bool {
        self.register(conn).unrunnable_rpcs < MAX_UNRUNNABLE_RPCS
    }

    fn register(&mut self, conn: ConnectionId) -> &mut SidecarState {
        let accounts = &mut self.accounts;
        self.sidecars.entry(conn).or_insert_with(|| SidecarState {
            account: accounts.take(),
            stated: None,
            verified: false,
            unrunnable_rpcs: 0,
        })
    }

    /// Returns the sender of an RPC on a connection that states this number.
    pub fn caller(&mut self, conn: ConnectionId, stated: CallerId) -> Caller {
        let sidecar = self.register(conn);
        Caller { account: sidecar.account.caller(), stated: *sidecar.stated.get_or_insert(stated) }
    }

    /// Reports whether a run was ever completed for this connection, which shows that the agent knows its sidecar.
    pub fn is_verified(&self, conn: ConnectionId) -> bool {
        self.sidecars.get(&conn).is_some_and(|sidecar| sidecar.verified)
    }

    /// Records that a run was completed for an RPC of this connection.
    pub fn run_completed(&mut self, conn: ConnectionId) {
        if let Some(sidecar) = self.sidecars.get_mut(&conn) {
            (sidecar.verified, sidecar.unrunnable_rpcs) = (true, 0);
        }
    }

    /// Counts an RPC that could not be run. Returns true if the connection is to be closed because of it.
    pub fn count_unrunnable(&mut self, conn: ConnectionId) -> bool {
        let Some(sidecar) = self.sidecars.get_mut(&conn).filter(|sidecar| !sidecar.verified) else {
            return false;
        };
        sidecar.unrunnable_rpcs += 1;
        sidecar.unrunnable_rpcs == MAX_UNRUNNABLE_RPCS
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, conn: ConnectionId) {
        if let Some(sidecar) = self.sidecars.remove(&conn) {
            self.accounts.release(sidecar.account);
        }
    }
}
