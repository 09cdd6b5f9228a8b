//! Measures the cost of persistence and of the probation monitor:
//! `cargo run --release -p asterrill-rollout --example figures -- METHODS TENANTS`.
//!
//! Writes a snapshot, then 200 steps of one entry, each synced, then a change of every quota. Each file is read in a
//! separate process. Prints one JSON object with times in milliseconds, memory in kB, and medians for the steps; the
//! time of the monitor per sample is in microseconds.

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

struct TextWriter(BufWriter<File>);

impl fmt::Write for TextWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write_all(text.as_bytes()).map_err(|_| fmt::Error)
    }
}

fn process_memory_kb(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap_or_default();
    line.split_whitespace().find_map(|word| word.parse().ok()).unwrap_or(0)
}
fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}
fn configuration(methods: usize, tenants: usize) -> Configuration {
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
        content = content.apply(&put).expect("the method can be added");
    }
    for i in 0..tenants {
        let put = [Change::PutTenant(format!("tenant-{i:05}").into(), 100.0)];
        content = content.apply(&put).expect("the tenant can be added");
    }
    content
}

/// Measures the time that the monitor takes per sample, in microseconds. A sample covers 100 ms and holds nine RPCs of
/// different methods, as with a load of 84 RPCs per second.
fn measure_monitor_us(content: &Configuration) -> f64 {
    let names: Vec<Name> = content.methods().map(|(name, _)| name.clone()).collect();
    let sample = |index: usize| {
        let counts = MethodCounts { answered: 1.0, in_time: 1.0, upstream_failed: 0.0, work_us: 5_000.0 };
        let methods =
            (0..9).filter_map(|i| Some((names.get((index * 9 + i) % names.len())?.clone(), counts)));
        ServiceSample { methods: methods.collect() }
    };
    let mut baseline = Baseline::default();
    (1..=200).for_each(|index| baseline.record(index as u64 * 100_000, &sample(index)));
    let mut monitor = ProbationMonitor::new(20_000_000, &baseline, content.clone(), 3_600_000_000);
    let samples: Vec<ServiceSample> = (201..=3_200).map(sample).collect();
    let start = Instant::now();
    for (i, sample) in samples.iter().enumerate() {
        let verdict = monitor.observe((201 + i as u64) * 100_000, sample);
        assert_eq!(verdict, Verdict::Wait);
    }
    elapsed_ms(start) * 1e3 / samples.len() as f64
}

