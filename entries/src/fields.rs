//! The platform's JSON fields, read from any deserializer without a tree: known fields are kept as scalars, everything
//! else is passed over. What they mean is worked out afterwards, with refusals that name the field.

use crate::content::{check_method, check_name};
use crate::fault::{ConfigError, EntryKind};
use crate::frame::{GlobalSettings, UpstreamKind};
use crate::{
    Name, MAX_DURATION, MAX_FIGURE, MAX_GAUGES, MAX_MACHINE_LIMIT, MAX_METHODS, MEMORY_LIMIT_KEY,
    SOCKET_LIMIT_KEY,
};
use asterrill::{FeedbackMode, Idempotency, Method, StopMode, Us};
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt;

/// A value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    /// A list or an object.
    Deeper,
}

/// How strictly fields are read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reading {
    /// The platform's file: fields not known are passed over, and those of a wrong form where they may be absent and
    /// have no effect.
    #[default]
    File,
    /// A step, out of a text in memory: every field has to be known and well-formed, and numbers are read exactly.
    Step,
}

/// What is made of any JSON value.
pub trait Form: Sized {
    type Made;
    fn scalar<E: Error>(self, value: Scalar) -> Result<Self::Made, E>;
    fn list<'d, A: SeqAccess<'d>>(self, mut list: A) -> Result<Self::Made, A::Error> {
        while list.next_element::<IgnoredAny>()?.is_some() {}
        self.scalar(Scalar::Deeper)
    }
    fn object<'d, A: MapAccess<'d>>(self, mut object: A) -> Result<Self::Made, A::Error> {
        while object.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        self.scalar(Scalar::Deeper)
    }
}

/// Reads any value into a form.
pub struct Any<F>(pub F);

impl<'d, F: Form> DeserializeSeed<'d> for Any<F> {
    type Value = F::Made;
    fn deserialize<D: Deserializer<'d>>(self, from: D) -> Result<F::Made, D::Error> {
        from.deserialize_any(self)
    }
}

impl<'d, F: Form> Visitor<'d> for Any<F> {
    type Value = F::Made;
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }
    fn visit_unit<E: Error>(self) -> Result<F::Made, E> {
        self.0.scalar(Scalar::Null)
    }
    fn visit_bool<E: Error>(self, value: bool) -> Result<F::Made, E> {
        self.0.scalar(Scalar::Flag(value))
    }
    fn visit_u64<E: Error>(self, value: u64) -> Result<F::Made, E> {
        self.0.scalar(Scalar::Number(value as f64))
    }
    fn visit_i64<E: Error>(self, value: i64) -> Result<F::Made, E> {
        self.0.scalar(Scalar::Number(value as f64))
    }
    fn visit_f64<E: Error>(self, value: f64) -> Result<F::Made, E> {
        self.0.scalar(Scalar::Number(value))
    }
    fn visit_str<E: Error>(self, value: &str) -> Result<F::Made, E> {
        self.0.scalar(Scalar::Text(value.into()))
    }
    fn visit_string<E: Error>(self, value: String) -> Result<F::Made, E> {
        self.0.scalar(Scalar::Text(value))
    }
    fn visit_seq<A: SeqAccess<'d>>(self, list: A) -> Result<F::Made, A::Error> {
        self.0.list(list)
    }
    fn visit_map<A: MapAccess<'d>>(self, object: A) -> Result<F::Made, A::Error> {
        self.0.object(object)
    }
}

struct Plain;
impl Form for Plain {
    type Made = Scalar;
    fn scalar<E: Error>(self, value: Scalar) -> Result<Scalar, E> {
        Ok(value)
    }
}

