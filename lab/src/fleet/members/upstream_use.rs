//! Calls that the upstream held during a run, averaged over time.

use crate::fleet::callers::BUCKET_MS;

/// Buckets of the window over which calls are averaged: one second, as in the settings of the members.
const WINDOW_BUCKETS: usize = 10;

/// Calls that the upstream held.
pub(super) struct UpstreamUse {
    /// Mean number of held calls in each bucket since the start of the load.
    held_calls: Vec<f64>,
}

impl UpstreamUse {
    /// Creates it from the seconds that calls were held in each bucket.
    pub(super) fn from_call_seconds(call_seconds: &[f64]) -> UpstreamUse {
        let bucket_seconds = BUCKET_MS as f64 / 1_000.0;
        UpstreamUse { held_calls: call_seconds.iter().map(|seconds| seconds / bucket_seconds).collect() }
    }

    /// Returns the mean of each window.
    pub(super) fn window_means(&self) -> Vec<f64> {
        let mean = |held: &[f64]| held.iter().sum::<f64>() / WINDOW_BUCKETS as f64;
        self.held_calls.windows(WINDOW_BUCKETS).map(mean).collect()
    }

    /// Returns the mean at the end of each bucket, with weights that decay by the length of the window. A member keeps
    /// such a mean of its own calls within its part of the capacity.
    pub(super) fn decaying_means(&self) -> Vec<f64> {
        let kept = (-1.0 / WINDOW_BUCKETS as f64).exp();
        let next = |mean: &mut f64, held: &f64| {
            *mean = *mean * kept + held * (1.0 - kept);
            Some(*mean)
        };
        self.held_calls.iter().scan(0.0, next).collect()
    }

    /// Returns descriptions of the buckets at whose end the decaying mean exceeds the limit.
    pub(super) fn overloads(&self, limit: f64) -> Vec<String> {
        let means = self.decaying_means();
        let overloaded = means.iter().enumerate().filter(|(_, mean)| **mean > limit);
        overloaded.map(|(bucket, mean)| self.describe(bucket, *mean)).collect()
    }

    fn describe(&self, bucket: usize, mean: f64) -> String {
        let window = &self.held_calls[(bucket + 1).saturating_sub(WINDOW_BUCKETS)..=bucket];
        let held: Vec<String> = window.iter().map(|calls| format!("{calls:.1}")).collect();
        let until_ms = (bucket as u64 + 1) * BUCKET_MS;
        format!("{until_ms} ms: the upstream held {mean:.2} calls; in the buckets before: {}", held.join(" "))
    }
}

#[cfg(test)]
#[path = "tests/upstream_use.rs"]
mod tests;
