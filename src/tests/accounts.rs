//! Tests of caller accounts and tenant quotas.

use super::harness::idle_server;
use super::server_config::MS;
use crate::caller_accounts::Charge;
use crate::*;

#[test]
fn account_recharges_by_mrr_and_applies_the_penalty_before_the_refund() {
    let (caller, mut accounts) = (CallerId(1), CallerAccounts::new(500 * MS, 1));
    accounts.redistribute(0, 4.0, 1.6e3);
    assert_eq!((accounts.mrr, accounts.buf_limit), (4e6, 1e9));
    assert_eq!(accounts.charge(0, caller, 6e8), Charge { amount: 6e8, relative_buffer: 0.4 });
    accounts.correct(0, caller, 6e8, 5e8, 3e8);
    assert_eq!(accounts.recharge(0, caller).buf_value, 4e8, "the penalty must offset the refund");
    accounts.correct(0, caller, 6e8, 1e8, -9e9);
    assert_eq!(
        accounts.recharge(0, caller).buf_value,
        9e8,
        "a negative penalty must not increase the balance"
    );
    assert_eq!(accounts.recharge(10 * MS, caller).buf_value, 9.4e8);
    assert_eq!(accounts.recharge(1_000 * MS, caller).buf_value, 1e9, "capped at buf_limit");
    assert_eq!(accounts.charge(1_000 * MS, caller, 3e9).amount, 1e9, "a charge must not exceed the balance");
}

#[test]
fn aborted_run_does_not_refill_the_account() {
    let mut harness = idle_server();
    let before = harness.control.accounts.recharge(harness.now, CallerId(0)).buf_value;
    let id = harness.read(0, 0, 0, 1_500 * MS, None);
    let charged = before - harness.control.accounts.recharge(harness.now, CallerId(0)).buf_value;
    assert!(charged > 0.0);
    harness.end_run(id, RunEnd::Aborted);
    assert_eq!(before - harness.control.accounts.recharge(harness.now, CallerId(0)).buf_value, charged);
}

#[test]
fn target_is_divided_among_callers_seen_in_the_last_second() {
    let mut accounts = CallerAccounts::new(500 * MS, 3_000);
    for caller in 0..3_000 {
        accounts.record_seen(caller * MS, CallerId(caller).into());
    }
    accounts.redistribute(3_000 * MS, 4.0, 1.6e3);
    assert_eq!(accounts.mrr, 4e6 / 1_000.0);
    accounts.redistribute(90_000 * MS, 4.0, 1.6e3);
    assert_eq!((accounts.mrr, accounts.accounts.len()), (4e6, 0), "unused accounts must be removed");
}

/// Guards against a share for each number that a sender states. Its accounts count, and equal numbers are one caller.
#[test]
fn stated_numbers_add_no_account_and_accounts_with_one_number_are_one_caller() {
    let mut accounts = CallerAccounts::new(500 * MS, 1);
    for n in 0..1_000 {
        accounts.record_seen(n, Caller { account: CallerId(n % 4), stated: CallerId(1_000 + n) });
    }
    accounts.redistribute(1_000, 4.0, 1.6e3);
    assert_eq!((accounts.mrr, accounts.active, accounts.active_callers), (1e6, 4.0, 4.0));
    for n in 0..4 {
        accounts.record_seen(2_000, Caller { account: CallerId(n), stated: CallerId(n % 2) });
    }
    accounts.redistribute(3_000, 4.0, 1.6e3);
    assert_eq!((accounts.mrr, accounts.active, accounts.active_callers), (1e6, 4.0, 2.0));
}

#[test]
fn tenant_weight_drops_only_after_the_allowance_is_used_up() {
    let mut quotas = TenantQuotas::new(&[10.0], 5, 0.1);
    let full_weight =
        |quotas: &mut TenantQuotas, now| (0..20).filter(|_| quotas.count_rpc(now, Some(0)) == 1.0).count();
    assert_eq!(full_weight(&mut quotas, 0), 10, "a burst of 10 must be allowed at a quota of 2 per second");
    assert_eq!(full_weight(&mut quotas, 2_000 * MS), 4);
    assert_eq!(quotas.count_rpc(2_000 * MS, None), 1.0, "an RPC without a tenant must have no quota");
}
