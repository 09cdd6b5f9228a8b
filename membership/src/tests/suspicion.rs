//! What tests see of `suspicion.rs`.

use super::*;

impl Membership {
    /// Right after a tick: whom `foca` suspects, of all that it has, is a suspect in the table, and nobody else.
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
