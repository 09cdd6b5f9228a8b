//! Files that are far too long, generated as they are read: refused by the name of the bound, in bounded memory. A test of its
//! own process, as it looks at the memory of the whole of it.

use asterrill_settings::Deployment;
use std::io::{Read, Result};

/// A start, then something again and again.
struct Endless {
    text: Vec<u8>,
    at: usize,
    left: usize,
    again: Box<dyn FnMut(usize) -> String>,
}

impl Endless {
    fn new(start: &str, times: usize, again: impl FnMut(usize) -> String + 'static) -> Endless {
        Endless { text: start.into(), at: 0, left: times, again: Box::new(again) }
    }
}

impl Read for Endless {
    fn read(&mut self, to: &mut [u8]) -> Result<usize> {
        if self.at == self.text.len() && self.left > 0 {
            (self.text, self.at, self.left) = ((self.again)(self.left).into_bytes(), 0, self.left - 1);
        }
        let n = to.len().min(self.text.len() - self.at);
        to[..n].copy_from_slice(&self.text[self.at..self.at + n]);
        self.at += n;
        Ok(n)
    }
}

/// The most memory that this process had since the last look, and what it has now, in kB.
fn memory() -> [u64; 2] {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let found = ["VmHWM:", "VmRSS:"].map(|name| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    });
    std::fs::write("/proc/self/clear_refs", "5").unwrap(); // the peak counts from now on
    found
}

#[test]
fn refuses_what_is_too_long_in_bounded_memory() {
    const LISTS: &str = r#"{"settings":{"#;
    let family = |list: &str| format!(r#"{LISTS}"FamilyInfo":{{"{list}":["#);
    let tenant = |i| format!(r#"{{"Name":"t{i}","QuotaRps":1}},"#);
    let method = |i| format!(r#"{{"Name":"m{i}","AimMs":1,"DeadlineMs":2,"Effect":"free","Worth":1}},"#);
    let long = |_| "x".repeat(1 << 16);
    // What is too long, the bound that it is refused by, and the megabytes that it may take.
    let cases = [
        ("blanks", "FILE", 1, Endless::new("", 1_600, |_| " ".repeat(1 << 16))),
        ("tenants", "TENANTS", 24, Endless::new(&format!(r#"{LISTS}"Tenants":["#), 1_000_000, tenant)),
        ("methods", "METHODS", 4, Endless::new(&format!(r#"{LISTS}"Categories":["#), 1_000_000, method)),
        ("gauges", "GAUGES", 1, Endless::new(&family("Gauges"), 1_600, |_| r#""g","#.repeat(1 << 14))),
        ("skips", "FILE", 1, Endless::new(&family("ClassSkipWorth"), 1_600, |_| "1,".repeat(1 << 15))),
        ("a name", "FILE", 34, Endless::new(r#"{"name":""#, 1_600, long)),
        ("a key", "FILE", 34, Endless::new(r#"{""#, 1_600, long)),
        ("a list in lists", "FILE", 34, Endless::new(r#"{"later":"#, 1_600, |_| "[".repeat(1 << 16))),
    ];
    for (what, bound, megabytes, reader) in cases {
        let [_, before] = memory();
        let message =
            Deployment::from_reader(reader, None).map(|deployment| deployment.name).unwrap_err().to_string();
        assert!(message.contains(&format!("bound {bound}")), "{what}: {message}");
        let growth = memory()[0].saturating_sub(before);
        println!("{what}: {growth} kB");
        assert!(growth <= megabytes * 1024, "{what}: the peak grew by {growth} kB");
    }
}
