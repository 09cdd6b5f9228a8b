//! Tests of `scenario.rs`.

use super::*;

fn quick(seed: u64, kind: ScenarioKind) -> Report {
    let mut report = Report::default();
    scenario(&mut report, &MembersOptions { nodes: 10, seed, kind, loss: 0.0, quick: true });
    report
}

#[test]
fn quick_form_depends_on_the_seed_alone() {
    let run = |seed| quick(seed, ScenarioKind::Quiet).json("scale-members", 0);
    let (one, again, other) = (run(1), run(1), run(2));
    assert_eq!(one, again);
    assert_ne!(one["trace"], other["trace"]);
    assert!(one.get("cpu_ms_per_s").is_none() && one.get("memory_kb").is_none(), "{one}");
    assert!(one["datagrams"].as_u64() > Some(1_000) && one["bytes_per_s"].as_f64() > Some(500.0), "{one}");
}

#[test]
fn each_kind_holds_its_rules_and_reports_what_happened() {
    for (kind, field) in [
        (ScenarioKind::Calm, "found_ms"),
        (ScenarioKind::Quiet, "transition_first_ms"),
        (ScenarioKind::Restarts, "back_ms_max"),
        (ScenarioKind::Zone, "whole_ms"),
        (ScenarioKind::Cut, "all_taken_ms"),
    ] {
        let report = quick(3, kind);
        assert!(report.broken().is_empty(), "{kind:?}: {:?}", report.broken());
        assert!(report.figure(field).is_some_and(|ms| ms > 0.0), "{kind:?}: {field}");
    }
}
