//! Tests of the version file: files cut or damaged at any byte, and steps without a base.

use crate::reference_model::*;
use asterrill_entries::{write_step, Change};
use asterrill_rollout::*;

#[test]
fn file_cut_at_any_byte_recovers_to_the_last_complete_record() {
    let (text, ends) = file_with_all_steps();
    for at in 0..=text.len() {
        let last = ends.iter().rev().find(|(end, _)| *end <= at);
        let Some((end, state)) = last else {
            // No crash leads here, because a snapshot is renamed into place.
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
fn file_damaged_at_any_byte_reports_the_record_and_recovers_only_written_states() {
    let (text, ends) = file_with_all_steps();
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] ^= 1;
        let record = ends.iter().position(|(end, _)| at < *end).unwrap();
        if record == 0 {
            assert!(recover(&bytes[..]).is_err(), "damaged at {at}");
            continue;
        }
        let (found, (start, before)) = (recovered(&bytes), &ends[record - 1]);
        assert_eq!((found.valid_bytes, &found.state.good), (*start as u64, &before.good), "damaged at {at}");
        let reported = found.damaged.as_ref().map(|damage| (damage.record, damage.offset));
        if record + 1 == ends.len() {
            assert_eq!((reported, found.torn_bytes > 0), (None, true), "damaged at {at}");
            assert_eq!(found.state, *before);
        } else {
            assert_eq!(reported, Some((record as u64, *start as u64)), "damaged at {at}");
            // A version that was rolled back later is still remembered, because the steps after the damage hold its
            // hash.
            assert!(
                record > 3 || found.state.rolled_back.contains(&version_c().rolled_back()),
                "damaged at {at}"
            );
        }
    }
}

#[test]
fn rejects_files_of_other_programs_and_unsupported_formats() {
    let error = |text: &str| recover(text.as_bytes()).unwrap_err();
    assert_eq!(error("hello\nworld"), VersionFileError::NotVersionFile);
    assert_eq!(error(&"x".repeat(2 << 20)), VersionFileError::NotVersionFile);
    assert_eq!(
        error("asterrill versions 2\nwhole"),
        VersionFileError::UnsupportedFormat("asterrill versions 2".into())
    );
    assert!(matches!(error(""), VersionFileError::Damaged(_)));
    // Invalid entries under a matching checksum are reported, and nothing of the file is applied.
    let (text, _) = snapshot(&state(&version_a(), None, &[]));
    let body = text.replace("oder", "od r\\u0001").replace("end ", "\0");
    let (body, _) = body.split_once('\0').unwrap();
    let sum = xxhash_rust::xxh3::xxh3_64(body.as_bytes());
    let file = format!("{body}end 4 {sum:016x}\n");
    assert!(
        matches!(error(&file), VersionFileError::Damaged(error) if error.to_string().contains("Name")),
        "{file}"
    );
}

#[test]
fn step_with_a_missing_base_is_reported_and_not_applied() {
    // The step leads from version 2 to 3, but the snapshot before it holds version 1. All checksums match.
    let (_, written) = snapshot(&state(&version_b(), None, &[]));
    let mut step = String::new();
    written.update_to(&state(&version_b(), Some(&version_c()), &[])).unwrap().write(&mut step).unwrap();
    let (text, _) = snapshot(&state(&version_a(), None, &[]));
    let found = recovered(format!("{text}{step}").as_bytes());
    assert_eq!(found.state.good, version_a().persisted());
    let damage = found.damaged.unwrap().to_string();
    assert_eq!(damage, format!("record 1 at byte {}: base version 2 is missing", text.len()));
    // It is unknown whether version 3 was good, so the process does not start with it.
    assert!(
        matches!(choose_start(&version_c().persisted().hash(), None, Some(found.state)), StartDecision::LastGood { good, .. } if good.number == 1)
    );

    // A base with the right number but other content is detected by the hash.
    let other = ModelVersion::new(2, &[("nile", 9), ("oder", 7), ("po", 1)], "");
    let (text, _) = snapshot(&state(&other, None, &[]));
    let damage = recovered(format!("{text}{step}").as_bytes()).damaged.unwrap().error.to_string();
    assert!(damage.starts_with("the step yields hash "), "{damage}");
}

#[test]
fn version_on_probation_at_a_crash_is_never_started_with() {
    let number = |start: StartDecision| match start {
        StartDecision::Configured { number, .. } => ("configured", number),
        StartDecision::LastGood { good, .. } => {
            (if ModelVersion::of(&good).has_content_of(&version_a()) { "good" } else { "other" }, good.number)
        }
        StartDecision::Merged { number, .. } => ("merged", number),
    };
    let (a, b) = (version_a(), version_b());
    let (hash_a, hash_b) = (a.persisted().hash(), b.persisted().hash());
    // The step from version a (1) to version b (2) is complete or cut at any byte. The configuration file of the
    // process is b.
    let (mut text, written) = snapshot(&state(&a, None, &[]));
    let at = text.len();
    append(&mut text, written, &state(&a, Some(&b), &[]));
    for cut in at..=text.len() {
        let start = choose_start(&hash_b, None, Some(recovered(&text.as_bytes()[..cut]).state));
        // If the step is cut short, the change was never applied, and b counts as a new configuration file.
        assert_eq!(
            number(start),
            if cut == text.len() { ("good", 1) } else { ("configured", 2) },
            "cut at {cut}"
        );
    }
    let start = |configured: &str, state| number(choose_start(configured, None, Some(state)));
    // The probation was confirmed.
    assert_eq!(start(&hash_b, state(&b, None, &[])), ("configured", 2));
    // The version was rolled back, with and without the probation still in the state.
    assert_eq!(start(&hash_b, state(&a, Some(&b), &[&b])), ("good", 1));
    assert_eq!(start(&hash_b, state(&a, None, &[&b])), ("good", 1));
    assert_eq!(start(&hash_a, state(&a, Some(&b), &[&b])), ("configured", 1));
    // A configuration file that was edited while no process ran is started with.
    assert_eq!(start(&version_c().persisted().hash(), state(&a, Some(&b), &[&b])), ("configured", 2));
    assert_eq!(number(choose_start(&version_c().persisted().hash(), None, None)), ("configured", 1));
    // A version that was on probation at a crash is rejected afterwards.
    let StartDecision::LastGood { good, rolled_back, why } =
        choose_start(&hash_b, None, Some(state(&a, Some(&b), &[])))
    else {
        panic!()
    };
    let mut resumed = Rollout::resume(good.clone(), good.hash(), good.number, rolled_back, why, 0);
    // Log lines of the killed process may be lost, so that the restart has to report the reason.
    let first = resumed.take_events().remove(0);
    assert_eq!((first.version, &*first.hash), (1, &*hash_a));
    assert_eq!(first.reason, "the configured version was on probation");
    let proposal = |version: &ModelVersion| {
        let content = version.persisted();
        Proposal { hash: content.hash(), content, base: None, options: StageOptions::default() }
    };
    assert_eq!(resumed.stage(1, proposal(&b)), Err(RolloutError::PreviouslyRolledBack(2)));
    assert_eq!(resumed.stage(1, proposal(&version_c())), Ok(3));
}

#[test]
fn hash_covers_the_meaning_and_the_operator_file() {
    let (a, rebuilt) = (version_a().persisted(), ModelVersion::of(&version_a().persisted()).persisted());
    assert_eq!(a.hash(), rebuilt.hash());
    assert_eq!(*version_hash(&a.content, ""), a.content.digest().to_string());
    assert!(a.hash().starts_with(&*version_hash(&a.content, "")) && a.hash().len() == 32 + 1 + 16);
    assert_ne!(a.hash(), version_hash(&a.content, "another"));
}

#[test]
fn steps_are_compact_and_too_long_steps_lead_to_a_snapshot() {
    let tenants: Vec<(String, u32)> = (0..2_000).map(|i| (format!("tenant-{i:05}"), 5)).collect();
    let mut version =
        ModelVersion { number: 1, tenants: tenants.into_iter().collect(), file: "f".repeat(3_000) };
    let (text, mut written) = snapshot(&state(&version, None, &[]));
    let (mut appended, mut length, max_growth) =
        (0, text.len(), text.len().max(MIN_COMPACTION_BYTES as usize));
    loop {
        version.number += 1;
        *version.tenants.get_mut("tenant-00700").unwrap() += 1;
        let next = state(&version, None, &[]);
        let Some(update) = written.update_to(&next) else { break };
        assert!(length < 1 << 20, "{length} bytes");
        let change = Change::PutTenant("tenant-00700".into(), f64::from(version.tenants["tenant-00700"]));
        let entry = write_step(&asterrill_entries::Step { base: None, hash: None, changes: vec![change] });
        let overhead = update.bytes() as usize - entry.len();
        assert!(overhead <= 256, "{overhead} bytes of overhead for an entry of {}", entry.len());
        (appended, length) = (appended + 1, length + update.bytes() as usize);
        written = written.after_update(next, &update);
    }
    assert!(
        appended > 100 && (text.len() + max_growth - 400..=text.len() + max_growth).contains(&length),
        "{appended} {length}"
    );
}

/// Guards against the loss of a version that an operator applied and settled, at a restart with unchanged files.
#[test]
fn settled_version_stays_until_a_file_changes() {
    let file_version =
        |tenants: &[(&'static str, u32)], file: &'static str| ModelVersion::new(1, tenants, file).persisted();
    let read = file_version(&[("nile", 1)], "one");
    let settled = PersistedVersion { number: 4, ..file_version(&[("nile", 2)], "two") };
    let start = |configured: &PersistedVersion, read_before: Option<&PersistedVersion>| {
        let read_before = read_before.map(PersistedVersion::hash);
        let state = PersistedState { good: settled.clone(), probation: None, rolled_back: Vec::new() };
        match choose_start(&configured.hash(), read_before.as_deref(), Some(state)) {
            StartDecision::Configured { number, .. } => ("configured", number, KeptParts::default()),
            StartDecision::LastGood { good, .. } => ("good", good.number, KeptParts::default()),
            StartDecision::Merged { kept, number, .. } => ("merged", number, kept),
        }
    };
    let none_kept = KeptParts::default();
    assert_eq!(start(&read, Some(&read)), ("good", 4, none_kept));
    // It is not known whether the files have changed.
    assert_eq!(start(&read, None), ("configured", 5, none_kept));
    assert_eq!(start(&settled, Some(&read)), ("configured", 4, none_kept));
    let both_changed = file_version(&[("nile", 3)], "three");
    assert_eq!(start(&both_changed, Some(&read)), ("configured", 5, none_kept));
    let entries_changed = file_version(&[("nile", 3)], "one");
    let operator_file_kept = KeptParts { entries: false, operator_file: true };
    assert_eq!(start(&entries_changed, Some(&read)), ("merged", 5, operator_file_kept));
    let operator_file_changed = file_version(&[("nile", 1)], "three");
    let entries_kept = KeptParts { entries: true, operator_file: false };
    assert_eq!(start(&operator_file_changed, Some(&read)), ("merged", 5, entries_kept));
    // The file was changed to what was settled, or was removed.
    assert_eq!(start(&file_version(&[("nile", 1)], "two"), Some(&read)), ("good", 4, none_kept));
    assert_eq!(start(&file_version(&[("nile", 1)], ""), Some(&read)), ("merged", 5, entries_kept));
    // The configuration file was read again since.
    let read_again = hash_with_entries(&read.hash(), &file_version(&[("nile", 3)], "").hash());
    assert_eq!(read_again, entries_changed.hash());
}
