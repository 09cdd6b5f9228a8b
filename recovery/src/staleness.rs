//! What of a snapshot still holds after this start. One table; the docs have it in words
//! (`docs/design/recovery.md`).

use crate::snapshot::{age, Learned, Moment};
use asterrill::Us;
use std::collections::BTreeMap;

/// Beyond this time after a start nothing that was kept withholds an RPC or a call, unless fresh evidence says the
/// same. In microseconds.
pub const STATED: Us = 10_000_000;
/// A kept cost counts for so many runs at the most, so that as many fresh ones outweigh it.
pub const KEPT_RUNS: f64 = 8.0;
/// A kept cost is at most this share of its latency target: twice what a server takes that knows nothing.
pub const DEAREST: f64 = 0.4;

const HALF: f64 = 86_400_000_000.0; // the age at which a cost counts for half: methods change with releases
const LEAST: f64 = 0.5; // runs below which a cost is not worth taking
const TARGET: Us = STATED; // a target is of its minute's load: older than this it is thrown away
const PACE: Us = 2_000_000; // a slow spell, likewise
const TROUBLE: Us = 60_000_000; // failures of the layer below are a reason for care so long
const FULL: f64 = 0.5; // shortest latency targets in which an account fills up (buf_limit over mrr)

/// The latency targets of the methods that there are, in microseconds.
pub trait Targets {
    /// None for a method that is not known.
    fn target(&self, name: &str) -> Option<Us>;
    /// The shortest of all; 0 where there is no method.
    fn shortest(&self) -> Us;
}

impl Targets for BTreeMap<String, Us> {
    fn target(&self, name: &str) -> Option<Us> {
        self.get(name).copied()
    }
    fn shortest(&self) -> Us {
        self.values().min().copied().unwrap_or(0)
    }
}

/// What this start is like.
#[derive(Clone)]
pub struct Present<'a> {
    pub name: &'a str,
    pub settings: u64,
    pub cores: f64,
    pub memory_mb: u64,
    pub moment: Moment,
    /// The agent greeted as empty: what makes it quick is not there yet.
    pub empty: bool,
    /// How old a snapshot may be at all, in microseconds.
    pub trust: Us,
    pub targets: &'a dyn Targets,
}

/// The kinds of values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Value {
    Costs,
    Target,
    Pace,
    Breaker,
    Accounts,
    Tenants,
}

/// Why a value is thrown away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    AgeUnknown,
    TooOld,
    OtherBackend,
    OtherSettings,
    OtherMachine,
    AgentEmpty,
    /// Nothing of that kind stands in it, or of nothing that there is now.
    Nothing,
}

/// What becomes of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Taken,
    /// It counts for this share, above 0 and below 1.
    Faded(f64),
    Thrown(Why),
}

/// What the module is to recall. Whatever is not in it begins as on a server that knows nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recall {
    /// Of each method by name: the cost in microseconds, and the runs that it counts for.
    pub costs: Vec<(String, f64, f64)>,
    pub target: Option<f64>,
    pub pace: Option<f64>,
    /// One failure of a call opens the breaker; until then nothing is withheld.
    pub careful: bool,
    pub accounts: Vec<(u64, f64)>,
    /// With the time that passed since, in which their room grew.
    pub tenants: Vec<(String, f64)>,
    pub age: Us,
    /// What became of each kind, for the log and for operators.
    pub verdicts: Vec<(Value, Verdict)>,
}

