//! A run of the simulation: waits, the cost of the worst second, and the detection of failures.

use super::options::MembersOptions;
use super::simulation::{FailureReport, PersistedMembers, Simulation, MILLISECOND, SECOND};
use crate::process::{thread_cpu_ns, OWN_PROCESS};
use crate::report::Report;
use asterrill::Us;
use asterrill_membership::{LeaseTiming, MembershipConfig};
use serde_json::{json, Value};

/// Maximum time until all members have discovered each other.
pub(super) const DISCOVERY_TIMEOUT: Us = 300 * SECOND;
/// Maximum size of a fleet in which a run waits for the first quota transition.
pub(super) const FIRST_TRANSITION_MAX_NODES: usize = 600;
/// Maximum size of a fleet in which a run waits for a second quota transition.
pub(super) const SECOND_TRANSITION_MAX_NODES: usize = 400;
/// Maximum size of a fleet in which a run with datagram loss waits for a quota transition. In larger ones, false
/// failures leave some quota unassigned most of the time.
const LOSSY_MAX_NODES: usize = 200;
const TRANSITION_MARGIN: Us = 30 * SECOND;

/// Returns the CPU time of the main thread of this process, which does all the work, in milliseconds.
pub(super) fn own_cpu_ms() -> f64 {
    let main_thread = std::process::id().to_string();
    thread_cpu_ns(OWN_PROCESS)
        .find(|(thread, _)| *thread == main_thread)
        .map_or(0.0, |(_, ns)| ns as f64 / 1e6)
}

/// Converts a duration to milliseconds for a report.
pub(super) fn to_ms(us: Option<Us>) -> Value {
    us.map_or(Value::Null, |us| json!(us / MILLISECOND))
}

/// Returns the median and the maximum, in milliseconds.
pub(super) fn median_and_max(mut durations: Vec<Us>) -> [Value; 2] {
    durations.sort_unstable();
    [durations.get(durations.len() / 2), durations.last()].map(|us| to_ms(us.copied()))
}

/// Totals of the simulation at a moment.
struct Totals {
    at: Us,
    cpu_ms: f64,
    sent: u64,
    bytes: u64,
}

/// Mean cost per member and second.
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

    fn mean_cost_since(&self, before: &Totals, nodes: usize) -> Cost {
        let span = (self.at - before.at) as f64 / 1e6 * nodes as f64;
        Cost {
            cpu_ms: (self.cpu_ms - before.cpu_ms) / span,
            datagrams: (self.sent - before.sent) as f64 / span,
            bytes: (self.bytes - before.bytes) as f64 / span,
        }
    }
}

/// State of a run.
pub(super) struct Run<'a> {
    pub(super) simulation: Simulation,
    pub(super) options: &'a MembersOptions,
    pub(super) intervals: MembershipConfig,
    pub(super) report: &'a mut Report,
    /// Maxima of CPU and of bytes in any second, possibly of different seconds.
    pub(super) worst: Cost,
}

impl Run<'_> {
    /// Reports a figure. The quick form omits CPU and memory, which differ from run to run.
    pub(super) fn set(&mut self, name: &str, value: Value) {
        if !self.options.quick || !(name.contains("cpu") || name.contains("memory")) {
            self.report.set(name, value);
        }
    }

    /// Checks a rule that applies only without datagram loss.
    pub(super) fn rule_without_loss(&mut self, broken: &str, holds: bool) {
        self.report.rule(broken, holds || self.options.loss > 0.0);
    }

    fn lease(&self) -> LeaseTiming {
        let (probe, suspicion) = (self.intervals.probe_interval, self.intervals.suspicion_timeout);
        LeaseTiming::from_intervals(probe, suspicion, self.options.nodes)
    }

    /// Returns the time from the loss of a member until the others may use its quota.
    pub(super) fn transition_delay(&self) -> Us {
        self.lease().reassignment_delay()
    }

    /// Returns the maximum time until all members have detected a failure.
    pub(super) fn detection_bound(&self) -> Us {
        self.lease().detection_time
    }

    /// Returns the time within which a quota transition has to complete.
    pub(super) fn transition_timeout(&self) -> Us {
        2 * self.transition_delay() + TRANSITION_MARGIN
    }

    /// Runs for a time span and returns its cost.
    pub(super) fn measure_cost(&mut self, span: Us) -> Cost {
        let before = Totals::read(&self.simulation);
        self.simulation.run(span);
        Totals::read(&self.simulation).mean_cost_since(&before, self.options.nodes)
    }

    /// Runs for a time span and updates the maxima of its seconds.
    pub(super) fn track_worst(&mut self, span: Us) {
        for _ in 0..span.div_ceil(SECOND) {
            let cost = self.measure_cost(SECOND);
            self.worst.cpu_ms = self.worst.cpu_ms.max(cost.cpu_ms);
            self.worst.bytes = self.worst.bytes.max(cost.bytes);
        }
    }

    /// Runs, with updates of the maxima, until a condition holds. Returns the time it took to the second, or `None`
    /// after a timeout.
    pub(super) fn track_worst_until(
        &mut self, timeout: Us, holds: impl Fn(&Simulation) -> bool,
    ) -> Option<Us> {
        let start = self.simulation.now;
        while !holds(&self.simulation) {
            if self.simulation.now - start >= timeout {
                return None;
            }
            self.track_worst(SECOND);
        }
        Some(self.simulation.now - start)
    }

    /// Runs until the whole quota is assigned. Returns the time it took, or `None` after a timeout.
    pub(super) fn wait_until_fully_shared(&mut self) -> Option<Us> {
        self.simulation.run_until(self.transition_timeout(), Simulation::quota_fully_assigned)
    }

    /// Reports whether a run of this size waits for quota transitions.
    pub(super) fn waits_for_transitions(&self, max_nodes: usize) -> bool {
        let max_nodes = if self.options.loss > 0.0 { LOSSY_MAX_NODES } else { max_nodes };
        self.options.nodes <= max_nodes
    }

    /// Returns the times from a moment until each running member declared each of the lost members failed.
    pub(super) fn detection_times(&self, since: Us, lost: &[usize]) -> Vec<Us> {
        let counts = |failure: &&FailureReport| {
            failure.at >= since && lost.contains(&failure.subject) && self.simulation.is_up(failure.observer)
        };
        let failures = self.simulation.failures.iter().filter(counts);
        let mut first: Vec<(usize, usize, Us)> =
            failures.map(|failure| (failure.observer, failure.subject, failure.at - since)).collect();
        first.sort_unstable();
        first.dedup_by_key(|(observer, subject, _)| (*observer, *subject));
        first.into_iter().map(|(_, _, duration)| duration).collect()
    }

    /// Reports detection times and checks that none exceeds the bound.
    pub(super) fn report_detection(&mut self, durations: Vec<Us>) {
        let late = durations.iter().any(|duration| *duration > self.detection_bound());
        self.rule_without_loss("a failure was detected later than the documented bound", !late);
        let [p50, max] = median_and_max(durations);
        self.set("detect_ms_p50", p50);
        self.set("detect_ms_max", max);
    }

    /// Returns the number of failure reports about reachable members.
    pub(super) fn false_failures(&self) -> usize {
        self.simulation.failures.iter().filter(|failure| failure.false_positive).count()
    }

    /// Stops members without an announcement and returns their persisted state.
    pub(super) fn kill(&mut self, members: &[usize]) -> Vec<(usize, PersistedMembers)> {
        members.iter().map(|n| (*n, self.simulation.stop(*n, false))).collect()
    }
}
