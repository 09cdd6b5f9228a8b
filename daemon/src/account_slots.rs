//! Accounts of sidecar connections.
//!
//! What an RPC states about its sender is not proven, so each connection is charged to an account of its own. A connection
//! that is opened takes over the account that was released last, with its balance: who closes connections and opens new ones
//! gets no further account, and there are never more accounts than connections were open at a time.

use asterrill::CallerId;

/// Bit that distinguishes the accounts of connections from those of queues.
const CONNECTION_ACCOUNT_BIT: u64 = 1 << 62;

/// Number of the account of an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSlot(u64);

impl AccountSlot {
    /// Returns the account.
    pub fn caller(self) -> CallerId {
        CallerId(CONNECTION_ACCOUNT_BIT | self.0)
    }
}

/// Reports whether an account belongs to a connection, so that it has no meaning after a restart.
pub fn is_connection_account(account: CallerId) -> bool {
    account.0 >> CONNECTION_ACCOUNT_BIT.trailing_zeros() == 1
}

/// Accounts of connections, those of open ones and those that were released.
#[derive(Default)]
pub struct AccountSlots {
    created: u64,
    released: Vec<AccountSlot>,
}

impl AccountSlots {
    /// Returns the account that was released last, or a new one if none is released.
    pub fn take(&mut self) -> AccountSlot {
        self.released.pop().unwrap_or_else(|| {
            self.created += 1;
            AccountSlot(self.created)
        })
    }

    /// Releases the account of a connection that is closed.
    pub fn release(&mut self, account: AccountSlot) {
        self.released.push(account);
    }
}

#[cfg(test)]
#[path = "tests/account_slots.rs"]
mod tests;
