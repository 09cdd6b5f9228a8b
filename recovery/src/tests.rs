use crate::staleness::{DEAREST, KEPT_RUNS};
use crate::*;
use asterrill::Us;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

const S: Us = 1_000_000;

fn learned() -> Learned {
    let method = |name: &str, target: Us| Kept { name: name.into(), target, mean: 20_000.0, runs: 40.0 };
    Learned {
        name: "n1".into(),
        settings: 0xabc,
        cores: 2.0,
        memory_mb: 64,
        moment: Moment { wall: 1_700_000_000 * S, up: 1_000 * S, boot: 5 },
        methods: vec![method("till price", 200_000), method("look-up", 400_000)],
        target: 4.2,
        pace: 1.1,
        failures: 7,
        accounts: vec![(4, 0.25), (9, 1.0)],
        tenants: vec![("acme gmbh".into(), 3.5)],
    }
}

fn targets() -> BTreeMap<String, Us> {
    [("till price".to_string(), 200_000), ("look-up".to_string(), 400_000)].into()
}

fn present(targets: &BTreeMap<String, Us>, after: Us) -> Present<'_> {
    let then = learned().moment;
    let moment = Moment { wall: then.wall + after, up: then.up + after, boot: 5 };
    let (cores, memory_mb, trust) = (2.0, 64, 86_400 * S);
    Present { name: "n1", settings: 0xabc, cores, memory_mb, moment, empty: false, trust, targets }
}

fn verdict(recall: &Recall, of: Value) -> Verdict {
    recall.verdicts.iter().find(|(value, _)| *value == of).unwrap().1
}

#[test]
fn what_is_written_is_read_and_any_prefix_or_changed_byte_of_it_is_not() {
    let (whole, text) = (learned(), learned().write());
    assert_eq!(Learned::read(&text), Ok(whole));
    for end in 0..text.len() {
        assert!(Learned::read(&text[..end]).is_err(), "torn at {end}");
        let mut bytes = text.clone().into_bytes();
        bytes[end] ^= 1;
        if let Ok(odd) = String::from_utf8(bytes) {
            assert!(Learned::read(&odd).is_err(), "changed at {end}");
        }
    }
    assert!(matches!(
        Learned::read("asterrill learned 2\nsum 0\n"),
        Err(LearnedFault::Seal(SealFault::Other(_)))
    ));
    assert!(matches!(Learned::read("something else\n"), Err(LearnedFault::Seal(SealFault::Foreign(_)))));
    for odd in
        ["target -1", "target NaN", "target inf", "account 1 1.5", "machine 2", "method 1 2 3", "what 1"]
    {
        assert_eq!(Learned::read(&seal("learned", 1, odd)), Err(LearnedFault::Odd(1)), "{odd}");
    }
}

#[test]
fn a_snapshot_is_bounded_whatever_there_is_to_be_kept() {
    let mut much = learned();
    let kept = much.methods[0].clone();
    much.methods = (0..5_000).map(|n| Kept { name: format!("{n:0>200}"), ..kept.clone() }).collect();
    much.methods[3].name = "two\nlines".into();
    much.accounts = (0..100_000).map(|n| (n, 0.5)).collect();
    let text = much.write();
    let read = Learned::read(&text).unwrap();
    assert_eq!((read.methods.len(), read.accounts.len()), (METHODS, ACCOUNTS));
    assert!(text.len() < MOST && read.methods.iter().all(|m| !m.name.contains("lines")));
}

/// Any text whatever.
#[test]
fn no_text_is_read_by_halves_and_none_ends_in_a_panic() {
    fn holds(text: String, cut: usize) -> bool {
        let sealed = seal("learned", 1, &text);
        let odd = Learned::read(&text).is_err();
        let kept = Learned::read(&sealed);
        let again = kept.as_ref().is_ok_and(|kept| Learned::read(&kept.write()).is_ok()) || kept.is_err();
        let at = (0..=cut % (sealed.len() + 1)).rev().find(|at| sealed.is_char_boundary(*at)).unwrap_or(0);
        odd && again && (at == sealed.len() || Learned::read(&sealed[..at]).is_err())
    }
    QuickCheck::new().tests(3_000).quickcheck(holds as fn(String, usize) -> bool);
}

