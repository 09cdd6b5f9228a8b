//! The link to the agent: lost commands, silence, repeated notices, refusals.

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
    harness.peers.agent_unreachable = true;
    harness.end_call(0, CallEnd::Ok); // its delivery is lost
    harness.reconnect_agent(); // sent again, and so it goes on
    for _ in 0..2 {
        harness.advance_run(1, false);
        harness.deliver_notices(1);
    }
    harness.check_invariants();
    assert_eq!((harness.peers.answers[&delivered].0, harness.peers.answers[&lost].0), ("ok", "ok"));
}

/// Seen in the laboratory: one launch that the agent never received, on a link that works.
#[test]
fn recovers_a_launch_lost_on_a_working_link() {
    let mut harness = CoreHarness::new(4);
    harness.peers.agent_unreachable = true;
    let lost = harness.send_rpc(1, "book", 900 * MS, None);
    harness.peers.agent_unreachable = false;
    // The stop at its due time is the last message to the agent about it, and that gets no reply either.
    let longest = 400 * MS;
    harness.advance(880 * MS + 4 * longest);
    assert_eq!((harness.peers.runs.len(), harness.peers.agent_resets), (0, 0));
    assert_eq!(harness.peers.answers[&lost].0, "aborted", "its caller waits no longer than its deadline");
    harness.advance(280 * MS);
    assert_eq!((harness.peers.agent_resets, harness.core.stats().agent_silence_resets), (1, 1));
    // Until the lost run is over nothing is taken: all looks as if work had stopped finishing.
    let rejected = harness.send_rpc(1, "look", 900 * MS, None);
    assert_eq!(harness.peers.answers[&rejected].0, "rejected");
    harness.reconnect_agent();
    harness.advance_run(0, false);
    harness.deliver_notices(9);
    let taken = harness.send_rpc(1, "look", 900 * MS, None);
    harness.advance_run(1, false);
    harness.deliver_notices(9);
    assert_eq!(harness.peers.answers[&taken].0, "ok");
    harness.advance(10_000 * MS);
    assert_eq!(harness.peers.agent_resets, 1, "nothing is silent any more");
    harness.check_invariants();
}

#[test]
fn reconnects_a_hanging_agent_link_with_growing_backoff() {
    let mut harness = CoreHarness::new(5);
    harness.peers.agent_unreachable = true; // neither commands nor samples arrive
    let stream_ref = harness.send_rpc(1, "look", 900 * MS, None);
    let mut ends = Vec::new();
    for _ in 0..200 {
        let before = harness.peers.agent_resets;
        harness.advance(100 * MS);
        if harness.peers.agent_resets > before {
            ends.push((harness.now - START) / MS);
            harness.core.agent_connected(harness.now); // which hangs as well: not even a greeting comes
        }
    }
    assert!((1_000..=1_400).contains(&ends[0]), "{ends:?}");
    let gaps: Vec<u64> = ends.windows(2).map(|two| two[1] - two[0]).collect();
    assert!(gaps.len() >= 3 && gaps.windows(2).all(|two| two[1] >= two[0] * 3 / 2), "{ends:?}");
    assert_eq!(harness.peers.answers[&stream_ref].0, "aborted");
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
    let stream_ref = harness.send_rpc(1, "look", 900 * MS, None);
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    assert_eq!(harness.peers.answers[&stream_ref].0, "ok");
    harness.notices_read = 0;
    harness.deliver_notices(1);
    harness.check_invariants();
    assert_eq!(harness.core.stats().stale_notices, 1);
}

#[test]
fn silent_agent_delays_no_wakeup_and_no_deadline() {
    let mut harness = CoreHarness::new(4);
    let stream_ref = harness.send_rpc(1, "book", 300 * MS, None);
    harness.peers.agent_unreachable = true;
    harness.advance(310 * MS);
    assert_eq!(harness.peers.answers[&stream_ref].0, "aborted");
    assert!(harness.core.stats().wakeups_without_gauges > 0);
}

#[test]
fn refused_launch_ends_the_rpc() {
    let mut harness = CoreHarness::new(10);
    harness.peers.agent_unreachable = true;
    let stream_ref = harness.send_rpc(1, "book", 900 * MS, None);
    let id = harness.rpcs[&stream_ref].0.id;
    harness.core.command_refused(harness.now, Some(id), &mut harness.peers);
    assert_eq!((harness.peers.answers[&stream_ref].0, harness.core.open_rpcs()), ("aborted", 0));
    harness.core.command_refused(harness.now, Some(id), &mut harness.peers); // of what is over: nothing
    assert_eq!(harness.peers.answers.len(), 1);
}
