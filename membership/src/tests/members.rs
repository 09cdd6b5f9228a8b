//! What tests see of `members.rs`.

use super::*;

impl Members {
    /// Right after a tick: whom `foca` suspects, of all that it has, counts as suspected, and nobody else.
    pub(crate) fn suspects_are_told(&self) -> bool {
        self.foca.iter_members().all(|m| {
            let known = self.known.get(&m.id().name).filter(|k| k.id.start == m.id().start);
            known.is_none_or(|k| (k.standing == Standing::Suspect) == (m.state() == State::Suspect))
        })
    }
}
