//! Deployment files, read as a stream: the order of keys and entries does not matter, names are shared with the running
//! version, and errors name the invalid key.

use asterrill_entries::{Change, Configuration, EntryKind};
use asterrill_settings::{
    configuration_from_json, server_parts, server_parts_from_json, Deployment, SettingsError, MAX_FILE_BYTES,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use std::sync::Arc;

fn settings(tenants: &[(String, f64)]) -> Value {
    let tenants: Vec<Value> = tenants.iter().map(|(name, q)| json!({"Name": name, "QuotaRps": q})).collect();
    json!({
        "Categories": [
            {"Name": "pay", "AimMs": 500, "DeadlineMs": 1000, "Effect": "guarded", "Worth": 3, "WindowMs": 2000},
            {"Name": "look", "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1, "LateWorth": 0.2}],
        "Tenants": tenants,
        "FamilyInfo": {"NCores": 2, "RamKb": 4000, "Gauges": ["links"], "ClassSkipWorth": [0.5, 0.25, 9], "Odd": {}},
        "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 300},
        "Safety": {"TipMultiple": 8, "RampTimeMs": 3000, "StopSendingWithinMs": 400},
        "StepMs": 4})
}

fn deployment(settings: Value) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:1", "agent": "127.0.0.1:2", "naming": "127.0.0.1:3", "seed": "ff",
        "stop_ms": 900, "limits": {"memory_mb": 64, "sockets": 64, "cores": 1}, "settings": settings, "later": [[{}]]})
}

/// Formats a value with the keys of each object in random order.
fn shuffled_json(value: &Value, rng: &mut StdRng) -> String {
    match value {
        Value::Object(map) => {
            let mut parts: Vec<String> = map
                .iter()
                .map(|(key, value)| format!("{}: {}", json!(key), shuffled_json(value, rng)))
                .collect();
            parts.shuffle(rng);
            format!("{{{}}}", parts.join(", "))
        }
        Value::Array(list) => {
            let parts: Vec<String> = list.iter().map(|value| shuffled_json(value, rng)).collect();
            format!("[{}]", parts.join(","))
        }
        scalar => scalar.to_string(),
    }
}

/// Returns 0, a fraction, a very large number or a random whole number, with equal probability.
fn random_quota(rng: &mut StdRng) -> f64 {
    [0.0, 0.5, 1e9, f64::from(rng.random_range(0..50_u32))][rng.random_range(0..4)]
}

#[test]
fn reads_files_in_any_order_and_shares_the_running_version() {
    for seed in 0..2_000 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut tenants: Vec<(String, f64)> = (0..8).map(|i| (format!("t{i}"), random_quota(rng))).collect();
        let mut running: Option<Configuration> = None;
        for round in 0..3 {
            let (context, before) = (format!("seed {seed} round {round}"), tenants.clone());
            tenants.shuffle(rng);
            match rng.random_range(0..4) {
                0 => tenants.truncate(5),
                1 => tenants.push((format!("new{round}"), random_quota(rng))),
                _ => tenants[0].1 = random_quota(rng),
            }
            let file = deployment(settings(&tenants));
            let json = shuffled_json(&file, rng);
            let unshared = Deployment::from_json(&json).unwrap().configuration;
            let shared = Deployment::from_reader(json.as_bytes(), running.as_ref()).unwrap().configuration;
            let from_tree = configuration_from_json(&file["settings"], 64, 64).unwrap();
            assert_eq!((&shared, shared.digest()), (&unshared, unshared.digest()), "{context}");
            assert_eq!((&from_tree, from_tree.digest()), (&unshared, unshared.digest()), "{context}");
            let mut found: Vec<(String, f64)> =
                shared.tenants().map(|(name, rate)| (name.to_string(), rate)).collect();
            tenants.sort_by(|a, b| a.0.cmp(&b.0));
            assert_eq!(found, tenants, "{context}");
            let skips = ["look", "pay"].map(|name| shared.method(name).unwrap().skip_value_ratio);
            assert_eq!(skips, [0.25, 0.5], "{context}");
            if let Some(running) = &running {
                found.retain(|entry| !before.contains(entry));
                let removed = before.iter().filter(|(name, _)| shared.tenant(name).is_none()).count();
                assert_eq!(running.changes_to(&shared).len(), found.len() + removed, "{context}");
            }
            running = Some(shared);
        }
    }
}