/// Weighs what was kept against this start. The rules, in order:
///
/// 1. Another backend's snapshot, or one whose age can't be trusted or is beyond `trust`: all is thrown away.
/// 2. Costs fade by half a day, by half under other settings, on other cores and while the agent is empty; they count
///    for at most [`KEPT_RUNS`] runs and [`DEAREST`] of their latency target. A method whose target moved is new.
/// 3. The target is taken by a warm agent under the same settings on the same machine within [`STATED`] only.
/// 4. The pace likewise, within 2 s: a slow spell from before is no reason to turn anything away.
/// 5. An open breaker never comes back open. Within a minute one failure opens it again.
/// 6. Accounts are taken within the time in which an empty one fills up anyway, tenants' rooms within [`STATED`].
pub fn weigh(kept: &Learned, now: &Present<'_>) -> Recall {
    let mut recall = Recall::default();
    let age = match age(&now.moment, &kept.moment) {
        _ if kept.name != now.name => return recall.nothing(Why::OtherBackend),
        None => return recall.nothing(Why::AgeUnknown),
        Some(age) if age > now.trust => return recall.nothing(Why::TooOld),
        Some(age) => age,
    };
    recall.age = age;
    let settings = kept.settings == now.settings;
    let machine = kept.cores == now.cores && kept.memory_mb == now.memory_mb;
    let within = |span: Us, warm: bool| match () {
        _ if !settings => Some(Why::OtherSettings),
        _ if !machine => Some(Why::OtherMachine),
        _ if warm && now.empty => Some(Why::AgentEmpty),
        _ => Some(Why::TooOld).filter(|_| age > span),
    };

    let halves = [!settings, !machine, now.empty].into_iter().filter(|so| *so).count() as i32;
    let weight = 0.5_f64.powf(age as f64 / HALF + f64::from(halves));
    for method in &kept.methods {
        let runs = method.runs.min(KEPT_RUNS) * weight;
        if now.targets.target(&method.name) == Some(method.target) && runs >= LEAST && method.mean > 0.0 {
            let mean = method.mean.min(method.target as f64 * DEAREST);
            recall.costs.push((method.name.clone(), mean, runs));
        }
    }
    let costs = match recall.costs.is_empty() {
        true => Verdict::Thrown(Why::Nothing),
        false if weight >= 0.999 => Verdict::Taken,
        false => Verdict::Faded(weight),
    };
    recall.verdicts.push((Value::Costs, costs));

    let verdict = |thrown: Option<Why>, some: bool| match thrown {
        Some(why) => Verdict::Thrown(why),
        None if some => Verdict::Taken,
        None => Verdict::Thrown(Why::Nothing),
    };
    let target = verdict(within(TARGET, true), kept.target > 0.0);
    recall.target = Some(kept.target).filter(|_| target == Verdict::Taken);
    recall.verdicts.push((Value::Target, target));
    let pace = verdict(within(PACE, true), kept.pace > 0.0);
    recall.pace = Some(kept.pace).filter(|_| pace == Verdict::Taken);
    recall.verdicts.push((Value::Pace, pace));
    recall.careful = kept.failures > 0 && age <= TROUBLE;
    let breaker = match (kept.failures, recall.careful) {
        (0, _) => Verdict::Thrown(Why::Nothing),
        (_, true) => Verdict::Faded(0.5),
        (_, false) => Verdict::Thrown(Why::TooOld),
    };
    recall.verdicts.push((Value::Breaker, breaker));
    let shortest = now.targets.shortest();
    let accounts = verdict(within((shortest as f64 * FULL) as Us, false), !kept.accounts.is_empty());
    if accounts == Verdict::Taken {
        recall.accounts = kept.accounts.clone();
    }
    recall.verdicts.push((Value::Accounts, accounts));
    let tenants = verdict(within(STATED, false), !kept.tenants.is_empty());
    if tenants == Verdict::Taken {
        recall.tenants = kept.tenants.clone();
    }
    recall.verdicts.push((Value::Tenants, tenants));
    recall
}

impl Recall {
    fn nothing(mut self, why: Why) -> Recall {
        use Value::{Accounts, Breaker, Costs, Pace, Target, Tenants};
        let all = [Costs, Target, Pace, Breaker, Accounts, Tenants];
        self.verdicts = all.into_iter().map(|value| (value, Verdict::Thrown(why))).collect();
        self
    }
    /// In words, such as `costs faded to 0.50, target thrown away: TooOld`.
    pub fn told(&self) -> String {
        let word = |(value, verdict): &(Value, Verdict)| match verdict {
            Verdict::Taken => format!("{value:?} taken"),
            Verdict::Faded(share) => format!("{value:?} faded to {share:.2}"),
            Verdict::Thrown(why) => format!("{value:?} thrown away: {why:?}"),
        };
        self.verdicts.iter().map(word).collect::<Vec<_>>().join(", ")
    }
}
