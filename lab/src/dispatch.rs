//! Dispatch of the scenario that the command line names.

use crate::arguments::{Arguments, Scenario};
use crate::fleet::{self, FleetOptions};
use crate::load::RateSpan;
use crate::queue::{self, ThroughputOptions};
use crate::report::{Report, ScenarioError};
use crate::scale::agree::AgreeOptions;
use crate::scale::members::MembersOptions;
use crate::{reused_ids, rollout, scale};
use std::time::Duration;

const DEFAULT_RPCS_PER_S: f64 = 200.0;
const FLEET_NODES: std::ops::RangeInclusive<usize> = 3..=40;

/// Runs a scenario and adds its figures and broken rules to the report.
///
/// # Errors
/// The scenario could not be run.
pub fn run(scenario: Scenario, report: &mut Report, arguments: &Arguments) -> Result<(), ScenarioError> {
    let seed = arguments.seed;
    let rate = arguments.rate.unwrap_or(DEFAULT_RPCS_PER_S);
    let nodes = arguments.nodes.clamp(*FLEET_NODES.start(), *FLEET_NODES.end());
    let other = arguments.other.as_deref();
    let duration = |seconds| Duration::from_secs(arguments.seconds.unwrap_or(seconds));
    let load = |seconds| RateSpan::new(duration(seconds), rate);
    match scenario {
        Scenario::Demo => queue::demo(report, seed, duration(15)),
        Scenario::AmqpFlood => queue::flood(report, seed, duration(10), rate),
        Scenario::AmqpRedeliver => queue::redelivery(report, seed, arguments.messages.unwrap_or(5_000)),
        Scenario::AmqpDrain => queue::shutdown(report, seed),
        Scenario::AmqpOdd => queue::broker_faults(report, seed),
        Scenario::AmqpSilent => queue::silent_upstream(report),
        Scenario::AmqpRate => queue::throughput(report, throughput_options(arguments, false, 100_000)),
        Scenario::AmqpLost => queue::throughput(report, throughput_options(arguments, true, 20_000)),
        Scenario::FramedCpu => queue::framed_cpu(report, seed, load(4), other),
        Scenario::RecoveryCpu => queue::recovery_cpu(report, seed, load(4)),
        Scenario::ConfigRollback => rollout::bad_change(report, seed, rate),
        Scenario::ConfigGood => rollout::good_change(report, seed, rate),
        Scenario::ConfigCrash => rollout::crash(report, seed),
        Scenario::ConfigStorm => rollout::storm(report, seed, arguments.messages.unwrap_or(1_000), rate),
        Scenario::FleetReturn => fleet::restart_recovery::scenario(report, &fleet_options(arguments, nodes)?),
        Scenario::FleetMembers => fleet::members::scenario(report, &fleet_options(arguments, nodes)?),
        Scenario::FleetAgree => fleet::agree::scenario(report, &fleet_options(arguments, nodes)?),
        Scenario::FleetReady => fleet::ready(report, nodes),
        Scenario::FleetCold => fleet::cold_start(report, seed, nodes),
        Scenario::IdleFlood => fleet::idle_flood(report, seed),
        Scenario::ReusedIds => reused_ids::scenario(report, seed, other),
        Scenario::MembersCpu => fleet::members::cpu(report, seed, nodes, load(4)),
        Scenario::ScaleMembers => {
            if let Some(processes) = arguments.real {
                return scale::members::compare_with_processes(report, seed, processes);
            }
            let (kind, loss) = (arguments.kind()?, arguments.loss);
            let quick = arguments.scale.quick;
            scale::members::scenario(report, &MembersOptions::new(arguments.nodes, seed, kind, loss, quick));
            Ok(())
        }
        Scenario::ScaleAgree(options) => {
            let options = AgreeOptions { quick: arguments.scale.quick, ..options };
            scale::agree::scenario(report, options, arguments.kind.as_deref(), seed)
        }
        Scenario::ScaleConfig => {
            scale::config::scenario(report, seed, &arguments.scale, arguments.rate, other)
        }
        Scenario::ScaleRpc => {
            let (sizes, seconds) = (&arguments.scale, arguments.seconds);
            scale::rpc::scenario(report, seed, sizes, arguments.rate, seconds, other)
        }
        Scenario::Capacity => scale::capacity::scenario(report, &arguments.capacity),
        Scenario::ScaleTool => scale::tool::scenario(report, other),
        Scenario::ScaleCallers => scale::callers::scenario(report, other),
        Scenario::ScaleForms => scale::forms::scenario(report, arguments.forms),
    }
}

fn throughput_options(arguments: &Arguments, lost_launch: bool, messages: u64) -> ThroughputOptions<'_> {
    ThroughputOptions {
        seed: arguments.seed,
        messages: arguments.messages.unwrap_or(messages),
        lost_launch,
        other: arguments.other.as_deref(),
    }
}

fn fleet_options(arguments: &Arguments, nodes: usize) -> Result<FleetOptions, ScenarioError> {
    Ok(FleetOptions {
        seed: arguments.seed,
        kind: arguments.kind()?,
        nodes,
        script: arguments.script.clone(),
        plot: arguments.plot.clone(),
        other: arguments.other.clone(),
        seconds: arguments.seconds,
    })
}
