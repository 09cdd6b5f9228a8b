//! Transactions in any order, records cut at every byte, checks, and the watch on seeded cases.

use crate::*;
use asterrill::{Idempotency, Method};
use asterrill_entries::{Change as Entry, Configuration, GlobalSettings, UpstreamKind};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

mod lasting;

const S: Us = 1_000_000;

fn change(text: &str, base: Option<u64>, wish: Wish) -> Change<String> {
    Change { content: text.to_string(), hash: text.into(), base, wish }
}
fn plain(text: &str) -> Change<String> {
    change(text, None, Wish::default())
}
fn start() -> Rollout<String> {
    Rollout::new("a".to_string(), "a", 0)
}

#[test]
fn a_change_runs_only_once_it_is_applied_and_undo_goes_back_to_exactly_what_was() {
    let mut r = start();
    let before = r.running().clone();
    assert_eq!(r.stage(1, change("b", Some(1), Wish::default())), Ok(2));
    assert_eq!((r.running(), r.staged().map(|v| v.number)), (&before, Some(2)));
    assert_eq!(r.apply(2, Some(1), 30 * S).unwrap().content, "b");
    assert_eq!((r.running().number, r.good(), r.stage_now()), (2, &before, Stage::Probation(30 * S + 2)));
    assert_eq!(r.undo(3, "loss"), Ok(before.clone()));
    assert_eq!((r.running(), r.stage_now()), (&before, Stage::Settled));
    // It is not taken again by itself, but is if that is wanted; and has a number of its own then.
    assert_eq!(r.stage(4, plain("b")), Err(Refusal::Undone(2)));
    assert_eq!(r.stage(4, change("b", None, Wish { force: true, queue: false })), Ok(3));
    let what: Vec<_> = r.history().map(|event| (event.what, event.version)).collect();
    assert_eq!(what, [("applied", 1), ("staged", 2), ("applied", 2), ("undone", 2), ("staged", 3)]);
}

#[test]
fn what_can_not_be_done_is_refused_with_its_reason() {
    let mut r = start();
    assert_eq!(r.apply(0, None, S), Err(Refusal::NothingStaged));
    assert_eq!(r.settle(0, ""), Err(Refusal::NothingOnProbation));
    assert_eq!(r.undo(0, ""), Err(Refusal::NothingOnProbation));
    assert_eq!(r.drop_staged(0), Err(Refusal::NothingStaged));
    assert_eq!(
        r.stage(0, change("b", Some(7), Wish::default())),
        Err(Refusal::OtherBase { given: 7, running: 1 })
    );
    assert_eq!(r.stage(0, plain("a")), Err(Refusal::Same(1)));
    r.stage(0, plain("b")).unwrap();
    assert_eq!(r.stage(0, plain("c")), Err(Refusal::Staged(2)));
    assert_eq!(r.apply(0, Some(5), S), Err(Refusal::OtherBase { given: 5, running: 1 }));
    r.apply(0, None, S).unwrap();
    assert_eq!(r.stage(0, plain("c")), Err(Refusal::OnProbation(2)));
    let waits = Wish { force: false, queue: true };
    assert_eq!(r.stage(0, change("c", None, waits)), Ok(3));
    assert_eq!(r.stage(0, change("d", None, waits)), Err(Refusal::Queued(3)));
    assert_eq!(r.apply(0, None, S), Err(Refusal::OnProbation(2)));
    r.leave();
    assert_eq!(r.stage(0, plain("e")), Err(Refusal::Leaving));
}

#[test]
fn what_waits_is_staged_once_the_other_is_settled_and_dropped_if_that_is_undone() {
    let waits = Wish { force: false, queue: true };
    for good in [true, false] {
        let mut r = start();
        r.stage(0, plain("b")).unwrap();
        r.apply(0, None, S).unwrap();
        r.stage(0, change("c", None, waits)).unwrap();
        if good {
            r.settle(1, "fine").unwrap();
            assert_eq!(r.staged().map(|v| v.number), Some(3));
            assert_eq!(r.apply(2, Some(2), S).unwrap().content, "c");
        } else {
            assert_eq!(r.undo(1, "loss").unwrap().content, "a");
            assert!(r.staged().is_none() && r.queued().is_none());
            assert_eq!(r.history().last().map(|event| (event.what, event.version)), Some(("dropped", 3)));
        }
    }
}

