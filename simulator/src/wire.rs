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
        due: optional_number(item, "NotAfterMs")?.filter(|at| *at > 0.0).map(micros_from_millis),
        size_kb: number(item, "SizeKb")?,
        unread: optional_time(item, "UnreadForMs")?,
        repeat: flag(item, "Repeat"),
        prior,
        key: item.get("Key").and_then(whole_number),
    })
}

fn gauges(item: &Value) -> Gauges {
    let metric = |name| item.get("Metrics").and_then(|m| m.get(name)).and_then(Value::as_f64);
    Gauges { on_cores: metric("on_cores"), heap_share: metric("heap_share"), links: metric("links") }
}

/// Decodes one event into a call of the module.
pub fn feed(now: Us, kind: &str, item: &Value, instance: &mut Instance) -> Result<Outcome, SettingsError> {
    let control = &mut instance.control;
    Ok(match kind {
        "NewInstance" => control.started(),
        "JobIn" => {
            let tenant =
                item.get("Party").and_then(Value::as_str).and_then(|p| instance.tenants.get(p)).copied();
            control.rpc_read(now, arrival(item, &instance.methods)?, tenant)
        }
        "Dropped" => control.caller_gone(now, id(item, "Id")?),
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
                "turned_away" | "no_connection" | "not_sent" => CallEnd::PushedBack,
                other => {
                    return Err(SettingsError::new(format!("StateCode {other} of CallResult is not known")))
                }
            };
            control.call_ended(now, id(item, "Id")?, end)
        }
        "TerminateSoon" => control.drain(now, now, time(item, "NotAfterMs")?),
        "TimeoutFired" => control.woken(now, gauges(item)),
        other => return Err(SettingsError::new(format!("kind {other} is not known"))),
    })
}

/// Encodes what the module hands back, list by list in its order.
pub fn encode(i: u64, o: Outcome, to: &mut Vec<Value>) {
    for (id, answer) in &o.answers {
        to.push(match answer {
            Answer::PushedBack { terminal, come_back } => {
                let (id, wait) = (id.as_str(), ms(*come_back));
                json!({"kind": "Shed", "I": i, "Id": id, "Terminal": terminal, "BackoffMs": wait})
            }
            Answer::Aborted => json!({"kind": "DropRequest", "I": i, "Id": id.as_str()}),
        });
    }
    let mut named = |kind: &str, ids: &[RpcId]| {
        to.extend(ids.iter().map(|id| json!({"kind": kind, "I": i, "Id": id.as_str()})));
    };
    named("Stop", &o.stops);
    for (id, span) in &o.keeps {
        to.push(json!({"kind": "RecordKey", "I": i, "Id": id.as_str(), "ForTimeMs": ms(*span)}));
    }
    let mut named = |kind: &str, ids: &[RpcId]| {
        to.extend(ids.iter().map(|id| json!({"kind": kind, "I": i, "Id": id.as_str()})));
    };
    named("Unpin", &o.forgets);
    named("Join", &o.joins);
    named("Launch", &o.runs);
    for (id, wait) in &o.calls {
        to.push(json!({"kind": "Invoke", "I": i, "Id": id.as_str(), "MaxWaitMs": ms(*wait)}));
    }
    for id in &o.skips {
        to.push(json!({"kind": "Bypass", "I": i, "Id": id.as_str()}));
    }
    if let Some(amount) = o.credit {
        to.push(json!({"kind": "Announce", "I": i, "Amount": amount}));
    }
    if let Some(enable) = o.health {
        to.push(json!({"kind": "MarkHealth", "I": i, "FromState": true, "Enable": enable}));
    }
    if let Some(span) = o.close_idle {
        to.push(json!({"kind": "CloseIdle", "I": i, "ForTimeMs": ms(span)}));
    }
    if let Some(span) = o.wake {
        to.push(json!({"kind": "NotifyMe", "I": i, "AfterMs": ms(span), "Name": 1}));
    }
    for words in &o.log {
        to.push(json!({"kind": "WriteLog", "I": i, "Words": words}));
    }
}
