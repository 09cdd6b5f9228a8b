//! `scale-agree`: what there is of agreement today, hollow, at the fleet's size: three keepers and many holders, the real
//! state machines of `asterrill-consensus` with a driver in memory (`world.rs`, which says what it leaves out).
//!
//! Times are virtual. CPU is what this thread spent in the state machines; it is charged to the virtual time of the node that
//! spent it, but for `--quick`, which is the same each time.

mod world;

#[cfg(test)]
mod tests;

use crate::report::{Fault, Report};
use asterrill::Us;
use asterrill_consensus::{
    Access, Change, Config, Counters, ListEntry, ListKind, ProposalOutcome, MAX_STEP_CHANGES,
};
use clap::ValueEnum;
use rand::seq::SliceRandom;
use rand::Rng;
use serde_json::{json, Value};
use world::{Bounds, Tally, World, MS, S};

const KEEPERS: usize = 3;
const LEASE: Us = 5 * S; // operator-config/src/fleet.rs
const TICK: Us = 50 * MS;
const FORGET: usize = 260; // one-entry changes, after which the keepers know no steps from the start any more
const PLACES: usize = 12_000_000; // holders times entries, for which two gigabytes are enough
const STEPS: usize = 5_200_000; // the same, for a run in which every entry changes
const DEAD: usize = 8;
const LOSS: f64 = 0.1;
const PATIENCE: Us = 600 * S; // for anything to come about
const SPENT: f64 = 200_000.0; // ms of the keepers' CPU, after which blank holders are given up

/// Budgets of a backend (CPU ms a second, bytes a second, kB), and of the fleet (ms until a change is in force).
const CPU: f64 = 14.0;
const BYTES: f64 = 24_000.0;
const MEMORY: f64 = 32_768.0;
const IN_FORCE: f64 = 17_000.0;

/// What goes wrong while changes are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Kind {
    /// Nothing
    Quiet,
    /// Eight holders die at once, and stay dead
    Dead,
    /// Eight holders are cut off from all, and act on until their leases end
    Cut,
    /// One datagram in ten is lost
    Loss,
    /// The keeper that leads is killed, and comes back with its disk after twenty seconds
    Keeper,
    /// A keeper that does not lead loses its disk and starts without anything
    Disk,
    /// In place of changes in turns: all holders wish something at once, in two pieces each
    Crowd,
}

#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Wanted {
    /// Nodes beside the three keepers
    #[arg(long, default_value_t = 40)]
    pub holders: usize,
    /// Entries of the list that is agreed on
    #[arg(long, default_value_t = 10_000)]
    pub entries: usize,
    /// Few changes and nothing that differs from run to run
    #[arg(skip)]
    pub quick: bool,
    /// Seconds between changes: 4 is ten times as many as on an average day
    #[arg(long, default_value_t = 4)]
    pub every: u64,
    /// Computing takes no virtual time
    #[arg(long)]
    pub free: bool,
}

fn name(n: usize) -> String {
    format!("tenant-{n:05}")
}
fn put(key: String, access: Access) -> Change {
    Change::Put { kind: ListKind::Tenants, key, entry: ListEntry { access, expires_at: 0 } }
}
/// Resident memory of this process, in kB.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}
fn ms(us: Us) -> f64 {
    us as f64 / 1_000.0
}

/// What is told of the run, and how far it got.
struct Run {
    world: World,
    holders: Vec<usize>,
    entries: usize,
    /// Whether each entry is barred now.
    out: Vec<bool>,
    rounds: u64,
    every: Us,
    /// What was resident, in kB, before there were holders; and leases that had ended before anything went wrong.
    resident: f64,
    lapsed: u64,
    /// What was lost to bounds, and how often somebody began to lead, by then.
    begun: (Bounds, u64),
    loaded: usize,
}