impl<'d> DeserializeSeed<'d> for Reading {
    type Value = Scalar;
    fn deserialize<D: Deserializer<'d>>(self, from: D) -> Result<Scalar, D::Error> {
        match self {
            Reading::File => Any(Plain).deserialize(from),
            Reading::Step => {
                let text = <&RawValue>::deserialize(from)?.get();
                // The parser's own numbers may be off by the last bit; a step is to say what it said.
                let number = text.starts_with(|c: char| c == '-' || c.is_ascii_digit());
                match text.parse::<f64>().ok().filter(|n| number && n.is_finite()) {
                    Some(exact) => Ok(Scalar::Number(exact)),
                    None => Any(Plain).deserialize(&mut serde_json::Deserializer::from_str(text)),
                }
                .map_err(|e: serde_json::Error| D::Error::custom(e))
            }
        }
    }
}

/// Which of some names a key is.
struct Key<'n> {
    names: &'n [&'static str],
    reading: Reading,
}
impl<'d> DeserializeSeed<'d> for Key<'_> {
    type Value = Option<usize>;
    fn deserialize<D: Deserializer<'d>>(self, from: D) -> Result<Option<usize>, D::Error> {
        from.deserialize_str(self)
    }
}
impl Visitor<'_> for Key<'_> {
    type Value = Option<usize>;
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a key")
    }
    fn visit_str<E: Error>(self, key: &str) -> Result<Option<usize>, E> {
        let known = self.names.iter().position(|name| *name == key);
        if known.is_none() && self.reading == Reading::Step {
            let key = key.chars().take(64).collect();
            return Err(E::custom(ConfigError::UnknownField(key)));
        }
        Ok(known)
    }
}

/// Goes through an object: `each` reads the value of a known key, by its place among `names`; one that stands twice is
/// refused, as nobody could tell which of the two was meant.
///
/// # Errors
/// Of the deserializer, and of `each`.
pub fn walk<'d, A: MapAccess<'d>>(
    mut object: A, names: &[&'static str], reading: Reading,
    mut each: impl FnMut(usize, &mut A) -> Result<(), A::Error>,
) -> Result<(), A::Error> {
    let mut seen = 0_u64;
    while let Some(key) = object.next_key_seed(Key { names, reading })? {
        match key {
            None => drop(object.next_value::<IgnoredAny>()?),
            Some(place) => {
                if seen & 1 << place != 0 {
                    let name = names.get(place).copied().unwrap_or_default();
                    return Err(A::Error::custom(ConfigError::DuplicateField(name.into())));
                }
                seen |= 1 << place;
                each(place, &mut object)?;
            }
        }
    }
    Ok(())
}

/// The scalars of one object, by name.
#[derive(Clone, Debug)]
pub struct Fields {
    names: &'static [&'static str],
    values: Vec<Option<Scalar>>,
    reading: Reading,
}

