//! Arbitrary values of settings: each either yields a server that handles RPCs without a panic, or is rejected with an error
//! that names the invalid key.

use asterrill::*;
use serde_json::{json, Value};

const MS: Us = 1_000;
const START: Us = 1_790_000_000_000 * MS;

fn settings() -> Value {
    json!({
        "Categories": [
            {"Name": "look", "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1, "LateWorth": 0.2},
            {"Name": "pay", "AimMs": 500, "DeadlineMs": 1000, "Effect": "guarded", "Worth": 3, "WindowMs": 2000}],
        "Tenants": [{"Name": "acme", "QuotaRps": 10, "Fraction": 0.4}],
        "FamilyInfo": {"Below": "shared", "CallShare": 2.5, "DepWindowMs": 5000, "NCores": 2, "RamKb": 4000, "RunFactor": 4,
            "Say": "window", "StopMode": "abort", "Gauges": ["links", "on_cores"], "FreshMs": 150, "KbPerKey": 1,
            "ClassSkipWorth": [0.5, 0], "IdleMs": 5000, "LingerMs": 50, "Callers": 2, "Cold": true},
        "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 300},
        "OverShareWorth": 0.1, "ReplicasOfMe": 3,
        "Safety": {"TipMultiple": 8, "ColdFrom": 0.3, "RampTimeMs": 3000, "StopSendingWithinMs": 400},
        "StepMs": 4})
}

/// Collects the paths of all values except objects and lists of objects.
fn collect_leaf_paths(value: &Value, path: &str, paths: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(key, inner)| collect_leaf_paths(inner, &format!("{path}/{key}"), paths))
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            list.iter()
                .enumerate()
                .for_each(|(i, inner)| collect_leaf_paths(inner, &format!("{path}/{i}"), paths));
        }
        _ => paths.push(path.to_string()),
    }
}

/// Runs a few RPCs through a server, with upstream calls, timers and a drain.
fn run_server(settings: &Value) -> Result<(), String> {
    let mut server = asterrill_settings::server_parts_from_json(START, 7, settings, None)
        .map_err(|error| error.to_string())?;
    let control = &mut server.control;
    let assert_valid = |outcome: &Outcome| {
        assert!(outcome.credit.is_none_or(|credit| credit.is_finite() && credit >= 0.0), "{outcome:?}")
    };
    assert_valid(&control.start());
    let (mut now, mut running) = (START, Vec::new());
    for n in 0..120_u64 {
        now += 7 * MS;
        let method = MethodId(n as usize % server.idempotency.len());
        let deadline = (n % 3 > 0).then_some(now + 300 * MS);
        let original = (n % 11 == 10).then(|| RpcId::from_number(n - 1));
        let (id, caller, unread_for) = (RpcId::from_number(n), CallerId(n % 5).into(), n % 4 * MS);
        let tenant = (n % 2 == 0 && !server.tenants.is_empty()).then_some(0);
        let arrival = Arrival {
            id,
            method,
            caller,
            deadline,
            size_kb: 9.0,
            unread_for,
            original,
            cache_key: Some(n % 7),
        };
        let outcome = control.rpc_read(now, arrival, tenant);
        assert_valid(&outcome);
        running.extend(outcome.starts);
        if n % 3 == 0 {
            if let Some(id) = running.pop() {
                assert_valid(&control.call_needed(now, id));
                assert_valid(&control.call_ended(now, id, [CallEnd::Ok, CallEnd::TimedOut][n as usize % 2]));
                let outcome = control.run_ended(now, id, RunEnd::Ok);
                assert_valid(&outcome);
                running.extend(outcome.starts);
            }
        }
        let gauges =
            Gauges { runnable: Some(n as f64 % 5.0), memory_ratio: Some(0.5), connections: Some(n as f64) };
        assert_valid(&control.timer_fired(now, gauges));
        if n == 90 {
            assert_valid(&control.drain(now, now, now + 500 * MS));
        }
    }
    Ok(())
}