/// Median, 99th of 100, and greatest.
fn spread(mut all: Vec<Us>) -> [Value; 3] {
    all.sort_unstable();
    let at = |part: usize| all.get((all.len() * part / 100).min(all.len().saturating_sub(1)));
    [at(50), at(99), all.last()].map(|us| json!(us.map(|us| ms(*us))))
}

impl Run {
    /// Wishes something at a node and lets time pass until it is settled. Its number, if it is done.
    fn change(&mut self, at: usize, changes: Vec<Change>) -> Option<(u64, Us)> {
        let begun = self.world.now;
        let key = self.world.wish(at, changes)?;
        loop {
            let settled = self.world.wishes.get(&key).and_then(|wished| wished.settled.clone());
            match settled {
                Some((_, ProposalOutcome::Committed { number, .. })) => return Some((number, begun)),
                Some(_) => return None,
                None if self.world.now > begun + 20 * S => return None,
                None => self.world.run_to(self.world.now + MS),
            }
        }
    }
    /// Lets time pass until something holds; how long that took, none if it never did.
    fn until(&mut self, within: Us, holds: impl Fn(&World) -> bool) -> Option<Us> {
        let begun = self.world.now;
        while !holds(&self.world) {
            if self.world.now >= begun + within {
                return None;
            }
            self.world.run_to(self.world.now + 5 * MS);
        }
        Some(self.world.now - begun)
    }
    fn all_act(&mut self, on: u64, within: Us) -> Option<Us> {
        let there = self.there();
        self.until(within, |world| there.iter().all(|n| world.acting(*n).is_some_and(|v| v >= on)))
    }
    /// Nodes that run and are not cut off.
    fn there(&self) -> Vec<usize> {
        let up = |n: &usize| self.world.nodes[*n].agree.is_some() && !self.world.cut.contains(n);
        (0..self.world.nodes.len()).filter(up).collect()
    }
    fn newest(&self) -> u64 {
        let books = self.world.nodes.iter().take(KEEPERS).filter_map(|node| node.agree.as_ref());
        books.map(|agree| agree.version_log().number()).max().unwrap_or(0)
    }
    /// One-entry changes in a row, by any holder: in turns one that contradicts (an entry is barred or let in) and one that
    /// contradicts nothing (a new entry).
    fn flip(&mut self, n: usize) -> Change {
        let (n, access) =
            (n % self.entries, if self.out[n % self.entries] { Access::Allowed } else { Access::Denied });
        self.out[n] = access == Access::Denied;
        put(name(n), access)
    }
    fn someone(&mut self) -> usize {
        let there: Vec<usize> = self.there().into_iter().filter(|n| *n >= KEEPERS).collect();
        let n = self.world.chance().random_range(0..there.len());
        there[n]
    }
    fn one(&mut self) -> Option<(u64, Us, bool)> {
        self.rounds += 1;
        let contradicts = self.rounds % 2 == 1;
        let change = if contradicts {
            let n = self.world.chance().random_range(0..self.entries);
            self.flip(n)
        } else {
            put(format!("fresh-{:05}", self.rounds), Access::Allowed)
        };
        let by = self.someone();
        self.change(by, vec![change]).map(|(number, at)| (number, at, contradicts))
    }
    /// From its proposal until each node that was there all the time acted on a version.
    fn in_force(&self, number: u64, at: Us, nodes: &[usize]) -> Vec<Us> {
        let first = |n: &usize| {
            let acted = self.world.acted.iter();
            let mut by = acted.filter(|(who, before, on, _)| who == n && *before < number && number <= *on);
            by.next().map(|(_, _, _, when)| when.saturating_sub(at))
        };
        nodes.iter().filter_map(first).collect()
    }
    /// Holders start anew without anything, at once, while changes go on; how long until all act again; if that was given up,
    /// when, and how many act by then; and the keepers' CPU.
    fn blank(&mut self, count: usize) -> (Option<Us>, (Us, usize), f64) {
        let mut who = self.there();
        who.retain(|n| *n >= KEEPERS);
        who.shuffle(self.world.chance());
        who.truncate(count);
        let (begun, newest, before) = (self.world.now, self.newest(), self.keepers_cpu());
        for n in &who {
            self.world.kill(*n);
            self.world.start(*n, &[]);
        }
        let (mut next, mut done) = (begun + self.every, None);
        while self.world.now < begun + PATIENCE && self.keepers_cpu() - before < SPENT {
            if who.iter().all(|n| self.world.acting(*n).is_some_and(|v| v >= newest)) {
                done = Some(self.world.now - begun);
                break;
            }
            if self.world.now >= next {
                next += self.every;
                self.one();
            }
            self.world.run_to(self.world.now + 5 * MS);
        }
        let gave_up =
            (self.world.now - begun, who.iter().filter(|n| self.world.acting(**n).is_some()).count());
        (done, gave_up, self.keepers_cpu() - before)
    }
    fn counts(&self, of: impl Fn(&Counters) -> u64) -> u64 {
        let there = self.world.nodes.iter().filter_map(|node| node.agree.as_ref());
        there.map(|agree| of(&agree.counters)).sum()
    }
    fn keepers_cpu(&self) -> f64 {
        self.world.tally(0..KEEPERS).iter().map(|tally| tally.cpu_ns as f64 / 1e6).sum()
    }
    /// What was spent over a span: of a holder on average, of the one that spent most, of whoever leads, of the other keepers.
    fn spent(&self, report: &mut Report, of: &str, before: &[Tally], span: Us, quick: bool) {
        let all = self.world.tally(0..self.world.nodes.len());
        let spent: Vec<Tally> = all.iter().zip(before).map(|(now, before)| now.since(before)).collect();
        let leader = self.world.leader().unwrap_or(0);
        let mean = |who: Vec<usize>, what: &dyn Fn(&Tally) -> u64| {
            let sum: u64 = who.iter().filter_map(|n| spent.get(*n)).map(what).sum();
            sum as f64 / who.len().max(1) as f64 * 1e6 / span as f64
        };
        let holders: Vec<usize> = self.there().into_iter().filter(|n| *n >= KEEPERS).collect();
        let others: Vec<usize> = (0..KEEPERS).filter(|n| *n != leader).collect();
        for (role, who) in [("holder", holders), ("leader", vec![leader]), ("keeper", others)] {
            let mut set = |what: &str, value: f64| {
                report.set(&format!("{role}_{what}_{of}"), json!((value * 1e3).round() / 1e3));
            };
            if !quick {
                set("cpu_ms_per_s", mean(who.clone(), &|t| t.cpu_ns) / 1e6);
            }
            set("bytes_per_s", mean(who.clone(), &|t| t.sent_bytes + t.came_bytes));
            set("messages_per_s", mean(who, &|t| t.sent + t.came));
        }
    }
}

