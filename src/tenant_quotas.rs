//! Quotas of tenants. RPCs above a quota have a lower priority weight and are queued behind other RPCs.

use crate::ids::Us;
use crate::staged_table::StagedTable;

/// Maximum number of RPCs by which a tenant may exceed its quota at this server. A smaller excess may be random
/// variation.
pub(crate) const MAX_ALLOWANCE_RPCS: f64 = 10.0;

/// A token bucket of the RPCs that a tenant may still send at their full priority weight.
#[derive(Clone, Copy)]
pub(crate) struct Allowance {
    pub(crate) rpcs: f64,
    pub(crate) updated_at: Us,
}

const FULL_ALLOWANCE: Allowance = Allowance { rpcs: MAX_ALLOWANCE_RPCS, updated_at: 0 };

/// Quotas of tenants and their remaining allowances.
pub struct TenantQuotas {
    /// Quotas in RPCs per second over the whole fleet.
    pub(crate) rates: StagedTable<f64>,
    pub(crate) allowances: Vec<Allowance>,
    replicas: f64,
    excess_weight: f64,
    /// Factor on this server's share of each quota.
    pub(crate) fraction: f64,
}

impl TenantQuotas {
    /// Creates the quotas with full allowances.
    ///
    /// `rates` are the quotas of the tenants in RPCs per second over the whole fleet, which are divided by `replicas`;
    /// `excess_weight` is the factor, 0 to 1, on the priority weight of RPCs above a quota.
    pub fn new(rates: &[f64], replicas: usize, excess_weight: f64) -> TenantQuotas {
        TenantQuotas {
            rates: StagedTable::new(rates.iter().copied()),
            allowances: vec![FULL_ALLOWANCE; rates.len()],
            replicas: replicas.max(1) as f64,
            excess_weight,
            fraction: 1.0,
        }
    }

    /// Stages the quota of a tenant. A new tenant has a full allowance, which does not grow with time.
    pub(crate) fn stage(&mut self, tenant: usize, rate: Option<f64>) {
        if rate.is_some() && self.rates.get(tenant).is_none() {
            let len = self.allowances.len().max(tenant + 1);
            self.allowances.resize(len, FULL_ALLOWANCE);
            self.allowances[tenant] = FULL_ALLOWANCE;
        }
        self.rates.stage(tenant, rate);
    }

    /// Counts an RPC of a tenant and returns the factor on its priority weight: 1 within the quota or without a
    /// tenant, and the excess weight above the quota.
    pub(crate) fn count_rpc(&mut self, now: Us, tenant: Option<usize>) -> f64 {
        let Some((tenant, rate)) = tenant.and_then(|tenant| Some((tenant, self.rates.get(tenant)?))) else {
            return 1.0;
        };
        let Some(allowance) = self.allowances.get_mut(tenant) else { return 1.0 };
        let elapsed = (now - allowance.updated_at) as f64;
        let refill = rate / self.replicas * self.fraction * elapsed / 1e6;
        allowance.rpcs = (allowance.rpcs + refill).min(MAX_ALLOWANCE_RPCS);
        allowance.updated_at = now;
        let within = if allowance.rpcs >= 1.0 { 1.0 } else { 0.0 };
        allowance.rpcs -= within;
        self.excess_weight.max(within)
    }

    pub(crate) fn reconfigure(&mut self, other: &TenantQuotas) {
        (self.replicas, self.excess_weight) = (other.replicas, other.excess_weight);
    }
}
