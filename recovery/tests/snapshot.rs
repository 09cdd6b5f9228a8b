//! Tests of the text format of snapshots.

mod common;

use asterrill_recovery::{
    encode_checksummed, AccountBalance, ChecksumError, MethodCost, Snapshot, SnapshotError, MAX_ACCOUNTS,
    MAX_METHODS, MAX_TEXT_BYTES,
};
use common::snapshot;
use quickcheck::QuickCheck;

/// Snapshot written by the previous build.
const PREVIOUS_BUILD_SNAPSHOT: &str = include_str!("fixtures/snapshot-format-1.txt");
/// Checksummed state of a member written by the previous build.
const PREVIOUS_BUILD_MEMBERS: &str = include_str!("fixtures/members-format-1.txt");

#[test]
fn round_trips_and_rejects_truncated_or_changed_text() {
    let (snapshot, text) = (snapshot(), snapshot().to_text());
    assert_eq!(Snapshot::from_text(&text), Ok(snapshot));
    for end in 0..text.len() {
        assert!(Snapshot::from_text(&text[..end]).is_err(), "truncated at byte {end}");
        let mut bytes = text.clone().into_bytes();
        bytes[end] ^= 1;
        if let Ok(changed) = String::from_utf8(bytes) {
            assert!(Snapshot::from_text(&changed).is_err(), "changed at byte {end}");
        }
    }
    assert!(matches!(
        Snapshot::from_text("asterrill learned 2\nsum 0\n"),
        Err(SnapshotError::Checksum(ChecksumError::UnsupportedFormat(_)))
    ));
    assert!(matches!(
        Snapshot::from_text("something else\n"),
        Err(SnapshotError::Checksum(ChecksumError::UnknownKind(_)))
    ));
    for invalid in
        ["target -1", "target NaN", "target inf", "account 1 1.5", "machine 2", "method 1 2 3", "what 1"]
    {
        let text = encode_checksummed("learned", 1, invalid);
        assert_eq!(Snapshot::from_text(&text), Err(SnapshotError::InvalidLine(1)), "{invalid}");
    }
}

#[test]
fn text_size_is_bounded() {
    let mut large = snapshot();
    let method = large.methods[0].clone();
    large.methods = (0..5_000).map(|n| MethodCost { name: format!("{n:0>200}"), ..method.clone() }).collect();
    large.methods[3].name = "two\nlines".into();
    large.accounts = (0..100_000).map(|caller| AccountBalance { caller, fraction: 0.5 }).collect();
    let text = large.to_text();
    let read = Snapshot::from_text(&text).unwrap();
    assert_eq!((read.methods.len(), read.accounts.len()), (MAX_METHODS, MAX_ACCOUNTS));
    assert!(text.len() < MAX_TEXT_BYTES && read.methods.iter().all(|m| !m.name.contains("lines")));
}

#[test]
fn rejects_more_entries_than_are_written() {
    let body = "account 1 0.5\n".repeat(MAX_ACCOUNTS + 1);
    let text = encode_checksummed("learned", 1, &body);
    assert_eq!(Snapshot::from_text(&text), Err(SnapshotError::TooManyEntries));
}

/// Guards against panics and partial results for arbitrary text, with and without a checksum, and truncated.
#[test]
fn arbitrary_text_is_parsed_completely_or_not_at_all() {
    fn holds(text: String, cut: usize) -> bool {
        let checksummed = encode_checksummed("learned", 1, &text);
        let rejected = Snapshot::from_text(&text).is_err();
        let read = Snapshot::from_text(&checksummed);
        let round_trips =
            read.as_ref().is_ok_and(|read| Snapshot::from_text(&read.to_text()).is_ok()) || read.is_err();
        let at = cut % (checksummed.len() + 1);
        let at = (0..=at).rev().find(|at| checksummed.is_char_boundary(*at)).unwrap_or(0);
        rejected
            && round_trips
            && (at == checksummed.len() || Snapshot::from_text(&checksummed[..at]).is_err())
    }
    QuickCheck::new().tests(3_000).quickcheck(holds as fn(String, usize) -> bool);
}

#[test]
fn reads_and_writes_the_snapshot_of_the_previous_build() {
    let read = Snapshot::from_text(PREVIOUS_BUILD_SNAPSHOT).unwrap();
    let mut expected = snapshot();
    expected.cores = 2.5;
    (expected.methods[0].mean, expected.methods[0].runs) = (20_000.5, 40.25);
    (expected.methods[1].mean, expected.methods[1].runs) = (1_000.0, 3.0);
    assert_eq!(read, expected);
    assert_eq!(read.to_text(), PREVIOUS_BUILD_SNAPSHOT);
}

#[test]
fn reads_and_writes_the_checksummed_text_of_the_previous_build() {
    let body = asterrill_recovery::decode_checksummed("members", 1, PREVIOUS_BUILD_MEMBERS);
    assert_eq!(body, Ok("start 7\nwall 9\nagreed n1\n"));
    assert_eq!(encode_checksummed("members", 1, body.unwrap()), PREVIOUS_BUILD_MEMBERS);
}

#[test]
#[ignore = "a measurement"]
fn cost_of_a_snapshot_of_1000_callers_and_1024_methods() {
    let mut large = snapshot();
    let method = large.methods[0].clone();
    large.methods =
        (0..1_024).map(|n| MethodCost { name: format!("method-{n}"), ..method.clone() }).collect();
    large.accounts = (0..1_000).map(|caller| AccountBalance { caller, fraction: 0.5 }).collect();
    let mut durations_us: Vec<u128> = (0..101)
        .map(|_| {
            let start = std::time::Instant::now();
            assert!(large.to_text().len() > 10_000);
            start.elapsed().as_micros()
        })
        .collect();
    durations_us.sort_unstable();
    println!("{} bytes, {} us to write as text", large.to_text().len(), durations_us[50]);
}
