//! The kind `cut`: a partition into two halves that lasts longer than the quota transition.

use super::run::{to_ms, Run, DISCOVERY_TIMEOUT, SECOND_TRANSITION_MAX_NODES};
use super::simulation::{Simulation, MILLISECOND, SECOND};
use crate::scale::statistics::rounded;
use asterrill::Us;
use asterrill_membership::{role_policy, AllowedChanges, Membership, View};
use serde_json::{json, Value};
use std::ops::Range;

/// Duration of a partition in a run that does not wait for the quota transition.
const MIN_PARTITION_TIME: Us = 60 * SECOND;
/// Time by which a partition outlasts the quota transition.
const PARTITION_MARGIN: Us = 30 * SECOND;
/// Number of announce intervals within which the sides of a healed partition find each other, as the documentation for
/// operators states.
const HEALING_ANNOUNCEMENTS: u64 = 4;

impl Run<'_> {
    pub(super) fn run_partition(&mut self) {
        let nodes = self.options.nodes;
        self.wait_until_fully_shared();
        let (partitioned_at, false_before) = (self.simulation.now, self.false_failures());
        self.simulation.partition(nodes / 2);
        let released = self
            .simulation
            .run_until(2 * self.detection_bound(), |simulation| simulation.total_share() == 0.0);
        self.set("lease_gone_ms", to_ms(released));
        // Lasts longer than a side with a quorum would need to take over the quota of the other side.
        let waits = self.waits_for_transitions(SECOND_TRANSITION_MAX_NODES);
        let span = if waits { self.transition_delay() + PARTITION_MARGIN } else { MIN_PARTITION_TIME };
        let remaining = span.saturating_sub(self.simulation.now - partitioned_at);
        self.track_worst(remaining.max(SECOND));
        let mut sides_with_quorum = 0;
        for (name, side) in [("side_a", 0..nodes / 2), ("side_b", nodes / 2..nodes)] {
            sides_with_quorum += usize::from(self.report_side(name, side));
        }
        self.set("sides_that_lead", json!(sides_with_quorum));
        self.set("cut_ms", json!((self.simulation.now - partitioned_at) / MILLISECOND));
        self.report.rule("both sides of a partition have a quorum", sides_with_quorum < 2);
        self.report.rule("a half of the fleet has a quorum", sides_with_quorum == 0);
        let false_failures = self.false_failures() - false_before;
        self.rule_without_loss("a reachable member was reported as failed", false_failures == 0);
        let worst = std::mem::take(&mut self.worst);
        self.set("cut_worst_cpu_ms_per_s", rounded(worst.cpu_ms));
        self.set("cut_worst_bytes_per_s", json!(worst.bytes.round()));
        self.measure_healing();
    }

    /// Reports the figures of one side of the partition. Returns whether any of its members has a quorum.
    fn report_side(&mut self, name: &str, side: Range<usize>) -> bool {
        let nodes = self.options.nodes;
        let members: Vec<&Membership> = side.filter_map(|n| self.simulation.member(n)).collect();
        let minority = members.iter().filter(|m| m.view() == View::Minority).count();
        let with_quorum = members.iter().filter(|m| m.view().has_quorum()).count();
        let leased = members.iter().filter(|m| m.quota_fraction() > 0.0).count();
        let policy =
            members.first().map(|m| role_policy(m.view(), m.quota_fraction(), nodes, m.agreed_size()));
        let changes = policy.map(|policy| match policy.allowed_changes {
            AllowedChanges::Any => "any",
            AllowedChanges::RollbackOnly => "only undo and settle",
        });
        let figures: Value = json!({"members": members.len(), "minority": minority, "leads": with_quorum,
            "leased": leased, "part_of_the_even_one": policy.map(|policy| policy.quota_factor),
            "changes": changes, "agreed": members.first().map(|m| m.agreed_size())});
        self.set(name, figures);
        with_quorum > 0
    }

    /// Heals the partition. Reports the times until all members know each other, see the whole fleet and use the
    /// whole quota.
    fn measure_healing(&mut self) {
        self.simulation.partition(0);
        let (healed, false_before) = (self.simulation.now, self.false_failures());
        let all_known = self.track_worst_until(DISCOVERY_TIMEOUT, Simulation::all_known);
        self.set("all_know_all_ms", to_ms(all_known));
        let complete = self.simulation.run_until(DISCOVERY_TIMEOUT, Simulation::all_complete);
        let complete = complete.map(|_| self.simulation.now - healed);
        self.set("whole_ms", to_ms(complete));
        let announcements = HEALING_ANNOUNCEMENTS * self.intervals.announce_interval * 5 / 4;
        let bound = self.detection_bound() + announcements + self.intervals.join_delay;
        self.set("whole_bound_ms", json!(bound / MILLISECOND));
        let late = complete.is_none_or(|complete| complete > bound);
        self.rule_without_loss(
            "the views of the members did not converge within the documented bound",
            !late,
        );
        if self.waits_for_transitions(SECOND_TRANSITION_MAX_NODES) {
            let fully_shared = self.wait_until_fully_shared().map(|_| self.simulation.now - healed);
            self.set("all_taken_ms", to_ms(fully_shared));
        }
        self.set("failed_while_healing", json!(self.false_failures() - false_before));
    }
}
