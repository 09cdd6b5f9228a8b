//! Tests that compare seeded runs of a backend, with crashes at any byte of a write, with a reference model.

use crate::reference_model::*;
use crate::versions::SECOND;
use asterrill_rollout::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Simulated backend whose disk holds two files: the version file and the temporary file of a snapshot.
struct SimulatedBackend {
    rng: StdRng,
    disk: Option<Vec<u8>>,
    temporary: Vec<u8>,
    written: Option<WrittenFile>,
    rollout: Rollout<PersistedVersion>,
    /// Reference model: the last good version, the version on probation, and the rolled back versions.
    good: ModelVersion,
    probation: Option<ModelVersion>,
    rolled_back: Vec<ModelVersion>,
    counts: Counts,
}

#[derive(Default, Debug)]
struct Counts {
    steps: u32,
    snapshots: u32,
    crashes: u32,
    torn: u32,
    fell_back: u32,
    rejected: u32,
}

/// Returns the version that a process must start with, and whether it is the configured one.
fn expected_start(
    configured: &ModelVersion, good: &ModelVersion, probation: Option<&ModelVersion>,
    rolled_back: &[ModelVersion],
) -> (ModelVersion, bool) {
    if configured.has_content_of(good) {
        (good.clone(), true)
    } else if rolled_back.iter().chain(probation).any(|version| configured.has_content_of(version)) {
        (good.clone(), false)
    } else {
        (ModelVersion { number: good.number + 1, ..configured.clone() }, true)
    }
}

