//! Tests of the link to the agent: lost commands, silence, repeated notices, refusals.

use super::*;

#[test]
fn resends_only_commands_lost_with_the_link() {
    let mut harness = CoreHarness::new(1);
    let (lost, delivered) = {
        let delivered = harness.send_rpc(1, "book", 900 * MS, None);
        harness.peers.agent_unreachable = true;
        (harness.send_rpc(1, "look", 900 * MS, None), delivered)
    };
    assert_eq!(harness.peers.runs.len(), 1);
    harness.reconnect_agent();
    assert_eq!(harness.peers.runs.len(), 2);
    harness.advance_run(0, true);
    harness.deliver_notices(1);
    assert_eq!(harness.peers.calls.len(), 1);
    harness.disconnect_agent();
    // The reply arrives while there is no link, and is delivered after the reconnect.
    harness.end_call(0, CallEnd::Ok);
    harness.reconnect_agent();
    for _ in 0..2 {
        harness.advance_run(1, false);
        harness.deliver_notices(1);
    }
    harness.check_invariants();
    assert_eq!((harness.peers.answers[&delivered].0, harness.peers.answers[&lost].0), ("ok", "ok"));
}

/// Guards against a run that takes the reply to an earlier call for the reply to its next one, after the link breaks.
#[test]
fn reply_received_before_a_break_is_not_delivered_to_the_next_call() {
    let mut harness = CoreHarness::new(1);
    let stream = harness.send_rpc(1, "look", 900 * MS, None);
    harness.advance_run(1, true);
    harness.deliver_notices(1);
    harness.end_call(0, CallEnd::Ok);
    harness.reconnect_agent_while(|harness| harness.advance_run(2, true));
    harness.check_invariants();
    harness.deliver_notices(1);
    harness.end_call(0, CallEnd::Ok);
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    harness.check_invariants();
    assert_eq!(harness.peers.answers[&stream].0, "ok");
}

/// Guards against a second run of a non-idempotent RPC whose run ends just before its launch would be resent.
#[test]
fn non_idempotent_launch_before_a_break_is_not_resent() {
    let mut harness = CoreHarness::new(1);
    let stream = harness.send_rpc(1, "book", 900 * MS, None);
    harness.reconnect_agent_while(|harness| harness.advance_run(1, false));
    harness.check_invariants();
    harness.deliver_notices(1);
    assert_eq!(harness.peers.answers[&stream].0, "ok");
}

/// Guards against a run that waits to its deadline for a reply that was lost with the link.
#[test]
fn run_whose_reply_is_lost_skips_its_call_or_is_stopped() {
    for (method, answer) in [("look", "ok"), ("book", "aborted")] {
        let mut harness = CoreHarness::new(1);
        let stream = harness.send_rpc(1, method, 900 * MS, None);
        harness.advance_run(1, true);
        harness.deliver_notices(1);
        harness.peers.agent_unreachable = true;
        harness.end_call(0, CallEnd::Ok);
        // Links that break sooner than a notice is missed don't extend the wait.
        for _ in 0..3 {
            harness.reconnect_agent();
            harness.advance(250 * MS);
        }
        harness.advance_run(1, false);
        harness.deliver_notices(9);
        harness.check_invariants();
        assert_eq!(harness.peers.answers[&stream].0, answer, "{method}");
        assert_eq!(harness.core.open_rpcs(), 0, "{method}");
    }
}

/// Guards against a launch that was lost with the link and occupies a core for good.
#[test]
fn lost_launch_of_a_non_idempotent_rpc_releases_its_core_after_the_deadline() {
    let mut harness = CoreHarness::new(1);
    harness.peers.agent_unreachable = true;
    let stream = harness.send_rpc(1, "book", 900 * MS, None);
    harness.reconnect_agent();
    harness.advance(2_000 * MS);
    harness.deliver_notices(9);
    harness.check_invariants();
    assert!(harness.peers.runs.is_empty());
    assert_eq!((harness.peers.answers[&stream].0, harness.core.open_rpcs()), ("aborted", 0));
    assert_eq!(harness.peers.agent_resets, 0);
}

/// Guards against a stop of a run that received its reply so long before the break that it can't have been lost.
#[test]
fn run_with_a_confirmed_reply_is_left_alone_after_a_break() {
    let mut harness = CoreHarness::new(1);
    let stream = harness.send_rpc(1, "book", 900 * MS, None);
    harness.advance_run(1, true);
    harness.deliver_notices(1);
    harness.end_call(0, CallEnd::Ok);
    harness.advance(200 * MS);
    harness.reconnect_agent();
    assert_eq!(harness.core.stats().commands_uncertain, 0);
    harness.advance(600 * MS);
    harness.advance_run(1, false);
    harness.deliver_notices(9);
    assert_eq!(harness.peers.answers[&stream].0, "ok");
}

