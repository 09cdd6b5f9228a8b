//! Changes of the configuration, carried out: versions come from signals and from the control socket, are checked
//! against what the server sees, applied in one input of the core, watched, and written down.

use crate::core::Core;
use crate::hub::Hub;
use crate::operator;
use crate::store::Store;
use asterrill::Us;
use asterrill_conf::File;
use asterrill_net::now;
use asterrill_recovery::Learned;
use asterrill_rollout::{
    check, difference, facts, Before, Change, Event, Facts, Problem, Rollout, Stage, Verdict, Watch, Wish,
};
use asterrill_settings::{Deployment, Fault};
use serde_json::{json, Value};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

const SAMPLE: Us = 100_000; // between looks at what was served
const SEAM: &str = "\n---\n"; // between the settings and the operator's file in a version's text

/// What one version says.
#[derive(Clone, Debug)]
pub struct Content {
    pub settings: Value,
    pub memory_mb: u64,
    pub sockets: u64,
    pub file: File,
    file_text: String,
}

impl Content {
    pub fn new(to: &Deployment, file: File, file_text: &str) -> Content {
        let (settings, file_text) = (to.server.clone(), file_text.to_string());
        Content { settings, memory_mb: to.memory_mb, sockets: to.sockets, file, file_text }
    }
    /// Its text: the same for the same meaning of the settings.
    pub fn text(&self) -> String {
        let limits = json!({"memory_mb": self.memory_mb, "sockets": self.sockets});
        let settings = json!({"settings": self.settings, "limits": limits});
        format!("{settings}{SEAM}{}", self.file_text)
    }
    /// The version that a text stands for.
    pub fn parse(text: &str) -> Result<Content, Fault> {
        let (json, file_text) = text.split_once(SEAM).unwrap_or((text, ""));
        let value: Value = serde_json::from_str(json).map_err(|e| Fault::new(format!("not JSON: {e}")))?;
        let limits = asterrill_settings::part(&value, "limits")?;
        let settings = asterrill_settings::part(&value, "settings")?.clone();
        asterrill_settings::server(0, 0, &settings, None)?;
        let file = asterrill_conf::parse("operator's file", file_text);
        Ok(Content {
            settings,
            memory_mb: asterrill_settings::integer(limits, "memory_mb")?,
            sockets: asterrill_settings::integer(limits, "sockets")?,
            file: file.map_err(|mistake| Fault::new(mistake.to_string()))?,
            file_text: file_text.into(),
        })
    }
}

/// What an operator asks for, by the control socket or a signal.
#[derive(Clone, Debug)]
pub enum Wanted {
    /// A file's text: settings in JSON, or an operator's file.
    Stage {
        text: String,
        base: Option<u64>,
        wish: Wish,
    },
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
    /// What the backends have agreed on; a list of it; a wish about it.
    Fleet,
    List(asterrill_agree::Kind),
    Wish(asterrill_agree::Wish),
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

pub struct Changes {
    rollout: Rollout<Content>,
    facts: Facts,
    before: Before,
    /// The same since the change that is watched: what the next one is measured by, if this one stays.
    meanwhile: Before,
    watch: Option<Watch>,
    next: Us,
    terms: Terms,
    seed: u64,
    store: Option<Store>,
}

impl Changes {
    pub fn new(
        start: Content, number: u64, undone: Vec<(String, u64)>, terms: Terms, seed: u64,
        store: Option<Store>,
    ) -> Result<Changes, Fault> {
        let (text, facts) = (start.text(), facts(&start.settings)?);
        let rollout = Rollout::after(start, &text, number, undone, now());
        let (before, meanwhile, watch) = (Before::default(), Before::default(), None);
        let changes = Changes { rollout, facts, before, meanwhile, watch, next: now(), terms, seed, store };
        changes.keep();
        Ok(changes)
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
        self.rollout.leave();
        self.watch = None;
    }

