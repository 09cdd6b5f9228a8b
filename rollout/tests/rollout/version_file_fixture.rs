//! Compatibility tests: a version file of an earlier build yields the same versions, and is written identically.

use asterrill::{Idempotency, Method};
use asterrill_entries::{Change, Configuration, GlobalSettings, UpstreamKind};
use asterrill_rollout::*;

/// Snapshot and steps of all kinds, written by the build of 2026-12-02.
const STEPS_FIXTURE: &str = include_str!("../fixtures/versions-steps");
/// Last state of [`STEPS_FIXTURE`] as one snapshot, written by the same build.
const SNAPSHOT_FIXTURE: &str = include_str!("../fixtures/versions-snapshot");
/// End of each record of [`STEPS_FIXTURE`], in bytes.
const RECORD_ENDS: [usize; 7] = [999, 1334, 1439, 2085, 2189, 2399, 3019];
/// Hashes of versions A, B, C and D, computed by the earlier build.
const HASHES: [&str; 4] = [
    "568993e4b64f3d9da502f1f2624a3811-fb8546475d77ab28",
    "759812769b44cb7174a847c2ea5f04a2-fb8546475d77ab28",
    "02158617e7c75b5e2a346e8a64d5ac3a-fdb01414a8f15d8b",
    "6de5b2c7f11ea8af969b591d8a8c55f1",
];
const OPERATOR_FILE: &str = "[broker]\nqueue \u{e9} 1\n";

fn method(criticality: f64, target_ms: u64, idempotency: Idempotency, window: u64) -> Method {
    Method {
        criticality,
        latency_target: target_ms * 1_000,
        deadline: target_ms * 3_000,
        late_value_ratio: 0.25,
        skip_value_ratio: 0.5,
        idempotency,
        idempotency_window: window,
    }
}

fn content(cores: u64, tenants: &[(&str, f64)], with_pay: bool) -> Configuration {
    let mut changes = vec![
        Change::PutMethod("price".into(), method(5.0, 100, Idempotency::Idempotent, 0)),
        Change::PutMethod("look".into(), method(1.0, 200, Idempotency::Keyed, 5_000_000)),
    ];
    if with_pay {
        changes.push(Change::PutMethod("pay".into(), method(7.5, 40, Idempotency::NonIdempotent, 0)));
    }
    changes.extend(tenants.iter().map(|(name, quota)| Change::PutTenant((*name).into(), *quota)));
    let globals = GlobalSettings {
        cores,
        max_running_per_core: 8.0,
        ram_kb: 90_000.0,
        upstream: UpstreamKind::Shared,
        upstream_call_quota: Some(20.0),
        upstream_call_window: Some(1_000_000),
        memory_mb: 64,
        sockets: 100,
        ..GlobalSettings::default()
    };
    Configuration::new(globals).apply(&changes).unwrap()
}

fn version(number: u64, content: Configuration, operator_file: &str) -> PersistedVersion {
    PersistedVersion { number, content, operator_file: operator_file.into() }
}

/// Returns versions A to D.
fn versions() -> [PersistedVersion; 4] {
    [
        version(1, content(4, &[("nile", 50.0), ("oder", 7.5)], false), OPERATOR_FILE),
        version(2, content(4, &[("nile", 60.0), ("oder", 7.5), ("po", 1.0)], true), OPERATOR_FILE),
        version(3, content(8, &[("nile", 60.0)], true), "[changes]\nstate /tmp/x\n"),
        version(5, content(8, &[("nile", 61.0)], false), ""),
    ]
}

/// Returns the state after each record of the fixture.
fn states() -> Vec<PersistedState> {
    let [a, b, c, d] = versions();
    let first_rolled_back = vec![RolledBack { hash: "f".repeat(32).into(), number: 9 }];
    let mut both_rolled_back = first_rolled_back.clone();
    both_rolled_back.push(RolledBack { hash: c.hash(), number: 3 });
    let a_again = PersistedVersion { number: 4, ..a.clone() };
    let state =
        |good: &PersistedVersion, probation: Option<&PersistedVersion>, rolled_back: &[RolledBack]| {
            let (good, probation) = (good.clone(), probation.cloned());
            PersistedState { good, probation, rolled_back: rolled_back.to_vec() }
        };
    vec![
        state(&a, None, &first_rolled_back),
        state(&a, Some(&b), &first_rolled_back),
        state(&b, None, &first_rolled_back),
        state(&b, Some(&c), &first_rolled_back),
        state(&b, None, &both_rolled_back),
        state(&a_again, None, &both_rolled_back),
        state(&a_again, Some(&d), &both_rolled_back),
    ]
}

#[test]
fn hashes_are_those_of_the_earlier_build() {
    for (version, hash) in versions().iter().zip(HASHES) {
        assert_eq!(&*version.hash(), hash, "version {}", version.number);
    }
}

#[test]
fn records_of_the_earlier_build_yield_the_same_versions() {
    for (end, state) in RECORD_ENDS.into_iter().zip(states()) {
        let recovered = recover(&STEPS_FIXTURE.as_bytes()[..end]).unwrap();
        assert_eq!(recovered.state, state, "up to byte {end}");
        assert_eq!((recovered.valid_bytes, recovered.torn_bytes), (end as u64, 0));
        assert_eq!(recovered.damaged, None);
    }
    let recovered = recover(SNAPSHOT_FIXTURE.as_bytes()).unwrap();
    assert_eq!(Some(&recovered.state), states().last());
}

#[test]
fn records_are_written_exactly_as_by_the_earlier_build() {
    // The states come from the fixture, so that the test covers both reading and writing.
    let read: Vec<_> =
        RECORD_ENDS.iter().map(|end| recover(&STEPS_FIXTURE.as_bytes()[..*end]).unwrap().state).collect();
    let mut text = String::new();
    let mut written = write_snapshot(&read[0], &mut text).unwrap();
    for (state, end) in read[1..].iter().zip(&RECORD_ENDS[1..]) {
        let update = written.update_to(state).unwrap();
        update.write(&mut text).unwrap();
        written = written.after_update(state.clone(), &update);
        assert_eq!(text, STEPS_FIXTURE[..*end]);
    }
    let mut snapshot = String::new();
    write_snapshot(read.last().unwrap(), &mut snapshot).unwrap();
    assert_eq!(snapshot, SNAPSHOT_FIXTURE);
}