#[test]
fn one_changed_quota_is_one_change_and_shares_names() {
    let mut tenants: Vec<(String, f64)> = (0..500).map(|i| (format!("tenant-{i}"), 10.0)).collect();
    let running = Deployment::from_json(&deployment(settings(&tenants)).to_string()).unwrap().configuration;
    tenants[77].1 = 11.0;
    let json = deployment(settings(&tenants)).to_string();
    let next = Deployment::from_reader(json.as_bytes(), Some(&running)).unwrap().configuration;
    assert_eq!(running.changes_to(&next), [Change::PutTenant("tenant-77".into(), 11.0)]);
    let pairs = running.tenants().zip(next.tenants());
    assert!(pairs.into_iter().all(|((a, _), (b, _))| Arc::ptr_eq(a, b)));
    assert!(running.methods().zip(next.methods()).all(|((a, _), (b, _))| Arc::ptr_eq(a, b)));
}

#[test]
fn numbers_entries_by_list_or_by_name() {
    let tenants: Vec<(String, f64)> = ["zeta", "acme"].map(|name| (name.to_string(), 5.0)).into();
    let file = settings(&tenants);
    let names = |list: &[Arc<str>]| list.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    let listed = server_parts_from_json(0, 1, &file, None).unwrap();
    assert_eq!(
        (names(&listed.methods), listed.latency_targets),
        (vec!["pay".into(), "look".into()], vec![500_000, 400_000])
    );
    assert_eq!(names(&listed.tenants), ["zeta", "acme"]);
    let content = configuration_from_json(&file, 64, 64).unwrap();
    let named = server_parts(0, 1, &content, None).unwrap();
    assert_eq!(
        (names(&named.methods), named.latency_targets),
        (vec!["look".into(), "pay".into()], vec![400_000, 500_000])
    );
    assert_eq!(
        (names(&named.tenants), named.longest_deadline),
        (vec!["acme".into(), "zeta".into()], 1_000_000)
    );
    let parts = asterrill_settings::global_parts(0, 1, &content).unwrap();
    assert_eq!(
        (parts.longest_deadline, parts.cores, parts.gauges, parts.min_event_interval),
        (1_000_000, 2.0, vec!["links".into()], 4_000)
    );
    let mut cold = deployment(file);
    cold["settings"]["FamilyInfo"]["Cold"] = json!(true);
    assert!(error_message(Deployment::from_json(&cold.to_string())).contains("ColdFrom"));
    // The version has no settings for a cold start.
    assert!(server_parts(0, 1, &content, Some(true)).err().unwrap().to_string().contains("ColdFrom"));
}

fn error_message(read: Result<Deployment, SettingsError>) -> String {
    read.map(|deployment| deployment.name).unwrap_err().to_string()
}