#[test]
fn an_age_is_told_by_uptime_and_across_starts_of_the_machine_only_if_the_clock_makes_sense() {
    let then = Moment { wall: 5_000 * S, up: 100 * S, boot: 1 };
    let hour = 3_600 * S;
    for wall in [5_003 * S, 5_003 * S + hour, 5_003 * S - hour] {
        assert_eq!(age(&Moment { wall, up: 103 * S, boot: 1 }, &then), Some(3 * S), "{wall}");
    }
    let after = |wall, up| age(&Moment { wall, up, boot: 2 }, &then);
    assert_eq!(after(5_060 * S, 20 * S), Some(60 * S));
    assert_eq!(after(5_060 * S, 90 * S), None, "it has been up for longer than the clock says has passed");
    assert_eq!(after(4_000 * S, 20 * S), None, "the clock was set back");
    assert_eq!(age(&Moment { boot: 0, ..then }, &then), None);
    assert_eq!(age(&Moment { up: 99 * S, ..then }, &then), None);
}

#[test]
fn each_value_is_taken_faded_or_thrown_away_as_the_table_says() {
    let (kept, targets) = (learned(), targets());
    let soon = weigh(&kept, &present(&targets, 100_000));
    for value in [Value::Costs, Value::Target, Value::Pace, Value::Accounts, Value::Tenants] {
        assert_eq!(verdict(&soon, value), Verdict::Taken, "{value:?}");
    }
    assert!(soon.careful && soon.target == Some(4.2));
    assert!(soon.costs.iter().all(|(_, _, runs)| *runs <= KEPT_RUNS));

    let later = weigh(&kept, &present(&targets, 60 * S));
    assert_eq!((later.target, later.pace, later.accounts.len(), later.careful), (None, None, 0, true));
    assert_eq!(verdict(&later, Value::Target), Verdict::Thrown(Why::TooOld));
    assert!(!weigh(&kept, &present(&targets, 61 * S)).careful);

    let cold = weigh(&kept, &Present { empty: true, ..present(&targets, S) });
    assert_eq!(verdict(&cold, Value::Target), Verdict::Thrown(Why::AgentEmpty));
    assert!(matches!(verdict(&cold, Value::Costs), Verdict::Faded(share) if (share - 0.5).abs() < 0.01));

    let other = weigh(&kept, &Present { cores: 4.0, ..present(&targets, S) });
    assert_eq!(verdict(&other, Value::Target), Verdict::Thrown(Why::OtherMachine));
    let other = weigh(&kept, &Present { settings: 1, ..present(&targets, S) });
    assert_eq!(verdict(&other, Value::Tenants), Verdict::Thrown(Why::OtherSettings));
    let all = |recall: &Recall, why| recall.verdicts.iter().all(|(_, v)| *v == Verdict::Thrown(why));
    assert!(all(&weigh(&kept, &Present { name: "n2", ..present(&targets, S) }), Why::OtherBackend));
    assert!(all(&weigh(&kept, &present(&targets, 7 * 86_400 * S)), Why::TooOld));
    let back = Moment { wall: 1, up: 5 * S, boot: 6 };
    assert!(all(&weigh(&kept, &Present { moment: back, ..present(&targets, S) }), Why::AgeUnknown));

    // A method whose target moved, or that is gone, is none that is known.
    let moved = [("till price".to_string(), 300_000)].into();
    assert_eq!(verdict(&weigh(&kept, &present(&moved, S)), Value::Costs), Verdict::Thrown(Why::Nothing));
}

#[derive(Clone, Debug)]
struct Any(Learned, [u64; 4]);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Any {
        let mut any = learned();
        let number = |g: &mut Gen| {
            (u32::arbitrary(g) % 3_000_000) as f64 * if bool::arbitrary(g) { 1.0 } else { 1e-4 }
        };
        for method in &mut any.methods {
            (method.mean, method.runs) = (number(g), number(g));
        }
        (any.target, any.pace, any.failures) = (number(g), number(g), u32::arbitrary(g));
        any.moment = Moment { wall: u64::arbitrary(g), up: u64::arbitrary(g), boot: u64::arbitrary(g) % 3 };
        Any(any, [u64::arbitrary(g), u64::arbitrary(g), u64::arbitrary(g) % 3, u64::arbitrary(g)])
    }
}