/// Three keepers and what they have agreed on, so many entries; then as many holders.
fn build(report: &mut Report, wanted: &Wanted, seed: u64) -> Result<Run, Fault> {
    let terms = Config {
        voters: (0..KEEPERS).map(|n| format!("keeper-{n}")).collect(),
        lease: LEASE,
        renew_interval: LEASE / 5,
        tick_interval: TICK,
    };
    let mut world = World::new(KEEPERS, terms, seed, !(wanted.quick || wanted.free));
    let before = resident();
    for n in 0..KEEPERS {
        world.add();
        world.start(n, &[]);
    }
    let (holders, entries) = (Vec::new(), wanted.entries);
    let mut run = Run {
        world,
        holders,
        entries,
        out: vec![false; entries],
        rounds: 0,
        every: wanted.every.max(1) * S,
        resident: 0.0,
        lapsed: 0,
        begun: (Bounds::default(), 0),
        loaded: 0,
    };
    run.until(20 * S, |world| world.leader().is_some()).ok_or("nobody comes to lead")?;
    run.world.run_to(run.world.now + 2 * S);
    // In steps of as many as one may have, the last of them one by one.
    let all: Vec<Change> = (0..entries).map(|n| put(name(n), Access::Allowed)).collect();
    let (many, single) = all.split_at(entries - FORGET);
    let appended = |run: &Run| run.world.nodes[0].appended;
    for step in many.chunks(MAX_STEP_CHANGES).chain(single.chunks(1)) {
        if step.len() == 1 && report.get("disk_bytes_of_the_list").is_none() {
            report.set("disk_bytes_of_the_list", json!(appended(&run)));
        }
        run.change(0, step.to_vec()).ok_or("the list does not come about")?;
    }
    run.world.run_to(run.world.now + 2 * S);
    run.world.remember();
    let disks: usize = (0..KEEPERS).map(|n| run.world.nodes[n].disk.capacity()).sum();
    if !wanted.quick {
        let kb = (resident() - before - disks as f64 / 1024.0) / KEEPERS as f64;
        report.set("keeper_kb", json!(kb.round()));
    }
    // The holders, each with what it would have kept, within a second.
    let leader = run.world.leader().ok_or("nobody leads")?;
    let book =
        run.world.nodes[leader].agree.as_ref().map(|agree| agree.version_log().clone()).unwrap_or_default();
    let mut kept = asterrill_consensus::VersionLog::default();
    kept.reset_to(book.newest());
    let image = kept.snapshot();
    report.set("version_bytes", json!(image.len()));
    run.resident = resident();
    let step = S / wanted.holders.max(1) as u64;
    for _ in 0..wanted.holders {
        let n = run.world.add();
        run.world.start(n, &image);
        run.holders.push(n);
        run.world.run_to(run.world.now + step);
    }
    let newest = run.newest();
    let took = run.all_act(newest, PATIENCE).ok_or("the holders do not come to act")?;
    report.set("begin_ms", json!(ms(took)));
    run.world.run_to(run.world.now + 6 * S);
    if !wanted.quick {
        let kb = (resident() - run.resident) / wanted.holders.max(1) as f64;
        report.set("holder_kb", json!(kb.round()));
    }
    run.begun = (run.world.bounds, run.world.elections);
    run.lapsed = run.counts(|counters| counters.lease_expirations);
    Ok(run)
}

