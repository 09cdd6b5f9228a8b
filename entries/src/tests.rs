//! Tests of the package.

use super::*;
use asterrill::Idempotency;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A version as plainly as can be.
#[derive(Clone, Debug, PartialEq)]
struct Model {
    frame: GlobalSettings,
    methods: BTreeMap<String, Method>,
    tenants: BTreeMap<String, f64>,
}

fn names() -> Vec<String> {
    let odd = ["a", "البحث", "查價", "quo\"te", "back\\slash", "put", "{}", "é", "e\u{301}"];
    let long = [1, 2, 63, 64, 65, 127, 128].map(|n| "n".repeat(n));
    odd.into_iter().map(String::from).chain(long).chain((0..16).map(|i| format!("name-{i}"))).collect()
}

/// Any number there may be: plain ones, the ends, and such as only an exact reading brings back.
fn rate(chance: &mut StdRng) -> f64 {
    match chance.random_range(0..5) {
        0 => 0.0,
        1 => f64::from(chance.random_range(0..1_000_u32)),
        2 => f64::from_bits(chance.random_range(0..=MAX_FIGURE.to_bits())),
        3 => chance.random_range(0.0..=MAX_FIGURE),
        _ => MAX_FIGURE,
    }
}

fn time(chance: &mut StdRng) -> u64 {
    let most = *[1_000, 10_000_000, MAX_DURATION].choose(chance).unwrap();
    chance.random_range(0..=most)
}

fn method(chance: &mut StdRng) -> Method {
    let effects = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
    let (latency_target, deadline, window) = (time(chance), time(chance), time(chance));
    let effect = *effects.choose(chance).unwrap();
    let (criticality, late_value_ratio, skip_value_ratio) = (rate(chance), rate(chance), rate(chance));
    Method {
        latency_target,
        deadline,
        idempotency: effect,
        criticality,
        late_value_ratio,
        idempotency_window: window,
        skip_value_ratio,
    }
}

fn frame(chance: &mut StdRng) -> GlobalSettings {
    GlobalSettings {
        cores: chance.random_range(0..=MAX_FIGURE as u64),
        ram_kb: rate(chance) * 1e200,
        upstream: *[UpstreamKind::None, UpstreamKind::Shared, UpstreamKind::Tier].choose(chance).unwrap(),
        upstream_call_quota: Some(rate(chance)),
        upstream_call_window: Some(time(chance)),
        cold_start: chance.random(),
        slow_start_from: Some(rate(chance)),
        idle_timeout: time(chance),
        load_report: *[asterrill::FeedbackMode::Off, asterrill::FeedbackMode::Threshold]
            .choose(chance)
            .unwrap(),
        gauges: names().sample(chance, 3).map(|name| name.as_str().into()).collect(),
        retry_after: chance.random(),
        max_retry_after: time(chance),
        over_quota_weight: rate(chance),
        run_factor: rate(chance),
        kb_per_key: rate(chance),
        abandoned_call_linger: time(chance),
        stop_mode: *[asterrill::StopMode::Abort, asterrill::StopMode::Suspend].choose(chance).unwrap(),
        response_ttl: time(chance),
        callers: chance.random_range(0..=MAX_FIGURE as u64),
        max_running_per_core: rate(chance),
        slow_start_duration: time(chance),
        health_propagation_delay: time(chance),
        min_event_interval: time(chance),
        replicas: chance.random_range(0..=MAX_FIGURE as u64),
        memory_mb: chance.random_range(1..=1_048_576),
        sockets: chance.random_range(1..=1_048_576),
    }
}

