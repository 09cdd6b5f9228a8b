//! Bounds of lists, and what a version has to have.

use crate::model::small_configuration;
use asterrill_entries::{
    read_configuration, write_configuration, Change, ConfigError, EntryKind, GlobalSettings, MAX_GAUGES,
    MAX_METHODS, MAX_TENANTS,
};

#[test]
fn refuses_too_many_entries_and_removal_of_the_last_method() {
    let running = small_configuration(9);
    let puts = |n: usize| (0..n).map(|i| Change::PutTenant(format!("t{i}").as_str().into(), 1.0)).collect();
    let mut most: Vec<Change> = puts(MAX_TENANTS - 2);
    let full = running.apply(&most).unwrap();
    most.push(Change::PutTenant("one more".into(), 1.0));
    assert!(running.apply(&most).unwrap_err().to_string().contains("TENANTS"));
    // Another in the place of one that goes.
    let change = [Change::PutTenant("one more".into(), 1.0), Change::RemoveTenant("t7".into())];
    assert_eq!(full.apply(&change).unwrap().count(EntryKind::Tenant), MAX_TENANTS);
    let methods = (0..MAX_METHODS)
        .map(|i| Change::PutMethod(i.to_string().as_str().into(), running.method("pay").unwrap().clone()));
    assert!(running.apply(&methods.collect::<Vec<_>>()).unwrap_err().to_string().contains("METHODS"));
    let gauges = vec!["g".into(); MAX_GAUGES + 1];
    let globals =
        Change::SetGlobals(GlobalSettings { gauges, ..GlobalSettings::clone(running.globals()) }.into());
    assert!(running.apply(&[globals]).unwrap_err().to_string().contains("GAUGES"));
    let last = ["look", "pay"].map(|name| Change::RemoveMethod(name.into()));
    assert_eq!(running.apply(&last), Err(ConfigError::LastMethod));
}

#[test]
fn refuses_an_incomplete_version_and_another_digest() {
    let (running, mut text) = (small_configuration(9), String::new());
    write_configuration(&running, &mut text).unwrap();
    let hash = format!("{{\"hash\":\"{}\"}}\n{text}", running.digest());
    assert_eq!(read_configuration(&hash).as_ref(), Ok(&running));
    let other = hash.replace("\"QuotaRps\":10", "\"QuotaRps\":11");
    assert!(read_configuration(&other).unwrap_err().to_string().contains("hash"));
    let without = |what: &str| {
        let lines: Vec<&str> = text.lines().filter(|line| !line.contains(what)).collect();
        read_configuration(&lines.join("\n")).unwrap_err().to_string()
    };
    assert!(without("frame").contains("frame") && without("method").contains("Categories"));
    assert!(read_configuration(&format!("{text}{}", text.lines().last().unwrap()))
        .unwrap_err()
        .to_string()
        .contains("zeta"));
}
