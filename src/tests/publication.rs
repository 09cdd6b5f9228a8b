//! What is published: credit, health, idle timeout, retry-after.

use super::fixtures::{control_with, read_rpc};
use super::harness::idle_server;
use super::server_config::{CORES, GRACE, MS};
use crate::*;

#[test]
fn idle_timeout_shrinks_with_many_connections_and_grows_again_with_few() {
    let mut harness = idle_server();
    harness.read(0, 0, 0, 1_500 * MS, None);
    let mut tick = |connections| {
        harness.now += 100 * MS;
        harness
            .control
            .timer_fired(harness.now, Gauges { connections: Some(connections), ..Gauges::default() })
            .close_idle_after
    };
    assert_eq!(tick(10.0 * CORES as f64), None, "a few for each core are no crowd");
    assert_eq!((tick(90.0), tick(90.0)), (Some(15_000 * MS), Some(7_500 * MS)));
    for _ in 0..20 {
        assert!(tick(90.0).is_none_or(|span| span >= 100 * MS), "never shorter than a tick");
    }
    let grown: Vec<Us> = (0..20).filter_map(|_| tick(0.0)).collect();
    assert_eq!(grown.last(), Some(&(30_000 * MS)), "and no longer than callers leave them open");
}

#[test]
fn slow_server_stays_healthy_and_cuts_its_credit() {
    let mut harness = idle_server();
    for _ in 0..40 {
        let id = harness.read(0, 0, 400 * MS, 1_500 * MS, None);
        harness.pass(400 * MS);
        if harness.rpcs[&id].ran && !harness.rpcs[&id].over {
            harness.end_run(id, RunEnd::Ok);
        }
    }
    assert!(harness.credit.unwrap() < 1.0, "callers are asked to send less");
    assert_eq!(harness.health, Some(true), "leaving would push the others over");
}

#[test]
fn credit_is_cut_while_arrivals_lie_unread() {
    let mut harness = idle_server();
    let open = harness.credit.unwrap();
    for _ in 0..4 {
        harness.read(0, 0, 300 * MS, 1_500 * MS, None);
    }
    assert!(harness.credit.unwrap() < open / 3.0);
}

#[test]
fn drain_turns_health_off_at_once_and_credit_after_the_grace() {
    let mut harness = idle_server();
    let kill = harness.now + 3_000 * MS;
    harness.notify_drain(kill);
    assert!(
        harness.health == Some(false) && harness.credit > Some(0.0),
        "what comes within the grace is run"
    );
    let early = harness.read(0, 0, 0, 1_500 * MS, None);
    harness.pass(GRACE);
    assert_eq!((harness.health, harness.credit), (Some(false), Some(0.0)));
    let late = harness.read(0, 1, 0, 1_500 * MS, None);
    assert!(harness.rpcs[&early].ran && !harness.rpcs[&late].ran && !harness.rpcs[&late].owed);
}

#[test]
fn busy_server_publishes_more_than_an_equal_part_unless_that_is_a_fraction() {
    let credit = |callers: u64| {
        let mut harness = idle_server();
        for n in 0..callers.max(8) {
            harness.read(0, n % callers, 0, 1_500 * MS, None);
        }
        harness.pass(100 * MS);
        (harness.credit.unwrap(), CORES as f64 / callers as f64)
    };
    let (few, part) = credit(1);
    assert!(part >= 1.0 && few > 1.3 * part && few < 1.7 * part, "{few} of {part}");
    let (many, part) = credit(40);
    assert!(part < 0.2 && many < 1.3 * part, "{many} of {part}");
}

#[test]
fn retry_after_is_jittered_within_the_relayed_maximum() {
    let waits = |spread: f64| -> Vec<Us> {
        let mut control = control_with(0, &[1.0], 1, 1e6);
        control.feedback = CallerFeedback::new(FeedbackMode::Credit, 60 * MS, 400 * MS, 0);
        control.set_recovery_limits(0, RecoveryLimits { retry_after_jitter: spread, ..RecoveryLimits::NONE });
        let wait = |reply: &Reply| match reply.answer {
            Answer::Rejected { retry_after, .. } => retry_after,
            Answer::Aborted => 0,
        };
        (0..60)
            .flat_map(|n| read_rpc(&mut control, 0, n, 0).answers.iter().map(wait).collect::<Vec<_>>())
            .collect()
    };
    let (plain, spread) = (waits(0.0), waits(1.0));
    assert!(spread.len() > 10 && spread.len() == plain.len());
    let longer: Vec<Us> = spread.iter().zip(&plain).map(|(far, near)| far - near).collect();
    assert!(spread.iter().zip(&plain).all(|(far, near)| *far <= (2 * near).min(60 * MS)), "{spread:?}");
    assert!(longer.iter().filter(|by| **by > 0).count() > longer.len() / 2, "{longer:?}");
}
