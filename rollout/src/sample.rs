//! Samples of the service: what became of the RPCs of each method in a short span.

use asterrill_entries::Name;
use std::collections::BTreeMap;

/// What became of RPCs in a short span, judged by the latency objectives of the version before the change. Holds only
/// methods that had RPCs, so the cost of a sample does not grow with the number of methods.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSample {
    /// By the name of the method.
    pub methods: BTreeMap<Name, MethodCounts>,
}

/// The counts of one method in a [`ServiceSample`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MethodCounts {
    /// Final answers given.
    pub answered: f64,
    /// Those of them that were ok and within the latency objective.
    pub in_time: f64,
    /// Those not in time whose call to the upstream failed.
    pub upstream_failed: f64,
    /// Expected CPU work of the RPCs that arrived, as far as their cost was learned, in microseconds.
    pub work_us: f64,
}

impl MethodCounts {
    /// Answers that count in the judgement: those whose upstream call failed do not.
    pub(crate) fn judged(&self) -> f64 {
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

    /// Expected CPU work of all methods, in microseconds.
    pub(crate) fn total_work_us(&self) -> f64 {
        self.methods.values().map(|counts| counts.work_us).sum()
    }
}
