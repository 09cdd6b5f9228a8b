//! Runs the scenario: injects faults, and changes the caller's entry at regular intervals.

use super::evaluation::{evaluate, Change, FinalNodeState, Recording, VersionId};
use super::faults::generate_faults;
use super::probe_caller::{ProbeCaller, PROBE_CALLER_ID};
use super::timing::{CHANGE_COUNT, CHANGE_INTERVAL_MS};
use crate::fleet::cluster::{Fleet, FleetConfig};
use crate::fleet::fault_injection::InjectedFaults;
use crate::fleet::fault_script::ScheduledFault;
use crate::fleet::members::setup::{member_setup, operator_file, request};
use crate::fleet::options::FleetOptions;
use crate::fleet::workload::COLD_START;
use crate::method::TILL_PRICE;
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use crate::time::ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const MIN_NODES: usize = 5;
const VOTERS_AND_LEASE: &str = "[fleet]\nkeeper n0\nkeeper n1\nkeeper n2\nlease 1s\ntick 20ms\n";
const LEASE_TIMEOUT: Duration = Duration::from_secs(20);
const FIRST_CHANGE_DELAY_MS: u64 = 200;
const LAST_CHANGE_WAIT: Duration = ms(1_500);
/// Number of nodes at which operators propose changes.
const PROPOSER_COUNT: usize = 3;
/// Capacity of the upstream, which this scenario does not call.
const UPSTREAM_SLOTS: usize = 10;

/// Runs the scenario.
pub fn scenario(report: &mut Report, options: &FleetOptions) -> Result<(), ScenarioError> {
    let nodes = options.nodes.max(MIN_NODES);
    let plan = generate_faults(nodes, options.seed);
    let mut fleet = start_fleet(nodes, options)?;
    let caller = ProbeCaller::start(&fleet);
    wait_for_leases(&fleet)?;
    let first_change_ms = fleet.at_ms() + FIRST_CHANGE_DELAY_MS;
    let mut injector =
        Injector { faults: &plan.faults, next: 0, first_change_ms, injected: InjectedFaults::default() };
    let mut rng = StdRng::seed_from_u64(options.seed);
    let (mut changes, mut uncommitted_proposals) = (Vec::new(), 0);
    for n in 0..CHANGE_COUNT {
        injector.inject_until(&mut fleet, first_change_ms + n as u64 * CHANGE_INTERVAL_MS)?;
        match propose_change(&fleet, n % 2 == 0, &mut rng) {
            Some(change) => changes.push(change),
            None => uncommitted_proposals += 1,
        }
    }
    injector.inject_until(&mut fleet, first_change_ms + CHANGE_COUNT as u64 * CHANGE_INTERVAL_MS)?;
    std::thread::sleep(LAST_CHANGE_WAIT);
    let ledger = caller.stop();
    let final_states = (0..nodes).map(|n| FinalNodeState::read(&fleet, n)).collect();
    let unanswered = injector.injected.count_unexplained(&ledger.unanswered);
    let recording =
        Recording { name: plan.name, changes, uncommitted_proposals, final_states, ledger, unanswered };
    evaluate(report, &mut fleet, &recording);
    if !report.broken().is_empty() {
        plan.faults.iter().for_each(|fault| eprintln!("{fault}"));
        recording.changes.iter().for_each(|change| eprintln!("{change:?}"));
    }
    Ok(())
}

fn start_fleet(nodes: usize, options: &FleetOptions) -> Result<Fleet, ScenarioError> {
    let setup = Setup {
        operator_file: Some(format!("{}{VOTERS_AND_LEASE}", operator_file(nodes))),
        program: options.other.clone(),
        shared_upstream: None,
        ..member_setup(&[TILL_PRICE.without_work()], nodes)
    };
    Fleet::start(&FleetConfig {
        nodes,
        setup,
        cold_start: COLD_START,
        upstream_slots: UPSTREAM_SLOTS,
        upstream_call_time: ms(1),
        network_seed: Some(options.seed),
    })
}

/// Waits until all processes act under a lease of the voters.
fn wait_for_leases(fleet: &Fleet) -> Result<(), ScenarioError> {
    let leased = |n: usize| {
        request(&fleet.members[n].node.dir, json!({"do": "fleet"}))
            .is_some_and(|answer| answer["lease_ms"].as_u64() > Some(0))
    };
    let until = Instant::now() + LEASE_TIMEOUT;
    while !(0..fleet.members.len()).all(leased) {
        if Instant::now() > until {
            return Err(format!("not all processes hold a lease within {} s", LEASE_TIMEOUT.as_secs()).into());
        }
        std::thread::sleep(ms(100));
    }
    Ok(())
}

/// Schedule of the faults that are left to inject.
struct Injector<'a> {
    faults: &'a [ScheduledFault],
    next: usize,
    first_change_ms: u64,
    injected: InjectedFaults,
}

impl Injector<'_> {
    /// Injects the faults that are due until this many milliseconds after the start of the fleet.
    fn inject_until(&mut self, fleet: &mut Fleet, at_ms: u64) -> Result<(), ScenarioError> {
        while fleet.at_ms() < at_ms {
            while let Some(fault) = self.faults.get(self.next) {
                if fault.at_ms + self.first_change_ms > fleet.at_ms() {
                    break;
                }
                fleet.inject(fault, &mut self.injected)?;
                self.next += 1;
            }
            std::thread::sleep(ms(5));
        }
        Ok(())
    }
}

/// Proposes at a random node to allow or deny the caller; returns `None` if the change was not committed.
fn propose_change(fleet: &Fleet, allowed: bool, rng: &mut StdRng) -> Option<Change> {
    let standing = if allowed { "in" } else { "out" };
    let entries = json!([{"key": PROBE_CALLER_ID.to_string(), "standing": standing}]);
    let change = json!({"do": "list-change", "list": "callers", "entries": entries});
    let proposer = rng.random_range(0..PROPOSER_COUNT);
    let proposed_ms = fleet.at_ms();
    let answer: Value = request(&fleet.members[proposer].node.dir, change)?;
    let number = answer["version"].as_u64().filter(|number| *number > 0)?;
    let version = VersionId { number, hash: answer["hash"].as_str()?.to_string() };
    Some(Change { version, proposed_ms, committed_ms: fleet.at_ms(), allowed })
}
