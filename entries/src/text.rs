//! Steps and whole versions as text: one entry a line, each a JSON object in the platform's own field names.

use crate::content::{Change, Configuration, Digest};
use crate::fault::{ConfigError, EntryKind, StepError};
use crate::fields::{
    walk, Any, Fields, Form, FrameFields, Reading, Scalar, EFFECTS, METHOD, SAYS, STOPS, TENANT, TIERS,
};
use crate::frame::GlobalSettings;
use crate::MAX_CHANGES;
use asterrill::{Method, Us};
use serde::de::{Error, MapAccess};
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

/// What leads from one version to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// The number of the version that it was made from; none for whichever runs.
    pub base: Option<u64>,
    /// The digest of that version; none where that does not matter.
    pub hash: Option<Digest>,
    pub changes: Vec<Change>,
}

/// All that a line may hold.
const LINE: &[&str] = &[
    "put",
    "take",
    "Name",
    "AimMs",
    "DeadlineMs",
    "Effect",
    "Worth",
    "LateWorth",
    "WindowMs",
    "SkipWorth",
    "QuotaRps",
    "base",
    "hash",
    "frame",
];
const FRAME: &[&str] =
    &["FamilyInfo", "Safety", "Limits", "StepMs", "ReplicasOfMe", "OverShareWorth", "limits"];
const BASE: f64 = 9_007_199_254_740_992.0; // versions beyond it can't be told apart in JSON

/// A number as JSON, in full: read exactly, it is the same.
struct Number(f64);

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n == 0.0 || (1e-5..1e16).contains(&n.abs()) => write!(f, "{n}"),
            n => write!(f, "{n:?}"),
        }
    }
}

struct Maybe<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for Maybe<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("null"),
        }
    }
}

fn ms(us: Us) -> Number {
    Number(us as f64 / 1000.0)
}

/// Text as JSON.
struct Quoted<'t>(&'t str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&serde_json::to_string(self.0).map_err(|_| fmt::Error)?)
    }
}

