//! Scenario: runs one build, or alternates between two, from start to shutdown.

use super::budgets::over_budget;
use super::fields::{phase, FIELDS};
use super::phase_report::report_phases;
use super::session::Session;
use super::undo::SupportedChanges;
use crate::process::load_average;
use crate::report::{Report, ScenarioError};
use crate::scale::options::ScaleOptions;
use crate::scale::statistics::{merge_turns, rounded};
use crate::scale::test_bed::{BackgroundLoad, LoadProfile, SiteSettings, TestBed, Violations};
use crate::time::ms;
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde_json::{json, Map, Value};
use std::path::Path;
use std::thread;
use std::time::Duration;

const SMALL_SITE_METHODS: usize = 5;
const CALLERS: usize = 42;
const RPCS_PER_S: f64 = 84.0;
/// Rate above which each RPC takes the agent less time.
const HIGH_RPCS_PER_S: f64 = 400.0;
/// Delay until memory and load are stable.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const QUICK_RELOADS: usize = 5;

/// Starts the build with a few methods and no tenants. Returns its resident memory without load, in kB.
fn small_site_kb(program: Option<&Path>, report: &mut Report) -> Result<Value, ScenarioError> {
    let mut bed = TestBed::start(&SiteSettings::new(SMALL_SITE_METHODS, 0, CALLERS), program, ms(2))?;
    thread::sleep(SETTLE_TIME);
    let resident = bed.status_kb("VmRSS");
    let exit = bed.shut_down();
    report.rule("a process was still running at the end", exit.leftover_processes == 0);
    Ok(json!(resident))
}

/// Figures and broken rules of one run of the scenario with one build.
struct BuildResult {
    figures: Map<String, Value>,
    broken: Vec<String>,
}

/// Runs the scenario with one build.
fn run_build(
    seed: u64, options: &ScaleOptions, rate: f64, program: Option<&Path>,
) -> Result<BuildResult, ScenarioError> {
    let mut report = Report::default();
    FIELDS.iter().for_each(|name| report.set(name, Value::Null));
    let small_site_kb = small_site_kb(program, &mut report)?;
    report.set("rss_kb_small", small_site_kb);
    let site = SiteSettings::new(options.methods.max(1), options.tenants, CALLERS);
    let work = ms(if rate > HIGH_RPCS_PER_S { 1 } else { 2 });
    let mut bed = TestBed::start(&site, program, work)?;
    report.set("start_ms", rounded(bed.start_ms));
    report.set("file_bytes", json!(bed.config_text(&site).len()));
    thread::sleep(SETTLE_TIME);
    report.set("rss_kb", json!(bed.status_kb("VmRSS")));
    report.set("peak_kb_start", json!(bed.status_kb("VmHWM")));
    let load = start_load(&bed, options, rate, seed)?;
    let control = bed.control_client();
    let mut session = Session {
        bed,
        site,
        control,
        report: &mut report,
        rng: StdRng::seed_from_u64(seed),
        quick: options.quick,
        other_build: program.is_some(),
        change_count: 0,
        rejected: 0,
        reasons: Vec::new(),
    };
    thread::sleep(SETTLE_TIME);
    measure(&mut session, &load, options)?;
    let (phases, violations) = load.finish()?;
    shut_down(session);
    report_violations(&mut report, &violations);
    report_phases(&mut report, &phases);
    report.set("load", json!(load_average()));
    let (mut figures, mut broken) = report.into_parts();
    let over_budget = over_budget(&figures);
    if options.budgets {
        broken.extend(over_budget.iter().map(|line| format!("over budget: {line}")));
    }
    figures.insert("over".into(), json!(over_budget));
    Ok(BuildResult { figures, broken })
}

fn start_load(
    bed: &TestBed, options: &ScaleOptions, rate: f64, seed: u64,
) -> Result<BackgroundLoad, ScenarioError> {
    let (methods, tenants) = (options.methods.max(1), options.tenants);
    let profile = LoadProfile { methods, tenants, callers: CALLERS, rate, seed };
    let mut load = BackgroundLoad::start(bed.node.address, &bed.agent, profile)?;
    load.check_health(bed.node.address)?;
    if tenants > 0 {
        load.check_version_order(bed.node.address, seed)?;
    }
    Ok(load)
}