/// Whatever stands in a file, however old it is, whatever the clocks say.
#[test]
fn nothing_kept_is_dearer_than_its_bound_and_nothing_binds_beyond_the_stated_time() {
    fn holds(Any(kept, [wall, up, boot, trust]): Any) -> bool {
        let targets = targets();
        let now = Present { moment: Moment { wall, up, boot }, trust, ..present(&targets, 0) };
        let recall = weigh(&kept, &now);
        let cheap = recall.costs.iter().all(|(name, mean, runs)| {
            *mean <= targets[name] as f64 * DEAREST && *mean > 0.0 && *runs <= KEPT_RUNS
        });
        let known = age(&now.moment, &kept.moment);
        let held = recall.target.is_some() || recall.pace.is_some() || !recall.accounts.is_empty();
        let aged = known.is_some_and(|age| age <= STATED && age <= trust) || !held;
        let none =
            known.is_some() || recall == Recall { verdicts: recall.verdicts.clone(), ..Recall::default() };
        cheap && aged && none && recall.verdicts.len() == 6
    }
    QuickCheck::new().tests(5_000).quickcheck(holds as fn(Any) -> bool);
}

fn opening() -> Opening {
    Opening::new(0, Terms { most: 6.0, first: 1.0, step: 50_000 })
}

fn look(opening: &mut Opening, ok: u64, failed: u64) -> f64 {
    let now = opening.next();
    opening.look(now, Seen { ok, failed, in_hand: opening.bound().min(9.0) as usize, waiting: 2 });
    opening.bound()
}

fn looks(opening: &mut Opening, times: std::ops::Range<u32>, ok: u64, failed: u64) {
    for _ in times {
        look(opening, ok, failed);
    }
}

#[test]
fn calls_open_by_what_is_answered_and_not_by_time() {
    let mut o = opening();
    assert_eq!(look(&mut o, 0, 0), 1.0, "nothing was answered");
    let bounds: Vec<f64> = (0..5).map(|_| look(&mut o, 3, 0)).collect();
    assert_eq!(bounds, [1.5, 2.25, 3.375, 5.0625, 6.0]);
    assert!(o.is_open() && o.bound().is_finite());
    looks(&mut o, 0..60, 3, 0);
    assert!(o.bound().is_infinite(), "open for good");
    assert_eq!(look(&mut o, 20, 1), f64::INFINITY, "one failure in twenty changes nothing");
}

#[test]
fn what_fails_halves_the_bound_and_an_outage_begins_anew_with_a_lower_knee() {
    let mut o = opening();
    looks(&mut o, 0..4, 3, 0);
    assert_eq!(look(&mut o, 2, 2), 5.0625 / 2.0);
    let crept = look(&mut o, 5, 0);
    assert!((crept - 2.63125).abs() < 1e-9, "above the knee it creeps: {crept}");
    looks(&mut o, 0..3, 0, 2);
    assert_eq!((o.bound(), o.outages), (1.0, 1));
    looks(&mut o, 0..50, 0, 1);
    assert_eq!((o.bound(), o.outages), (1.0, 1), "one outage, however long");
    assert!(look(&mut o, 1, 0) >= 1.0);
}

