//! The file of versions: cut and damaged anywhere, steps without a base, and seeded lives of a backend against a plain
//! model.

use super::*;
use asterrill_entries::write_step;

/// What a version says, in the plainest form: rates of tenants, and the operator's file.
#[derive(Clone, Debug, PartialEq)]
struct Plain {
    number: u64,
    tenants: BTreeMap<String, u32>,
    file: String,
}

impl Plain {
    fn new(number: u64, tenants: &[(&str, u32)], file: &str) -> Plain {
        let tenants = tenants.iter().map(|(name, rate)| (name.to_string(), *rate)).collect();
        Plain { number, tenants, file: file.into() }
    }
    fn says(&self, other: &Plain) -> bool {
        self.tenants == other.tenants && self.file == other.file
    }
    /// Made anew, entry by entry: it shares nothing with another version.
    fn kept(&self) -> Kept {
        let put =
            self.tenants.iter().map(|(name, rate)| Entry::PutTenant(name.as_str().into(), f64::from(*rate)));
        let put: Vec<Entry> = put.chain([Entry::PutMethod("look".into(), method(1.0, 100))]).collect();
        let content = Configuration::new(GlobalSettings::default()).apply(&put).unwrap();
        Kept { number: self.number, content, file: self.file.as_str().into() }
    }
    fn of(kept: &Kept) -> Plain {
        let tenants = kept.content.tenants().map(|(name, rate)| (name.to_string(), rate as u32)).collect();
        Plain { number: kept.number, tenants, file: kept.file.to_string() }
    }
}

fn state(good: &Plain, on: Option<&Plain>, undone: &[&Plain]) -> State {
    State {
        good: good.kept(),
        probation: on.map(Plain::kept),
        undone: undone.iter().map(|plain| (plain.kept().hash(), plain.number)).collect(),
    }
}
fn whole(state: &State) -> (String, Standing) {
    let mut text = String::new();
    let standing = write_whole(state, &mut text).unwrap();
    (text, standing)
}
/// Appends what leads to another state, without a bound.
fn append(text: &mut String, standing: Standing, to: &State) -> Standing {
    let steps = standing.steps_to(to).unwrap();
    let at = text.len();
    steps.write(text).unwrap();
    assert_eq!(steps.bytes(), (text.len() - at) as u64);
    standing.with(to.clone(), &steps)
}
fn found(bytes: &[u8]) -> Recovered {
    recover(bytes).unwrap()
}

fn a() -> Plain {
    Plain::new(1, &[("nile", 5), ("oder", 7)], "[broker]\nqueue \u{e9} 1\n")
}
fn b() -> Plain {
    Plain::new(2, &[("nile", 6), ("oder", 7), ("po", 1)], "[broker]\nqueue \u{e9} 1\n")
}
fn c() -> Plain {
    Plain::new(3, &[("nile", 6)], "another file\n")
}

/// A file with all kinds of steps: its text, where each record ends, and the state up to there.
fn long() -> (String, Vec<(usize, State)>) {
    let undone = Plain::new(9, &[("spree", 1)], "");
    let first = state(&a(), None, &[&undone]);
    let (mut text, mut standing) = whole(&first);
    let mut ends = vec![(text.len(), first)];
    for next in [
        state(&a(), Some(&b()), &[&undone]),
        state(&b(), None, &[&undone]),
        state(&b(), Some(&c()), &[&undone]),
        state(&b(), None, &[&undone, &c()]),
        state(&Plain { number: 4, ..a() }, None, &[&undone, &c()]),
    ] {
        standing = append(&mut text, standing, &next);
        ends.push((text.len(), next));
    }
    (text, ends)
}

#[test]
fn a_file_cut_at_any_byte_gives_the_last_whole_record_and_says_what_is_left_out() {
    let (text, ends) = long();
    for at in 0..=text.len() {
        let last = ends.iter().rev().find(|(end, _)| *end <= at);
        let Some((end, state)) = last else {
            // A whole version is renamed into its place, so this is no crash.
            assert!(matches!(recover(&text.as_bytes()[..at]), Err(RecordFault::Damaged(_))), "cut at {at}");
            continue;
        };
        let found = found(&text.as_bytes()[..at]);
        assert_eq!(found.state, *state, "cut at {at}");
        assert_eq!((found.whole, found.torn), (*end as u64, (at - end) as u64));
        assert_eq!(found.damaged, None, "cut at {at}");
    }
}