#[test]
fn in_any_order_the_running_version_is_one_that_was_applied_and_numbers_only_grow() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut r = start();
        let (mut good, mut running, mut newest) = ("a".to_string(), "a".to_string(), 1);
        for (i, (what, n)) in steps.into_iter().enumerate() {
            let now = i as Us * S;
            let wish = Wish { force: n % 3 == 0, queue: n % 5 == 0 };
            let base = [None, Some(r.running().number), Some(u64::from(n))][n as usize % 3];
            match what % 6 {
                0 | 1 => {
                    if let Ok(number) = r.stage(now, change(&format!("t{}", n % 16), base, wish)) {
                        assert!(number > newest);
                        newest = number;
                    }
                }
                2 => {
                    if let Ok(version) = r.apply(now, base, S) {
                        running = version.content;
                    }
                }
                3 if r.settle(now, "").is_ok() => good = running.clone(),
                4 => {
                    if let Ok(version) = r.undo(now, "") {
                        assert_eq!(version.content, good);
                        running = good.clone();
                    }
                }
                _ => drop(r.drop_staged(now)),
            }
            assert_eq!((&r.running().content, &r.good().content), (&running, &good));
            assert!(r.history().count() <= 64 && r.undone().count() <= 64);
        }
        true
    }
    let mut runs = QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(400, 8));
    runs.quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

fn method(criticality: f64, target_ms: u64) -> Method {
    Method {
        criticality,
        latency_target: target_ms * 1_000,
        deadline: target_ms * 3_000,
        late_value_ratio: 0.0,
        skip_value_ratio: 0.0,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 0,
    }
}
/// What a version says, as a test edits it.
#[derive(Clone)]
struct Facts {
    methods: BTreeMap<&'static str, Method>,
    tenants: BTreeMap<&'static str, f64>,
    frame: GlobalSettings,
}
impl Facts {
    fn content(&self) -> Configuration {
        let mut all = Vec::new();
        all.extend(self.methods.iter().map(|(name, m)| Entry::PutMethod((*name).into(), m.clone())));
        all.extend(self.tenants.iter().map(|(name, rate)| Entry::PutTenant((*name).into(), *rate)));
        Configuration::new(self.frame.clone()).apply(&all).unwrap()
    }
}
fn facts() -> Facts {
    Facts {
        methods: [("price", method(5.0, 100)), ("look", method(1.0, 200))].into(),
        tenants: [("nile", 50.0)].into(),
        frame: GlobalSettings {
            cores: 4,
            max_running_per_core: 8.0,
            ram_kb: 90_000.0,
            upstream: UpstreamKind::Shared,
            upstream_call_quota: Some(20.0),
            upstream_call_window: Some(S),
            ..GlobalSettings::default()
        },
    }
}

fn load(requests: f64, mean_work_us: f64) -> MethodLoad {
    MethodLoad { requests, mean_work_us }
}

