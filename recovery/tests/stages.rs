//! Tests of the stages of a recovery.

use asterrill::Us;
use asterrill_recovery::{Stage, StageEvidence, StageReason, StageTracker};

const S: Us = 1_000_000;

fn good_evidence() -> StageEvidence {
    StageEvidence {
        snapshot_assessed: true,
        runs_ok: 20,
        received: 20,
        slowdown: 1.0,
        ramp_complete: true,
        calls_unrestricted: true,
        ..StageEvidence::default()
    }
}

#[test]
fn full_service_is_entered_and_left_only_on_evidence() {
    let mut stages = StageTracker::new(0);
    assert_eq!(stages.update(S, StageEvidence::default()), None);
    assert_eq!(stages.update(2 * S, StageEvidence { runs_ok: 0, ..good_evidence() }), Some(Stage::Cold));
    assert_eq!(
        stages.update(900 * S, StageEvidence { runs_ok: 0, ..good_evidence() }),
        None,
        "no run has ended; the time alone is no evidence"
    );
    assert_eq!(stages.update(901 * S, good_evidence()), Some(Stage::Warming));
    let mut now = 901 * S;
    let mut next_second = |stages: &mut StageTracker, evidence: StageEvidence| {
        now += S;
        stages.update(now, evidence)
    };
    for bad in [
        StageEvidence { slowdown: 2.0, ..good_evidence() },
        StageEvidence { ramp_complete: false, ..good_evidence() },
        StageEvidence { calls_unrestricted: false, ..good_evidence() },
        StageEvidence { unhealthy: true, ..good_evidence() },
        StageEvidence { rejected: 2, ..good_evidence() },
    ] {
        assert_eq!(
            (next_second(&mut stages, good_evidence()), next_second(&mut stages, good_evidence())),
            (None, None)
        );
        assert_eq!(next_second(&mut stages, bad), None);
        assert_eq!(stages.stage(), Stage::Warming, "{bad:?}");
    }
    assert_eq!(
        (next_second(&mut stages, good_evidence()), next_second(&mut stages, good_evidence())),
        (None, None)
    );
    assert_eq!(next_second(&mut stages, good_evidence()), Some(Stage::Full));
    for _ in 0..4 {
        assert_eq!(next_second(&mut stages, StageEvidence { rejected: 10, ..good_evidence() }), None);
    }
    assert_eq!(
        next_second(&mut stages, StageEvidence { received: 0, ..good_evidence() }),
        None,
        "an interval without RPCs must not be evaluated"
    );
    assert_eq!(
        next_second(&mut stages, StageEvidence { rejected: 10, ..good_evidence() }),
        Some(Stage::Warming)
    );
    assert_eq!(stages.reason(), StageReason::Rejecting);
    assert_eq!(stages.reason().as_str(), "more than 5 in 100 RPCs are rejected");
}
