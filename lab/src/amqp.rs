//! Scenarios of the queues.

use crate::broker::{Broker, End, Ledger, Message, Odd, Script};
use crate::load::{in_time, p99_ms, play, sum, Share, Tallies};
use crate::report::{Fault, Report};
use crate::world::{below, naming, Agent, Method, Node, Setup};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const PRICE: Method = Method {
    name: "till-price",
    effect: "free",
    criticality: 5.0,
    target_ms: 100,
    deadline_ms: 400,
    work: ms(2),
    fails: 0,
    calls: false,
};
pub const LOOK: Method =
    Method { name: "look-up", criticality: 1.0, target_ms: 200, deadline_ms: 800, work: ms(3), ..PRICE };
pub const UPDATE: Method = Method {
    name: "stock-update",
    effect: "guarded",
    criticality: 0.2,
    target_ms: 1_000,
    deadline_ms: 5_000,
    work: ms(4),
    ..PRICE
};

fn share(of: Method, weight: u32) -> Share {
    let (target, patience) = (ms(of.target_ms), ms(of.deadline_ms));
    Share { method: of.name, weight, criticality: of.criticality, target, patience }
}

pub fn shares() -> [Share; 2] {
    [share(PRICE, 1), share(LOOK, 3)]
}

fn file(brokers: &[&Broker], method: &str, more: &str) -> String {
    let addresses: String = brokers.iter().map(|b| format!("address {}\n", b.at)).collect();
    format!(
        "[broker]\n{addresses}user lookup\npassword-file {{password}}\nheartbeat 2s\nreconnect 20ms 200ms\n\
         [queue stock]\nmethod {method}\n{more}"
    )
}

fn setup(methods: &[Method], file: Option<String>) -> Setup {
    let (methods, memory_mb, sockets) = (methods.to_vec(), 32, 384);
    Setup {
        methods,
        cores: 2,
        memory_mb,
        sockets,
        stop_ms: 3_000,
        file,
        say: "window",
        program: None,
        loses: None,
        ramp: ms(1_000),
        skips: 0.0,
        shared: None,
        callers: 4,
    }
}

/// A backend among its stand-ins.
pub struct World {
    pub agent: Agent,
    pub node: Node,
}

impl World {
    pub fn start(setup: &Setup, password: &str) -> Result<World, Fault> {
        let agent = Agent::start(setup.cores, &setup.methods)?;
        agent.runs().loses = setup.loses;
        let node = Node::start(setup, agent.at, below()?, naming()?.0, password)?;
        Ok(World { agent, node })
    }
}

fn job(n: u64, named: bool) -> Message {
    let id = named.then(|| format!("id-{n}"));
    Message { id, body: format!("job {n}").into_bytes(), ..Message::default() }
}
pub fn endless(n: u64) -> Message {
    job(n, true)
}

/// Waits until it holds, so long at most.
pub fn until(within: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(ms(5));
    }
    holds()
}

/// What every scenario says of the ledger, and the rules that it checks.
pub fn ledger(report: &mut Report, ledger: &Ledger) {
    report.set("deliveries_read", json!(ledger.deliveries));
    report.set("acked", json!(ledger.acked));
    report.set("rejected", json!(ledger.rejected));
    report.set("requeued", json!(ledger.requeued));
    report.set("lost_with_link", json!(ledger.lost));
    report.set("settled_twice", json!(ledger.settled_twice));
    report.set("unknown_tags", json!(ledger.unknown_tags));
    report.set("unsettled", json!(ledger.unsettled));
    report.rule("a delivery was settled twice", ledger.settled_twice == 0);
    report.rule("a tag was used that was not given out", ledger.unknown_tags == 0);
    report.rule("a delivery was never settled", ledger.unsettled == 0);
    let settled = ledger.acked + ledger.rejected + ledger.requeued;
    report.rule(
        "deliveries and settlements do not add up",
        ledger.deliveries == settled + ledger.lost + ledger.unsettled,
    );
}