#[test]
fn each_mistake_is_named_and_what_is_only_risky_may_be_forced() {
    let seen = ObservedLoad {
        methods: [("price".into(), load(600.0, 5_000.0)), ("look".into(), load(600.0, 50_000.0))].into(),
        seconds: 60.0,
        in_use_kb: 5_000.0,
        available_kb: 100_000.0,
    };
    let said = |edit: fn(&mut Facts)| {
        let mut new = facts();
        edit(&mut new);
        let (old, new) = (facts().content(), new.content());
        let all = check(&old, &new, &old.changes_to(&new), &seen, 3.0);
        all.first().map_or(String::new(), Problem::to_string)
    };
    assert_eq!(said(|_| ()), "");
    for (edit, problem) in [
        (
            (|f| f.methods.get_mut("look").unwrap().deadline = 100_000) as fn(&mut Facts),
            "wrong: method look: its deadline of 100 ms is under its latency target of 200 ms",
        ),
        (
            |f| f.methods.get_mut("look").unwrap().latency_target = 0,
            "wrong: method look: its latency target is nothing",
        ),
        (
            |f| f.methods.get_mut("look").unwrap().late_value_ratio = 1.5,
            "wrong: method look: a share is above 1",
        ),
        (
            |f| f.methods.get_mut("look").unwrap().idempotency = Idempotency::Keyed,
            "wrong: method look: it is tokened, but has no window",
        ),
        (|f| f.methods.clear(), "wrong: there is no method"),
        (|f| f.frame.cores = 0, "wrong: there is no core"),
        (|f| f.frame.max_running_per_core = 0.5, "wrong: the crowd survived is 0.5, under 1 a core"),
        (|f| f.frame.upstream_call_quota = Some(0.0), "wrong: the share of the calls below is nothing"),
        (|f| f.frame.ram_kb = 4_000.0, "wrong: memory of 4000 kB is under the 5000 kB held now"),
        (|f| f.frame.ram_kb = 200_000.0, "wrong: memory of 200000 kB is more than the 100000 kB there are"),
        (|f| f.frame.cores = 1, "risky: cores goes from 4 to 1, by more than 3 times (may be forced)"),
        (
            |f| f.frame.max_running_per_core = 80.0,
            "risky: the crowd survived goes from 8 to 80, by more than 3 times (may be forced)",
        ),
        (
            |f| f.methods.get_mut("price").unwrap().criticality = 1.0,
            "risky: the criticality of price goes from 5 to 1, by more than 3 times (may be forced)",
        ),
        (
            |f| f.tenants.insert("nile", 5.0).map(drop).unwrap(),
            "risky: the share of tenant nile goes from 50 to 5, by more than 3 times (may be forced)",
        ),
        (|f| f.tenants.clear(), "risky: tenant nile is gone (may be forced)"),
        (
            |f| f.methods.retain(|name, _| *name != "look"),
            "risky: of the last minute's RPCs it would have turned away 50 in 100 more (may be forced)",
        ),
    ] {
        assert_eq!(said(edit), problem);
    }
    // 600 take 3 s of a core, 600 take 30 s: of 15 s the critical ones get theirs, and 240 of the others.
    let mut scarce = facts();
    scarce.frame.cores = 1;
    let share = dry_run(&scarce.content(), &ObservedLoad { seconds: 15.0, ..seen });
    assert!((0.29..0.31).contains(&share), "{share}");
    assert_eq!(dry_run(&scarce.content(), &ObservedLoad::default()), 0.0);
}

#[test]
fn a_version_is_checked_by_itself_with_all_that_leads_to_it_from_nothing() {
    let mut bad = facts();
    bad.methods.get_mut("look").unwrap().deadline = 1;
    let bad = bad.content();
    let all = Configuration::new((**bad.globals()).clone()).changes_to(&bad);
    let said = |changes: &[Entry]| check(&bad, &bad, changes, &ObservedLoad::default(), f64::INFINITY).len();
    // What a change does not touch is not held against it.
    assert_eq!((said(&all), said(&[]), said(&[Entry::PutTenant("nile".into(), 1.0)])), (1, 0, 0));
}

#[test]
fn what_changes_is_said_by_meaning_a_line_each() {
    let old = facts();
    let mut new = facts();
    (new.frame.cores, new.frame.ram_kb, new.frame.upstream_call_quota) = (2, 80_000.0, Some(10.0));
    let price = new.methods.get_mut("price").unwrap();
    (price.criticality, price.latency_target, price.idempotency_window) = (4.0, 90_500, 1_000);
    new.methods.remove("look");
    new.methods.insert("pay", method(1.0, 5));
    new.tenants.insert("nile", 60.0);
    new.tenants.insert("oder", 7.5);
    let (old, new) = (old.content(), new.content());
    assert_eq!(
        difference(&old, &old.changes_to(&new)),
        [
            "cores: 4 -> 2",
            "memory: 90000 kB -> 80000 kB",
            "share of the calls below: 20 -> 10",
            "method price: criticality: 5 -> 4",
            "method price: latency target: 100 ms -> 90.5 ms",
            "method price: window: 0 ms -> 1 ms",
            "tenant nile: RPCs a second: 50 -> 60",
            "tenant oder: RPCs a second: 0 -> 7.5",
            "method look: removed",
            "method pay: new",
        ]
    );
    let gone = difference(&new, &[Entry::RemoveTenant("oder".into())]);
    assert_eq!(gone, ["tenant oder: removed"]);
    // What means what runs is no difference, also where a step says it.
    assert_eq!(difference(&old, &[Entry::PutTenant("nile".into(), 50.0)]), [""; 0]);
}