#[test]
fn a_file_damaged_at_any_byte_never_gives_what_was_not_written_and_names_the_record() {
    let (text, ends) = long();
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] ^= 1;
        let record = ends.iter().position(|(end, _)| at < *end).unwrap();
        if record == 0 {
            assert!(recover(&bytes[..]).is_err(), "damaged at {at}");
            continue;
        }
        let (found, (begin, before)) = (found(&bytes), &ends[record - 1]);
        assert_eq!((found.whole, &found.state.good), (*begin as u64, &before.good), "damaged at {at}");
        let named = found.damaged.as_ref().map(|damage| (damage.record, damage.at));
        if record + 1 == ends.len() {
            assert_eq!((named, found.torn > 0), (None, true), "damaged at {at}");
            assert_eq!(found.state, *before);
        } else {
            assert_eq!(named, Some((record as u64, *begin as u64)), "damaged at {at}");
            // What was undone later is still known: the steps after it tell its hash.
            assert!(record > 3 || found.state.undone.contains(&(c().kept().hash(), 3)), "damaged at {at}");
        }
    }
}

#[test]
fn what_is_of_others_or_of_another_format_is_refused_by_name() {
    let fault = |text: &str| recover(text.as_bytes()).unwrap_err();
    assert_eq!(fault("hello\nworld"), RecordFault::Foreign);
    assert_eq!(fault(&"x".repeat(2 << 20)), RecordFault::Foreign);
    assert_eq!(fault("asterrill versions 2\nwhole"), RecordFault::Other("asterrill versions 2".into()));
    assert!(matches!(fault(""), RecordFault::Damaged(_)));
    // Seals that are right around entries that are not: still named, and nothing of it is taken.
    let (text, _) = whole(&state(&a(), None, &[]));
    let body = text.replace("oder", "od r\\u0001").replace("end ", "\0");
    let (body, _) = body.split_once('\0').unwrap();
    let sum = xxhash_rust::xxh3::xxh3_64(body.as_bytes());
    let sealed = format!("{body}end 4 {sum:016x}\n");
    assert!(matches!(fault(&sealed), RecordFault::Damaged(why) if why.contains("Name")), "{sealed}");
}

#[test]
fn a_step_whose_base_is_missing_is_named_and_not_taken() {
    // From 2 to 3, after a whole version that holds 1: its seals are right.
    let (_, standing) = whole(&state(&b(), None, &[]));
    let mut step = String::new();
    standing.steps_to(&state(&b(), Some(&c()), &[])).unwrap().write(&mut step).unwrap();
    let (text, _) = whole(&state(&a(), None, &[]));
    let found = found(format!("{text}{step}").as_bytes());
    assert_eq!(found.state.good, a().kept());
    let damage = found.damaged.unwrap().to_string();
    assert_eq!(damage, format!("record 1 at byte {}: its base, version 2, is missing", text.len()));
    // Nobody knows whether it was good, so it is not started with.
    assert!(
        matches!(start_with(&c().kept().hash(), Some(found.state)), Start::Good { good, .. } if good.number == 1)
    );

    // A base of the same number that says something else shows by the hash.
    let other = Plain::new(2, &[("nile", 9), ("oder", 7), ("po", 1)], "");
    let (text, _) = whole(&state(&other, None, &[]));
    let damage = super::lasting::found(format!("{text}{step}").as_bytes()).damaged.unwrap().why;
    assert!(damage.starts_with("it leads to"), "{damage}");
}

#[test]
fn whatever_a_crash_leaves_a_version_on_probation_is_never_what_starts() {
    let number = |start: Start| match start {
        Start::Told { number, .. } => ("told", number),
        Start::Good { good, .. } => (if Plain::of(&good).says(&a()) { "good" } else { "other" }, good.number),
    };
    let (a, b) = (a(), b());
    let (hash_a, hash_b) = (a.kept().hash(), b.kept().hash());
    // A change from a (1) to b (2): the step is cut anywhere, or whole. Beside it, the file that the process is told
    // says b.
    let (mut text, standing) = whole(&state(&a, None, &[]));
    let at = text.len();
    append(&mut text, standing, &state(&a, Some(&b), &[]));
    for cut in at..=text.len() {
        let start = start_with(&hash_b, Some(found(&text.as_bytes()[..cut]).state));
        // Cut short it did not stand there, so nothing had been applied: b is a new file then.
        assert_eq!(number(start), if cut == text.len() { ("good", 1) } else { ("told", 2) }, "cut at {cut}");
    }
    let start = |told: &str, state| number(start_with(told, Some(state)));
    // Settled.
    assert_eq!(start(&hash_b, state(&b, None, &[])), ("told", 2));
    // Undone: with the record of that, and the probation not ended yet.
    assert_eq!(start(&hash_b, state(&a, Some(&b), &[&b])), ("good", 1));
    assert_eq!(start(&hash_b, state(&a, None, &[&b])), ("good", 1));
    assert_eq!(start(&hash_a, state(&a, Some(&b), &[&b])), ("told", 1));
    // A file edited while nothing ran is what starts.
    assert_eq!(start(&c().kept().hash(), state(&a, Some(&b), &[&b])), ("told", 2));
    assert_eq!(number(start_with(&c().kept().hash(), None)), ("told", 1));
    // What was on probation at a crash is not taken again afterwards.
    let Start::Good { good, undone, .. } = start_with(&hash_b, Some(state(&a, Some(&b), &[]))) else {
        panic!()
    };
    let mut again = Rollout::after(good.clone(), good.hash(), good.number, undone, 0);
    let wants = |plain: &Plain| {
        let content = plain.kept();
        Change { hash: content.hash(), content, base: None, wish: Wish::default() }
    };
    assert_eq!(again.stage(1, wants(&b)), Err(Refusal::Undone(2)));
    assert_eq!(again.stage(1, wants(&c())), Ok(3));
}

