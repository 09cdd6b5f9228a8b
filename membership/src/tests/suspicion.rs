//! Accessor to `suspicion.rs` for tests.

use super::*;

impl Membership {
    /// Reports whether the suspects in the table are those of `foca`. This holds directly after a tick.
    pub(crate) fn suspects_match_foca(&self) -> bool {
        self.foca.iter_members().all(|swim| {
            let member = self.members.get(&swim.id().name);
            let member = member.filter(|member| member.id.generation == swim.id().generation);
            member.is_none_or(|member| {
                (member.status == MemberStatus::Suspect) == (swim.state() == State::Suspect)
            })
        })
    }
}
