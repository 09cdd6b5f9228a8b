//! `scale-members`: what it costs to know the others at the fleet's size, and how long it takes. Members in memory on
//! virtual time ([`super::hollow`]), so that 1,020 of them fit in one process; CPU is this process' own.
//!
//! | kind | what happens once all know each other |
//! | --- | --- |
//! | `calm` | nothing: the figures of calm alone |
//! | `quiet` | three deaths, one after the other, and the wait until what the first had is taken |
//! | `restarts` | one restart each 45 s over the fleet, every third without a word |
//! | `zone` | 64 of 510 die at once and are back at once |
//! | `cut` | the two halves hear nothing of each other for longer than the transition |

use super::hollow::{Hollow, Kept, MS, S};
use super::members_real;
use crate::report::{Fault, Report};
use asterrill::Us;
use asterrill_membership::{role_policy, AllowedChanges, LeaseTiming, MembershipConfig, View};
use clap::ValueEnum;
use serde_json::{json, Value};

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Kind {
    Calm,
    Quiet,
    Restarts,
    Zone,
    Cut,
}

/// How it is played.
#[derive(Clone, Copy)]
pub struct Terms {
    pub nodes: usize,
    pub seed: u64,
    pub kind: Kind,
    pub loss: f64,
    pub quick: bool,
    /// So many real processes beside as many in memory.
    pub real: Option<usize>,
}

const SIZES: (usize, usize) = (4, 2_000); // that are played
const FOUND: Us = 300 * S; // that is waited at the most until all have met
const CALM: Us = 30 * S; // of which the figures are
const REST: Us = 5 * S; // between what happens
const DEATHS: usize = 3;
const WAITED: (usize, usize) = (600, 400); // members up to which a transition is waited for: the first, and a second
const LOSSY: usize = 200; // the same with losses, where wrong failures leave something untaken most of the time
const CUT: Us = 60 * S; // that a cut lasts where the transition is not waited for
const EACH: Us = 45 * S; // between restarts
const RESTARTS: usize = 6;
const DOWN: Us = S; // that a restart takes
const ZONE: (usize, usize) = (64, 510);
const AWAY: Us = 30 * S; // that a zone is away, at the least
const GREETINGS: u64 = 4; // within which the sides of a healed cut find each other, as operators are told

// What a backend may spend on all control (docs/design, "the fleet ahead").
const CPU: f64 = 14.0; // ms a second
const BYTES: f64 = 24_000.0; // a second
const MEMORY: f64 = 32_768.0; // KB

/// The intervals that operators have if they set none; a newcomer counts after two seconds, so that a run is short.
pub fn intervals(expect: usize) -> MembershipConfig {
    MembershipConfig {
        probe_interval: 200 * MS,
        suspicion_timeout: S,
        announce_interval: S,
        join_delay: 2 * S,
        forget_after: 3_600 * S,
        flap_window: 60 * S,
        expected_members: expect,
    }
}

impl Terms {
    pub fn of(to: &crate::arguments::Arguments, kind: Option<Kind>) -> Terms {
        let nodes = to.nodes.clamp(SIZES.0, SIZES.1);
        let kind = kind.unwrap_or(Kind::Quiet);
        Terms {
            nodes,
            seed: to.seed,
            kind,
            loss: to.loss.clamp(0.0, 0.5),
            quick: to.scale.quick,
            real: to.real,
        }
    }
}