fn word<T: PartialEq>(words: &[(&'static str, T)], meant: T) -> &'static str {
    words.iter().find(|(_, known)| *known == meant).map_or("", |(word, _)| word)
}

/// A frame in full, as it stands in a step: what is not told is null.
pub(crate) fn frame_text(f: &GlobalSettings) -> String {
    let gauges: Vec<String> = f.gauges.iter().map(|gauge| Quoted(gauge).to_string()).collect();
    let granted = |n: u64| Maybe((n > 0).then_some(n));
    let family = format!(
        r#""NCores":{},"RamKb":{},"RunFactor":{},"KbPerKey":{},"Below":"{}","CallShare":{},"DepWindowMs":{},"LingerMs":{},"Say":"{}","StopMode":"{}","FreshMs":{},"IdleMs":{},"Callers":{},"Cold":{},"Gauges":[{}]"#,
        f.cores,
        Number(f.ram_kb),
        Number(f.run_factor),
        Number(f.kb_per_key),
        word(&TIERS, f.upstream),
        Maybe(f.upstream_call_quota.map(Number)),
        Maybe(f.upstream_call_window.map(ms)),
        ms(f.abandoned_call_linger),
        word(&SAYS, f.load_report),
        word(&STOPS, f.stop_mode),
        ms(f.response_ttl),
        ms(f.idle_timeout),
        f.callers,
        f.cold_start,
        gauges.join(","),
    );
    let safety = format!(
        r#""TipMultiple":{},"ColdFrom":{},"RampTimeMs":{},"StopSendingWithinMs":{}"#,
        Number(f.max_running_per_core),
        Maybe(f.slow_start_from.map(Number)),
        ms(f.slow_start_duration),
        ms(f.health_propagation_delay),
    );
    let (limits, step) = (ms(f.max_retry_after), ms(f.min_event_interval));
    let (memory, sockets) = (granted(f.memory_mb), granted(f.sockets));
    let (retry, replicas, over) = (f.retry_after, f.replicas, Number(f.over_quota_weight));
    format!(
        r#"{{"FamilyInfo":{{{family}}},"Safety":{{{safety}}},"Limits":{{"RetryAfter":{retry},"MaxRetryAfterMs":{limits}}},"StepMs":{step},"ReplicasOfMe":{replicas},"OverShareWorth":{over},"limits":{{"memory_mb":{memory},"sockets":{sockets}}}}}"#
    )
}

fn write_method(name: &str, m: &Method, to: &mut dyn fmt::Write) -> fmt::Result {
    writeln!(
        to,
        r#"{{"put":"method","Name":{},"AimMs":{},"DeadlineMs":{},"Effect":"{}","Worth":{},"LateWorth":{},"WindowMs":{},"SkipWorth":{}}}"#,
        Quoted(name),
        ms(m.latency_target),
        ms(m.deadline),
        word(&EFFECTS, m.idempotency),
        Number(m.criticality),
        Number(m.late_value_ratio),
        ms(m.idempotency_window),
        Number(m.skip_value_ratio),
    )
}

fn write_change(change: &Change, to: &mut dyn fmt::Write) -> fmt::Result {
    match change {
        Change::SetGlobals(frame) => writeln!(to, r#"{{"frame":{}}}"#, frame_text(frame)),
        Change::PutMethod(name, method) => write_method(name, method, to),
        Change::PutTenant(name, rate) => {
            writeln!(to, r#"{{"put":"tenant","Name":{},"QuotaRps":{}}}"#, Quoted(name), Number(*rate))
        }
        Change::RemoveMethod(name) => writeln!(to, r#"{{"take":"method","Name":{}}}"#, Quoted(name)),
        Change::RemoveTenant(name) => writeln!(to, r#"{{"take":"tenant","Name":{}}}"#, Quoted(name)),
    }
}

/// A step as text: what [`read_step`] makes the same step of.
pub fn write_step(step: &Step) -> String {
    let mut text = String::new();
    if step.base.is_some() || step.hash.is_some() {
        let base = step.base.map(|base| format!(r#""base":{base}"#));
        let hash = step.hash.map(|hash| format!(r#""hash":"{hash}""#));
        let head: Vec<String> = base.into_iter().chain(hash).collect();
        text = format!("{{{}}}\n", head.join(","));
    }
    // Nothing goes wrong in writing to a text.
    step.changes.iter().for_each(|change| write_change(change, &mut text).unwrap_or_default());
    text
}

/// A whole version as lines, its frame first: what [`read_configuration`] makes the same version of.
///
/// # Errors
/// Those of `to`.
pub fn write_configuration(content: &Configuration, to: &mut dyn fmt::Write) -> fmt::Result {
    write_change(&Change::SetGlobals(content.globals().clone()), to)?;
    content.methods().try_for_each(|(name, method)| write_method(name, method, to))?;
    content.tenants().try_for_each(|(name, rate)| write_change(&Change::PutTenant(name.clone(), rate), to))
}

/// What one line says.
enum Line {
    Head { base: Option<u64>, hash: Option<Digest> },
    Change(Change),
}

/// The fields of a line, filled anew for each.
struct Told {
    fields: Fields,
    frame: Option<FrameFields>,
}

struct Object<'t>(&'t mut Told);

impl Form for Object<'_> {
    type Made = bool;
    fn scalar<E: Error>(self, _: Scalar) -> Result<bool, E> {
        Ok(false)
    }
    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        let Told { fields, frame } = self.0;
        walk(object, LINE, Reading::Step, |place, object| {
            if LINE.get(place) != Some(&"frame") {
                return fields.read(place, object);
            }
            let mut told = FrameFields::new(Reading::Step);
            if !object.next_value_seed(Any(Part(&mut told)))? {
                return Err(A::Error::custom(ConfigError::InvalidField("frame")));
            }
            *frame = Some(told);
            Ok(())
        })?;
        Ok(true)
    }
}

/// A frame in a line.
struct Part<'t>(&'t mut FrameFields);

impl Form for Part<'_> {
    type Made = bool;
    fn scalar<E: Error>(self, _: Scalar) -> Result<bool, E> {
        Ok(false)
    }
    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        walk(object, FRAME, Reading::Step, |place, object| match FRAME.get(place) {
            Some(&"limits") => self.0.read_machine(object).map(drop),
            _ => self.0.read(place, object),
        })?;
        Ok(true)
    }
}

impl Told {
    fn new() -> Told {
        Told { fields: Fields::new(LINE, Reading::Step), frame: None }
    }

    fn read(&mut self, line: usize, text: &str) -> Result<(), StepError> {
        self.frame = None;
        self.fields.clear();
        let mut from = serde_json::Deserializer::from_str(text);
        let read = serde::de::DeserializeSeed::deserialize(Any(Object(self)), &mut from);
        match read.and_then(|object| from.end().map(|()| object)) {
            Ok(true) => Ok(()),
            Ok(false) => Err(StepError::UnexpectedLine { line }),
            Err(e) => {
                let why = e.to_string().replace(" at line 1 column ", " at column ");
                Err(if e.is_data() {
                    StepError::InvalidField { line, why }
                } else {
                    StepError::Json { line, why }
                })
            }
        }
    }

    /// What the fields mean; all that are there have to belong to it.
    fn line(&self, line: usize, on: &Configuration) -> Result<Line, StepError> {
        let entry = |why| StepError::InvalidEntry { line, why };
        let verbs: Vec<&str> = ["put", "take"].into_iter().filter(|verb| self.fields.has(verb)).collect();
        let only = |names: &[&str]| {
            let verb = |name| verbs.contains(name);
            let odd = LINE.iter().find(|name| self.fields.has(name) && !names.contains(name) && !verb(name));
            odd.map_or(Ok(()), |odd| Err(entry(ConfigError::UnknownField(odd.to_string()))))
        };
        match (verbs.as_slice(), &self.frame) {
            ([], Some(frame)) => {
                only(&[])?;
                let frame = frame.frame(Some(on.globals())).map_err(entry)?;
                Ok(Line::Change(Change::SetGlobals(Arc::new(frame))))
            }
            ([], None) if self.fields.has("base") || self.fields.has("hash") => {
                only(&["base", "hash"])?;
                let (base, hash) = self.head().map_err(entry)?;
                Ok(Line::Head { base, hash })
            }
            (["put"], None) => {
                let kind = self.kind("put").map_err(entry)?;
                only(if kind == EntryKind::Method { METHOD } else { TENANT })?;
                let name = on.shared_name(kind, self.fields.name(kind).map_err(entry)?);
                let of = |why: ConfigError| entry(why.in_entry(kind, &name));
                Ok(Line::Change(match kind {
                    EntryKind::Method => {
                        let method = self.fields.method(0.0).map_err(of)?;
                        Change::PutMethod(name, method)
                    }
                    EntryKind::Tenant => {
                        let rate = self.fields.quota().map_err(of)?;
                        Change::PutTenant(name, rate)
                    }
                }))
            }
            (["take"], None) => {
                let kind = self.kind("take").map_err(entry)?;
                only(&["Name"])?;
                let name = on.shared_name(kind, self.fields.name(kind).map_err(entry)?);
                Ok(Line::Change(match kind {
                    EntryKind::Method => Change::RemoveMethod(name),
                    EntryKind::Tenant => Change::RemoveTenant(name),
                }))
            }
            _ => Err(StepError::UnexpectedLine { line }),
        }
    }
}

impl Told {
    fn kind(&self, verb: &'static str) -> Result<EntryKind, ConfigError> {
        match self.fields.text(verb)? {
            "method" => Ok(EntryKind::Method),
            "tenant" => Ok(EntryKind::Tenant),
            other => Err(ConfigError::UnknownWord { key: verb, word: other.chars().take(64).collect() }),
        }
    }
    fn head(&self) -> Result<(Option<u64>, Option<Digest>), ConfigError> {
        let base = match self.fields.maybe("base")? {
            Some(n) if n.fract() != 0.0 => return Err(ConfigError::InvalidField("base")),
            Some(value) if value >= BASE => return Err(ConfigError::OutOfBounds { key: "base", value }),
            base => base.map(|n| n as u64),
        };
        let hash = if self.fields.has("hash") { Some(self.fields.text("hash")?.parse()?) } else { None };
        Ok((base, hash))
    }
}

/// The lines that say something, with their numbers from 1.
fn lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines().enumerate().map(|(i, line)| (i + 1, line.trim())).filter(|(_, line)| !line.is_empty())
}

/// Reads a step. `on` is the version that a frame in part is completed from, and with which names are shared; whether
/// the step's base and hash are that version's is for the caller to see to.
///
/// # Errors
/// [`StepError`] names the line, the key and the mistake; the step is refused whole.
pub fn read_step(text: &str, on: &Configuration) -> Result<Step, StepError> {
    let (mut step, mut told, mut first) = (Step::default(), Told::new(), true);
    let (mut known, mut framed) = (HashSet::new(), false);
    for (line, text) in lines(text) {
        told.read(line, text)?;
        match told.line(line, on)? {
            Line::Head { base, hash } if first => (step.base, step.hash) = (base, hash),
            Line::Head { .. } => return Err(StepError::UnexpectedLine { line }),
            Line::Change(_) if step.changes.len() >= MAX_CHANGES => return Err(StepError::TooManyChanges),
            Line::Change(change) => {
                let entry = |why| StepError::InvalidEntry { line, why };
                match change.key() {
                    None if std::mem::replace(&mut framed, true) => {
                        return Err(entry(ConfigError::DuplicateField("frame".into())));
                    }
                    Some((kind, name)) if !known.insert((kind, name.clone())) => {
                        return Err(entry(ConfigError::DuplicateName { kind, name: name.clone() }));
                    }
                    _ => step.changes.push(change),
                }
            }
        }
        first = false;
    }
    Ok(step)
}

/// Reads a whole version, as [`write_configuration`] writes it; a hash in its first line has to be that of what was read.
///
/// # Errors
/// [`StepError`] names the line, the key and the mistake; a version has a frame and a method.
pub fn read_configuration(text: &str) -> Result<Configuration, StepError> {
    let (mut content, mut told, mut last) = (Configuration::new(GlobalSettings::default()), Told::new(), 0);
    let (mut hash, mut framed) = (None, false);
    for (line, text) in lines(text) {
        told.read(line, text)?;
        let entry = |why| StepError::InvalidEntry { line, why };
        match told.line(line, &content)? {
            Line::Head { hash: told, .. } if last == 0 => hash = told,
            Line::Head { .. } => return Err(StepError::UnexpectedLine { line }),
            Line::Change(change) => match change.key() {
                None if std::mem::replace(&mut framed, true) => {
                    return Err(entry(ConfigError::DuplicateField("frame".into())));
                }
                Some((kind, name)) if content.name(kind, name).is_some() => {
                    return Err(entry(ConfigError::DuplicateName { kind, name: name.clone() }));
                }
                _ => content.change(&change).map_err(entry)?,
            },
        }
        last = line;
    }
    let absent = |key| Err(StepError::InvalidEntry { line: last, why: ConfigError::InvalidField(key) });
    match hash.filter(|told| *told != content.digest()) {
        _ if !framed => absent("frame"),
        _ if content.count(EntryKind::Method) == 0 => absent("Categories"),
        Some(told) => Err(StepError::HashMismatch { told, found: content.digest() }),
        None => Ok(content),
    }
}
