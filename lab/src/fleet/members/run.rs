//! Runs the scenario: load, injected faults, and repeated requests for the views of all members.

use super::evaluation::evaluate;
use super::faults::{generate_faults, FaultPlan, FIRST_FAULT_MS};
use super::observation::{DocumentedBounds, Epoch, Observation, Recording};
use super::reachability::Reachability;
use super::setup::{member_setup, UPSTREAM_CALLS_PER_NODE, UPSTREAM_CALL_TIME};
use crate::fleet::cluster::{Fleet, FleetConfig};
use crate::fleet::fault_injection::InjectedFaults;
use crate::fleet::fault_script;
use crate::fleet::options::FleetOptions;
use crate::fleet::workload::{caller_profile, mean_work, methods, COLD_START, METHOD_WEIGHTS};
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use crate::time::ms;
use std::time::{Duration, Instant};

const CORES_PER_PROCESS: f64 = 2.0;
/// Load as a share of the cores. At this load the calls to the upstream exceed the shared capacity.
const LOAD_SHARE_OF_CORES: f64 = 0.45;
/// Capacity of the upstream relative to the shared capacity. Calls beyond the shared capacity are served and counted.
const UPSTREAM_HEADROOM_FACTOR: f64 = 4.0;
const OBSERVE_AFTER_BOUNDS_MS: u64 = 1_000;
const FINAL_ANSWERS_WAIT: Duration = ms(3_400);
/// Largest fleet whose members are asked at the shorter interval.
const MAX_SMALL_FLEET_NODES: usize = 12;

/// Runs the scenario.
pub fn scenario(report: &mut Report, options: &FleetOptions) -> Result<(), ScenarioError> {
    let nodes = options.nodes;
    let bounds = DocumentedBounds::new(nodes);
    let plan = match &options.script {
        Some(path) => {
            let faults = fault_script::parse(&std::fs::read_to_string(path)?, nodes)?;
            FaultPlan { name: "script", faults }
        }
        None => generate_faults(nodes, options.seed, bounds.transition_ms),
    };
    let mut fleet = start_fleet(options)?;
    let methods = methods();
    let rate = nodes as f64 * CORES_PER_PROCESS / mean_work(&methods, &METHOD_WEIGHTS).as_secs_f64()
        * LOAD_SHARE_OF_CORES;
    let load_start_ms = fleet.at_ms();
    let callers = fleet.start_callers(&caller_profile(rate, options.seed));
    let last_fault_ms = plan.faults.last().map_or(FIRST_FAULT_MS, |fault| fault.at_ms);
    let mut recording = Recording {
        plan,
        observations: Vec::new(),
        epochs: vec![Epoch { since_ms: 0, reachability: Reachability::complete(nodes) }],
        injected: InjectedFaults::default(),
        load_start_ms,
        last_fault_ms,
        bounds,
    };
    record(&mut fleet, &mut recording)?;
    callers.stop(FINAL_ANSWERS_WAIT);
    evaluate(report, &mut fleet, &callers, &recording);
    Ok(())
}

fn start_fleet(options: &FleetOptions) -> Result<Fleet, ScenarioError> {
    let nodes = options.nodes;
    let setup = Setup { program: options.other.clone(), ..member_setup(&methods(), nodes) };
    let upstream_slots = (UPSTREAM_CALLS_PER_NODE * nodes as f64 * UPSTREAM_HEADROOM_FACTOR) as usize;
    let config = FleetConfig {
        nodes,
        setup,
        cold_start: COLD_START,
        upstream_slots,
        upstream_call_time: UPSTREAM_CALL_TIME,
        network_seed: Some(options.seed),
    };
    let fleet = Fleet::start(&config)?;
    fleet.wait_until_listed();
    Ok(fleet)
}

/// Injects the faults and asks all responsive members for their views, until all documented bounds have passed.
fn record(fleet: &mut Fleet, recording: &mut Recording) -> Result<(), ScenarioError> {
    let nodes = fleet.members.len();
    let bounds_ms = recording.bounds.healing_ms + recording.bounds.transition_ms;
    let end_ms = recording.load_start_ms + recording.last_fault_ms + bounds_ms + OBSERVE_AFTER_BOUNDS_MS;
    let interval = ms(if nodes <= MAX_SMALL_FLEET_NODES { 100 } else { 400 });
    let mut next_fault = 0;
    let mut reachability = Reachability::complete(nodes);
    while fleet.at_ms() < end_ms {
        let turn_start = Instant::now();
        while let Some(fault) = recording.plan.faults.get(next_fault) {
            if fault.at_ms + recording.load_start_ms > fleet.at_ms() {
                break;
            }
            fleet.inject(fault, &mut recording.injected)?;
            reachability.apply(fault);
            recording.epochs.push(Epoch { since_ms: fleet.at_ms(), reachability: reachability.clone() });
            next_fault += 1;
        }
        let responsive = (0..nodes).filter(|n| reachability.is_responsive(*n));
        recording.observations.extend(responsive.filter_map(|n| Observation::read(fleet, n)));
        std::thread::sleep(interval.saturating_sub(turn_start.elapsed()));
    }
    Ok(())
}
