//! The operators' settings, read out of the platform's JSON and made into the parts of the decision module. No decision is
//! taken here.

mod deployment;
mod lists;

pub use asterrill_entries::fields::us;
pub use deployment::{read, read_from, Deployment, FILE};

use asterrill::{Accounts, Calls, Control, Credit, Drain, Effect, Keys, Memory, Say, Shares, Target, Us};
use asterrill_entries::fields::Any;
use asterrill_entries::{Content, Frame, Method, Name, Refused};
use lists::{fault, Lists, Told};
use serde::de::DeserializeSeed;
use serde_json::Value;
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

impl From<Refused> for Fault {
    fn from(refused: Refused) -> Fault {
        Fault(refused.to_string())
    }
}

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

/// The module of one server, with the names for what it numbers and what its surroundings need to know.
pub struct Server {
    pub control: Control,
    /// By `MethodId`.
    pub methods: Vec<Name>,
    /// By place.
    pub tenants: Vec<Name>,
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

/// The parts of a server that its frame makes, without methods and tenants: what a change of the frame puts in place.
pub struct Bare {
    pub control: Control,
    /// The longest deadline of any method.
    pub longest: Us,
    pub cores: f64,
    pub credit: bool,
    pub gauges: Vec<String>,
    pub fresh: Us,
    pub step: Us,
}

/// A server of a whole version, methods and tenants in the order of their names. `cold` is whether it has only just been
/// started; left out, the settings tell.
///
/// # Errors
/// It is to be cold and the version does not tell how, or has no method.
pub fn server(now: Us, seed: u64, content: &Content, cold: Option<bool>) -> Result<Server, Fault> {
    let methods = content.methods().map(|(name, method)| (name.clone(), method.clone())).collect();
    let tenants = content.tenants().map(|(name, rate)| (name.clone(), rate)).collect();
    make(now, seed, content.frame(), methods, tenants, cold)
}

/// The same of the platform's settings, methods and tenants in the order of their lists.
///
/// # Errors
/// The message names the key at fault.
pub fn server_of(now: Us, seed: u64, params: &Value, cold: Option<bool>) -> Result<Server, Fault> {
    let Told { frame, methods, tenants } = told(params)?;
    // Two of one name are found where they are put in order.
    Content::whole(None, frame.clone(), methods.clone(), tenants.clone())?;
    make(now, seed, &frame, methods, tenants, cold)
}

/// The version that the platform's settings make, with what the deployment grants.
///
/// # Errors
/// The message names the key at fault.
pub fn content_of(params: &Value, memory_mb: u64, sockets: u64) -> Result<Content, Fault> {
    let Told { frame, methods, tenants } = told(params)?;
    Ok(Content::whole(None, Frame { memory_mb, sockets, ..frame }, methods, tenants)?)
}

fn told(params: &Value) -> Result<Told, Fault> {
    let mut lists = Lists::new(None);
    Any(&mut lists).deserialize(params).map_err(fault)?;
    lists.told()
}

/// What the frame of a version makes, for a change of it; the module's shortest target and longest deadline are those of
/// the version's methods.
///
/// # Errors
/// The frame is cold and does not tell how.
pub fn frame(now: Us, seed: u64, content: &Content) -> Result<Bare, Fault> {
    let (frame, methods) = (content.frame(), || content.methods().map(|(_, method)| method));
    let shortest = methods().map(|m| m.latency_target).min().unwrap_or(1);
    let longest = methods().map(|m| m.deadline).max().unwrap_or(0);
    Ok(Bare {
        control: control(now, seed, frame, shortest, Vec::new(), &[], None)?,
        longest,
        cores: frame.cores as f64,
        credit: frame.say == Say::Credit,
        gauges: gauges(frame),
        fresh: frame.fresh,
        step: frame.step,
    })
}

fn gauges(frame: &Frame) -> Vec<String> {
    frame.gauges.iter().map(|name| name.to_string()).collect()
}

/// Each part of the module gets its own few figures.
fn control(
    now: Us, seed: u64, frame: &Frame, shortest: Us, methods: Vec<Method>, rates: &[f64], cold: Option<bool>,
) -> Result<Control, Fault> {
    let cores = frame.cores as usize;
    let cold = frame.opens_at(cold.unwrap_or(frame.cold))?;
    let relayed = if frame.retry_after { frame.max_retry_after } else { 0 };
    Ok(Control::new(
        now,
        seed,
        frame.step,
        frame.stop_mode,
        methods,
        Accounts::new(shortest, frame.callers as usize),
        Target::new(now, cores, frame.tip, cold, frame.ramp),
        Calls::new(frame.below()?, cores, frame.linger, shortest),
        Keys::new(frame.kb_per_key, frame.fresh),
        Memory::new(frame.ram_kb, frame.run_factor),
        Drain::new(frame.heed),
        Credit::new(frame.say, relayed, shortest, frame.idle),
        Shares::new(rates, frame.replicas as usize, frame.over_share),
    ))
}

fn make(
    now: Us, seed: u64, frame: &Frame, methods: Vec<(Name, Method)>, tenants: Vec<(Name, f64)>,
    cold: Option<bool>,
) -> Result<Server, Fault> {
    let (names, methods): (Vec<Name>, Vec<Method>) = methods.into_iter().unzip();
    let (tenants, rates): (Vec<Name>, Vec<f64>) = tenants.into_iter().unzip();
    let shortest =
        methods.iter().map(|m| m.latency_target).min().ok_or_else(|| Fault::missing("Categories"))?;
    let effects: Vec<Effect> = methods.iter().map(|m| m.effect).collect();
    let targets = methods.iter().map(|m| m.latency_target).collect();
    let longest = methods.iter().map(|m| m.deadline).max().unwrap_or(0);
    let shares = effects.iter().map(|effect| *effect == Effect::Idempotent).collect();
    Ok(Server {
        control: control(now, seed, frame, shortest, methods, &rates, cold)?,
        methods: names,
        tenants,
        effects,
        targets,
        longest,
        cores: frame.cores as f64,
        credit: frame.say == Say::Credit,
        gauges: gauges(frame),
        shares,
        fresh: frame.fresh,
        step: frame.step,
    })
}
