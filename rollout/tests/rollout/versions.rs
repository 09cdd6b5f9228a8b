//! Versions that several tests use as a starting point.

use asterrill::{Idempotency, Method};
use asterrill_entries::{Change, Configuration, GlobalSettings, UpstreamKind};
use asterrill_rollout::Us;
use std::collections::BTreeMap;

pub const SECOND: Us = 1_000_000;

pub fn method(criticality: f64, target_ms: u64) -> Method {
    Method {
        criticality,
        latency_target: target_ms * 1_000,
        deadline: target_ms * 3_000,
        late_value_ratio: 0.0,
        skip_value_ratio: 0.0,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 0,
    }
}
/// Editable content of a version.
#[derive(Clone)]
pub struct TestVersion {
    pub methods: BTreeMap<&'static str, Method>,
    pub tenants: BTreeMap<&'static str, f64>,
    pub globals: GlobalSettings,
}
impl TestVersion {
    pub fn content(&self) -> Configuration {
        let mut all = Vec::new();
        all.extend(self.methods.iter().map(|(name, m)| Change::PutMethod((*name).into(), m.clone())));
        all.extend(self.tenants.iter().map(|(name, rate)| Change::PutTenant((*name).into(), *rate)));
        Configuration::new(self.globals.clone()).apply(&all).unwrap()
    }
}
pub fn test_version() -> TestVersion {
    TestVersion {
        methods: [("price", method(5.0, 100)), ("look", method(1.0, 200))].into(),
        tenants: [("nile", 50.0)].into(),
        globals: GlobalSettings {
            cores: 4,
            max_running_per_core: 8.0,
            ram_kb: 90_000.0,
            upstream: UpstreamKind::Shared,
            upstream_call_quota: Some(20.0),
            upstream_call_window: Some(SECOND),
            ..GlobalSettings::default()
        },
    }
}