impl Fields {
    /// For at most 64 names.
    pub fn new(names: &'static [&'static str], reading: Reading) -> Fields {
        Fields { names, values: vec![None; names.len()], reading }
    }
    fn put(&mut self, place: usize, value: Scalar) {
        if let Some(known) = self.values.get_mut(place) {
            *known = Some(value);
        }
    }
    /// Forgets what was read.
    pub fn clear(&mut self) {
        self.values.fill(None);
    }
    /// Reads the value of a key, by its place among the names.
    ///
    /// # Errors
    /// Of the deserializer.
    pub fn read<'d, A: MapAccess<'d>>(&mut self, place: usize, object: &mut A) -> Result<(), A::Error> {
        self.put(place, object.next_value_seed(self.reading)?);
        Ok(())
    }
    pub fn has(&self, name: &str) -> bool {
        self.given(name).is_some()
    }
    fn given(&self, name: &str) -> Option<&Scalar> {
        let place = self.names.iter().position(|known| *known == name)?;
        self.values.get(place)?.as_ref()
    }
    /// The value of a field; null is as good as absent.
    pub fn told(&self, name: &str) -> Option<&Scalar> {
        self.given(name).filter(|value| **value != Scalar::Null)
    }

    /// # Errors
    /// [`ConfigError::Field`]: it is absent, or no text.
    pub fn text(&self, name: &'static str) -> Result<&str, ConfigError> {
        match self.given(name) {
            Some(Scalar::Text(text)) => Ok(text),
            _ => Err(ConfigError::InvalidField(name)),
        }
    }
    /// Nothing where it is absent or null.
    ///
    /// # Errors
    /// [`ConfigError::Field`]: it is no number, or below zero.
    pub fn maybe(&self, name: &'static str) -> Result<Option<f64>, ConfigError> {
        match self.told(name) {
            None => Ok(None),
            // -0 is 0.
            Some(Scalar::Number(n)) if *n >= 0.0 => Ok(Some(*n + 0.0)),
            Some(_) => Err(ConfigError::InvalidField(name)),
        }
    }
    /// # Errors
    /// [`ConfigError::Field`]: it is absent, no number, or below zero.
    pub fn number(&self, name: &'static str) -> Result<f64, ConfigError> {
        self.maybe(name)?.ok_or(ConfigError::InvalidField(name))
    }
    /// # Errors
    /// As [`Fields::maybe`], and [`ConfigError::Bounds`] above [`MAX_FIGURE`].
    pub fn maybe_bounded(&self, name: &'static str) -> Result<Option<f64>, ConfigError> {
        match self.maybe(name)? {
            Some(value) if value > MAX_FIGURE => Err(ConfigError::OutOfBounds { key: name, value }),
            value => Ok(value),
        }
    }
    /// # Errors
    /// As [`Fields::number`], and [`ConfigError::Bounds`] above [`MAX_FIGURE`].
    pub fn bounded(&self, name: &'static str) -> Result<f64, ConfigError> {
        self.maybe_bounded(name)?.ok_or(ConfigError::InvalidField(name))
    }
    /// Told in milliseconds, in whole microseconds; more than 31 years are as much.
    ///
    /// # Errors
    /// As [`Fields::maybe`].
    pub fn maybe_time(&self, name: &'static str) -> Result<Option<Us>, ConfigError> {
        Ok(self.maybe(name)?.map(us))
    }
    /// # Errors
    /// As [`Fields::number`].
    pub fn time(&self, name: &'static str) -> Result<Us, ConfigError> {
        self.number(name).map(us)
    }
    /// Nothing where it is absent; a file may have any other form for "no".
    fn flag(&self, name: &'static str) -> Result<Option<bool>, ConfigError> {
        match (self.given(name), self.reading) {
            (Some(Scalar::Flag(value)), _) => Ok(Some(*value)),
            (None, _) => Ok(None),
            (Some(Scalar::Null), _) | (Some(_), Reading::File) => Ok(Some(false)),
            (Some(_), Reading::Step) => Err(ConfigError::InvalidField(name)),
        }
    }
    /// One of several words.
    fn choice<T: Copy>(&self, name: &'static str, words: &[(&str, T)]) -> Result<Option<T>, ConfigError> {
        if self.told(name).is_none() {
            return Ok(None);
        }
        let word = self.text(name)?;
        let found = words.iter().find(|(known, _)| *known == word);
        let odd = || ConfigError::UnknownWord { key: name, word: word.chars().take(64).collect() };
        found.map(|(_, meant)| Some(*meant)).ok_or_else(odd)
    }
}

/// Fills fields from an object, whatever they held before; hands back whether it was one.
impl Form for &mut Fields {
    type Made = bool;
    fn scalar<E: Error>(self, _: Scalar) -> Result<bool, E> {
        self.values.fill(None);
        Ok(false)
    }
    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        self.values.fill(None);
        let (names, reading) = (self.names, self.reading);
        walk(object, names, reading, |place, object| self.read(place, object))?;
        Ok(true)
    }
}

/// Milliseconds outside, whole microseconds inside.
pub fn us(ms: f64) -> Us {
    ((ms * 1000.0).round() as Us).min(MAX_DURATION)
}

