//! Changes of the configuration, carried out: versions come from signals and from the control socket, are read and
//! checked against what runs off the worker, put in slice by slice on it, come into force in one input of the core, are
//! watched, and written down.

use crate::core::{Core, VersionSwitch};
use crate::dispatcher::Dispatcher;
use crate::operator;
use crate::store::Store;
use asterrill::Us;
use asterrill_entries::{read_step, Change as Entry, Configuration as Entries, EntryKind};
use asterrill_net::now;
use asterrill_operator_config::OperatorConfig;
use asterrill_rollout::{
    check, difference, hash, Baseline, Event, ObservedLoad, PersistedState, PersistedVersion, Phase,
    ProbationMonitor, Problem, Proposal, RolledBack, Rollout, RolloutError, StageOptions, Verdict, Version,
    VersionHash,
};
use asterrill_settings::{Deployment, SettingsError};
use serde_json::{json, Value};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};

const SAMPLE: Us = 100_000; // between looks at what was served
/// Entries of a change that go in together: then all others get their turn. Measured: see `docs/design/rollout.md`.
const SLICE: usize = 200;

/// What one version says: the entries, and the operator's file. Cheap to copy.
#[derive(Clone, Debug)]
pub struct Content {
    pub entries: Entries,
    pub file: Arc<OperatorConfig>,
    text: Arc<str>,
}

impl Content {
    pub fn new(entries: Entries, file: OperatorConfig, text: &str) -> Content {
        Content { entries, file: Arc::new(file), text: text.into() }
    }
    /// Its hash: the same for the same meaning of the entries.
    pub fn hash(&self) -> VersionHash {
        hash(&self.entries, &self.text)
    }
    /// The version as it lasts.
    fn kept(&self, number: u64) -> PersistedVersion {
        PersistedVersion { number, content: self.entries.clone(), operator_file: self.text.clone() }
    }
    /// The version that was kept.
    pub fn recall(kept: &PersistedVersion) -> Result<Content, SettingsError> {
        let file = asterrill_operator_config::parse("operator's file", &kept.operator_file);
        let file = file.map_err(|mistake| SettingsError::new(mistake.to_string()))?;
        Ok(Content { entries: kept.content.clone(), file: Arc::new(file), text: kept.operator_file.clone() })
    }
    /// A hash of the entries alone.
    pub fn settings(&self) -> u64 {
        asterrill_recovery::seed(0, &self.entries.digest().to_string(), 0, 0)
    }
}

/// What runs, for threads that read a file beside it: what is the same is shared.
pub struct Running(Mutex<Content>);

impl Running {
    pub fn new(content: &Content) -> Running {
        Running(Mutex::new(content.clone()))
    }
    pub fn get(&self) -> Content {
        self.lock().clone()
    }
    fn set(&self, content: &Content) {
        let before = std::mem::replace(&mut *self.lock(), content.clone());
        drop(before);
    }
    fn lock(&self) -> MutexGuard<'_, Content> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// What is handed in.
#[derive(Clone, Debug)]
pub enum What {
    /// A file's text: settings in JSON, or an operator's file.
    Text(String),
    /// A step, one entry a line.
    Step(String),
    /// Settings that were read already.
    Entries(Entries),
}

/// A change, as it was asked for.
#[derive(Clone, Debug)]
pub struct Asked {
    pub what: What,
    /// The version that it was made from, where that is told.
    pub base: Option<u64>,
    pub options: StageOptions,
}

/// Bytes of a text up to which it may be held while it is read, to be read again.
const SHORT: usize = 512 * 1024;

impl Asked {
    /// It may be held while it is read.
    pub fn short(&self) -> bool {
        match &self.what {
            What::Text(text) | What::Step(text) => text.len() <= SHORT,
            What::Entries(_) => true,
        }
    }
}

/// What a change is read and checked against.
pub struct Glance {
    number: u64,
    running: Content,
    seen: ObservedLoad,
}

/// A change that was read and checked against a version. Cheap to copy.
#[derive(Clone, Debug)]
pub struct Prepared {
    /// That version.
    against: u64,
    content: Content,
    hash: VersionHash,
    /// What leads there from that version.
    step: Arc<Vec<Entry>>,
    base: Option<u64>,
    options: StageOptions,
    /// What it means, a line each, and what is risky about it.
    meaning: Vec<String>,
    problems: Vec<String>,
}

/// What an operator asks the worker for.
#[derive(Clone, Debug)]
pub enum Wanted {
    Stage(Box<Prepared>),
    Apply {
        if_base: Option<u64>,
        probation: Option<Us>,
    },
    Status,
    Settle,
    Undo,
    Drop,
    History,
    /// The others, as this backend knows them.
    Members,
    /// What the backends have agreed on; a list of it; a options about it.
    Fleet,
    List(asterrill_consensus::ListKind),
    Propose(asterrill_consensus::Proposal),
}

/// An answer: one JSON object, with `ok` and, where that is false, `error`.
pub type Told = Value;

/// The figures by which changes are judged, from the operator's file.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub probation: Us,
    /// By how much a figure may differ from the running one.
    pub factor: f64,
}