impl SimulatedBackend {
    fn new(seed: u64) -> SimulatedBackend {
        let mut rng = StdRng::seed_from_u64(seed);
        let length = if seed.is_multiple_of(4) { rng.random_range(20_000..40_000) } else { 0 };
        let good = ModelVersion::new(1, &[("nile", 5)], &"#".repeat(length));
        SimulatedBackend {
            rng,
            disk: None,
            temporary: Vec::new(),
            written: None,
            rollout: Rollout::new(good.persisted(), good.persisted().hash(), 0),
            good,
            probation: None,
            rolled_back: Vec::new(),
            counts: Counts::default(),
        }
    }
    fn state(&self) -> PersistedState {
        let persisted = |version: &Version<PersistedVersion>| PersistedVersion {
            number: version.number,
            ..version.content.clone()
        };
        let (good, running) = (self.rollout.last_good(), self.rollout.running());
        PersistedState {
            good: persisted(good),
            probation: (good.number != running.number).then(|| persisted(running)),
            rolled_back: self.rollout.rolled_back().cloned().collect(),
        }
    }
    /// Returns a random variation of the running version, or sometimes a version that was rolled back.
    fn random_version(&mut self) -> ModelVersion {
        if !self.rolled_back.is_empty() && self.rng.random_ratio(1, 4) {
            let at = self.rng.random_range(0..self.rolled_back.len());
            return self.rolled_back[at].clone();
        }
        let mut next = self.probation.clone().unwrap_or_else(|| self.good.clone());
        for _ in 0..self.rng.random_range(1..4) {
            let name = ["nile", "oder", "po", "spree", "elbe"][self.rng.random_range(0..5)].to_string();
            if self.rng.random_ratio(1, 4) {
                next.tenants.remove(&name);
            } else {
                next.tenants.insert(name, self.rng.random_range(0..50));
            }
        }
        if self.rng.random_ratio(1, 3) {
            let sign = ["#", "\u{e9}", "\n"][self.rng.random_range(0..3)];
            next.file.push_str(&sign.repeat(3));
        }
        next
    }
    /// Performs one random operation of an operator or of the probation monitor.
    fn perform_random_operation(&mut self) {
        match self.rng.random_range(0..4) {
            0 | 1 => {
                let (version, force) = (self.random_version(), self.rng.random_ratio(1, 3));
                let content = version.persisted();
                let options = StageOptions { force, queue: false };
                let proposal = Proposal { hash: content.hash(), content, base: None, options };
                let remembered =
                    self.rolled_back.iter().any(|rolled_back| rolled_back.has_content_of(&version)) && !force;
                let must_reject =
                    self.probation.is_some() || version.has_content_of(&self.good) || remembered;
                match self.rollout.stage(0, proposal) {
                    Ok(number) => {
                        assert!(!must_reject, "{version:?} was accepted");
                        self.rollout.apply(0, None, SECOND).unwrap();
                        self.probation = Some(ModelVersion { number, ..version });
                    }
                    Err(error) => {
                        assert!(must_reject, "{error}");
                        self.counts.rejected += 1;
                    }
                }
            }
            2 => {
                if self.rollout.confirm(0, "").is_ok() {
                    self.good = self.probation.take().unwrap();
                }
            }
            _ => {
                if self.rollout.roll_back(0, "").is_ok() {
                    let rolled_back = self.probation.take().unwrap();
                    self.rolled_back.retain(|remembered| !remembered.has_content_of(&rolled_back));
                    self.rolled_back.push(rolled_back);
                }
            }
        }
    }
    /// Persists the state as the store does. The process crashes after `limit` bytes. Returns whether the write was
    /// completed.
    fn write(&mut self, limit: usize) -> bool {
        let state = self.state();
        let update = self.written.as_ref().and_then(|written| written.update_to(&state));
        if let Some((written, update)) = self.written.take().zip(update) {
            let mut text = String::new();
            update.write(&mut text).unwrap();
            let bytes = &text.as_bytes()[..text.len().min(limit)];
            self.disk.as_mut().unwrap().extend_from_slice(bytes);
            self.written = Some(written.after_update(state, &update));
            self.counts.steps += 1;
            return bytes.len() == text.len();
        }
        let (text, written) = snapshot(&state);
        self.temporary = text.as_bytes()[..text.len().min(limit)].to_vec();
        self.counts.snapshots += 1;
        // A crash between the write and the rename leaves the old file in place.
        let renamed = self.temporary.len() == text.len() && limit != text.len();
        if renamed {
            self.disk = Some(std::mem::take(&mut self.temporary));
            self.written = Some(written);
        }
        renamed
    }
    /// Ends the process, and starts the next one from the disk with the configuration file `configured`. Compares its
    /// start with the reference model of the complete records on disk.
    fn restart(
        &mut self, configured: &ModelVersion,
        on_disk: Option<&(ModelVersion, Option<ModelVersion>, Vec<ModelVersion>)>,
    ) {
        self.counts.crashes += 1;
        let found = self.disk.as_ref().map(|disk| recovered(disk));
        if let (Some(found), Some((good, probation, rolled_back))) = (&found, on_disk) {
            assert_eq!(found.damaged, None);
            self.counts.torn += u32::from(found.torn_bytes > 0);
            // The recovered versions equal the written ones.
            assert_eq!(ModelVersion::of(&found.state.good), *good);
            assert_eq!(found.state.good.hash(), good.persisted().hash());
            assert_eq!(found.state.probation.as_ref().map(ModelVersion::of), *probation);
            let remembered: Vec<_> = rolled_back.iter().map(|version| version.rolled_back()).collect();
            assert_eq!(found.state.rolled_back, remembered);
        }
        let content = configured.persisted();
        let start = choose_start(&content.hash(), None, found.map(|found| found.state));
        let (expected, as_configured) = match on_disk {
            Some((good, probation, rolled_back)) => {
                expected_start(configured, good, probation.as_ref(), rolled_back)
            }
            None => (ModelVersion { number: 1, ..configured.clone() }, true),
        };
        let (started, rolled_back, is_configured) = match start {
            StartDecision::Configured { number, rolled_back } => {
                (PersistedVersion { number, ..content }, rolled_back, true)
            }
            StartDecision::LastGood { good, rolled_back, .. } => (good, rolled_back, false),
            StartDecision::Merged { .. } => panic!("merged without files that were read before"),
        };
        assert_eq!((ModelVersion::of(&started), is_configured), (expected.clone(), as_configured));
        self.counts.fell_back += u32::from(!is_configured);
        let (probation, mut remembered) = on_disk
            .map_or((None, Vec::new()), |(_, probation, rolled_back)| {
                (probation.clone(), rolled_back.clone())
            });
        if let Some(probation) = probation.filter(|probation| {
            !is_configured
                && probation.has_content_of(configured)
                && !remembered.iter().any(|rolled_back| rolled_back.has_content_of(probation))
        }) {
            remembered.push(probation);
        }
        (self.good, self.probation, self.rolled_back) = (expected, None, remembered);
        let remembered: Vec<_> = self.rolled_back.iter().map(|version| version.rolled_back()).collect();
        assert_eq!(rolled_back, remembered);
        self.rollout =
            Rollout::resume(started.clone(), started.hash(), started.number, rolled_back, PROCESS_START, 0);
        self.written = None;
    }
    fn expected_state(&self) -> (ModelVersion, Option<ModelVersion>, Vec<ModelVersion>) {
        (self.good.clone(), self.probation.clone(), self.rolled_back.clone())
    }
    fn run(mut self) -> Counts {
        let mut on_disk = None;
        let mut complete = self.write(usize::MAX);
        assert!(complete);
        on_disk.replace(self.expected_state());
        for _ in 0..40 {
            self.perform_random_operation();
            // The store may lag behind, so that several operations are written together.
            if self.rng.random_ratio(1, 5) {
                continue;
            }
            let crash = self.rng.random_ratio(1, 4);
            let before = self.disk.clone();
            let configured = match self.rng.random_range(0..4) {
                0 => self.good.clone(),
                1 => self.random_version(),
                _ => self.probation.clone().unwrap_or_else(|| self.good.clone()),
            };
            let state = self.state();
            if !crash {
                complete = self.write(usize::MAX);
                assert!(complete);
                on_disk.replace(self.expected_state());
                continue;
            }
            // The crash happens at any byte of the write, including its end.
            let written = self.written.clone();
            let update = written.as_ref().and_then(|written| written.update_to(&state));
            let length =
                update.as_ref().map_or_else(|| snapshot(&state).0.len(), |update| update.bytes() as usize);
            let limit = self.rng.random_range(0..=length);
            complete = self.write(limit);
            let records = update.map_or(0, |update| update.count());
            if complete {
                on_disk.replace(self.expected_state());
            } else if records > 1 {
                // With several records in one write, the file is recovered up to the last complete one.
                let found = recovered(self.disk.as_ref().unwrap());
                let (good, probation, rolled_back) = self.expected_state();
                let (old_good, old_probation, old_rolled_back) = on_disk.clone().unwrap();
                let old = expected_start(&configured, &old_good, old_probation.as_ref(), &old_rolled_back);
                let new = expected_start(&configured, &good, probation.as_ref(), &rolled_back);
                let start = choose_start(&configured.persisted().hash(), None, Some(found.state));
                // If the states before and after the write both fall back to the last good version, so do the states
                // between them.
                let fell_back = matches!(start, StartDecision::LastGood { .. });
                assert!(fell_back || old.1 || new.1, "{configured:?} was started with");
                // The run continues from the disk before the write.
                self.disk = before;
            }
            self.restart(&configured, on_disk.as_ref());
            complete = self.write(usize::MAX);
            assert!(complete);
            on_disk.replace(self.expected_state());
        }
        self.counts
    }
}

#[test]
fn seeded_runs_with_crashes_start_with_the_version_of_the_reference_model() {
    let mut all = Counts::default();
    for seed in 0..2_000 {
        let counts = SimulatedBackend::new(seed).run();
        all.steps += counts.steps;
        all.snapshots += counts.snapshots;
        all.crashes += counts.crashes;
        all.torn += counts.torn;
        all.fell_back += counts.fell_back;
        all.rejected += counts.rejected;
    }
    println!("2000 seeded runs: {all:?}");
    // Each case occurred often enough for the test to be meaningful.
    assert!(all.steps > 10_000 && all.crashes > 10_000 && all.torn > 3_000, "{all:?}");
    assert!(
        all.fell_back > 1_000 && all.rejected > 1_000 && all.snapshots > all.crashes + 2_000 + 100,
        "{all:?}"
    );
}
