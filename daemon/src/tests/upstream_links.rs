//! Upstream calls and the links that they take.

use super::*;

#[test]
fn call_without_a_reply_is_retried_on_another_link() {
    let mut harness = CoreHarness::new(5);
    let stream_ref = harness.send_rpc(1, "look", 900 * MS, None);
    harness.advance_run(1, true);
    harness.deliver_notices(1);
    let first = harness.peers.calls.values().next().copied();
    assert!(first.is_some());
    harness.end_call(0, CallEnd::TimedOut);
    let second = harness.peers.calls.values().next().copied();
    assert!(second.is_some() && second != first, "{first:?} {second:?}");
    let id = harness.rpcs[&stream_ref].0.id;
    let late = first.unwrap();
    harness.core.call_ended(harness.now, late, id, CallEnd::Ok, b"of the call given up", &mut harness.peers);
    assert_eq!(harness.core.stats().late_replies, 1);
    harness.advance(900 * MS); // no reply ever comes: it is given up, and the run goes on without
    assert!(harness.peers.calls.is_empty());
    harness.check_invariants();
}

/// Runs that each wait for a call of their own.
fn with_calls_in_flight(seed: u64, calls: usize) -> (CoreHarness, Vec<SidecarStream>) {
    let mut harness = CoreHarness::new(seed);
    let stream_refs: Vec<SidecarStream> =
        (0..calls).map(|n| harness.send_rpc(n as u64, "look", 900 * MS, None)).collect();
    for _ in 0..calls {
        harness.advance_run(0, true);
        harness.deliver_notices(1);
    }
    assert_eq!(harness.peers.calls.len(), calls);
    (harness, stream_refs)
}

#[test]
fn ended_link_aborts_only_its_call() {
    let (mut harness, _) = with_calls_in_flight(21, 3);
    let before = harness.peers.calls.clone();
    assert_eq!(before.values().collect::<BTreeSet<_>>().len(), 3, "a link for each");
    let (id, link) = before.iter().next().map(|(id, link)| (*id, *link)).unwrap();
    harness.peers.calls.remove(&id);
    harness.core.link_ended(harness.now, link, false, &mut harness.peers);
    assert_eq!((harness.core.stats().calls_aborted, harness.peers.calls.len()), (1, 3));
    assert!(
        harness.peers.calls[&id] != link
            && before.iter().all(|(i, l)| *i == id || harness.peers.calls[i] == *l)
    );
    harness.run_to_completion();
}

#[test]
fn duplicate_reply_is_not_taken_for_the_next_reply() {
    let (mut harness, stream_refs) = with_calls_in_flight(22, 1);
    let (id, first) = harness.peers.calls.iter().next().map(|(id, link)| (*id, *link)).unwrap();
    harness.end_call(0, CallEnd::Ok);
    harness.advance_run(1, true); // the run makes its next call
    harness.deliver_notices(1);
    assert!(harness.peers.calls[&id] != first);
    harness.core.call_ended(harness.now, first, id, CallEnd::Ok, b"of the call before", &mut harness.peers);
    assert_eq!(harness.core.stats().late_replies, 1);
    harness.end_call(0, CallEnd::Ok);
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    harness.check_invariants();
    assert_eq!(harness.peers.answers[&stream_refs[0]].0, "ok");
}

#[test]
fn next_call_of_an_rpc_never_takes_the_same_link() {
    use crate::upstream::UpstreamLinks;
    let (mut links, mut out) = (UpstreamLinks::new(2), FakePeers::default());
    let first = links.select(None).unwrap();
    links.call_placed(first);
    links.call_finished(first, false, &mut out); // its reply came; a duplicate may follow
    let other = links.select(Some(first)).unwrap();
    assert_ne!(first, other);
    // The other has ended: it backs off, and takes calls for when it is connected again.
    links.disconnected(other);
    links.calls_drained(other);
    assert_eq!(links.select(Some(first)), Some(other), "not the link that the reply came by");
    links.backoff_ended(other);
    // The other is being closed: there is none for now.
    links.retire(other, &mut out);
    assert_eq!(links.select(Some(first)), None);
    assert_eq!(links.select(None), Some(first), "of other RPCs it takes calls as before");
}

#[test]
fn upstream_move_retires_links_after_their_calls() {
    let (mut harness, _) = with_calls_in_flight(23, 2);
    let before: BTreeSet<UpstreamLinkId> = harness.peers.calls.values().copied().collect();
    harness.core.upstream_address_changed(&mut harness.peers);
    assert!(
        harness.peers.closed_links.iter().all(|link| !before.contains(link))
            && harness.peers.closed_links.len() == 2
    );
    for link in std::mem::take(&mut harness.peers.closed_links) {
        harness.core.link_ended(harness.now, link, false, &mut harness.peers);
    }
    harness.send_rpc(5, "look", 900 * MS, None);
    harness.advance_run(2, true);
    harness.deliver_notices(1);
    let new: Vec<UpstreamLinkId> =
        harness.peers.calls.values().copied().filter(|link| !before.contains(link)).collect();
    assert_eq!((harness.peers.calls.len(), new.len()), (3, 1));
    while !harness.peers.calls.is_empty() {
        harness.end_call(0, CallEnd::Ok);
    }
    assert_eq!(harness.peers.closed_links.iter().copied().collect::<BTreeSet<_>>(), before);
    harness.run_to_completion();
}
