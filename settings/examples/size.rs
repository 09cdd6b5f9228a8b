//! Measures the memory of a configuration version, and the CPU time of reading, rereading, comparing and changing it.
//! `cargo run --release -p asterrill-settings --example size -- 4700 49000`

use asterrill_entries::{Change, Configuration};
use asterrill_settings::Deployment;
use std::fmt::Write;
use std::hint::black_box;

/// Returns a deployment file. The tenant in the middle of the list has the quota `middle_quota`.
fn deployment_json(methods: usize, tenants: usize, middle_quota: f64, shuffled: bool) -> String {
    let mut text = String::from(
        r#"{"name":"n1","listen":"127.0.0.1:1","agent":"127.0.0.1:2","naming":"127.0.0.1:3","seed":"ff","stop_ms":900,
        "limits":{"memory_mb":64,"sockets":64},"settings":{"FamilyInfo":{"NCores":4,"RamKb":9000,"RunFactor":4,"Say":"window"},
        "Safety":{"TipMultiple":8,"RampTimeMs":9000,"StopSendingWithinMs":500},"Limits":{},"Categories":["#,
    );
    for i in 0..methods {
        let comma = if i > 0 { "," } else { "" };
        let fields = r#""DeadlineMs":2000,"Effect":"free","Worth":1,"LateWorth":0.2"#;
        write!(text, r#"{comma}{{"Name":"method-{i:05}","AimMs":{},{fields}}}"#, 400 + i % 50).unwrap();
    }
    text.push_str(r#"],"Tenants":["#);
    for n in 0..tenants {
        let i = if shuffled { n * 7919 % tenants } else { n };
        let (comma, quota) =
            (if n > 0 { "," } else { "" }, if i == tenants / 2 { middle_quota } else { 10.0 });
        write!(text, r#"{comma}{{"Name":"tenant-{i:06}","QuotaRps":{quota}}}"#).unwrap();
    }
    text.push_str("]}}");
    text
}

/// Returns the resident memory of this process, in kB.
fn resident_kb() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) * 4.0
}

/// Returns the CPU time of this thread, in milliseconds. Wall time would depend on the machine's other load.
fn thread_cpu_ms() -> f64 {
    let schedstat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    schedstat.split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1e6
}

/// Returns the median CPU time of one call in milliseconds, over `samples` measurements of `calls` calls each.
fn median_ms<T>(samples: usize, calls: usize, mut call: impl FnMut() -> T) -> f64 {
    let measure = |_| {
        let start = thread_cpu_ms();
        (0..calls).for_each(|_| drop(black_box(call())));
        (thread_cpu_ms() - start) / calls as f64
    };
    let mut times: Vec<f64> = (0..samples).map(measure).collect();
    times.sort_by(f64::total_cmp);
    times[samples / 2]
}

fn main() {
    let argument =
        |index: usize, default| std::env::args().nth(index).map_or(default, |count| count.parse().unwrap());
    let (methods, tenants) = (argument(1, 4_700), argument(2, 49_000));
    let text = deployment_json(methods, tenants, 10.0, false);
    let read = |text: &str, running: Option<&Configuration>| {
        Deployment::from_reader(text.as_bytes(), running).unwrap().configuration
    };
    drop(read(&deployment_json(5, 0, 0.0, false), None));
    let before = resident_kb();
    let running = read(&text, None);
    let after_first = resident_kb();
    println!("file {} bytes; memory of the first version {} kB", text.len(), after_first - before);
    let changed = deployment_json(methods, tenants, 11.0, false);
    let before = resident_kb();
    let mut history = Vec::new();
    for count in [20, 200] {
        while history.len() < count {
            history.push(read(&changed, Some(&running)));
        }
        println!("memory of {count} versions that differ in one quota {} kB", resident_kb() - before);
    }
    let before = resident_kb();
    let mut versions = vec![running.clone()];
    for n in 0..200 {
        let change = [Change::PutTenant(format!("tenant-{:06}", n * 97 % tenants.max(1)).into(), n as f64)];
        versions.extend(versions.last().and_then(|last| last.apply(&change).ok()));
    }
    println!("memory of 200 versions by one-entry steps {} kB", resident_kb() - before);
    println!("read first {:.2} ms", median_ms(11, 1, || read(&text, None)));
    println!("read again, the same {:.2} ms", median_ms(11, 1, || read(&text, Some(&running))));
    println!("read again, one quota changed {:.2} ms", median_ms(11, 1, || read(&changed, Some(&running))));
    let shuffled = deployment_json(methods, tenants, 11.0, true);
    println!(
        "read again, one quota changed, out of order {:.2} ms",
        median_ms(11, 1, || read(&shuffled, Some(&running)))
    );
    let next = &history[0];
    println!("compared, one entry apart {:.4} ms", median_ms(11, 100_000, || running.changes_to(next)));
    let change = running.changes_to(next);
    assert_eq!(change.len(), 1);
    println!("one entry applied {:.4} ms", median_ms(11, 100_000, || running.apply(&change).unwrap()));
    let all: Vec<Change> = running.tenants().map(|(name, _)| Change::PutTenant(name.clone(), 7.0)).collect();
    println!("all quotas applied {:.2} ms", median_ms(11, 1, || running.apply(&all).unwrap()));
    let other = running.apply(&all).unwrap();
    println!("compared, all quotas apart {:.2} ms", median_ms(11, 1, || running.changes_to(&other)));
    println!("peak {} kB", peak_kb());
}

/// Returns the peak resident memory of this process, in kB.
fn peak_kb() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("").trim().replace(" kB", "")
}