/// Reads a change and checks it against what runs. Costs what the change takes to read, and what differs; nothing of it
/// is done on the worker. The error is the answer.
pub fn prepare(glance: &Glance, asked: Asked, terms: Terms, seed: u64) -> Result<Prepared, Told> {
    let Asked { what, base, options } = asked;
    let running = &glance.running;
    let from = |base: Option<u64>| match base.filter(|given| *given != glance.number) {
        Some(given) => Err(refused(&RolloutError::OtherBase { given, running: glance.number }.to_string())),
        None => Ok(()),
    };
    from(base)?;
    let mut content = running.clone();
    // A step is kept as it was read, without what says what runs already: a list of its own for that would cost as much
    // memory as the step again.
    let mut steps = None;
    match what {
        What::Entries(entries) => content.entries = entries,
        What::Step(text) => {
            let step = read_step(&text, &running.entries).map_err(|fault| refused(&fault.to_string()))?;
            from(step.base)?;
            let digest = running.entries.digest();
            if let Some(given) = step.hash.filter(|given| *given != digest) {
                return Err(refused(&format!("it was made from hash {given}, but {digest} runs")));
            }
            drop(text);
            let applied = running.entries.apply(&step.changes);
            content.entries = applied.map_err(|fault| refused(&fault.to_string()))?;
            let mut changes = step.changes;
            changes.retain(|entry| differs(entry, &running.entries));
            changes.shrink_to_fit();
            steps = Some(changes);
        }
        What::Text(text) if text.trim_start().starts_with('{') => {
            let to = asterrill_settings::Deployment::from_reader(text.as_bytes(), Some(&running.entries));
            content.entries = to.map_err(|fault| refused(&fault.to_string()))?.configuration;
        }
        What::Text(text) => {
            let file = asterrill_operator_config::parse("operator's file", &text);
            content.file = Arc::new(file.map_err(|mistake| refused(&mistake.to_string()))?);
            content.text = text.into();
        }
    }
    let step = Arc::new(steps.unwrap_or_else(|| running.entries.changes_to(&content.entries)));
    // What is booked now is a part of what there is.
    let (old, new) = (running.entries.globals(), content.entries.globals());
    let free = free_kb();
    let seen =
        ObservedLoad { available_kb: free.map_or(0.0, |free| free + old.ram_kb), ..glance.seen.clone() };
    let more = new.memory_mb.saturating_sub(old.memory_mb) as f64 * 1024.0;
    if free.is_some_and(|free| more > free) {
        return Err(refused(&format!("it wants {more:.0} kB more for itself than there are free")));
    }
    let problems = check(&running.entries, &content.entries, &step, &seen, terms.factor);
    let stops = |p: &Problem| matches!(p, Problem::Invalid(_)) || !options.force;
    let shown: Vec<String> = problems.iter().map(Problem::to_string).collect();
    if problems.iter().any(stops) {
        return Err(json!({"ok": false, "error": "it does not pass the checks", "problems": shown}));
    }
    could_carry_out(running, &content, &step, seed).map_err(|fault| refused(&fault.to_string()))?;
    let (meaning, hash) = (difference(&running.entries, &step), content.hash());
    Ok(Prepared { against: glance.number, content, hash, step, base, options, meaning, problems: shown })
}

impl Prepared {
    /// What it would mean, as an answer.
    pub fn told(&self) -> Told {
        json!({"ok": true, "base": self.against, "hash": &*self.hash, "entries": self.step.len(),
            "changes": self.meaning, "problems": self.problems})
    }
}