#[test]
fn long_lists_end_with_how_many_more_there_are() {
    let old = facts().content();
    let put: Vec<Entry> = (0..49_000).map(|i| Entry::PutTenant(format!("t{i:05}").into(), 1.0)).collect();
    let new = old.apply(&put).unwrap();
    let lines = difference(&old, &put);
    assert_eq!((lines.len(), lines.last().map(String::as_str)), (LISTED + 1, Some("and 48800 more")));
    let mut changes = new.changes_to(&old);
    changes.push(Entry::PutMethod(
        "look".into(),
        Method { idempotency_window: 0, idempotency: Idempotency::Keyed, ..method(1.0, 200) },
    ));
    let staged = new.apply(&changes).unwrap();
    let problems = check(&new, &staged, &changes, &ObservedLoad::default(), 3.0);
    assert_eq!((problems.len(), problems.last()), (LISTED + 1, Some(&Problem::More(48_801))));
    // What is wrong comes first, so that it is among those that are listed.
    assert_eq!(problems[0].to_string(), "wrong: method look: it is tokened, but has no window");
    assert_eq!(problems[LISTED].to_string(), "and 48801 more");
}

/// A server's service in beats of 100 ms: Poisson arrivals, losses that come in bursts, and what the case wants.
struct Case {
    chance: StdRng,
    rate: f64,
    cores: f64,
    usual: f64,
    /// From and until when, and by how much the load is multiplied.
    jump: (Us, Us, f64),
    /// From and until when everything is late: a few unlucky seconds.
    unlucky: (Us, Us),
    /// From and until when half of the calls below fail.
    below: (Us, Us),
    /// What the change loses besides, of each method, from the change on.
    lost: [f64; 2],
}

impl Case {
    fn new(seed: u64) -> Case {
        let mut chance = StdRng::seed_from_u64(seed);
        let (rate, usual) = (chance.random_range(40.0..400.0), chance.random_range(0.0..0.05));
        Case {
            chance,
            rate,
            cores: 4.0,
            usual,
            jump: (0, 0, 1.0),
            unlucky: (0, 0),
            below: (0, 0),
            lost: [0.0; 2],
        }
    }
    fn poisson(&mut self, mean: f64) -> f64 {
        let (limit, mut n, mut product) = ((-mean).exp(), 0.0, self.chance.random::<f64>());
        while product > limit {
            n += 1.0;
            product *= self.chance.random::<f64>();
        }
        n
    }
    fn beat(&mut self, now: Us, changed: bool) -> ServiceSample {
        let within = |(from, until): (Us, Us)| (from..until).contains(&now);
        let (from, until, times) = self.jump;
        let rate = self.rate * if within((from, until)) { times } else { 1.0 };
        // 0.6 of the cores are used at the usual rate.
        let work = self.cores * 0.6e6 / self.rate;
        let mut room = self.cores * 1e5;
        let burst = if self.chance.random::<f64>() < 0.05 { 3.0 } else { 0.9 };
        let mut sample = ServiceSample::default();
        for (i, name) in ["price", "look"].into_iter().enumerate() {
            let asked = self.poisson(rate / 10.0 * [0.25, 0.75][i]);
            let fits = (room / (asked * work).max(1.0)).min(1.0);
            room -= asked * work * fits;
            let mut counted =
                MethodCounts { answered: asked, work_us: asked * work, ..MethodCounts::default() };
            let mut fine = (1.0 - (self.usual * burst).min(1.0)) * fits;
            fine *= if changed { 1.0 - self.lost[i] } else { 1.0 };
            fine *= if within(self.unlucky) { 0.2 } else { 1.0 };
            for _ in 0..asked as u64 {
                if within(self.below) && self.chance.random::<f64>() < 0.5 {
                    counted.upstream_failed += 1.0;
                } else if self.chance.random::<f64>() < fine {
                    counted.in_time += 1.0;
                }
            }
            sample.methods.insert(name.into(), counted);
        }
        sample
    }
    /// The verdict, and how long after the change it came.
    fn play(mut self) -> (bool, Us) {
        let (mut before, mut now) = (Before::default(), 0);
        while now < 20 * S {
            now += S / 10;
            let sample = self.beat(now, false);
            before.take(now, &sample);
        }
        let mut old = facts();
        old.frame.cores = self.cores as u64;
        let mut watch = Watch::new(now, &before, old.content(), 30 * S);
        loop {
            now += S / 10;
            let sample = self.beat(now, true);
            match watch.take(now, &sample) {
                Verdict::Wait => {}
                Verdict::Undo { .. } => return (true, now - 20 * S),
                Verdict::Settle { .. } => return (false, now - 20 * S),
            }
        }
    }
}

