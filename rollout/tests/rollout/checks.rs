//! Tests of the checks of a change and of its readable description.

use crate::versions::{method, test_version, TestVersion};
use asterrill::{Idempotency, Method};
use asterrill_entries::{Change, Configuration};
use asterrill_rollout::*;

fn load(requests: f64, mean_work_us: f64) -> MethodLoad {
    MethodLoad { requests, mean_work_us }
}

#[test]
fn names_each_invalid_value_and_marks_risky_ones_as_forcible() {
    let observed = ObservedLoad {
        methods: [("price".into(), load(600.0, 5_000.0)), ("look".into(), load(600.0, 50_000.0))].into(),
        seconds: 60.0,
        in_use_kb: 5_000.0,
        available_kb: 100_000.0,
    };
    let first_problem = |edit: fn(&mut TestVersion)| {
        let mut new = test_version();
        edit(&mut new);
        let (old, new) = (test_version().content(), new.content());
        let all = check(&old, &new, &old.changes_to(&new), &observed, 3.0);
        all.first().map_or(String::new(), Problem::to_string)
    };
    assert_eq!(first_problem(|_| ()), "");
    for (edit, problem) in [
        (
            (|version| version.methods.get_mut("look").unwrap().deadline = 100_000) as fn(&mut TestVersion),
            "invalid: method look: deadline of 100 ms is shorter than the latency target of 200 ms",
        ),
        (
            |version| version.methods.get_mut("look").unwrap().latency_target = 0,
            "invalid: method look: latency target is 0 ms, expected a positive number",
        ),
        (
            |version| version.methods.get_mut("look").unwrap().late_value_ratio = 1.5,
            "invalid: method look: late value ratio is 1.5 and skip value ratio is 0, expected at most 1",
        ),
        (
            |version| version.methods.get_mut("look").unwrap().idempotency = Idempotency::Keyed,
            "invalid: method look: idempotency keys are accepted, but the idempotency window is 0",
        ),
        (|version| version.methods.clear(), "invalid: the configuration has no methods"),
        (|version| version.globals.cores = 0, "invalid: the configuration has no cores"),
        (
            |version| version.globals.max_running_per_core = 0.5,
            "invalid: max running RPCs per core is 0.5, expected at least 1",
        ),
        (
            |version| version.globals.upstream_call_quota = Some(0.0),
            "invalid: the upstream call quota is 0, expected a positive number",
        ),
        (
            |version| version.globals.ram_kb = 4_000.0,
            "invalid: memory limit of 4000 kB is below the 5000 kB in use",
        ),
        (
            |version| version.globals.ram_kb = 200_000.0,
            "invalid: memory limit of 200000 kB exceeds the 100000 kB available",
        ),
        (
            |version| version.globals.cores = 1,
            "risky: cores changes from 4 to 1, by more than a factor of 3 (can be forced)",
        ),
        (
            |version| version.globals.max_running_per_core = 80.0,
            "risky: max running RPCs per core changes from 8 to 80, by more than a factor of 3 (can be forced)",
        ),
        (
            |version| version.methods.get_mut("price").unwrap().criticality = 1.0,
            "risky: criticality of method price changes from 5 to 1, by more than a factor of 3 (can be forced)",
        ),
        (
            |version| version.tenants.insert("nile", 5.0).map(drop).unwrap(),
            "risky: quota of tenant nile changes from 50 to 5, by more than a factor of 3 (can be forced)",
        ),
        (|version| version.tenants.clear(), "risky: tenant nile is removed (can be forced)"),
        (
            |version| version.methods.retain(|name, _| *name != "look"),
            "risky: the change would have rejected an additional 50% of the last minute's RPCs (can be forced)",
        ),
    ] {
        assert_eq!(first_problem(edit), problem);
    }
    // The 600 RPCs of price take 3 s of CPU time, the 600 of look take 30 s. Of the 15 s that one core offers, price
    // gets its 3 s, and the rest suffices for 240 RPCs of look.
    let mut scarce = test_version();
    scarce.globals.cores = 1;
    let rejected = dry_run(&scarce.content(), &ObservedLoad { seconds: 15.0, ..observed });
    assert!((0.29..0.31).contains(&rejected), "{rejected}");
    assert_eq!(dry_run(&scarce.content(), &ObservedLoad::default()), 0.0);
}

