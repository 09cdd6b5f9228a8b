//! The wire's names and forms. They end here: the module knows none of them.

use asterrill::{
    Accounts, Answer, Arrival, Below, CallEnd, CallerId, Calls, Control, Credit, Drain, Effect, Gauges, Keys,
    Memory, Method, MethodId, Outcome, RpcId, RunEnd, Say, Shares, StopMode, Target, Us,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt;

/// Why the adapter ends: a plain message.
#[derive(Debug)]
pub struct Fault(String);

impl Fault {
    pub fn new(text: String) -> Fault {
        Fault(text)
    }
    pub fn missing(name: &str) -> Fault {
        Fault(format!("field {name} is missing or of the wrong form"))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<std::io::Error> for Fault {
    fn from(e: std::io::Error) -> Fault {
        Fault(e.to_string())
    }
}

/// One instance of the module, with the names that the wire uses for what the module numbers.
pub struct Instance {
    control: Control,
    methods: BTreeMap<String, usize>,
    tenants: BTreeMap<String, usize>,
}

pub fn text<'a>(v: &'a Value, name: &str) -> Result<&'a str, Fault> {
    v.get(name).and_then(Value::as_str).ok_or_else(|| Fault::missing(name))
}

pub fn integer(v: &Value, name: &str) -> Result<u64, Fault> {
    v.get(name).and_then(whole).ok_or_else(|| Fault::missing(name))
}

fn whole(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| v.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64))
}

fn number(v: &Value, name: &str) -> Result<f64, Fault> {
    let n = v.get(name).and_then(Value::as_f64).filter(|n| *n >= 0.0);
    n.ok_or_else(|| Fault::missing(name))
}

/// A number that may be absent, null included; one of a wrong form is a fault.
fn maybe(v: &Value, name: &str) -> Result<Option<f64>, Fault> {
    match v.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(_) => number(v, name).map(Some),
    }
}

fn flag(v: &Value, name: &str) -> bool {
    v.get(name).and_then(Value::as_bool).unwrap_or(false)
}

fn us(ms: f64) -> Us {
    (ms * 1000.0).round() as Us
}

fn ms(us: Us) -> f64 {
    us as f64 / 1000.0
}

/// Milliseconds on the wire, whole microseconds inside.
pub fn time(v: &Value, name: &str) -> Result<Us, Fault> {
    number(v, name).map(us)
}

fn maybe_time(v: &Value, name: &str) -> Result<Us, Fault> {
    Ok(us(maybe(v, name)?.unwrap_or(0.0)))
}

fn part<'a>(v: &'a Value, name: &str) -> Result<&'a Value, Fault> {
    v.get(name).filter(|p| p.is_object()).ok_or_else(|| Fault::missing(name))
}

fn list<'a>(v: &'a Value, name: &str) -> &'a [Value] {
    v.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn id(v: &Value, name: &str) -> Result<RpcId, Fault> {
    RpcId::new(text(v, name)?).ok_or_else(|| Fault::missing(name))
}

fn method(category: &Value, skip_share: f64) -> Result<Method, Fault> {
    Ok(Method {
        latency_target: time(category, "AimMs")?,
        deadline: time(category, "DeadlineMs")?,
        effect: match text(category, "Effect")? {
            "free" => Effect::Idempotent,
            "guarded" => Effect::Tokened,
            "single_shot" => Effect::NonIdempotent,
            other => return Err(Fault(format!("Effect {other} is not known"))),
        },
        criticality: number(category, "Worth")?,
        late_share: maybe(category, "LateWorth")?.unwrap_or(0.0),
        window: maybe_time(category, "WindowMs")?,
        skip_share,
    })
}