/// Whether all that a version says could come into force.
fn could_carry_out(
    running: &Content, content: &Content, step: &[Entry], seed: u64,
) -> Result<(), SettingsError> {
    bare(content, step, seed)?;
    operator::terms(content.file.broker.as_ref(), &content.entries)?;
    let bare = |file: &OperatorConfig| {
        file.broker.clone().map(asterrill_operator_config::BrokerConfig::without_queues)
    };
    if bare(&content.file) != bare(&running.file)
        || content.file.changes != running.file.changes
        || content.file.recovery != running.file.recovery
        || content.file.members != running.file.members
        || content.file.fleet != running.file.fleet
    {
        return Err(SettingsError::new(
            "[broker], [changes], [recovery], [members], [fleet] and [log] are taken up at the next start only"
                .into(),
        ));
    }
    Ok(())
}

/// The parts of the module that are no entries, if a change touches them: methods do, by the shortest and longest of
/// their times.
fn bare(
    content: &Content, step: &[Entry], seed: u64,
) -> Result<Option<asterrill_settings::GlobalParts>, SettingsError> {
    let tenant = |entry: &Entry| matches!(entry, Entry::PutTenant(..) | Entry::RemoveTenant(_));
    if step.iter().all(tenant) {
        return Ok(None);
    }
    asterrill_settings::global_parts(now(), seed, &content.entries).map(Some)
}

/// Whether an entry says something else than what runs.
fn differs(entry: &Entry, running: &Entries) -> bool {
    match entry {
        Entry::SetGlobals(frame) => frame != running.globals(),
        Entry::PutMethod(name, method) => running.method(name) != Some(method),
        Entry::PutTenant(name, rate) => running.tenant(name) != Some(*rate),
        Entry::RemoveMethod(_) | Entry::RemoveTenant(_) => true,
    }
}

/// What undoes an entry: what `before` says of its key.
fn back(entry: &Entry, before: &Entries) -> Entry {
    match entry {
        Entry::SetGlobals(_) => Entry::SetGlobals(before.globals().clone()),
        Entry::PutMethod(name, _) | Entry::RemoveMethod(name) => match before.method(name) {
            Some(method) => Entry::PutMethod(name.clone(), method.clone()),
            None => Entry::RemoveMethod(name.clone()),
        },
        Entry::PutTenant(name, _) | Entry::RemoveTenant(name) => match before.tenant(name) {
            Some(rate) => Entry::PutTenant(name.clone(), rate),
            None => Entry::RemoveTenant(name.clone()),
        },
    }
}

/// What is done between two slices of a change: all others get their turn.
pub type Pause<'a> = dyn FnMut(&Dispatcher) + 'a;

pub struct Changes {
    rollout: Rollout<Content>,
    /// Of versions that are staged, wait or are on probation: what leads there from the one before.
    steps: BTreeMap<u64, Arc<Vec<Entry>>>,
    running: Arc<Running>,
    before: Baseline,
    /// The same since the change that is watched: what the next one is measured by, if this one stays.
    meanwhile: Baseline,
    watch: Option<ProbationMonitor>,
    next: Us,
    terms: Terms,
    seed: u64,
    store: Option<Store>,
}

impl Changes {
    pub fn new(
        start: Content, number: u64, undone: Vec<RolledBack>, terms: Terms, seed: u64, store: Option<Store>,
    ) -> Changes {
        let (hash, running) = (start.hash(), Arc::new(Running::new(&start)));
        let rollout = Rollout::resume(start, hash, number, undone, now());
        let (before, meanwhile, watch, steps) =
            (Baseline::default(), Baseline::default(), None, BTreeMap::new());
        let changes =
            Changes { rollout, steps, running, before, meanwhile, watch, next: now(), terms, seed, store };
        changes.keep();
        changes
    }
    /// What runs, as far as other threads are told.
    pub fn running(&self) -> Arc<Running> {
        self.running.clone()
    }

    /// When `tick` is wanted next; only while something is on probation must it be in time.
    pub fn next(&self) -> Us {
        if self.watch.is_some() {
            self.next
        } else {
            Us::MAX
        }
    }

    /// The notice to leave came: nothing is applied any more, and nothing undone.
    pub fn leave(&mut self) {
        self.rollout.begin_shutdown();
        self.watch = None;
    }

    /// What a change is to be read and checked against.
    pub fn glance(&self, dispatcher: &Dispatcher) -> Glance {
        let running = self.rollout.running();
        let seen = dispatcher.with(|core, _, _| core.recent_load());
        Glance { number: running.number, running: running.content.clone(), seen }
    }

