//! The scenario: one build, or two in turns, from their start to their end.

use super::budgets::over_budget;
use super::fields::{phase, FIELDS};
use super::phase_report::report_phases;
use super::session::Session;
use super::undo::Supported;
use crate::process::load_average;
use crate::report::{Report, ScenarioError};
use crate::scale::sizes::Sizes;
use crate::scale::statistics::{medians, rounded};
use crate::scale::test_bed::{BackgroundLoad, LoadProfile, SiteSettings, TestBed, Violations};
use crate::time::ms;
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde_json::{json, Map, Value};
use std::path::Path;
use std::thread;
use std::time::Duration;

const SMALL: usize = 5; // methods of the small site
const CALLERS: usize = 42;
const RATE: f64 = 84.0;
const HIGH_RATE: f64 = 400.0; // RPCs a second beyond which each takes the agent less time
const AT_REST: Duration = Duration::from_millis(500); // until memory and load are what they stay at
const QUICK_RELOADS: usize = 5;

/// The same build with a few methods and no tenants: its resident memory at rest, in kB.
fn small_site_kb(program: Option<&Path>, report: &mut Report) -> Result<Value, ScenarioError> {
    let mut bed = TestBed::start(&SiteSettings::new(SMALL, 0, CALLERS), program, ms(2))?;
    thread::sleep(AT_REST);
    let resident = bed.status_kb("VmRSS");
    let exit = bed.shut_down();
    report.rule("a process was left over", exit.leftover_processes == 0);
    Ok(json!(resident))
}

/// What one play has found.
struct Played {
    figures: Map<String, Value>,
    /// Rules that were broken.
    broken: Vec<String>,
}

/// Plays one build.
fn play(seed: u64, sizes: &Sizes, rate: f64, program: Option<&Path>) -> Result<Played, ScenarioError> {
    let mut report = Report::default();
    FIELDS.iter().for_each(|name| report.set(name, Value::Null));
    let small = small_site_kb(program, &mut report)?;
    report.set("rss_kb_small", small);
    let site = SiteSettings::new(sizes.methods.max(1), sizes.tenants, CALLERS);
    let work = ms(if rate > HIGH_RATE { 1 } else { 2 });
    let mut bed = TestBed::start(&site, program, work)?;
    report.set("start_ms", rounded(bed.start_ms));
    report.set("file_bytes", json!(bed.config_text(&site).len()));
    thread::sleep(AT_REST);
    report.set("rss_kb", json!(bed.status_kb("VmRSS")));
    report.set("peak_kb_start", json!(bed.status_kb("VmHWM")));
    let load = start_load(&bed, sizes, rate, seed)?;
    let control = bed.control_client();
    let mut session = Session {
        bed,
        site,
        control,
        report: &mut report,
        rng: StdRng::seed_from_u64(seed),
        quick: sizes.quick,
        other_build: program.is_some(),
        change_count: 0,
        rejected: 0,
        reasons: Vec::new(),
    };
    thread::sleep(AT_REST);
    measure(&mut session, &load, sizes)?;
    let (phases, violations) = load.finish()?;
    end(session);
    report_violations(&mut report, &violations);
    report_phases(&mut report, &phases);
    report.set("load", json!(load_average()));
    let (mut figures, mut broken) = report.into_parts();
    let over = over_budget(&figures);
    if sizes.budgets {
        broken.extend(over.iter().map(|line| format!("over budget: {line}")));
    }
    figures.insert("over".into(), json!(over));
    Ok(Played { figures, broken })
}

fn start_load(bed: &TestBed, sizes: &Sizes, rate: f64, seed: u64) -> Result<BackgroundLoad, ScenarioError> {
    let (methods, tenants) = (sizes.methods.max(1), sizes.tenants);
    let profile = LoadProfile { methods, tenants, callers: CALLERS, rate, seed };
    let mut load = BackgroundLoad::start(bed.node.at, &bed.agent, profile)?;
    load.check_health(bed.node.at)?;
    if tenants > 0 {
        load.check_version_order(bed.node.at, seed)?;
    }
    Ok(load)
}

