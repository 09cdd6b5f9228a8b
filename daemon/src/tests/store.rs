//! State files after damage, failed and interrupted writes, compaction, and of the legacy format.

use super::versions::{VersionsFile, VERSIONS_FILE};
use super::*;
use asterrill::{Idempotency, Method};
use asterrill_entries::{Change, Configuration, EntryKind, GlobalSettings};
use asterrill_rollout::{PersistedState, PersistedVersion, RolledBack};
use slog::Logger;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("asterrill-store-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
fn discarding_log() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
fn version(number: u64) -> PersistedVersion {
    let method = Method {
        latency_target: 1_000,
        deadline: 3_000,
        idempotency: Idempotency::Idempotent,
        criticality: 1.0,
        late_value_ratio: 0.0,
        idempotency_window: 0,
        skip_value_ratio: 0.0,
    };
    let put = [Change::PutMethod("look".into(), method), Change::PutTenant("nile".into(), number as f64)];
    PersistedVersion {
        number,
        content: Configuration::new(GlobalSettings::default()).apply(&put).unwrap(),
        operator_file: "a file\n".into(),
    }
}
fn state(good: u64, probation: Option<u64>) -> PersistedState {
    PersistedState {
        good: version(good),
        probation: probation.map(version),
        rolled_back: vec![RolledBack { hash: "f".repeat(32).into(), number: 9 }],
    }
}
/// Writes states in order, as the writer thread does.
fn write_all(dir: &Path, file: &mut VersionsFile, states: &[PersistedState]) {
    states.iter().for_each(|state| file.write(dir, state.clone()).unwrap());
}
fn wait_until(condition: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs(5);
    while !condition() {
        assert!(Instant::now() < until);
        std::thread::sleep(Duration::from_millis(5));
    }
}
fn file_length(dir: &Path) -> u64 {
    std::fs::metadata(dir.join(VERSIONS_FILE)).unwrap().len()
}

#[test]
fn written_states_are_read_back_and_damaged_ones_ignored() {
    let dir = temp_dir("found");
    let mut file = VersionsFile::default();
    write_all(&dir, &mut file, &[state(1, None)]);
    let snapshot = file_length(&dir);
    let mut rolled_back = state(2, None);
    rolled_back.rolled_back.push(RolledBack { hash: version(3).hash(), number: 3 });
    for next in [state(1, Some(2)), state(2, None), state(2, Some(3)), rolled_back.clone()] {
        file.write(&dir, next.clone()).unwrap();
        assert_eq!(read_versions(&dir, &discarding_log()), Some(next));
    }
    // The states after the snapshot were appended as steps. Writing the same state again appends nothing.
    let steps = file_length(&dir) - snapshot;
    assert!(steps > 0 && steps < 1_200, "{steps}");
    write_all(&dir, &mut file, &[rolled_back]);
    assert_eq!(file_length(&dir), snapshot + steps);
    // If the last step is truncated, the state before it is read; if the snapshot is truncated, none is.
    let text = std::fs::read(dir.join(VERSIONS_FILE)).unwrap();
    std::fs::write(dir.join(VERSIONS_FILE), &text[..text.len() - 1]).unwrap();
    assert_eq!(read_versions(&dir, &discarding_log()), Some(state(2, Some(3))));
    std::fs::write(dir.join(VERSIONS_FILE), &text[..30]).unwrap();
    assert_eq!(read_versions(&dir, &discarding_log()), None);
    std::fs::write(dir.join(VERSIONS_FILE), "of another program").unwrap();
    assert_eq!(read_versions(&dir, &discarding_log()), None);
    std::fs::remove_file(dir.join(VERSIONS_FILE)).unwrap();
    assert_eq!(read_versions(&dir, &discarding_log()), None);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn full_disk_leaves_the_old_file_and_reports_no_write_as_durable() {
    let dir = temp_dir("full");
    write_all(&dir, &mut VersionsFile::default(), &[state(1, None)]);
    for name in ["versions.new", "agreed"] {
        symlink("/dev/full", dir.join(name)).unwrap();
    }
    let store = Store::start(&dir, &discarding_log()).unwrap();
    let reported = Arc::new(AtomicU64::new(0));
    let counter = reported.clone();
    let on_durable: Arc<OnDurable> = Arc::new(move |_| counter.store(1, Ordering::Relaxed));
    store.save_versions(state(2, None), "f".into());
    store.save_consensus(
        vec![asterrill_consensus::DiskWrite { number: 1, bytes: vec![1; 64], replace: false }],
        &on_durable,
    );
    wait_until(|| store.failed_writes() >= 2);
    assert_eq!(read_versions(&dir, &discarding_log()), Some(state(1, None)));
    assert_eq!(reported.load(Ordering::Relaxed), 0);
    // Once there is space again, the next state is written.
    std::fs::remove_file(dir.join("versions.new")).unwrap();
    store.save_versions(state(2, Some(3)), "f".into());
    wait_until(|| read_versions(&dir, &discarding_log()) == Some(state(2, Some(3))));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn snapshot_replaces_the_steps_after_a_failed_write() {
    let dir = temp_dir("hole");
    let (path, backup) = (dir.join(VERSIONS_FILE), dir.join("aside"));
    let mut file = VersionsFile::default();
    write_all(&dir, &mut file, &[state(1, None), state(1, Some(2))]);
    // The disk is full during one write.
    std::fs::rename(&path, &backup).unwrap();
    symlink("/dev/full", &path).unwrap();
    assert!(file.write(&dir, state(2, None)).is_err());
    std::fs::rename(&backup, &path).unwrap();
    assert_eq!(read_versions(&dir, &discarding_log()), Some(state(1, Some(2))));
    // A step from version 2 would follow a missing one, so a snapshot is written.
    write_all(&dir, &mut file, &[state(2, Some(3))]);
    assert_eq!(read_versions(&dir, &discarding_log()), Some(state(2, Some(3))));
    assert!(std::fs::read_to_string(&path).unwrap().starts_with("asterrill versions 1\nwhole 2 "));
    // If the file is missing, appending steps fails, because they are useless without a snapshot. The next write
    // creates the file again.
    std::fs::remove_file(&path).unwrap();
    assert!(file.write(&dir, state(3, None)).is_err());
    write_all(&dir, &mut file, &[state(3, None)]);
    assert_eq!(read_versions(&dir, &discarding_log()), Some(state(3, None)));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn kill_before_the_rename_of_a_snapshot_leaves_the_old_file() {
    let dir = temp_dir("killed");
    let (path, temporary) = (dir.join(VERSIONS_FILE), dir.join("versions.new"));
    write_all(&dir, &mut VersionsFile::default(), &[state(5, Some(6))]);
    let new = std::fs::read(&path).unwrap();
    for cut in 0..=new.len() {
        write_all(&dir, &mut VersionsFile::default(), &[state(1, None)]);
        std::fs::write(&temporary, &new[..cut]).unwrap();
        assert_eq!(read_versions(&dir, &discarding_log()), Some(state(1, None)), "cut at {cut}");
    }
    // The temporary file that was left behind does not obstruct the next write.
    write_all(&dir, &mut VersionsFile::default(), &[state(2, Some(3))]);
    assert_eq!(read_versions(&dir, &discarding_log()), Some(state(2, Some(3))));
    assert!(!temporary.exists());
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn steps_beyond_the_size_limit_are_compacted() {
    let dir = temp_dir("compacted");
    let mut file = VersionsFile::default();
    let (mut longest, mut snapshots, mut previous) = (0, 0, 0);
    for number in 1..100 {
        let mut next = state(number, None);
        next.good.operator_file = "a line\n".repeat(400 + number as usize).into();
        file.write(&dir, next.clone()).unwrap();
        assert_eq!(read_versions(&dir, &discarding_log()), Some(next));
        let current = file_length(&dir);
        let is_shorter = current < previous;
        (longest, snapshots, previous) = (longest.max(current), snapshots + u32::from(is_shorter), current);
    }
    // The steps are limited to 64 KiB. Each of them has 3 to 4 kB here, and so has the snapshot before them.
    assert!(longest > (60 << 10) && longest <= (68 << 10), "{longest}");
    assert!((4..=7).contains(&snapshots), "{snapshots}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn last_of_many_queued_states_is_written() {
    let dir = temp_dir("many");
    let store = Store::start(&dir, &discarding_log()).unwrap();
    for number in 1..500 {
        store.save_versions(state(number, Some(number + 1)), "f".into());
    }
    wait_until(|| read_versions(&dir, &discarding_log()) == Some(state(499, Some(500))));
    assert_eq!(store.failed_writes(), 0);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn legacy_files_are_read_until_versions_are_written() {
    let dir = temp_dir("legacy");
    let text = |rate: u32| {
        let settings = r#"{"Categories":[{"AimMs":1,"DeadlineMs":3,"Effect":"free","Name":"look","Worth":1}],"FamilyInfo":{"NCores":4,"RamKb":9e4},"Limits":{},"Safety":{"RampTimeMs":0,"StopSendingWithinMs":0,"TipMultiple":8},"Tenants":[{"Name":"nile","QuotaRps":RATE}]}"#;
        let settings = settings.replace("RATE", &rate.to_string());
        format!("{{\"limits\":{{\"memory_mb\":64,\"sockets\":100}},\"settings\":{settings}}}\n---\na file\n")
    };
    let legacy_file = |number: u64, rolled_back: &str, text: &str| {
        asterrill_recovery::encode_checksummed(
            "state",
            1,
            &format!("version {number}\n{rolled_back}text {}\n{text}", text.len()),
        )
    };
    let rolled_back = format!("rolled_back {} 3\n", "f".repeat(32));
    std::fs::write(dir.join("good"), legacy_file(4, &rolled_back, &text(5))).unwrap();
    std::fs::write(dir.join("probation"), legacy_file(5, "", &text(6))).unwrap();
    let found = read_versions(&dir, &discarding_log()).unwrap();
    assert_eq!((found.good.number, found.probation.as_ref().map(|on| on.number)), (4, Some(5)));
    let globals = found.good.content.globals();
    assert_eq!(
        (globals.memory_mb, globals.sockets, globals.cores, &*found.good.operator_file),
        (64, 100, 4, "a file\n")
    );
    assert_eq!(
        (found.good.content.tenant("nile"), found.good.content.count(EntryKind::Method)),
        (Some(5.0), 1)
    );
    assert_eq!(found.probation.as_ref().and_then(|on| on.content.tenant("nile")), Some(6.0));
    assert_eq!(found.rolled_back, []);
    // The first write of the file of versions removes the legacy files.
    write_all(&dir, &mut VersionsFile::default(), &[state(1, None)]);
    assert_eq!(read_versions(&dir, &discarding_log()), Some(state(1, None)));
    assert!(!dir.join("good").exists() && !dir.join("probation").exists());
    // A damaged file is ignored.
    std::fs::remove_file(dir.join(VERSIONS_FILE)).unwrap();
    std::fs::write(dir.join("good"), &legacy_file(4, &rolled_back, &text(5))[..200]).unwrap();
    assert_eq!(read_versions(&dir, &discarding_log()), None);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn files_that_were_read_are_recorded_once_and_never_before_their_version() {
    let dir = temp_dir("files-read");
    std::fs::create_dir_all(&dir).unwrap();
    assert_eq!(read_files_read(&dir, &discarding_log()), None);
    let store = Store::start(&dir, &discarding_log()).unwrap();
    for (number, files) in [(1, "first"), (2, "second")] {
        store.save_versions(state(number, None), files.into());
        wait_until(|| read_files_read(&dir, &discarding_log()).as_deref() == Some(files));
        assert_eq!(read_versions(&dir, &discarding_log()), Some(state(number, None)));
    }
    // A version that can't be written leaves the record of the files as it was.
    let versions = dir.join(VERSIONS_FILE);
    std::fs::remove_file(&versions).unwrap();
    std::fs::create_dir(&versions).unwrap();
    store.save_versions(state(3, None), "third".into());
    wait_until(|| store.failed_writes() > 0);
    assert_eq!(read_files_read(&dir, &discarding_log()).as_deref(), Some("second"));
    // A damaged record is not used.
    std::fs::write(dir.join("files-read"), "second\n").unwrap();
    assert_eq!(read_files_read(&dir, &discarding_log()), None);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn failed_writes_to_an_unwritable_directory_are_counted() {
    let store = Store::start(Path::new("/proc/nowhere"), &discarding_log()).unwrap();
    store.save_versions(state(1, None), "f".into());
    wait_until(|| store.failed_writes() > 0);
    store.save_versions(state(2, None), "f".into());
    wait_until(|| store.failed_writes() > 1);
}