#[test]
fn a_hash_is_of_the_meaning_and_of_the_operators_file() {
    let (a, again) = (a().kept(), Plain::of(&a().kept()).kept());
    assert_eq!(a.hash(), again.hash());
    assert_eq!(*hash(&a.content, ""), a.content.digest().to_string());
    assert!(a.hash().starts_with(&*hash(&a.content, "")) && a.hash().len() == 32 + 1 + 16);
    assert_ne!(a.hash(), hash(&a.content, "another"));
}

#[test]
fn a_step_costs_under_a_kib_above_its_entries_and_steps_that_outgrow_make_a_whole_version() {
    let tenants: Vec<(String, u32)> = (0..2_000).map(|i| (format!("tenant-{i:05}"), 5)).collect();
    let mut plain = Plain { number: 1, tenants: tenants.into_iter().collect(), file: "f".repeat(3_000) };
    let (text, mut standing) = whole(&state(&plain, None, &[]));
    let (mut appended, mut length, most) = (0, text.len(), text.len().max(STEPS as usize));
    loop {
        plain.number += 1;
        *plain.tenants.get_mut("tenant-00700").unwrap() += 1;
        let next = state(&plain, None, &[]);
        let Some(steps) = standing.steps_to(&next) else { break };
        assert!(length < 1 << 20, "{length} bytes");
        let change = Entry::PutTenant("tenant-00700".into(), f64::from(plain.tenants["tenant-00700"]));
        let entry = write_step(&asterrill_entries::Step { base: None, hash: None, changes: vec![change] });
        let above = steps.bytes() as usize - entry.len();
        assert!(above <= 256, "{above} bytes above an entry of {}", entry.len());
        (appended, length) = (appended + 1, length + steps.bytes() as usize);
        standing = standing.with(next, &steps);
    }
    assert!(
        appended > 100 && (text.len() + most - 400..=text.len() + most).contains(&length),
        "{appended} {length}"
    );
}

/// A backend's life on a disk that is two files: the one in its place, and the one beside it.
struct Life {
    chance: StdRng,
    disk: Option<Vec<u8>>,
    beside: Vec<u8>,
    standing: Option<Standing>,
    rollout: Rollout<Kept>,
    /// The plain model: the last good version, what is on probation, and what was undone.
    good: Plain,
    on: Option<Plain>,
    undone: Vec<Plain>,
    counts: Counts,
}

#[derive(Default, Debug)]
struct Counts {
    steps: u32,
    wholes: u32,
    crashes: u32,
    torn: u32,
    went_back: u32,
    refused: u32,
}

/// What a start has to give, by the plain model: the version, and whether that is what it was told.
fn model(told: &Plain, good: &Plain, on: Option<&Plain>, undone: &[Plain]) -> (Plain, bool) {
    if told.says(good) {
        (good.clone(), true)
    } else if undone.iter().chain(on).any(|version| told.says(version)) {
        (good.clone(), false)
    } else {
        (Plain { number: good.number + 1, ..told.clone() }, true)
    }
}

