//! A version: its frame, methods and tenants, in maps that versions share.

use crate::fault::{ConfigError, EntryKind};
use crate::frame::{time_within, within, GlobalSettings};
use crate::{
    text, Name, MAX_FIGURE, MAX_METHODS, MAX_NAME_BYTES, MAX_TENANTS, MEMORY_LIMIT_KEY, SOCKET_LIMIT_KEY,
};
use asterrill::{Idempotency, Method};
use imbl::ordmap::{DiffItem, OrdMap};
use std::cmp::Ordering;
use std::collections::HashSet;
use std::fmt;
use std::iter::Peekable;
use std::str::FromStr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// What a version says, in 128 bits: the same for the same meaning, whatever the order in which it came about.
/// It finds mistakes and crossings; it is no guard against somebody who means harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(u128);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = ConfigError;
    /// Of 32 hex digits.
    fn from_str(text: &str) -> Result<Digest, ConfigError> {
        let digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Digest).ok_or(ConfigError::InvalidField("hash"))
    }
}

/// One change of what a version says. A step changes each key once at most, so that their order says nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    SetGlobals(Arc<GlobalSettings>),
    PutMethod(Name, Method),
    RemoveMethod(Name),
    /// RPCs a second over the whole fleet.
    PutTenant(Name, f64),
    RemoveTenant(Name),
}

impl Change {
    /// What it is about; nothing for the frame.
    pub fn key(&self) -> Option<(EntryKind, &Name)> {
        match self {
            Change::SetGlobals(_) => None,
            Change::PutMethod(name, _) | Change::RemoveMethod(name) => Some((EntryKind::Method, name)),
            Change::PutTenant(name, _) | Change::RemoveTenant(name) => Some((EntryKind::Tenant, name)),
        }
    }
}

/// A version, whole. Cheap to copy: versions share what they have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    frame: Arc<GlobalSettings>,
    methods: OrdMap<Name, Method>,
    tenants: OrdMap<Name, f64>,
    digest: u128,
}

/// What one entry adds to a digest.
fn mark(kind: u8, figures: &[u64], name: &str) -> u128 {
    let mut bytes = Vec::with_capacity(1 + 8 * figures.len() + name.len());
    bytes.push(kind);
    figures.iter().for_each(|figure| bytes.extend_from_slice(&figure.to_le_bytes()));
    bytes.extend_from_slice(name.as_bytes());
    xxh3_128(&bytes)
}
fn mark_frame(frame: &GlobalSettings) -> u128 {
    mark(0, &[], &text::frame_text(frame))
}
fn mark_method(name: &str, m: &Method) -> u128 {
    let effect = match m.idempotency {
        Idempotency::Idempotent => 0,
        Idempotency::Keyed => 1,
        Idempotency::NonIdempotent => 2,
    };
    let shares = [m.criticality, m.late_value_ratio, m.skip_value_ratio].map(f64::to_bits);
    let [criticality, late, skip] = shares;
    mark(1, &[m.latency_target, m.deadline, effect, criticality, late, m.idempotency_window, skip], name)
}
fn mark_tenant(name: &str, rate: f64) -> u128 {
    mark(2, &[rate.to_bits()], name)
}

/// Whether an entry may have this name: text of 1 to [`MAX_NAME_BYTES`] bytes without control characters; a method's is a word,
/// without blanks, as it stands in lines to the agent.
///
/// # Errors
/// [`ConfigError::Name`], with the start of what was told.
pub fn check_name(kind: EntryKind, name: &str) -> Result<(), ConfigError> {
    let word = kind == EntryKind::Method;
    let odd = |c: char| c.is_control() || word && c.is_whitespace();
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(odd) {
        return Err(ConfigError::InvalidName { name: name.chars().take(MAX_NAME_BYTES).collect(), word });
    }
    Ok(())
}

/// Whether the figures of a method are within bounds.
///
/// # Errors
/// [`ConfigError::Bounds`] names the field.
pub fn check_method(m: &Method) -> Result<(), ConfigError> {
    [("AimMs", m.latency_target), ("DeadlineMs", m.deadline), ("WindowMs", m.idempotency_window)]
        .into_iter()
        .try_for_each(|(key, value)| time_within(key, value))?;
    [("Worth", m.criticality), ("LateWorth", m.late_value_ratio), ("SkipWorth", m.skip_value_ratio)]
        .into_iter()
        .try_for_each(|(key, value)| within(key, value, MAX_FIGURE))
}