#[test]
fn checks_a_version_on_its_own_with_the_changes_from_an_empty_one() {
    let mut bad = test_version();
    bad.methods.get_mut("look").unwrap().deadline = 1;
    let bad = bad.content();
    let all = Configuration::new((**bad.globals()).clone()).changes_to(&bad);
    let problem_count =
        |changes: &[Change]| check(&bad, &bad, changes, &ObservedLoad::default(), f64::INFINITY).len();
    // Problems of entries that a change does not set are not reported.
    assert_eq!(
        (problem_count(&all), problem_count(&[]), problem_count(&[Change::PutTenant("nile".into(), 1.0)])),
        (1, 0, 0)
    );
}

#[test]
fn describes_each_altered_value_in_one_line() {
    let old = test_version();
    let mut new = test_version();
    (new.globals.cores, new.globals.ram_kb, new.globals.upstream_call_quota) = (2, 80_000.0, Some(10.0));
    let price = new.methods.get_mut("price").unwrap();
    (price.criticality, price.latency_target, price.idempotency_window) = (4.0, 90_500, 1_000);
    new.methods.remove("look");
    new.methods.insert("pay", method(1.0, 5));
    new.tenants.insert("nile", 60.0);
    new.tenants.insert("oder", 7.5);
    let (old, new) = (old.content(), new.content());
    assert_eq!(
        difference(&old, &old.changes_to(&new)),
        [
            "cores: 4 -> 2",
            "memory limit: 90000 kB -> 80000 kB",
            "upstream call quota: 20 -> 10",
            "method price: criticality: 5 -> 4",
            "method price: latency target: 100 ms -> 90.5 ms",
            "method price: idempotency window: 0 ms -> 1 ms",
            "tenant nile: RPCs per second: 50 -> 60",
            "tenant oder: RPCs per second: 0 -> 7.5",
            "method look: removed",
            "method pay: new",
        ]
    );
    let removed = difference(&new, &[Change::RemoveTenant("oder".into())]);
    assert_eq!(removed, ["tenant oder: removed"]);
    // An entry that equals the running one makes no difference, even if a step contains it.
    assert_eq!(difference(&old, &[Change::PutTenant("nile".into(), 50.0)]), [""; 0]);
}

#[test]
fn long_lists_end_with_the_number_of_omitted_lines() {
    let old = test_version().content();
    let put: Vec<Change> = (0..49_000).map(|i| Change::PutTenant(format!("t{i:05}").into(), 1.0)).collect();
    let new = old.apply(&put).unwrap();
    let lines = difference(&old, &put);
    assert_eq!(
        (lines.len(), lines.last().map(String::as_str)),
        (MAX_LISTED_ITEMS + 1, Some("and 48800 more"))
    );
    let mut changes = new.changes_to(&old);
    changes.push(Change::PutMethod(
        "look".into(),
        Method { idempotency_window: 0, idempotency: Idempotency::Keyed, ..method(1.0, 200) },
    ));
    let staged = new.apply(&changes).unwrap();
    let problems = check(&new, &staged, &changes, &ObservedLoad::default(), 3.0);
    assert_eq!((problems.len(), problems.last()), (MAX_LISTED_ITEMS + 1, Some(&Problem::Omitted(48_801))));
    // Errors come before risks, so that the list always contains them.
    assert_eq!(
        problems[0].to_string(),
        "invalid: method look: idempotency keys are accepted, but the idempotency window is 0"
    );
    assert_eq!(problems[MAX_LISTED_ITEMS].to_string(), "and 48801 more");
}