/// A step, and whether it may be refused for a fault put into it.
fn step(chance: &mut StdRng, model: &Model) -> (Vec<Change>, bool) {
    let (mut changes, mut fault, mut keys) = (Vec::new(), false, BTreeSet::new());
    for _ in 0..chance.random_range(1..10) {
        let kind = *[EntryKind::Method, EntryKind::Tenant].choose(chance).unwrap();
        let name = names().choose(chance).unwrap().clone();
        if !keys.insert((kind, name.clone())) {
            continue;
        }
        let known = match kind {
            EntryKind::Method => model.methods.contains_key(&name),
            EntryKind::Tenant => model.tenants.contains_key(&name),
        };
        let name: Name = name.into();
        changes.push(match (kind, known && chance.random_ratio(1, 3)) {
            (EntryKind::Method, false) => Change::PutMethod(name, method(chance)),
            (EntryKind::Method, true) => Change::RemoveMethod(name),
            (EntryKind::Tenant, false) => Change::PutTenant(name, rate(chance)),
            (EntryKind::Tenant, true) => Change::RemoveTenant(name),
        });
    }
    if chance.random_ratio(1, 6) {
        changes.push(Change::SetGlobals(frame(chance).into()));
    }
    if chance.random_ratio(1, 4) {
        fault = true;
        let odd = match chance.random_range(0..9) {
            0 => Change::RemoveTenant("nobody".into()),
            1 => Change::RemoveMethod("nothing".into()),
            2 => Change::PutTenant("n".repeat(MAX_NAME_BYTES + 1).as_str().into(), 1.0),
            3 => Change::PutMethod("two words".into(), method(chance)),
            4 => Change::PutTenant("fine".into(), -1e-300),
            5 => Change::PutTenant("fine".into(), f64::NAN),
            6 => Change::PutMethod(
                "fine".into(),
                Method { late_value_ratio: MAX_FIGURE * 2.0, ..method(chance) },
            ),
            7 => Change::PutMethod("fine".into(), Method { deadline: MAX_DURATION + 1, ..method(chance) }),
            _ => changes.choose(chance).unwrap().clone(),
        };
        changes.push(odd);
    }
    changes.shuffle(chance);
    (changes, fault)
}

impl Model {
    fn step(&self, changes: &[Change]) -> Model {
        let mut next = self.clone();
        for change in changes {
            match change.clone() {
                Change::SetGlobals(frame) => next.frame = GlobalSettings::clone(&frame),
                Change::PutMethod(name, method) => drop(next.methods.insert(name.to_string(), method)),
                Change::RemoveMethod(name) => drop(next.methods.remove(&*name)),
                Change::PutTenant(name, rate) => drop(next.tenants.insert(name.to_string(), rate)),
                Change::RemoveTenant(name) => drop(next.tenants.remove(&*name)),
            }
        }
        next
    }
    fn puts(&self) -> Vec<Change> {
        let methods = self.methods.iter().map(|(name, m)| Change::PutMethod(name.as_str().into(), m.clone()));
        let tenants = self.tenants.iter().map(|(name, rate)| Change::PutTenant(name.as_str().into(), *rate));
        methods.chain(tenants).collect()
    }
    /// As a reader of whole files makes it, entries in any order.
    fn file(&self, chance: &mut StdRng, running: Option<&Configuration>) -> Configuration {
        let (mut methods, mut tenants) = (Vec::new(), Vec::new());
        let mut puts = self.puts();
        puts.shuffle(chance);
        for change in puts {
            match change {
                Change::PutMethod(name, method) => methods.push((name, method)),
                Change::PutTenant(name, rate) => tenants.push((name, rate)),
                _ => {}
            }
        }
        Configuration::from_entries(running, self.frame.clone(), methods, tenants).unwrap()
    }
    fn check(&self, content: &Configuration, at: &str) {
        let methods = content.methods().map(|(name, m)| (name.to_string(), m.clone()));
        let tenants = content.tenants().map(|(name, rate)| (name.to_string(), rate));
        let (methods, tenants) = (methods.collect(), tenants.collect());
        let found = Model { frame: GlobalSettings::clone(content.globals()), methods, tenants };
        assert_eq!(&found, self, "{at}");
    }
}