pub(crate) const EFFECTS: [(&str, Idempotency); 3] = [
    ("free", Idempotency::Idempotent),
    ("guarded", Idempotency::Keyed),
    ("single_shot", Idempotency::NonIdempotent),
];
pub(crate) const TIERS: [(&str, UpstreamKind); 3] =
    [("off", UpstreamKind::None), ("shared", UpstreamKind::Shared), ("tier", UpstreamKind::Tier)];
pub(crate) const STOPS: [(&str, StopMode); 3] =
    [("off", StopMode::Off), ("abort", StopMode::Abort), ("suspend", StopMode::Suspend)];
pub(crate) const SAYS: [(&str, FeedbackMode); 4] = [
    ("off", FeedbackMode::Off),
    ("window", FeedbackMode::Credit),
    ("threshold", FeedbackMode::Threshold),
    ("share_of", FeedbackMode::AcceptProbability),
];

/// The fields of a method; `SkipWorth` stands here in steps only, the platform's file lists it in `FamilyInfo`.
pub const METHOD: &[&str] =
    &["Name", "AimMs", "DeadlineMs", "Effect", "Worth", "LateWorth", "WindowMs", "SkipWorth"];
/// The fields of a tenant.
pub const TENANT: &[&str] = &["Name", "QuotaRps"];

impl Fields {
    /// The name of an entry.
    ///
    /// # Errors
    /// [`ConfigError`]: it is absent, or no name.
    pub fn name(&self, kind: EntryKind) -> Result<&str, ConfigError> {
        let name = self.text("Name")?;
        check_name(kind, name)?;
        Ok(name)
    }
    /// The figures of a method; `skip_value_ratio` where its fields don't tell.
    ///
    /// # Errors
    /// [`ConfigError`] names the field that is absent, of the wrong form or out of bounds.
    pub fn method(&self, skip_value_ratio: f64) -> Result<Method, ConfigError> {
        let word = self.text("Effect")?;
        let effect = EFFECTS.iter().find(|(known, _)| *known == word).map(|(_, effect)| *effect);
        let method = Method {
            latency_target: self.time("AimMs")?,
            deadline: self.time("DeadlineMs")?,
            idempotency: effect.ok_or_else(|| ConfigError::UnknownWord {
                key: "Effect",
                word: word.chars().take(64).collect(),
            })?,
            criticality: self.bounded("Worth")?,
            late_value_ratio: self.maybe_bounded("LateWorth")?.unwrap_or(0.0),
            idempotency_window: self.maybe_time("WindowMs")?.unwrap_or(0),
            skip_value_ratio: self.maybe_bounded("SkipWorth")?.unwrap_or(skip_value_ratio),
        };
        check_method(&method)?;
        Ok(method)
    }
    /// The quota of a tenant, RPCs a second over the whole fleet; 0 is one.
    ///
    /// # Errors
    /// [`ConfigError`]: it is absent, of the wrong form or out of bounds.
    pub fn quota(&self) -> Result<f64, ConfigError> {
        self.bounded("QuotaRps")
    }
}

const FAMILY: &[&str] = &[
    "NCores",
    "RamKb",
    "RunFactor",
    "KbPerKey",
    "Below",
    "CallShare",
    "DepWindowMs",
    "LingerMs",
    "Say",
    "StopMode",
    "FreshMs",
    "IdleMs",
    "Callers",
    "Cold",
    "Gauges",
    "ClassSkipWorth",
];
const GAUGE_PLACE: usize = 14;
const SKIP_PLACE: usize = 15;
const SAFETY: &[&str] = &["TipMultiple", "ColdFrom", "RampTimeMs", "StopSendingWithinMs"];
const CALLERS: &[&str] = &["RetryAfter", "MaxRetryAfterMs"];
const TOP: &[&str] = &["StepMs", "ReplicasOfMe", "OverShareWorth"];
const GRANTED: &[&str] = &["memory_mb", "sockets"];

/// The keys of the platform's settings that belong to the frame.
pub const SETTINGS: &[&str] =
    &["FamilyInfo", "Safety", "Limits", "StepMs", "ReplicasOfMe", "OverShareWorth", "Categories", "Tenants"];