    /// Time has passed: what was served is looked at.
    pub fn tick(&mut self, dispatcher: &Dispatcher, pause: &mut Pause<'_>) {
        let at = now();
        if at < self.next {
            return;
        }
        self.next = at + SAMPLE;
        let sample = dispatcher.with(|core, _, _| core.take_service_sample());
        let verdict = match &mut self.watch {
            Some(watch) => {
                self.meanwhile.record(at, &sample);
                watch.observe(at, &sample)
            }
            None => {
                self.before.record(at, &sample);
                Verdict::Wait
            }
        };
        let figures = |expected: asterrill_rollout::Loss, observed: asterrill_rollout::Loss| {
            format!(
                "loss of {:.3} where {:.3} was to be expected, on {:.0} RPCs' worth",
                observed.fraction, expected.fraction, observed.evidence
            )
        };
        match verdict {
            Verdict::Wait => {}
            Verdict::RollBack { expected, observed } => {
                let told = self.undo(dispatcher, &figures(expected, observed), pause);
                if told["ok"] != json!(true) {
                    warn!(dispatcher.log, "the change could not be undone"; "why" => %told["error"]);
                }
            }
            Verdict::Confirm { expected, observed } => {
                drop(self.settle(dispatcher, &figures(expected, observed)))
            }
        }
    }

    /// A configuration file was read again, on a signal: its addresses are taken up by the caller, the rest goes
    /// through the same transaction as any change. `prepared`: how that was read, if it differs from what ran then.
    pub fn reread(
        &mut self, dispatcher: &Dispatcher, to: Deployment, prepared: Option<Result<Prepared, Told>>,
        pause: &mut Pause<'_>,
    ) {
        let running = self.rollout.running();
        if to.configuration.digest() == running.content.entries.digest() {
            return;
        }
        let told = if dispatcher.changes_allowed.load(Ordering::Acquire) {
            // What runs may be another one by now.
            let prepared = match prepared {
                Some(Ok(prepared)) if prepared.against == running.number => Ok(prepared),
                Some(Err(told)) => Err(told),
                _ => {
                    let asked = Asked {
                        what: What::Entries(to.configuration),
                        base: None,
                        options: StageOptions::default(),
                    };
                    prepare(&self.glance(dispatcher), asked, self.terms, self.seed)
                }
            };
            match prepared.map(|prepared| self.stage(dispatcher, prepared)) {
                Ok(staged) if staged["ok"] == json!(true) => self.apply(dispatcher, None, None, pause),
                Ok(told) | Err(told) => told,
            }
        } else {
            refused("half of the members or fewer are seen")
        };
        if told["ok"] != json!(true) {
            dispatcher.with(|core, _, _| core.stats_mut().changes_refused += 1);
            warn!(dispatcher.log, "the settings stay as they were"; "why" => %told["error"], "problems" => %told["problems"]);
        }
    }

    /// Does what an operator wants.
    pub fn want(&mut self, dispatcher: &Dispatcher, wanted: Wanted, pause: &mut Pause<'_>) -> Told {
        // Cut off from the others, it goes back at the most: what is changed here would be changed here alone.
        let alone = !dispatcher.changes_allowed.load(Ordering::Acquire);
        if alone && matches!(wanted, Wanted::Stage(_) | Wanted::Apply { .. }) {
            return refused("this backend sees half of its members or fewer: only undo and settle are taken");
        }
        match wanted {
            Wanted::Stage(prepared) => self.stage(dispatcher, *prepared),
            Wanted::Apply { if_base, probation } => self.apply(dispatcher, if_base, probation, pause),
            Wanted::Status => self.status(dispatcher),
            Wanted::Members => refused("there is no section [members]"),
            Wanted::Fleet | Wanted::List(_) | Wanted::Propose(_) => refused("there is no section [fleet]"),
            Wanted::Settle => self.settle(dispatcher, "asked for"),
            Wanted::Undo => self.undo(dispatcher, "asked for", pause),
            Wanted::Drop => match self.rollout.drop_staged(now()) {
                Ok(number) => {
                    self.log(&dispatcher.log);
                    json!({"ok": true, "version": number})
                }
                Err(refusal) => refused(&refusal.to_string()),
            },
            Wanted::History => {
                let event = |e: &Event| {
                    json!({"at": e.at, "what": e.kind.as_str(), "version": e.version, "hash": &*e.hash, "base": e.base,
                        "why": e.why})
                };
                json!({"ok": true, "history": self.rollout.history().map(event).collect::<Vec<_>>()})
            }
        }
    }

