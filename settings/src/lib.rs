//! The operators' settings, as JSON, made into the parts of the decision module. No decision is taken here.

mod deployment;

pub use deployment::{read, Deployment};

use asterrill::{
    Accounts, Below, Calls, Control, Credit, Drain, Effect, Keys, Memory, Method, MethodId, Say, Shares,
    StopMode, Target, Us,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// What is wrong with a value: a plain message that names it.
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

impl std::error::Error for Fault {}

impl From<std::io::Error> for Fault {
    fn from(e: std::io::Error) -> Fault {
        Fault(e.to_string())
    }
}

pub fn text<'a>(v: &'a Value, name: &str) -> Result<&'a str, Fault> {
    v.get(name).and_then(Value::as_str).ok_or_else(|| Fault::missing(name))
}

pub fn integer(v: &Value, name: &str) -> Result<u64, Fault> {
    v.get(name).and_then(whole).ok_or_else(|| Fault::missing(name))
}

pub fn whole(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| v.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64))
}

pub fn number(v: &Value, name: &str) -> Result<f64, Fault> {
    let n = v.get(name).and_then(Value::as_f64).filter(|n| *n >= 0.0);
    n.ok_or_else(|| Fault::missing(name))
}

/// A number that may be absent, null included; one of a wrong form is a fault.
pub fn maybe(v: &Value, name: &str) -> Result<Option<f64>, Fault> {
    match v.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(_) => number(v, name).map(Some),
    }
}

pub fn flag(v: &Value, name: &str) -> bool {
    v.get(name).and_then(Value::as_bool).unwrap_or(false)
}

/// Longer spans are taken for this one, 31 years: sums of them and of moments stay far from their type's end.
const LONGEST: Us = 1_000_000_000_000_000;
/// Greater numbers of cores, servers and callers, and greater worths and rates, are refused.
const GREATEST: f64 = 1e9;

pub fn us(ms: f64) -> Us {
    ((ms * 1000.0).round() as Us).min(LONGEST)
}

/// A number within bounds that no deployment comes near.
fn bounded(v: &Value, name: &str) -> Result<f64, Fault> {
    let n = number(v, name)?;
    if n > GREATEST {
        return Err(Fault(format!("field {name} is out of bounds: {n}")));
    }
    Ok(n)
}
fn maybe_bounded(v: &Value, name: &str) -> Result<Option<f64>, Fault> {
    match v.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(_) => bounded(v, name).map(Some),
    }
}

/// One of several words; the first of them where nothing is told.
fn choice<T: Copy>(v: &Value, name: &str, words: &[(&str, T)]) -> Result<T, Fault> {
    let word = match v.get(name) {
        None | Some(Value::Null) => None,
        Some(_) => Some(text(v, name)?),
    };
    let found = words.iter().find(|(known, _)| word.is_none_or(|word| word == *known));
    found.map(|(_, t)| *t).ok_or_else(|| Fault(format!("{name} {} is not known", word.unwrap_or_default())))
}

/// The name of a method, which stands as a word in lines to the agent, or of a tenant; either comes in frames.
fn name(v: &Value, word: bool) -> Result<&str, Fault> {
    let name = text(v, "Name")?;
    let odd = |c: char| c.is_control() || word && c.is_whitespace();
    if name.is_empty() || name.len() > NAME || name.chars().any(odd) {
        let blanks = if word { ", without blanks" } else { "" };
        return Err(Fault(format!("Name {name:?} has to be text of 1 to {NAME} bytes{blanks}")));
    }
    Ok(name)
}
const NAME: usize = 128;

/// Milliseconds outside, whole microseconds inside.
pub fn time(v: &Value, name: &str) -> Result<Us, Fault> {
    number(v, name).map(us)
}

pub fn maybe_time(v: &Value, name: &str) -> Result<Us, Fault> {
    Ok(us(maybe(v, name)?.unwrap_or(0.0)))
}

pub fn part<'a>(v: &'a Value, name: &str) -> Result<&'a Value, Fault> {
    v.get(name).filter(|p| p.is_object()).ok_or_else(|| Fault::missing(name))
}

fn list<'a>(v: &'a Value, name: &str) -> &'a [Value] {
    v.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
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
        criticality: bounded(category, "Worth")?,
        late_share: maybe_bounded(category, "LateWorth")?.unwrap_or(0.0),
        window: maybe_time(category, "WindowMs")?,
        skip_share,
    })
}

/// The module of one server, with the names for what it numbers and what its surroundings need to know.
pub struct Server {
    pub control: Control,
    pub methods: BTreeMap<String, MethodId>,
    pub tenants: BTreeMap<String, usize>,
    /// Of each method, in order.
    pub effects: Vec<Effect>,
    /// Of each method, in order, in microseconds.
    pub targets: Vec<Us>,
    /// The longest deadline of any method.
    pub longest: Us,
    pub cores: f64,
    /// The number published is what each caller may have outstanding.
    pub credit: bool,
    /// The names of the gauges, in their order.
    pub gauges: Vec<String>,
    /// Of each method, in order: an idempotent RPC may share the answer of another.
    pub shares: Vec<bool>,
    /// How long a read's answer may serve others, 0 for never.
    pub fresh: Us,
    /// The least time between two inputs of the module.
    pub step: Us,
}

