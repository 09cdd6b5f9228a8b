//! Sample settings and configurations.

use super::fake_peers::FakePeers;
use crate::core::{Core, VersionSwitch};
use asterrill::Us;
use asterrill_entries::{Configuration, EntryKind};
use asterrill_settings::ServerParts;
use serde_json::{json, Value};

/// Returns settings with two methods and one tenant.
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

/// Returns the entries of these settings.
pub(super) fn configuration(settings: &Value) -> Configuration {
    let unused = "127.0.0.1:1";
    let deployment = json!({"name": "n1", "listen": unused, "agent": unused, "naming": unused, "seed": "1",
        "stop_ms": 900, "limits": {"memory_mb": 64, "sockets": 64}, "settings": settings});
    asterrill_settings::Deployment::from_json(&deployment.to_string()).unwrap().configuration
}

/// Builds a server with these settings.
pub(super) fn server_parts(at: Us, seed: u64, settings: &Value, cold: Option<bool>) -> ServerParts {
    asterrill_settings::server_parts(at, seed, &configuration(settings), cold).unwrap()
}

/// Returns the parts of a version that are activated after its entries are staged.
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

/// Applies a complete change from one version to another.
pub(super) fn apply_change(
    core: &mut Core, at: Us, from: &Configuration, to: &Configuration, number: u64, peers: &mut FakePeers,
) {
    let changes = from.changes_to(to);
    core.check_capacity_for(&changes, &[]).unwrap();
    core.stage(&changes);
    core.switch_version(at, version_switch(at, number, to), peers);
}

/// Returns the configuration of [`sample_settings`], but with these tenants.
pub(super) fn with_tenants(names: &[String]) -> Configuration {
    let mut settings = sample_settings();
    settings["Tenants"] = names.iter().map(|name| json!({"Name": name, "QuotaRps": 1_000_000})).collect();
    configuration(&settings)
}
