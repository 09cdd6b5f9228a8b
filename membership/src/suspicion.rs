//! Updates of the member table that `foca` does not report: suspicions, and flap scores that have decayed.

use crate::config::MAX_MEMBERS;
use crate::event::Event;
use crate::member::{MemberStatus, StatusReason};
use crate::member_id::MemberId;
use crate::member_name::MemberName;
use crate::state::Membership;
use foca::State;
use std::collections::BTreeSet;

/// State in `foca` of a member that may be a suspect.
struct SwimState {
    name: MemberName,
    generation: u64,
    state: State,
}

impl Membership {
    pub(crate) fn update_member_table(&mut self) {
        if !self.possible_suspects.is_empty() {
            self.update_suspects();
        }
        if !self.flapping.is_empty() {
            self.release_stable_members();
        }
        if self.members.len() > MAX_MEMBERS {
            self.evict_oldest_dead_or_left();
        }
    }

    /// Updates the members that are suspects in the table and those that probes or gossip may have made suspects.
    fn update_suspects(&mut self) {
        let mut suspected = BTreeSet::new();
        for SwimState { name, generation, state } in self.states_of_possible_suspects() {
            if state == State::Suspect {
                suspected.insert(name.clone());
            }
            self.update_suspect(name, generation, state);
        }
        let members = &self.members;
        self.possible_suspects.retain(|name| {
            let member = members.get(name);
            suspected.contains(name) || member.is_some_and(|member| member.status == MemberStatus::Suspect)
        });
    }

    fn states_of_possible_suspects(&self) -> Vec<SwimState> {
        let members = self.foca.iter_members();
        let possible = members.filter(|member| self.possible_suspects.contains(&member.id().name));
        let state = |member: &foca::Member<MemberId>| SwimState {
            name: member.id().name.clone(),
            generation: member.id().generation,
            state: member.state(),
        };
        possible.map(state).collect()
    }

    fn update_suspect(&mut self, name: MemberName, generation: u64, state: State) {
        let Some(member) = self.members.get_mut(&name) else { return };
        if member.id.generation != generation {
            return;
        }
        match (member.status, state) {
            (MemberStatus::Alive, State::Suspect) => {
                let reason = StatusReason::ProbeFailed;
                member.set_status(MemberStatus::Suspect, reason, self.now);
                self.events.push(Event::Suspect { name, reason });
            }
            (MemberStatus::Suspect, State::Alive) => {
                member.set_status(MemberStatus::Alive, StatusReason::Alive, self.now);
            }
            _ => {}
        }
    }

    fn release_stable_members(&mut self) {
        let (now, window) = (self.now, self.config.flap_window);
        let mut stable = Vec::new();
        for name in &self.flapping {
            let Some(member) = self.members.get_mut(name) else { continue };
            if member.flaps.is_below_release_threshold(now, window) {
                member.damped = false;
                stable.push(name.clone());
            }
        }
        for name in stable {
            self.flapping.remove(&name);
            self.changed.insert(name.clone());
            self.events.push(Event::Stable { name });
        }
    }

    /// Removes the member that has been dead or has left for the longest time.
    fn evict_oldest_dead_or_left(&mut self) {
        let removable = self.members.values().filter(|member| member.is_dead_or_left());
        let oldest = removable.min_by_key(|member| member.since).map(|member| member.id.name.clone());
        if let Some(name) = oldest {
            self.members.remove(&name);
            self.flapping.remove(&name);
            self.changed.insert(name);
        }
    }
}

#[cfg(test)]
#[path = "tests/suspicion.rs"]
mod tests;