/// Measures all kinds of changes, one after the other.
fn measure(
    session: &mut Session, load: &BackgroundLoad, options: &ScaleOptions,
) -> Result<(), ScenarioError> {
    let idle_before = session.measure_quiet(load);
    let steps = session.measure_entry_changes(load, options.changes, idle_before)?;
    let idle_after = session.measure_quiet(load);
    let idle_cpu_ms_per_s = (idle_before + idle_after) / 2.0;
    session.report.set("quiet_cpu_ms_per_s", rounded(idle_cpu_ms_per_s));
    let reload_count = if options.quick { options.reloads.min(QUICK_RELOADS) } else { options.reloads };
    let reloads = session.measure_reloads(load, reload_count, idle_cpu_ms_per_s)?;
    session.measure_full_changes(load, idle_cpu_ms_per_s, steps)?;
    session.measure_undo(load, idle_cpu_ms_per_s, SupportedChanges { steps, reloads })?;
    session.check_rejections()?;
    load.set_phase(phase::WARM_UP);
    let status = session.control.status()?;
    let half_applied = status["counters"]["half_applied"].as_u64();
    let report = &mut session.report;
    report.set("half_applied", json!(half_applied));
    report.rule("an answer was decided under a mix of two versions", half_applied == Some(0));
    report.set("rss_kb_end", json!(session.bed.status_kb("VmRSS")));
    report.set("peak_kb", json!(session.bed.status_kb("VmHWM")));
    report.set("refused", json!(session.rejected));
    report.set("refused_why", json!(session.reasons));
    Ok(())
}

/// Shuts the process down and checks its exit.
fn shut_down(mut session: Session) {
    let exit = session.bed.shut_down();
    let report = session.report;
    report.set("left_processes", json!(exit.leftover_processes));
    report.rule("a process was still running at the end", exit.leftover_processes == 0);
    report.rule("asterrilld did not exit with code 0 within 30 s", exit.code == Some(0));
    if session.quick {
        report.rule("a valid change was rejected", session.rejected == 0);
    }
}

fn report_violations(report: &mut Report, violations: &Violations) {
    let older_after_newer = (violations.pairs > 0).then_some(violations.older_after_newer);
    report.set("no_final_answer", json!(violations.unanswered));
    report.set("answered_twice", json!(violations.answered_twice));
    report.set("older_after_newer", json!(older_after_newer));
    report.set("pairs", json!(violations.pairs));
    report.rule("an RPC got no final answer", violations.unanswered == 0);
    report.rule("an RPC was answered twice", violations.answered_twice == 0);
    report.rule("an RPC got the result of another RPC", violations.wrong_results == 0);
    let in_order = violations.older_after_newer == 0;
    report.rule("an RPC was decided under an older version than one before it", in_order);
}

/// Runs this build, alternating with the other build if there is one. Reports the medians over the turns.
pub fn scenario(
    report: &mut Report, seed: u64, options: &ScaleOptions, rate: Option<f64>, other: Option<&Path>,
) -> Result<(), ScenarioError> {
    let rate = rate.unwrap_or(RPCS_PER_S);
    let (mut this_build, mut other_build) = (Vec::new(), Vec::new());
    for turn in 0..options.turns.unwrap_or(1).max(1) as u64 {
        let result = run_build(seed + turn, options, rate, None)?;
        this_build.push(result.figures);
        result.broken.iter().for_each(|rule| report.rule(rule, false));
        if let Some(program) = other {
            let mut result = run_build(seed + turn, options, rate, Some(program))?;
            result.figures.insert("broken".into(), json!(result.broken));
            other_build.push(result.figures);
        }
    }
    for (name, value) in merge_turns(this_build) {
        report.set(&name, value);
    }
    if other.is_some() {
        report.set("other", Value::Object(merge_turns(other_build)));
    }
    report.set("methods", json!(options.methods));
    report.set("tenants", json!(options.tenants));
    report.set("rate", json!(rate));
    report.set("turns", json!(options.turns.unwrap_or(1)));
    Ok(())
}