/// A frame as it was told, whole or in part.
#[derive(Clone, Debug)]
pub struct FrameFields {
    reading: Reading,
    family: Fields,
    gauges: Option<Vec<Name>>,
    /// `FamilyInfo.ClassSkipWorth`: of each method of the list, in order.
    pub skips: Vec<f64>,
    safety: Fields,
    limits: Fields,
    top: Fields,
    machine: Fields,
    /// Which of the objects were there.
    there: [bool; 4],
}

const OBJECTS: [&str; 4] = ["FamilyInfo", "Safety", "Limits", "limits"];

impl FrameFields {
    pub fn new(reading: Reading) -> FrameFields {
        let fields = |names| Fields::new(names, reading);
        FrameFields {
            reading,
            family: fields(FAMILY),
            gauges: None,
            skips: Vec::new(),
            safety: fields(SAFETY),
            limits: fields(CALLERS),
            top: fields(TOP),
            machine: fields(GRANTED),
            there: [false; 4],
        }
    }

    /// Reads the value of one key of the settings, by its place in [`SETTINGS`].
    ///
    /// # Errors
    /// Of the deserializer.
    pub fn read<'d, A: MapAccess<'d>>(&mut self, place: usize, object: &mut A) -> Result<(), A::Error> {
        let found = match place {
            0 => {
                let lists = Family(&mut self.family, &mut self.gauges, &mut self.skips);
                object.next_value_seed(Any(lists))?
            }
            1 => object.next_value_seed(Any(&mut self.safety))?,
            2 => object.next_value_seed(Any(&mut self.limits))?,
            _ => return self.top.read(place.saturating_sub(3), object),
        };
        self.found(place, found).map(drop)
    }

    /// Keeps, and hands back, whether there was an object.
    fn found<E: Error>(&mut self, place: usize, object: bool) -> Result<bool, E> {
        let part = OBJECTS.get(place).copied().unwrap_or_default();
        if !object && self.reading == Reading::Step {
            return Err(E::custom(ConfigError::InvalidField(part)));
        }
        self.there.get_mut(place).into_iter().for_each(|there| *there = object);
        Ok(object)
    }

    /// Reads what the deployment grants, `memory_mb` and `sockets`; hands back whether there was an object.
    ///
    /// # Errors
    /// Of the deserializer.
    pub fn read_machine<'d, A: MapAccess<'d>>(&mut self, object: &mut A) -> Result<bool, A::Error> {
        let found = object.next_value_seed(Any(&mut self.machine))?;
        self.found(3, found)
    }