fn framed(report: &mut Report, tallies: &Tallies) {
    let (lost, twice, wrong) =
        (sum(tallies, |t| t.lost), sum(tallies, |t| t.twice), sum(tallies, |t| t.wrong));
    report.rule("a framed RPC got no final answer", lost == 0);
    report.rule("a framed RPC was answered twice", twice == 0);
    report.rule("a framed RPC got the result of another", wrong == 0);
}

/// The node leaves; how long that took, and its exit code.
fn drain(world: &mut World, broker: Option<&Broker>) -> (f64, Option<i32>) {
    let start = Instant::now();
    world.node.signal("TERM");
    let code = world.node.ended(Duration::from_secs(6));
    let closed = broker.and_then(|broker| broker.ledger().closed_at);
    let took = closed.map_or(start.elapsed(), |at| at.saturating_duration_since(start));
    std::thread::sleep(ms(50));
    (took.as_secs_f64() * 1000.0, code)
}

/// Framed RPCs alone, then beside a queue that never empties.
pub fn flood(report: &mut Report, seed: u64, span: Duration, rate: f64) -> Result<(), Fault> {
    let none = AtomicBool::new(false);
    let mut results = Vec::new();
    for flooded in [false, true] {
        let broker = Broker::start(Script::default())?;
        broker.state().endless = Some(("stock".into(), endless));
        let file = flooded.then(|| file(&[&broker], "stock-update", "caller 900\nprefetch 64\n"));
        let password = broker.state().password.clone();
        let mut world = World::start(&setup(&[PRICE, LOOK, UPDATE], file), &password)?;
        let warm = play(world.node.at, &shares(), &[(ms(1_000), rate)], seed + 100, &none)?;
        report.rule("nothing is answered", sum(&warm, |t| t.ok) > 0);
        let (cpu, before) = (world.node.cpu_us(), broker.ledger());
        let tallies = play(world.node.at, &shares(), &[(span, rate)], seed, &none)?;
        let after = broker.ledger();
        let cpu = world.node.cpu_us() - cpu;
        framed(report, &tallies);
        let rpcs = sum(&tallies, |t| t.asked).max(1);
        if flooded {
            let deliveries = after.acked - before.acked;
            report.set("deliveries_per_s", json!(deliveries as f64 / span.as_secs_f64()));
            report.set("most_out", json!(after.most_out));
            report.set("subscriptions", json!(after.subscriptions));
            report.set("memory_mb", json!(world.node.memory_mb()));
            report.rule("no delivery was taken", deliveries > 0);
        } else {
            report.set("cpu_us_per_rpc", json!(cpu / rpcs));
        }
        let (took, code) = drain(&mut world, Some(&broker).filter(|_| flooded));
        report.rule("the node did not end well", code == Some(0));
        if flooded {
            report.set("drain_ms", json!(took));
            ledger(report, &broker.ledger());
        }
        results.push((in_time(&tallies, &shares()), p99_ms(&tallies)));
    }
    let [(alone, p99_alone), (flooded, p99_flooded)] = results[..] else { return Err("two runs".into()) };
    report.set("framed_in_time_alone", json!(alone));
    report.set("framed_in_time_flooded", json!(flooded));
    report.set("p99_ms_alone", json!(p99_alone));
    report.set("p99_ms_flooded", json!(p99_flooded));
    report.rule("framed RPCs alone are not in time", alone > 0.9);
    report.rule("the queue took time from framed RPCs", (alone - flooded).abs() < 0.02);
    Ok(())
}

