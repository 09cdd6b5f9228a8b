//! Runs the faults once, with this build or another.

use super::faults::{load, FIRST_FAULT_MS};
use super::measurements::Measurements;
use super::service::{full_service_start_ms, min_recovery_ms};
use crate::fleet::callers::{in_time_share, Bucket, CallerLedger, Callers, Rejection, BUCKET_MS};
use crate::fleet::cluster::{Fleet, FleetConfig};
use crate::fleet::fault_injection::InjectedFaults;
use crate::fleet::fault_script::{FaultKind, ScheduledFault};
use crate::fleet::options::{FleetOptions, OutageKind};
use crate::fleet::workload::{caller_profile, mean_work, methods, COLD_START, METHOD_WEIGHTS, WARM_UP};
use crate::method::STOCK_UPDATE;
use crate::report::ScenarioError;
use crate::setup::Setup;
use crate::time::ms;
use std::path::Path;
use std::time::Duration;

const CORES: usize = 2;
const UPSTREAM_CALL_TIME: Duration = ms(10);
/// Capacity of the upstream relative to the calls that are offered.
const UPSTREAM_HEADROOM_FACTOR: f64 = 1.3;
/// Time from the start of the load to the start of the baseline measurement.
const BASELINE_START_MS: u64 = 7_000;
/// Time before the first fault at which the baseline of service ends.
const BASELINE_END_BEFORE_FAULT_MS: u64 = 500;
/// Longest duration of the load, unless [`MIN_RUN_AFTER_FAULTS_MS`] needs more.
const MAX_RUN_MS: u64 = 40_000;
/// Minimum duration of the load after the last fault, unless service recovers earlier.
const MIN_RUN_AFTER_FAULTS_MS: u64 = 16_000;
/// Time after which the RPCs of a bucket count as answered.
const ANSWER_DELAY_MS: u64 = 2_000;
const FINAL_ANSWERS_WAIT: Duration = ms(3_400);
/// Time after a start at which persisted values no longer affect decisions, as `MAX_EFFECT_TIME_US` of
/// asterrill-recovery.
const STALE_AFTER: Duration = Duration::from_secs(10);
/// Time after the last fault from which load reports have to be spread over time.
const REPORTS_SPREAD_AFTER_MS: u64 = 3_000;
const POLL_INTERVAL: Duration = ms(5);

/// State of a run in progress.
struct Run<'a> {
    options: &'a FleetOptions,
    kind: OutageKind,
    faults: &'a [ScheduledFault],
    fleet: Fleet,
    callers: Callers,
    injected: InjectedFaults,
    next_fault: usize,
    /// RPCs per second.
    rate: f64,
    /// Start of the load, in milliseconds since the start of the fleet.
    load_start_ms: u64,
    /// Time of the last fault in milliseconds since the start of the fleet; the return of the upstream to full speed
    /// does not count.
    last_fault_ms: u64,
    /// Start of the baseline measurement of the cores, and the work done before it.
    baseline_work: Option<(u64, Duration)>,
    /// Service and load before the first fault, once they are measured.
    baseline: Option<Baseline>,
}

#[derive(Clone, Copy)]
struct Baseline {
    in_time: f64,
    load: f64,
}

/// Runs the faults once and returns the measurements.
pub(super) fn run(
    options: &FleetOptions, kind: OutageKind, faults: &[ScheduledFault], other: Option<&Path>,
) -> Result<Measurements, ScenarioError> {
    let mut run = Run::start(options, kind, faults, other)?;
    run.run_to_end()?;
    run.callers.stop(FINAL_ANSWERS_WAIT);
    Ok(run.measurements())
}

fn setup(other: Option<&Path>) -> Setup {
    let recovery = if other.is_some() { "" } else { "[recovery]\nsnapshot 1s\n" };
    let file = format!("[changes]\ncontrol {{dir}}/control\nstate {{dir}}/state\n{recovery}");
    Setup {
        memory_mb: 64,
        sockets: 512,
        stop_ms: 1_500,
        operator_file: Some(file),
        program: other.map(Path::to_path_buf),
        warm_up: WARM_UP,
        skip_value: 0.5,
        ..Setup::new(&methods(), CORES)
    }
}

fn bucket_index(ms: u64) -> usize {
    (ms / BUCKET_MS) as usize
}

fn restores_full_speed(fault: &FaultKind) -> bool {
    matches!(fault, FaultKind::UpstreamRestored(speed) if *speed >= 1.0)
}