/// The scenario.
pub fn scenario(report: &mut Report, wanted: Wanted, kind: Option<&str>, seed: u64) -> Result<(), Fault> {
    let kind =
        kind.map_or(Ok(Kind::Quiet), |kind| Kind::from_str(kind, true).map_err(|e| format!("--kind: {e}")))?;
    let quick = wanted.quick;
    let wanted = Wanted {
        entries: if quick { wanted.entries.min(400) } else { wanted.entries.max(FORGET + 1) },
        holders: wanted.holders.max(DEAD + 2),
        ..wanted
    };
    if wanted.entries <= FORGET || wanted.holders * wanted.entries > PLACES {
        return Err(format!(
            "holders times entries is at most {PLACES}, entries more than {FORGET}: two gigabytes"
        )
        .into());
    }
    let mut run = build(report, &wanted, seed)?;
    run.loaded = run.world.wishes.len();
    let before = run.world.tally(0..run.world.nodes.len());
    let span = if quick { 5 * S } else { 30 * S };
    run.world.run_to(run.world.now + span);
    run.spent(report, "quiet", &before, span, quick);
    if kind == Kind::Crowd {
        crowd(report, &mut run);
    } else {
        changes(report, &mut run, kind, quick);
    }
    // Faults end; all come to the same.
    (run.world.loss, run.world.cut) = (0.0, Default::default());
    run.world.run_to(run.world.now + 10 * S);
    let newest = run.newest();
    let same = run.all_act(newest, 30 * S).is_some();
    run.world.close();
    let (world, stated) = (&run.world, run.world.terms.contradiction_bound());
    let settled = world.wishes.values().filter_map(|wished| wished.settled.as_ref());
    let done = settled.filter(|(_, settled)| matches!(settled, ProposalOutcome::Committed { .. })).count();
    let gone = world.gone();
    for (name, value) in [
        ("holders", json!(wanted.holders)),
        ("entries", json!(wanted.entries)),
        ("kind", json!(kind.to_possible_value().map(|kind| kind.get_name().to_string()))),
        ("change_every_s", json!(wanted.every)),
        ("cpu_takes_time", json!(!(quick || wanted.free))),
        ("wishes", json!(world.wishes.len())),
        ("wishes_done", json!(done)),
        ("stated_ms", json!(ms(stated))),
        ("contradiction_ms_max", json!(ms(world.worst))),
        ("older_after_newer", json!(world.older)),
        ("other_histories", json!(world.histories)),
        ("lost_versions", json!(gone)),
        ("elections", json!(world.elections - run.begun.1)),
        ("lapsed", json!(run.counts(|c| c.lease_expirations).saturating_sub(run.lapsed))),
        ("odd", json!(run.counts(|c| c.invalid))),
        ("dropped_out", json!(run.counts(|c| c.dropped))),
        ("dropped_waiting", json!(world.bounds.waiting - run.begun.0.waiting)),
        ("dropped_words", json!(world.bounds.words - run.begun.0.words)),
        ("dropped_flooded", json!(world.bounds.flooded - run.begun.0.flooded)),
        ("flooded_by_the_load", json!(run.begun.0.flooded)),
        ("lost_on_the_way", json!(world.lost)),
        ("events", json!(world.events_done)),
        ("trace", json!(format!("{:016x}", world.trace))),
    ] {
        report.set(name, value);
    }
    if !quick {
        report.set("rss_kb", json!(resident()));
        let over = over(report);
        report.set("over", json!(over));
    }
    report.rule("a node went back to an older version", world.older == 0);
    report.rule("two acted on contradicting versions for longer than is stated", world.worst <= stated);
    report.rule("a version that was told as done is gone", gone == 0);
    report.rule("two histories of a version", world.histories == 0);
    report.rule("not all act on the newest version at the end", same);
    report.rule("too few versions came about to show anything", done >= run.loaded + 4);
    Ok(())
}

