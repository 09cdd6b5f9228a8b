//! Tests of `session.rs`.

use super::*;
use crate::scale::test_bed::meter::CpuMeter;

#[test]
fn cpu_beyond_load_excludes_the_idle_share() {
    let mut meter = CpuMeter::new(std::process::id());
    let before = meter.read();
    thread::sleep(Duration::from_millis(50));
    let after = meter.read();
    assert_eq!(cpu_beyond_load_ms(&after, &before, 1e9), 0.0);
    assert!(cpu_beyond_load_ms(&after, &before, 0.0) == after.cpu_ms(&before));
}

#[test]
fn rejection_reason_names_the_first_problem() {
    let answer = json!({"ok": false, "error": "the change did not pass the checks",
        "problems": ["tenant a is gone", "b"]});
    assert_eq!(rejection_reason(&answer), "the change did not pass the checks: tenant a is gone");
    assert_eq!(rejection_reason(&json!({"error": "no"})), "no");
}

#[test]
fn rejections_of_earlier_and_current_builds_are_recognised() {
    for reason in ["stage wants text", "stage wants text or step", "stage requires text or step"] {
        assert!(starts_with_any(reason, &STEP_UNSUPPORTED), "{reason}");
        assert!(!starts_with_any(reason, &REQUEST_TOO_LONG), "{reason}");
    }
    for reason in [
        "a request is a line of 4 MiB at most, within 5 s",
        "a request must be one line of at most 4 MiB, received within 5 s",
    ] {
        assert!(starts_with_any(reason, &REQUEST_TOO_LONG), "{reason}");
        assert!(!starts_with_any(reason, &STEP_UNSUPPORTED), "{reason}");
    }
    for reason in ["the change did not pass the checks", "expected either text or step, found both", ""] {
        assert!(!starts_with_any(reason, &STEP_UNSUPPORTED) && !starts_with_any(reason, &REQUEST_TOO_LONG));
    }
}
