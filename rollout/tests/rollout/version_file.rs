//! The file of versions: cut and damaged anywhere, and steps without a base.

use crate::reference_model::*;
use asterrill_entries::{write_step, Change};
use asterrill_rollout::*;

#[test]
fn file_cut_at_any_byte_recovers_to_the_last_complete_record() {
    let (text, ends) = record_with_all_steps();
    for at in 0..=text.len() {
        let last = ends.iter().rev().find(|(end, _)| *end <= at);
        let Some((end, state)) = last else {
            // A snapshot is renamed into its place, so this is no crash.
            assert!(
                matches!(recover(&text.as_bytes()[..at]), Err(VersionFileError::Damaged(_))),
                "cut at {at}"
            );
            continue;
        };
        let found = recovered(&text.as_bytes()[..at]);
        assert_eq!(found.state, *state, "cut at {at}");
        assert_eq!((found.valid_bytes, found.torn_bytes), (*end as u64, (at - end) as u64));
        assert_eq!(found.damaged, None, "cut at {at}");
    }
}

#[test]
fn file_damaged_at_any_byte_names_the_record_and_recovers_nothing_unwritten() {
    let (text, ends) = record_with_all_steps();
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] ^= 1;
        let record = ends.iter().position(|(end, _)| at < *end).unwrap();
        if record == 0 {
            assert!(recover(&bytes[..]).is_err(), "damaged at {at}");
            continue;
        }
        let (found, (begin, before)) = (recovered(&bytes), &ends[record - 1]);
        assert_eq!((found.valid_bytes, &found.state.good), (*begin as u64, &before.good), "damaged at {at}");
        let named = found.damaged.as_ref().map(|damage| (damage.record, damage.offset));
        if record + 1 == ends.len() {
            assert_eq!((named, found.torn_bytes > 0), (None, true), "damaged at {at}");
            assert_eq!(found.state, *before);
        } else {
            assert_eq!(named, Some((record as u64, *begin as u64)), "damaged at {at}");
            // What was rolled back later is still remembered: the steps after it hold its hash.
            assert!(
                record > 3 || found.state.rolled_back.contains(&version_c().rolled_back()),
                "damaged at {at}"
            );
        }
    }
}

#[test]
fn rejects_foreign_files_and_other_formats() {
    let fault = |text: &str| recover(text.as_bytes()).unwrap_err();
    assert_eq!(fault("hello\nworld"), VersionFileError::Foreign);
    assert_eq!(fault(&"x".repeat(2 << 20)), VersionFileError::Foreign);
    assert_eq!(
        fault("asterrill versions 2\nwhole"),
        VersionFileError::OtherFormat("asterrill versions 2".into())
    );
    assert!(matches!(fault(""), VersionFileError::Damaged(_)));
    // Checksums that are right around entries that are not: still named, and nothing of it is taken.
    let (text, _) = snapshot(&state(&version_a(), None, &[]));
    let body = text.replace("oder", "od r\\u0001").replace("end ", "\0");
    let (body, _) = body.split_once('\0').unwrap();
    let sum = xxhash_rust::xxh3::xxh3_64(body.as_bytes());
    let record = format!("{body}end 4 {sum:016x}\n");
    assert!(
        matches!(fault(&record), VersionFileError::Damaged(why) if why.to_string().contains("Name")),
        "{record}"
    );
}

#[test]
fn step_with_a_missing_base_is_named_and_not_applied() {
    // From 2 to 3, after a snapshot that holds 1: its checksums are right.
    let (_, written) = snapshot(&state(&version_b(), None, &[]));
    let mut step = String::new();
    written.update_to(&state(&version_b(), Some(&version_c()), &[])).unwrap().write(&mut step).unwrap();
    let (text, _) = snapshot(&state(&version_a(), None, &[]));
    let found = recovered(format!("{text}{step}").as_bytes());
    assert_eq!(found.state.good, version_a().persisted());
    let damage = found.damaged.unwrap().to_string();
    assert_eq!(damage, format!("record 1 at byte {}: its base, version 2, is missing", text.len()));
    // Nobody knows whether it was good, so it is not started with.
    assert!(
        matches!(choose_start(&version_c().persisted().hash(), Some(found.state)), StartDecision::LastGood { good, .. } if good.number == 1)
    );

    // A base of the same number that says something else shows by the hash.
    let other = ModelVersion::new(2, &[("nile", 9), ("oder", 7), ("po", 1)], "");
    let (text, _) = snapshot(&state(&other, None, &[]));
    let damage = recovered(format!("{text}{step}").as_bytes()).damaged.unwrap().error.to_string();
    assert!(damage.starts_with("it leads to"), "{damage}");
}

