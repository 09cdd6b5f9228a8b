//! Tests of which values of a snapshot are accepted, discounted or discarded.

mod common;

use asterrill_recovery::{
    age, assess, Assessment, ClockReading, CurrentServer, DiscardReason, Snapshot, ValueKind, Verdict,
    MAX_COST_FRACTION, MAX_EFFECT_TIME_US, MAX_RESTORED_RUNS,
};
use common::{server, snapshot, targets, S};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn verdict(assessment: &Assessment, kind: ValueKind) -> Verdict {
    assessment.verdicts.iter().find(|value| value.kind == kind).unwrap().verdict
}

#[test]
fn each_value_is_assessed_by_its_rule() {
    let (snapshot, targets) = (snapshot(), targets());
    let soon = assess(&snapshot, &server(&targets, 100_000));
    for kind in [
        ValueKind::Costs,
        ValueKind::ConcurrencyTarget,
        ValueKind::Slowdown,
        ValueKind::Accounts,
        ValueKind::Tenants,
    ] {
        assert_eq!(verdict(&soon, kind), Verdict::Accepted, "{kind:?}");
    }
    assert!(soon.trip_breaker_on_first_failure && soon.concurrency_target == Some(4.2));
    assert!(soon.costs.iter().all(|cost| cost.runs <= MAX_RESTORED_RUNS));

    let later = assess(&snapshot, &server(&targets, 60 * S));
    assert_eq!((later.concurrency_target, later.slowdown), (None, None));
    assert_eq!((later.accounts.len(), later.trip_breaker_on_first_failure), (0, true));
    assert_eq!(verdict(&later, ValueKind::ConcurrencyTarget), Verdict::Discarded(DiscardReason::TooOld));
    assert!(!assess(&snapshot, &server(&targets, 61 * S)).trip_breaker_on_first_failure);

    let empty = assess(&snapshot, &CurrentServer { agent_cold: true, ..server(&targets, S) });
    assert_eq!(verdict(&empty, ValueKind::ConcurrencyTarget), Verdict::Discarded(DiscardReason::AgentEmpty));
    assert!(
        matches!(verdict(&empty, ValueKind::Costs), Verdict::Discounted(weight) if (weight - 0.5).abs() < 0.01)
    );

    let other = assess(&snapshot, &CurrentServer { cores: 4.0, ..server(&targets, S) });
    assert_eq!(
        verdict(&other, ValueKind::ConcurrencyTarget),
        Verdict::Discarded(DiscardReason::OtherMachine)
    );
    let other = assess(&snapshot, &CurrentServer { settings_hash: 1, ..server(&targets, S) });
    assert_eq!(verdict(&other, ValueKind::Tenants), Verdict::Discarded(DiscardReason::OtherSettings));
    let all = |assessment: &Assessment, reason| {
        assessment.verdicts.iter().all(|value| value.verdict == Verdict::Discarded(reason))
    };
    let other = CurrentServer { name: "n2", ..server(&targets, S) };
    assert!(all(&assess(&snapshot, &other), DiscardReason::OtherBackend));
    assert!(all(&assess(&snapshot, &server(&targets, 7 * 86_400 * S)), DiscardReason::TooOld));
    let set_back = ClockReading { wall: 1, uptime: 5 * S, boot_id: 6 };
    let unknown = CurrentServer { now: set_back, ..server(&targets, S) };
    assert!(all(&assess(&snapshot, &unknown), DiscardReason::AgeUnknown));

    // No cost is restored for a method whose target has changed or that was removed.
    let changed = [("till price".to_string(), 300_000)].into();
    let costs = verdict(&assess(&snapshot, &server(&changed, S)), ValueKind::Costs);
    assert_eq!(costs, Verdict::Discarded(DiscardReason::NoValue));
}

#[derive(Clone, Debug)]
struct ArbitrarySnapshot(Snapshot, [u64; 4]);

impl Arbitrary for ArbitrarySnapshot {
    fn arbitrary(g: &mut Gen) -> ArbitrarySnapshot {
        let mut any = snapshot();
        let number = |g: &mut Gen| {
            (u32::arbitrary(g) % 3_000_000) as f64 * if bool::arbitrary(g) { 1.0 } else { 1e-4 }
        };
        for method in &mut any.methods {
            (method.mean, method.runs) = (number(g), number(g));
        }
        (any.concurrency_target, any.slowdown, any.call_failures) = (number(g), number(g), u32::arbitrary(g));
        any.taken_at = ClockReading {
            wall: u64::arbitrary(g),
            uptime: u64::arbitrary(g),
            boot_id: u64::arbitrary(g) % 3,
        };
        ArbitrarySnapshot(
            any,
            [u64::arbitrary(g), u64::arbitrary(g), u64::arbitrary(g) % 3, u64::arbitrary(g)],
        )
    }
}

/// Guards the bounds for arbitrary values in a snapshot, arbitrary ages and arbitrary clock readings.
#[test]
fn no_restored_value_exceeds_its_bound_or_the_effect_time() {
    fn holds(
        ArbitrarySnapshot(snapshot, [wall, uptime, boot_id, max_snapshot_age]): ArbitrarySnapshot,
    ) -> bool {
        let targets = targets();
        let now = ClockReading { wall, uptime, boot_id };
        let server = CurrentServer { now, max_snapshot_age, ..server(&targets, 0) };
        let restored = assess(&snapshot, &server);
        let costs_bounded = restored.costs.iter().all(|cost| {
            cost.mean <= targets[&cost.method] as f64 * MAX_COST_FRACTION
                && cost.mean > 0.0
                && cost.runs <= MAX_RESTORED_RUNS
        });
        let age = age(&server.now, &snapshot.taken_at);
        let withholds = restored.concurrency_target.is_some()
            || restored.slowdown.is_some()
            || !restored.accounts.is_empty();
        let within_effect_time =
            age.is_some_and(|age| age <= MAX_EFFECT_TIME_US && age <= max_snapshot_age) || !withholds;
        let empty = Assessment { verdicts: restored.verdicts.clone(), ..Assessment::default() };
        let known_age_or_empty = age.is_some() || restored == empty;
        costs_bounded && within_effect_time && known_age_or_empty && restored.verdicts.len() == 6
    }
    QuickCheck::new().tests(5_000).quickcheck(holds as fn(ArbitrarySnapshot) -> bool);
}