    /// Time has passed: what was served is looked at.
    pub fn tick(&mut self, hub: &Hub) {
        let at = now();
        if at < self.next {
            return;
        }
        self.next = at + SAMPLE;
        let sample = hub.with(|core, _, _| core.served());
        let verdict = match &mut self.watch {
            Some(watch) => {
                self.meanwhile.take(at, &sample);
                watch.take(at, &sample)
            }
            None => {
                self.before.take(at, &sample);
                Verdict::Wait
            }
        };
        let figures = |expected: asterrill_rollout::Loss, seen: asterrill_rollout::Loss| {
            format!(
                "loss of {:.3} where {:.3} was to be expected, on {:.0} RPCs' worth",
                seen.share, expected.share, seen.evidence
            )
        };
        match verdict {
            Verdict::Wait => {}
            Verdict::Undo { expected, seen } => {
                let told = self.undo(hub, &figures(expected, seen));
                if told["ok"] != json!(true) {
                    warn!(hub.log, "the change could not be undone"; "why" => %told["error"]);
                }
            }
            Verdict::Settle { expected, seen } => drop(self.settle(hub, &figures(expected, seen))),
        }
    }

    /// A configuration file was read again, on a signal: its addresses are taken up by the caller, the rest goes
    /// through the same transaction as any change.
    pub fn reread(&mut self, hub: &Hub, to: &Deployment) {
        let running = self.rollout.running().content.clone();
        let content =
            Content { settings: to.server.clone(), memory_mb: to.memory_mb, sockets: to.sockets, ..running };
        if content.text() == self.rollout.running().text {
            return;
        }
        if !hub.changes.load(Ordering::Acquire) {
            return warn!(hub.log, "the settings stay as they were"; "why" => "half of the members or fewer are seen");
        }
        let staged = self.stage(hub, content, None, Wish::default());
        let told = if staged["ok"] == json!(true) { self.apply(hub, None, None) } else { staged };
        if told["ok"] != json!(true) {
            warn!(hub.log, "the settings stay as they were"; "why" => %told["error"], "problems" => %told["problems"]);
        }
    }

    /// Does what an operator wants.
    pub fn want(&mut self, hub: &Hub, wanted: Wanted) -> Told {
        // Cut off from the others, it goes back at the most: what is changed here would be changed here alone.
        let alone = !hub.changes.load(Ordering::Acquire);
        if alone && matches!(wanted, Wanted::Stage { .. } | Wanted::Apply { .. }) {
            return refused("this backend sees half of its members or fewer: only undo and settle are taken");
        }
        match wanted {
            Wanted::Stage { text, base, wish } => match self.read(&text) {
                Ok(content) => self.stage(hub, content, base, wish),
                Err(fault) => refused(&fault.to_string()),
            },
            Wanted::Apply { if_base, probation } => self.apply(hub, if_base, probation),
            Wanted::Status => self.status(hub),
            Wanted::Members => refused("there is no section [members]"),
            Wanted::Fleet | Wanted::List(_) | Wanted::Wish(_) => refused("there is no section [fleet]"),
            Wanted::Settle => self.settle(hub, "asked for"),
            Wanted::Undo => self.undo(hub, "asked for"),
            Wanted::Drop => match self.rollout.drop_staged(now()) {
                Ok(number) => {
                    self.log(&hub.log);
                    json!({"ok": true, "version": number})
                }
                Err(refusal) => refused(&refusal.to_string()),
            },
            Wanted::History => {
                let event = |e: &Event| {
                    json!({"at": e.at, "what": e.what, "version": e.version, "hash": e.hash, "base": e.base,
                        "why": e.why})
                };
                json!({"ok": true, "history": self.rollout.history().map(event).collect::<Vec<_>>()})
            }
        }
    }

    /// A file's text takes the place of the like in what runs: settings, or the operator's file.
    fn read(&self, text: &str) -> Result<Content, Fault> {
        let mut content = self.rollout.running().content.clone();
        if text.trim_start().starts_with('{') {
            let to = asterrill_settings::read(text)?;
            (content.settings, content.memory_mb, content.sockets) = (to.server, to.memory_mb, to.sockets);
        } else {
            let file = asterrill_conf::parse("operator's file", text);
            content.file = file.map_err(|mistake| Fault::new(mistake.to_string()))?;
            content.file_text = text.into();
        }
        Ok(content)
    }

