//! Versions that result from steps, complete files and rollbacks.

use crate::model::{globals, method, random_changes, Model};
use asterrill_entries::{
    read_configuration, read_step, write_configuration, write_step, Change, Configuration, EntryKind, Method,
    Name, Step,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn matches_the_model_after_steps_files_and_rollbacks() {
    let (mut rejected, mut accepted) = (0, 0);
    for seed in 0..2_000 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let (globals, methods) = (globals(rng), BTreeMap::from([("first".to_string(), method(rng))]));
        let mut model = Model { globals, methods, tenants: BTreeMap::new() };
        let mut configuration = model.to_configuration(rng, None);
        let mut history = vec![(configuration.clone(), model.clone())];
        for round in 0..12 {
            let context = format!("seed {seed} round {round}");
            let (before, digest) = (model.clone(), configuration.digest());
            match rng.random_range(0..4) {
                0 => {
                    // A rollback restores exactly an earlier version.
                    let (earlier, earlier_model) = history.choose(rng).unwrap().clone();
                    let changes = configuration.changes_to(&earlier);
                    (configuration, model) = (configuration.apply(&changes).unwrap(), earlier_model);
                    assert_eq!(
                        (configuration.digest(), configuration.changes_to(&earlier)),
                        (earlier.digest(), vec![]),
                        "{context}"
                    );
                }
                1 => {
                    // A complete file is read, with the running version to share entries with.
                    let (changes, _) = random_changes(rng, &model);
                    let changes: Vec<Change> = changes
                        .into_iter()
                        .filter(|change| configuration.apply(std::slice::from_ref(change)).is_ok())
                        .collect();
                    model = model.apply(&changes);
                    configuration = model.to_configuration(rng, Some(&configuration));
                }
                _ => {
                    let (changes, is_invalid) = random_changes(rng, &model);
                    match configuration.apply(&changes) {
                        Ok(next) if !is_invalid => (configuration, model) = (next, model.apply(&changes)),
                        Ok(_) => panic!("{context}: accepted {changes:?}"),
                        Err(_) if is_invalid => rejected += 1,
                        Err(error) => panic!("{context}: {error} {changes:?}"),
                    }
                    if !is_invalid {
                        // The step survives a round trip through its text.
                        accepted += 1;
                        let step = Step { base: Some(round), hash: Some(digest), changes };
                        let text = write_step(&step);
                        assert_eq!(read_step(&text, &configuration).as_ref(), Ok(&step), "{context}: {text}");
                    }
                }
            }
            model.assert_equals(&configuration, &context);
            // Versions with equal contents have equal digests, however they were built, and others have other digests.
            let rebuilt = model.to_configuration(rng, None);
            assert_eq!((rebuilt.digest(), &rebuilt), (configuration.digest(), &configuration), "{context}");
            assert_eq!(model == before, configuration.digest() == digest, "{context}");
            history.push((configuration.clone(), model.clone()));
        }
        let mut text = String::new();
        write_configuration(&configuration, &mut text).unwrap();
        assert_eq!(read_configuration(&text).as_ref(), Ok(&configuration), "seed {seed}");
        // The changes between any two versions lead from one to the other.
        let [(a, _), (b, earlier_model)] = [0, 1].map(|_| history.choose(rng).unwrap());
        earlier_model.assert_equals(&a.apply(&a.changes_to(b)).unwrap(), "changes between two versions");
    }
    assert!(rejected > 1_000 && accepted > 5_000, "{rejected} rejected, {accepted} accepted");
}

#[test]
fn shares_unchanged_entries_between_versions() {
    let rng = &mut StdRng::seed_from_u64(4);
    let methods = (0..4_700).map(|i| (format!("m{i}").as_str().into(), method(rng)));
    let tenants = (0..49_000).map(|i| (format!("t{i}").as_str().into(), 10.0));
    let methods: Vec<(Name, Method)> = methods.collect();
    let tenants: Vec<(Name, f64)> = tenants.collect();
    let globals = globals(rng);
    let configuration_with = |running: Option<&Configuration>, quota: f64| {
        let mut tenants = tenants.clone();
        tenants[777].1 = quota;
        Configuration::from_entries(running, globals.clone(), methods.clone(), tenants).unwrap()
    };
    let running = configuration_with(None, 10.0);
    let change = [Change::PutTenant("t777".into(), 11.0)];
    // The minimum of several runs excludes delays by other work on the machine.
    let min_duration = |a: &Configuration, b: &Configuration| -> Duration {
        let measure = |_| {
            let start = Instant::now();
            assert_eq!(black_box(a.changes_to(b)), change);
            start.elapsed()
        };
        (0..20).map(measure).min().unwrap()
    };
    let unshared = min_duration(&running, &configuration_with(None, 11.0));
    for next in [running.apply(&change).unwrap(), configuration_with(Some(&running), 11.0)] {
        assert!(Arc::ptr_eq(
            next.stored_name(EntryKind::Tenant, "t777").unwrap(),
            running.stored_name(EntryKind::Tenant, "t777").unwrap()
        ));
        assert!(Arc::ptr_eq(next.globals(), running.globals()));
        let shared = min_duration(&running, &next);
        assert!(shared * 20 < unshared, "{shared:?} with shared entries, {unshared:?} without");
    }
}