/// What is over its budget, each with the budget beside it.
fn over(report: &Report) -> Vec<String> {
    let budgets = [
        ("holder_cpu_ms_per_s_quiet", CPU),
        ("holder_cpu_ms_per_s_changing", CPU),
        ("holder_bytes_per_s_quiet", BYTES),
        ("holder_bytes_per_s_changing", BYTES),
        ("holder_kb", MEMORY),
        ("holder_kb_after", MEMORY),
        ("in_force_ms_max", IN_FORCE),
        ("big_step_ms_max", IN_FORCE),
        ("everything_ms", IN_FORCE),
        ("catch_up_ms", IN_FORCE),
        ("catch_up_ms_255", IN_FORCE),
    ];
    let figure = |name: &str| report.get(name).and_then(Value::as_f64);
    let over = budgets.iter().filter_map(|(name, budget)| {
        figure(name).filter(|value| value > budget).map(|value| format!("{name} {value} of {budget}"))
    });
    let never = ["keeper_back_ms", "catch_up_ms", "catch_up_ms_255", "big_step_ms_max", "everything_ms"];
    let never = never.iter().filter(|name| report.get(name) == Some(&Value::Null));
    over.chain(never.map(|name| format!("{name} never"))).collect()
}

fn changes(report: &mut Report, run: &mut Run, kind: Kind, quick: bool) {
    let (rounds, every) = if quick { (6, S) } else { (20, run.every) };
    let (begun, before) = (run.world.now, run.world.tally(0..run.world.nodes.len()));
    let disk = |run: &Run| (0..KEEPERS).map(|n| run.world.nodes[n].appended).sum::<u64>();
    let disk_before = disk(run);
    let mut faulty = run.holders.clone();
    faulty.shuffle(run.world.chance());
    faulty.truncate(DEAD);
    match kind {
        Kind::Dead => faulty.iter().for_each(|n| run.world.kill(*n)),
        Kind::Cut => run.world.cut.extend(&faulty),
        Kind::Loss => run.world.loss = LOSS,
        _ => {}
    }
    if kind == Kind::Disk {
        empty_disk(report, run);
    }
    let (mut proposed, mut refused, mut away) = (Vec::new(), 0, None);
    let mut lost_keeper = None;
    for round in 0..rounds {
        if kind == Kind::Keeper && round == rounds / 4 {
            lost_keeper = run.world.leader();
            lost_keeper.iter().for_each(|n| run.world.kill(*n));
            away = lost_keeper.map(|n| (n, run.world.now + 5 * every));
        }
        if let Some((n, _)) = away.filter(|(_, until)| run.world.now >= *until) {
            run.world.start(n, &[]);
            away = None;
        }
        let next = run.world.now + every;
        match run.one() {
            Some(done) => proposed.push(done),
            None => refused += 1,
        }
        run.world.run_to(next.max(run.world.now));
    }
    if let Some((n, _)) = away {
        run.world.start(n, &[]);
    }
    if kind == Kind::Cut {
        // So long that a lease which does not end shows.
        let end = begun + 2 * LEASE + run.world.terms.contradiction_bound() + 2 * S;
        run.world.run_to(end.max(run.world.now));
    }
    let span = run.world.now - begun;
    run.spent(report, "changing", &before, span, quick);
    let per = (disk(run) - disk_before) as f64 / (KEEPERS * proposed.len().max(1)) as f64;
    report.set("disk_bytes_per_change", json!(per.round()));
    // The last of them gets its time as well.
    let newest = run.newest();
    let lasted = run.all_act(newest, PATIENCE);
    let there: Vec<usize> =
        run.there().into_iter().filter(|n| Some(*n) != lost_keeper && !faulty.contains(n)).collect();
    for (of, which) in [("", None), ("_free", Some(false)), ("_contradicting", Some(true))] {
        let some = proposed.iter().filter(|(_, _, how)| which.is_none_or(|which| which == *how));
        let took = some.flat_map(|(number, at, _)| run.in_force(*number, *at, &there)).collect::<Vec<Us>>();
        for (what, value) in ["p50", "p99", "max"].into_iter().zip(spread(took)) {
            report.set(&format!("in_force{of}_ms_{what}"), value);
        }
    }
    report.set("changes", json!(proposed.len()));
    report.set("refused", json!(refused));
    report.set("last_in_force", json!(lasted.is_some()));
    run.world.remember();
    // One step of as many entries as it may have.
    let entries = run.entries.min(MAX_STEP_CHANGES);
    let step: Vec<Change> = (0..entries).map(|n| run.flip(n)).collect();
    let by = run.someone();
    let told = run.change(by, step);
    let took = told.and_then(|(number, at)| {
        run.all_act(number, PATIENCE)?;
        run.in_force(number, at, &there).into_iter().max()
    });
    report.set("big_step_entries", json!(entries));
    report.set("big_step_ms_max", json!(took.map(ms)));
    // And all entries, in such steps, one after the other.
    if !quick && run.entries * run.holders.len() <= STEPS {
        let (begun, mut last, mut refused) = (run.world.now, 0, 0);
        for from in (0..run.entries).step_by(MAX_STEP_CHANGES) {
            let step: Vec<Change> =
                (from..(from + MAX_STEP_CHANGES).min(run.entries)).map(|n| run.flip(n)).collect();
            match run.change(by, step) {
                Some((number, _)) => last = number,
                None => refused += 1,
            }
        }
        let took = run.all_act(last, PATIENCE).map(|_| ms(run.world.now - begun));
        report.set("everything_ms", json!(took));
        report.set("everything_refused", json!(refused));
    }
    if !quick {
        let kb = (resident() - run.resident) / run.holders.len().max(1) as f64;
        report.set("holder_kb_after", json!(kb.round()));
    }
    // A zone comes back, and a region.
    for (of, count) in [("", 64), ("_255", 255)] {
        if quick || run.holders.len() < count + DEAD {
            continue;
        }
        let (took, (gave_up, act), cpu) = run.blank(count);
        if took.is_none() {
            report.set(&format!("catch_up_given_up_ms{of}"), json!(ms(gave_up)));
            report.set(&format!("catch_up_given_up_act{of}"), json!(act));
        }
        report.set(&format!("catch_up_ms{of}"), json!(took.map(ms)));
        report.set(&format!("catch_up_keepers_cpu_ms{of}"), json!(cpu.round()));
        let newest = run.newest();
        run.all_act(newest, PATIENCE);
    }
    if quick {
        let (took, ..) = run.blank(run.holders.len() / 3);
        report.set("catch_up_ms", json!(took.map(ms)));
    }
    for n in faulty.iter().filter(|_| kind == Kind::Dead) {
        run.world.start(*n, &[]);
    }
    let sizes = (0..KEEPERS).map(|n| run.world.nodes[n].anew);
    let (bytes, files) = sizes.fold((0, 0), |(bytes, files), (b, f)| (bytes + b, files + f));
    report.set("disk_files_anew", json!(files));
    report.set("disk_bytes_whole", json!((bytes as f64 / files.max(1) as f64).round()));
}

