//! Plays the faults once, with this build or another.

use super::faults::{load, FIRST_FAULT_MS};
use super::findings::Findings;
use super::service::{full_from, recovery_floor_ms};
use crate::fleet::callers::{in_time, CallerLedger, Callers, Rejection, Tenth, TENTH_MS};
use crate::fleet::cluster::{Fleet, Plan};
use crate::fleet::fault_injection::InjectedFaults;
use crate::fleet::fault_script::{FaultKind, ScheduledFault};
use crate::fleet::options::{FleetOptions, Kind};
use crate::fleet::workload::{caller_profile, mean_work, methods, COLD, WARM_UP, WEIGHTS};
use crate::method::STOCK_UPDATE;
use crate::report::ScenarioError;
use crate::setup::Setup;
use crate::time::ms;
use std::path::Path;
use std::time::Duration;

const CORES: usize = 2;
const CALL: Duration = ms(10); // of the upstream
const UPSTREAM_RESERVE: f64 = 1.3; // times the calls that are made
const MEASURED_FROM_MS: u64 = 7_000; // of load
const MEASURED_BEFORE_FAULT_MS: u64 = 500; // service is not measured so shortly before the first fault
const LIMIT_MS: u64 = 40_000; // of load that one run takes at the most
const LIMIT_BEHIND_FAULTS_MS: u64 = 16_000; // but no less behind the last fault
const ANSWERS_KNOWN_MS: u64 = 2_000; // until what was called at a moment is answered
const LAST_ANSWERS: Duration = ms(3_400);
const STALE_AFTER: Duration = Duration::from_secs(10); // no persisted value binds (asterrill-recovery's STATED)
const REPORTS_IN_STEP_MS: u64 = 3_000; // behind the last fault reports ought not to come in step any more
const POLL: Duration = ms(5);

/// One run, while it goes on.
struct Run<'a> {
    options: &'a FleetOptions,
    kind: Kind,
    faults: &'a [ScheduledFault],
    fleet: Fleet,
    callers: Callers,
    injected: InjectedFaults,
    next_fault: usize,
    /// RPCs a second.
    rate: f64,
    /// When the load began, in ms since the fleet's start; and when the last fault comes.
    offset_ms: u64,
    last_fault_ms: u64,
    /// When the load of cores began to be measured, and the work until then.
    work_before: Option<(u64, Duration)>,
    /// Service and load before the first fault.
    before: Option<Before>,
}

#[derive(Clone, Copy)]
struct Before {
    in_time: f64,
    load: f64,
}

