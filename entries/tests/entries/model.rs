//! Random versions and changes, and a simple model of the effect of changes.

use asterrill::Idempotency;
use asterrill_entries::{
    Change, Configuration, EntryKind, GlobalSettings, Method, Name, UpstreamKind, MAX_DURATION_US,
    MAX_NAME_BYTES, MAX_SETTING_VALUE,
};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// A version in standard maps, as the reference.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    pub globals: GlobalSettings,
    pub methods: BTreeMap<String, Method>,
    pub tenants: BTreeMap<String, f64>,
}

pub fn names() -> Vec<String> {
    let unusual = ["a", "البحث", "查價", "quo\"te", "back\\slash", "put", "{}", "é", "e\u{301}"];
    let long = [1, 2, 63, 64, 65, 127, 128].map(|n| "n".repeat(n));
    unusual.into_iter().map(String::from).chain(long).chain((0..16).map(|i| format!("name-{i}"))).collect()
}

/// Returns a random number: an integer, an end of the range, or one that only an exact parser reads back.
pub fn number(rng: &mut StdRng) -> f64 {
    match rng.random_range(0..5) {
        0 => 0.0,
        1 => f64::from(rng.random_range(0..1_000_u32)),
        2 => f64::from_bits(rng.random_range(0..=MAX_SETTING_VALUE.to_bits())),
        3 => rng.random_range(0.0..=MAX_SETTING_VALUE),
        _ => MAX_SETTING_VALUE,
    }
}

pub fn duration(rng: &mut StdRng) -> u64 {
    let max = *[1_000, 10_000_000, MAX_DURATION_US].choose(rng).unwrap();
    rng.random_range(0..=max)
}

pub fn method(rng: &mut StdRng) -> Method {
    let idempotencies = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
    let (latency_target, deadline, window) = (duration(rng), duration(rng), duration(rng));
    let idempotency = *idempotencies.choose(rng).unwrap();
    let (criticality, late_value_ratio, skip_value_ratio) = (number(rng), number(rng), number(rng));
    Method {
        latency_target,
        deadline,
        idempotency,
        criticality,
        late_value_ratio,
        idempotency_window: window,
        skip_value_ratio,
    }
}

pub fn globals(rng: &mut StdRng) -> GlobalSettings {
    GlobalSettings {
        cores: rng.random_range(0..=MAX_SETTING_VALUE as u64),
        ram_kb: number(rng) * 1e200,
        upstream: *[UpstreamKind::None, UpstreamKind::Shared, UpstreamKind::Tier].choose(rng).unwrap(),
        upstream_call_quota: Some(number(rng)),
        upstream_call_window: Some(duration(rng)),
        cold_start: rng.random(),
        slow_start_from: Some(number(rng)),
        idle_timeout: duration(rng),
        feedback_mode: *[asterrill::FeedbackMode::Off, asterrill::FeedbackMode::Threshold]
            .choose(rng)
            .unwrap(),
        gauges: names().sample(rng, 3).map(|name| name.as_str().into()).collect(),
        retry_after: rng.random(),
        max_retry_after: duration(rng),
        over_quota_weight: number(rng),
        run_factor: number(rng),
        kb_per_key: number(rng),
        abandoned_call_linger: duration(rng),
        stop_mode: *[asterrill::StopMode::Abort, asterrill::StopMode::Suspend].choose(rng).unwrap(),
        response_ttl: duration(rng),
        callers: rng.random_range(0..=MAX_SETTING_VALUE as u64),
        max_running_per_core: number(rng),
        slow_start_duration: duration(rng),
        health_propagation_delay: duration(rng),
        min_event_interval: duration(rng),
        replicas: rng.random_range(0..=MAX_SETTING_VALUE as u64),
        memory_mb: rng.random_range(1..=1_048_576),
        sockets: rng.random_range(1..=1_048_576),
    }
}