/// -0 is 0: the same meaning has one form.
fn plain(mut m: Method) -> Method {
    (m.criticality, m.late_value_ratio, m.skip_value_ratio) =
        (m.criticality + 0.0, m.late_value_ratio + 0.0, m.skip_value_ratio + 0.0);
    m
}

impl Configuration {
    /// Without methods and tenants: what a reader starts from.
    pub fn new(frame: GlobalSettings) -> Configuration {
        let digest = mark_frame(&frame);
        Configuration { frame: Arc::new(frame), methods: OrdMap::new(), tenants: OrdMap::new(), digest }
    }

    pub fn globals(&self) -> &Arc<GlobalSettings> {
        &self.frame
    }
    pub fn method(&self, name: &str) -> Option<&Method> {
        self.methods.get(name)
    }
    /// RPCs a second over the whole fleet.
    pub fn tenant(&self, name: &str) -> Option<f64> {
        self.tenants.get(name).copied()
    }
    /// In the order of their names.
    pub fn methods(&self) -> impl Iterator<Item = (&Name, &Method)> {
        self.methods.iter()
    }
    /// In the order of their names.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.tenants.iter().map(|(name, rate)| (name, *rate))
    }
    /// How many there are.
    pub fn count(&self, kind: EntryKind) -> usize {
        match kind {
            EntryKind::Method => self.methods.len(),
            EntryKind::Tenant => self.tenants.len(),
        }
    }
    /// The name as it is held here, to be shared.
    pub fn name(&self, kind: EntryKind, name: &str) -> Option<&Name> {
        match kind {
            EntryKind::Method => self.methods.get_key_value(name).map(|(name, _)| name),
            EntryKind::Tenant => self.tenants.get_key_value(name).map(|(name, _)| name),
        }
    }
    /// The name as it is held here where it is, or a new one.
    pub fn shared_name(&self, kind: EntryKind, name: &str) -> Name {
        self.name(kind, name).cloned().unwrap_or_else(|| name.into())
    }
    pub fn digest(&self) -> Digest {
        Digest(self.digest)
    }

    fn put_frame(&mut self, frame: &Arc<GlobalSettings>) {
        if self.frame != *frame {
            self.digest = self.digest.wrapping_sub(mark_frame(&self.frame)).wrapping_add(mark_frame(frame));
            self.frame = frame.clone();
        }
    }
    fn put_method(&mut self, name: &Name, method: Method) {
        let (name, method) = (self.name(EntryKind::Method, name).unwrap_or(name).clone(), plain(method));
        self.digest = self.digest.wrapping_add(mark_method(&name, &method));
        if let Some(before) = self.methods.insert(name.clone(), method) {
            self.digest = self.digest.wrapping_sub(mark_method(&name, &before));
        }
    }
    fn put_tenant(&mut self, name: &Name, rate: f64) {
        let (name, rate) = (self.name(EntryKind::Tenant, name).unwrap_or(name).clone(), rate + 0.0);
        self.digest = self.digest.wrapping_add(mark_tenant(&name, rate));
        if let Some(before) = self.tenants.insert(name.clone(), rate) {
            self.digest = self.digest.wrapping_sub(mark_tenant(&name, before));
        }
    }
    fn take(&mut self, kind: EntryKind, name: &Name) -> Result<(), ConfigError> {
        let mark = match kind {
            EntryKind::Method => self.methods.remove(&**name).map(|before| mark_method(name, &before)),
            EntryKind::Tenant => self.tenants.remove(&**name).map(|before| mark_tenant(name, before)),
        };
        let mark = mark.ok_or_else(|| ConfigError::UnknownEntry { kind, name: name.clone() })?;
        self.digest = self.digest.wrapping_sub(mark);
        Ok(())
    }

    /// One change, checked, in place. Where it is refused, nothing is changed.
    pub(crate) fn change(&mut self, change: &Change) -> Result<(), ConfigError> {
        match change {
            Change::SetGlobals(frame) => {
                frame.check()?;
                for (key, before, now) in [
                    (MEMORY_LIMIT_KEY, self.frame.memory_mb, frame.memory_mb),
                    (SOCKET_LIMIT_KEY, self.frame.sockets, frame.sockets),
                ] {
                    // What was granted once is never left open again.
                    if before > 0 && now == 0 {
                        return Err(ConfigError::InvalidField(key));
                    }
                }
                self.put_frame(frame);
            }
            Change::PutMethod(name, method) => {
                check_name(EntryKind::Method, name)?;
                check_method(method).map_err(|why| why.in_entry(EntryKind::Method, name))?;
                if self.methods.len() >= MAX_METHODS && !self.methods.contains_key(&**name) {
                    return Err(ConfigError::too_many_entries(EntryKind::Method));
                }
                self.put_method(name, method.clone());
            }
            Change::PutTenant(name, rate) => {
                check_name(EntryKind::Tenant, name)?;
                within("QuotaRps", *rate, MAX_FIGURE).map_err(|why| why.in_entry(EntryKind::Tenant, name))?;
                if self.tenants.len() >= MAX_TENANTS && !self.tenants.contains_key(&**name) {
                    return Err(ConfigError::too_many_entries(EntryKind::Tenant));
                }
                self.put_tenant(name, *rate);
            }
            Change::RemoveMethod(name) => self.take(EntryKind::Method, name)?,
            Change::RemoveTenant(name) => self.take(EntryKind::Tenant, name)?,
        }
        Ok(())
    }

    /// Takes first: the room that they make is there for what is put.
    fn change_all(&mut self, changes: &[Change]) -> Result<(), ConfigError> {
        let takes = |change: &&Change| matches!(change, Change::RemoveMethod(_) | Change::RemoveTenant(_));
        changes.iter().filter(takes).try_for_each(|change| self.change(change))?;
        changes.iter().filter(|change| !takes(change)).try_for_each(|change| self.change(change))
    }

    /// The version that changes lead to: whole or not at all.
    ///
    /// # Errors
    /// [`ConfigError`] names the key at fault: one that stands twice, one to be taken that is not there, a name, a figure or
    /// a number of entries out of bounds. A version with methods keeps one.
    pub fn apply(&self, changes: &[Change]) -> Result<Configuration, ConfigError> {
        once(changes)?;
        let mut next = self.clone();
        next.change_all(changes)?;
        if next.methods.is_empty() && !self.methods.is_empty() {
            return Err(ConfigError::LastMethod);
        }
        Ok(next)
    }

    /// What leads from this version to `other`: the frame, then methods, then tenants, by name. Costs what differs: parts
    /// that the two share are not looked into.
    pub fn changes_to(&self, other: &Configuration) -> Vec<Change> {
        let mut changes = Vec::new();
        if !Arc::ptr_eq(&self.frame, &other.frame) && self.frame != other.frame {
            changes.push(Change::SetGlobals(other.frame.clone()));
        }
        changes.extend(self.methods.diff(&other.methods).map(|item| match item {
            DiffItem::Add(name, method) | DiffItem::Update { new: (name, method), .. } => {
                Change::PutMethod(name.clone(), method.clone())
            }
            DiffItem::Remove(name, _) => Change::RemoveMethod(name.clone()),
        }));
        changes.extend(self.tenants.diff(&other.tenants).map(|item| match item {
            DiffItem::Add(name, rate) | DiffItem::Update { new: (name, rate), .. } => {
                Change::PutTenant(name.clone(), *rate)
            }
            DiffItem::Remove(name, _) => Change::RemoveTenant(name.clone()),
        }));
        changes
    }

    /// The version that says just this, in whatever order it was told; what is the same in `running` is shared with it.
    ///
    /// # Errors
    /// [`ConfigError`], as [`Configuration::apply`]; and where there is no method.
    pub fn from_entries(
        running: Option<&Configuration>, frame: GlobalSettings, mut methods: Vec<(Name, Method)>,
        mut tenants: Vec<(Name, f64)>,
    ) -> Result<Configuration, ConfigError> {
        if methods.is_empty() {
            return Err(ConfigError::InvalidField("Categories"));
        }
        if methods.len() > MAX_METHODS {
            return Err(ConfigError::too_many_entries(EntryKind::Method));
        }
        if tenants.len() > MAX_TENANTS {
            return Err(ConfigError::too_many_entries(EntryKind::Tenant));
        }
        frame.check()?;
        methods.sort_by(|(a, _), (b, _)| by_name(a, b));
        tenants.sort_by(|(a, _), (b, _)| by_name(a, b));
        distinct(EntryKind::Method, &methods)?;
        distinct(EntryKind::Tenant, &tenants)?;
        let mut changes = Vec::new();
        let Some(running) = running else {
            let mut next = Configuration::new(frame);
            changes.extend(methods.into_iter().map(|(name, method)| Change::PutMethod(name, method)));
            changes.extend(tenants.into_iter().map(|(name, rate)| Change::PutTenant(name, rate)));
            changes.iter().try_for_each(|change| next.change(change))?;
            return Ok(next);
        };
        compare(running.methods.iter(), methods, Change::PutMethod, Change::RemoveMethod, &mut changes);
        compare(running.tenants.iter(), tenants, Change::PutTenant, Change::RemoveTenant, &mut changes);
        let mut next = running.clone();
        next.put_frame(&Arc::new(frame));
        next.change_all(&changes)?;
        Ok(next)
    }
}

