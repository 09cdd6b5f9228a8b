//! The wire's names and forms. They end here: the module knows none of them.

use asterrill::{Answer, Arrival, CallEnd, CallerId, Control, Gauges, MethodId, Outcome, RpcId, RunEnd, Us};
use asterrill_entries::Name;
use asterrill_settings::json::{
    flag, micros_from_millis, number, object, optional_number, optional_time, whole_number,
};
pub use asterrill_settings::json::{integer, text, time};
pub use asterrill_settings::SettingsError;
use serde_json::{json, Value};
use std::collections::BTreeMap;

fn ms(us: Us) -> f64 {
    us as f64 / 1000.0
}

fn id(v: &Value, name: &str) -> Result<RpcId, SettingsError> {
    RpcId::new(text(v, name)?).ok_or_else(|| SettingsError::invalid_field(name))
}

/// One server and the places of the names that the wire gives.
pub struct Instance {
    control: Control,
    methods: BTreeMap<Name, MethodId>,
    tenants: BTreeMap<Name, usize>,
}

/// Makes an instance from its first message.
pub fn start(now: Us, item: &Value) -> Result<Instance, SettingsError> {
    let server = asterrill_settings::server_parts_from_json(
        now,
        integer(item, "Nonce64")?,
        object(item, "Params")?,
        None,
    )?;
    let methods = server.methods.into_iter().enumerate().map(|(i, name)| (name, MethodId(i)));
    let tenants = server.tenants.into_iter().enumerate().map(|(i, name)| (name, i));
    Ok(Instance { control: server.control, methods: methods.collect(), tenants: tenants.collect() })
}

fn arrival(item: &Value, methods: &BTreeMap<Name, MethodId>) -> Result<Arrival, SettingsError> {
    let name = text(item, "Cls")?;
    let method = methods
        .get(name)
        .ok_or_else(|| SettingsError::new(format!("Cls {name} is not among the settings")))?;
    let prior = item.get("Prior").and_then(Value::as_str).and_then(RpcId::new);
    Ok(Arrival {
        id: id(item, "Id")?,
        method: *method,
        caller: CallerId(optional_number(item, "Sender")?.unwrap_or(0.0) as u64),
        deadline: optional_number(item, "NotAfterMs")?.filter(|at| *at > 0.0).map(micros_from_millis),
        size_kb: number(item, "SizeKb")?,
        unread_for: optional_time(item, "UnreadForMs")?,
        retry_or_hedge: flag(item, "Repeat"),
        original: prior,
        cache_key: item.get("Key").and_then(whole_number),
    })
}

fn gauges(item: &Value) -> Gauges {
    let metric = |name| item.get("Metrics").and_then(|m| m.get(name)).and_then(Value::as_f64);
    Gauges { runnable: metric("on_cores"), memory_ratio: metric("heap_share"), connections: metric("links") }
}

/// Decodes one event into a call of the module.
pub fn feed(now: Us, kind: &str, item: &Value, instance: &mut Instance) -> Result<Outcome, SettingsError> {
    let control = &mut instance.control;
    Ok(match kind {
        "NewInstance" => control.start(),
        "JobIn" => {
            let tenant =
                item.get("Party").and_then(Value::as_str).and_then(|p| instance.tenants.get(p)).copied();
            control.rpc_read(now, arrival(item, &instance.methods)?, tenant)
        }
        "Dropped" => control.caller_cancelled(now, id(item, "Id")?),
        "Done" => {
            let end = match text(item, "StateCode")? {
                "served" => RunEnd::Ok,
                "server_error" => RunEnd::Aborted,
                "called_off" => RunEnd::Stopped,
                "not_sent" => RunEnd::NotStarted,
                other => return Err(SettingsError::new(format!("StateCode {other} of Done is not known"))),
            };
            control.run_ended(now, id(item, "Id")?, end)
        }
        "StalledOnCall" => control.call_needed(now, id(item, "Id")?),
        "CallResult" => {
            let end = match text(item, "StateCode")? {
                "served" => CallEnd::Ok,
                "server_error" | "connection_lost" | "called_off" => CallEnd::Aborted,
                "no_answer" => CallEnd::TimedOut,
                "turned_away" | "no_connection" | "not_sent" => CallEnd::Rejected,
                other => {
                    return Err(SettingsError::new(format!("StateCode {other} of CallResult is not known")))
                }
            };
            control.call_ended(now, id(item, "Id")?, end)
        }
        "TerminateSoon" => control.drain(now, now, time(item, "NotAfterMs")?),
        "TimeoutFired" => control.timer_fired(now, gauges(item)),
        other => return Err(SettingsError::new(format!("kind {other} is not known"))),
    })
}

/// Encodes what the module hands back, list by list in its order.
pub fn encode(i: u64, o: Outcome, to: &mut Vec<Value>) {
    for (id, answer) in &o.answers {
        to.push(match answer {
            Answer::Rejected { terminal, retry_after } => {
                let (id, wait) = (id.as_str(), ms(*retry_after));
                json!({"kind": "Shed", "I": i, "Id": id, "Terminal": terminal, "BackoffMs": wait})
            }
            Answer::Aborted => json!({"kind": "DropRequest", "I": i, "Id": id.as_str()}),
        });
    }
    let mut named = |kind: &str, ids: &[RpcId]| {
        to.extend(ids.iter().map(|id| json!({"kind": kind, "I": i, "Id": id.as_str()})));
    };
    named("Stop", &o.cancellations);
    for (id, span) in &o.retained_keys {
        to.push(json!({"kind": "RecordKey", "I": i, "Id": id.as_str(), "ForTimeMs": ms(*span)}));
    }
    let mut named = |kind: &str, ids: &[RpcId]| {
        to.extend(ids.iter().map(|id| json!({"kind": kind, "I": i, "Id": id.as_str()})));
    };
    named("Unpin", &o.released_keys);
    named("Join", &o.coalesced);
    named("Launch", &o.starts);
    for (id, wait) in &o.calls {
        to.push(json!({"kind": "Invoke", "I": i, "Id": id.as_str(), "MaxWaitMs": ms(*wait)}));
    }
    for id in &o.skipped_calls {
        to.push(json!({"kind": "Bypass", "I": i, "Id": id.as_str()}));
    }
    if let Some(amount) = o.credit {
        to.push(json!({"kind": "Announce", "I": i, "Amount": amount}));
    }
    if let Some(enable) = o.healthy {
        to.push(json!({"kind": "MarkHealth", "I": i, "FromState": true, "Enable": enable}));
    }
    if let Some(span) = o.close_idle_after {
        to.push(json!({"kind": "CloseIdle", "I": i, "ForTimeMs": ms(span)}));
    }
    if let Some(span) = o.wake_after {
        to.push(json!({"kind": "NotifyMe", "I": i, "AfterMs": ms(span), "Name": 1}));
    }
    for words in &o.log {
        to.push(json!({"kind": "WriteLog", "I": i, "Words": words}));
    }
}
