use super::*;

fn figures(of: Value) -> Map<String, Value> {
    of.as_object().cloned().unwrap()
}

#[test]
fn what_is_over_a_budget_is_told_and_nothing_else() {
    let fine = json!({"rss_kb_small": 6_000, "rss_kb": 38_768, "rss_kb_after": 38_768, "rss_kb_after_reloads": null, "peak_kb_after_reloads": 38_768,
        "rss_kb_end": 38_768, "peak_kb": 38_768, "cpu_ms_per_change": 3.0, "cpu_ms_per_reload": 80.0,
        "gap_ms_max": 4.0, "added_ms_p99": 7.5, "entry_bytes": 60.0, "bytes_per_change": 1_084.0,
        "bytes_per_change_disk": 1_084.0});
    assert!(over(&figures(fine.clone())).is_empty());
    let names = MEMORY.into_iter().chain(BUDGETS.iter().map(|(name, _)| *name));
    for name in names {
        let mut one = fine.clone();
        one[name] = json!(one[name].as_f64().unwrap_or(38_768.0) + 1.0);
        let told = over(&figures(one));
        assert!(told.len() == 1 && told[0].starts_with(&format!("{name}: ")), "{name}: {told:?}");
    }
    assert!(over(&Map::new()).is_empty(), "what was not measured is over nothing");
}

#[test]
fn figures_are_medians_of_the_turns_and_words_are_the_last() {
    let turn = |ms: Value, by: &str| figures(json!({"start_ms": ms, "changes_by": by, "load": null}));
    let told = medians(vec![turn(json!(9), "text"), turn(json!(1), "text"), turn(json!(4), "step")]);
    assert_eq!((&told["start_ms"], &told["changes_by"]), (&json!(4.0), &json!("step")));
    assert_eq!(told["spread"], json!({"start_ms": [1.0, 9.0]}));
    assert_eq!(told["load"], Value::Null);
    let one = medians(vec![turn(json!(9), "text")]);
    assert_eq!(one["start_ms"], json!(9));
}

#[test]
fn a_median_is_in_the_middle() {
    let of = |all: &[f64]| median(&mut all.to_vec());
    assert_eq!([of(&[]), of(&[3.0]), of(&[9.0, 1.0, 2.0, 4.0])], [None, Some(3.0), Some(3.0)]);
}

#[test]
fn every_field_is_named_once() {
    let mut names = FIELDS.to_vec();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), FIELDS.len());
}

#[test]
fn cpu_beyond_that_of_the_rpcs_is_what_a_change_took() {
    let mut meter = super::super::rig::Meter::new(std::process::id());
    let before = meter.read();
    thread::sleep(ms(50));
    let after = meter.read();
    assert_eq!(beyond(&after, &before, 1e9), 0.0);
    assert!(beyond(&after, &before, 0.0) == after.cpu_ms(&before));
}

#[test]
fn why_not_is_told_with_the_first_problem() {
    let told =
        json!({"ok": false, "error": "it does not pass the checks", "problems": ["tenant a is gone", "b"]});
    assert_eq!(why(&told), "it does not pass the checks: tenant a is gone");
    assert_eq!(why(&json!({"error": "no"})), "no");
}