#[test]
fn errors_name_the_key_and_the_entry() {
    let json = |entry: &str| {
        let json = deployment(settings(&[])).to_string();
        json.replace(r#""Tenants":[]"#, &format!(r#""Tenants":[{{"Name":"zeta","QuotaRps":1}},{entry}]"#))
    };
    for valid in [
        r#"{"Name":"acme","QuotaRps":0}"#,
        r#"{"QuotaRps":1e9,"Name":"acme","Fraction":[7]}"#,
        r#"{"Name":"acme","QuotaRps":-0.0}"#,
    ] {
        assert!(Deployment::from_json(&json(valid)).is_ok(), "{valid}");
    }
    for length in [1, 64, 128] {
        let name = "n".repeat(length);
        let made = Deployment::from_json(&json(&format!(r#"{{"Name":"{name}","QuotaRps":3}}"#))).unwrap();
        assert_eq!(made.configuration.tenant(&name), Some(3.0));
        assert!(made.configuration.stored_name(EntryKind::Tenant, &name).is_some());
    }
    let long = format!(r#"{{"Name":"{}","QuotaRps":3}}"#, "n".repeat(129));
    for (invalid, keys) in [
        (r#"{"Name":"acme","QuotaRps":-1}"#, ["acme", "QuotaRps"]),
        (r#"{"Name":"acme","QuotaRps":1e10}"#, ["acme", "QuotaRps is out of bounds"]),
        (r#"{"Name":"acme","QuotaRps":1e400}"#, ["not JSON", "number out of range"]),
        (r#"{"Name":"acme"}"#, ["acme", "QuotaRps is missing"]),
        (r#"{"Name":"acme","QuotaRps":null}"#, ["acme", "QuotaRps"]),
        (r#"{"Name":"zeta","QuotaRps":1}"#, ["zeta", "duplicate Name zeta in Tenants"]),
        (r#"{"Name":"acme","QuotaRps":1,"QuotaRps":2}"#, ["QuotaRps", "duplicate field QuotaRps"]),
        (r#"{"Name":"","QuotaRps":1}"#, ["Name", "1 to 128 bytes"]),
        (&long, ["Name", "1 to 128 bytes"]),
        ("7", ["Name", "missing"]),
    ] {
        let (json, running) = (
            json(invalid),
            Deployment::from_json(&json(r#"{"Name":"acme","QuotaRps":9}"#)).unwrap().configuration,
        );
        for message in [
            error_message(Deployment::from_json(&json)),
            error_message(Deployment::from_reader(json.as_bytes(), Some(&running))),
        ] {
            assert!(keys.iter().all(|key| message.contains(key)), "{invalid}: {message}");
        }
    }
    for (key, part) in
        [("limits", r#""limits":{},"#), ("settings", r#""settings":{},"#), ("seed", r#""seed":"1","#)]
    {
        let json = deployment(settings(&[])).to_string().replacen('{', &format!("{{{part}"), 1);
        assert!(
            error_message(Deployment::from_json(&json)).contains(&format!("duplicate field {key}")),
            "{key}"
        );
    }
}

#[test]
fn rejects_a_truncated_file_and_trailing_data() {
    let json = shuffled_json(
        &deployment(settings(&[("acme".into(), 5.0), ("查價".into(), 7.5)])),
        &mut StdRng::seed_from_u64(3),
    );
    let running = Deployment::from_json(&json).unwrap().configuration;
    for cut in 0..json.len() {
        let message = error_message(Deployment::from_reader(&json.as_bytes()[..cut], Some(&running)));
        assert!(message.contains("not JSON"), "{cut}: {message}");
    }
    assert!(error_message(Deployment::from_json(&format!("{json} x"))).contains("not JSON"));
    assert!(
        error_message(Deployment::from_reader(format!("{json}{{}}").as_bytes(), None)).contains("not JSON")
    );
    let long = format!("{json}{}", " ".repeat(MAX_FILE_BYTES as usize));
    assert!([Deployment::from_json(&long), Deployment::from_reader(long.as_bytes(), None)]
        .into_iter()
        .all(|read| error_message(read).contains("bound FILE")));
    let error = std::io::Error::other("input/output error");
    let reader = std::io::Read::chain(&json.as_bytes()[..200], FailingReader(Some(error)));
    assert!(error_message(Deployment::from_reader(reader, None)).contains("input/output error"));
}

/// A reader that fails once, then reports the end of the file.
struct FailingReader(Option<std::io::Error>);
impl std::io::Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> std::io::Result<usize> {
        self.0.take().map_or(Ok(0), Err)
    }
}
