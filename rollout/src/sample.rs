//! Service samples: outcome counts of each method's RPCs over a short interval.

use asterrill_entries::Name;
use std::collections::BTreeMap;

/// Outcome counts of RPCs over a short interval, measured against the latency objectives of the version before the
/// change. Holds only methods that had RPCs, so the cost of a sample does not grow with the number of methods.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSample {
    /// Counts by method name.
    pub methods: BTreeMap<Name, MethodCounts>,
}

/// Counts of one method in a [`ServiceSample`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MethodCounts {
    /// Final answers that were sent.
    pub answered: f64,
    /// Final answers that were ok and within the latency objective.
    pub in_time: f64,
    /// Final answers that were not in time and whose upstream call failed.
    pub upstream_failed: f64,
    /// Expected CPU work of the RPCs that arrived, in microseconds, by the mean cost that was learned so far. Until the
    /// first run of a method this is an initial estimate.
    pub work_us: f64,
}

impl MethodCounts {
    /// Returns the number of answers that the probation evaluates. Answers whose upstream call failed are excluded.
    pub(crate) fn evaluated(&self) -> f64 {
        (self.answered - self.upstream_failed).max(0.0)
    }
}

impl ServiceSample {
    /// Adds the counts of another sample.
    pub fn add(&mut self, other: &ServiceSample) {
        for (name, counts) in &other.methods {
            let sum = self.methods.entry(name.clone()).or_default();
            sum.answered += counts.answered;
            sum.in_time += counts.in_time;
            sum.upstream_failed += counts.upstream_failed;
            sum.work_us += counts.work_us;
        }
    }

    /// Returns the expected CPU work of all methods, in microseconds.
    pub(crate) fn total_work_us(&self) -> f64 {
        self.methods.values().map(|counts| counts.work_us).sum()
    }
}
