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
    let answer =
        json!({"ok": false, "error": "it does not pass the checks", "problems": ["tenant a is gone", "b"]});
    assert_eq!(rejection_reason(&answer), "it does not pass the checks: tenant a is gone");
    assert_eq!(rejection_reason(&json!({"error": "no"})), "no");
}
