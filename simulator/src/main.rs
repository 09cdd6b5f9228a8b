//! Wire adapter: decodes batches into calls of the decision module and encodes what it hands back.
//! It decides nothing. One module instance per number; a reply per batch, flushed; ends with its input.

mod wire;

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Instance, SettingsError};

fn answer(line: &str, instances: &mut BTreeMap<u64, Instance>) -> Result<Value, SettingsError> {
    let batch: Value =
        serde_json::from_str(line).map_err(|e| SettingsError::new(format!("not JSON: {e}")))?;
    let number = wire::integer(&batch, "n")?;
    let now = wire::time(&batch, "TimeMs")?;
    let items =
        batch.get("items").and_then(Value::as_array).ok_or_else(|| SettingsError::invalid_field("items"))?;
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
        let instance = instances.get_mut(&number).ok_or_else(|| {
            SettingsError::new(format!("{kind} for instance {number}, which was not started"))
        })?;
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

fn serve() -> Result<(), SettingsError> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
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
#[path = "tests/main.rs"]
mod tests;
