//! Tests of the probation monitor on seeded random scenarios.

use crate::versions::{test_version, SECOND};
use asterrill_entries::{Configuration, GlobalSettings};
use asterrill_rollout::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Simulated service of a server in intervals of 100 ms, with Poisson arrivals, bursts of losses, and the disturbances
/// of the scenario.
struct Scenario {
    rng: StdRng,
    rate: f64,
    cores: f64,
    baseline_loss: f64,
    /// Start, end and factor of a jump in load.
    load_jump: (Us, Us, f64),
    /// Start and end of a short span in which most RPCs are late.
    late_span: (Us, Us),
    /// Start and end of a span in which half of the upstream calls fail.
    upstream_failures: (Us, Us),
    /// Fraction of each method's RPCs that the change loses in addition.
    change_loss: [f64; 2],
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut rng = StdRng::seed_from_u64(seed);
        let (rate, baseline_loss) = (rng.random_range(40.0..400.0), rng.random_range(0.0..0.05));
        Scenario {
            rng,
            rate,
            cores: 4.0,
            baseline_loss,
            load_jump: (0, 0, 1.0),
            late_span: (0, 0),
            upstream_failures: (0, 0),
            change_loss: [0.0; 2],
        }
    }
    fn poisson(&mut self, mean: f64) -> f64 {
        let (limit, mut n, mut product) = ((-mean).exp(), 0.0, self.rng.random::<f64>());
        while product > limit {
            n += 1.0;
            product *= self.rng.random::<f64>();
        }
        n
    }
    fn sample(&mut self, now: Us, changed: bool) -> ServiceSample {
        let within = |(from, until): (Us, Us)| (from..until).contains(&now);
        let (from, until, factor) = self.load_jump;
        let rate = self.rate * if within((from, until)) { factor } else { 1.0 };
        // The base rate uses 0.6 of the cores.
        let work_us = self.cores * 0.6e6 / self.rate;
        let mut capacity_us = self.cores * 1e5;
        let burst = if self.rng.random::<f64>() < 0.05 { 3.0 } else { 0.9 };
        let mut sample = ServiceSample::default();
        for (i, name) in ["price", "look"].into_iter().enumerate() {
            let arrivals = self.poisson(rate / 10.0 * [0.25, 0.75][i]);
            let served_fraction = (capacity_us / (arrivals * work_us).max(1.0)).min(1.0);
            capacity_us -= arrivals * work_us * served_fraction;
            let mut counts =
                MethodCounts { answered: arrivals, work_us: arrivals * work_us, ..MethodCounts::default() };
            let mut in_time_fraction = (1.0 - (self.baseline_loss * burst).min(1.0)) * served_fraction;
            in_time_fraction *= if changed { 1.0 - self.change_loss[i] } else { 1.0 };
            in_time_fraction *= if within(self.late_span) { 0.2 } else { 1.0 };
            for _ in 0..arrivals as u64 {
                if within(self.upstream_failures) && self.rng.random::<f64>() < 0.5 {
                    counts.upstream_failed += 1.0;
                } else if self.rng.random::<f64>() < in_time_fraction {
                    counts.in_time += 1.0;
                }
            }
            sample.methods.insert(name.into(), counts);
        }
        sample
    }
    /// Returns whether the change was rolled back, and how long after the change the decision was made.
    fn run(mut self) -> (bool, Us) {
        let (mut baseline, mut now) = (Baseline::default(), 0);
        while now < 20 * SECOND {
            now += SECOND / 10;
            let sample = self.sample(now, false);
            baseline.record(now, &sample);
        }
        let mut old = test_version();
        old.globals.cores = self.cores as u64;
        let mut monitor = ProbationMonitor::new(now, &baseline, old.content(), 30 * SECOND);
        loop {
            now += SECOND / 10;
            let sample = self.sample(now, true);
            match monitor.observe(now, &sample) {
                Verdict::Wait => {}
                Verdict::RollBack { .. } => return (true, now - 20 * SECOND),
                Verdict::Confirm { .. } => return (false, now - 20 * SECOND),
            }
        }
    }
}

