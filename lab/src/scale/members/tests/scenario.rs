//! Tests of `scenario.rs`.

use super::*;

fn run_quick(seed: u64, kind: ScenarioKind) -> Report {
    let mut report = Report::default();
    scenario(&mut report, &MembersOptions { nodes: 10, seed, kind, loss: 0.0, quick: true });
    report
}

#[test]
fn quick_form_depends_only_on_the_seed() {
    let run = |seed| run_quick(seed, ScenarioKind::Quiet).json("scale-members", 0);
    let (first, repeated, other_seed) = (run(1), run(1), run(2));
    assert_eq!(first, repeated);
    assert_ne!(first["trace"], other_seed["trace"]);
    assert!(first.get("cpu_ms_per_s").is_none() && first.get("memory_kb").is_none(), "{first}");
    assert!(
        first["datagrams"].as_u64() > Some(1_000) && first["bytes_per_s"].as_f64() > Some(500.0),
        "{first}"
    );
}

#[test]
fn each_kind_breaks_no_rule_and_reports_its_figures() {
    for (kind, field) in [
        (ScenarioKind::Calm, "found_ms"),
        (ScenarioKind::Quiet, "transition_first_ms"),
        (ScenarioKind::Restarts, "back_ms_max"),
        (ScenarioKind::Zone, "whole_ms"),
        (ScenarioKind::Cut, "all_taken_ms"),
    ] {
        let report = run_quick(3, kind);
        assert!(report.broken().is_empty(), "{kind:?}: {:?}", report.broken());
        assert!(report.figure(field).is_some_and(|ms| ms > 0.0), "{kind:?}: {field}");
    }
}
