//! Processing of one batch: a line of items is the request, a list of actions the reply.

use crate::decode::apply_item;
use crate::encode::push_actions;
use crate::error::WireError;
use crate::instance::Instance;
use asterrill::Us;
use asterrill_settings::json::{integer, text, time};
use asterrill_settings::SettingsError;
use serde_json::{json, Value};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// All instances by their number on the wire.
pub type Instances = BTreeMap<u64, Instance>;

/// Processes one batch and returns the reply.
pub fn process_batch(line: &str, instances: &mut Instances) -> Result<Value, WireError> {
    let batch: Value = serde_json::from_str(line)?;
    let number = integer(&batch, "n")?;
    let now = time(&batch, "TimeMs")?;
    let items = batch.get("items").and_then(Value::as_array);
    let items = items.ok_or_else(|| SettingsError::invalid_field("items"))?;
    let mut actions = Vec::new();
    for item in items {
        process_item(now, item, instances, &mut actions)?;
    }
    Ok(json!({"n": number, "output": actions}))
}

/// Processes one item and appends its actions.
fn process_item(
    now: Us, item: &Value, instances: &mut Instances, actions: &mut Vec<Value>,
) -> Result<(), WireError> {
    let kind = text(item, "kind")?;
    let number = integer(item, "I")?;
    match kind {
        "NewInstance" => {
            instances.remove(&number);
            instances.insert(number, Instance::new(now, item)?);
        }
        "PowerOff" => {
            instances.remove(&number);
            return Ok(());
        }
        _ => {}
    }
    let instance = instances
        .get_mut(&number)
        .ok_or_else(|| WireError::NotStarted { kind: kind.into(), instance: number })?;
    // A panic in the decision module is reported as an action, so that the simulator doesn't see an adapter that exits
    // without a reply.
    match catch_unwind(AssertUnwindSafe(|| apply_item(now, kind, item, instance))) {
        Ok(outcome) => push_actions(number, &outcome?, actions),
        Err(panic) => {
            let message = panic_message(panic.as_ref());
            actions.push(json!({"kind": "Broken", "I": number, "Words": message}));
        }
    }
    Ok(())
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let message = panic.downcast_ref::<String>().map(String::as_str);
    message.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic")
}