#[test]
fn good_changes_are_kept_and_bad_ones_rolled_back_within_five_seconds() {
    let mut good = BTreeMap::new();
    let mut bad = BTreeMap::new();
    for seed in 0..400 {
        let mut scenario = Scenario::new(seed);
        let start = 20 * SECOND + scenario.rng.random_range(0..10 * SECOND);
        let (kind, duration) = (seed % 4, scenario.rng.random_range(SECOND / 2..2 * SECOND));
        let factor = scenario.rng.random_range(1.5..4.0);
        let name = match kind {
            0 => "calm",
            1 => {
                scenario.load_jump = (start, start + 8 * SECOND, factor);
                "load jump"
            }
            2 => {
                scenario.late_span = (start, start + duration);
                "late span"
            }
            _ => {
                scenario.upstream_failures = (start, start + 8 * SECOND);
                "upstream failures"
            }
        };
        let (rolled_back, _) = scenario.run();
        let count: &mut (u32, u32) = good.entry(name).or_default();
        *count = (count.0 + 1, count.1 + u32::from(rolled_back));

        let mut scenario = Scenario::new(1_000 + seed);
        // The change loses all RPCs of one method, or a large part of both.
        scenario.change_loss = [[1.0, 0.0], [0.5, 0.5], [0.3, 0.9], [0.9, 0.1]][seed as usize / 4 % 4];
        let name = match kind {
            1 => {
                scenario.load_jump = (20 * SECOND, 40 * SECOND, 1.5 + seed as f64 % 5.0 / 2.0);
                "load jump"
            }
            3 => {
                scenario.upstream_failures = (20 * SECOND, 40 * SECOND);
                "upstream failures"
            }
            _ => "calm",
        };
        let (rolled_back, after) = scenario.run();
        let count: &mut (u32, u32, u32) = bad.entry(name).or_default();
        *count = (count.0 + 1, count.1 + u32::from(!rolled_back), count.2 + u32::from(after > 5 * SECOND));
    }
    println!("good changes (scenarios, wrongly rolled back): {good:?}");
    println!("bad changes (scenarios, missed, rolled back later than 5 s): {bad:?}");
    assert_eq!((good.values().map(|c| c.0).sum::<u32>(), bad.values().map(|c| c.0).sum::<u32>()), (400, 400));
    assert!(good.values().map(|c| c.1).sum::<u32>() <= 4, "{good:?}");
    assert!(bad.values().map(|c| c.1).sum::<u32>() <= 4, "{bad:?}");
    assert!(bad.values().map(|c| c.2).sum::<u32>() <= 15, "{bad:?}");
}

/// Returns a version with one core and no methods.
fn empty_version() -> Configuration {
    Configuration::new(GlobalSettings { cores: 1, ..GlobalSettings::default() })
}

#[test]
fn probation_without_samples_is_extended_and_then_confirmed() {
    let baseline = Baseline::default();
    let mut monitor = ProbationMonitor::new(0, &baseline, empty_version(), 2 * SECOND);
    let mut now = 0;
    let verdict = loop {
        now += SECOND / 10;
        match monitor.observe(now, &ServiceSample::default()) {
            Verdict::Wait => {}
            verdict => break verdict,
        }
    };
    assert!(matches!(verdict, Verdict::Confirm { .. }) && now == 6 * SECOND, "{verdict:?} at {now}");
}

#[test]
fn clock_that_jumps_back_causes_no_early_decision() {
    let mut monitor = ProbationMonitor::new(100 * SECOND, &Baseline::default(), empty_version(), 2 * SECOND);
    assert_eq!(monitor.observe(SECOND, &ServiceSample::default()), Verdict::Wait);
    assert_eq!(monitor.observe(100 * SECOND, &ServiceSample::default()), Verdict::Wait);
}
