//! What persistence costs: `cargo run --release -p asterrill-rollout --example figures -- METHODS TENANTS`. Writes a complete
//! version, then 200 steps of one entry, each synced, then a change of every quota, and reads them back in a process of
//! its own; and what the monitor takes for a sample. One JSON object; times in milliseconds, memory in kB, medians of the steps.

use asterrill::{Idempotency, Method};
use asterrill_entries::{write_step, Change, Configuration, GlobalSettings, Name, Step};
use asterrill_rollout::{
    recover, write_snapshot, Baseline, MethodCounts, PersistedState, PersistedVersion, ProbationMonitor,
    ServiceSample, Verdict,
};
use std::fmt;
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::Path;
use std::time::Instant;

struct Text(BufWriter<File>);

impl fmt::Write for Text {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write_all(text.as_bytes()).map_err(|_| fmt::Error)
    }
}

fn kb(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap_or_default();
    line.split_whitespace().find_map(|word| word.parse().ok()).unwrap_or(0)
}
fn ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}
fn content(methods: usize, tenants: usize) -> Configuration {
    let method = Method {
        criticality: 1.0,
        latency_target: 800_000,
        deadline: 2_000_000,
        late_value_ratio: 0.2,
        skip_value_ratio: 0.0,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 0,
    };
    let mut content = Configuration::new(GlobalSettings {
        cores: 4,
        ram_kb: 9e4,
        max_running_per_core: 8.0,
        ..GlobalSettings::default()
    });
    for i in 0..methods {
        let put = [Change::PutMethod(format!("service-{}.method-{i:05}", i / 40).into(), method.clone())];
        content = content.apply(&put).expect("a method");
    }
    for i in 0..tenants {
        let put = [Change::PutTenant(format!("tenant-{i:05}").into(), 100.0)];
        content = content.apply(&put).expect("a tenant");
    }
    content
}

/// Microseconds that the monitor takes for a sample of nine RPCs, each of another method: 84 a second, each 100 ms.
fn monitor(content: &Configuration) -> f64 {
    let names: Vec<Name> = content.methods().map(|(name, _)| name.clone()).collect();
    let sample = |at: usize| {
        let counted = MethodCounts { answered: 1.0, in_time: 1.0, upstream_failed: 0.0, work_us: 5_000.0 };
        let some = (0..9).filter_map(|i| Some((names.get((at * 9 + i) % names.len())?.clone(), counted)));
        ServiceSample { methods: some.collect() }
    };
    let mut baseline = Baseline::default();
    (1..=200).for_each(|at| baseline.record(at as u64 * 100_000, &sample(at)));
    let mut monitor = ProbationMonitor::new(20_000_000, &baseline, content.clone(), 3_600_000_000);
    let samples: Vec<ServiceSample> = (201..=3_200).map(sample).collect();
    let start = Instant::now();
    for (i, sample) in samples.iter().enumerate() {
        let verdict = monitor.observe((201 + i as u64) * 100_000, sample);
        assert_eq!(verdict, Verdict::Wait);
    }
    ms(start) * 1e3 / samples.len() as f64
}

