//! Tests of `scenario.rs`: the quick form is the same each time, and holds its rules.

use super::*;

fn quick(kind: &str, seed: u64) -> Value {
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
fn quick_form_depends_on_the_seed_alone_and_holds_the_rules() {
    for kind in ["quiet", "dead", "cut", "loss", "keeper", "disk", "crowd"] {
        let one = quick(kind, 3);
        assert_eq!(one, quick(kind, 3), "{kind}");
        assert_eq!(one["broken"], Value::Array(Vec::new()), "{kind}: {one}");
    }
    assert_ne!(quick("loss", 3)["trace"], quick("loss", 4)["trace"]);
}