impl Run<'_> {
    fn start<'a>(
        options: &'a FleetOptions, kind: OutageKind, faults: &'a [ScheduledFault], other: Option<&Path>,
    ) -> Result<Run<'a>, ScenarioError> {
        let mean = mean_work(&methods(), &METHOD_WEIGHTS);
        let capacity = options.nodes as f64 * CORES as f64 / mean.as_secs_f64();
        let rate = capacity * load(kind, options.seed);
        let weights: u32 = METHOD_WEIGHTS.iter().sum();
        let calls = rate * f64::from(METHOD_WEIGHTS[1]) / f64::from(weights);
        let upstream_slots =
            ((calls * UPSTREAM_HEADROOM_FACTOR * UPSTREAM_CALL_TIME.as_secs_f64()).ceil() as usize).max(1);
        let config = FleetConfig {
            nodes: options.nodes,
            setup: setup(other),
            cold_start: COLD_START,
            upstream_slots,
            upstream_call_time: UPSTREAM_CALL_TIME,
            network_seed: None,
        };
        let fleet = Fleet::start(&config)?;
        fleet.wait_until_listed();
        let load_start_ms = fleet.at_ms();
        let callers = fleet.start_callers(&caller_profile(rate, options.seed));
        let last =
            faults.iter().filter(|fault| !restores_full_speed(&fault.kind)).map(|fault| fault.at_ms).max();
        Ok(Run {
            options,
            kind,
            faults,
            fleet,
            callers,
            injected: InjectedFaults::default(),
            next_fault: 0,
            rate,
            load_start_ms,
            last_fault_ms: last.unwrap_or(FIRST_FAULT_MS) + load_start_ms,
            baseline_work: None,
            baseline: None,
        })
    }

    /// Runs until service is full again, or the maximum duration has passed.
    fn run_to_end(&mut self) -> Result<(), ScenarioError> {
        let min_run_ms = self.last_fault_ms - self.load_start_ms + MIN_RUN_AFTER_FAULTS_MS;
        let max_run_ms = self.options.seconds.map_or(MAX_RUN_MS.max(min_run_ms), |s| s * 1_000);
        loop {
            let now_ms = self.fleet.at_ms();
            self.inject_due_faults(now_ms)?;
            self.measure_baseline(now_ms);
            if self.has_recovered(now_ms) || now_ms >= self.load_start_ms + max_run_ms {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn inject_due_faults(&mut self, now_ms: u64) -> Result<(), ScenarioError> {
        while let Some(fault) = self.faults.get(self.next_fault) {
            if fault.at_ms + self.load_start_ms > now_ms {
                break;
            }
            if fault.kind == FaultKind::CallersReconnect {
                self.callers.reconnect();
            }
            self.fleet.inject(fault, &mut self.injected)?;
            self.next_fault += 1;
        }
        Ok(())
    }

    fn work_done(&self) -> Duration {
        self.fleet.members.iter().map(|member| member.agent.state().total_work).sum()
    }

    /// Measures service and load before the first fault.
    fn measure_baseline(&mut self, now_ms: u64) {
        if now_ms >= self.load_start_ms + BASELINE_START_MS && self.baseline_work.is_none() {
            self.baseline_work = Some((now_ms, self.work_done()));
        }
        if now_ms < self.load_start_ms + FIRST_FAULT_MS || self.baseline.is_some() {
            return;
        }
        let load = self.baseline_work.map_or(0.0, |(since_ms, work)| {
            let cores = (self.options.nodes * CORES) as f64 * (now_ms - since_ms) as f64 / 1e3;
            (self.work_done() - work).as_secs_f64() / cores
        });
        let from = bucket_index(self.load_start_ms + BASELINE_START_MS);
        let to = bucket_index(self.load_start_ms + FIRST_FAULT_MS - BASELINE_END_BEFORE_FAULT_MS);
        let in_time = in_time_share(&self.callers.ledger().buckets[from..to]);
        self.baseline = Some(Baseline { in_time, load });
    }

    /// Reports whether all faults were injected and service is full again.
    fn has_recovered(&self, now_ms: u64) -> bool {
        self.baseline.is_some_and(|baseline| {
            let answered = bucket_index(now_ms.saturating_sub(ANSWER_DELAY_MS));
            let ledger = self.callers.ledger();
            let buckets = &ledger.buckets[..answered.min(ledger.buckets.len())];
            self.next_fault >= self.faults.len()
                && full_service_start_ms(buckets, self.last_fault_ms, baseline.in_time).is_some()
        })
    }

    fn measurements(mut self) -> Measurements {
        let unanswered = self.injected.count_unexplained(&self.callers.ledger().unanswered);
        let ledger = std::mem::take(&mut *self.callers.ledger());
        let baseline = self.baseline.unwrap_or(Baseline { in_time: 0.0, load: 0.0 });
        let full = full_service_start_ms(&ledger.buckets, self.last_fault_ms, baseline.in_time);
        let restarted = self.faults.iter().find(|fault| fault.kind == FaultKind::Kill);
        let restarted = restarted.map_or(1, |fault| fault.nodes.len());
        let expected_load = load(self.kind, self.options.seed);
        let upstream_rejections = self.fleet.upstream.state().rejected;
        let stale_decisions = self.stale_rejections(&ledger) + self.stale_skips();
        let logs: Vec<String> = self.fleet.members.iter().map(|m| m.node.read_log()).collect();
        let failed_writes = |log: &String| log.matches("could not be written").count() as u64;
        let reports_from = bucket_index(self.last_fault_ms + REPORTS_SPREAD_AFTER_MS);
        Measurements {
            in_time_before: baseline.in_time,
            load: baseline.load,
            unanswered,
            in_time_after: in_time_share(after_recovery(&ledger, full)),
            last_fault_ms: self.last_fault_ms - self.load_start_ms,
            upstream_rejections,
            recovery_ms: full.map(|full| full.saturating_sub(self.last_fault_ms)),
            min_recovery_ms: min_recovery_ms(self.kind, self.options.nodes, restarted, expected_load),
            attempts_peak: self.attempts_peak(&ledger),
            calls_peak: self.calls_peak(),
            stale_decisions,
            repeated_effects: self.fleet.repeated_effects(STOCK_UPDATE.name),
            reports_peak: self.fleet.name_service.peak_reports(reports_from),
            snapshots_failed: logs.iter().map(failed_writes).sum(),
            buckets: ledger.buckets[bucket_index(self.load_start_ms)..].to_vec(),
            ledger,
            faults: self.faults.to_vec(),
            none_panicked: self.fleet.none_panicked(),
            remaining_processes: self.fleet.kill_all(),
        }
    }

    fn first_fault_bucket(&self) -> usize {
        bucket_index(self.load_start_ms + FIRST_FAULT_MS)
    }

    /// Returns the largest number of attempts in a second since the first fault, relative to the rate before.
    fn attempts_peak(&self, ledger: &CallerLedger) -> f64 {
        let first_fault = self.first_fault_bucket();
        let attempts: Vec<u32> =
            ledger.buckets.iter().skip(first_fault).map(|bucket| bucket.attempts).collect();
        let measured = &ledger.buckets[bucket_index(self.load_start_ms + BASELINE_START_MS)..first_fault];
        let baseline_rate: u32 = measured.iter().map(|bucket| bucket.attempts).sum();
        let baseline_rate =
            f64::from(baseline_rate) / ((FIRST_FAULT_MS - BASELINE_START_MS) as f64 / 1_000.0);
        f64::from(busiest_second(&attempts)) / baseline_rate.max(self.rate * 0.5)
    }

    /// Returns the largest number of calls to the upstream in a second since the first fault, relative to its
    /// capacity.
    fn calls_peak(&self) -> f64 {
        let upstream = self.fleet.upstream.state();
        let arrivals: Vec<u32> = upstream.arrivals.iter().copied().skip(self.first_fault_bucket()).collect();
        f64::from(busiest_second(&arrivals)) / upstream.capacity()
    }

    /// Returns the number of rejections that only an outdated value explains: the node was not shutting down, cores
    /// had been free for a while, and more than [`STALE_AFTER`] had passed since its start.
    fn stale_rejections(&self, ledger: &CallerLedger) -> u64 {
        let is_stale = |rejection: &&Rejection| {
            let member = &self.fleet.members[rejection.node];
            let late = rejection.at.saturating_duration_since(member.available_since) > STALE_AFTER;
            late && member.up && member.agent.state().had_free_core(rejection.at)
        };
        ledger.rejections.iter().filter(is_stale).count() as u64
    }

    /// Returns the number of skipped upstream calls that only an outdated value explains: cores and the upstream had
    /// been free, and more than [`STALE_AFTER`] had passed since the start of the node and the return of the
    /// upstream.
    fn stale_skips(&self) -> u64 {
        let restores_upstream =
            |fault: &&ScheduledFault| matches!(fault.kind, FaultKind::UpstreamRestored(_));
        let upstream_restored_ms =
            self.faults.iter().filter(restores_upstream).map(|fault| fault.at_ms + self.load_start_ms).max();
        let upstream = self.fleet.upstream.state();
        let mut stale_decisions = 0;
        for member in &self.fleet.members {
            let agent = member.agent.state();
            for at in &agent.skipped_calls {
                let ms = at.saturating_duration_since(self.fleet.start).as_millis() as u64;
                let bucket = bucket_index(ms);
                let late = at.saturating_duration_since(member.available_since) > STALE_AFTER
                    && upstream_restored_ms.is_none_or(|upstream_restored_ms| {
                        bucket as u64 * BUCKET_MS > upstream_restored_ms + STALE_AFTER.as_millis() as u64
                    });
                let free =
                    agent.had_free_core(*at) && upstream.had_free_slot(bucket.saturating_sub(3)..=bucket);
                stale_decisions += u64::from(late && free);
            }
        }
        stale_decisions
    }
}

/// Returns the first ten seconds of full service, or the last four seconds if service never recovered.
fn after_recovery(ledger: &CallerLedger, full: Option<u64>) -> &[Bucket] {
    let buckets = &ledger.buckets;
    full.map_or(&buckets[buckets.len().saturating_sub(40)..], |full| {
        let from = bucket_index(full);
        &buckets[from..(from + 100).min(buckets.len())]
    })
}

/// Returns the largest sum of ten consecutive buckets.
fn busiest_second(buckets: &[u32]) -> u32 {
    buckets.windows(10).map(|second| second.iter().sum::<u32>()).max().unwrap_or(0)
}
