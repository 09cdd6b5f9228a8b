//! Batches and their replies.

use crate::batch::{answer, Instances};
use serde_json::{json, Value};

const START: &str = r#"{"TimeMs":1000.0,"n":1,"items":[{"kind":"NewInstance","I":4,"Nonce64":9,"Params":{
    "Categories":[{"Name":"a","AimMs":500,"DeadlineMs":1500,"Effect":"guarded","Worth":1,"WindowMs":2000}],
    "FamilyInfo":{"NCores":2,"RamKb":9000,"RunFactor":4,"Say":"window","StopMode":"abort","Unknown":[1]},
    "Limits":{"RetryAfter":false},"Safety":{"TipMultiple":8,"RampTimeMs":9000,"StopSendingWithinMs":500}}}]}"#;

fn feed(lines: &[&str]) -> Result<Vec<Value>, String> {
    let mut instances = Instances::new();
    lines.iter().map(|line| answer(line, &mut instances).map_err(|error| error.to_string())).collect()
}

fn kinds(reply: &Value) -> Vec<&str> {
    reply["output"].as_array().unwrap().iter().map(|action| action["kind"].as_str().unwrap()).collect()
}

#[test]
fn rpc_is_started_with_its_key_recorded_and_its_id_unchanged() {
    let read = r#"{"TimeMs":1004.5,"n":7,"items":[{"kind":"JobIn","I":4,"Id":"x-1","Cls":"a","SizeKb":2}]}"#;
    let replies = feed(&[START, read]).unwrap();
    assert_eq!(kinds(&replies[0]), ["Announce", "MarkHealth", "NotifyMe"]);
    assert_eq!(replies[1]["n"], 7);
    assert_eq!(kinds(&replies[1]), ["RecordKey", "Launch"]);
    assert_eq!(replies[1]["output"][1], json!({"kind": "Launch", "I": 4, "Id": "x-1"}));
}

#[test]
fn restarted_instance_in_the_same_batch_starts_afresh() {
    let again = START.replace("\"items\":[", "\"items\":[{\"kind\":\"PowerOff\",\"I\":4},");
    assert_eq!(kinds(&feed(&[START, &again]).unwrap()[1]), ["Announce", "MarkHealth", "NotifyMe"]);
    assert!(feed(&[START, r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"PowerOff","I":4}]}"#]).is_ok());
}

#[test]
fn malformed_batch_ends_with_an_error_that_names_the_fault() {
    let error = |line: &str| feed(&[START, line]).unwrap_err();
    assert!(error("junk").contains("not JSON"));
    assert!(error(r#"{"TimeMs":1.0,"items":[]}"#).contains("n is missing"));
    assert!(error(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"JobIn","I":4,"Id":"x"}]}"#).contains("Cls"));
    assert!(error(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"JobIn","I":5}]}"#).contains("not started"));
    assert!(error(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"Riddle","I":4}]}"#).contains("Riddle"));
}
