//! What a restart wants to know of before: the number of its start, who was agreed on, and where they were. Text in and
//! out; whoever owns files seals and writes it (`asterrill-recovery::seal`).

use crate::id::{Id, Name};
use asterrill::Us;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const MOST: usize = 4096; // names, and addresses

/// See the module's page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    pub start: u64,
    /// The Unix clock when it was written, in microseconds.
    pub wall: Us,
    pub agreed: BTreeSet<Name>,
    pub at: Vec<SocketAddr>,
}

impl Kept {
    pub fn write(&self) -> String {
        let mut text = format!("start {}\nwall {}\n", self.start, self.wall);
        self.agreed.iter().for_each(|name| text.push_str(&format!("agreed {name}\n")));
        self.at.iter().for_each(|at| text.push_str(&format!("at {at}\n")));
        text
    }

    /// None if a line is none of these.
    pub fn read(text: &str) -> Option<Kept> {
        let mut kept = Kept::default();
        for line in text.lines() {
            let (word, value) = line.split_once(' ')?;
            match word {
                "start" => kept.start = value.parse().ok()?,
                "wall" => kept.wall = value.parse().ok()?,
                "agreed" if kept.agreed.len() < MOST => drop(kept.agreed.insert(Name::new(value)?)),
                "at" if kept.at.len() < MOST => kept.at.push(value.parse().ok()?),
                _ => return None,
            }
        }
        Some(kept)
    }

    /// What of it still holds now: the number of this start, and the rest unless it is older than `forget` or its age
    /// can't be told. Who was agreed on long ago may have been replaced since.
    pub fn weigh(kept: Option<Kept>, wall: Us, forget: Us) -> (u64, BTreeSet<Name>, Vec<SocketAddr>) {
        let start = Id::next_start(kept.as_ref().map(|kept| kept.start), wall);
        let fresh = kept.filter(|kept| kept.wall <= wall && wall - kept.wall < forget);
        let (agreed, at) = fresh.map(|kept| (kept.agreed, kept.at)).unwrap_or_default();
        (start, agreed, at)
    }
}

#[cfg(test)]
#[path = "tests/persisted_state.rs"]
mod tests;