/// Thousands of redeliveries after cuts, some of them twice, by a broker that forgets what was settled.
pub fn redeliver(report: &mut Report, seed: u64, messages: u64) -> Result<(), Fault> {
    let mut chance = StdRng::seed_from_u64(seed);
    let first = messages / 4 + chance.random_range(0..messages / 8);
    let script = Script {
        cuts: [first, messages + first / 2].into(),
        forgets: true,
        twice: chance.random_range(5..15),
        ..Script::default()
    };
    let broker = Broker::start(script)?;
    for n in 0..messages {
        broker.publish("stock", job(n, true));
    }
    let update = Method { work: ms(0), ..UPDATE };
    let more = "prefetch 256\nbound 60s\nremember 10m 20000\n";
    let password = broker.state().password.clone();
    let mut setup = setup(&[PRICE, LOOK, update], Some(file(&[&broker], "stock-update", more)));
    (setup.say, setup.cores) = ("off", 32); // no credit: the window opens to so many to a core
    let mut world = World::start(&setup, &password)?;
    let whole = until(Duration::from_secs(60), || {
        let ledger = broker.ledger();
        ledger.cut == 2 && ledger.ends.len() as u64 == messages && broker.ready("stock") == 0
    });
    report.rule("not every message was settled", whole);
    let (took, code) = drain(&mut world, Some(&broker));
    report.rule("the node did not end well", code == Some(0));
    report.set("drain_ms", json!(took));
    let ended = broker.ledger();
    report.set("redeliveries", json!(ended.redeliveries));
    report.set("runs", json!(world.agent.runs().begun));
    let twice = world.agent.twice("job");
    report.set("runs_twice", json!(twice));
    report.rule("a tokened message ran twice", twice == 0);
    report.rule("no message was redelivered", ended.redeliveries > messages / 4);
    // A message may end several times by this broker, but always in the same way.
    let same = ended.ends.values().all(|ends| ends.iter().all(|end| *end == ends[0]));
    report.rule("a message was settled in two ways", same);
    ledger(report, &ended);
    Ok(())
}

/// The notice to leave in the middle of deliveries, framed RPCs and a half-sent delivery.
pub fn leave(report: &mut Report, seed: u64) -> Result<(), Fault> {
    let mut chance = StdRng::seed_from_u64(seed);
    let script =
        Script { odd: [(150 + chance.random_range(0..50), Odd::HalfContent)].into(), ..Script::default() };
    let broker = Broker::start(script)?;
    broker.state().endless = Some(("stock".into(), endless));
    let file = file(&[&broker], "stock-update", "prefetch 32\n");
    let password = broker.state().password.clone();
    let slow = Method { work: ms(20), ..UPDATE };
    let mut world = World::start(&setup(&[PRICE, LOOK, slow], Some(file)), &password)?;
    let (at, end) = (world.node.at, Arc::new(AtomicBool::new(false)));
    let load = {
        let end = end.clone();
        std::thread::spawn(move || {
            play(at, &shares(), &[(Duration::from_secs(30), 100.0)], seed, &end).map_err(|e| e.to_string())
        })
    };
    let half = until(Duration::from_secs(20), || broker.ledger().odd == 1);
    report.rule("the half delivery was not reached", half);
    let (took, code) = drain(&mut world, Some(&broker));
    end.store(true, Ordering::Release);
    let tallies = load.join().map_err(|_| "the load ended badly")??;
    framed(report, &tallies);
    report.rule("the node did not end well", code == Some(0));
    report.set("drain_ms", json!(took));
    report.rule("the broker was not left within the grace", took < 2_900.0);
    let ended = broker.ledger();
    report.rule("the connection was not closed well", ended.closed_well == 1);
    report.set("runs_twice", json!(world.agent.twice("job")));
    report.rule("a tokened message ran twice", world.agent.twice("job") == 0);
    report.set("framed_ok", json!(sum(&tallies, |t| t.ok)));
    ledger(report, &ended);
    Ok(())
}

