//! Tests of `disk.rs`.

use super::*;
use std::io::Write;

#[test]
fn counts_file_growth_and_length_of_replaced_file() {
    let dir = std::env::temp_dir().join(format!("asterrill-lab-disk-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("log"), [0; 100]).unwrap();
    let mut meter = DiskWriteMeter::new(&dir);
    let log = std::fs::File::options().append(true).open(dir.join("log"));
    log.unwrap().write_all(&[0; 30]).unwrap();
    meter.sample();
    assert_eq!(meter.bytes, 30);
    meter.sample();
    assert_eq!(meter.bytes, 30);
    std::fs::write(dir.join("new"), [0; 80]).unwrap();
    std::fs::rename(dir.join("new"), dir.join("log")).unwrap();
    meter.sample();
    assert_eq!(meter.bytes, 110);
    std::fs::remove_dir_all(&dir).unwrap();
}
