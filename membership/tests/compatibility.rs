//! Compatibility with the persisted state and the datagrams of the previous build.
//!
//! They are read unchanged and written byte for byte.

use asterrill_membership::{
    EnvelopeCodec, MemberId, MemberName, MemberStatus, Membership, MembershipConfig, PersistedState,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const S: u64 = 1_000_000;
const START: u64 = 1_000 * S;
const CLUSTER: &str = "test";

/// Persisted state that the previous build wrote.
const STATE: &str = include_str!("fixtures/state.txt");
/// Datagram of member `n1`, generation 7, sequence number 1, with the payload `a payload`.
const PAYLOAD_DATAGRAM: &str = "0140fc7d8d91f7c99e949bb4d46da233d707000000000000000100000000000000a970479f58e0f00d6a1cc7be63c26af161207061796c6f6164";
/// Datagram of the same member, sequence number 2, with the message `hi`.
const MESSAGE_DATAGRAM: &str =
    "0140fc7d8d91f7c99e949bb4d46da233d70700000000000000020000000000000031686d8d49b657d3bd0cf3672890b7b4026869";
/// Announcement of member `n1` (10.0.0.2:7946, zone `z`, capacity 3) to a contact, under the secret `secret`.
const SWIM_DATAGRAM: &str = "0140fc7d8d91f7c99e949bb4d46da233d7070000000000000001000000000000009d52545fa1f2222611fb6ae9bd497b2c00026e31000a0000028a3e0700017a0300013f000a0000038a3e0000000006";

fn bytes(hex: &str) -> Vec<u8> {
    hex.as_bytes()
        .chunks(2)
        .map(|digits| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap())
        .collect()
}

fn name(name: &str) -> MemberName {
    MemberName::new(name).unwrap()
}

/// Returns member `n` of two expected members, which knows the addresses of the first three members.
fn member(n: u8, generation: u64) -> Membership {
    let config = MembershipConfig {
        probe_interval: 200_000,
        suspicion_timeout: S,
        announce_interval: S,
        join_delay: 2 * S,
        forget_after: 30 * S,
        flap_window: 20 * S,
        expected_members: 2,
    };
    let addr = |n: u8| SocketAddr::from(([10, 0, 0, n + 1], 7_946));
    let text = format!("n{n}");
    let id = MemberId {
        name: name(&text),
        addr: addr(n),
        generation,
        incarnation: 0,
        zone: "z".into(),
        capacity: 3,
    };
    let codec = EnvelopeCodec::new(b"secret", CLUSTER, &text, generation);
    let seed = generation * 1_000 + u64::from(n);
    Membership::new(START, id, codec, config, (0..3).map(addr).collect(), BTreeSet::new(), seed)
}

#[test]
fn reads_and_writes_the_persisted_state_of_the_previous_build() {
    let state = PersistedState {
        generation: 1_700_000_000_000_007,
        written_at: 1_700_000_001_000_000,
        agreed_members: [name("n1"), name("n 2"), name("höhe")].into(),
        addresses: vec!["10.0.0.1:7946".parse().unwrap(), "[::1]:7947".parse().unwrap()],
    };
    assert_eq!(PersistedState::from_text(STATE), Ok(state.clone()));
    assert_eq!(state.to_text(), STATE);
}

#[test]
fn encodes_and_decodes_the_envelopes_of_the_previous_build() {
    let secret = b"a secret of the tests";
    let mut sender = EnvelopeCodec::new(secret, CLUSTER, "n1", 7);
    assert_eq!(sender.encode(b"a payload"), bytes(PAYLOAD_DATAGRAM));
    assert_eq!(sender.encode(&[2, b'h', b'i']), bytes(MESSAGE_DATAGRAM));
    let mut receiver = EnvelopeCodec::new(secret, CLUSTER, "n2", 1);
    let datagram = bytes(PAYLOAD_DATAGRAM);
    let envelope = receiver.decode(&datagram).unwrap();
    assert_eq!((envelope.sender, envelope.generation), (EnvelopeCodec::sender_id("n1"), 7));
    assert_eq!(envelope.payload, b"a payload");
}

#[test]
fn sends_the_announcement_of_the_previous_build() {
    let mut sender = member(1, 7);
    sender.tick(START);
    let first = sender.take_datagrams().swap_remove(0);
    assert_eq!(first.destination, SocketAddr::from(([10, 0, 0, 3], 7_946)));
    assert_eq!(first.contents, bytes(SWIM_DATAGRAM));
}

#[test]
fn learns_a_member_from_the_announcement_of_the_previous_build() {
    let mut receiver = member(2, 1);
    receiver.handle_datagram(START, SocketAddr::from(([10, 0, 0, 2], 7_946)), &bytes(SWIM_DATAGRAM));
    let members = receiver.members();
    let [info] = &members[..] else { panic!("{members:?}") };
    let id = MemberId {
        name: name("n1"),
        addr: SocketAddr::from(([10, 0, 0, 2], 7_946)),
        generation: 7,
        incarnation: 0,
        zone: "z".into(),
        capacity: 3,
    };
    assert_eq!((&info.id, info.status), (&id, MemberStatus::Alive));
    assert_eq!((receiver.counters.accepted, receiver.counters.malformed), (1, 0));
}