/// Everything a broker may do wrong, one after the other, with answers wanted and messages that fail.
pub fn odd(report: &mut Report, seed: u64) -> Result<(), Fault> {
    let kinds = [
        Odd::CancelConsumer,
        Odd::Block,
        Odd::CloseChannel,
        Odd::Huge,
        Odd::UnknownMethod,
        Odd::CloseConnection,
        Odd::Garbage,
        Odd::HalfContent,
        Odd::Silence,
    ];
    let script = Script {
        odd: kinds.iter().enumerate().map(|(i, odd)| (30 * (i as u64 + 1), *odd)).collect(),
        frame_max: Some(4096),
        heartbeat: 1,
        ..Script::default()
    };
    let broker = Broker::start(script)?;
    // Where the first broker should be nobody listens.
    let nobody =
        Broker { at: std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?, state: broker.state.clone() };
    broker.state().reply_queues.insert("answers".into());
    let messages = 400 + seed % 50;
    for n in 0..messages {
        let to = ["answers", "gone"][n as usize % 2];
        let reply_to = Some(to.to_string()).filter(|_| n % 3 == 0);
        broker.publish("stock", Message { reply_to, ..job(n, true) });
    }
    let password = broker.state().password.clone();
    let update = Method { work: ms(1), ..UPDATE };
    let file = file(&[&nobody, &broker], "stock-update", "prefetch 32\nbound 60s\n");
    let mut world = World::start(&setup(&[PRICE, LOOK, update], Some(file)), &password)?;
    let none = AtomicBool::new(false);
    let tallies = play(world.node.at, &shares(), &[(Duration::from_secs(4), 100.0)], seed, &none)?;
    framed(report, &tallies);
    let whole = until(Duration::from_secs(40), || {
        let ledger = broker.ledger();
        ledger.odd == kinds.len() as u64
            && broker.ready("stock") == 0
            && ledger.ends.len() as u64 >= messages + 2
    });
    report.rule("not every message was settled", whole);
    std::thread::sleep(ms(300));
    let memory = world.node.memory_mb();
    let (took, code) = drain(&mut world, Some(&broker));
    report.rule("the node did not end well", code == Some(0));
    report.set("drain_ms", json!(took));
    let ended = broker.ledger();
    report.set("odd", json!(ended.odd));
    report.set("connections", json!(ended.connections));
    report.set("replies", json!(ended.replies.len()));
    report.set("returned", json!(ended.returned));
    report.set("memory_mb", json!(memory));
    report.rule("memory grew beyond 32 MB", memory > 1.0 && memory < 32.0);
    report.set("runs_twice", json!(world.agent.twice("job")));
    report.rule("a tokened message ran twice", world.agent.twice("job") == 0);
    report.rule("no answer arrived", !ended.replies.is_empty() && ended.returned > 0);
    let fine = ended.replies.iter().all(|(_, correlation, body)| {
        correlation.is_some() && (body.is_empty() || body.starts_with(b"did job "))
    });
    report.rule("an answer is not that of its message", fine);
    ledger(report, &ended);
    Ok(())
}

