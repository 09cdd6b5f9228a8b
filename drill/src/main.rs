//! Wire adapter: decodes batches into calls of the decision module and encodes what it hands back.
//! It decides nothing. One module instance per number; a reply per batch, flushed; ends with its input.

mod wire;

use asterrill_settings::Server;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::Fault;

fn answer(line: &str, instances: &mut BTreeMap<u64, Server>) -> Result<Value, Fault> {
    let batch: Value = serde_json::from_str(line).map_err(|e| Fault::new(format!("not JSON: {e}")))?;
    let number = wire::integer(&batch, "n")?;
    let now = wire::time(&batch, "TimeMs")?;
    let items = batch.get("items").and_then(Value::as_array).ok_or_else(|| Fault::missing("items"))?;
    let mut output = Vec::new();
    for item in items {
        let kind = wire::text(item, "kind")?;
        let number = wire::integer(item, "I")?;
        match kind {
            "NewInstance" => {
                instances.remove(&number);
                let made = wire::start(now, item)?;
                instances.insert(number, made);
            }
            "PowerOff" => {
                instances.remove(&number);
                continue;
            }
            _ => {}
        }
        let instance = instances
            .get_mut(&number)
            .ok_or_else(|| Fault::new(format!("{kind} for instance {number}, which was not started")))?;
        // A panic in the module must not look like a silent adapter.
        let done = catch_unwind(AssertUnwindSafe(|| wire::feed(now, kind, item, instance)));
        match done {
            Ok(outcome) => wire::encode(number, outcome?, &mut output),
            Err(panic) => {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
                output.push(json!({"kind": "Broken", "I": number, "Words": text}));
            }
        }
    }
    Ok(json!({"n": number, "output": output}))
}

fn serve() -> Result<(), Fault> {
    let mut instances: BTreeMap<u64, Server> = BTreeMap::new();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for line in io::stdin().lock().lines() {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = answer(&line, &mut instances)?;
        serde_json::to_writer(&mut out, &reply).map_err(io::Error::from)?;
        out.write_all(b"\n")?;
        out.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("asterrill-drill: {fault}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: &str = r#"{"TimeMs":1000.0,"n":1,"items":[{"kind":"NewInstance","I":4,"Nonce64":9,"Params":{
        "Categories":[{"Name":"a","AimMs":500,"DeadlineMs":1500,"Effect":"guarded","Worth":1,"WindowMs":2000}],
        "FamilyInfo":{"NCores":2,"RamKb":9000,"RunFactor":4,"Say":"window","StopMode":"abort","Unknown":[1]},
        "Limits":{"RetryAfter":false},"Safety":{"TipMultiple":8,"RampTimeMs":9000,"StopSendingWithinMs":500}}}]}"#;

    fn feed(lines: &[&str]) -> Result<Vec<Value>, String> {
        let mut instances = BTreeMap::new();
        lines.iter().map(|line| answer(line, &mut instances).map_err(|f| f.to_string())).collect()
    }

    fn kinds(reply: &Value) -> Vec<&str> {
        reply["output"].as_array().unwrap().iter().map(|action| action["kind"].as_str().unwrap()).collect()
    }

    #[test]
    fn an_rpc_is_kept_started_and_its_id_given_back_as_it_came() {
        let read =
            r#"{"TimeMs":1004.5,"n":7,"items":[{"kind":"JobIn","I":4,"Id":"x-1","Cls":"a","SizeKb":2}]}"#;
        let replies = feed(&[START, read]).unwrap();
        assert_eq!(kinds(&replies[0]), ["Announce", "MarkHealth", "NotifyMe"]);
        assert_eq!(replies[1]["n"], 7);
        assert_eq!(kinds(&replies[1]), ["RecordKey", "Launch"]);
        assert_eq!(replies[1]["output"][1], json!({"kind": "Launch", "I": 4, "Id": "x-1"}));
    }

    #[test]
    fn a_new_life_in_the_same_batch_knows_nothing_of_the_old_one() {
        let again = START.replace("\"items\":[", "\"items\":[{\"kind\":\"PowerOff\",\"I\":4},");
        assert_eq!(kinds(&feed(&[START, &again]).unwrap()[1]), ["Announce", "MarkHealth", "NotifyMe"]);
        assert!(feed(&[START, r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"PowerOff","I":4}]}"#]).is_ok());
    }

    #[test]
    fn what_is_malformed_ends_with_a_message_that_names_it() {
        let fault = |line: &str| feed(&[START, line]).unwrap_err();
        assert!(fault("junk").contains("not JSON"));
        assert!(fault(r#"{"TimeMs":1.0,"items":[]}"#).contains("n is missing"));
        assert!(fault(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"JobIn","I":4,"Id":"x"}]}"#).contains("Cls"));
        assert!(fault(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"JobIn","I":5}]}"#).contains("not started"));
        assert!(fault(r#"{"TimeMs":1.0,"n":2,"items":[{"kind":"Riddle","I":4}]}"#).contains("Riddle"));
    }
}
