//! Settings and configurations of the tests.

use super::fake_peers::FakePeers;
use crate::core::{Core, VersionSwitch};
use asterrill::Us;
use asterrill_entries::{Configuration, EntryKind};
use asterrill_settings::ServerParts;
use serde_json::{json, Value};

pub(super) fn sample_settings() -> Value {
    json!({
        "Categories": [
            {"Name": "look", "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1},
            {"Name": "book", "AimMs": 400, "DeadlineMs": 900, "Effect": "single_shot", "Worth": 3}],
        "Tenants": [{"Name": "acme", "QuotaRps": 1000000}],
        "FamilyInfo": {"Below": "tier", "NCores": 2, "RamKb": 4000, "RunFactor": 4, "Say": "window",
            "StopMode": "abort", "Gauges": ["links", "on_cores"], "FreshMs": 150, "KbPerKey": 1,
            "ClassSkipWorth": [0.5, 0], "IdleMs": 5000, "LingerMs": 50, "Callers": 2},
        "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 300},
        "Safety": {"TipMultiple": 8, "ColdFrom": 0.3, "RampTimeMs": 3000, "StopSendingWithinMs": 400},
        "StepMs": 4})
}

/// The entries of such settings.
pub(super) fn configuration(settings: &Value) -> Configuration {
    let nowhere = "127.0.0.1:1";
    let whole = json!({"name": "n1", "listen": nowhere, "agent": nowhere, "naming": nowhere, "seed": "1",
        "stop_ms": 900, "limits": {"memory_mb": 64, "sockets": 64}, "settings": settings});
    asterrill_settings::Deployment::from_json(&whole.to_string()).unwrap().configuration
}
pub(super) fn server_parts(at: Us, seed: u64, settings: &Value, cold: Option<bool>) -> ServerParts {
    asterrill_settings::server_parts(at, seed, &configuration(settings), cold).unwrap()
}
/// What turns over to a version once its entries are in.
pub(super) fn version_switch(at: Us, number: u64, to: &Configuration) -> VersionSwitch {
    let global_parts = asterrill_settings::global_parts(at, 1, to).unwrap();
    let longest_latency_target = to.methods().map(|(_, method)| method.latency_target).max().unwrap_or(0);
    let requires_tenant = to.count(EntryKind::Tenant) > 0;
    VersionSwitch {
        number,
        global_parts: Some(global_parts),
        longest_latency_target,
        queues: Vec::new(),
        requires_tenant,
    }
}
/// A change from one version to another, whole.
pub(super) fn apply_change(
    core: &mut Core, at: Us, from: &Configuration, to: &Configuration, number: u64, out: &mut FakePeers,
) {
    let step = from.changes_to(to);
    core.check_capacity_for(&step, &[]).unwrap();
    core.stage(&step);
    core.switch_version(at, version_switch(at, number, to), out);
}

/// A version with these tenants, beside what `server` says.
pub(super) fn with_tenants(names: &[String]) -> Configuration {
    let mut settings = sample_settings();
    settings["Tenants"] = names.iter().map(|name| json!({"Name": name, "QuotaRps": 1_000_000})).collect();
    configuration(&settings)
}