    fn stage(&mut self, hub: &Hub, content: Content, base: Option<u64>, wish: Wish) -> Told {
        let new = match facts(&content.settings) {
            Ok(facts) => facts,
            Err(fault) => return refused(&fault.to_string()),
        };
        let mut seen = hub.with(|core, _, _| core.seen());
        // What is booked now is a part of what there is.
        let free = free_kb();
        seen.free_kb = free.map_or(0.0, |free| free + self.facts.memory_kb);
        let more = content.memory_mb.saturating_sub(self.rollout.running().content.memory_mb) as f64 * 1024.0;
        if free.is_some_and(|free| more > free) {
            return refused(&format!("it wants {more:.0} kB more for itself than there are free"));
        }
        let problems = check(&self.facts, &new, &seen, self.terms.factor);
        let stops = |p: &Problem| matches!(p, Problem::Wrong(_)) || !wish.force;
        let shown: Vec<String> = problems.iter().map(Problem::to_string).collect();
        if problems.iter().any(stops) {
            return json!({"ok": false, "error": "it does not pass the checks", "problems": shown});
        }
        if let Err(fault) = self.could_carry_out(&content) {
            return refused(&fault.to_string());
        }
        let meaning = difference(&self.facts, &new);
        let text = content.text();
        match self.rollout.stage(now(), Change { content, text, base, wish }) {
            Ok(number) => {
                self.log(&hub.log);
                json!({"ok": true, "version": number, "changes": meaning, "problems": shown})
            }
            Err(refusal) => refused(&refusal.to_string()),
        }
    }

    fn apply(&mut self, hub: &Hub, if_base: Option<u64>, probation: Option<Us>) -> Told {
        let (at, probation) = (now(), probation.unwrap_or(self.terms.probation));
        let version = match self.rollout.apply(at, if_base, probation) {
            Ok(version) => version,
            Err(refusal) => {
                self.log(&hub.log);
                return refused(&refusal.to_string());
            }
        };
        // Written first: after a crash from here on the last good version is what starts.
        self.keep();
        let start = std::time::Instant::now();
        if let Err(fault) = self.carry_out(hub, &version.content, version.number) {
            // It passed all checks, so this is a defect; nothing of it was applied.
            self.rollout.undo(at, &fault.to_string()).map(drop).unwrap_or_default();
            self.keep();
            self.log(&hub.log);
            return refused(&fault.to_string());
        }
        let took = start.elapsed().as_micros() as u64;
        let weights: BTreeMap<String, f64> =
            self.facts.methods.iter().map(|(name, m)| (name.clone(), m.criticality)).collect();
        self.watch = Some(Watch::new(at, &self.before, weights, self.facts.cores, probation));
        self.next = at;
        self.facts = facts(&version.content.settings).unwrap_or_default();
        self.log(&hub.log);
        json!({"ok": true, "version": version.number, "took_us": took, "probation_us": probation})
    }

    /// Whether all that a version says could come into force.
    fn could_carry_out(&self, content: &Content) -> Result<(), Fault> {
        let server = asterrill_settings::server(now(), self.seed, &content.settings, Some(false))?;
        operator::terms(content.file.broker.as_ref(), &server)?;
        let running = &self.rollout.running().content;
        let bare = |file: &File| file.broker.clone().map(asterrill_conf::Broker::without_queues);
        if bare(&content.file) != bare(&running.file)
            || content.file.changes != running.file.changes
            || content.file.recovery != running.file.recovery
            || content.file.members != running.file.members
            || content.file.fleet != running.file.fleet
        {
            return Err(Fault::new(
                "[broker], [changes], [recovery], [members], [fleet] and [log] are taken up at the next start only"
                    .into(),
            ));
        }
        Ok(())
    }