/// Returns random changes, and whether they contain an invalid change, so that they must be rejected.
pub fn random_changes(rng: &mut StdRng, model: &Model) -> (Vec<Change>, bool) {
    let (mut changes, mut is_invalid, mut keys) = (Vec::new(), false, BTreeSet::new());
    for _ in 0..rng.random_range(1..10) {
        let kind = *[EntryKind::Method, EntryKind::Tenant].choose(rng).unwrap();
        let name = names().choose(rng).unwrap().clone();
        if !keys.insert((kind, name.clone())) {
            continue;
        }
        let exists = match kind {
            EntryKind::Method => model.methods.contains_key(&name),
            EntryKind::Tenant => model.tenants.contains_key(&name),
        };
        let name: Name = name.into();
        changes.push(match (kind, exists && rng.random_ratio(1, 3)) {
            (EntryKind::Method, false) => Change::PutMethod(name, method(rng)),
            (EntryKind::Method, true) => Change::RemoveMethod(name),
            (EntryKind::Tenant, false) => Change::PutTenant(name, number(rng)),
            (EntryKind::Tenant, true) => Change::RemoveTenant(name),
        });
    }
    if rng.random_ratio(1, 6) {
        changes.push(Change::SetGlobals(globals(rng).into()));
    }
    if rng.random_ratio(1, 4) {
        is_invalid = true;
        let invalid = match rng.random_range(0..9) {
            0 => Change::RemoveTenant("nobody".into()),
            1 => Change::RemoveMethod("nothing".into()),
            2 => Change::PutTenant("n".repeat(MAX_NAME_BYTES + 1).as_str().into(), 1.0),
            3 => Change::PutMethod("two words".into(), method(rng)),
            4 => Change::PutTenant("fine".into(), -1e-300),
            5 => Change::PutTenant("fine".into(), f64::NAN),
            6 => Change::PutMethod(
                "fine".into(),
                Method { late_value_ratio: MAX_SETTING_VALUE * 2.0, ..method(rng) },
            ),
            7 => Change::PutMethod("fine".into(), Method { deadline: MAX_DURATION_US + 1, ..method(rng) }),
            _ => changes.choose(rng).unwrap().clone(),
        };
        changes.push(invalid);
    }
    changes.shuffle(rng);
    (changes, is_invalid)
}

impl Model {
    pub fn apply(&self, changes: &[Change]) -> Model {
        let mut next = self.clone();
        for change in changes {
            match change.clone() {
                Change::SetGlobals(globals) => next.globals = GlobalSettings::clone(&globals),
                Change::PutMethod(name, method) => drop(next.methods.insert(name.to_string(), method)),
                Change::RemoveMethod(name) => drop(next.methods.remove(&*name)),
                Change::PutTenant(name, quota) => drop(next.tenants.insert(name.to_string(), quota)),
                Change::RemoveTenant(name) => drop(next.tenants.remove(&*name)),
            }
        }
        next
    }
    pub fn puts(&self) -> Vec<Change> {
        let methods = self.methods.iter().map(|(name, m)| Change::PutMethod(name.as_str().into(), m.clone()));
        let tenants =
            self.tenants.iter().map(|(name, quota)| Change::PutTenant(name.as_str().into(), *quota));
        methods.chain(tenants).collect()
    }
    /// Builds the version from complete lists in random order, as a reader of complete files does.
    pub fn to_configuration(&self, rng: &mut StdRng, running: Option<&Configuration>) -> Configuration {
        let (mut methods, mut tenants) = (Vec::new(), Vec::new());
        let mut puts = self.puts();
        puts.shuffle(rng);
        for change in puts {
            match change {
                Change::PutMethod(name, method) => methods.push((name, method)),
                Change::PutTenant(name, quota) => tenants.push((name, quota)),
                _ => {}
            }
        }
        Configuration::from_entries(running, self.globals.clone(), methods, tenants).unwrap()
    }
    pub fn assert_equals(&self, configuration: &Configuration, context: &str) {
        let methods = configuration.methods().map(|(name, m)| (name.to_string(), m.clone()));
        let tenants = configuration.tenants().map(|(name, quota)| (name.to_string(), quota));
        let (methods, tenants) = (methods.collect(), tenants.collect());
        let found = Model { globals: GlobalSettings::clone(configuration.globals()), methods, tenants };
        assert_eq!(&found, self, "{context}");
    }
}

/// Returns a version with two methods and two tenants.
pub fn small_configuration(seed: u64) -> Configuration {
    let rng = &mut StdRng::seed_from_u64(seed);
    let methods = ["look", "pay"].map(|name| (name.into(), method(rng)));
    let tenants = [("acme".into(), 10.0), ("zeta".into(), 20.0)];
    Configuration::from_entries(None, globals(rng), methods.into(), tenants.into()).unwrap()
}
