//! Tests of batches and their replies.

use crate::batch::{process_batch, Instances};
use serde_json::{json, Value};

const START: &str = r#"{"TimeMs":1000.0,"n":1,"items":[{"kind":"NewInstance","I":4,"Nonce64":9,"Params":{
    "Categories":[{"Name":"a","AimMs":500,"DeadlineMs":1500,"Effect":"guarded","Worth":1,"WindowMs":2000}],
    "FamilyInfo":{"NCores":2,"RamKb":9000,"RunFactor":4,"Say":"window","StopMode":"abort","Unknown":[1]},
    "Limits":{"RetryAfter":false},"Safety":{"TipMultiple":8,"RampTimeMs":9000,"StopSendingWithinMs":500}}}]}"#;

fn process_lines(lines: &[&str]) -> Result<Vec<Value>, String> {
    let mut instances = Instances::new();
    lines.iter().map(|line| process_batch(line, &mut instances).map_err(|error| error.to_string())).collect()
}

fn kinds(reply: &Value) -> Vec<&str> {
    reply["output"].as_array().unwrap().iter().map(|action| action["kind"].as_str().unwrap()).collect()
}

#[test]
fn rpc_starts_with_its_key_recorded_and_its_id_unchanged() {
    let read = r#"{"TimeMs":1004.5,"n":7,"items":[{"kind":"JobIn","I":4,"Id":"x-1","Cls":"a","SizeKb":2}]}"#;
    let replies = process_lines(&[START, read]).unwrap();
    assert_eq!(kinds(&replies[0]), ["Announce", "MarkHealth", "NotifyMe"]);
    assert_eq!(replies[1]["n"], 7);
    assert_eq!(kinds(&replies[1]), ["RecordKey", "Launch"]);
    assert_eq!(replies[1]["output"][1], json!({"kind": "Launch", "I": 4, "Id": "x-1"}));
}

#[test]
fn instance_restarted_within_a_batch_starts_with_new_state() {
    let again = START.replace("\"items\":[", "\"items\":[{\"kind\":\"PowerOff\",\"I\":4},");
    assert_eq!(kinds(&process_lines(&[START, &again]).unwrap()[1]), ["Announce", "MarkHealth", "NotifyMe"]);
    assert!(process_lines(&[START, r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"PowerOff","I":4}]}"#]).is_ok());
}

#[test]
fn malformed_batch_returns_an_error_that_names_the_fault() {
    let error = |line: &str| process_lines(&[START, line]).unwrap_err();
    assert!(error("junk").contains("not JSON"));
    assert!(error(r#"{"TimeMs":1.0,"items":[]}"#).contains("n is missing"));
    assert!(error(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"JobIn","I":4,"Id":"x"}]}"#).contains("Cls"));
    assert!(error(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"JobIn","I":5}]}"#).contains("not started"));
    assert!(error(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"Riddle","I":4}]}"#).contains("Riddle"));
}