    /// What the deployment grants, in megabytes and descriptors; what is not told stays, and 0 stands where nobody ever
    /// told.
    fn granted(&self, memory_mb: u64, sockets: u64) -> Result<(u64, u64), ConfigError> {
        let granted = |field: &'static str, key, before| match self.machine.maybe(field) {
            Err(_) => Err(ConfigError::InvalidField(key)),
            Ok(Some(value)) if (1.0..=MAX_MACHINE_LIMIT).contains(&value) => Ok(value),
            Ok(Some(value)) => Err(ConfigError::OutOfBounds { key, value }),
            Ok(None) if before > 0 && self.machine.has(field) => Err(ConfigError::InvalidField(key)),
            Ok(None) => Ok(before as f64),
        };
        let memory = granted("memory_mb", MEMORY_LIMIT_KEY, memory_mb)?;
        let sockets = granted("sockets", SOCKET_LIMIT_KEY, sockets)?;
        if sockets.fract() != 0.0 {
            return Err(ConfigError::InvalidField(SOCKET_LIMIT_KEY));
        }
        Ok((memory as u64, sockets as u64))
    }

    /// The frame: what is not told stays as it is in `on`, or has its default where there is none.
    ///
    /// # Errors
    /// [`ConfigError`] names the field that is needed and absent, of the wrong form or out of bounds.
    pub fn frame(&self, on: Option<&GlobalSettings>) -> Result<GlobalSettings, ConfigError> {
        if on.is_none() {
            let parts = OBJECTS.iter().zip(self.there).take(3);
            if let Some((part, _)) = parts.into_iter().find(|(_, there)| !there) {
                return Err(ConfigError::InvalidField(part));
            }
        }
        let (family, safety, limits, top) = (&self.family, &self.safety, &self.limits, &self.top);
        let before = on.cloned().unwrap_or_default();
        let told = |fields: &Fields, key| fields.given(key).is_some() || on.is_none();
        // Needed: there is no default for it.
        let number = |fields: &Fields, key, before| match told(fields, key) {
            true => fields.number(key),
            false => Ok(before),
        };
        let time = |fields: &Fields, key, before| match told(fields, key) {
            true => fields.time(key),
            false => Ok(before),
        };
        let maybe = |fields: &Fields, key, before, default| match told(fields, key) {
            true => Ok(fields.maybe_bounded(key)?.unwrap_or(default)),
            false => Ok(before),
        };
        let maybe_time = |fields: &Fields, key, before| match told(fields, key) {
            true => Ok(fields.maybe_time(key)?.unwrap_or(0)),
            false => Ok(before),
        };
        // A file may give any form of what has no effect.
        let idle = |read: Result<Option<f64>, ConfigError>, needed: bool| match read {
            Err(_) if !needed && self.reading == Reading::File => Ok(None),
            read => read,
        };
        let choice_told = |key| told(family, key);
        let below = match choice_told("Below") {
            true => family.choice("Below", &TIERS)?.unwrap_or_default(),
            false => before.upstream,
        };
        let shared = below == UpstreamKind::Shared;
        let cold = match told(family, "Cold") {
            true => family.flag("Cold")?.unwrap_or(false),
            false => before.cold_start,
        };
        let retry_after = match told(limits, "RetryAfter") {
            true => limits.flag("RetryAfter")?.unwrap_or(false),
            false => before.retry_after,
        };
        let cores = match told(family, "NCores") {
            true => {
                let cores = family.bounded("NCores")?;
                if cores.fract() != 0.0 {
                    return Err(ConfigError::InvalidField("NCores"));
                }
                cores as u64
            }
            false => before.cores,
        };
        let (memory_mb, sockets) = self.granted(before.memory_mb, before.sockets)?;
        let frame = GlobalSettings {
            cores,
            ram_kb: number(family, "RamKb", before.ram_kb)?,
            run_factor: maybe(family, "RunFactor", before.run_factor, 1.0)?,
            kb_per_key: maybe(family, "KbPerKey", before.kb_per_key, 0.0)?,
            upstream: below,
            upstream_call_quota: match told(family, "CallShare") {
                true => idle(family.maybe_bounded("CallShare"), shared)?,
                false => before.upstream_call_quota,
            },
            upstream_call_window: match told(family, "DepWindowMs") {
                true => idle(family.maybe("DepWindowMs"), shared)?.map(us),
                false => before.upstream_call_window,
            },
            abandoned_call_linger: maybe_time(family, "LingerMs", before.abandoned_call_linger)?,
            load_report: match choice_told("Say") {
                true => family.choice("Say", &SAYS)?.unwrap_or(FeedbackMode::Off),
                false => before.load_report,
            },
            stop_mode: match choice_told("StopMode") {
                true => family.choice("StopMode", &STOPS)?.unwrap_or(StopMode::Off),
                false => before.stop_mode,
            },
            response_ttl: maybe_time(family, "FreshMs", before.response_ttl)?,
            idle_timeout: maybe_time(family, "IdleMs", before.idle_timeout)?,
            callers: maybe(family, "Callers", before.callers as f64, 1.0)? as u64,
            cold_start: cold,
            gauges: self.gauges.clone().unwrap_or(before.gauges),
            max_running_per_core: match told(safety, "TipMultiple") {
                true => safety.bounded("TipMultiple")?,
                false => before.max_running_per_core,
            },
            slow_start_from: match told(safety, "ColdFrom") {
                true => idle(safety.maybe_bounded("ColdFrom"), cold)?,
                false => before.slow_start_from,
            },
            slow_start_duration: time(safety, "RampTimeMs", before.slow_start_duration)?,
            health_propagation_delay: time(safety, "StopSendingWithinMs", before.health_propagation_delay)?,
            retry_after,
            max_retry_after: match told(limits, "MaxRetryAfterMs") {
                true => idle(limits.maybe("MaxRetryAfterMs"), retry_after)?.map_or(0, us),
                false => before.max_retry_after,
            },
            min_event_interval: maybe_time(top, "StepMs", before.min_event_interval)?,
            replicas: maybe(top, "ReplicasOfMe", before.replicas as f64, 1.0)? as u64,
            over_quota_weight: maybe(top, "OverShareWorth", before.over_quota_weight, 1.0)?,
            memory_mb,
            sockets,
        };
        frame.check()?;
        Ok(frame)
    }
}