#[test]
fn steps_files_and_undo_come_to_what_a_plain_model_says() {
    let (mut refused, mut taken) = (0, 0);
    for seed in 0..2_000 {
        let chance = &mut StdRng::seed_from_u64(seed);
        let (frame, methods) = (frame(chance), BTreeMap::from([("first".to_string(), method(chance))]));
        let mut model = Model { frame, methods, tenants: BTreeMap::new() };
        let mut content = model.file(chance, None);
        let mut history = vec![(content.clone(), model.clone())];
        for round in 0..12 {
            let at = format!("seed {seed} round {round}");
            let (before, digest) = (model.clone(), content.digest());
            match chance.random_range(0..4) {
                0 => {
                    // Back to a version of before, exactly.
                    let (then, was) = history.choose(chance).unwrap().clone();
                    let changes = content.changes_to(&then);
                    (content, model) = (content.apply(&changes).unwrap(), was);
                    assert_eq!(
                        (content.digest(), content.changes_to(&then)),
                        (then.digest(), vec![]),
                        "{at}"
                    );
                }
                1 => {
                    // A whole file, read beside the running version.
                    let (changes, _) = step(chance, &model);
                    let changes: Vec<Change> = changes
                        .into_iter()
                        .filter(|change| content.apply(std::slice::from_ref(change)).is_ok())
                        .collect();
                    model = model.step(&changes);
                    content = model.file(chance, Some(&content));
                }
                _ => {
                    let (changes, fault) = step(chance, &model);
                    match content.apply(&changes) {
                        Ok(next) if !fault => (content, model) = (next, model.step(&changes)),
                        Ok(_) => panic!("{at}: taken {changes:?}"),
                        Err(_) if fault => refused += 1,
                        Err(why) => panic!("{at}: {why} {changes:?}"),
                    }
                    if !fault {
                        // The same step by its text.
                        taken += 1;
                        let step = Step { base: Some(round), hash: Some(digest), changes };
                        let text = write_step(&step);
                        assert_eq!(read_step(&text, &content).as_ref(), Ok(&step), "{at}: {text}");
                    }
                }
            }
            model.check(&content, &at);
            // The same meaning has the same digest, however it came about; another has another.
            let anew = model.file(chance, None);
            assert_eq!((anew.digest(), &anew), (content.digest(), &content), "{at}");
            assert_eq!(model == before, content.digest() == digest, "{at}");
            history.push((content.clone(), model.clone()));
        }
        let mut text = String::new();
        write_configuration(&content, &mut text).unwrap();
        assert_eq!(read_configuration(&text).as_ref(), Ok(&content), "seed {seed}");
        // From any version to any other.
        let [(a, _), (b, was)] = [0, 1].map(|_| history.choose(chance).unwrap());
        was.check(&a.apply(&a.changes_to(b)).unwrap(), "between versions");
    }
    assert!(refused > 1_000 && taken > 5_000, "{refused} {taken}");
}

/// Two methods and two tenants.
fn small(seed: u64) -> Configuration {
    let chance = &mut StdRng::seed_from_u64(seed);
    let methods = ["look", "pay"].map(|name| (name.into(), method(chance)));
    let tenants = [("acme".into(), 10.0), ("zeta".into(), 20.0)];
    Configuration::from_entries(None, frame(chance), methods.into(), tenants.into()).unwrap()
}

#[test]
fn a_frame_in_part_leaves_the_rest_as_it_was() {
    (0..20).for_each(|seed| partial(&small(seed)));
}

