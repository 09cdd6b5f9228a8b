//! `cut`: the two halves hear nothing of each other for longer than the transition.

use super::run::{to_ms, Run, DISCOVERY_TIMEOUT, SECOND_TRANSITION_MAX_NODES};
use super::simulation::{Simulation, MILLISECOND, SECOND};
use crate::scale::statistics::rounded;
use asterrill::Us;
use asterrill_membership::{role_policy, AllowedChanges, Membership, View};
use serde_json::{json, Value};
use std::ops::Range;

const MIN_PARTITION_TIME: Us = 60 * SECOND; // that a cut lasts where the transition is not waited for
const PARTITION_MARGIN: Us = 30 * SECOND;
const HEALING_ANNOUNCEMENTS: u64 = 4; // within which the sides of a healed cut find each other, as the operators' page promises

impl Run<'_> {
    pub(super) fn run_partition(&mut self) {
        let nodes = self.options.nodes;
        self.wait_until_fully_shared();
        let (since, false_before) = (self.simulation.now, self.false_failures());
        self.simulation.partition(nodes / 2);
        let gone =
            self.simulation.run_until(2 * self.detection(), |simulation| simulation.total_share() == 0.0);
        self.set("lease_gone_ms", to_ms(gone));
        // As long as a side that led would take to take what the other had, and beyond.
        let waits = self.waits_for_transitions(SECOND_TRANSITION_MAX_NODES);
        let span = if waits { self.transition() + PARTITION_MARGIN } else { MIN_PARTITION_TIME };
        let rest = span.saturating_sub(self.simulation.now - since);
        self.track_worst(rest.max(SECOND));
        let mut leading = 0;
        for (name, side) in [("side_a", 0..nodes / 2), ("side_b", nodes / 2..nodes)] {
            leading += usize::from(self.report_side(name, side));
        }
        self.set("sides_that_lead", json!(leading));
        self.set("cut_ms", json!((self.simulation.now - since) / MILLISECOND));
        self.report.rule("both sides of a cut lead", leading < 2);
        self.report.rule("a half leads", leading == 0);
        let false_failures = self.false_failures() - false_before;
        self.rule_without_loss("a member in touch was called failed", false_failures == 0);
        let cut = std::mem::take(&mut self.worst);
        self.set("cut_worst_cpu_ms_per_s", rounded(cut.cpu_ms));
        self.set("cut_worst_bytes_per_s", json!(cut.bytes.round()));
        self.measure_healing();
    }

    /// Reports a side of the cut; whether any of its members leads.
    fn report_side(&mut self, name: &str, side: Range<usize>) -> bool {
        let nodes = self.options.nodes;
        let members: Vec<&Membership> = side.filter_map(|n| self.simulation.member(n)).collect();
        let minority = members.iter().filter(|m| m.view() == View::Minority).count();
        let leading = members.iter().filter(|m| m.view().has_quorum()).count();
        let leased = members.iter().filter(|m| m.quota_fraction() > 0.0).count();
        let policy =
            members.first().map(|m| role_policy(m.view(), m.quota_fraction(), nodes, m.agreed_size()));
        let changes = policy.map(|policy| match policy.allowed_changes {
            AllowedChanges::Any => "any",
            AllowedChanges::RollbackOnly => "only undo and settle",
        });
        let figures: Value = json!({"members": members.len(), "minority": minority, "leads": leading,
            "leased": leased, "part_of_the_even_one": policy.map(|policy| policy.quota_factor),
            "changes": changes, "agreed": members.first().map(|m| m.agreed_size())});
        self.set(name, figures);
        leading > 0
    }

    /// The cut heals: until all know each other, see the whole fleet, and take all.
    fn measure_healing(&mut self) {
        self.simulation.partition(0);
        let (healed, false_before) = (self.simulation.now, self.false_failures());
        let all_known = self.track_worst_until(DISCOVERY_TIMEOUT, Simulation::all_known);
        self.set("all_know_all_ms", to_ms(all_known));
        let complete = self.simulation.run_until(DISCOVERY_TIMEOUT, Simulation::all_complete);
        let complete = complete.map(|_| self.simulation.now - healed);
        self.set("whole_ms", to_ms(complete));
        let greetings = HEALING_ANNOUNCEMENTS * self.intervals.announce_interval * 5 / 4;
        let promised = self.detection() + greetings + self.intervals.join_delay;
        self.set("whole_bound_ms", json!(promised / MILLISECOND));
        let late = complete.is_none_or(|complete| complete > promised);
        self.rule_without_loss("views were not equal again in the time that is promised", !late);
        if self.waits_for_transitions(SECOND_TRANSITION_MAX_NODES) {
            let taken = self.wait_until_fully_shared().map(|_| self.simulation.now - healed);
            self.set("all_taken_ms", to_ms(taken));
        }
        self.set("failed_while_healing", json!(self.false_failures() - false_before));
    }
}