/// Makes an instance from its first message: each part gets its own few figures.
pub fn start(now: Us, item: &Value) -> Result<Instance, Fault> {
    let seed = integer(item, "Nonce64")?;
    let params = part(item, "Params")?;
    let (family, safety, limits) =
        (part(params, "FamilyInfo")?, part(params, "Safety")?, part(params, "Limits")?);
    let categories = params.get("Categories").and_then(Value::as_array).filter(|c| !c.is_empty());
    let categories = categories.ok_or_else(|| Fault::missing("Categories"))?;
    let skips = list(family, "ClassSkipWorth");
    let (mut methods, mut names) = (Vec::new(), BTreeMap::new());
    for (i, category) in categories.iter().enumerate() {
        methods.push(method(category, skips.get(i).and_then(Value::as_f64).unwrap_or(0.0))?);
        names.insert(text(category, "Name")?.to_string(), i);
    }
    let (mut rates, mut tenants) = (Vec::new(), BTreeMap::new());
    for (i, tenant) in list(params, "Tenants").iter().enumerate() {
        rates.push(number(tenant, "QuotaRps")?);
        tenants.insert(text(tenant, "Name")?.to_string(), i);
    }
    let below = match family.get("Below").and_then(Value::as_str).unwrap_or("off") {
        "shared" => {
            Below::Shared { share: number(family, "CallShare")?, window: time(family, "DepWindowMs")? }
        }
        "tier" => Below::Tier,
        "off" => Below::Nothing,
        other => return Err(Fault(format!("Below {other} is not known"))),
    };
    let stop_mode = match family.get("StopMode").and_then(Value::as_str).unwrap_or("off") {
        "off" => StopMode::Off,
        "abort" => StopMode::Abort,
        "suspend" => StopMode::Suspend,
        other => return Err(Fault(format!("StopMode {other} is not known"))),
    };
    let say = match family.get("Say").and_then(Value::as_str).unwrap_or("off") {
        "off" => Say::Off,
        "window" => Say::Credit,
        "threshold" => Say::Threshold,
        "share_of" => Say::ShareOf,
        other => return Err(Fault(format!("Say {other} is not known"))),
    };
    let cores = integer(family, "NCores")? as usize;
    let cold = if flag(family, "Cold") { number(safety, "ColdFrom")? } else { 1.0 };
    let shortest = methods.iter().map(|m| m.latency_target).min().unwrap_or(1);
    let relayed = if flag(limits, "RetryAfter") { maybe_time(limits, "MaxRetryAfterMs")? } else { 0 };
    let callers = maybe(family, "Callers")?.unwrap_or(1.0) as usize;
    let replicas = maybe(params, "ReplicasOfMe")?.unwrap_or(1.0) as usize;
    let factor = maybe(family, "RunFactor")?.unwrap_or(1.0);
    let over = maybe(params, "OverShareWorth")?.unwrap_or(1.0);
    let control = Control::new(
        now,
        seed,
        maybe_time(params, "StepMs")?,
        stop_mode,
        methods,
        Accounts::new(shortest, callers),
        Target::new(now, cores, number(safety, "TipMultiple")?, cold, time(safety, "RampTimeMs")?),
        Calls::new(below, cores, maybe_time(family, "LingerMs")?, shortest),
        Keys::new(maybe(family, "KbPerKey")?.unwrap_or(0.0), maybe_time(family, "FreshMs")?),
        Memory::new(number(family, "RamKb")?, factor),
        Drain::new(time(safety, "StopSendingWithinMs")?),
        Credit::new(say, relayed, shortest, maybe_time(family, "IdleMs")?),
        Shares::new(&rates, replicas, over),
    );
    Ok(Instance { control, methods: names, tenants })
}

fn arrival(item: &Value, methods: &BTreeMap<String, usize>) -> Result<Arrival, Fault> {
    let name = text(item, "Cls")?;
    let method = methods.get(name).ok_or_else(|| Fault(format!("Cls {name} is not among the settings")))?;
    let prior = item.get("Prior").and_then(Value::as_str).and_then(RpcId::new);
    Ok(Arrival {
        id: id(item, "Id")?,
        method: MethodId(*method),
        caller: CallerId(maybe(item, "Sender")?.unwrap_or(0.0) as u64),
        due: maybe(item, "NotAfterMs")?.filter(|at| *at > 0.0).map(us),
        size_kb: number(item, "SizeKb")?,
        unread: maybe_time(item, "UnreadForMs")?,
        repeat: flag(item, "Repeat"),
        prior,
        key: item.get("Key").and_then(whole),
    })
}

fn gauges(item: &Value) -> Gauges {
    let metric = |name| item.get("Metrics").and_then(|m| m.get(name)).and_then(Value::as_f64);
    Gauges { on_cores: metric("on_cores"), heap_share: metric("heap_share"), links: metric("links") }
}

/// Decodes one event into a call of the module.
pub fn feed(now: Us, kind: &str, item: &Value, instance: &mut Instance) -> Result<Outcome, Fault> {
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
                other => return Err(Fault(format!("StateCode {other} of Done is not known"))),
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
                other => return Err(Fault(format!("StateCode {other} of CallResult is not known"))),
            };
            control.call_ended(now, id(item, "Id")?, end)
        }
        "TerminateSoon" => control.drain(now, time(item, "NotAfterMs")?),
        "TimeoutFired" => control.woken(now, gauges(item)),
        other => return Err(Fault(format!("kind {other} is not known"))),
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