    fn stage(&mut self, dispatcher: &Dispatcher, prepared: Prepared) -> Told {
        let Prepared { against, content, hash, step, base, options, meaning, problems } = prepared;
        let running = self.rollout.running().number;
        if against != running {
            let why = format!("version {running} came into force while it was read: hand it in again");
            return json!({"ok": false, "error": why, "crossed": true});
        }
        match self.rollout.stage(now(), Proposal { content, hash: hash.clone(), base, options }) {
            Ok(number) => {
                let entries = step.len();
                self.steps.insert(number, step);
                self.log(&dispatcher.log);
                json!({"ok": true, "version": number, "hash": &*hash, "entries": entries, "changes": meaning,
                    "problems": problems})
            }
            Err(refusal) => refused(&refusal.to_string()),
        }
    }

    fn apply(
        &mut self, dispatcher: &Dispatcher, if_base: Option<u64>, probation: Option<Us>,
        pause: &mut Pause<'_>,
    ) -> Told {
        let (at, probation) = (now(), probation.unwrap_or(self.terms.probation));
        let before = self.rollout.running().content.clone();
        let version = match self.rollout.apply(at, if_base, probation) {
            Ok(version) => version,
            Err(refusal) => {
                self.log(&dispatcher.log);
                return refused(&refusal.to_string());
            }
        };
        // Written first: after a crash from here on the last good version is what starts.
        self.keep();
        let start = std::time::Instant::now();
        let step = self.step_of(&version, &before);
        if let Err(fault) = self.carry_out(dispatcher, &version, &step, Entry::clone, pause) {
            // It passed all checks, so this is a defect, or places ran out; nothing of it was applied.
            self.rollout.roll_back(at, &fault.to_string()).map(drop).unwrap_or_default();
            self.keep();
            self.log(&dispatcher.log);
            return refused(&fault.to_string());
        }
        let took = start.elapsed().as_micros() as u64;
        self.watch = Some(ProbationMonitor::new(now(), &self.before, before.entries, probation));
        self.next = now();
        self.running.set(&version.content);
        self.log(&dispatcher.log);
        json!({"ok": true, "version": version.number, "hash": &*version.hash, "entries": step.len(),
            "took_us": took, "probation_us": probation})
    }

    /// What led to a version from the one before.
    fn step_of(&self, version: &Version<Content>, before: &Content) -> Arc<Vec<Entry>> {
        match self.steps.get(&version.number) {
            Some(step) => step.clone(),
            None => Arc::new(before.entries.changes_to(&version.content.entries)),
        }
    }

    /// The one place where a version comes into force: its entries go in beside those that are in force, a slice at a
    /// time; then one input of the core turns over to all of them. Nothing is done where it can't be taken up. `of`: what
    /// goes in for an entry of `step`.
    fn carry_out(
        &mut self, dispatcher: &Dispatcher, to: &Version<Content>, step: &[Entry],
        of: impl Fn(&Entry) -> Entry, pause: &mut Pause<'_>,
    ) -> Result<(), SettingsError> {
        let Version { number, content, .. } = to;
        let bare = bare(content, step, self.seed)?;
        let methods = content.entries.methods().filter(|_| bare.is_some());
        let longest = methods.map(|(_, method)| method.latency_target).max().unwrap_or(0);
        let queues = operator::terms(content.file.broker.as_ref(), &content.entries)?;
        let tells_tenants = content.entries.count(EntryKind::Tenant) > 0;
        dispatcher.with(|core, _, _| core.check_capacity_for(step, &queues)).map_err(SettingsError::new)?;
        let mut slices = step.chunks(SLICE).peekable();
        while let Some(slice) = slices.next() {
            let slice: Vec<Entry> = slice.iter().map(&of).collect();
            dispatcher.with(|core, _, _| core.stage(&slice));
            if slices.peek().is_some() {
                pause(dispatcher);
            }
        }
        let flip = VersionSwitch { number: *number, bare, longest, queues, tells_tenants };
        dispatcher.with(|core: &mut Core, outbound, now| core.switch_version(now, flip, outbound));
        dispatcher.with(|core, _, _| core.set_settings_hash(content.settings()));
        let frame = content.entries.globals();
        dispatcher.resize(frame.memory_mb, crate::room(frame.sockets));
        Ok(())
    }

