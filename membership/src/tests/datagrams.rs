//! Tests with foreign and replayed datagrams, floods, and arbitrary bytes.

use super::*;
use quickcheck::QuickCheck;

#[test]
fn foreign_forged_and_replayed_datagrams_are_dropped_and_counted() {
    let mut receiver = member(START, 0, 1, 2, 0);
    let mut sender = codec(1, 1);
    let valid = sender.encode(&[0, 1, 2, 3]);
    receiver.handle_datagram(START, addr(1), &valid);
    let counted = (receiver.counters.malformed, receiver.counters.replayed);
    assert_eq!(counted, (1, 0), "an authentic but malformed datagram");
    receiver.handle_datagram(START, addr(1), &valid);
    assert_eq!(receiver.counters.replayed, 1);
    for changed_byte in 0..valid.len() {
        let mut changed = sender.encode(&[0, 1, 2, 3]);
        changed[changed_byte] ^= 1;
        receiver.handle_datagram(START, addr(1), &changed);
    }
    assert_eq!(receiver.counters.foreign, 9, "changed bytes of the version and the cluster");
    assert_eq!(receiver.counters.bad_mac, valid.len() as u64 - 9);
    let other_secret = EnvelopeCodec::new(b"another secret", CLUSTER, "n1", 1).encode(&[0]);
    receiver.handle_datagram(START, addr(1), &other_secret);
    let other_cluster = EnvelopeCodec::new(SECRET, "prod", "n1", 1).encode(&[0]);
    receiver.handle_datagram(START, addr(1), &other_cluster);
    receiver.handle_datagram(START, addr(1), &[]);
    let Counters { bad_mac, foreign, too_short, .. } = receiver.counters;
    assert_eq!((bad_mac, foreign, too_short), (valid.len() as u64 - 8, 10, 1));
    // Datagrams of an earlier process start count as replays once a later start is known.
    receiver.handle_datagram(START, addr(1), &codec(1, 5).encode(&[0]));
    let replayed = receiver.counters.replayed;
    receiver.handle_datagram(START, addr(1), &sender.encode(&[0]));
    assert_eq!(receiver.counters.replayed, replayed + 1);
    assert!(receiver.members().is_empty());
}

#[test]
fn reordered_datagrams_are_accepted_once_each_within_the_window() {
    let (mut sender, mut receiver) = (codec(2, 1), codec(0, 1));
    let datagrams: Vec<Vec<u8>> = (0..200).map(|n| sender.encode(&[n])).collect();
    assert!(receiver.decode(&datagrams[199]).is_ok());
    let late = (0..199).filter(|n| receiver.decode(&datagrams[*n]).is_ok()).count();
    assert_eq!(late, 127);
    assert!((0..200).all(|n| receiver.decode(&datagrams[n]).is_err()));
}

#[test]
fn floods_from_one_address_and_fabricated_members_are_bounded() {
    let mut receiver = member(START, 0, 1, 2, 0);
    let mut sender = codec(1, 1);
    for _ in 0..3_000 {
        receiver.handle_datagram(START, addr(1), &sender.encode(&[9]));
    }
    let counted = (receiver.counters.rate_limited, receiver.counters.malformed);
    assert_eq!(counted, (1_000, 2_000));
    // Ten thousand names, each of a separate member with the shared secret.
    let mut receiver = member(START, 0, 1, 2, 0);
    for n in 0..10_000_usize {
        let mut fabricated = member(START, n + 1, 1, 2, 1);
        fabricated.tick(START + n as u64);
        for transmit in fabricated.take_datagrams() {
            receiver.handle_datagram(START + n as u64, addr(n + 1), &transmit.contents);
        }
    }
    let (members, counters) = (receiver.members().len(), receiver.counters);
    assert!(members <= 2_048 && counters.over_capacity > 0, "{members} {counters:?}");
}

#[test]
fn any_datagram_is_handled_without_panic() {
    fn holds(bytes: Vec<u8>, cut: usize) -> bool {
        let (mut receiver, mut sender) = (member(START, 0, 1, 3, 0), member(START, 1, 1, 3, 1));
        receiver.handle_datagram(START, addr(1), &bytes);
        let mut other = codec(2, 1);
        receiver.handle_datagram(START, addr(2), &other.encode(&bytes));
        receiver.handle_datagram(START, addr(2), &other.encode(&[&[0], &bytes[..]].concat()));
        // A genuine datagram with its payload modified or truncated, in a valid envelope.
        sender.tick(START + 1);
        let mut decoder = codec(9, 1);
        for transmit in sender.take_datagrams() {
            let envelope = decoder.decode(&transmit.contents);
            let payload = envelope.map(|envelope| envelope.payload.to_vec()).unwrap_or_default();
            let mut changed = payload.clone();
            changed.truncate(cut % (payload.len() + 1));
            for (i, byte) in bytes.iter().enumerate() {
                changed.iter_mut().skip(i * 3).take(1).for_each(|changed| *changed ^= byte);
            }
            receiver.handle_datagram(START + 2, addr(1), &codec(1, 1).encode(&changed));
        }
        receiver.tick(START + S);
        receiver.members().len() <= 4
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(Vec<u8>, usize) -> bool);
}