/// 100,000 ready at the start, work that costs nothing: what the program itself takes. Poison among them. `lost`: the
/// launch of a number drawn from the seed gets lost on its way, on a link that stands; service has to go on.
pub fn rate(
    report: &mut Report, seed: u64, messages: u64, lost: bool, other: Option<&Path>,
) -> Result<(), Fault> {
    let broker = Broker::start(Script { counting: true, ..Script::default() })?;
    let mut state = broker.state();
    let queue = state.queues.entry("stock".into()).or_default();
    queue.extend((0..messages).map(|n| Message { number: n + 1, ..job(n, true) }));
    let password = state.password.clone();
    drop(state);
    let update = Method { work: ms(0), effect: "free", fails: 1_000, ..UPDATE };
    let more = "prefetch 128\nbound 10m\nattempts 2\npause 1ms 5ms\n";
    let mut setup = setup(&[PRICE, LOOK, update], Some(file(&[&broker], "stock-update", more)));
    (setup.say, setup.cores) = ("off", 32);
    setup.program = other.map(Path::to_path_buf);
    setup.loses = Some(2 + seed * 17 % 100).filter(|_| lost);
    let mut world = World::start(&setup, &password)?;
    // The window opens by doublings; what is measured begins once it is wide, or with half of it all.
    until(ms(10_000), || broker.ledger().most_out >= 128 || broker.ready("stock") as u64 * 2 < messages);
    let (start, before, cpu) = (Instant::now(), broker.ledger(), world.node.cpu_us());
    let most = Duration::from_secs(if lost { 20 } else { 120 });
    let whole = until(most, || broker.ready("stock") == 0);
    let (took, after) = (start.elapsed().as_secs_f64(), broker.ledger());
    report.rule("the queue was not worked off", whole);
    let settled = (after.acked + after.rejected - before.acked - before.rejected).max(1);
    report.set("deliveries_per_s", json!(settled as f64 / took));
    report.set("cpu_us_per_delivery", json!((world.node.cpu_us() - cpu) as f64 / settled as f64));
    report.set("memory_mb", json!(world.node.memory_mb()));
    report.rule("memory grew beyond 32 MB", world.node.memory_mb() < 32.0);
    report.set("cores_used", json!((world.node.cpu_us() - cpu) as f64 / 1e6 / took));
    // What is out is settled too, the run that was lost last of all.
    let settled = until(most, || {
        let ledger = broker.ledger();
        ledger.acked + ledger.rejected >= messages
    });
    report.rule("a delivery was not settled", settled);
    report.set("settled_ms", json!(start.elapsed().as_millis() as u64));
    report.set("agent_relaunches_known", json!(world.agent.runs().known_again));
    std::thread::sleep(ms(200));
    let (drained, code) = drain(&mut world, Some(&broker));
    report.rule("the node did not end well", code == Some(0));
    report.set("drain_ms", json!(drained));
    let ended = broker.ledger();
    let rejected = ended.ends.values().flatten().filter(|end| **end == End::Rejected).count();
    report.set("dead_letters", json!(rejected));
    ledger(report, &ended);
    Ok(())
}

/// CPU of a framed RPC with this build, and with another in turns if one is named: medians of five.
pub fn framed_cpu(
    report: &mut Report, seed: u64, span: Duration, rate: f64, other: Option<&Path>,
) -> Result<(), Fault> {
    let none = AtomicBool::new(false);
    let mut found = [Vec::new(), Vec::new()];
    for round in 0..5 {
        for (which, program) in [None, other].into_iter().enumerate().filter(|(i, p)| *i == 0 || p.is_some())
        {
            let quick = [PRICE, LOOK].map(|method| Method { work: ms(0), ..method });
            let setup = Setup { program: program.map(Path::to_path_buf), ..setup(&quick, None) };
            let world = World::start(&setup, "")?;
            play(world.node.at, &shares(), &[(ms(500), rate)], seed + 50 + round, &none)?;
            let before = world.node.cpu_us();
            let tallies = play(world.node.at, &shares(), &[(span, rate)], seed + round, &none)?;
            let cpu = world.node.cpu_us() - before;
            framed(report, &tallies);
            found[which].push(cpu as f64 / sum(&tallies, |t| t.asked).max(1) as f64);
        }
    }
    let median = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied()
    };
    let [mut this, mut that] = found;
    report.set("all_this", json!(this));
    report.set("all_other", json!(that));
    let (this, that) = (median(&mut this), median(&mut that));
    report.set("cpu_us_per_rpc", json!(this));
    report.set("cpu_us_per_rpc_other", json!(that));
    report.set("ratio", json!(this.zip(that).map(|(this, that)| this / that)));
    Ok(())
}