/// A launch may be lost although its link keeps working; without recovery the run would block its core forever.
#[test]
fn recovers_a_launch_lost_on_a_working_link() {
    let mut harness = CoreHarness::new(4);
    harness.peers.agent_unreachable = true;
    let lost = harness.send_rpc(1, "book", 900 * MS, None);
    harness.peers.agent_unreachable = false;
    // The stop at the deadline is the last message to the agent about the run, and gets no reply either.
    let longest_latency_target = 400 * MS;
    harness.advance(880 * MS + 4 * longest_latency_target);
    assert_eq!((harness.peers.runs.len(), harness.peers.agent_resets), (0, 0));
    assert_eq!(harness.peers.answers[&lost].0, "aborted", "answered at its deadline");
    harness.advance(280 * MS);
    assert_eq!((harness.peers.agent_resets, harness.core.stats().agent_silence_resets), (1, 1));
    // Until the lost run has ended, RPCs are rejected, because runs appear to have stalled.
    let rejected = harness.send_rpc(1, "look", 900 * MS, None);
    assert_eq!(harness.peers.answers[&rejected].0, "rejected");
    harness.reconnect_agent();
    harness.advance_run(0, false);
    harness.deliver_notices(9);
    let accepted = harness.send_rpc(1, "look", 900 * MS, None);
    harness.advance_run(1, false);
    harness.deliver_notices(9);
    assert_eq!(harness.peers.answers[&accepted].0, "ok");
    harness.advance(10_000 * MS);
    assert_eq!(harness.peers.agent_resets, 1, "reconnected although no run is silent");
    harness.check_invariants();
}

#[test]
fn reconnects_a_hanging_agent_link_with_growing_backoff() {
    let mut harness = CoreHarness::new(5);
    harness.peers.agent_unreachable = true;
    let stream = harness.send_rpc(1, "look", 900 * MS, None);
    let mut reset_times_ms = Vec::new();
    for _ in 0..200 {
        let resets_before = harness.peers.agent_resets;
        harness.advance(100 * MS);
        if harness.peers.agent_resets > resets_before {
            reset_times_ms.push((harness.now - START) / MS);
            // The new link hangs as well: it carries no greeting.
            harness.core.agent_connected(harness.now, &mut harness.peers);
        }
    }
    assert!((1_000..=1_400).contains(&reset_times_ms[0]), "{reset_times_ms:?}");
    let gaps: Vec<u64> = reset_times_ms.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.len() >= 3 && gaps.windows(2).all(|pair| pair[1] >= pair[0] * 3 / 2), "{reset_times_ms:?}");
    assert_eq!(harness.peers.answers[&stream].0, "aborted");
    harness.reconnect_agent();
    harness.advance_run(0, false);
    harness.deliver_notices(9);
    harness.check_invariants();
}

#[test]
fn run_waiting_for_a_call_is_not_silent() {
    let mut harness = CoreHarness::new(6);
    harness.send_rpc(1, "book", 900 * MS, None);
    harness.advance_run(0, true);
    harness.deliver_notices(1);
    assert_eq!(harness.peers.calls.len(), 1);
    harness.advance(800 * MS);
    harness.end_call(0, CallEnd::Ok);
    harness.advance(1_000 * MS);
    assert_eq!(harness.peers.agent_resets, 0);
}

#[test]
fn ignores_a_notice_read_before() {
    let mut harness = CoreHarness::new(2);
    let stream = harness.send_rpc(1, "look", 900 * MS, None);
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    assert_eq!(harness.peers.answers[&stream].0, "ok");
    harness.notices_read = 0;
    harness.deliver_notices(1);
    harness.check_invariants();
    assert_eq!(harness.core.stats().stale_notices, 1);
}

#[test]
fn silent_agent_delays_no_wakeup_and_no_deadline() {
    let mut harness = CoreHarness::new(4);
    let stream = harness.send_rpc(1, "book", 300 * MS, None);
    harness.peers.agent_unreachable = true;
    harness.advance(310 * MS);
    assert_eq!(harness.peers.answers[&stream].0, "aborted");
    assert!(harness.core.stats().wakeups_without_gauges > 0);
}

#[test]
fn refused_launch_ends_the_rpc() {
    let mut harness = CoreHarness::new(10);
    harness.peers.agent_unreachable = true;
    let stream = harness.send_rpc(1, "book", 900 * MS, None);
    let id = harness.rpcs[&stream].0.id;
    harness.core.command_refused(harness.now, Some(id), &mut harness.peers);
    assert_eq!((harness.peers.answers[&stream].0, harness.core.open_rpcs()), ("aborted", 0));
    // A refusal for an RPC that is already closed has no effect.
    harness.core.command_refused(harness.now, Some(id), &mut harness.peers);
    assert_eq!(harness.peers.answers.len(), 1);
}