    /// The one place where a version comes into force: one input of the core.
    fn carry_out(&mut self, hub: &Hub, content: &Content, number: u64) -> Result<(), Fault> {
        let server = asterrill_settings::server(now(), self.seed, &content.settings, Some(false))?;
        let terms = operator::terms(content.file.broker.as_ref(), &server)?;
        let done = hub.with(|core: &mut Core, wire, now| core.change(now, server, terms, number, wire));
        done.map_err(Fault::new)?;
        hub.with(|core, _, _| core.settings_now(hash_of(&content.settings)));
        hub.resize(content.memory_mb, crate::room(content.sockets));
        Ok(())
    }

    fn settle(&mut self, hub: &Hub, why: &str) -> Told {
        match self.rollout.settle(now(), why) {
            Ok(number) => {
                self.watch = None;
                self.before = std::mem::take(&mut self.meanwhile);
                hub.with(|core, _, _| core.settled());
                self.keep();
                self.log(&hub.log);
                json!({"ok": true, "version": number})
            }
            Err(refusal) => refused(&refusal.to_string()),
        }
    }

    fn undo(&mut self, hub: &Hub, why: &str) -> Told {
        match self.rollout.undo(now(), why) {
            Ok(version) => {
                self.watch = None;
                self.meanwhile = Before::default();
                let done = self.carry_out(hub, &version.content, version.number);
                hub.with(|core, _, _| core.settled());
                self.facts = facts(&version.content.settings).unwrap_or_default();
                self.keep();
                self.log(&hub.log);
                match done {
                    Ok(()) => json!({"ok": true, "version": version.number}),
                    Err(fault) => refused(&fault.to_string()),
                }
            }
            Err(refusal) => refused(&refusal.to_string()),
        }
    }

    fn status(&self, hub: &Hub) -> Told {
        let running = self.rollout.running();
        let probation = match self.rollout.stage_now() {
            Stage::Settled => Value::Null,
            Stage::Probation(until) => json!({"until": until, "good": self.rollout.good().number}),
        };
        let counted = hub.counted();
        let back = hub.with(|core, _, _| {
            let (stages, outages) = core.stages()?;
            let (why, since) = stages.why();
            Some(json!({"name": stages.stage().name(), "why": why, "since": since, "outages": outages}))
        });
        json!({"ok": true, "version": running.number, "hash": running.hash, "base": running.base,
            "probation": probation, "staged": self.rollout.staged().map(|v| v.number),
            "queued": self.rollout.queued().map(|v| v.number), "stage": back,
            "counters": {"rpcs": counted.rpcs, "ok": counted.ok, "pushed_back": counted.pushed_back,
                "aborted": counted.aborted, "gone": counted.gone, "changes": counted.changes,
                "half_applied": counted.half_applied, "store_failed": self.store.as_ref().map(Store::failed)}})
    }

    /// What was learned is to stand on disk, if there is a place for it.
    pub fn keep_learned(&self, learned: Learned) {
        self.store.iter().for_each(|store| store.keep_learned(learned.clone()));
    }

    /// Writes down what a restart needs, if there is a place for it.
    fn keep(&self) {
        let Some(store) = &self.store else { return };
        let undone: Vec<(String, u64)> = self.rollout.undone().cloned().collect();
        let good = self.rollout.good();
        let good_record = asterrill_rollout::write(good.number, &good.text, &undone);
        let running = self.rollout.running();
        let on_probation = running.number != good.number;
        let probation = on_probation.then(|| asterrill_rollout::write(running.number, &running.text, &[]));
        store.keep(good_record, probation);
    }

    /// Each event once, with all that decided it.
    fn log(&mut self, log: &Logger) {
        for e in self.rollout.take_news() {
            info!(log, "configuration"; "what" => e.what, "version" => e.version, "hash" => &e.hash,
                "base" => e.base, "why" => &e.why);
        }
    }
}

/// Memory of the machine that is free, in kB, where the system tells.
fn free_kb() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// A hash of settings, the same for the same meaning: their JSON has one order.
pub fn hash_of(settings: &Value) -> u64 {
    asterrill_recovery::seed(0, &settings.to_string(), 0, 0)
}

fn refused(why: &str) -> Told {
    json!({"ok": false, "error": why})
}
