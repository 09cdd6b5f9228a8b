//! Limits of lists, and the required parts of a version.

use crate::model::small_configuration;
use asterrill_entries::{
    read_configuration, write_configuration, Change, ConfigError, EntryKind, GlobalSettings, MAX_GAUGES,
    MAX_METHODS, MAX_TENANTS,
};

#[test]
fn rejects_too_many_entries_and_removal_of_the_last_method() {
    let running = small_configuration(9);
    let puts = |n: usize| (0..n).map(|i| Change::PutTenant(format!("t{i}").as_str().into(), 1.0)).collect();
    let mut changes: Vec<Change> = puts(MAX_TENANTS - 2);
    let full = running.apply(&changes).unwrap();
    changes.push(Change::PutTenant("one more".into(), 1.0));
    assert!(running.apply(&changes).unwrap_err().to_string().contains("TENANTS"));
    // At the limit, a tenant can be added if another one is removed by the same step.
    let replacement = [Change::PutTenant("one more".into(), 1.0), Change::RemoveTenant("t7".into())];
    assert_eq!(full.apply(&replacement).unwrap().count(EntryKind::Tenant), MAX_TENANTS);
    let methods = (0..MAX_METHODS)
        .map(|i| Change::PutMethod(i.to_string().as_str().into(), running.method("pay").unwrap().clone()));
    assert!(running.apply(&methods.collect::<Vec<_>>()).unwrap_err().to_string().contains("METHODS"));
    let gauges = vec!["g".into(); MAX_GAUGES + 1];
    let globals =
        Change::SetGlobals(GlobalSettings { gauges, ..GlobalSettings::clone(running.globals()) }.into());
    assert!(running.apply(&[globals]).unwrap_err().to_string().contains("GAUGES"));
    let remove_all_methods = ["look", "pay"].map(|name| Change::RemoveMethod(name.into()));
    assert_eq!(running.apply(&remove_all_methods), Err(ConfigError::LastMethod));
}

#[test]
fn rejects_an_incomplete_version_and_a_wrong_digest() {
    let (running, mut text) = (small_configuration(9), String::new());
    write_configuration(&running, &mut text).unwrap();
    let with_digest = format!("{{\"hash\":\"{}\"}}\n{text}", running.digest());
    assert_eq!(read_configuration(&with_digest).as_ref(), Ok(&running));
    let altered = with_digest.replace("\"QuotaRps\":10", "\"QuotaRps\":11");
    assert!(read_configuration(&altered).unwrap_err().to_string().contains("hash"));
    let error_without = |part: &str| {
        let lines: Vec<&str> = text.lines().filter(|line| !line.contains(part)).collect();
        read_configuration(&lines.join("\n")).unwrap_err().to_string()
    };
    assert!(error_without("frame").contains("frame") && error_without("method").contains("Categories"));
    assert!(read_configuration(&format!("{text}{}", text.lines().last().unwrap()))
        .unwrap_err()
        .to_string()
        .contains("zeta"));
}
