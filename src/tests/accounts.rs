//! Accounts of callers and quotas of tenants.

use super::harness::idle_server;
use super::server_config::MS;
use crate::caller_accounts::Charge;
use crate::*;

#[test]
fn account_recharges_by_mrr_and_is_corrected_in_the_order_of_the_source() {
    let (caller, mut accounts) = (CallerId(1), CallerAccounts::new(500 * MS, 1));
    accounts.redistribute(0, 4.0, 1.6e3);
    assert_eq!((accounts.mrr, accounts.buf_limit), (4e6, 1e9));
    assert_eq!(accounts.charge(0, caller, 6e8), Charge { amount: 6e8, relative_buffer: 0.4 });
    accounts.correct(0, caller, 6e8, 5e8, 3e8);
    assert_eq!(accounts.recharge(0, caller).buf_value, 4e8, "the penalty ate the positive correction");
    accounts.correct(0, caller, 6e8, 1e8, -9e9);
    assert_eq!(accounts.recharge(0, caller).buf_value, 9e8, "a debt is never turned into a gift");
    assert_eq!(accounts.recharge(10 * MS, caller).buf_value, 9.4e8);
    assert_eq!(accounts.recharge(1_000 * MS, caller).buf_value, 1e9, "capped at buf_limit");
    assert_eq!(accounts.charge(1_000 * MS, caller, 3e9).amount, 1e9, "no more is taken than there is");
}

#[test]
fn aborted_run_does_not_refill_the_account() {
    let mut harness = idle_server();
    let before = harness.control.accounts.recharge(harness.now, CallerId(0)).buf_value;
    let id = harness.read(0, 0, 0, 1_500 * MS, None);
    let taken = before - harness.control.accounts.recharge(harness.now, CallerId(0)).buf_value;
    assert!(taken > 0.0);
    harness.end_run(id, RunEnd::Aborted);
    assert_eq!(before - harness.control.accounts.recharge(harness.now, CallerId(0)).buf_value, taken);
}

#[test]
fn target_is_divided_among_callers_seen_in_the_last_second() {
    let mut accounts = CallerAccounts::new(500 * MS, 3_000);
    for caller in 0..3_000 {
        accounts.record_seen(caller * MS, CallerId(caller));
    }
    accounts.redistribute(3_000 * MS, 4.0, 1.6e3);
    assert_eq!(accounts.mrr, 4e6 / 1_000.0);
    accounts.redistribute(90_000 * MS, 4.0, 1.6e3);
    assert_eq!((accounts.mrr, accounts.accounts.len()), (4e6, 0), "long unused accounts are dropped");
}

#[test]
fn tenant_loses_weight_only_well_above_its_quota() {
    let mut quotas = TenantQuotas::new(&[10.0], 5, 0.1);
    let taken =
        |quotas: &mut TenantQuotas, now| (0..20).filter(|_| quotas.take_weight(now, Some(0)) == 1.0).count();
    assert_eq!(taken(&mut quotas, 0), 10, "ten at once are chance where two a second are its quota");
    assert_eq!(taken(&mut quotas, 2_000 * MS), 4);
    assert_eq!(quotas.take_weight(2_000 * MS, None), 1.0, "no tenant, no quota");
}
