//! Seeded lives of a backend with crashes at any byte of a write, against a plain model.

use crate::reference_model::*;
use crate::versions::SECOND;
use asterrill_rollout::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A backend's life on a disk that is two files: the one in its place, and the one temporary it.
struct SimulatedBackend {
    rng: StdRng,
    disk: Option<Vec<u8>>,
    temporary: Vec<u8>,
    written: Option<WrittenFile>,
    rollout: Rollout<PersistedVersion>,
    /// The plain model: the last good version, what is on probation, and what was rolled back.
    good: ModelVersion,
    probation: Option<ModelVersion>,
    rolled_back: Vec<ModelVersion>,
    tally: Tally,
}

#[derive(Default, Debug)]
struct Tally {
    steps: u32,
    snapshots: u32,
    crashes: u32,
    torn: u32,
    fell_back: u32,
    rejected: u32,
}

/// What a start has to give, by the plain model: the version, and whether that is the configured one.
fn model(
    configured: &ModelVersion, good: &ModelVersion, probation: Option<&ModelVersion>,
    rolled_back: &[ModelVersion],
) -> (ModelVersion, bool) {
    if configured.says(good) {
        (good.clone(), true)
    } else if rolled_back.iter().chain(probation).any(|version| configured.says(version)) {
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
            tally: Tally::default(),
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
    /// Another version, near to the one that runs; one that was rolled back, now and then.
    fn another(&mut self) -> ModelVersion {
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
    /// One thing that operators or the probation monitor do.
    fn act(&mut self) {
        match self.rng.random_range(0..4) {
            0 | 1 => {
                let (version, force) = (self.another(), self.rng.random_ratio(1, 3));
                let content = version.persisted();
                let options = StageOptions { force, queue: false };
                let change = Proposal { hash: content.hash(), content, base: None, options };
                let remembered =
                    self.rolled_back.iter().any(|rolled_back| rolled_back.says(&version)) && !force;
                let reject = self.probation.is_some() || version.says(&self.good) || remembered;
                match self.rollout.stage(0, change) {
                    Ok(number) => {
                        assert!(!reject, "{version:?} was taken");
                        self.rollout.apply(0, None, SECOND).unwrap();
                        self.probation = Some(ModelVersion { number, ..version });
                    }
                    Err(error) => {
                        assert!(reject, "{error}");
                        self.tally.rejected += 1;
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
                    self.rolled_back.retain(|remembered| !remembered.says(&rolled_back));
                    self.rolled_back.push(rolled_back);
                }
            }
        }
    }
    /// Writes down what is, as the store does: of `limit` bytes, the rest is lost with the process. Whether all was
    /// written.
    fn write(&mut self, limit: usize) -> bool {
        let state = self.state();
        let update = self.written.as_ref().and_then(|written| written.update_to(&state));
        if let Some((written, update)) = self.written.take().zip(update) {
            let mut text = String::new();
            update.write(&mut text).unwrap();
            let bytes = &text.as_bytes()[..text.len().min(limit)];
            self.disk.as_mut().unwrap().extend_from_slice(bytes);
            self.written = Some(written.after_update(state, &update));
            self.tally.steps += 1;
            return bytes.len() == text.len();
        }
        let (text, written) = snapshot(&state);
        self.temporary = text.as_bytes()[..text.len().min(limit)].to_vec();
        self.tally.snapshots += 1;
        // Complete beside its place, but not renamed: the old file is still there.
        let renamed = self.temporary.len() == text.len() && limit != text.len();
        if renamed {
            self.disk = Some(std::mem::take(&mut self.temporary));
            self.written = Some(written);
        }
        renamed
    }
    /// The process ends, and the next one starts on what is on disk, with the configuration `configured`. What it has to start with is
    /// said by the model of what is complete on disk.
    fn restart(
        &mut self, configured: &ModelVersion,
        on_disk: Option<&(ModelVersion, Option<ModelVersion>, Vec<ModelVersion>)>,
    ) {
        self.tally.crashes += 1;
        let found = self.disk.as_ref().map(|disk| recovered(disk));
        if let (Some(found), Some((good, probation, rolled_back))) = (&found, on_disk) {
            assert_eq!(found.damaged, None);
            self.tally.torn += u32::from(found.torn_bytes > 0);
            // What was read back is what was written, version by version.
            assert_eq!(ModelVersion::of(&found.state.good), *good);
            assert_eq!(found.state.good.hash(), good.persisted().hash());
            assert_eq!(found.state.probation.as_ref().map(ModelVersion::of), *probation);
            let remembered: Vec<_> = rolled_back.iter().map(|version| version.rolled_back()).collect();
            assert_eq!(found.state.rolled_back, remembered);
        }
        let content = configured.persisted();
        let start = choose_start(&content.hash(), found.map(|found| found.state));
        let (wants, as_configured) = match on_disk {
            Some((good, probation, rolled_back)) => model(configured, good, probation.as_ref(), rolled_back),
            None => (ModelVersion { number: 1, ..configured.clone() }, true),
        };
        let (started, rolled_back, is_configured) = match start {
            StartDecision::Configured { number, rolled_back } => {
                (PersistedVersion { number, ..content }, rolled_back, true)
            }
            StartDecision::LastGood { good, rolled_back, .. } => (good, rolled_back, false),
        };
        assert_eq!((ModelVersion::of(&started), is_configured), (wants.clone(), as_configured));
        self.tally.fell_back += u32::from(!is_configured);
        let (probation, mut remembered) = on_disk
            .map_or((None, Vec::new()), |(_, probation, rolled_back)| {
                (probation.clone(), rolled_back.clone())
            });
        if let Some(probation) = probation.filter(|probation| {
            !is_configured
                && probation.says(configured)
                && !remembered.iter().any(|rolled_back| rolled_back.says(probation))
        }) {
            remembered.push(probation);
        }
        (self.good, self.probation, self.rolled_back) = (wants, None, remembered);
        let remembered: Vec<_> = self.rolled_back.iter().map(|version| version.rolled_back()).collect();
        assert_eq!(rolled_back, remembered);
        self.rollout = Rollout::resume(started.clone(), started.hash(), started.number, rolled_back, 0);
        self.written = None;
    }
    fn expected_record(&self) -> (ModelVersion, Option<ModelVersion>, Vec<ModelVersion>) {
        (self.good.clone(), self.probation.clone(), self.rolled_back.clone())
    }
    fn live(mut self) -> Tally {
        let mut on_disk = None;
        let mut complete = self.write(usize::MAX);
        assert!(complete);
        on_disk.replace(self.expected_record());
        for _ in 0..40 {
            self.act();
            // The store may be behind: several things are then written together.
            if self.rng.random_ratio(1, 5) {
                continue;
            }
            let crash = self.rng.random_ratio(1, 4);
            let before = self.disk.clone();
            let configured = match self.rng.random_range(0..4) {
                0 => self.good.clone(),
                1 => self.another(),
                _ => self.probation.clone().unwrap_or_else(|| self.good.clone()),
            };
            let as_before = self.state();
            if !crash {
                complete = self.write(usize::MAX);
                assert!(complete);
                on_disk.replace(self.expected_record());
                continue;
            }
            // How long the write is, then a crash at any byte of it, its end included.
            let written = self.written.clone();
            let update = written.as_ref().and_then(|written| written.update_to(&as_before));
            let length = update
                .as_ref()
                .map_or_else(|| snapshot(&as_before).0.len(), |update| update.bytes() as usize);
            let limit = self.rng.random_range(0..=length);
            complete = self.write(limit);
            let records = update.map_or(0, |update| update.count());
            if complete {
                on_disk.replace(self.expected_record());
            } else if records > 1 {
                // Several records in one write: the file then ends at the last complete one.
                let found = recovered(self.disk.as_ref().unwrap());
                let (good, probation, rolled_back) = self.expected_record();
                let (old_good, old_probation, old_rolled_back) = on_disk.clone().unwrap();
                let old = model(&configured, &old_good, old_probation.as_ref(), &old_rolled_back);
                let new = model(&configured, &good, probation.as_ref(), &rolled_back);
                let start = choose_start(&configured.persisted().hash(), Some(found.state));
                // Where both ends of it go back, so does what is between.
                let back = matches!(start, StartDecision::LastGood { .. });
                assert!(back || old.1 || new.1, "{configured:?} was started with");
                // The rest of the life begins at what was on disk before.
                self.disk = before;
            }
            self.restart(&configured, on_disk.as_ref());
            complete = self.write(usize::MAX);
            assert!(complete);
            on_disk.replace(self.expected_record());
        }
        self.tally
    }
}

#[test]
fn seeded_lives_with_crashes_start_with_what_the_plain_model_expects() {
    let mut all = Tally::default();
    for seed in 0..2_000 {
        let tally = SimulatedBackend::new(seed).live();
        all.steps += tally.steps;
        all.snapshots += tally.snapshots;
        all.crashes += tally.crashes;
        all.torn += tally.torn;
        all.fell_back += tally.fell_back;
        all.rejected += tally.rejected;
    }
    println!("2000 seeded lives: {all:?}");
    // Each of these came often enough to prove something.
    assert!(all.steps > 10_000 && all.crashes > 10_000 && all.torn > 3_000, "{all:?}");
    assert!(
        all.fell_back > 1_000 && all.rejected > 1_000 && all.snapshots > all.crashes + 2_000 + 100,
        "{all:?}"
    );
}