/// CPU time of this process so far, in ms. All is done by its first thread.
pub fn cpu_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    stat.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e6
}
/// Resident memory of a process, in KB.
pub fn resident_kb(process: &str) -> f64 {
    memory_kb(process, "VmRSS:")
}
/// The same by the name of its line: `RssAnon:` is what is not shared with a file.
pub fn memory_kb(process: &str, name: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

/// Where the counts stood at a moment.
struct Mark {
    at: Us,
    cpu: f64,
    sent: u64,
    bytes: u64,
}

impl Mark {
    fn of(net: &Hollow) -> Mark {
        Mark { at: net.now, cpu: cpu_ms(), sent: net.sent, bytes: net.bytes }
    }
    /// CPU in ms, datagrams and bytes, each second and member.
    fn since(&self, before: &Mark, nodes: usize) -> [f64; 3] {
        let span = (self.at - before.at) as f64 / 1e6 * nodes as f64;
        let counts = [(self.sent - before.sent) as f64, (self.bytes - before.bytes) as f64];
        [(self.cpu - before.cpu) / span, counts[0] / span, counts[1] / span]
    }
}

/// A run, and what it has shown.
struct Run<'a> {
    net: Hollow,
    terms: &'a Terms,
    intervals: MembershipConfig,
    report: &'a mut Report,
    /// CPU and bytes of the worst second.
    worst: [f64; 2],
    begun: f64,
}

fn to_ms(us: Option<Us>) -> Value {
    us.map_or(Value::Null, |us| json!(us / MS))
}
/// The middle and the last, in ms.
fn middle_and_last(mut took: Vec<Us>) -> [Value; 2] {
    took.sort_unstable();
    [took.get(took.len() / 2), took.last()].map(|us| to_ms(us.copied()))
}
pub fn round(figure: f64) -> f64 {
    (figure * 1_000.0).round() / 1_000.0
}

/// The scenario.
pub fn scenario(report: &mut Report, terms: &Terms) -> Result<(), Fault> {
    if let Some(real) = terms.real {
        return members_real::scenario(report, terms.seed, real);
    }
    play(report, terms, intervals(terms.nodes));
    Ok(())
}

/// The same with other intervals.
pub fn play(report: &mut Report, terms: &Terms, intervals: MembershipConfig) {
    let (empty, begun) = (resident_kb("self"), cpu_ms());
    let net = Hollow::new(terms.nodes, terms.seed, intervals, terms.loss);
    let mut run = Run { net, terms, intervals, report, worst: [0.0; 2], begun };
    run.set("nodes", json!(terms.nodes));
    run.set("kind", json!(format!("{:?}", terms.kind).to_lowercase()));
    run.set("loss", json!(terms.loss));
    let found = run.net.until(FOUND, Hollow::all_met);
    run.set("found_ms", to_ms(found));
    let bytes = run.net.bytes as f64 / terms.nodes as f64;
    run.set("found_bytes", json!(bytes.round()));
    run.worst_of(REST);
    run.set("found_cpu_ms", json!(round((cpu_ms() - begun) / terms.nodes as f64)));
    run.set("memory_kb", json!(round((resident_kb("self") - empty) / terms.nodes as f64)));
    let before = Mark::of(&run.net);
    run.net.run(CALM);
    let calm = Mark::of(&run.net).since(&before, terms.nodes);
    for (name, figure) in ["cpu_ms_per_s", "datagrams_per_s", "bytes_per_s"].into_iter().zip(calm) {
        run.set(name, json!(round(figure)));
    }
    run.set("transition_ms", json!(run.wait() / MS));
    run.set("notice_ms", json!(run.notice() / MS));
    match terms.kind {
        Kind::Calm => {}
        Kind::Quiet => run.quiet(),
        Kind::Restarts => run.restarts(),
        Kind::Zone => run.zone(),
        Kind::Cut => run.cut(),
    }
    run.end(found.is_some());
}