fn main() {
    let mut args = std::env::args().skip(1);
    let first = args.next().unwrap_or_default();
    if first == "read" {
        let path = args.next().unwrap_or_default();
        let (start, rss_kb) = (Instant::now(), process_memory_kb("VmRSS:"));
        let recovered = recover(BufReader::new(File::open(path).expect("the file can be opened")))
            .expect("the file holds versions");
        println!(
            "{{\"ms\":{:.1},\"kb\":{},\"peak_kb\":{},\"number\":{},\"hash\":\"{}\"}}",
            elapsed_ms(start),
            process_memory_kb("VmRSS:").saturating_sub(rss_kb),
            process_memory_kb("VmHWM:").saturating_sub(rss_kb),
            recovered.state.good.number,
            recovered.state.good.hash()
        );
        return;
    }
    let methods = first.parse().unwrap_or(4_700);
    let tenants = args.next().and_then(|n| n.parse().ok()).unwrap_or(49_000);
    let path = std::env::temp_dir().join(format!("asterrill-figures-{}", std::process::id()));
    let mut state = PersistedState {
        good: PersistedVersion {
            number: 1,
            content: configuration(methods, tenants),
            operator_file: "".into(),
        },
        probation: None,
        rolled_back: Vec::new(),
    };
    let (rss_kb, peak_kb) = (process_memory_kb("VmRSS:"), process_memory_kb("VmHWM:"));
    let open = || {
        TextWriter(BufWriter::new(
            File::options().append(true).create(true).open(&path).expect("the file can be opened"),
        ))
    };
    let sync = |mut writer: TextWriter| {
        writer.0.flush().and_then(|()| writer.0.get_ref().sync_all()).expect("the file can be synced");
    };
    let start = Instant::now();
    let mut to = open();
    let mut written_file = write_snapshot(&state, &mut to).expect("the snapshot can be written");
    let written_ms = elapsed_ms(start);
    sync(to);
    let (snapshot_ms, snapshot_bytes) = (elapsed_ms(start), file_length(&path));
    let snapshot_peak_kb = process_memory_kb("VmHWM:").saturating_sub(peak_kb.max(rss_kb));
    let snapshot_read = read_in_process(&path);

    let (mut synced_ms, mut encoded_ms, mut max_overhead_bytes) = (Vec::new(), Vec::new(), 0);
    for i in 0..200 {
        let change =
            [Change::PutTenant(format!("tenant-{:05}", i * 7 % tenants.max(1)).into(), 120.0 + i as f64)];
        let entry_bytes = write_step(&Step { base: None, hash: None, changes: change.to_vec() }).len() as u64;
        let content = state.good.content.apply(&change).expect("the quota can be set");
        let next = PersistedState {
            good: PersistedVersion { number: i as u64 + 2, content, operator_file: "".into() },
            ..state.clone()
        };
        let start = Instant::now();
        let update = written_file.update_to(&next).expect("a step leads to the next state");
        let mut to = open();
        update.write(&mut to).expect("the step can be written");
        encoded_ms.push(elapsed_ms(start));
        sync(to);
        synced_ms.push(elapsed_ms(start));
        max_overhead_bytes = max_overhead_bytes.max(update.bytes() - entry_bytes);
        written_file = written_file.after_update(next.clone(), &update);
        state = next;
    }
    let median = |mut all: Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let (bytes, steps_read) = (file_length(&path), read_in_process(&path));

    let all: Vec<Change> = state
        .good
        .content
        .tenants()
        .map(|(name, rate)| Change::PutTenant(name.clone(), rate + 1.0))
        .collect();
    let content = state.good.content.apply(&all).expect("all quotas can be set");
    drop(all);
    let (rss_kb, peak_kb) = (process_memory_kb("VmRSS:"), process_memory_kb("VmHWM:"));
    let next = PersistedState {
        probation: Some(PersistedVersion { number: 300, content, operator_file: "".into() }),
        ..state.clone()
    };
    let start = Instant::now();
    let update = written_file.update_to(&next);
    let as_step = update.is_some();
    let mut to = open();
    match &update {
        Some(update) => update.write(&mut to).expect("the step can be written"),
        None => drop(write_snapshot(&next, &mut to).expect("the snapshot can be written")),
    }
    sync(to);
    let (all_ms, all_bytes) = (elapsed_ms(start), file_length(&path) - bytes);
    let all_peak_kb = process_memory_kb("VmHWM:").saturating_sub(peak_kb.max(rss_kb));
    let all_read = read_in_process(&path);
    std::fs::remove_file(&path).unwrap_or_default();
    println!(
        "{{\"methods\":{methods},\"tenants\":{tenants},\"whole\":{{\"bytes\":{snapshot_bytes},\"ms_unsynced\":{written_ms:.1},\"ms\":{snapshot_ms:.1},\"peak_kb\":{snapshot_peak_kb},\"read\":{snapshot_read}}},\"step\":{{\"above_entry_bytes\":{max_overhead_bytes},\"ms_unsynced\":{:.3},\"ms\":{:.3},\"read\":{steps_read}}},\"every_quota\":{{\"as_step\":{as_step},\"bytes\":{all_bytes},\"ms\":{all_ms:.1},\"peak_kb\":{all_peak_kb},\"read\":{all_read}}},\"watch_us\":{:.2}}}",
        median(encoded_ms),
        median(synced_ms),
        measure_monitor_us(&state.good.content)
    );
}

fn file_length(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len())
}

/// Reads the file in a separate process, so that its memory is measured on its own.
fn read_in_process(path: &Path) -> String {
    let program = std::env::current_exe().expect("the path of this program is known");
    let out = std::process::Command::new(program)
        .arg("read")
        .arg(path)
        .output()
        .expect("the process can be started");
    String::from_utf8_lossy(&out.stdout).trim().to_string()
}
