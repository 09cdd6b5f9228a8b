//! The stages of a recovery.

use asterrill::Us;
use asterrill_recovery::{Stage, StageEvidence, StageReason, StageTracker};

const S: Us = 1_000_000;

fn good() -> StageEvidence {
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
fn full_service_is_entered_and_left_by_evidence_only() {
    let mut stages = StageTracker::new(0);
    assert_eq!(stages.update(S, StageEvidence::default()), None);
    assert_eq!(stages.update(2 * S, StageEvidence { runs_ok: 0, ..good() }), Some(Stage::Cold));
    assert_eq!(
        stages.update(900 * S, StageEvidence { runs_ok: 0, ..good() }),
        None,
        "nothing ran: time proves nothing"
    );
    assert_eq!(stages.update(901 * S, good()), Some(Stage::Warming));
    let mut now = 901 * S;
    let mut second = |stages: &mut StageTracker, evidence: StageEvidence| {
        now += S;
        stages.update(now, evidence)
    };
    for bad in [
        StageEvidence { slowdown: 2.0, ..good() },
        StageEvidence { ramp_complete: false, ..good() },
        StageEvidence { calls_unrestricted: false, ..good() },
        StageEvidence { unhealthy: true, ..good() },
        StageEvidence { rejected: 2, ..good() },
    ] {
        assert_eq!((second(&mut stages, good()), second(&mut stages, good())), (None, None));
        assert_eq!(second(&mut stages, bad), None);
        assert_eq!(stages.stage(), Stage::Warming, "{bad:?}");
    }
    assert_eq!((second(&mut stages, good()), second(&mut stages, good())), (None, None));
    assert_eq!(second(&mut stages, good()), Some(Stage::Full));
    for _ in 0..4 {
        assert_eq!(second(&mut stages, StageEvidence { rejected: 10, ..good() }), None);
    }
    assert_eq!(
        second(&mut stages, StageEvidence { received: 0, ..good() }),
        None,
        "a second without RPCs is none"
    );
    assert_eq!(second(&mut stages, StageEvidence { rejected: 10, ..good() }), Some(Stage::Warming));
    assert_eq!(stages.reason(), StageReason::Rejecting);
    assert_eq!(stages.reason().as_str(), "more than 5 in 100 RPCs are rejected");
}
