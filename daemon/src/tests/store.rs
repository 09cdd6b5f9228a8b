//! Tests of `store.rs`.

use super::*;
use asterrill::{Idempotency, Method};
use asterrill_entries::{Change, Configuration, EntryKind, GlobalSettings};
use asterrill_rollout::{PersistedVersion, RolledBack};
use std::os::unix::fs::symlink;
use std::time::{Duration, Instant};

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("asterrill-store-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
fn log() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
fn kept(number: u64) -> PersistedVersion {
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
fn state(good: u64, probation: Option<u64>) -> VersionState {
    VersionState {
        good: kept(good),
        probation: probation.map(kept),
        rolled_back: vec![RolledBack { hash: "f".repeat(32).into(), number: 9 }],
    }
}
/// Writes states one after the other, as the thread does.
fn keep_all(dir: &Path, standing: &mut Option<WrittenRecord>, states: &[VersionState]) {
    states.iter().for_each(|state| write_versions(dir, standing, state.clone()).unwrap());
}
fn wait(what: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs(5);
    while !what() {
        assert!(Instant::now() < until);
        std::thread::sleep(Duration::from_millis(5));
    }
}
fn length(dir: &Path) -> u64 {
    std::fs::metadata(dir.join(VERSIONS)).unwrap().len()
}

#[test]
fn what_was_written_is_found_and_what_is_damaged_is_as_if_it_were_not_there() {
    let dir = dir("found");
    let mut standing = None;
    keep_all(&dir, &mut standing, &[state(1, None)]);
    let whole = length(&dir);
    let mut undone = state(2, None);
    undone.rolled_back.push(RolledBack { hash: kept(3).hash(), number: 3 });
    for next in [state(1, Some(2)), state(2, None), state(2, Some(3)), undone.clone()] {
        write_versions(&dir, &mut standing, next.clone()).unwrap();
        assert_eq!(read_versions(&dir, &log()), Some(next));
    }
    // What follows the whole version is steps; a wish for what stands there writes nothing.
    let steps = length(&dir) - whole;
    assert!(steps > 0 && steps < 1_200, "{steps}");
    keep_all(&dir, &mut standing, &[undone]);
    assert_eq!(length(&dir), whole + steps);
    // Cut short it gives what stood there before, and within the whole version nothing.
    let text = std::fs::read(dir.join(VERSIONS)).unwrap();
    std::fs::write(dir.join(VERSIONS), &text[..text.len() - 1]).unwrap();
    assert_eq!(read_versions(&dir, &log()), Some(state(2, Some(3))));
    std::fs::write(dir.join(VERSIONS), &text[..30]).unwrap();
    assert_eq!(read_versions(&dir, &log()), None);
    std::fs::write(dir.join(VERSIONS), "of another program").unwrap();
    assert_eq!(read_versions(&dir, &log()), None);
    std::fs::remove_file(dir.join(VERSIONS)).unwrap();
    assert_eq!(read_versions(&dir, &log()), None);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_full_disk_leaves_what_stood_there_and_nothing_of_a_keeper_is_said_to_stand() {
    let dir = dir("full");
    keep_all(&dir, &mut None, &[state(1, None)]);
    for name in ["versions.new", "agreed"] {
        symlink("/dev/full", dir.join(name)).unwrap();
    }
    let store = Store::start(&dir, &log()).unwrap();
    let said = Arc::new(AtomicU64::new(0));
    let counts = said.clone();
    let stands: Arc<OnDurable> = Arc::new(move |_| counts.store(1, Ordering::Relaxed));
    store.save_versions(state(2, None));
    store.save_consensus(
        vec![asterrill_consensus::DiskWrite { number: 1, bytes: vec![1; 64], replace: false }],
        &stands,
    );
    wait(|| store.failed() >= 2);
    assert_eq!(read_versions(&dir, &log()), Some(state(1, None)));
    assert_eq!(said.load(Ordering::Relaxed), 0);
    // There is room again: what is wished for next stands there.
    std::fs::remove_file(dir.join("versions.new")).unwrap();
    store.save_versions(state(2, Some(3)));
    wait(|| read_versions(&dir, &log()) == Some(state(2, Some(3))));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn after_a_step_that_failed_a_whole_version_takes_the_place_of_the_steps() {
    let dir = dir("hole");
    let (path, aside) = (dir.join(VERSIONS), dir.join("aside"));
    let mut standing = None;
    keep_all(&dir, &mut standing, &[state(1, None), state(1, Some(2))]);
    // The disk is full for a moment.
    std::fs::rename(&path, &aside).unwrap();
    symlink("/dev/full", &path).unwrap();
    assert!(write_versions(&dir, &mut standing, state(2, None)).is_err());
    std::fs::rename(&aside, &path).unwrap();
    assert_eq!(read_versions(&dir, &log()), Some(state(1, Some(2))));
    // A step from 2 would follow a hole.
    keep_all(&dir, &mut standing, &[state(2, Some(3))]);
    assert_eq!(read_versions(&dir, &log()), Some(state(2, Some(3))));
    assert!(std::fs::read_to_string(&path).unwrap().starts_with("asterrill versions 1\nwhole 2 "));
    // The file is gone: steps alone would be nothing, so that is a failure too, and then it is made anew.
    std::fs::remove_file(&path).unwrap();
    assert!(write_versions(&dir, &mut standing, state(3, None)).is_err());
    keep_all(&dir, &mut standing, &[state(3, None)]);
    assert_eq!(read_versions(&dir, &log()), Some(state(3, None)));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn killed_in_the_middle_of_a_whole_version_or_before_it_is_renamed_what_stood_there_counts() {
    let dir = dir("killed");
    let (path, beside) = (dir.join(VERSIONS), dir.join("versions.new"));
    keep_all(&dir, &mut None, &[state(5, Some(6))]);
    let new = std::fs::read(&path).unwrap();
    for cut in 0..=new.len() {
        keep_all(&dir, &mut None, &[state(1, None)]);
        std::fs::write(&beside, &new[..cut]).unwrap();
        assert_eq!(read_versions(&dir, &log()), Some(state(1, None)), "cut at {cut}");
    }
    // What was left there is in nobody's way.
    keep_all(&dir, &mut None, &[state(2, Some(3))]);
    assert_eq!(read_versions(&dir, &log()), Some(state(2, Some(3))));
    assert!(!beside.exists());
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn steps_that_outgrow_the_whole_version_are_written_anew() {
    let dir = dir("outgrown");
    let mut standing = None;
    let (mut longest, mut anew, mut before) = (0, 0, 0);
    for number in 1..100 {
        let mut next = state(number, None);
        next.good.operator_file = "a line\n".repeat(400 + number as usize).into();
        write_versions(&dir, &mut standing, next.clone()).unwrap();
        assert_eq!(read_versions(&dir, &log()), Some(next));
        let now = length(&dir);
        (longest, anew, before) = (longest.max(now), anew + u32::from(now < before), now);
    }
    // Steps of 3 to 4 kB after a whole version of as much: 64 KiB of steps are the bound.
    assert!(longest > (60 << 10) && longest <= (68 << 10), "{longest}");
    assert!((4..=7).contains(&anew), "{anew}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn of_many_wishes_the_last_stands_there_at_the_end() {
    let dir = dir("many");
    let store = Store::start(&dir, &log()).unwrap();
    for number in 1..500 {
        store.save_versions(state(number, Some(number + 1)));
    }
    wait(|| read_versions(&dir, &log()) == Some(state(499, Some(500))));
    assert_eq!(store.failed(), 0);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn versions_of_the_build_before_are_read_once() {
    let dir = dir("former");
    let text = |rate: u32| {
        let settings = r#"{"Categories":[{"AimMs":1,"DeadlineMs":3,"Effect":"free","Name":"look","Worth":1}],"FamilyInfo":{"NCores":4,"RamKb":9e4},"Limits":{},"Safety":{"RampTimeMs":0,"StopSendingWithinMs":0,"TipMultiple":8},"Tenants":[{"Name":"nile","QuotaRps":RATE}]}"#;
        let settings = settings.replace("RATE", &rate.to_string());
        format!("{{\"limits\":{{\"memory_mb\":64,\"sockets\":100}},\"settings\":{settings}}}\n---\na file\n")
    };
    let sealed = |number: u64, undone: &str, text: &str| {
        asterrill_recovery::encode_checksummed(
            "state",
            1,
            &format!("version {number}\n{undone}text {}\n{text}", text.len()),
        )
    };
    let undone = format!("undone {} 3\n", "f".repeat(32));
    std::fs::write(dir.join("good"), sealed(4, &undone, &text(5))).unwrap();
    std::fs::write(dir.join("probation"), sealed(5, "", &text(6))).unwrap();
    let found = read_versions(&dir, &log()).unwrap();
    assert_eq!((found.good.number, found.probation.as_ref().map(|on| on.number)), (4, Some(5)));
    let frame = found.good.content.globals();
    assert_eq!(
        (frame.memory_mb, frame.sockets, frame.cores, &*found.good.operator_file),
        (64, 100, 4, "a file\n")
    );
    assert_eq!(
        (found.good.content.tenant("nile"), found.good.content.count(EntryKind::Method)),
        (Some(5.0), 1)
    );
    assert_eq!(found.probation.as_ref().and_then(|on| on.content.tenant("nile")), Some(6.0));
    assert_eq!(found.rolled_back, []);
    // Once versions stand in their own file, the others are gone.
    keep_all(&dir, &mut None, &[state(1, None)]);
    assert_eq!(read_versions(&dir, &log()), Some(state(1, None)));
    assert!(!dir.join("good").exists() && !dir.join("probation").exists());
    // One that is damaged is as if it were not there.
    std::fs::remove_file(dir.join(VERSIONS)).unwrap();
    std::fs::write(dir.join("good"), &sealed(4, &undone, &text(5))[..200]).unwrap();
    assert_eq!(read_versions(&dir, &log()), None);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_place_that_can_not_be_written_is_counted_and_nothing_else_happens() {
    let store = Store::start(Path::new("/proc/nowhere"), &log()).unwrap();
    store.save_versions(state(1, None));
    wait(|| store.failed() > 0);
    store.save_versions(state(2, None));
    wait(|| store.failed() > 1);
}
