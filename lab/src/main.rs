//! `asterrill-lab SCENARIO --seed N [--json]`: plays a scenario with `asterrilld` among stand-ins on loopback, and
//! prints what was found, as one JSON object on the last line with `--json`. The exit code is 1 if a rule broke,
//! and 2 if the scenario could not be played.

mod amqp;
mod broker;
mod config;
mod fleet;
mod load;
mod report;
mod scale;
mod world;

use clap::{Parser, Subcommand, ValueEnum};
use report::{Fault, Report};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(version, about = "Scenarios with asterrilld among stand-ins, on loopback")]
struct Arguments {
    #[command(subcommand)]
    scenario: Scenario,
    /// What chance is drawn from
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// One JSON object on the last line
    #[arg(long, global = true)]
    json: bool,
    /// Seconds of load, in scenarios that have one
    #[arg(long, global = true)]
    seconds: Option<u64>,
    /// Framed RPCs a second: 200, unless the scenario says another
    #[arg(long, global = true)]
    rate: Option<f64>,
    /// Another build of asterrilld, for framed-cpu and scale-*
    #[arg(long, global = true)]
    other: Option<std::path::PathBuf>,
    /// Processes, in scenarios of a fleet
    #[arg(long, global = true, default_value_t = 12)]
    nodes: usize,
    /// What happens, by its name in the scenario: of fleet-return, instead of what the seed draws, all, most, rolling,
    /// state-lost, below-lost or odd; of scale-members calm, quiet, restarts, zone or cut; of scale-agree quiet, dead, cut,
    /// loss, keeper, disk or crowd
    #[arg(long, global = true)]
    kind: Option<String>,
    /// Faults written by hand, one a line (lab/src/fleet/script.rs)
    #[arg(long, global = true)]
    script: Option<std::path::PathBuf>,
    /// Where the curve of service is drawn, as SVG
    #[arg(long, global = true)]
    plot: Option<std::path::PathBuf>,
    /// Messages, in scenarios that count them
    #[arg(long, global = true)]
    messages: Option<u64>,
    /// Of 1, the datagrams that get lost, in scale-members
    #[arg(long, global = true, default_value_t = 0.0)]
    loss: f64,
    /// So many real processes beside as many in memory, in scale-members
    #[arg(long, global = true)]
    real: Option<usize>,
    /// What the scale scenarios are played at
    #[command(flatten)]
    scale: scale::Sizes,
    #[command(flatten)]
    capacity: scale::capacity::PageOptions,
    #[command(flatten)]
    forms: scale::forms::FormOptions,
}

impl Arguments {
    fn kind<K: ValueEnum>(&self) -> Result<Option<K>, String> {
        let kind = self.kind.as_deref().map(|kind| K::from_str(kind, false));
        kind.transpose().map_err(|why| format!("--kind: {why}"))
    }
}

#[derive(Subcommand, Clone, Copy, Debug)]
enum Scenario {
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
    /// Most of a fleet restarted at once, its state lost, or the layer below away
    FleetReturn,
    /// Processes that know each other, with cuts, losses, pauses and deaths between them
    FleetMembers,
    /// Processes that agree on lists, with cuts, pauses and deaths between them
    FleetAgree,
    /// Processes that are killed and start again at once, with what they kept, without it, torn, or with a full disk
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
    /// Hollow holders of agreed versions and three keepers, at the fleet's size
    ScaleAgree(scale::agree::Wanted),
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
    /// Forms in which a version of the configuration could be kept, side by side
    ScaleForms,
}