/// Makes a server from its settings: each part gets its own few figures. `cold` is whether it has only just
/// been started; left out, the settings tell.
pub fn server(now: Us, seed: u64, params: &Value, cold: Option<bool>) -> Result<Server, Fault> {
    let (family, safety, limits) =
        (part(params, "FamilyInfo")?, part(params, "Safety")?, part(params, "Limits")?);
    let categories = params.get("Categories").and_then(Value::as_array).filter(|c| !c.is_empty());
    let categories = categories.ok_or_else(|| Fault::missing("Categories"))?;
    let skips = list(family, "ClassSkipWorth");
    let (mut methods, mut names) = (Vec::new(), BTreeMap::new());
    for (i, category) in categories.iter().enumerate() {
        methods.push(method(
            category,
            skips.get(i).and_then(Value::as_f64).unwrap_or(0.0).clamp(0.0, GREATEST),
        )?);
        let name = name(category, true)?;
        if names.insert(name.to_string(), MethodId(i)).is_some() {
            return Err(Fault(format!("Name {name} stands twice in Categories")));
        }
    }
    let (mut rates, mut tenants) = (Vec::new(), BTreeMap::new());
    for (i, tenant) in list(params, "Tenants").iter().enumerate() {
        rates.push(bounded(tenant, "QuotaRps")?);
        let name = name(tenant, false)?;
        if tenants.insert(name.to_string(), i).is_some() {
            return Err(Fault(format!("Name {name} stands twice in Tenants")));
        }
    }
    let below = match choice(family, "Below", &[("off", "off"), ("shared", "shared"), ("tier", "tier")])? {
        "shared" => {
            Below::Shared { share: bounded(family, "CallShare")?, window: time(family, "DepWindowMs")? }
        }
        "tier" => Below::Tier,
        _ => Below::Nothing,
    };
    let modes = [("off", StopMode::Off), ("abort", StopMode::Abort), ("suspend", StopMode::Suspend)];
    let stop_mode = choice(family, "StopMode", &modes)?;
    let says = [
        ("off", Say::Off),
        ("window", Say::Credit),
        ("threshold", Say::Threshold),
        ("share_of", Say::ShareOf),
    ];
    let say = choice(family, "Say", &says)?;
    let cores = bounded(family, "NCores").and(integer(family, "NCores"))? as usize;
    let cold = cold.unwrap_or_else(|| flag(family, "Cold"));
    let cold = if cold { bounded(safety, "ColdFrom")?.min(1.0) } else { 1.0 };
    let shortest = methods.iter().map(|m| m.latency_target).min().unwrap_or(1);
    let relayed = if flag(limits, "RetryAfter") { maybe_time(limits, "MaxRetryAfterMs")? } else { 0 };
    let callers = maybe_bounded(family, "Callers")?.unwrap_or(1.0) as usize;
    let replicas = maybe_bounded(params, "ReplicasOfMe")?.unwrap_or(1.0) as usize;
    let factor = maybe_bounded(family, "RunFactor")?.unwrap_or(1.0);
    let over = maybe_bounded(params, "OverShareWorth")?.unwrap_or(1.0);
    let (fresh, step) = (maybe_time(family, "FreshMs")?, maybe_time(params, "StepMs")?);
    let gauges = list(family, "Gauges").iter().filter_map(Value::as_str).map(str::to_string).collect();
    let effects: Vec<Effect> = methods.iter().map(|m| m.effect).collect();
    let targets = methods.iter().map(|m| m.latency_target).collect();
    let longest = methods.iter().map(|m| m.deadline).max().unwrap_or(0);
    let shares = effects.iter().map(|effect| *effect == Effect::Idempotent).collect();
    let control = Control::new(
        now,
        seed,
        step,
        stop_mode,
        methods,
        Accounts::new(shortest, callers),
        Target::new(now, cores, bounded(safety, "TipMultiple")?, cold, time(safety, "RampTimeMs")?),
        Calls::new(below, cores, maybe_time(family, "LingerMs")?, shortest),
        Keys::new(maybe_bounded(family, "KbPerKey")?.unwrap_or(0.0), fresh),
        Memory::new(number(family, "RamKb")?, factor),
        Drain::new(time(safety, "StopSendingWithinMs")?),
        Credit::new(say, relayed, shortest, maybe_time(family, "IdleMs")?),
        Shares::new(&rates, replicas, over),
    );
    let (cores, credit) = (cores as f64, say == Say::Credit);
    Ok(Server {
        control,
        methods: names,
        tenants,
        effects,
        targets,
        longest,
        cores,
        credit,
        gauges,
        shares,
        fresh,
        step,
    })
}