fn partial(running: &Configuration) {
    let merged = |text: &str| match read_step(text, running).map(|step| step.changes) {
        Ok(changes) => Ok(GlobalSettings::clone(running.apply(&changes).unwrap().globals())),
        Err(why) => Err(why.to_string()),
    };
    let was = GlobalSettings::clone(running.globals());
    let first = merged(r#"{"frame":{"FamilyInfo":{"NCores":7,"Say":"window"},"limits":{"memory_mb":96}}}"#);
    let say = asterrill::FeedbackMode::Credit;
    assert_eq!(first, Ok(GlobalSettings { cores: 7, load_report: say, memory_mb: 96, ..was.clone() }));
    let rest = r#"{"frame":{"StepMs":2.5,"Limits":{"RetryAfter":true},"Safety":{"ColdFrom":0.25},"OverShareWorth":null}}"#;
    let expected = GlobalSettings {
        min_event_interval: 2_500,
        retry_after: true,
        slow_start_from: Some(0.25),
        over_quota_weight: 1.0,
        ..was.clone()
    };
    assert_eq!(merged(rest), Ok(expected));
    assert_eq!(merged(r#"{"frame":{}}"#), Ok(was));
    for (odd, key) in [
        (r#"{"FamilyInfo":{"NCore":7}}"#, "NCore "),
        (r#"{"FamilyInfo":{"NCores":7.5}}"#, "NCores"),
        (r#"{"FamilyInfo":{"NCores":null}}"#, "NCores"),
        (r#"{"FamilyInfo":{"NCores":1,"NCores":2}}"#, "NCores stands twice"),
        (r#"{"FamilyInfo":{"Cold":"yes"}}"#, "Cold"),
        (r#"{"FamilyInfo":{"ClassSkipWorth":[1]}}"#, "ClassSkipWorth"),
        (r#"{"FamilyInfo":{"Below":"shared","CallShare":null}}"#, "CallShare"),
        (r#"{"FamilyInfo":[]}"#, "FamilyInfo"),
        (r#"{"FamilyInfo":{"Cold":true},"Safety":{"ColdFrom":null}}"#, "ColdFrom"),
        (r#"{"Safety":{"TipMultiple":1e12}}"#, "TipMultiple"),
        (r#"{"limits":{"sockets":0}}"#, "limits.sockets"),
        (r#"{"limits":{"memory_mb":null}}"#, "limits.memory_mb"),
        (r#"{"Categories":[]}"#, "Categories"),
        ("7", "frame"),
    ] {
        let why = merged(&format!(r#"{{"frame":{odd}}}"#)).unwrap_err();
        assert!(why.contains(key) && why.contains("line 1"), "{odd}: {why}");
    }
}

#[test]
fn what_is_wrong_with_a_step_is_told_by_line_and_key() {
    let running = small(9);
    let long = format!(r#"{{"take":"tenant","Name":"{}"}}"#, "n".repeat(MAX_NAME_BYTES + 1));
    let look = r#"{"put":"method","Name":"look","AimMs":1,"DeadlineMs":2,"Effect":"free","Worth":1}"#;
    let twice =
        "{\"take\":\"tenant\",\"Name\":\"acme\"}\n{\"put\":\"tenant\",\"Name\":\"acme\",\"QuotaRps\":1}";
    for (text, line, key) in [
        (r#"{"put":"tenant","Name":"acme","QuotaRps":-1}"#, 1, "QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1e10}"#, 1, "QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1e999}"#, 1, "number out of range"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":null}"#, 1, "QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":"1"}"#, 1, "QuotaRps"),
        (r#"{"put":"tenant","Name":"acme"}"#, 1, "acme: field QuotaRps"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1,"QuotaRps":2}"#, 1, "QuotaRps stands twice"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1,"Worth":2}"#, 1, "Worth is not known"),
        (r#"{"put":"tenant","Name":"acme","QuotaRps":1,"Quota":2}"#, 1, "Quota is not known"),
        (r#"{"put":"tenant","Name":"","QuotaRps":1}"#, 1, "1 to 128 bytes"),
        (r#"{"put":"planet","Name":"acme"}"#, 1, "put planet"),
        (r#"{"put":"tenant","take":"tenant","Name":"acme"}"#, 1, "a line puts"),
        (r#"{"Name":"acme"}"#, 1, "a line puts"),
        ("\n[1]", 2, "a line puts"),
        ("{}{}", 1, "not JSON"),
        ("{\"base\":1}\n\n{\"base\":2}", 3, "only the first"),
        (r#"{"base":1.5}"#, 1, "base"),
        (r#"{"hash":"+0000000000000000000000000000000"}"#, 1, "hash"),
        (&long, 1, "Name"),
        (twice, 2, "Name acme stands twice"),
        ("{\"frame\":{}}\n{\"frame\":{}}", 2, "frame stands twice"),
        (&look.replace("free", "cheap"), 1, "look: Effect cheap"),
        (&look.replace("look", "two words"), 1, "without blanks"),
        (&look.replace("2,", "-2,"), 1, "DeadlineMs"),
    ] {
        let why = read_step(text, &running).expect_err(text).to_string();
        assert!(why.contains(key) && why.contains(&format!("line {line}")), "{text}: {why}");
    }
    // Cut off anywhere, it is refused, or what its whole lines say.
    let text = format!("{look}\n{twice}\n").replace("\"acme\",\"Q", "\"other\",\"Q");
    let whole = read_step(&text, &running).unwrap().changes;
    for cut in 0..text.len() {
        match read_step(&text[..cut], &running) {
            Ok(step) => assert_eq!(step.changes, whole[..step.changes.len()], "{cut}"),
            Err(why) => assert!(why.to_string().contains("not JSON"), "{cut}: {why}"),
        }
    }
}

#[test]
fn every_list_has_its_bound_and_a_version_keeps_a_method() {
    let running = small(9);
    let puts = |n: usize| (0..n).map(|i| Change::PutTenant(format!("t{i}").as_str().into(), 1.0)).collect();
    let mut most: Vec<Change> = puts(MAX_TENANTS - 2);
    let full = running.apply(&most).unwrap();
    most.push(Change::PutTenant("one more".into(), 1.0));
    assert!(running.apply(&most).unwrap_err().to_string().contains("TENANTS"));
    // Another in the place of one that goes.
    let change = [Change::PutTenant("one more".into(), 1.0), Change::RemoveTenant("t7".into())];
    assert_eq!(full.apply(&change).unwrap().count(EntryKind::Tenant), MAX_TENANTS);
    let methods = (0..MAX_METHODS)
        .map(|i| Change::PutMethod(i.to_string().as_str().into(), running.method("pay").unwrap().clone()));
    assert!(running.apply(&methods.collect::<Vec<_>>()).unwrap_err().to_string().contains("METHODS"));
    let gauges = vec!["g".into(); MAX_GAUGES + 1];
    let frame =
        Change::SetGlobals(GlobalSettings { gauges, ..GlobalSettings::clone(running.globals()) }.into());
    assert!(running.apply(&[frame]).unwrap_err().to_string().contains("GAUGES"));
    let last = ["look", "pay"].map(|name| Change::RemoveMethod(name.into()));
    assert_eq!(running.apply(&last), Err(ConfigError::LastMethod));
}

#[test]
fn a_whole_text_without_frame_methods_or_with_another_hash_is_refused() {
    let (running, mut text) = (small(9), String::new());
    write_configuration(&running, &mut text).unwrap();
    let hash = format!("{{\"hash\":\"{}\"}}\n{text}", running.digest());
    assert_eq!(read_configuration(&hash).as_ref(), Ok(&running));
    let other = hash.replace("\"QuotaRps\":10", "\"QuotaRps\":11");
    assert!(read_configuration(&other).unwrap_err().to_string().contains("hash"));
    let without = |what: &str| {
        let lines: Vec<&str> = text.lines().filter(|line| !line.contains(what)).collect();
        read_configuration(&lines.join("\n")).unwrap_err().to_string()
    };
    assert!(without("frame").contains("frame") && without("method").contains("Categories"));
    assert!(read_configuration(&format!("{text}{}", text.lines().last().unwrap()))
        .unwrap_err()
        .to_string()
        .contains("zeta"));
}

#[test]
fn versions_share_what_they_have_in_common() {
    let chance = &mut StdRng::seed_from_u64(4);
    let methods = (0..4_700).map(|i| (format!("m{i}").as_str().into(), method(chance)));
    let tenants = (0..49_000).map(|i| (format!("t{i}").as_str().into(), 10.0));
    let methods: Vec<(Name, Method)> = methods.collect();
    let tenants: Vec<(Name, f64)> = tenants.collect();
    let frame = frame(chance);
    let made = |running: Option<&Configuration>, odd: f64| {
        let mut tenants = tenants.clone();
        tenants[777].1 = odd;
        Configuration::from_entries(running, frame.clone(), methods.clone(), tenants).unwrap()
    };
    let running = made(None, 10.0);
    let change = [Change::PutTenant("t777".into(), 11.0)];
    // The least of some: the machine has other work.
    let least = |a: &Configuration, b: &Configuration| -> Duration {
        let once = |_| {
            let start = Instant::now();
            assert_eq!(black_box(a.changes_to(b)), change);
            start.elapsed()
        };
        (0..20).map(once).min().unwrap()
    };
    let apart = least(&running, &made(None, 11.0));
    for next in [running.apply(&change).unwrap(), made(Some(&running), 11.0)] {
        assert!(Arc::ptr_eq(
            next.name(EntryKind::Tenant, "t777").unwrap(),
            running.name(EntryKind::Tenant, "t777").unwrap()
        ));
        assert!(Arc::ptr_eq(next.globals(), running.globals()));
        let shared = least(&running, &next);
        assert!(shared * 20 < apart, "{shared:?} for one entry, {apart:?} where nothing is shared");
    }
}