fn main() {
    let mut args = std::env::args().skip(1);
    let first = args.next().unwrap_or_default();
    if first == "read" {
        let path = args.next().unwrap_or_default();
        let (start, rss) = (Instant::now(), kb("VmRSS:"));
        let found = recover(BufReader::new(File::open(path).expect("a file"))).expect("versions");
        println!(
            "{{\"ms\":{:.1},\"kb\":{},\"peak_kb\":{},\"number\":{},\"hash\":\"{}\"}}",
            ms(start),
            kb("VmRSS:").saturating_sub(rss),
            kb("VmHWM:").saturating_sub(rss),
            found.state.good.number,
            found.state.good.hash()
        );
        return;
    }
    let methods = first.parse().unwrap_or(4_700);
    let tenants = args.next().and_then(|n| n.parse().ok()).unwrap_or(49_000);
    let path = std::env::temp_dir().join(format!("asterrill-figures-{}", std::process::id()));
    let mut state = PersistedState {
        good: PersistedVersion { number: 1, content: content(methods, tenants), operator_file: "".into() },
        probation: None,
        rolled_back: Vec::new(),
    };
    let (rss, top) = (kb("VmRSS:"), kb("VmHWM:"));
    let open =
        || Text(BufWriter::new(File::options().append(true).create(true).open(&path).expect("a place")));
    let sync = |mut text: Text| {
        text.0.flush().and_then(|()| text.0.get_ref().sync_all()).expect("a write");
    };
    let start = Instant::now();
    let mut to = open();
    let mut written_record = write_snapshot(&state, &mut to).expect("a snapshot");
    let written = ms(start);
    sync(to);
    let (snapshot_ms, snapshot_bytes) = (ms(start), file_length(&path));
    let snapshot_peak = kb("VmHWM:").saturating_sub(top.max(rss));
    let snapshot_read = read(&path);

    let (mut took, mut encoded, mut above) = (Vec::new(), Vec::new(), 0);
    for i in 0..200 {
        let change =
            [Change::PutTenant(format!("tenant-{:05}", i * 7 % tenants.max(1)).into(), 120.0 + i as f64)];
        let entry = write_step(&Step { base: None, hash: None, changes: change.to_vec() }).len() as u64;
        let content = state.good.content.apply(&change).expect("a quota");
        let next = PersistedState {
            good: PersistedVersion { number: i as u64 + 2, content, operator_file: "".into() },
            ..state.clone()
        };
        let start = Instant::now();
        let update = written_record.update_to(&next).expect("a step");
        let mut to = open();
        update.write(&mut to).expect("a step");
        encoded.push(ms(start));
        sync(to);
        took.push(ms(start));
        above = above.max(update.bytes() - entry);
        written_record = written_record.after_update(next.clone(), &update);
        state = next;
    }
    let median = |mut all: Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let (bytes, steps_read) = (file_length(&path), read(&path));

    let all: Vec<Change> = state
        .good
        .content
        .tenants()
        .map(|(name, rate)| Change::PutTenant(name.clone(), rate + 1.0))
        .collect();
    let content = state.good.content.apply(&all).expect("all quotas");
    drop(all);
    let (rss, top) = (kb("VmRSS:"), kb("VmHWM:"));
    let next = PersistedState {
        probation: Some(PersistedVersion { number: 300, content, operator_file: "".into() }),
        ..state.clone()
    };
    let start = Instant::now();
    let update = written_record.update_to(&next);
    let as_step = update.is_some();
    let mut to = open();
    match &update {
        Some(update) => update.write(&mut to).expect("a step"),
        None => drop(write_snapshot(&next, &mut to).expect("a snapshot")),
    }
    sync(to);
    let (all_ms, all_bytes) = (ms(start), file_length(&path) - bytes);
    let all_peak = kb("VmHWM:").saturating_sub(top.max(rss));
    let all_read = read(&path);
    std::fs::remove_file(&path).unwrap_or_default();
    println!(
        "{{\"methods\":{methods},\"tenants\":{tenants},\"whole\":{{\"bytes\":{snapshot_bytes},\"ms_unsynced\":{written:.1},\"ms\":{snapshot_ms:.1},\"peak_kb\":{snapshot_peak},\"read\":{snapshot_read}}},\"step\":{{\"above_entry_bytes\":{above},\"ms_unsynced\":{:.3},\"ms\":{:.3},\"read\":{steps_read}}},\"every_quota\":{{\"as_step\":{as_step},\"bytes\":{all_bytes},\"ms\":{all_ms:.1},\"peak_kb\":{all_peak},\"read\":{all_read}}},\"watch_us\":{:.2}}}",
        median(encoded),
        median(took),
        monitor(&state.good.content)
    );
}

fn file_length(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len())
}

/// Reads it in a process of its own, so that its memory is its own.
fn read(path: &Path) -> String {
    let me = std::env::current_exe().expect("a program");
    let out = std::process::Command::new(me).arg("read").arg(path).output().expect("a process");
    String::from_utf8_lossy(&out.stdout).trim().to_string()
}