impl Life {
    fn new(seed: u64) -> Life {
        let mut chance = StdRng::seed_from_u64(seed);
        let length = if seed.is_multiple_of(4) { chance.random_range(20_000..40_000) } else { 0 };
        let good = Plain::new(1, &[("nile", 5)], &"#".repeat(length));
        Life {
            chance,
            disk: None,
            beside: Vec::new(),
            standing: None,
            rollout: Rollout::new(good.kept(), good.kept().hash(), 0),
            good,
            on: None,
            undone: Vec::new(),
            counts: Counts::default(),
        }
    }
    fn now(&self) -> State {
        let kept = |version: &Version<Kept>| Kept { number: version.number, ..version.content.clone() };
        let (good, running) = (self.rollout.good(), self.rollout.running());
        State {
            good: kept(good),
            probation: (good.number != running.number).then(|| kept(running)),
            undone: self.rollout.undone().cloned().collect(),
        }
    }
    /// Another version, near to the one that runs; one that was undone, now and then.
    fn another(&mut self) -> Plain {
        if !self.undone.is_empty() && self.chance.random_ratio(1, 4) {
            let at = self.chance.random_range(0..self.undone.len());
            return self.undone[at].clone();
        }
        let mut next = self.on.clone().unwrap_or_else(|| self.good.clone());
        for _ in 0..self.chance.random_range(1..4) {
            let name = ["nile", "oder", "po", "spree", "elbe"][self.chance.random_range(0..5)].to_string();
            if self.chance.random_ratio(1, 4) {
                next.tenants.remove(&name);
            } else {
                next.tenants.insert(name, self.chance.random_range(0..50));
            }
        }
        if self.chance.random_ratio(1, 3) {
            let sign = ["#", "\u{e9}", "\n"][self.chance.random_range(0..3)];
            next.file.push_str(&sign.repeat(3));
        }
        next
    }
    /// One thing that operators or the watch do.
    fn act(&mut self) {
        match self.chance.random_range(0..4) {
            0 | 1 => {
                let (plain, force) = (self.another(), self.chance.random_ratio(1, 3));
                let content = plain.kept();
                let wish = Wish { force, queue: false };
                let change = Change { hash: content.hash(), content, base: None, wish };
                let known = self.undone.iter().any(|undone| undone.says(&plain)) && !force;
                let refuse = self.on.is_some() || plain.says(&self.good) || known;
                match self.rollout.stage(0, change) {
                    Ok(number) => {
                        assert!(!refuse, "{plain:?} was taken");
                        self.rollout.apply(0, None, S).unwrap();
                        self.on = Some(Plain { number, ..plain });
                    }
                    Err(refusal) => {
                        assert!(refuse, "{refusal}");
                        self.counts.refused += 1;
                    }
                }
            }
            2 => {
                if self.rollout.settle(0, "").is_ok() {
                    self.good = self.on.take().unwrap();
                }
            }
            _ => {
                if self.rollout.undo(0, "").is_ok() {
                    let undone = self.on.take().unwrap();
                    self.undone.retain(|known| !known.says(&undone));
                    self.undone.push(undone);
                }
            }
        }
    }
    /// Writes down what is, as the store does: of `most` bytes, the rest is lost with the process. Whether all was
    /// written.
    fn keep(&mut self, most: usize) -> bool {
        let state = self.now();
        let steps = self.standing.as_ref().and_then(|standing| standing.steps_to(&state));
        if let Some((standing, steps)) = self.standing.take().zip(steps) {
            let mut text = String::new();
            steps.write(&mut text).unwrap();
            let bytes = &text.as_bytes()[..text.len().min(most)];
            self.disk.as_mut().unwrap().extend_from_slice(bytes);
            self.standing = Some(standing.with(state, &steps));
            self.counts.steps += 1;
            return bytes.len() == text.len();
        }
        let (text, standing) = whole(&state);
        self.beside = text.as_bytes()[..text.len().min(most)].to_vec();
        self.counts.wholes += 1;
        // Whole beside its place, but not renamed: the file before still stands.
        let renamed = self.beside.len() == text.len() && most != text.len();
        if renamed {
            self.disk = Some(std::mem::take(&mut self.beside));
            self.standing = Some(standing);
        }
        renamed
    }
    /// The process ends, and the next one starts on what stands there, told `told`. What it has to start with is said by
    /// the model of what stood whole on disk.
    fn restart(&mut self, told: &Plain, stood: Option<&(Plain, Option<Plain>, Vec<Plain>)>) {
        self.counts.crashes += 1;
        let found = self.disk.as_ref().map(|disk| found(disk));
        if let (Some(found), Some((good, on, undone))) = (&found, stood) {
            assert_eq!(found.damaged, None);
            self.counts.torn += u32::from(found.torn > 0);
            // What was read back is what was written, version by version.
            assert_eq!(Plain::of(&found.state.good), *good);
            assert_eq!(found.state.good.hash(), good.kept().hash());
            assert_eq!(found.state.probation.as_ref().map(Plain::of), *on);
            let known: Vec<_> = undone.iter().map(|plain| (plain.kept().hash(), plain.number)).collect();
            assert_eq!(found.state.undone, known);
        }
        let content = told.kept();
        let start = start_with(&content.hash(), found.map(|found| found.state));
        let (wants, as_told) = match stood {
            Some((good, on, undone)) => model(told, good, on.as_ref(), undone),
            None => (Plain { number: 1, ..told.clone() }, true),
        };
        let (kept, undone, is_told) = match start {
            Start::Told { number, undone } => (Kept { number, ..content }, undone, true),
            Start::Good { good, undone, .. } => (good, undone, false),
        };
        assert_eq!((Plain::of(&kept), is_told), (wants.clone(), as_told));
        self.counts.went_back += u32::from(!is_told);
        let (on, mut known) =
            stood.map_or((None, Vec::new()), |(_, on, undone)| (on.clone(), undone.clone()));
        if let Some(on) =
            on.filter(|on| !is_told && on.says(told) && !known.iter().any(|undone| undone.says(on)))
        {
            known.push(on);
        }
        (self.good, self.on, self.undone) = (wants, None, known);
        let known: Vec<_> = self.undone.iter().map(|plain| (plain.kept().hash(), plain.number)).collect();
        assert_eq!(undone, known);
        self.rollout = Rollout::after(kept.clone(), kept.hash(), kept.number, undone, 0);
        self.standing = None;
    }
    fn stands(&self) -> (Plain, Option<Plain>, Vec<Plain>) {
        (self.good.clone(), self.on.clone(), self.undone.clone())
    }
    fn live(mut self) -> Counts {
        let mut stood = None;
        let mut whole = self.keep(usize::MAX);
        assert!(whole);
        stood.replace(self.stands());
        for _ in 0..40 {
            self.act();
            // The store may be behind: several things are then written together.
            if self.chance.random_ratio(1, 5) {
                continue;
            }
            let crash = self.chance.random_ratio(1, 4);
            let before = self.disk.clone();
            let told = match self.chance.random_range(0..4) {
                0 => self.good.clone(),
                1 => self.another(),
                _ => self.on.clone().unwrap_or_else(|| self.good.clone()),
            };
            let as_before = self.now();
            if !crash {
                whole = self.keep(usize::MAX);
                assert!(whole);
                stood.replace(self.stands());
                continue;
            }
            // How long the write is, then a crash at any byte of it, its end included.
            let standing = self.standing.clone();
            let steps = standing.as_ref().and_then(|standing| standing.steps_to(&as_before));
            let length = steps
                .as_ref()
                .map_or_else(|| self::whole(&as_before).0.len(), |steps| steps.bytes() as usize);
            let most = self.chance.random_range(0..=length);
            whole = self.keep(most);
            let records = steps.map_or(0, |steps| steps.count());
            if whole {
                stood.replace(self.stands());
            } else if records > 1 {
                // Several records in one write: it is told by a file that ends at the last whole one.
                let found = found(self.disk.as_ref().unwrap());
                let (good, on, undone) = self.stands();
                let (old_good, old_on, old_undone) = stood.clone().unwrap();
                let old = model(&told, &old_good, old_on.as_ref(), &old_undone);
                let new = model(&told, &good, on.as_ref(), &undone);
                let start = start_with(&told.kept().hash(), Some(found.state));
                // Where both ends of it go back, so does what is between.
                let back = matches!(start, Start::Good { .. });
                assert!(back || old.1 || new.1, "{told:?} was started with");
                // The rest of the life begins at what stood before.
                self.disk = before;
            }
            self.restart(&told, stood.as_ref());
            whole = self.keep(usize::MAX);
            assert!(whole);
            stood.replace(self.stands());
        }
        self.counts
    }
}

#[test]
fn seeded_lives_with_a_crash_at_any_byte_start_with_what_the_plain_model_says() {
    let mut all = Counts::default();
    for seed in 0..2_000 {
        let counts = Life::new(seed).live();
        all.steps += counts.steps;
        all.wholes += counts.wholes;
        all.crashes += counts.crashes;
        all.torn += counts.torn;
        all.went_back += counts.went_back;
        all.refused += counts.refused;
    }
    println!("2000 seeded lives: {all:?}");
    // Each of these came often enough to prove something.
    assert!(all.steps > 10_000 && all.crashes > 10_000 && all.torn > 3_000, "{all:?}");
    assert!(
        all.went_back > 1_000 && all.refused > 1_000 && all.wholes > all.crashes + 2_000 + 100,
        "{all:?}"
    );
}
