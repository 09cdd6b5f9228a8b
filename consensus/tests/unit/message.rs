//! Tests that messages are encoded as by the previous build, which wrote `fixtures/previous_build/messages.txt` with
//! the values below.

use super::{Message, PartialTransfer};
use crate::command::{CommandOutcome, ProposalId};
use crate::lists::{Access, ListEntry, ListKind};
use crate::proposal::Proposal;
use crate::step::{Change, Step, StepError};

fn proposal_id(number: u64) -> ProposalId {
    ProposalId { proposer: "n4".into(), incarnation: 1_700_000_000, number }
}

fn changes() -> Vec<Change> {
    let entry = |access, expires_at| ListEntry { access, expires_at };
    let allowed = entry(Access::Allowed, 0);
    let denied = entry(Access::Denied, 1_800_000_000_000_000);
    vec![
        Change::Put { kind: ListKind::Tenants, key: "acme".into(), entry: allowed },
        Change::Put { kind: ListKind::Callers, key: "7".into(), entry: denied },
        Change::Remove { kind: ListKind::Methods, key: "book".into() },
        Change::Settings("{\"a\":1}".into()),
    ]
}

fn step(base: Option<u64>) -> Step {
    Step { base, proposer: "n4".into(), changes: changes() }
}

fn resolved(number: u64, outcome: CommandOutcome) -> Message {
    Message::Resolved { id: proposal_id(number), outcome }
}

fn rejected(number: u64, error: StepError) -> Message {
    resolved(number, CommandOutcome::Rejected(error))
}

/// Returns a message of each kind with its name in the fixture file.
fn messages() -> Vec<(&'static str, Message)> {
    let transfer = PartialTransfer { number: 10, offset: 16_384 };
    let (incarnation, hash) = (1_700_000_000, 0x0123_4567_89ab_cdef);
    let change = Proposal::Change { base: Some(3), changes: changes() };
    let undo = Proposal::Undo { base: None, to: 5 };
    let bytes = vec![9; 5];
    vec![
        ("raft", Message::Raft(vec![0, 1, 2, 255])),
        ("lease-request", Message::LeaseRequest { incarnation, round: 300, version: 7, hash }),
        ("lease-grant", Message::LeaseGrant { round: 300, active: 6, newest: 8, hash: u64::MAX }),
        ("redirect", Message::Redirect { leader: Some("n2".into()) }),
        ("redirect-unknown", Message::Redirect { leader: None }),
        ("fetch", Message::Fetch { number: 8, hash: 9, transfer: None }),
        ("fetch-transfer", Message::Fetch { number: 8, hash: 9, transfer: Some(transfer) }),
        ("steps", Message::Steps { after: 8, steps: vec![step(None), step(Some(8))], hash: 10 }),
        ("version-part", Message::VersionPart { number: 10, hash: 11, offset: 16_384, total: 40_000, bytes }),
        ("empty-log", Message::EmptyLog),
        ("lost-log", Message::LostLog),
        ("propose-change", Message::Propose { id: proposal_id(1), proposal: change }),
        ("propose-undo", Message::Propose { id: proposal_id(2), proposal: undo }),
        ("resolved-applied", resolved(1, CommandOutcome::Applied { number: 4, hash: 5 })),
        ("resolved-wrong-base", rejected(2, StepError::WrongBase { base: 3, newest: 4, by: "n1".into() })),
        ("resolved-no-change", rejected(3, StepError::NoChange)),
        ("resolved-too-many-changes", rejected(4, StepError::TooManyChanges)),
        ("resolved-invalid-key", rejected(5, StepError::InvalidKey("a\nb".into()))),
        ("resolved-list-full", rejected(6, StepError::ListFull("tenants".into()))),
        ("resolved-settings-too-long", rejected(7, StepError::SettingsTooLong)),
        ("resolved-too-many-pending", rejected(8, StepError::TooManyPending(64))),
        ("resolved-version-not-retained", rejected(9, StepError::VersionNotRetained(2))),
    ]
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

#[test]
fn messages_have_the_bytes_of_the_previous_build() {
    let fixtures = include_str!("../fixtures/previous_build/messages.txt");
    let expected = messages();
    assert_eq!(fixtures.lines().count(), expected.len());
    for (line, (name, message)) in fixtures.lines().zip(expected) {
        let (fixture_name, hex) = line.split_once(' ').unwrap();
        assert_eq!(fixture_name, name);
        let bytes = decode_hex(hex);
        assert_eq!(postcard::to_stdvec(&message).unwrap(), bytes, "{name} is encoded differently");
        assert_eq!(
            postcard::from_bytes::<Message>(&bytes).unwrap(),
            message,
            "{name} is decoded differently"
        );
    }
}