impl Scenario {
    fn name(self) -> &'static str {
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
    fn play(self, report: &mut Report, to: &Arguments) -> Result<(), Fault> {
        let span = |seconds| Duration::from_secs(to.seconds.unwrap_or(seconds));
        let rate = to.rate.unwrap_or(200.0);
        match self {
            Scenario::Demo => amqp::demo(report, to.seed, span(15)),
            Scenario::AmqpFlood => amqp::flood(report, to.seed, span(10), rate),
            Scenario::AmqpRedeliver => amqp::redeliver(report, to.seed, to.messages.unwrap_or(5_000)),
            Scenario::AmqpDrain => amqp::leave(report, to.seed),
            Scenario::AmqpOdd => amqp::odd(report, to.seed),
            Scenario::AmqpRate | Scenario::AmqpLost => {
                let lost = matches!(self, Scenario::AmqpLost);
                let messages = to.messages.unwrap_or(if lost { 20_000 } else { 100_000 });
                amqp::rate(report, to.seed, messages, lost, to.other.as_deref())
            }
            Scenario::ConfigRollback => config::rollback(report, to.seed, rate),
            Scenario::ConfigGood => config::good(report, to.seed, rate),
            Scenario::ConfigCrash => config::crash(report, to.seed),
            Scenario::ConfigStorm => config::storm(report, to.seed, to.messages.unwrap_or(1_000), rate),
            Scenario::RecoveryCpu => amqp::recovery_cpu(report, to.seed, span(4), rate),
            Scenario::FleetReturn | Scenario::FleetMembers | Scenario::FleetAgree => {
                let (script, plot, other) = (to.script.clone(), to.plot.clone(), to.other.clone());
                let terms = fleet::restart_recovery::Terms {
                    seed: to.seed,
                    kind: to.kind()?,
                    nodes: to.nodes.clamp(3, 40),
                    script,
                    plot,
                    other,
                    seconds: to.seconds,
                };
                match self {
                    Scenario::FleetReturn => fleet::restart_recovery::scenario(report, &terms),
                    Scenario::FleetAgree => fleet::agree::scenario(report, &terms),
                    _ => fleet::members::scenario(report, &terms),
                }
            }
            Scenario::FleetReady => fleet::narrow::ready(report, to.nodes.clamp(3, 40)),
            Scenario::FleetCold => fleet::narrow::cold(report, to.seed, to.nodes.clamp(3, 40)),
            Scenario::IdleFlood => fleet::narrow::idle_flood(report, to.seed),
            Scenario::MembersCpu => {
                fleet::members::cpu(report, to.seed, to.nodes.clamp(3, 40), span(4), rate)
            }
            Scenario::ScaleMembers => {
                scale::members::scenario(report, &scale::members::Terms::of(to, to.kind()?))
            }
            Scenario::ScaleAgree(wanted) => {
                let wanted = scale::agree::Wanted { quick: to.scale.quick, ..wanted };
                scale::agree::scenario(report, wanted, to.kind.as_deref(), to.seed)
            }
            Scenario::ScaleConfig => {
                scale::config::scenario(report, to.seed, &to.scale, to.rate, to.other.as_deref())
            }
            Scenario::ScaleRpc => {
                scale::rpc::scenario(report, to.seed, &to.scale, to.rate, to.seconds, to.other.as_deref())
            }
            Scenario::FramedCpu => amqp::framed_cpu(report, to.seed, span(4), rate, to.other.as_deref()),
            Scenario::Capacity => scale::capacity::scenario(report, &to.capacity),
            Scenario::ScaleTool => scale::tool::scenario(report, to.other.as_deref()),
            Scenario::ScaleCallers => scale::callers::scenario(report, to.other.as_deref()),
            Scenario::ScaleForms => scale::forms::scenario(report, to.forms),
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut report = Report::default();
    let scenario = arguments.scenario;
    if let Err(fault) = scenario.play(&mut report, &arguments) {
        eprintln!("asterrill-lab: {}: {fault}", scenario.name());
        return ExitCode::from(2);
    }
    let broken = report.broken().to_vec();
    let value = report.json(scenario.name(), arguments.seed);
    if arguments.json {
        println!("{value}");
    } else if let Some(all) = value.as_object() {
        all.iter().for_each(|(name, value)| println!("{name:24} {value}"));
    }
    for rule in &broken {
        eprintln!("broken: {rule}");
    }
    ExitCode::from(u8::from(!broken.is_empty()))
}