/// All kinds of changes, one after the other.
fn measure(session: &mut Session, load: &BackgroundLoad, sizes: &Sizes) -> Result<(), ScenarioError> {
    let first = session.measure_quiet(load);
    let steps = session.measure_entry_changes(load, sizes.changes, first)?;
    let second = session.measure_quiet(load);
    let idle_cpu_ms_per_s = (first + second) / 2.0;
    session.report.set("quiet_cpu_ms_per_s", rounded(idle_cpu_ms_per_s));
    let reloads = if sizes.quick { sizes.reloads.min(QUICK_RELOADS) } else { sizes.reloads };
    let files = session.measure_reloads(load, reloads, idle_cpu_ms_per_s)?;
    session.measure_full_changes(load, idle_cpu_ms_per_s, steps)?;
    session.measure_undo(load, idle_cpu_ms_per_s, Supported { steps, files })?;
    session.check_rejections()?;
    load.set_phase(phase::WARM_UP);
    let status = session.control.status()?;
    let half = status["counters"]["half_applied"].as_u64();
    let report = &mut session.report;
    report.set("half_applied", json!(half));
    report.rule("an answer was decided under parts of two versions", half == Some(0));
    report.set("rss_kb_end", json!(session.bed.status_kb("VmRSS")));
    report.set("peak_kb", json!(session.bed.status_kb("VmHWM")));
    report.set("refused", json!(session.rejected));
    report.set("refused_why", json!(session.reasons));
    Ok(())
}

/// The process shuts down.
fn end(mut session: Session) {
    let exit = session.bed.shut_down();
    let report = session.report;
    report.set("left_processes", json!(exit.leftover_processes));
    report.rule("a process was left over", exit.leftover_processes == 0);
    report.rule("the process did not end well", exit.code == Some(0));
    if session.quick {
        report.rule("a change was refused that is good", session.rejected == 0);
    }
}

fn report_violations(report: &mut Report, found: &Violations) {
    let older_after_newer = (found.pairs > 0).then_some(found.older_after_newer);
    report.set("no_final_answer", json!(found.unanswered));
    report.set("answered_twice", json!(found.answered_twice));
    report.set("older_after_newer", json!(older_after_newer));
    report.set("pairs", json!(found.pairs));
    report.rule("an RPC got no final answer", found.unanswered == 0);
    report.rule("an RPC was answered twice", found.answered_twice == 0);
    report.rule("an RPC got the result of another", found.wrong_results == 0);
    let in_order = found.older_after_newer == 0;
    report.rule("an RPC was decided under an older version than one before it", in_order);
}

/// Plays this build, and another in turns; medians of the turns.
pub fn scenario(
    report: &mut Report, seed: u64, sizes: &Sizes, rate: Option<f64>, other: Option<&Path>,
) -> Result<(), ScenarioError> {
    let rate = rate.unwrap_or(RATE);
    let (mut this_build, mut other_build) = (Vec::new(), Vec::new());
    for turn in 0..sizes.turns.unwrap_or(1).max(1) as u64 {
        let played = play(seed + turn, sizes, rate, None)?;
        this_build.push(played.figures);
        played.broken.iter().for_each(|rule| report.rule(rule, false));
        if let Some(program) = other {
            let mut played = play(seed + turn, sizes, rate, Some(program))?;
            played.figures.insert("broken".into(), json!(played.broken));
            other_build.push(played.figures);
        }
    }
    for (name, value) in medians(this_build) {
        report.set(&name, value);
    }
    if other.is_some() {
        report.set("other", Value::Object(medians(other_build)));
    }
    report.set("methods", json!(sizes.methods));
    report.set("tenants", json!(sizes.tenants));
    report.set("rate", json!(rate));
    report.set("turns", json!(sizes.turns.unwrap_or(1)));
    Ok(())
}