/// `FamilyInfo`: scalars and two lists.
struct Family<'f>(&'f mut Fields, &'f mut Option<Vec<Name>>, &'f mut Vec<f64>);

impl Form for Family<'_> {
    type Made = bool;
    fn scalar<E: Error>(self, _: Scalar) -> Result<bool, E> {
        Ok(false)
    }
    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        let Family(fields, gauges, skips) = self;
        let reading = fields.reading;
        walk(object, FAMILY, reading, |place, object| {
            match place {
                GAUGE_PLACE => *gauges = Some(object.next_value_seed(Any(Gauges(reading)))?),
                SKIP_PLACE if reading == Reading::File => *skips = object.next_value_seed(Any(Skips))?,
                SKIP_PLACE => {
                    return Err(A::Error::custom(ConfigError::UnknownField("ClassSkipWorth".into())))
                }
                _ => fields.put(place, object.next_value_seed(reading)?),
            }
            Ok(())
        })?;
        Ok(true)
    }
}

/// Names of gauges; what is no text is passed over in a file.
struct Gauges(Reading);

impl Form for Gauges {
    type Made = Vec<Name>;
    fn scalar<E: Error>(self, value: Scalar) -> Result<Vec<Name>, E> {
        match self.0 {
            Reading::Step if value != Scalar::Null => Err(E::custom(ConfigError::InvalidField("Gauges"))),
            _ => Ok(Vec::new()),
        }
    }
    fn list<'d, A: SeqAccess<'d>>(self, mut list: A) -> Result<Vec<Name>, A::Error> {
        let mut names: Vec<Name> = Vec::new();
        while let Some(value) = list.next_element_seed(Any(Plain))? {
            match value {
                Scalar::Text(name) => names.push(name.into()),
                _ if self.0 == Reading::Step => {
                    return Err(A::Error::custom(ConfigError::InvalidField("Gauges")))
                }
                _ => {}
            }
            if names.len() > MAX_GAUGES {
                let many = ConfigError::TooManyEntries { list: "Gauges", bound: "GAUGES", most: MAX_GAUGES };
                return Err(A::Error::custom(many));
            }
        }
        Ok(names)
    }
}

/// A share for each method, in order; what is no number is none.
struct Skips;

impl Form for Skips {
    type Made = Vec<f64>;
    fn scalar<E: Error>(self, _: Scalar) -> Result<Vec<f64>, E> {
        Ok(Vec::new())
    }
    fn list<'d, A: SeqAccess<'d>>(self, mut list: A) -> Result<Vec<f64>, A::Error> {
        let mut shares = Vec::new();
        while let Some(value) = list.next_element_seed(Any(Plain))? {
            // There are no methods beyond the bound; what is listed for them is passed over.
            if shares.len() < MAX_METHODS {
                let share = if let Scalar::Number(n) = value { n.clamp(0.0, MAX_FIGURE) + 0.0 } else { 0.0 };
                shares.push(share);
            }
        }
        Ok(shares)
    }
}