    fn settle(&mut self, dispatcher: &Dispatcher, why: &str) -> Told {
        match self.rollout.confirm(now(), why) {
            Ok(number) => {
                self.watch = None;
                self.before = std::mem::take(&mut self.meanwhile);
                dispatcher.with(|core, _, _| core.commit_change());
                self.keep();
                self.log(&dispatcher.log);
                json!({"ok": true, "version": number, "hash": &*self.rollout.running().hash})
            }
            Err(refusal) => refused(&refusal.to_string()),
        }
    }

    fn undo(&mut self, dispatcher: &Dispatcher, why: &str, pause: &mut Pause<'_>) -> Told {
        let undone = self.rollout.running().clone();
        match self.rollout.roll_back(now(), why) {
            Ok(version) => {
                self.watch = None;
                self.meanwhile = Baseline::default();
                let (step, before) =
                    (self.step_of(&undone, &version.content), version.content.entries.clone());
                let done = self.carry_out(dispatcher, &version, &step, |entry| back(entry, &before), pause);
                dispatcher.with(|core, _, _| core.commit_change());
                self.running.set(&version.content);
                self.keep();
                self.log(&dispatcher.log);
                match done {
                    Ok(()) => json!({"ok": true, "version": version.number, "hash": &*version.hash,
                        "entries": step.len()}),
                    Err(fault) => refused(&fault.to_string()),
                }
            }
            Err(refusal) => refused(&refusal.to_string()),
        }
    }

    fn status(&self, dispatcher: &Dispatcher) -> Told {
        let running = self.rollout.running();
        let entries = &running.content.entries;
        let probation = match self.rollout.phase() {
            Phase::Confirmed => Value::Null,
            Phase::Probation(until) => json!({"until": until, "good": self.rollout.last_good().number}),
        };
        let counted = dispatcher.stats();
        let back = dispatcher.with(|core, _, _| {
            let (stages, outages) = core.recovery_stages()?;
            let (why, since) = (stages.reason().as_str(), stages.since());
            Some(json!({"name": stages.stage().name(), "why": why, "since": since, "outages": outages}))
        });
        json!({"ok": true, "version": running.number, "hash": &*running.hash, "base": running.base,
            "methods": entries.count(EntryKind::Method), "tenants": entries.count(EntryKind::Tenant),
            "probation": probation, "staged": self.rollout.staged().map(|v| v.number),
            "queued": self.rollout.queued().map(|v| v.number), "stage": back,
            "counters": {"rpcs": counted.rpcs, "ok": counted.ok, "pushed_back": counted.rejected,
                "aborted": counted.aborted, "gone": counted.callers_gone, "changes": counted.changes,
                "changes_refused": counted.changes_refused,
                "half_applied": counted.half_applied, "store_failed": self.store.as_ref().map(Store::failed)}})
    }

    /// Writes down what a restart needs, if there is a place for it.
    fn keep(&self) {
        let Some(store) = &self.store else { return };
        let (good, running) = (self.rollout.last_good(), self.rollout.running());
        let on_probation = running.number != good.number;
        store.save_versions(PersistedState {
            good: good.content.kept(good.number),
            probation: on_probation.then(|| running.content.kept(running.number)),
            rolled_back: self.rollout.rolled_back().cloned().collect(),
        });
    }

    /// Each event once, with all that decided it. What led to versions that are over is forgotten.
    fn log(&mut self, log: &Logger) {
        for e in self.rollout.take_events() {
            let entries = self.steps.get(&e.version).map_or(0, |step| step.len());
            info!(log, "configuration"; "what" => e.kind.as_str(), "version" => e.version, "hash" => &*e.hash,
                "base" => e.base, "entries" => entries, "why" => &e.why);
        }
        let running = Some(self.rollout.running()).filter(|_| self.rollout.phase() != Phase::Confirmed);
        let kept = [running, self.rollout.staged(), self.rollout.queued()];
        let kept = kept.map(|version| version.map(|version| version.number));
        self.steps.retain(|number, _| kept.contains(&Some(*number)));
    }
}

/// Memory of the machine that is free, in kB, where the system tells.
fn free_kb() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// An answer that is a no.
pub fn refused(why: &str) -> Told {
    json!({"ok": false, "error": why})
}