/// Finds names as a version holds them: a step further where they are asked for in their order, a search where not.
pub struct NameLookup<'c> {
    of: &'c Configuration,
    methods: Names<'c>,
    tenants: Names<'c>,
}
type Names<'c> = Peekable<Box<dyn Iterator<Item = &'c Name> + 'c>>;

impl<'c> NameLookup<'c> {
    pub fn new(of: &'c Configuration) -> NameLookup<'c> {
        let methods: Box<dyn Iterator<Item = &Name>> = Box::new(of.methods.keys());
        let tenants: Box<dyn Iterator<Item = &Name>> = Box::new(of.tenants.keys());
        NameLookup { of, methods: methods.peekable(), tenants: tenants.peekable() }
    }
    /// As [`Configuration::shared`].
    pub fn shared_name(&mut self, kind: EntryKind, name: &str) -> Name {
        let next = match kind {
            EntryKind::Method => &mut self.methods,
            EntryKind::Tenant => &mut self.tenants,
        };
        while let Some(known) = next.peek() {
            match (***known).cmp(name) {
                Ordering::Less => drop(next.next()),
                Ordering::Equal => return Name::clone(known),
                Ordering::Greater => break,
            }
        }
        self.of.shared_name(kind, name)
    }
}

/// Names that are one need no look at their bytes.
fn by_name(a: &Name, b: &Name) -> Ordering {
    if Arc::ptr_eq(a, b) {
        Ordering::Equal
    } else {
        a.cmp(b)
    }
}

/// No two of one name, in order.
fn distinct<V>(kind: EntryKind, entries: &[(Name, V)]) -> Result<(), ConfigError> {
    let mut pairs = entries.iter().zip(entries.iter().skip(1));
    match pairs.find(|((a, _), (b, _))| by_name(a, b) == Ordering::Equal) {
        Some(((name, _), _)) => Err(ConfigError::DuplicateName { kind, name: name.clone() }),
        None => Ok(()),
    }
}

/// Each key once at most: known without a set where the changes come in order, as from [`Configuration::changes_to`].
fn once(changes: &[Change]) -> Result<(), ConfigError> {
    let mut pairs = changes.iter().zip(changes.iter().skip(1));
    if pairs.all(|(a, b)| a.key() < b.key()) {
        return Ok(());
    }
    let mut known = HashSet::with_capacity(changes.len());
    match changes.iter().find(|change| !known.insert(change.key())) {
        Some(twice) => Err(twice.key().map_or_else(
            || ConfigError::DuplicateField("frame".into()),
            |(kind, name)| ConfigError::DuplicateName { kind, name: name.clone() },
        )),
        None => Ok(()),
    }
}

/// What leads from entries to others, both in the order of their names.
fn compare<'a, V: PartialEq + 'a>(
    running: impl Iterator<Item = (&'a Name, &'a V)>, told: Vec<(Name, V)>, put: fn(Name, V) -> Change,
    take: fn(Name) -> Change, changes: &mut Vec<Change>,
) {
    let mut running = running.peekable();
    for (name, value) in told {
        while let Some((gone, _)) = running.next_if(|(known, _)| by_name(known, &name).is_lt()) {
            changes.push(take(gone.clone()));
        }
        match running.next_if(|(known, _)| by_name(known, &name).is_eq()) {
            Some((_, before)) if *before == value => {}
            _ => changes.push(put(name, value)),
        }
    }
    changes.extend(running.map(|(gone, _)| take(gone.clone())));
}
