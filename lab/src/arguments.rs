//! Command-line arguments.

use crate::scale::capacity::CapacityOptions;
use crate::scale::forms::FormOptions;
use crate::scale::options::ScaleOptions;
use clap::{Parser, Subcommand, ValueEnum};

/// Command-line arguments.
#[derive(Parser)]
#[command(version, about = "Runs scenarios with asterrilld and stubs of its dependencies on loopback")]
pub struct Arguments {
    /// Scenario to run
    #[command(subcommand)]
    pub scenario: Scenario,
    /// Seed of the random number generators
    #[arg(long, global = true, default_value_t = 1)]
    pub seed: u64,
    /// Print the report as one JSON object on the last line
    #[arg(long, global = true)]
    pub json: bool,
    /// Duration of the load in seconds, in scenarios with a load
    #[arg(long, global = true)]
    pub seconds: Option<u64>,
    /// Framed RPCs per second; the default is 200 unless the scenario has its own
    #[arg(long, global = true)]
    pub rate: Option<f64>,
    /// Another build of asterrilld to measure, for framed-cpu and scale-*
    #[arg(long, global = true)]
    pub other: Option<std::path::PathBuf>,
    /// Number of processes, in scenarios of a fleet
    #[arg(long, global = true, default_value_t = 12)]
    pub nodes: usize,
    /// Variant of the scenario: for fleet-return all, most, rolling, state-lost, below-lost or odd, in place of the
    /// one that the seed selects; for scale-members calm, quiet, restarts, zone or cut; for scale-agree quiet, dead,
    /// cut, loss, keeper, disk or crowd
    #[arg(long, global = true)]
    pub kind: Option<String>,
    /// File with a fault script, one fault per line (format in lab/src/fleet/fault_script.rs)
    #[arg(long, global = true)]
    pub script: Option<std::path::PathBuf>,
    /// File to which the service level over time is plotted, as SVG
    #[arg(long, global = true)]
    pub plot: Option<std::path::PathBuf>,
    /// Number of messages or changes, in scenarios that send a fixed number
    #[arg(long, global = true)]
    pub messages: Option<u64>,
    /// Fraction of datagrams that are lost (0 to 1), in scale-members
    #[arg(long, global = true, default_value_t = 0.0)]
    pub loss: f64,
    /// Number of real processes to compare with as many simulated ones, in scale-members
    #[arg(long, global = true)]
    pub real: Option<usize>,
    /// Sizes of the scale scenarios
    #[command(flatten)]
    pub scale: ScaleOptions,
    /// Inputs of the capacity page
    #[command(flatten)]
    pub capacity: CapacityOptions,
    /// Storage form that a process measures
    #[command(flatten)]
    pub forms: FormOptions,
}

impl Arguments {
    /// Parses `--kind` as a variant of the scenario.
    ///
    /// # Errors
    /// The scenario has no variant of this name.
    pub fn kind<K: ValueEnum>(&self) -> Result<Option<K>, String> {
        let kind = self.kind.as_deref().map(|kind| K::from_str(kind, false));
        kind.transpose().map_err(|why| format!("--kind: {why}"))
    }
}

/// Scenarios that can be run.
#[derive(Subcommand, Clone, Copy, Debug)]
pub enum Scenario {
    /// Demonstration: framed RPCs with a jump in load, beside a queue
    Demo,
    /// Framed RPCs alone, then beside a queue that never empties
    AmqpFlood,
    /// Thousands of redeliveries after lost connections, some of them duplicated
    AmqpRedeliver,
    /// Graceful shutdown during deliveries
    AmqpDrain,
    /// Each fault that a broker may cause, one after the other
    AmqpOdd,
    /// Messages whose runs call an upstream that never answers
    AmqpSilent,
    /// Throughput with 100,000 messages ready and runs without work
    AmqpRate,
    /// Throughput with a launch that is lost while the connection to the agent stays up
    AmqpLost,
    /// Bad configuration change under load, of a kind that the seed selects
    ConfigRollback,
    /// Good configuration change, with a jump in load for odd seeds
    ConfigGood,
    /// Process killed during the probation of a configuration change
    ConfigCrash,
    /// A thousand configuration changes in a row
    ConfigStorm,
    /// CPU time, p99 latency and start time with and without snapshots, measured alternately
    RecoveryCpu,
    /// Most of a fleet restarted at once, its state lost, or its upstream unavailable
    FleetReturn,
    /// Membership between processes under partitions, datagram loss, pauses and crashes
    FleetMembers,
    /// Agreement on lists between processes under partitions, pauses and crashes
    FleetAgree,
    /// Processes killed and restarted at once: with their state, without it, with a truncated state, or on a full disk
    FleetReady,
    /// Cold servers under the combined load of as many callers
    FleetCold,
    /// Idle clients that use up the file descriptors while the name service is down
    IdleFlood,
    /// A sidecar that uses ids of open and remembered RPCs again
    ReusedIds,
    /// CPU time per framed RPC at one of twenty processes, with and without membership, measured alternately
    MembersCpu,
    /// CPU time per framed RPC, this build and another measured alternately
    FramedCpu,
    /// Membership simulated in memory on virtual time, at the size of the fleet
    ScaleMembers,
    /// Simulated replicas of agreed versions and three voters, at the size of the fleet
    ScaleAgree(crate::scale::agree::AgreeOptions),
    /// One process with many methods and tenants, with configuration changes by entry, by file and as a whole
    ScaleConfig,
    /// CPU time per RPC by number of methods, tenants, callers and list entries
    ScaleRpc,
    /// Generates docs/CAPACITY.md from the measured figures
    Capacity,
    /// Cost of the asterrill command-line tool by number of methods and tenants; --other measures another build of it
    ScaleTool,
    /// Cost of connections that callers keep open; --other measures another build of asterrilld
    ScaleCallers,
    /// Comparison of storage forms for a version of the configuration
    ScaleForms,
}

impl Scenario {
    /// Returns the name of the scenario on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Demo => "demo",
            Scenario::AmqpFlood => "amqp-flood",
            Scenario::AmqpRedeliver => "amqp-redeliver",
            Scenario::AmqpDrain => "amqp-drain",
            Scenario::AmqpOdd => "amqp-odd",
            Scenario::AmqpSilent => "amqp-silent",
            Scenario::AmqpRate => "amqp-rate",
            Scenario::AmqpLost => "amqp-lost",
            Scenario::FramedCpu => "framed-cpu",
            Scenario::ScaleMembers => "scale-members",
            Scenario::FleetReturn => "fleet-return",
            Scenario::FleetMembers => "fleet-members",
            Scenario::FleetAgree => "fleet-agree",
            Scenario::FleetReady => "fleet-ready",
            Scenario::FleetCold => "fleet-cold",
            Scenario::IdleFlood => "idle-flood",
            Scenario::ReusedIds => "reused-ids",
            Scenario::MembersCpu => "members-cpu",
            Scenario::RecoveryCpu => "recovery-cpu",
            Scenario::ConfigRollback => "config-rollback",
            Scenario::ConfigGood => "config-good",
            Scenario::ConfigStorm => "config-storm",
            Scenario::ConfigCrash => "config-crash",
            Scenario::ScaleAgree(_) => "scale-agree",
            Scenario::ScaleConfig => "scale-config",
            Scenario::ScaleRpc => "scale-rpc",
            Scenario::Capacity => "capacity",
            Scenario::ScaleTool => "scale-tool",
            Scenario::ScaleCallers => "scale-callers",
            Scenario::ScaleForms => "scale-forms",
        }
    }
}

#[cfg(test)]
#[path = "tests/arguments.rs"]
mod tests;
