//! What a member persists for its next process: its generation, the agreed members, and where they were reached. Text in
//! and out; the owner of the file adds the checksum (`asterrill_recovery::encode_checksummed`).
//!
//! One line each: `start N`, `wall US`, `agreed NAME` for each agreed member, `at ADDRESS` for each address.

use crate::member_id::MemberId;
use crate::member_name::MemberName;
use asterrill::Us;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Names, and addresses, in a text at the most.
const MAX_ENTRIES_PER_KIND: usize = 4096;

/// The state that survives a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// The generation of the process that wrote it.
    pub generation: u64,
    /// The Unix clock when it was written, in microseconds.
    pub written_at: Us,
    /// The agreed members.
    pub agreed_members: BTreeSet<MemberName>,
    /// Where members were reached.
    pub addresses: Vec<SocketAddr>,
}

/// What a new process starts with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredState {
    /// The generation of the new process.
    pub generation: u64,
    /// The agreed members; empty if what was persisted is not used.
    pub agreed_members: BTreeSet<MemberName>,
    /// Addresses to contact; empty if what was persisted is not used.
    pub addresses: Vec<SocketAddr>,
}

/// A persisted text can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line} is not understood: {text:?}")]
pub struct ParseStateError {
    /// The number of the line, from 1.
    pub line: usize,
    /// The line.
    pub text: String,
}

impl PersistedState {
    /// As text.
    pub fn to_text(&self) -> String {
        let mut text = format!("start {}\nwall {}\n", self.generation, self.written_at);
        self.agreed_members.iter().for_each(|name| text.push_str(&format!("agreed {name}\n")));
        self.addresses.iter().for_each(|addr| text.push_str(&format!("at {addr}\n")));
        text
    }

    /// Reads a text that [`PersistedState::to_text`] wrote.
    ///
    /// # Errors
    /// [`ParseStateError`] names the first line that is of no known kind, has a value that is not valid, or is one too
    /// many.
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

    /// What a new process uses of what the one before persisted: its generation always; the rest unless it is older than
    /// `forget_after` (microseconds) or its age can't be determined, as the agreed members of long ago may have been replaced
    /// since.
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
