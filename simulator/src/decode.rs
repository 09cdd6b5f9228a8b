//! Decoding of batch items into inputs of the decision module. The names on the wire differ from those of its API.

use crate::error::WireError;
use crate::instance::Instance;
use asterrill::{Arrival, CallEnd, CallerId, Gauges, Outcome, RpcId, RunEnd, Us};
use asterrill_settings::json::{
    micros_from_millis, number, optional_number, optional_time, text, time, whole_number,
};
use asterrill_settings::SettingsError;
use serde_json::Value;

/// Applies one item to its instance and returns the outcome.
pub fn apply_item(now: Us, kind: &str, item: &Value, instance: &mut Instance) -> Result<Outcome, WireError> {
    Ok(match kind {
        "NewInstance" => instance.control.start(),
        "JobIn" => {
            let tenant = item.get("Party").and_then(Value::as_str).and_then(|name| instance.tenant(name));
            let arrival = arrival(item, instance)?;
            instance.control.rpc_read(now, arrival, tenant)
        }
        "Dropped" => instance.control.caller_cancelled(now, rpc_id(item)?),
        "Done" => {
            let end = run_end(text(item, "StateCode")?)?;
            instance.control.run_ended(now, rpc_id(item)?, end)
        }
        "StalledOnCall" => instance.control.call_needed(now, rpc_id(item)?),
        "CallResult" => {
            let end = call_end(text(item, "StateCode")?)?;
            instance.control.call_ended(now, rpc_id(item)?, end)
        }
        "TerminateSoon" => instance.control.drain(now, now, time(item, "NotAfterMs")?),
        "TimeoutFired" => instance.control.timer_fired(now, gauges(item)),
        other => return Err(WireError::UnknownKind(other.into())),
    })
}

fn rpc_id(item: &Value) -> Result<RpcId, WireError> {
    let id = RpcId::new(text(item, "Id")?);
    Ok(id.ok_or_else(|| SettingsError::invalid_field("Id"))?)
}

fn arrival(item: &Value, instance: &Instance) -> Result<Arrival, WireError> {
    Ok(Arrival {
        method: instance.method(text(item, "Cls")?)?,
        id: rpc_id(item)?,
        caller: CallerId(optional_number(item, "Sender")?.unwrap_or(0.0) as u64).into(),
        deadline: optional_number(item, "NotAfterMs")?.filter(|at| *at > 0.0).map(micros_from_millis),
        size_kb: number(item, "SizeKb")?,
        unread_for: optional_time(item, "UnreadForMs")?,
        original: item.get("Prior").and_then(Value::as_str).and_then(RpcId::new),
        cache_key: item.get("Key").and_then(whole_number),
    })
}

fn gauges(item: &Value) -> Gauges {
    let metric = |name| item.get("Metrics").and_then(|metrics| metrics.get(name)).and_then(Value::as_f64);
    Gauges { runnable: metric("on_cores"), memory_ratio: metric("heap_share"), connections: metric("links") }
}

fn run_end(code: &str) -> Result<RunEnd, WireError> {
    match code {
        "served" => Ok(RunEnd::Ok),
        "server_error" => Ok(RunEnd::Aborted),
        "called_off" => Ok(RunEnd::Stopped),
        "not_sent" => Ok(RunEnd::NotStarted),
        other => Err(WireError::UnknownState { kind: "Done", code: other.into() }),
    }
}

fn call_end(code: &str) -> Result<CallEnd, WireError> {
    match code {
        "served" => Ok(CallEnd::Ok),
        "server_error" | "connection_lost" | "called_off" => Ok(CallEnd::Aborted),
        "no_answer" => Ok(CallEnd::TimedOut),
        "turned_away" | "no_connection" | "not_sent" => Ok(CallEnd::Rejected),
        other => Err(WireError::UnknownState { kind: "CallResult", code: other.into() }),
    }
}