#[test]
fn accepts_any_value_or_names_its_key() {
    let mut paths = Vec::new();
    collect_leaf_paths(&settings(), "", &mut paths);
    assert!(paths.len() > 30, "{paths:?}");
    let values = [
        json!(0),
        json!(1e-9),
        json!(0.5),
        json!(1),
        json!(1e6),
        json!(1e12),
        json!(1e15),
        json!(1e18),
        json!(1e308),
        json!(u64::MAX),
        json!(-1),
        json!(-1e300),
        json!("many"),
        json!(true),
        json!([]),
        json!({}),
        Value::Null,
    ];
    let (mut accepted, mut rejected) = (0, 0);
    for path in &paths {
        for value in &values {
            let mut changed = settings();
            *changed.pointer_mut(path).unwrap() = value.clone();
            let key = path.rsplit('/').find(|part| part.parse::<usize>().is_err()).unwrap();
            match run_server(&changed) {
                Ok(()) => accepted += 1,
                Err(message) if message.contains(key) => rejected += 1,
                Err(message) => panic!("{path} = {value}: {message:?} does not name {key}"),
            }
        }
        // The key is missing.
        let (parent, key) = path.rsplit_once('/').unwrap();
        let mut changed = settings();
        if let Some(map) = changed.pointer_mut(parent).and_then(Value::as_object_mut) {
            map.remove(key);
            if let Err(message) = run_server(&changed) {
                assert!(message.contains(key), "without {path}: {message:?}");
            }
        }
    }
    assert!(accepted > 200 && rejected > 100, "{accepted} accepted, {rejected} rejected");
}

#[test]
fn accepts_one_method_no_tenants_and_names_in_any_script() {
    let mut changed = settings();
    for (name, valid) in
        [("البحث", true), ("查價", true), ("", false), ("two words", false), ("line\r\nend", false)]
    {
        changed["Categories"] =
            json!([{"Name": name, "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1}]);
        changed["Tenants"] = json!([]);
        match run_server(&changed) {
            Ok(()) => assert!(valid, "{name:?}"),
            Err(message) => assert!(!valid && message.contains("Name"), "{name:?}: {message}"),
        }
    }
    for list in ["Categories", "Tenants"] {
        let mut changed = settings();
        let first = changed[list][0].clone();
        changed[list].as_array_mut().unwrap().push(first);
        assert!(run_server(&changed).unwrap_err().contains("Name"), "duplicate name in {list}");
    }
    assert!(run_server(&json!({})).unwrap_err().contains("FamilyInfo"));
    changed = settings();
    changed.as_object_mut().unwrap().remove("Tenants");
    changed["Unknown"] = json!({"Of": [1, 2]});
    run_server(&changed).unwrap();
}

#[test]
fn names_the_invalid_field_of_a_deployment_file() {
    let deployment = json!({"name": "n1", "listen": "127.0.0.1:1", "agent": "127.0.0.1:2", "naming": "127.0.0.1:3",
        "records": "127.0.0.1:4", "seed": "ff", "stop_ms": 900, "limits": {"memory_mb": 64, "sockets": 64},
        "settings": settings()});
    let read = |deployment: &Value| {
        asterrill_settings::Deployment::from_json(&deployment.to_string()).map_err(|error| error.to_string())
    };
    assert!(read(&deployment).is_ok());
    let paths =
        ["name", "listen", "agent", "naming", "seed", "stop_ms", "limits/memory_mb", "limits/sockets"];
    for path in paths {
        let path = format!("/{path}");
        let key = path.rsplit('/').next().unwrap();
        for value in [json!([]), json!(-3), json!("zz:"), Value::Null, json!({})] {
            let mut changed = deployment.clone();
            *changed.pointer_mut(&path).unwrap() = value.clone();
            match read(&changed) {
                Ok(_) => assert!(key == "name" && value.is_string(), "{path} = {value}"),
                Err(message) => assert!(message.contains(key), "{path} = {value}: {message}"),
            }
        }
    }
    for (key, value) in [
        ("memory_mb", json!(0)),
        ("memory_mb", json!(1e300)),
        ("sockets", json!(0)),
        ("sockets", json!(u64::MAX)),
    ] {
        let mut changed = deployment.clone();
        changed["limits"][key] = value.clone();
        assert!(read(&changed).unwrap_err().contains(key), "{key} = {value}");
    }
    let mut without_upstream = deployment.clone();
    without_upstream.as_object_mut().unwrap().remove("records");
    assert!(read(&without_upstream).unwrap().upstream.is_none());
    for cut in [0, 1, 40, deployment.to_string().len() - 1] {
        assert!(asterrill_settings::Deployment::from_json(&deployment.to_string()[..cut])
            .unwrap_err()
            .to_string()
            .contains("JSON"));
    }
}