impl Run<'_> {
    fn set(&mut self, name: &str, value: Value) {
        // Figures of the machine are not the same each time.
        if !self.terms.quick || !(name.contains("cpu") || name.contains("memory")) {
            self.report.set(name, value);
        }
    }
    fn lease(&self) -> LeaseTiming {
        LeaseTiming::from_intervals(
            self.intervals.probe_interval,
            self.intervals.suspicion_timeout,
            self.terms.nodes,
        )
    }
    fn wait(&self) -> Us {
        self.lease().reassignment_delay()
    }
    fn notice(&self) -> Us {
        self.lease().detection_time
    }
    /// Runs so long and keeps the worst second of it.
    fn worst_of(&mut self, span: Us) {
        for _ in 0..span.div_ceil(S) {
            let before = Mark::of(&self.net);
            self.net.run(S);
            let [cpu, _, bytes] = Mark::of(&self.net).since(&before, self.terms.nodes);
            self.worst = [self.worst[0].max(cpu), self.worst[1].max(bytes)];
        }
    }
    /// The same until it holds, to the second; how long that took.
    fn worst_until(&mut self, most: Us, holds: impl Fn(&Hollow) -> bool) -> Option<Us> {
        let start = self.net.now;
        while !holds(&self.net) {
            if self.net.now - start >= most {
                return None;
            }
            self.worst_of(S);
        }
        Some(self.net.now - start)
    }
    /// All of what is divided is taken, or it is known that it won't be.
    fn all_taken(&mut self) -> Option<Us> {
        self.net.until(2 * self.wait() + 30 * S, Hollow::all_taken)
    }

    /// Whether a run of this size waits for what takes a transition.
    fn waited(&self, most: usize) -> bool {
        self.terms.nodes <= if self.terms.loss > 0.0 { LOSSY } else { most }
    }

    /// How long after a moment each of the others said that these have failed.
    fn detected(&self, since: Us, whom: &[usize]) -> Vec<Us> {
        let of = |f: &&super::hollow::Failed| f.at >= since && whom.contains(&f.whom) && self.net.up(f.by);
        let mut first: Vec<(usize, usize, Us)> =
            self.net.failed.iter().filter(of).map(|f| (f.by, f.whom, f.at - since)).collect();
        first.sort_unstable();
        first.dedup_by_key(|(by, whom, _)| (*by, *whom));
        first.into_iter().map(|(_, _, took)| took).collect()
    }

    fn quiet(&mut self) {
        let (nodes, mut took) = (self.terms.nodes, Vec::new());
        let (deaths, limit) = (if self.terms.quick { 1 } else { DEATHS }, 2 * self.notice());
        let mut first = self.net.now;
        for death in 0..deaths {
            let (n, since) = (nodes / 2 + death, self.net.now);
            self.net.stop(n, false);
            let others = nodes - 1 - death;
            let mut all = Vec::new();
            while all.len() < others && self.net.now - since < limit {
                self.net.run(S);
                all = self.detected(since, &[n]);
            }
            self.report.rule("a loss was not found by all", all.len() == others || self.terms.loss > 0.0);
            took.extend(all);
            if death == 0 {
                first = since;
            }
        }
        let late = took.iter().any(|took| *took > self.notice());
        self.report.rule("a loss was found later than is promised", !late || self.terms.loss > 0.0);
        let [p50, max] = middle_and_last(took);
        self.set("detect_ms_p50", p50);
        self.set("detect_ms_max", max);
        if !self.waited(WAITED.0) {
            return;
        }
        // What the first had is taken: by whom first, and by whom last.
        let more = 1.0 / (nodes as f64 - 1.0) - 1e-9;
        let some = |net: &Hollow| (0..nodes).any(|n| net.up(n) && net.part(n) >= more);
        let most = 2 * self.wait() + 30 * S;
        let taken = self.net.until(most, some).map(|_| self.net.now - first);
        let all = self.net.until(self.notice(), Hollow::all_taken).map(|_| self.net.now - first);
        self.set("transition_first_ms", to_ms(taken));
        self.set("transition_all_ms", to_ms(all));
        // A wrong failure gives a part back early to nobody: the rule is of the sum.
        let early = taken.is_some_and(|taken| taken < self.wait());
        self.report.rule("a part was taken before its time", !early || self.terms.loss > 0.0);
    }

    fn restarts(&mut self) {
        self.all_taken();
        let (nodes, mut back, mut waiting, mut unused) = (self.terms.nodes, Vec::new(), 0, 0.0_f64);
        for restart in 0..RESTARTS {
            let (n, since) = (restart * (nodes / RESTARTS) + nodes / 20, self.net.now);
            let kept = self.net.stop(n, restart % 3 != 2);
            self.net.run(DOWN);
            self.net.start(vec![(n, kept)], 0);
            let took = self.worst_until(EACH - DOWN, Hollow::all_know_all);
            back.extend(took);
            while self.net.now < since + EACH {
                self.worst_of(S);
                waiting = waiting.max(self.net.waiting());
                unused = unused.max(1.0 - self.net.taken());
            }
        }
        self.set("restarts", json!(RESTARTS));
        self.set("restarts_back", json!(back.len()));
        let [p50, max] = middle_and_last(back);
        self.set("back_ms_p50", p50);
        self.set("back_ms_max", max);
        self.set("waiting_max", json!(waiting));
        self.set("unused_max", json!(round(unused)));
    }

    fn zone(&mut self) {
        let nodes = self.terms.nodes;
        let zone: Vec<usize> = (nodes - (nodes * ZONE.0 / ZONE.1).max(1)..nodes).collect();
        let since = self.net.now;
        let kept: Vec<(usize, Kept)> = zone.iter().map(|n| (*n, self.net.stop(*n, false))).collect();
        let (pairs, mut took) = (zone.len() * (nodes - zone.len()), Vec::new());
        while self.net.now - since < AWAY || took.len() < pairs && self.net.now - since < 2 * self.notice() {
            self.worst_of(S);
            took = self.detected(since, &zone);
        }
        self.set("zone", json!(zone.len()));
        self.report.rule("a zone's loss was not found by all", took.len() == pairs || self.terms.loss > 0.0);
        let late = took.iter().any(|took| *took > self.notice());
        self.report.rule("a loss was found later than is promised", !late || self.terms.loss > 0.0);
        let [p50, max] = middle_and_last(took);
        self.set("detect_ms_p50", p50);
        self.set("detect_ms_max", max);
        let away = std::mem::take(&mut self.worst);
        self.set("away_worst_cpu_ms_per_s", json!(round(away[0])));
        self.set("away_worst_bytes_per_s", json!(away[1].round()));
        self.net.start(kept, S);
        let back = self.worst_until(FOUND, Hollow::all_know_all);
        self.set("back_ms", to_ms(back));
        let whole = self.worst_until(FOUND, Hollow::all_whole).zip(back).map(|(whole, back)| whole + back);
        self.set("whole_ms", to_ms(whole));
        if self.waited(WAITED.1) {
            let again = self.all_taken().zip(whole).map(|(again, whole)| again + whole);
            self.set("all_taken_ms", to_ms(again));
        }
    }

    fn cut(&mut self) {
        let (nodes, loss) = (self.terms.nodes, self.terms.loss);
        self.all_taken();
        let (since, wrong) = (self.net.now, self.wrong());
        self.net.cut(nodes / 2);
        let gone = self.net.until(2 * self.notice(), |net| net.taken() == 0.0);
        self.set("lease_gone_ms", to_ms(gone));
        // As long as a side that led would take to take what the other had, and beyond.
        let span = if self.waited(WAITED.1) { self.wait() + 30 * S } else { CUT };
        let rest = span.saturating_sub(self.net.now - since);
        self.worst_of(rest.max(S));
        let halves = [(0, nodes / 2), (nodes / 2, nodes)];
        let mut led = 0;
        for (name, (from, to)) in ["side_a", "side_b"].into_iter().zip(halves) {
            let members: Vec<_> = (from..to).filter_map(|n| self.net.member(n)).collect();
            let count = |view: View| members.iter().filter(|m| m.view() == view).count();
            let leads = members.iter().filter(|m| m.view().has_quorum()).count();
            let leased = members.iter().filter(|m| m.quota_fraction() > 0.0).count();
            let does =
                members.first().map(|m| role_policy(m.view(), m.quota_fraction(), nodes, m.agreed_size()));
            let changes = does.map(|does| match does.allowed_changes {
                AllowedChanges::Any => "any",
                AllowedChanges::RollbackOnly => "only undo and settle",
            });
            led += usize::from(leads > 0);
            let told = json!({"members": members.len(), "minority": count(View::Minority), "leads": leads,
                "leased": leased, "part_of_the_even_one": does.map(|does| does.quota_factor), "changes": changes,
                "agreed": members.first().map(|m| m.agreed_size())});
            self.set(name, told);
        }
        self.set("sides_that_lead", json!(led));
        self.set("cut_ms", json!((self.net.now - since) / MS));
        self.report.rule("both sides of a cut lead", led < 2);
        self.report.rule("a half leads", led == 0);
        let wrong_in = self.wrong() - wrong;
        self.report.rule("a member in touch was called failed", wrong_in == 0 || loss > 0.0);
        let cut = std::mem::take(&mut self.worst);
        self.set("cut_worst_cpu_ms_per_s", json!(round(cut[0])));
        self.set("cut_worst_bytes_per_s", json!(cut[1].round()));
        self.net.cut(0);
        let (healed, before) = (self.net.now, self.wrong());
        let know = self.worst_until(FOUND, Hollow::all_know_all);
        self.set("all_know_all_ms", to_ms(know));
        let whole = self.net.until(FOUND, Hollow::all_whole).map(|_| self.net.now - healed);
        self.set("whole_ms", to_ms(whole));
        let promised =
            self.notice() + GREETINGS * self.intervals.announce_interval * 5 / 4 + self.intervals.join_delay;
        self.set("whole_bound_ms", json!(promised / MS));
        let late = whole.is_none_or(|whole| whole > promised);
        self.report.rule("views were not equal again in the time that is promised", !late || loss > 0.0);
        if self.waited(WAITED.1) {
            let again = self.all_taken().map(|_| self.net.now - healed);
            self.set("all_taken_ms", to_ms(again));
        }
        self.set("failed_while_healing", json!(self.wrong() - before));
    }

    /// Members in touch that were called failed.
    fn wrong(&self) -> usize {
        self.net.failed.iter().filter(|failed| failed.wrong).count()
    }

    fn end(mut self, found: bool) {
        let (wrong, loss) = (self.wrong(), self.terms.loss);
        self.set("false_failed", json!(wrong));
        self.set("bytes_max", json!(self.net.bytes_max));
        self.set("taken_most", json!((self.net.most * 1e6).round() / 1e6));
        self.set("worst_cpu_ms_per_s", json!(round(self.worst[0])));
        self.set("worst_bytes_per_s", json!(self.worst[1].round()));
        self.set("datagrams", json!(self.net.sent));
        self.set("virtual_s", json!((self.net.now - 1_000 * S) / S));
        self.set("trace", json!(format!("{:016x}", self.net.trace)));
        self.set("cpu_ms_of_the_run", json!((cpu_ms() - self.begun).round()));
        self.set("memory_kb_of_the_process", json!(resident_kb("self")));
        self.report.rule("they did not find each other", found);
        self.report.rule("more than the whole was taken of what is shared", !self.net.over_whole());
        let healed = self.terms.kind == Kind::Cut;
        let touch = wrong == 0 || loss > 0.0 || healed;
        self.report.rule("a member in touch was called failed", touch);
        self.over();
    }

    /// What is over the budget, which breaks no rule: it stands on the page.
    fn over(&mut self) {
        let all = [
            ("cpu_ms_per_s", CPU),
            ("worst_cpu_ms_per_s", CPU),
            ("away_worst_cpu_ms_per_s", CPU),
            ("cut_worst_cpu_ms_per_s", CPU),
            ("bytes_per_s", BYTES),
            ("worst_bytes_per_s", BYTES),
            ("away_worst_bytes_per_s", BYTES),
            ("cut_worst_bytes_per_s", BYTES),
            ("memory_kb", MEMORY),
        ];
        let over = all.iter().filter_map(|(name, budget)| {
            let figure = self.report.figure(name)?;
            (figure > *budget).then(|| json!({"what": name, "measured": figure, "budget": budget}))
        });
        let over: Vec<Value> = over.collect();
        self.set("over", json!(over));
    }
}

#[cfg(test)]
#[path = "tests/members.rs"]
mod tests;
