//! Tests of the complete state machine in virtual time.

use crate::*;
use asterrill::Us;
use std::collections::BTreeSet;
use std::net::SocketAddr;

mod cluster;
mod datagrams;
mod incremental;
mod lease_model;
mod network;
mod quorum;
mod reference;
mod seeded;

const MS: Us = 1_000;
const S: Us = 1_000 * MS;
/// Virtual time at the start of a test.
const START: Us = 1_000 * S;
/// Number of contacts that each member knows at its start.
const CONTACTS: usize = 3;
const SECRET: &[u8] = b"a secret of the tests";
const CLUSTER: &str = "test";

fn config(expected_members: usize) -> MembershipConfig {
    MembershipConfig {
        probe_interval: 200 * MS,
        suspicion_timeout: S,
        announce_interval: S,
        join_delay: 2 * S,
        forget_after: 600 * S,
        flap_window: 20 * S,
        expected_members,
    }
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7_946))
}

fn name(n: usize) -> MemberName {
    MemberName::new(&format!("n{n}")).unwrap()
}

fn id(n: usize, generation: u64) -> MemberId {
    MemberId { name: name(n), addr: addr(n), generation, incarnation: 0, zone: String::new(), capacity: 1 }
}

/// Returns the codec of member `n`.
fn codec(n: usize, generation: u64) -> EnvelopeCodec {
    EnvelopeCodec::new(SECRET, CLUSTER, &format!("n{n}"), generation)
}

/// Returns member `n` of `expected` members, which knows the addresses of the first `contacts` members.
fn member(now: Us, n: usize, generation: u64, expected: usize, contacts: usize) -> Membership {
    let contacts = (0..contacts).map(addr).collect();
    let seed = generation * 1_000 + n as u64;
    Membership::new(
        now,
        id(n, generation),
        codec(n, generation),
        config(expected),
        contacts,
        BTreeSet::new(),
        seed,
    )
}
