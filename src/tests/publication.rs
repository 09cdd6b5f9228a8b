//! Tests of the published feedback: credit, health status, idle timeout, retry-after.

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
    assert_eq!(tick(10.0 * CORES as f64), None, "ten connections per core must not shorten the timeout");
    assert_eq!((tick(90.0), tick(90.0)), (Some(15_000 * MS), Some(7_500 * MS)));
    for _ in 0..20 {
        assert!(
            tick(90.0).is_none_or(|timeout| timeout >= 100 * MS),
            "the timeout must not be shorter than a tick"
        );
    }
    let grown: Vec<Us> = (0..20).filter_map(|_| tick(0.0)).collect();
    assert_eq!(grown.last(), Some(&(30_000 * MS)), "the timeout must return to that of the callers");
}

#[test]
fn slow_server_stays_healthy_and_reduces_its_credit() {
    let mut harness = idle_server();
    for _ in 0..40 {
        let id = harness.read(0, 0, 400 * MS, 1_500 * MS, None);
        harness.advance(400 * MS);
        if harness.rpcs[&id].ran && !harness.rpcs[&id].ended {
            harness.end_run(id, RunEnd::Ok);
        }
    }
    assert!(harness.credit.unwrap() < 1.0, "the credit must be reduced");
    assert_eq!(
        harness.health,
        Some(true),
        "a slow server must stay healthy, or its load would overload the others"
    );
}

#[test]
fn credit_is_reduced_while_arrivals_are_unread() {
    let mut harness = idle_server();
    let initial = harness.credit.unwrap();
    for _ in 0..4 {
        harness.read(0, 0, 300 * MS, 1_500 * MS, None);
    }
    assert!(harness.credit.unwrap() < initial / 3.0);
}

#[test]
fn drain_publishes_unhealthy_at_once_and_zero_credit_after_the_grace_period() {
    let mut harness = idle_server();
    let kill_at = harness.now + 3_000 * MS;
    harness.notify_drain(kill_at);
    assert!(
        harness.health == Some(false) && harness.credit > Some(0.0),
        "arrivals within the grace period must be served"
    );
    let within_grace = harness.read(0, 0, 0, 1_500 * MS, None);
    harness.advance(GRACE);
    assert_eq!((harness.health, harness.credit), (Some(false), Some(0.0)));
    let after_grace = harness.read(0, 1, 0, 1_500 * MS, None);
    assert!(
        harness.rpcs[&within_grace].ran
            && !harness.rpcs[&after_grace].ran
            && !harness.rpcs[&after_grace].answer_due
    );
}

#[test]
fn busy_server_publishes_more_than_an_equal_share_unless_that_is_below_one_rpc() {
    let credit = |callers: u64| {
        let mut harness = idle_server();
        for n in 0..callers.max(8) {
            harness.read(0, n % callers, 0, 1_500 * MS, None);
        }
        harness.advance(100 * MS);
        (harness.credit.unwrap(), CORES as f64 / callers as f64)
    };
    let (few_callers, share) = credit(1);
    assert!(
        share >= 1.0 && few_callers > 1.3 * share && few_callers < 1.7 * share,
        "credit {few_callers} for an equal share of {share}"
    );
    let (many_callers, share) = credit(40);
    assert!(share < 0.2 && many_callers < 1.3 * share, "credit {many_callers} for an equal share of {share}");
}

#[test]
fn retry_after_is_jittered_within_the_relayed_maximum() {
    let retry_afters = |jitter: f64| -> Vec<Us> {
        let mut control = control_with(0, &[1.0], 1, 1e6);
        control.feedback = CallerFeedback::new(FeedbackMode::Credit, 60 * MS, 400 * MS, 0);
        control.set_recovery_limits(0, RecoveryLimits { retry_after_jitter: jitter, ..RecoveryLimits::NONE });
        let retry_after = |reply: &Reply| match reply.answer {
            Answer::Rejected { retry_after, .. } => retry_after,
            Answer::Aborted => 0,
        };
        (0..60)
            .flat_map(|n| read_rpc(&mut control, 0, n, 0).answers.iter().map(retry_after).collect::<Vec<_>>())
            .collect()
    };
    let (plain, jittered) = (retry_afters(0.0), retry_afters(1.0));
    assert!(jittered.len() > 10 && jittered.len() == plain.len());
    let added: Vec<Us> = jittered.iter().zip(&plain).map(|(jittered, plain)| jittered - plain).collect();
    assert!(
        jittered.iter().zip(&plain).all(|(jittered, plain)| *jittered <= (2 * plain).min(60 * MS)),
        "{jittered:?}"
    );
    assert!(added.iter().filter(|added| **added > 0).count() > added.len() / 2, "{added:?}");
}
