//! State that a member persists for its next process: its generation, the agreed members and their addresses.
//!
//! The text has the lines `start N` and `wall US`, a line `agreed NAME` for each agreed member, and a line `at ADDRESS`
//! for each address. The owner of the file adds the checksum (`asterrill_recovery::encode_checksummed`).

use crate::member_id::MemberId;
use crate::member_name::MemberName;
use asterrill::Us;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of names, and of addresses, in a text.
const MAX_ENTRIES_PER_KIND: usize = 4096;

/// State that survives a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Generation of the process that wrote the state.
    pub generation: u64,
    /// Unix time at which the state was written, in microseconds.
    pub written_at: Us,
    /// Agreed members.
    pub agreed_members: BTreeSet<MemberName>,
    /// Addresses of the members that were alive.
    pub addresses: Vec<SocketAddr>,
}

/// Initial state of a new process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredState {
    /// Generation of the new process.
    pub generation: u64,
    /// Agreed members; empty if the persisted ones are not used.
    pub agreed_members: BTreeSet<MemberName>,
    /// Addresses to contact; empty if the persisted ones are not used.
    pub addresses: Vec<SocketAddr>,
}

/// Error of a persisted text that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "membership state, line {line}: expected \"start\", \"wall\", \"agreed\" or \"at\" with a valid value and \
     at most {} entries of a kind, found {text:?}",
    MAX_ENTRIES_PER_KIND
)]
pub struct ParseStateError {
    /// Line number, from 1.
    pub line: usize,
    /// Contents of the line.
    pub text: String,
}

impl PersistedState {
    /// Returns the state as text.
    pub fn to_text(&self) -> String {
        let mut text = format!("start {}\nwall {}\n", self.generation, self.written_at);
        self.agreed_members.iter().for_each(|name| text.push_str(&format!("agreed {name}\n")));
        self.addresses.iter().for_each(|addr| text.push_str(&format!("at {addr}\n")));
        text
    }

    /// Parses a text that [`PersistedState::to_text`] wrote.
    ///
    /// # Errors
    /// Returns a [`ParseStateError`] with the first line that is of an unknown kind, has an invalid value, or exceeds
    /// the maximum number of names or addresses.
    pub fn from_text(text: &str) -> Result<PersistedState, ParseStateError> {
        let mut state = PersistedState::default();
        for (i, line) in text.lines().enumerate() {
            state.read_line(line).ok_or_else(|| ParseStateError { line: i + 1, text: line.into() })?;
        }
        Ok(state)
    }

    fn read_line(&mut self, line: &str) -> Option<()> {
        let (key, value) = line.split_once(' ')?;
        match key {
            "start" => self.generation = value.parse().ok()?,
            "wall" => self.written_at = value.parse().ok()?,
            "agreed" if self.agreed_members.len() < MAX_ENTRIES_PER_KIND => {
                self.agreed_members.insert(MemberName::new(value)?);
            }
            "at" if self.addresses.len() < MAX_ENTRIES_PER_KIND => self.addresses.push(value.parse().ok()?),
            _ => return None,
        }
        Some(())
    }

    /// Returns the initial state of a new process.
    ///
    /// The previous generation is always used. The agreed members and addresses are used only if their age is known and
    /// below `forget_after` (microseconds), because older agreed members may have been replaced since. The age is
    /// unknown if the present time is earlier than the time at which the state was written.
    pub fn restore(previous: Option<PersistedState>, wall_clock: Us, forget_after: Us) -> RestoredState {
        let generation =
            MemberId::next_generation(previous.as_ref().map(|state| state.generation), wall_clock);
        let is_recent = |state: &PersistedState| {
            state.written_at <= wall_clock && wall_clock - state.written_at < forget_after
        };
        let recent = previous.filter(is_recent).unwrap_or_default();
        RestoredState { generation, agreed_members: recent.agreed_members, addresses: recent.addresses }
    }
}

#[cfg(test)]
#[path = "tests/persisted_state.rs"]
mod tests;
