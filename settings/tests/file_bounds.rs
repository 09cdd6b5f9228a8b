//! Files far beyond the bounds, generated while they are read, are rejected by the name of the bound in bounded memory. The
//! test has a process of its own because it measures the memory of the whole process.

use asterrill_settings::Deployment;
use std::io::{Read, Result};

/// A reader of a prefix followed by generated chunks.
struct GeneratedReader {
    chunk: Vec<u8>,
    position: usize,
    chunks_left: usize,
    next_chunk: Box<dyn FnMut(usize) -> String>,
}

impl GeneratedReader {
    fn new(
        prefix: &str, chunks: usize, next_chunk: impl FnMut(usize) -> String + 'static,
    ) -> GeneratedReader {
        GeneratedReader {
            chunk: prefix.into(),
            position: 0,
            chunks_left: chunks,
            next_chunk: Box::new(next_chunk),
        }
    }
}

impl Read for GeneratedReader {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        if self.position == self.chunk.len() && self.chunks_left > 0 {
            self.chunk = (self.next_chunk)(self.chunks_left).into_bytes();
            (self.position, self.chunks_left) = (0, self.chunks_left - 1);
        }
        let count = buffer.len().min(self.chunk.len() - self.position);
        buffer[..count].copy_from_slice(&self.chunk[self.position..self.position + count]);
        self.position += count;
        Ok(count)
    }
}

/// Returns the peak memory of this process since the last call and its current memory, in kB.
fn peak_and_current_kb() -> [u64; 2] {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let values = ["VmHWM:", "VmRSS:"].map(|name| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    });
    // Writing 5 resets the peak to the current memory.
    std::fs::write("/proc/self/clear_refs", "5").unwrap();
    values
}

#[test]
fn rejects_oversized_files_in_bounded_memory() {
    const SETTINGS_START: &str = r#"{"settings":{"#;
    let family_info = |list: &str| format!(r#"{SETTINGS_START}"FamilyInfo":{{"{list}":["#);
    let tenant = |i| format!(r#"{{"Name":"t{i}","QuotaRps":1}},"#);
    let method = |i| format!(r#"{{"Name":"m{i}","AimMs":1,"DeadlineMs":2,"Effect":"free","Worth":1}},"#);
    let long = |_| "x".repeat(1 << 16);
    // Each case: the oversized part, the bound that rejects it, the memory limit in megabytes, and the file.
    let cases = [
        ("blanks", "FILE", 1, GeneratedReader::new("", 1_600, |_| " ".repeat(1 << 16))),
        (
            "tenants",
            "TENANTS",
            24,
            GeneratedReader::new(&format!(r#"{SETTINGS_START}"Tenants":["#), 1_000_000, tenant),
        ),
        (
            "methods",
            "METHODS",
            4,
            GeneratedReader::new(&format!(r#"{SETTINGS_START}"Categories":["#), 1_000_000, method),
        ),
        (
            "gauges",
            "GAUGES",
            1,
            GeneratedReader::new(&family_info("Gauges"), 1_600, |_| r#""g","#.repeat(1 << 14)),
        ),
        (
            "skips",
            "FILE",
            1,
            GeneratedReader::new(&family_info("ClassSkipWorth"), 1_600, |_| "1,".repeat(1 << 15)),
        ),
        ("a name", "FILE", 34, GeneratedReader::new(r#"{"name":""#, 1_600, long)),
        ("a key", "FILE", 34, GeneratedReader::new(r#"{""#, 1_600, long)),
        ("a list in lists", "FILE", 34, GeneratedReader::new(r#"{"later":"#, 1_600, |_| "[".repeat(1 << 16))),
    ];
    for (part, bound, max_megabytes, reader) in cases {
        let [_, before] = peak_and_current_kb();
        let message =
            Deployment::from_reader(reader, None).map(|deployment| deployment.name).unwrap_err().to_string();
        assert!(message.contains(&format!("bound {bound}")), "{part}: {message}");
        let growth = peak_and_current_kb()[0].saturating_sub(before);
        println!("{part}: {growth} kB");
        assert!(growth <= max_megabytes * 1024, "{part}: the peak grew by {growth} kB");
    }
}