/// CPU and p99 of framed RPCs with snapshots each second and without `[recovery]`, in turns: medians of five.
pub fn recovery_cpu(report: &mut Report, seed: u64, span: Duration, rate: f64) -> Result<(), Fault> {
    let none = AtomicBool::new(false);
    let (mut cpu, mut p99, mut begun) = ([vec![], vec![]], [vec![], vec![]], [vec![], vec![]]);
    let section = "[changes]\nstate {dir}/state\n";
    for round in 0..5 {
        for (which, recovery) in ["", "[recovery]\nsnapshot 1s\n"].into_iter().enumerate() {
            let quick = [PRICE, LOOK].map(|method| Method { work: ms(0), ..method });
            let start = Instant::now();
            let world = World::start(&setup(&quick, Some(format!("{section}{recovery}"))), "")?;
            begun[which].push(start.elapsed().as_secs_f64() * 1_000.0);
            play(world.node.at, &shares(), &[(ms(500), rate)], seed + 50 + round, &none)?;
            let before = world.node.cpu_us();
            let tallies = play(world.node.at, &shares(), &[(span, rate)], seed + round, &none)?;
            let used = (world.node.cpu_us() - before) as f64;
            framed(report, &tallies);
            cpu[which].push(used / sum(&tallies, |t| t.asked).max(1) as f64);
            p99[which].push(p99_ms(&tallies));
        }
    }
    let median = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    for (name, all) in [("cpu_us_per_rpc", &mut cpu), ("p99_ms", &mut p99), ("start_ms", &mut begun)] {
        let [off, on] = all;
        report.set(&format!("{name}_off"), json!(median(off)));
        report.set(&format!("{name}_on"), json!(median(on)));
    }
    Ok(())
}

/// The main job, to be looked at: load that jumps, a queue, progress on a terminal and a table at the end.
pub fn demo(report: &mut Report, seed: u64, span: Duration) -> Result<(), Fault> {
    let broker = Broker::start(Script::default())?;
    broker.state().endless = Some(("stock".into(), endless));
    let password = broker.state().password.clone();
    let file = file(&[&broker], "stock-update", "caller 900\nprefetch 32\n");
    let mut world = World::start(&setup(&[PRICE, LOOK, UPDATE], Some(file)), &password)?;
    println!("asterrilld takes RPCs at {} and deliveries of the queue stock.", world.node.at);
    let third = span / 3;
    let rates = [(third, 150.0), (third, 900.0), (third, 150.0)];
    let (at, none) = (world.node.at, AtomicBool::new(false));
    let load =
        std::thread::spawn(move || play(at, &shares(), &rates, seed, &none).map_err(|e| e.to_string()));
    let start = Instant::now();
    let mut last = 0;
    while !load.is_finished() {
        std::thread::sleep(ms(1_000));
        let (ledger, runs) = (broker.ledger(), world.agent.runs().begun);
        let told = if start.elapsed() < third || start.elapsed() > third * 2 { "steady" } else { "jump" };
        println!(
            "{:3} s  {told:6}  runs {:5} a second  deliveries settled {:6}",
            start.elapsed().as_secs(),
            runs - last,
            ledger.acked + ledger.rejected
        );
        last = runs;
    }
    let tallies = load.join().map_err(|_| "the load ended badly")??;
    let (took, code) = drain(&mut world, Some(&broker));
    let ended = broker.ledger();
    println!(
        "\n{:14} {:>7} {:>7} {:>7} {:>11} {:>8}",
        "method", "asked", "ok", "in time", "pushed back", "aborted"
    );
    for (name, t) in &tallies {
        println!("{name:14} {:7} {:7} {:7} {:11} {:8}", t.asked, t.ok, t.in_time, t.pushed_back, t.aborted);
    }
    println!(
        "{:14} {:7} {:7} {:>7} {:11} {:8}   delivered, acknowledged, put back, rejected\n",
        UPDATE.name, ended.deliveries, ended.acked, "", ended.requeued, ended.rejected
    );
    framed(report, &tallies);
    report.rule("the node did not end well", code == Some(0));
    report.set("drain_ms", json!(took));
    ledger(report, &ended);
    Ok(())
}
