//! Tests that data stored by the previous build is read, and is written again to the same bytes.
//!
//! That build wrote the files in `fixtures/previous_build`. The `*.bin` files are the files of voters and the snapshot of a
//! replica. `files.txt` has the expected state of each: number and hash of the newest version, and number of the active
//! one. `commands.txt` has log entries and records.

use crate::support::config;
use asterrill_consensus::{
    decode_records, encode_records, Access, Change, Command, ListEntry, ListKind, Node, ProposalId, Record,
    Step, StoredHardState, StoredSnapshot, Version, VersionContents, VersionLog,
};
use protobuf::Message as _;
use raft::eraftpb::Entry;

/// Expected state of a stored file, from a line of `files.txt`.
struct ExpectedState {
    newest_number: u64,
    newest_hash: u64,
    active_number: u64,
}

fn expected_state(name: &str) -> ExpectedState {
    let lines = include_str!("../fixtures/previous_build/files.txt").lines();
    let line = lines.map(|line| line.split(' ').collect::<Vec<_>>()).find(|line| line[0] == name).unwrap();
    ExpectedState {
        newest_number: line[1].parse().unwrap(),
        newest_hash: u64::from_str_radix(line[2], 16).unwrap(),
        active_number: line[3].parse().unwrap(),
    }
}

fn assert_state(log: &VersionLog, name: &str) {
    let expected = expected_state(name);
    assert_eq!((log.number(), log.newest().hash()), (expected.newest_number, expected.newest_hash), "{name}");
    assert_eq!(log.active(), expected.active_number, "{name}");
}

/// Number of records of each kind in a voter's file: hard states, entries that are commands, snapshots.
#[derive(Debug, Default, PartialEq)]
struct RecordCounts {
    hard_states: usize,
    commands: usize,
    snapshots: usize,
}

/// Checks that the records and snapshots of a voter's file are encoded again to the same bytes, and counts the records.
fn check_voter_file(file: &[u8]) -> RecordCounts {
    let decoded = decode_records(file);
    assert_eq!(decoded.valid_len, file.len());
    assert!(encode_records(&decoded.records) == file, "the records are encoded differently");
    let mut counts = RecordCounts::default();
    for record in &decoded.records {
        match record {
            Record::HardState(_) => counts.hard_states += 1,
            Record::Entry(bytes) => counts.commands += usize::from(check_entry(bytes)),
            Record::Snapshot(snapshot) => {
                counts.snapshots += 1;
                let log = VersionLog::from_snapshot(&snapshot.data).unwrap();
                assert!(log.snapshot() == snapshot.data, "the snapshot is encoded differently");
            }
        }
    }
    counts
}

/// Reports whether a log entry is a command. If so, checks that the command is encoded again to the same bytes.
fn check_entry(bytes: &[u8]) -> bool {
    let entry = Entry::parse_from_bytes(bytes).unwrap();
    if entry.get_data().is_empty() {
        return false;
    }
    let command: Command = postcard::from_bytes(entry.get_data()).unwrap();
    assert_eq!(postcard::to_stdvec(&command).unwrap(), entry.get_data());
    true
}

#[test]
fn the_file_of_a_voter_is_read_and_written_as_by_the_previous_build() {
    let appended = include_bytes!("../fixtures/previous_build/voter-appended.bin");
    let counts = check_voter_file(appended);
    assert!(counts.hard_states > 0 && counts.commands >= 6 && counts.snapshots == 0, "{counts:?}");
    let compacted = include_bytes!("../fixtures/previous_build/voter-compacted.bin");
    let counts = check_voter_file(compacted);
    assert!(counts.hard_states > 0 && counts.commands > 0 && counts.snapshots == 1, "{counts:?}");
}

#[test]
fn a_voter_starts_on_the_file_of_the_previous_build() {
    let file = include_bytes!("../fixtures/previous_build/voter-compacted.bin");
    let mut node = Node::new(0, "n0", 2, config(1), file, &[]).unwrap();
    assert_eq!(node.valid_log_len(), file.len());
    // The only voter elects itself and commits the complete log again.
    for now in (0..3_000_000).step_by(10_000) {
        node.tick(now, now);
        for write in node.take_writes() {
            node.persisted(now, write.number);
        }
    }
    assert_state(node.version_log(), "voter-compacted");
}

#[test]
fn a_replica_starts_on_the_snapshot_of_the_previous_build() {
    let snapshot = include_bytes!("../fixtures/previous_build/replica.bin");
    let node = Node::new(0, "n3", 2, config(3), &[], snapshot).unwrap();
    assert_state(node.version_log(), "replica");
    assert_eq!(node.snapshot().unwrap(), snapshot);
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

fn step(base: Option<u64>) -> Step {
    let entry = |access, expires_at| ListEntry { access, expires_at };
    let allowed = entry(Access::Allowed, 0);
    let denied = entry(Access::Denied, 1_800_000_000_000_000);
    let changes = vec![
        Change::Put { kind: ListKind::Tenants, key: "acme".into(), entry: allowed },
        Change::Put { kind: ListKind::Callers, key: "7".into(), entry: denied },
        Change::Remove { kind: ListKind::Methods, key: "book".into() },
        Change::Settings("{\"a\":1}".into()),
    ];
    Step { base, proposer: "n4".into(), changes }
}

fn fixture(name: &str) -> &'static str {
    let mut lines = include_str!("../fixtures/previous_build/commands.txt").lines();
    lines.find_map(|line| line.split_once(' ').filter(|(fixture_name, _)| *fixture_name == name)).unwrap().1
}

#[test]
fn records_have_the_bytes_of_the_previous_build() {
    let snapshot = StoredSnapshot { index: 90, term: 5, data: vec![4, 6] };
    for (name, record) in [
        ("record-hard-state", Record::HardState(StoredHardState { term: 5, vote: 2, commit: 90 })),
        ("record-entry", Record::Entry(vec![1, 2, 3])),
        ("record-snapshot", Record::Snapshot(snapshot)),
    ] {
        let bytes = decode_hex(fixture(name));
        assert_eq!(encode_records(std::slice::from_ref(&record)), bytes, "{name}");
        assert_eq!(decode_records(&bytes).records, vec![record], "{name}");
    }
}

#[test]
fn commands_and_versions_have_the_bytes_of_the_previous_build() {
    let id = |number| ProposalId { proposer: "n4".into(), incarnation: 1_700_000_000, number };
    for (name, command) in [
        ("step", Command::Step { id: id(1), step: step(Some(3)) }),
        ("undo", Command::Undo { id: id(2), base: Some(8), to: 5 }),
        ("activate", Command::Activate(9)),
    ] {
        let bytes = decode_hex(fixture(name));
        assert_eq!(postcard::to_stdvec(&command).unwrap(), bytes, "{name}");
        assert_eq!(postcard::from_bytes::<Command>(&bytes).unwrap(), command, "{name}");
    }
    let version = Version::default().apply(&step(None)).unwrap();
    let bytes = decode_hex(fixture("version"));
    assert_eq!(postcard::to_stdvec(&version.contents()).unwrap(), bytes);
    assert_eq!(format!("{:016x}", version.hash()), fixture("version-hash"));
    let contents: VersionContents = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(Version::from_contents(contents, version.hash()), Some(version));
}
