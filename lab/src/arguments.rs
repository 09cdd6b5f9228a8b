//! The command line.

use crate::scale::capacity::CapacityOptions;
use crate::scale::forms::FormOptions;
use crate::scale::options::ScaleOptions;
use clap::{Parser, Subcommand, ValueEnum};

/// The command line.
#[derive(Parser)]
#[command(version, about = "Scenarios with asterrilld among stand-ins, on loopback")]
pub struct Arguments {
    /// What is played
    #[command(subcommand)]
    pub scenario: Scenario,
    /// Seed of all random draws
    #[arg(long, global = true, default_value_t = 1)]
    pub seed: u64,
    /// One JSON object on the last line
    #[arg(long, global = true)]
    pub json: bool,
    /// Seconds of load, in scenarios that have one
    #[arg(long, global = true)]
    pub seconds: Option<u64>,
    /// Framed RPCs a second: 200, unless the scenario says another
    #[arg(long, global = true)]
    pub rate: Option<f64>,
    /// Another build of asterrilld, for framed-cpu and scale-*
    #[arg(long, global = true)]
    pub other: Option<std::path::PathBuf>,
    /// Processes, in scenarios of a fleet
    #[arg(long, global = true, default_value_t = 12)]
    pub nodes: usize,
    /// What happens, by its name in the scenario: of fleet-return, instead of what the seed draws, all, most, rolling,
    /// state-lost, below-lost or odd; of scale-members calm, quiet, restarts, zone or cut; of scale-agree quiet, dead, cut,
    /// loss, keeper, disk or crowd
    #[arg(long, global = true)]
    pub kind: Option<String>,
    /// Faults written by hand, one a line (lab/src/fleet/fault_script.rs)
    #[arg(long, global = true)]
    pub script: Option<std::path::PathBuf>,
    /// Where the curve of service is drawn, as SVG
    #[arg(long, global = true)]
    pub plot: Option<std::path::PathBuf>,
    /// Messages, in scenarios that count them
    #[arg(long, global = true)]
    pub messages: Option<u64>,
    /// Of 1, the datagrams that get lost, in scale-members
    #[arg(long, global = true, default_value_t = 0.0)]
    pub loss: f64,
    /// So many real processes beside as many in memory, in scale-members
    #[arg(long, global = true)]
    pub real: Option<usize>,
    /// What the scale scenarios are played at
    #[command(flatten)]
    pub scale: ScaleOptions,
    /// What the page of capacity is worked out of
    #[command(flatten)]
    pub capacity: CapacityOptions,
    /// Which form a process measures
    #[command(flatten)]
    pub forms: FormOptions,
}

impl Arguments {
    /// What happens, by one of the names of a scenario.
    ///
    /// # Errors
    /// The scenario has no such name.
    pub fn kind<K: ValueEnum>(&self) -> Result<Option<K>, String> {
        let kind = self.kind.as_deref().map(|kind| K::from_str(kind, false));
        kind.transpose().map_err(|why| format!("--kind: {why}"))
    }
}

/// What is played.
#[derive(Subcommand, Clone, Copy, Debug)]
pub enum Scenario {
    /// The main job, to be looked at
    Demo,
    /// Framed RPCs alone, then beside a queue that never empties
    AmqpFlood,
    /// Thousands of redeliveries after cuts, some twice
    AmqpRedeliver,
    /// The notice to leave in the middle of deliveries
    AmqpDrain,
    /// Everything a broker may do wrong
    AmqpOdd,
    /// 100,000 messages ready, with work that costs nothing
    AmqpRate,
    /// The same with a launch that the agent never gets, on a link that stands
    AmqpLost,
    /// A bad change of the configuration under load, of a kind drawn from the seed
    ConfigRollback,
    /// A good change, across a jump in load for odd seeds
    ConfigGood,
    /// Killed in the middle of a probation
    ConfigCrash,
    /// A thousand changes in a row
    ConfigStorm,
    /// CPU, p99 and start of a backend that writes snapshots, and of one that does not, in turns
    RecoveryCpu,
    /// Most of a fleet restarted at once, its state lost, or the upstream away
    FleetReturn,
    /// Processes that know each other, with cuts, losses, pauses and deaths between them
    FleetMembers,
    /// Processes that agree on lists, with cuts, pauses and deaths between them
    FleetAgree,
    /// Processes that are killed and start again at once, with what they had persisted, without it, torn, or with a full disk
    FleetReady,
    /// Cold servers under the sum of what as many callers send
    FleetCold,
    /// Idle clients fill the descriptors while the name service is down
    IdleFlood,
    /// CPU of a framed RPC at one of twenty processes, with members and without, in turns
    MembersCpu,
    /// CPU of a framed RPC, this build and another in turns
    FramedCpu,
    /// Members in memory on virtual time, at the fleet's size
    ScaleMembers,
    /// Simulated replicas of agreed versions and three voters, at the fleet's size
    ScaleAgree(crate::scale::agree::AgreeOptions),
    /// One process with many methods and tenants, whose configuration changes by entries, by files and as a whole
    ScaleConfig,
    /// CPU of an RPC by methods, tenants, callers and entries of lists
    ScaleRpc,
    /// Works docs/CAPACITY.md out from what was measured
    Capacity,
    /// What the operators' tool costs, by methods and tenants; --other measures another asterrill
    ScaleTool,
    /// What connections cost that callers keep open; --other measures another asterrilld
    ScaleCallers,
    /// Forms in which a version of the configuration could be stored, side by side
    ScaleForms,
}

impl Scenario {
    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Demo => "demo",
            Scenario::AmqpFlood => "amqp-flood",
            Scenario::AmqpRedeliver => "amqp-redeliver",
            Scenario::AmqpDrain => "amqp-drain",
            Scenario::AmqpOdd => "amqp-odd",
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