/// A keeper starts on an empty disk: how long until it knows what the others know. One that never does is stopped, so that
/// the rest can be judged.
fn empty_disk(report: &mut Report, run: &mut Run) {
    let leader = run.world.leader();
    let Some(n) = (0..KEEPERS).find(|n| Some(*n) != leader) else { return };
    run.world.kill(n);
    run.world.nodes[n].disk.clear();
    run.world.start(n, &[]);
    let newest = run.newest();
    let knows = |world: &World| {
        world.nodes[n].agree.as_ref().is_some_and(|agree| agree.version_log().number() >= newest)
    };
    let took = run.until(60 * S, knows);
    report.set("keeper_back_ms", json!(took.map(ms)));
    let dropped = run.counts(|counts| counts.dropped);
    report.set("keeper_back_dropped", json!(dropped));
    if took.is_none() {
        run.world.kill(n);
    }
}

/// All holders wish something at the same moment, in a message of two pieces.
fn crowd(report: &mut Report, run: &mut Run) {
    let begun = run.world.now;
    let long = |n: usize, k: usize| format!("{n:04}-{k:02}-{}", "x".repeat(56));
    let mut keys = Vec::new();
    for n in run.holders.clone() {
        let step = (0..20).map(|k| put(long(n, k), Access::Allowed)).collect();
        keys.extend(run.world.wish(n, step));
    }
    run.world.run_to(begun + 10 * S);
    let outcomes: Vec<_> = keys.iter().filter_map(|key| run.world.wishes.get(key)?.settled.clone()).collect();
    let took = outcomes
        .iter()
        .filter(|(_, how)| matches!(how, ProposalOutcome::Committed { .. }))
        .map(|(at, _)| at - begun);
    let took: Vec<Us> = took.collect();
    report.set("crowd_done", json!(took.len()));
    let without = outcomes.iter().filter(|(_, how)| *how == ProposalOutcome::NoQuorum).count();
    report.set("crowd_no_majority", json!(without));
    let refused: Vec<&String> = outcomes
        .iter()
        .filter_map(|(_, how)| match how {
            ProposalOutcome::Rejected(why) => Some(why),
            _ => None,
        })
        .collect();
    report.set("crowd_refused", json!(refused.len()));
    report.set("crowd_refused_first", json!(refused.first()));
    for (what, value) in ["p50", "p99", "max"].into_iter().zip(spread(took)) {
        report.set(&format!("crowd_ms_{what}"), value);
    }
}
