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
mod tests {
    use super::*;
    use quickcheck::QuickCheck;

    #[test]
    fn what_is_kept_is_read_again_and_holds_only_while_its_age_can_be_told() {
        let agreed: BTreeSet<Name> = ["n1", "n 2"].iter().filter_map(|name| Name::new(name)).collect();
        let kept = Kept { start: 7, wall: 1_000, agreed, at: vec!["127.0.0.1:7946".parse().unwrap()] };
        assert_eq!(Kept::read(&kept.write()), Some(kept.clone()));
        let (start, agreed, at) = Kept::weigh(Some(kept.clone()), 1_500, 600);
        assert_eq!((start, agreed.len(), at.len()), (1_500, 2, 1));
        for (wall, why) in [(1_700, "too old"), (900, "written in the future")] {
            let (start, agreed, at) = Kept::weigh(Some(kept.clone()), wall, 600);
            assert!(start >= wall && start > 7 && agreed.is_empty() && at.is_empty(), "{why}");
        }
        assert_eq!(Kept::weigh(Some(Kept { start: 9_000, ..kept }), 900, 600).0, 9_001, "a clock set back");
        assert_eq!(Kept::weigh(None, 5, 600), (5, BTreeSet::new(), Vec::new()));
    }

    #[test]
    fn no_text_whatever_ends_in_a_panic() {
        fn holds(text: String) -> bool {
            Kept::read(&text).is_none_or(|kept| Kept::read(&kept.write()) == Some(kept))
        }
        QuickCheck::new().tests(2_000).quickcheck(holds as fn(String) -> bool);
    }
}
