//! The scenario: faults, and a change of the caller's entry every few seconds.

use super::caller::{BarredCaller, CALLER};
use super::faults::draw;
use super::judge::{judge, Change, NodeEnd, Recording, VersionId};
use super::timing::{CHANGES, CHANGE_EVERY_MS};
use crate::fleet::cluster::{Fleet, Plan};
use crate::fleet::fault_injection::InjectedFaults;
use crate::fleet::fault_script::ScheduledFault;
use crate::fleet::members::setup::{member_setup, operator_file, request};
use crate::fleet::options::FleetOptions;
use crate::fleet::workload::COLD;
use crate::method::TILL_PRICE;
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use crate::time::ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const LEAST_NODES: usize = 5;
const VOTERS_AND_LEASE: &str = "[fleet]\nkeeper n0\nkeeper n1\nkeeper n2\nlease 1s\ntick 20ms\n";
const LEASED_WITHIN: Duration = Duration::from_secs(20);
const BEFORE_FIRST_CHANGE_MS: u64 = 200;
const BEHIND_LAST_CHANGE: Duration = ms(1_500);
const PROPOSERS: usize = 3; // nodes at which operators propose
const SLOTS: usize = 10; // of the upstream, which is not called

/// Plays it.
pub fn scenario(report: &mut Report, options: &FleetOptions) -> Result<(), ScenarioError> {
    let nodes = options.nodes.max(LEAST_NODES);
    let plan = draw(nodes, options.seed);
    let mut fleet = start_fleet(nodes, options)?;
    let caller = BarredCaller::start(&fleet);
    wait_for_leases(&fleet)?;
    let offset_ms = fleet.at_ms() + BEFORE_FIRST_CHANGE_MS;
    let mut injector =
        Injector { faults: &plan.faults, next: 0, offset_ms, injected: InjectedFaults::default() };
    let mut rng = StdRng::seed_from_u64(options.seed);
    let (mut changes, mut without_majority) = (Vec::new(), 0);
    for n in 0..CHANGES {
        injector.inject_until(&mut fleet, offset_ms + n as u64 * CHANGE_EVERY_MS)?;
        match change_entry(&fleet, n % 2 == 0, &mut rng) {
            Some(change) => changes.push(change),
            None => without_majority += 1,
        }
    }
    injector.inject_until(&mut fleet, offset_ms + CHANGES as u64 * CHANGE_EVERY_MS)?;
    std::thread::sleep(BEHIND_LAST_CHANGE);
    let ledger = caller.stop();
    let ends = (0..nodes).map(|n| NodeEnd::read(&fleet, n)).collect();
    let unanswered = injector.injected.count_unexcused(&ledger.unanswered);
    let recording = Recording { name: plan.name, changes, without_majority, ends, ledger, unanswered };
    judge(report, &mut fleet, &recording);
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
    let (slots, call, network) = (SLOTS, ms(1), Some(options.seed));
    Fleet::start(&Plan { nodes, setup, cold: COLD, slots, call, network })
}

/// Until all act on what the voters say.
fn wait_for_leases(fleet: &Fleet) -> Result<(), ScenarioError> {
    let leased = |n: usize| {
        request(&fleet.members[n].node.dir, json!({"do": "fleet"}))
            .is_some_and(|answer| answer["lease_ms"].as_u64() > Some(0))
    };
    let until = Instant::now() + LEASED_WITHIN;
    while !(0..fleet.members.len()).all(leased) {
        if Instant::now() > until {
            return Err("the processes do not come to act under a lease".into());
        }
        std::thread::sleep(ms(100));
    }
    Ok(())
}

/// Injects faults when they are due.
struct Injector<'a> {
    faults: &'a [ScheduledFault],
    next: usize,
    offset_ms: u64,
    injected: InjectedFaults,
}

impl Injector<'_> {
    /// Lets time pass up to a moment, in ms since the fleet's start.
    fn inject_until(&mut self, fleet: &mut Fleet, at_ms: u64) -> Result<(), ScenarioError> {
        while fleet.at_ms() < at_ms {
            while let Some(fault) = self.faults.get(self.next) {
                if fault.at_ms + self.offset_ms > fleet.at_ms() {
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

/// Admits or bars the caller, at a random node; none where no version came of it.
fn change_entry(fleet: &Fleet, admitted: bool, rng: &mut StdRng) -> Option<Change> {
    let standing = if admitted { "in" } else { "out" };
    let row = json!([{"key": CALLER.to_string(), "standing": standing}]);
    let change = json!({"do": "list-change", "list": "callers", "entries": row});
    let by = rng.random_range(0..PROPOSERS);
    let proposed_ms = fleet.at_ms();
    let answer: Value = request(&fleet.members[by].node.dir, change)?;
    let number = answer["version"].as_u64().filter(|number| *number > 0)?;
    let version = VersionId { number, hash: answer["hash"].as_str()?.to_string() };
    Some(Change { version, proposed_ms, settled_ms: fleet.at_ms(), admitted })
}