#[test]
fn on_seeded_cases_good_changes_stay_and_bad_ones_go_within_five_seconds() {
    let mut good = BTreeMap::new();
    let mut bad = BTreeMap::new();
    for seed in 0..400 {
        let mut case = Case::new(seed);
        let at = 20 * S + case.chance.random_range(0..10 * S);
        let (kind, long) = (seed % 4, case.chance.random_range(S / 2..2 * S));
        let jump = case.chance.random_range(1.5..4.0);
        let name = match kind {
            0 => "calm",
            1 => {
                case.jump = (at, at + 8 * S, jump);
                "jump"
            }
            2 => {
                case.unlucky = (at, at + long);
                "unlucky"
            }
            _ => {
                case.below = (at, at + 8 * S);
                "below"
            }
        };
        let (undone, _) = case.play();
        let count: &mut (u32, u32) = good.entry(name).or_default();
        *count = (count.0 + 1, count.1 + u32::from(undone));

        let mut case = Case::new(1_000 + seed);
        // What it costs: all of one method, or a good part of both.
        case.lost = [[1.0, 0.0], [0.5, 0.5], [0.3, 0.9], [0.9, 0.1]][seed as usize / 4 % 4];
        let name = match kind {
            1 => {
                case.jump = (20 * S, 40 * S, 1.5 + seed as f64 % 5.0 / 2.0);
                "jump"
            }
            3 => {
                case.below = (20 * S, 40 * S);
                "below"
            }
            _ => "calm",
        };
        let (undone, after) = case.play();
        let count: &mut (u32, u32, u32) = bad.entry(name).or_default();
        *count = (count.0 + 1, count.1 + u32::from(!undone), count.2 + u32::from(after > 5 * S));
    }
    println!("good changes, cases and wrong undos: {good:?}");
    println!("bad changes, cases, missed, and later than 5 s: {bad:?}");
    assert_eq!((good.values().map(|c| c.0).sum::<u32>(), bad.values().map(|c| c.0).sum::<u32>()), (400, 400));
    assert!(good.values().map(|c| c.1).sum::<u32>() <= 4, "{good:?}");
    assert!(bad.values().map(|c| c.1).sum::<u32>() <= 4, "{bad:?}");
    assert!(bad.values().map(|c| c.2).sum::<u32>() <= 15, "{bad:?}");
}

/// A version with one core and no method.
fn nothing() -> Configuration {
    Configuration::new(GlobalSettings { cores: 1, ..GlobalSettings::default() })
}

#[test]
fn without_evidence_the_probation_is_longer_and_then_the_change_stays() {
    let before = Before::default();
    let mut watch = Watch::new(0, &before, nothing(), 2 * S);
    let mut now = 0;
    let verdict = loop {
        now += S / 10;
        match watch.take(now, &ServiceSample::default()) {
            Verdict::Wait => {}
            verdict => break verdict,
        }
    };
    assert!(matches!(verdict, Verdict::Settle { .. }) && now == 6 * S, "{verdict:?} at {now}");
}

#[test]
fn a_clock_set_back_decides_nothing_early() {
    let mut watch = Watch::new(100 * S, &Before::default(), nothing(), 2 * S);
    assert_eq!(watch.take(S, &ServiceSample::default()), Verdict::Wait);
    assert_eq!(watch.take(100 * S, &ServiceSample::default()), Verdict::Wait);
}
