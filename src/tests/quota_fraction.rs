//! Tests of the quota fraction: the factor on this server's share of quotas.

use super::fixtures::{calls_placed, control_with};
use super::server_config::MS;
use crate::*;

#[test]
fn quota_fraction_bounds_calls_and_tenants_and_is_kept_after_a_commit() {
    let shared = |upstream: Upstream| {
        let mut control = control_with(0, &[1.0], 4, 1e6);
        control.calls = UpstreamCalls::new(upstream, 4, 0, 400 * MS);
        control.quotas = TenantQuotas::new(&[100.0], 1, 0.0);
        control
    };
    let upstream = Upstream::Shared { quota: 5.0, window: 1_000 * MS };
    let placed = |control: &mut Control, from: u64| calls_placed(control, from * MS, from..from + 20);
    assert_eq!(placed(&mut shared(upstream), 0), 4, "80 % of the quota must be used");
    for (fraction, calls) in [(0.5, 2), (0.25, 1), (1.5, 6)] {
        let mut control = shared(upstream);
        control.set_quota_fraction(0, fraction);
        assert_eq!(placed(&mut control, 0), calls, "calls at a quota fraction of {fraction}");
    }
    let mut control = shared(Upstream::Tier);
    control.set_quota_fraction(0, 0.25);
    let undivided = placed(&mut shared(Upstream::Tier), 0);
    assert_eq!(
        (placed(&mut control, 0), undivided > 6),
        (undivided, true),
        "the limit of a tier must not change with the fraction"
    );
    // Of a quota of 100 per second, a tenant may send 10 at once and then the fraction of its rate.
    let within = |fraction: f64| {
        let mut quotas = TenantQuotas::new(&[100.0], 1, 0.0);
        quotas.fraction = fraction;
        (0..400).filter(|n| quotas.count_rpc(n * 5 * MS, Some(0)) > 0.0).count()
    };
    assert!((within(1.0) as i64 - 208).abs() < 4, "{}", within(1.0));
    assert!((within(0.25) as i64 - 59).abs() < 4, "{}", within(0.25));
    let mut control = shared(upstream);
    control.set_quota_fraction(0, 0.5);
    control.stage(&[SettingsUpdate::Tenant(0, Some(100.0))]);
    control.commit(MS, Some(shared(upstream)));
    assert_eq!(placed(&mut control, 2), 2, "the fraction must be kept after a commit");
}
