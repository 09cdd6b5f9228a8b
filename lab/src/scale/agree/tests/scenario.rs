//! Tests of `scenario.rs`: the quick form is deterministic and breaks no rule.

use super::*;

fn run_quick(kind: &str, seed: u64) -> Value {
    let mut report = Report::default();
    let options = AgreeOptions {
        replicas: 12,
        entries: 300,
        quick: true,
        change_interval_s: 1,
        ignore_cpu_time: false,
    };
    scenario(&mut report, options, Some(kind), seed).unwrap();
    report.json("scale-agree", seed)
}

#[test]
fn quick_form_depends_only_on_the_seed_and_breaks_no_rule() {
    for kind in ["quiet", "dead", "cut", "loss", "keeper", "disk", "crowd"] {
        let first = run_quick(kind, 3);
        assert_eq!(first, run_quick(kind, 3), "{kind}");
        assert_eq!(first["broken"], Value::Array(Vec::new()), "{kind}: {first}");
    }
    assert_ne!(run_quick("loss", 3)["trace"], run_quick("loss", 4)["trace"]);
}