#[test]
fn version_on_probation_at_a_crash_is_never_started_with() {
    let number = |start: StartDecision| match start {
        StartDecision::Configured { number, .. } => ("configured", number),
        StartDecision::LastGood { good, .. } => {
            (if ModelVersion::of(&good).says(&version_a()) { "good" } else { "other" }, good.number)
        }
    };
    let (a, b) = (version_a(), version_b());
    let (hash_a, hash_b) = (a.persisted().hash(), b.persisted().hash());
    // A change from a (1) to b (2): the step is cut anywhere, or complete. Beside it, the configuration of the process
    // is b.
    let (mut text, written) = snapshot(&state(&a, None, &[]));
    let at = text.len();
    append(&mut text, written, &state(&a, Some(&b), &[]));
    for cut in at..=text.len() {
        let start = choose_start(&hash_b, Some(recovered(&text.as_bytes()[..cut]).state));
        // Cut short it did not stand there, so nothing had been applied: b is a new file then.
        assert_eq!(
            number(start),
            if cut == text.len() { ("good", 1) } else { ("configured", 2) },
            "cut at {cut}"
        );
    }
    let start = |configured: &str, state| number(choose_start(configured, Some(state)));
    // Confirmed.
    assert_eq!(start(&hash_b, state(&b, None, &[])), ("configured", 2));
    // Rolled back: with the record of that, and the probation not ended yet.
    assert_eq!(start(&hash_b, state(&a, Some(&b), &[&b])), ("good", 1));
    assert_eq!(start(&hash_b, state(&a, None, &[&b])), ("good", 1));
    assert_eq!(start(&hash_a, state(&a, Some(&b), &[&b])), ("configured", 1));
    // A file edited while nothing ran is what starts.
    assert_eq!(start(&version_c().persisted().hash(), state(&a, Some(&b), &[&b])), ("configured", 2));
    assert_eq!(number(choose_start(&version_c().persisted().hash(), None)), ("configured", 1));
    // What was on probation at a crash is not taken again afterwards.
    let StartDecision::LastGood { good, rolled_back, .. } =
        choose_start(&hash_b, Some(state(&a, Some(&b), &[])))
    else {
        panic!()
    };
    let mut again = Rollout::resume(good.clone(), good.hash(), good.number, rolled_back, 0);
    let wants = |version: &ModelVersion| {
        let content = version.persisted();
        Proposal { hash: content.hash(), content, base: None, options: StageOptions::default() }
    };
    assert_eq!(again.stage(1, wants(&b)), Err(RolloutError::PreviouslyRolledBack(2)));
    assert_eq!(again.stage(1, wants(&version_c())), Ok(3));
}

#[test]
fn hash_covers_the_meaning_and_the_operator_file() {
    let (a, again) = (version_a().persisted(), ModelVersion::of(&version_a().persisted()).persisted());
    assert_eq!(a.hash(), again.hash());
    assert_eq!(*version_hash(&a.content, ""), a.content.digest().to_string());
    assert!(a.hash().starts_with(&*version_hash(&a.content, "")) && a.hash().len() == 32 + 1 + 16);
    assert_ne!(a.hash(), version_hash(&a.content, "another"));
}

#[test]
fn steps_are_compact_and_outgrown_steps_lead_to_a_snapshot() {
    let tenants: Vec<(String, u32)> = (0..2_000).map(|i| (format!("tenant-{i:05}"), 5)).collect();
    let mut version =
        ModelVersion { number: 1, tenants: tenants.into_iter().collect(), file: "f".repeat(3_000) };
    let (text, mut written) = snapshot(&state(&version, None, &[]));
    let (mut appended, mut length, most) = (0, text.len(), text.len().max(MIN_COMPACTION_BYTES as usize));
    loop {
        version.number += 1;
        *version.tenants.get_mut("tenant-00700").unwrap() += 1;
        let next = state(&version, None, &[]);
        let Some(update) = written.update_to(&next) else { break };
        assert!(length < 1 << 20, "{length} bytes");
        let change = Change::PutTenant("tenant-00700".into(), f64::from(version.tenants["tenant-00700"]));
        let entry = write_step(&asterrill_entries::Step { base: None, hash: None, changes: vec![change] });
        let above = update.bytes() as usize - entry.len();
        assert!(above <= 256, "{above} bytes above an entry of {}", entry.len());
        (appended, length) = (appended + 1, length + update.bytes() as usize);
        written = written.after_update(next, &update);
    }
    assert!(
        appended > 100 && (text.len() + most - 400..=text.len() + most).contains(&length),
        "{appended} {length}"
    );
}