/// Plays the faults once.
pub(super) fn play(
    options: &FleetOptions, kind: Kind, faults: &[ScheduledFault], other: Option<&Path>,
) -> Result<Findings, ScenarioError> {
    let mut run = Run::start(options, kind, faults, other)?;
    run.play()?;
    run.callers.stop(LAST_ANSWERS);
    Ok(run.findings())
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

fn tenth(ms: u64) -> usize {
    (ms / TENTH_MS) as usize
}

impl Run<'_> {
    fn start<'a>(
        options: &'a FleetOptions, kind: Kind, faults: &'a [ScheduledFault], other: Option<&Path>,
    ) -> Result<Run<'a>, ScenarioError> {
        let mean = mean_work(&methods(), &WEIGHTS);
        let capacity = options.nodes as f64 * CORES as f64 / mean.as_secs_f64();
        let rate = capacity * load(kind, options.seed);
        let weights: u32 = WEIGHTS.iter().sum();
        let calls = rate * f64::from(WEIGHTS[1]) / f64::from(weights);
        let slots = ((calls * UPSTREAM_RESERVE * CALL.as_secs_f64()).ceil() as usize).max(1);
        let plan =
            Plan { nodes: options.nodes, setup: setup(other), cold: COLD, slots, call: CALL, network: None };
        let fleet = Fleet::start(&plan)?;
        fleet.wait_until_listed();
        let offset_ms = fleet.at_ms();
        let callers = fleet.start_callers(&caller_profile(rate, options.seed));
        let at_full_speed =
            |fault: &&ScheduledFault| matches!(fault.kind, FaultKind::UpstreamBack(speed) if speed >= 1.0);
        let last = faults.iter().filter(|fault| !at_full_speed(fault)).map(|fault| fault.at_ms).max();
        Ok(Run {
            options,
            kind,
            faults,
            fleet,
            callers,
            injected: InjectedFaults::default(),
            next_fault: 0,
            rate,
            offset_ms,
            last_fault_ms: last.unwrap_or(FIRST_FAULT_MS) + offset_ms,
            work_before: None,
            before: None,
        })
    }

    /// Until service is full again, or for as long as a run takes at the most.
    fn play(&mut self) -> Result<(), ScenarioError> {
        let behind_faults = self.last_fault_ms - self.offset_ms + LIMIT_BEHIND_FAULTS_MS;
        let limit_ms = self.options.seconds.map_or(LIMIT_MS.max(behind_faults), |s| s * 1_000);
        loop {
            let now_ms = self.fleet.at_ms();
            self.inject_due_faults(now_ms)?;
            self.measure_before(now_ms);
            if self.is_done(now_ms) || now_ms >= self.offset_ms + limit_ms {
                return Ok(());
            }
            std::thread::sleep(POLL);
        }
    }

    fn inject_due_faults(&mut self, now_ms: u64) -> Result<(), ScenarioError> {
        while let Some(fault) = self.faults.get(self.next_fault) {
            if fault.at_ms + self.offset_ms > now_ms {
                break;
            }
            if fault.kind == FaultKind::Reconnect {
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

    /// Service and load up to the first fault.
    fn measure_before(&mut self, now_ms: u64) {
        if now_ms >= self.offset_ms + MEASURED_FROM_MS && self.work_before.is_none() {
            self.work_before = Some((now_ms, self.work_done()));
        }
        if now_ms < self.offset_ms + FIRST_FAULT_MS || self.before.is_some() {
            return;
        }
        let load = self.work_before.map_or(0.0, |(since_ms, work)| {
            let cores = (self.options.nodes * CORES) as f64 * (now_ms - since_ms) as f64 / 1e3;
            (self.work_done() - work).as_secs_f64() / cores
        });
        let from = tenth(self.offset_ms + MEASURED_FROM_MS);
        let to = tenth(self.offset_ms + FIRST_FAULT_MS - MEASURED_BEFORE_FAULT_MS);
        let in_time = in_time(&self.callers.ledger().tenths[from..to]);
        self.before = Some(Before { in_time, load });
    }

    /// All faults were injected, and service is full again.
    fn is_done(&self, now_ms: u64) -> bool {
        self.before.is_some_and(|before| {
            let answered = tenth(now_ms.saturating_sub(ANSWERS_KNOWN_MS));
            let ledger = self.callers.ledger();
            let tenths = &ledger.tenths[..answered.min(ledger.tenths.len())];
            self.next_fault >= self.faults.len()
                && full_from(tenths, self.last_fault_ms, before.in_time).is_some()
        })
    }

    fn findings(mut self) -> Findings {
        let unanswered = self.injected.count_unexcused(&self.callers.ledger().unanswered);
        let ledger = std::mem::take(&mut *self.callers.ledger());
        let before = self.before.unwrap_or(Before { in_time: 0.0, load: 0.0 });
        let full = full_from(&ledger.tenths, self.last_fault_ms, before.in_time);
        let restarted = self.faults.iter().find(|fault| fault.kind == FaultKind::Kill);
        let restarted = restarted.map_or(1, |fault| fault.nodes.len());
        let load_meant = load(self.kind, self.options.seed);
        let upstream_rejections = self.fleet.upstream.state().rejected;
        let stale = self.stale_rejections(&ledger) + self.stale_skips();
        let logs: Vec<String> = self.fleet.members.iter().map(|m| m.node.read_log()).collect();
        let failed = |log: &String| log.matches("could not be written").count() as u64;
        let reports_from = tenth(self.last_fault_ms + REPORTS_IN_STEP_MS);
        Findings {
            before: before.in_time,
            load: before.load,
            unanswered,
            after: in_time(after_recovery(&ledger, full)),
            fault_ms: self.last_fault_ms - self.offset_ms,
            upstream_rejections,
            full_ms: full.map(|full| full.saturating_sub(self.last_fault_ms)),
            floor_ms: recovery_floor_ms(self.kind, self.options.nodes, restarted, load_meant),
            attempts_peak: self.attempts_peak(&ledger),
            calls_peak: self.calls_peak(),
            stale,
            repeated_effects: self.fleet.repeated_effects(STOCK_UPDATE.name),
            reports_peak: self.fleet.naming.most_reports(reports_from),
            snapshots_failed: logs.iter().map(failed).sum(),
            tenths: ledger.tenths[tenth(self.offset_ms)..].to_vec(),
            ledger,
            faults: self.faults.to_vec(),
            none_panicked: self.fleet.none_panicked(),
            left: self.fleet.end(),
        }
    }

    fn first_fault_tenth(&self) -> usize {
        tenth(self.offset_ms + FIRST_FAULT_MS)
    }

    /// Attempts a second in whole seconds from the first fault on, over those before.
    fn attempts_peak(&self, ledger: &CallerLedger) -> f64 {
        let first_fault = self.first_fault_tenth();
        let attempts: Vec<u32> = ledger.tenths.iter().skip(first_fault).map(|t| t.attempts).collect();
        let measured = &ledger.tenths[tenth(self.offset_ms + MEASURED_FROM_MS)..first_fault];
        let usual: u32 = measured.iter().map(|t| t.attempts).sum();
        let usual = f64::from(usual) / ((FIRST_FAULT_MS - MEASURED_FROM_MS) as f64 / 1_000.0);
        f64::from(busiest_second(&attempts)) / usual.max(self.rate * 0.5)
    }

    /// Calls to the upstream a second in whole seconds from the first fault on, over its capacity.
    fn calls_peak(&self) -> f64 {
        let upstream = self.fleet.upstream.state();
        let arrivals: Vec<u32> = upstream.arrivals.iter().copied().skip(self.first_fault_tenth()).collect();
        f64::from(busiest_second(&arrivals)) / upstream.capacity()
    }

    /// Rejections that only an old value explains: cores had been free for a while, later than the stated time after the
    /// start of its node, which was not shutting down.
    fn stale_rejections(&self, ledger: &CallerLedger) -> u64 {
        let is_stale = |rejection: &&Rejection| {
            let member = &self.fleet.members[rejection.node];
            let late = rejection.at.saturating_duration_since(member.since) > STALE_AFTER;
            late && member.up && member.agent.state().had_free_core(rejection.at)
        };
        ledger.rejections.iter().filter(is_stale).count() as u64
    }

    /// The same for calls that were left out while cores and the upstream had been free, long after it came back.
    fn stale_skips(&self) -> u64 {
        let is_back = |fault: &&ScheduledFault| matches!(fault.kind, FaultKind::UpstreamBack(_));
        let back_ms = self.faults.iter().filter(is_back).map(|fault| fault.at_ms + self.offset_ms).max();
        let upstream = self.fleet.upstream.state();
        let mut stale = 0;
        for member in &self.fleet.members {
            let agent = member.agent.state();
            for at in &agent.skipped_calls {
                let ms = at.saturating_duration_since(self.fleet.start).as_millis() as u64;
                let tenth = tenth(ms);
                let late = at.saturating_duration_since(member.since) > STALE_AFTER
                    && back_ms.is_none_or(|back_ms| {
                        tenth as u64 * TENTH_MS > back_ms + STALE_AFTER.as_millis() as u64
                    });
                let free =
                    agent.had_free_core(*at) && upstream.had_free_slot(tenth.saturating_sub(3)..=tenth);
                stale += u64::from(late && free);
            }
        }
        stale
    }
}

/// The ten seconds of full service, or the last four where it never was.
fn after_recovery(ledger: &CallerLedger, full: Option<u64>) -> &[Tenth] {
    let tenths = &ledger.tenths;
    full.map_or(&tenths[tenths.len().saturating_sub(40)..], |full| {
        let from = tenth(full);
        &tenths[from..(from + 100).min(tenths.len())]
    })
}

/// The most in ten tenths in a row.
fn busiest_second(tenths: &[u32]) -> u32 {
    tenths.windows(10).map(|second| second.iter().sum::<u32>()).max().unwrap_or(0)
}
