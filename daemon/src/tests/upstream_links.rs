//! Tests of upstream calls and of the selection of links.

use super::*;

#[test]
fn call_without_a_reply_is_retried_on_another_link() {
    let mut harness = CoreHarness::new(5);
    let stream = harness.send_rpc(1, "look", 900 * MS, None);
    harness.advance_run(1, true);
    harness.deliver_notices(1);
    let first = harness.peers.calls.values().next().copied();
    assert!(first.is_some());
    harness.end_call(0, CallEnd::TimedOut);
    let second = harness.peers.calls.values().next().copied();
    assert!(second.is_some() && second != first, "{first:?} {second:?}");
    let id = harness.rpcs[&stream].0.id;
    let first = first.unwrap();
    let reply = b"late reply to the first call";
    harness.core.call_ended(harness.now, first, id, CallEnd::Ok, reply, &mut harness.peers);
    assert_eq!(harness.core.stats().late_replies, 1);
    // The second call never gets a reply; it is cancelled, and the run continues without it.
    harness.advance(900 * MS);
    assert!(harness.peers.calls.is_empty());
    harness.check_invariants();
}

/// Returns a harness with `calls` runs that each wait for their own call, and the streams of their RPCs.
fn with_calls_in_flight(seed: u64, calls: usize) -> (CoreHarness, Vec<SidecarStream>) {
    let mut harness = CoreHarness::new(seed);
    let streams: Vec<SidecarStream> =
        (0..calls).map(|n| harness.send_rpc(n as u64, "look", 900 * MS, None)).collect();
    for _ in 0..calls {
        harness.advance_run(0, true);
        harness.deliver_notices(1);
    }
    assert_eq!(harness.peers.calls.len(), calls);
    (harness, streams)
}

#[test]
fn ended_link_aborts_only_its_call() {
    let (mut harness, _) = with_calls_in_flight(21, 3);
    let calls_before = harness.peers.calls.clone();
    assert_eq!(calls_before.values().collect::<BTreeSet<_>>().len(), 3, "one link for each call");
    let (id, link) = calls_before.iter().next().map(|(id, link)| (*id, *link)).unwrap();
    harness.peers.calls.remove(&id);
    harness.core.link_ended(harness.now, link, false, &mut harness.peers);
    assert_eq!((harness.core.stats().calls_aborted, harness.peers.calls.len()), (1, 3));
    assert!(
        harness.peers.calls[&id] != link
            && calls_before.iter().all(|(other, link)| *other == id || harness.peers.calls[other] == *link)
    );
    harness.run_to_completion();
}

#[test]
fn duplicate_reply_is_not_taken_for_the_next_reply() {
    let (mut harness, streams) = with_calls_in_flight(22, 1);
    let (id, first) = harness.peers.calls.iter().next().map(|(id, link)| (*id, *link)).unwrap();
    harness.end_call(0, CallEnd::Ok);
    // The run makes its next call.
    harness.advance_run(1, true);
    harness.deliver_notices(1);
    assert!(harness.peers.calls[&id] != first);
    let duplicate = b"duplicate reply to the first call";
    harness.core.call_ended(harness.now, first, id, CallEnd::Ok, duplicate, &mut harness.peers);
    assert_eq!(harness.core.stats().late_replies, 1);
    harness.end_call(0, CallEnd::Ok);
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    harness.check_invariants();
    assert_eq!(harness.peers.answers[&streams[0]].0, "ok");
}

#[test]
fn next_call_of_an_rpc_never_takes_the_same_connection() {
    use crate::upstream::UpstreamLinks;
    let (mut links, mut peers) = (UpstreamLinks::new(2), FakePeers::default());
    let first = links.select(&[]).unwrap();
    links.call_placed(first.link);
    // The reply has arrived; a duplicate may follow.
    links.call_finished(first.link, false, &mut peers);
    let other = links.select(&[first]).unwrap();
    assert_ne!(first.link, other.link);
    // The other link has ended. It backs off, and queues calls until it is connected again.
    links.disconnected(other.link);
    links.calls_drained(other.link);
    let next = links.select(&[first]).map(|connection| connection.link);
    assert_eq!(next, Some(other.link), "not the link of the previous call");
    links.backoff_ended(other.link);
    // The other link is being closed, so no link is usable.
    links.retire(other.link, &mut peers);
    assert_eq!(links.select(&[first]), None);
    assert_eq!(links.select(&[]), Some(first), "usable for other RPCs");
}

/// Guards against the second copy of a reply that is taken for the reply to a later call: a non-idempotent call is then
/// made twice.
#[test]
fn second_copy_of_a_reply_is_not_taken_for_the_reply_to_any_later_call() {
    for end in [CallEnd::Rejected, CallEnd::Ok] {
        let (mut harness, _) = with_calls_in_flight(24, 1);
        let (id, first) = harness.peers.calls.iter().next().map(|(id, link)| (*id, *link)).unwrap();
        let mut used = BTreeSet::from([first]);
        // The harness has four links. Links are renewed once an RPC has used all of them.
        for _ in 0..8 {
            harness.end_call(0, CallEnd::Ok);
            harness.advance_run(1, true);
            harness.deliver_notices(1);
            for link in std::mem::take(&mut harness.peers.closed_links) {
                used.remove(&link);
                harness.core.link_ended(harness.now, link, false, &mut harness.peers);
                harness.core.link_backoff_ended(link);
            }
            let link = harness.peers.calls[&id];
            assert!(used.insert(link), "{link:?} was used again while a copy may still arrive on it");
            for earlier in used.iter().filter(|earlier| **earlier != link) {
                let late_before = harness.core.stats().late_replies;
                harness.core.call_ended(harness.now, *earlier, id, end, b"copy", &mut harness.peers);
                assert_eq!(harness.core.stats().late_replies, late_before + 1);
            }
            assert_eq!(harness.peers.calls.get(&id), Some(&link), "the call was ended by a copy");
        }
        harness.end_call(0, CallEnd::Ok);
        harness.advance_run(1, false);
        harness.deliver_notices(1);
        harness.check_invariants();
    }
}

#[test]
fn change_of_the_upstream_address_retires_links_after_their_calls() {
    let (mut harness, _) = with_calls_in_flight(23, 2);
    let old_links: BTreeSet<UpstreamLinkId> = harness.peers.calls.values().copied().collect();
    harness.core.upstream_address_changed(&mut harness.peers);
    assert!(
        harness.peers.closed_links.iter().all(|link| !old_links.contains(link))
            && harness.peers.closed_links.len() == 2
    );
    for link in std::mem::take(&mut harness.peers.closed_links) {
        harness.core.link_ended(harness.now, link, false, &mut harness.peers);
    }
    harness.send_rpc(5, "look", 900 * MS, None);
    harness.advance_run(2, true);
    harness.deliver_notices(1);
    let new_links: Vec<UpstreamLinkId> =
        harness.peers.calls.values().copied().filter(|link| !old_links.contains(link)).collect();
    assert_eq!((harness.peers.calls.len(), new_links.len()), (3, 1));
    while !harness.peers.calls.is_empty() {
        harness.end_call(0, CallEnd::Ok);
    }
    assert_eq!(harness.peers.closed_links.iter().copied().collect::<BTreeSet<_>>(), old_links);
    harness.run_to_completion();
}
