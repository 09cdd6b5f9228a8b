//! Platform settings of a site with numbered methods and tenants.

use serde_json::{json, Value};

const SITE_CORES: usize = 8;
const DEFAULT_TARGET_MS: u64 = 800;
const DEFAULT_QUOTA_RPS: f64 = 100.0;

/// Settings of a site. Names follow from numbers; a scenario sets the values.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Latency targets of methods, in ms.
    pub latency_targets_ms: Vec<u64>,
    /// Quotas of tenants, in RPCs per second.
    pub quotas_rps: Vec<f64>,
    /// Numbers of the added sentinel pairs of tenants (see [`sentinel_tenants`]).
    pub sentinel_pairs: Vec<u64>,
    /// Number of callers in the settings.
    pub callers: usize,
}

/// Returns the names of a pair of tenants that sort before and after all others, so that a change that is applied in
/// the order of names reaches them first and last.
pub fn sentinel_tenants(pair: u64) -> [String; 2] {
    [format!("a-{pair:05}"), format!("z-{pair:05}")]
}

/// Returns the name of a method.
pub fn method_name(n: usize) -> String {
    format!("method-{n:05}")
}

/// Returns the name of a tenant.
pub fn tenant_name(n: usize) -> String {
    format!("tenant-{n:05}")
}

impl SiteSettings {
    /// Creates settings with identical methods and identical tenants.
    pub fn new(methods: usize, tenants: usize, callers: usize) -> SiteSettings {
        SiteSettings {
            latency_targets_ms: vec![DEFAULT_TARGET_MS; methods],
            quotas_rps: vec![DEFAULT_QUOTA_RPS; tenants],
            sentinel_pairs: Vec::new(),
            callers,
        }
    }

    /// Returns the entry of a method.
    pub fn method(&self, n: usize) -> Value {
        json!({"Name": method_name(n), "AimMs": self.latency_targets_ms[n], "DeadlineMs": 2_000, "Effect": "free",
            "Worth": 1, "LateWorth": 0.2, "WindowMs": 0})
    }

    /// Returns the entry of a tenant.
    pub fn tenant(&self, n: usize) -> Value {
        json!({"Name": tenant_name(n), "QuotaRps": self.quotas_rps[n]})
    }

    /// Returns the entry of a sentinel tenant.
    pub fn sentinel(name: &str) -> Value {
        json!({"Name": name, "QuotaRps": DEFAULT_QUOTA_RPS})
    }

    /// Returns the complete settings.
    pub fn settings(&self) -> Value {
        let methods: Vec<Value> = (0..self.latency_targets_ms.len()).map(|n| self.method(n)).collect();
        let mut tenants: Vec<Value> = (0..self.quotas_rps.len()).map(|n| self.tenant(n)).collect();
        let sentinels = self.sentinel_pairs.iter().flat_map(|pair| sentinel_tenants(*pair));
        tenants.extend(sentinels.map(|name| SiteSettings::sentinel(&name)));
        json!({"Categories": methods, "Tenants": tenants,
            "FamilyInfo": {"NCores": SITE_CORES, "RamKb": 200_000, "RunFactor": 2, "Say": "window", "Below": "off",
                "StopMode": "abort", "Gauges": ["on_cores", "links"], "IdleMs": 30_000, "Callers": self.callers},
            "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 500}, "StepMs": 2, "ReplicasOfMe": 1,
            "Safety": {"TipMultiple": 8, "ColdFrom": 1.0, "RampTimeMs": 1_000, "StopSendingWithinMs": 400}})
    }
}

#[cfg(test)]
#[path = "tests/settings.rs"]
mod tests;
