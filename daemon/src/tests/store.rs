//! Tests of `store.rs`.

use super::*;

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("asterrill-store-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
fn log() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
fn record(number: u64) -> String {
    asterrill_rollout::write(number, "text", &[])
}

#[test]
fn what_was_written_is_found_and_what_is_damaged_is_as_if_it_were_not_there() {
    let dir = dir("found");
    write(&dir, &Records { good: record(1), probation: Some(record(2)) }).unwrap();
    let found = find(&dir, &log());
    assert_eq!((found.good.map(|r| r.number), found.probation.map(|r| r.number)), (Some(1), Some(2)));
    write(&dir, &Records { good: record(2), probation: None }).unwrap();
    let found = find(&dir, &log());
    assert_eq!((found.good.map(|r| r.number), found.probation.map(|r| r.number)), (Some(2), None));
    std::fs::write(dir.join("good"), &record(2)[..30]).unwrap();
    std::fs::write(dir.join("probation"), "of another program").unwrap();
    let found = find(&dir, &log());
    assert!(found.good.is_none() && found.probation.is_none());
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_full_disk_leaves_what_stood_there_and_nothing_of_a_keeper_is_said_to_stand() {
    let dir = dir("full");
    write(&dir, &Records { good: record(1), probation: None }).unwrap();
    for name in ["good.new", "agreed"] {
        std::os::unix::fs::symlink("/dev/full", dir.join(name)).unwrap();
    }
    let store = Store::start(&dir, &log()).unwrap();
    let said = Arc::new(AtomicU64::new(0));
    let counts = said.clone();
    let stands: Arc<Stands> = Arc::new(move |_| counts.store(1, Ordering::Relaxed));
    store.keep(record(2), None);
    store.keep_agreed(vec![Bytes { number: 1, bytes: vec![1; 64], anew: false }], &stands);
    let until = std::time::Instant::now() + std::time::Duration::from_secs(5);
    while store.failed() < 2 {
        assert!(std::time::Instant::now() < until);
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    assert_eq!(find(&dir, &log()).good.map(|r| r.number), Some(1));
    assert_eq!(said.load(Ordering::Relaxed), 0);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_place_that_can_not_be_written_is_counted_and_nothing_else_happens() {
    let store = Store::start(Path::new("/proc/nowhere"), &log()).unwrap();
    store.keep(record(1), None);
    let until = std::time::Instant::now() + std::time::Duration::from_secs(5);
    while store.failed() == 0 {
        assert!(std::time::Instant::now() < until);
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    store.keep(record(2), None);
}
