//! Steps as text: partial global settings, and the messages for invalid steps.

use crate::model::small_configuration;
use asterrill_entries::{read_step, Configuration, GlobalSettings, MAX_NAME_BYTES};

#[test]
fn completes_partial_global_settings_from_the_base() {
    (0..20).for_each(|seed| assert_completes(&small_configuration(seed)));
}

fn assert_completes(running: &Configuration) {
    let merged = |text: &str| match read_step(text, running).map(|step| step.changes) {
        Ok(changes) => Ok(GlobalSettings::clone(running.apply(&changes).unwrap().globals())),
        Err(error) => Err(error.to_string()),
    };
    let before = GlobalSettings::clone(running.globals());
    let first = merged(r#"{"frame":{"FamilyInfo":{"NCores":7,"Say":"window"},"limits":{"memory_mb":96}}}"#);
    let feedback_mode = asterrill::FeedbackMode::Credit;
    assert_eq!(first, Ok(GlobalSettings { cores: 7, feedback_mode, memory_mb: 96, ..before.clone() }));
    let rest = r#"{"frame":{"StepMs":2.5,"Limits":{"RetryAfter":true},"Safety":{"ColdFrom":0.25},"OverShareWorth":null}}"#;
    let expected = GlobalSettings {
        min_event_interval: 2_500,
        retry_after: true,
        slow_start_from: Some(0.25),
        over_quota_weight: 1.0,
        ..before.clone()
    };
    assert_eq!(merged(rest), Ok(expected));
    assert_eq!(merged(r#"{"frame":{}}"#), Ok(before));
    for (invalid, key) in [
        (r#"{"FamilyInfo":{"NCore":7}}"#, "NCore "),
        (r#"{"FamilyInfo":{"NCores":7.5}}"#, "NCores"),
        (r#"{"FamilyInfo":{"NCores":null}}"#, "NCores"),
        (r#"{"FamilyInfo":{"NCores":1,"NCores":2}}"#, "duplicate field NCores"),
        (r#"{"FamilyInfo":{"Cold":"yes"}}"#, "Cold"),
        (r#"{"FamilyInfo":{"ClassSkipWorth":[1]}}"#, "ClassSkipWorth"),
        (r#"{"FamilyInfo":{"Below":"shared","CallShare":null}}"#, "CallShare"),
        (r#"{"FamilyInfo":[]}"#, "FamilyInfo"),
        (r#"{"FamilyInfo":{"Cold":true},"Safety":{"ColdFrom":null}}"#, "ColdFrom"),
        (r#"{"Safety":{"TipMultiple":1e12}}"#, "TipMultiple"),
        (r#"{"limits":{"sockets":0}}"#, "limits.sockets"),
        (r#"{"limits":{"memory_mb":null}}"#, "limits.memory_mb"),
        (r#"{"Categories":[]}"#, "Categories"),
        ("7", "frame"),
    ] {
        let error = merged(&format!(r#"{{"frame":{invalid}}}"#)).unwrap_err();
        assert!(error.contains(key) && error.contains("line 1"), "{invalid}: {error}");
    }
}

#[test]
fn names_line_and_key_of_an_invalid_step() {
    let running = small_configuration(9);
    let long = format!(r#"{{"take":"tenant","Name":"{}"}}"#, "n".repeat(MAX_NAME_BYTES + 1));
    let method = r#"{"put":"method","Name":"look","AimMs":1,"DeadlineMs":2,"Effect":"free","Worth":1}"#;
    let duplicate =
        "{\"take\":\"tenant\",\"Name\":\"acme\"}\n{\"put\":\"tenant\",\"Name\":\"acme\",\"QuotaRps\":1}";
    for (text, line, part) in [
        (r#"{"put":"tenant","Name":"acme","QuotaRps":-1}"#, 1, "QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1e10}"#, 1, "QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1e999}"#, 1, "number out of range"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":null}"#, 1, "QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":"1"}"#, 1, "QuotaRps"),
        (r#"{"put":"tenant","Name":"acme"}"#, 1, "acme: field QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1,"QuotaRps":2}"#, 1, "duplicate field QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1,"Worth":2}"#, 1, "unknown field Worth"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1,"Quota":2}"#, 1, "unknown field Quota at column"),
        (r#"{"put":"tenant","Name":"","QuotaRps":1}"#, 1, "1 to 128 bytes"),
        (r#"{"put":"planet","Name":"acme"}"#, 1, "put has the unknown value \"planet\""),
        (
            r#"{"put":"tenant","take":"tenant","Name":"acme"}"#,
            1,
            "expected exactly one of put, take and frame",
        ),
        (r#"{"Name":"acme"}"#, 1, "expected exactly one of put, take and frame"),
        ("\n[1]", 2, "expected exactly one of put, take and frame"),
        ("{}{}", 1, "not JSON"),
        ("{\"base\":1}\n\n{\"base\":2}", 3, "only on the first line"),
        (r#"{"base":1.5}"#, 1, "base"),
        (r#"{"hash":"+0000000000000000000000000000000"}"#, 1, "hash"),
        (&long, 1, "Name"),
        (duplicate, 2, "duplicate Name acme in Tenants"),
        ("{\"frame\":{}}\n{\"frame\":{}}", 2, "duplicate field frame"),
        (&method.replace("free", "cheap"), 1, "look: field Effect has the unknown value \"cheap\""),
        (&method.replace("look", "two words"), 1, "or whitespace"),
        (&method.replace("2,", "-2,"), 1, "DeadlineMs"),
    ] {
        let error = read_step(text, &running).expect_err(text).to_string();
        assert!(error.contains(part) && error.contains(&format!("line {line}")), "{text}: {error}");
    }
    // A text that is cut off at any byte is rejected, or reads as the step of its complete lines.
    let text = format!("{method}\n{duplicate}\n").replace("\"acme\",\"Q", "\"other\",\"Q");
    let complete = read_step(&text, &running).unwrap().changes;
    for cut in 0..text.len() {
        match read_step(&text[..cut], &running) {
            Ok(step) => assert_eq!(step.changes, complete[..step.changes.len()], "{cut}"),
            Err(error) => assert!(error.to_string().contains("not JSON"), "{cut}: {error}"),
        }
    }
}
