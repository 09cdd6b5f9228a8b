//! A run of a simulation: the waits, the worst second, and what members say of losses.

use super::options::MembersOptions;
use super::simulation::{FailureReport, PersistedMembers, Simulation, MILLISECOND, SECOND};
use crate::process::{thread_cpu_ns, OWN};
use crate::report::Report;
use asterrill::Us;
use asterrill_membership::{LeaseTiming, MembershipConfig};
use serde_json::{json, Value};

/// What is waited for at the most until all have met.
pub(super) const DISCOVERY_TIMEOUT: Us = 300 * SECOND;
/// Members up to which a transition is waited for: the first one.
pub(super) const FIRST_TRANSITION_MAX_NODES: usize = 600;
/// The same for a second one.
pub(super) const SECOND_TRANSITION_MAX_NODES: usize = 400;
const LOSSY_MAX_NODES: usize = 200; // the same with losses, where wrong failures leave something untaken most of the time
const TRANSITION_MARGIN: Us = 30 * SECOND;

/// CPU time of this process so far, in ms. All is done by its first thread.
pub(super) fn own_cpu_ms() -> f64 {
    let first = std::process::id().to_string();
    thread_cpu_ns(OWN).find(|(thread, _)| *thread == first).map_or(0.0, |(_, ns)| ns as f64 / 1e6)
}

/// A virtual time in ms, for a report.
pub(super) fn to_ms(us: Option<Us>) -> Value {
    us.map_or(Value::Null, |us| json!(us / MILLISECOND))
}

/// Median and greatest, in ms.
pub(super) fn median_and_max(mut took: Vec<Us>) -> [Value; 2] {
    took.sort_unstable();
    [took.get(took.len() / 2), took.last()].map(|us| to_ms(us.copied()))
}

/// Where the counts stood at a moment.
struct Totals {
    at: Us,
    cpu_ms: f64,
    sent: u64,
    bytes: u64,
}

/// What was spent each second by each member.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    pub(super) cpu_ms: f64,
    pub(super) datagrams: f64,
    pub(super) bytes: f64,
}

impl Totals {
    fn read(simulation: &Simulation) -> Totals {
        let (at, sent, bytes) = (simulation.now, simulation.sent, simulation.bytes);
        Totals { at, cpu_ms: own_cpu_ms(), sent, bytes }
    }

    fn since(&self, before: &Totals, nodes: usize) -> Cost {
        let span = (self.at - before.at) as f64 / 1e6 * nodes as f64;
        Cost {
            cpu_ms: (self.cpu_ms - before.cpu_ms) / span,
            datagrams: (self.sent - before.sent) as f64 / span,
            bytes: (self.bytes - before.bytes) as f64 / span,
        }
    }
}

/// A run, and what it has shown.
pub(super) struct Run<'a> {
    pub(super) simulation: Simulation,
    pub(super) options: &'a MembersOptions,
    pub(super) intervals: MembershipConfig,
    pub(super) report: &'a mut Report,
    /// CPU and bytes of the worst second; each may be of another second.
    pub(super) worst: Cost,
}

impl Run<'_> {
    /// Reports a figure; figures of the machine only where the run need not be the same each time.
    pub(super) fn set(&mut self, name: &str, value: Value) {
        if !self.options.quick || !(name.contains("cpu") || name.contains("memory")) {
            self.report.set(name, value);
        }
    }

    /// Checks a rule that holds only where no datagrams get lost.
    pub(super) fn rule_without_loss(&mut self, broken: &str, holds: bool) {
        self.report.rule(broken, holds || self.options.loss > 0.0);
    }

    fn lease(&self) -> LeaseTiming {
        let (probe, suspicion) = (self.intervals.probe_interval, self.intervals.suspicion_timeout);
        LeaseTiming::from_intervals(probe, suspicion, self.options.nodes)
    }

    /// Until what a lost member had may be taken.
    pub(super) fn transition(&self) -> Us {
        self.lease().reassignment_delay()
    }

    /// Until all have found a loss.
    pub(super) fn detection(&self) -> Us {
        self.lease().detection_time
    }

    /// Until a transition has to have come about.
    pub(super) fn transition_timeout(&self) -> Us {
        2 * self.transition() + TRANSITION_MARGIN
    }

    /// Runs so long; what it cost.
    pub(super) fn measure_cost(&mut self, span: Us) -> Cost {
        let before = Totals::read(&self.simulation);
        self.simulation.run(span);
        Totals::read(&self.simulation).since(&before, self.options.nodes)
    }

    /// Runs so long and remembers the worst second of it.
    pub(super) fn track_worst(&mut self, span: Us) {
        for _ in 0..span.div_ceil(SECOND) {
            let cost = self.measure_cost(SECOND);
            self.worst.cpu_ms = self.worst.cpu_ms.max(cost.cpu_ms);
            self.worst.bytes = self.worst.bytes.max(cost.bytes);
        }
    }

    /// The same until it holds, to the second; how long that took.
    pub(super) fn track_worst_until(
        &mut self, within: Us, holds: impl Fn(&Simulation) -> bool,
    ) -> Option<Us> {
        let start = self.simulation.now;
        while !holds(&self.simulation) {
            if self.simulation.now - start >= within {
                return None;
            }
            self.track_worst(SECOND);
        }
        Some(self.simulation.now - start)
    }

    /// Until all of what is divided is taken, or it has to have been.
    pub(super) fn wait_until_fully_shared(&mut self) -> Option<Us> {
        self.simulation.run_until(self.transition_timeout(), Simulation::all_shares_taken)
    }

    /// Whether a run of this size waits for what takes a transition.
    pub(super) fn waits_for_transitions(&self, max_nodes: usize) -> bool {
        let max_nodes = if self.options.loss > 0.0 { LOSSY_MAX_NODES } else { max_nodes };
        self.options.nodes <= max_nodes
    }

    /// How long after a moment each of the others said that these have failed.
    pub(super) fn detected(&self, since: Us, lost: &[usize]) -> Vec<Us> {
        let counts = |failure: &&FailureReport| {
            failure.at >= since && lost.contains(&failure.subject) && self.simulation.up(failure.observer)
        };
        let failures = self.simulation.failures.iter().filter(counts);
        let mut first: Vec<(usize, usize, Us)> =
            failures.map(|failure| (failure.observer, failure.subject, failure.at - since)).collect();
        first.sort_unstable();
        first.dedup_by_key(|(by, of, _)| (*by, *of));
        first.into_iter().map(|(_, _, took)| took).collect()
    }

    /// Reports how long losses took to be found, and checks that none took longer than is promised.
    pub(super) fn report_detection(&mut self, took: Vec<Us>) {
        let late = took.iter().any(|took| *took > self.detection());
        self.rule_without_loss("a loss was found later than is promised", !late);
        let [p50, max] = median_and_max(took);
        self.set("detect_ms_p50", p50);
        self.set("detect_ms_max", max);
    }

    /// Members in touch that were called failed.
    pub(super) fn false_failures(&self) -> usize {
        self.simulation.failures.iter().filter(|failure| failure.false_positive).count()
    }

    /// Ends members where they stand.
    pub(super) fn kill(&mut self, members: &[usize]) -> Vec<(usize, PersistedMembers)> {
        members.iter().map(|n| (*n, self.simulation.stop(*n, false))).collect()
    }
}
