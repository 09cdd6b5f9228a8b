//! Activation of committed versions, and the policy that this node enforces.

use super::state::{CompatibleVersions, Node, ProposedActivation};
use crate::apply_policy::{ApplyMode, ApplyPolicy};
use crate::command::Command;
use crate::proposal::Proposal;
use crate::step::MAX_STEP_CHANGES;
use crate::version::Version;
use asterrill::Us;

const EXPIRY_SWEEP_INTERVAL_US: Us = 1_000_000;
/// Minimum time before the same activation is proposed again.
const REPROPOSE_INTERVAL_US: Us = 1_000_000;

impl Node {
    /// Proposes, as the leader, that newer versions become active: the newest one once each node has it or has no lease
    /// any more, and before that those that don't contradict the active one.
    pub(super) fn propose_activation(&mut self, active: u64, newest: &Version) {
        let Some(lessor) = &self.lessor else { return };
        if newest.number <= active {
            return;
        }
        let Some(active_version) = self.version_log().version(active) else { return };
        let all_ready = lessor.may_activate(self.now, newest.number);
        let compatible = self.last_compatible(&active_version, newest.number);
        let next = if all_ready { Some(newest.number) } else { Some(compatible).filter(|c| *c > active) };
        // Each version is proposed once, and again only if it is not committed within the interval.
        let last = self.proposed_activation;
        let next = next.filter(|next| *next > last.number || last.at + REPROPOSE_INTERVAL_US <= self.now);
        if let (Some(number), Some(voter)) = (next, &mut self.voter) {
            self.proposed_activation = ProposedActivation { number, at: self.now };
            voter.propose(&Command::Activate(number));
        }
    }

    /// Returns the last version up to which no step contradicts the active version. Each step is compared once.
    fn last_compatible(&mut self, active: &Version, newest: u64) -> u64 {
        let mut compatible = self.compatible;
        if compatible.active != active.number {
            compatible = CompatibleVersions { active: active.number, last: active.number };
        }
        while compatible.last < newest && !self.version_log().step_contradicts(active, compatible.last + 1) {
            compatible.last += 1;
        }
        self.compatible = compatible;
        compatible.last
    }

    /// Proposes, as the leader, the removal of entries that have expired.
    pub(super) fn sweep_expired_entries(&mut self, unix_now: Us) {
        if !self.is_leader() || self.now < self.next_expiry_sweep {
            return;
        }
        self.next_expiry_sweep = self.now + EXPIRY_SWEEP_INTERVAL_US;
        let changes = self.version_log().newest().expired_changes(unix_now, MAX_STEP_CHANGES);
        if !changes.is_empty() {
            let base = Some(self.version_log().number());
            self.propose(Proposal::Change { base, changes });
        }
    }

    /// Updates the policy that this node enforces.
    pub(super) fn refresh_policy(&mut self) {
        let newest = self.version_log().newest();
        let leased = self.version_log().version(self.leased_version);
        let policy = match leased.filter(|_| self.lease.until() > self.now) {
            Some(leased) if leased.number == newest.number => ApplyPolicy::full(leased),
            Some(leased) => ApplyPolicy::transition(leased, newest),
            None => ApplyPolicy::safe(newest),
        };
        if !is_same_policy(&policy, &self.apply_policy) {
            let fell_back = policy.mode == ApplyMode::Safe && self.apply_policy.mode != policy.mode;
            self.counters.lease_expirations += u64::from(fell_back);
            self.apply_policy = policy;
        }
        self.policy_updated = true;
    }
}

fn is_same_policy(one: &ApplyPolicy, other: &ApplyPolicy) -> bool {
    one.mode == other.mode
        && one.effective_number() == other.effective_number()
        && one.newest_number() == other.newest_number()
        && one.effective().hash() == other.effective().hash()
}