#[test]
fn an_opening_never_leaves_its_bounds() {
    fn holds(looks: Vec<(u8, u8, u8)>) -> bool {
        let mut o = opening();
        looks.into_iter().all(|(ok, failed, waiting)| {
            let (ok, failed) = (u64::from(ok % 5), u64::from(failed % 5));
            let seen =
                Seen { ok, failed, in_hand: usize::from(waiting % 8), waiting: usize::from(waiting % 3) };
            let at = o.next();
            o.look(at, seen);
            o.bound() >= 1.0 && (o.bound() <= 6.0 || o.bound().is_infinite())
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn processes_that_start_in_one_moment_act_in_different_ones() {
    let seeds: Vec<u64> = (0..40).map(|n| seed(167, &format!("n{n}"), 5, 100)).collect();
    let mut phases: Vec<Us> = seeds.iter().map(|seed| phase(*seed, "snapshot", 5 * S)).collect();
    phases.sort_unstable();
    let widest = phases.windows(2).map(|two| two[1] - two[0]).max().unwrap();
    assert!(phases[0] < S && phases[39] > 4 * S && widest < S, "{phases:?}");
    assert_ne!(seed(167, "n1", 5, 100), seed(167, "n1", 6, 100), "each start has its own");
    // Over an hour no two of forty fall into step: they swing by a quarter each time.
    let mut beats: Vec<Beat> = seeds.iter().map(|seed| Beat::new(0, 5 * S, *seed, "snapshot")).collect();
    let mut most = 0;
    for ms in 0..600_000_u64 {
        most = most.max(beats.iter_mut().filter_map(|beat| beat.due(ms * 1_000).then_some(())).count());
    }
    assert!((1..=4).contains(&most), "{most} of 40 within a millisecond");
    let mut beat = Beat::new(0, S, 3, "x");
    assert!(beat.due(100 * S) && !beat.due(100 * S + 1), "what was missed is not made good");
}

fn fine() -> Evidence {
    Evidence {
        weighed: true,
        runs: 20,
        read: 20,
        pace: 1.0,
        ramped: true,
        calls_open: true,
        ..Evidence::default()
    }
}

#[test]
fn full_is_reached_by_evidence_only_and_left_by_evidence_only() {
    let mut stages = Stages::new(0);
    assert_eq!(stages.look(S, Evidence::default()), None);
    assert_eq!(stages.look(2 * S, Evidence { runs: 0, ..fine() }), Some(Stage::Cold));
    assert_eq!(
        stages.look(900 * S, Evidence { runs: 0, ..fine() }),
        None,
        "nothing ran: time proves nothing"
    );
    assert_eq!(stages.look(901 * S, fine()), Some(Stage::Warming));
    let mut now = 901 * S;
    let mut second = |stages: &mut Stages, evidence: Evidence| {
        now += S;
        stages.look(now, evidence)
    };
    for odd in [
        Evidence { pace: 2.0, ..fine() },
        Evidence { ramped: false, ..fine() },
        Evidence { calls_open: false, ..fine() },
        Evidence { troubled: true, ..fine() },
        Evidence { turned_away: 2, ..fine() },
    ] {
        assert_eq!((second(&mut stages, fine()), second(&mut stages, fine())), (None, None));
        assert_eq!(second(&mut stages, odd), None);
        assert_eq!(stages.stage(), Stage::Warming, "{odd:?}");
    }
    assert_eq!((second(&mut stages, fine()), second(&mut stages, fine())), (None, None));
    assert_eq!(second(&mut stages, fine()), Some(Stage::Full));
    for _ in 0..4 {
        assert_eq!(second(&mut stages, Evidence { turned_away: 10, ..fine() }), None);
    }
    assert_eq!(second(&mut stages, Evidence { read: 0, ..fine() }), None, "a second without RPCs is none");
    assert_eq!(second(&mut stages, Evidence { turned_away: 10, ..fine() }), Some(Stage::Warming));
    assert_eq!(stages.why().0, "more than 5 in 100 RPCs are turned away");
}

#[test]
#[ignore = "a measurement"]
fn cost_of_a_snapshot_of_1000_callers_and_1024_methods() {
    let mut much = learned();
    let kept = much.methods[0].clone();
    much.methods = (0..1_024).map(|n| Kept { name: format!("method-{n}"), ..kept.clone() }).collect();
    much.accounts = (0..1_000).map(|n| (n, 0.5)).collect();
    let mut took: Vec<u128> = (0..101)
        .map(|_| {
            let start = std::time::Instant::now();
            assert!(much.write().len() > 10_000);
            start.elapsed().as_micros()
        })
        .collect();
    took.sort_unstable();
    println!("{} bytes, {} us to write as text", much.write().len(), took[50]);
}
