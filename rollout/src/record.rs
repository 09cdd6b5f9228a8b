//! What lasts of the configuration over restarts: one file, a whole version in entries followed by steps, each sealed.
//! Whoever owns files writes it; here is what stands in it, and what to start with after any crash.
//!
//! ```text
//! asterrill versions 1
//! whole <number> <hash> <how many undone> <bytes of the operator's file> <sum>
//! undone <hash> <number>
//! <the operator's file>
//! {"frame":{...}}
//! {"put":"method",...}
//! end <entries> <sum>
//! step <kind> <number> <base> <hash> <bytes of the operator's file, or -> <bytes of the body> <sum> <sum>
//! {"put":"tenant",...}
//! ```
//!
//! A sum is `xxh3` in 16 hex digits: of a whole version over all bytes of the file before its `end`; of a step over
//! its body, then over its line up to there, so that its length can be trusted before the body is read. A step's head
//! is under 256 bytes. The body of `good` (taken as it is) and `probation` is what leads there from the last good
//! version, with the operator's file where that changed; `settled` and `undone` have none.
//!
//! A whole version is written beside its place, synced and renamed; steps are appended. So a crash leaves a torn tail
//! at the most, which is cut off at the last whole record. A record that is damaged with whole ones after it is
//! named: nothing after it is taken up, as its base is missing, but what those after it say was undone, or on
//! probation without an end, is still not started with.

use crate::{Hash, Marked, UNDONE};
use asterrill_entries::{
    read_step, write_configuration, write_step, Change, Configuration, EntryKind as Entry, GlobalSettings,
    Step, StepError, MAX_CHANGES,
};
use std::fmt::{self, Write};
use std::io::{self, BufRead, Read};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

const HEAD: &str = "asterrill versions 1\n";
const BEGINS: &str = "asterrill versions ";
const LINE: u64 = 1 << 20; // bytes of one line at the most
const PIECE: usize = 1 << 16; // bytes of entries that are read and taken in together
const STEP: usize = 256; // bytes of a step's head at the most
const TOGETHER: usize = 256; // changes that are written together

/// Bytes of the operator's file at the most, in a record.
pub const FILE: u64 = 16 << 20;
/// Bytes of steps, under which a whole version is not written anew because of them.
pub const STEPS: u64 = 1 << 16;

/// The hash of a version: the 32 hex digits of its entries' digest, and where there is an operator's file a `-` and 16
/// digits of that. The same for the same meaning of the entries.
pub fn hash(content: &Configuration, file: &str) -> Hash {
    let digest = content.digest();
    if file.is_empty() {
        digest.to_string().into()
    } else {
        format!("{digest}-{:016x}", xxh3_64(file.as_bytes())).into()
    }
}

/// A version as it lasts. Cheap to copy.
#[derive(Clone, Debug)]
pub struct Kept {
    /// From 1 up.
    pub number: u64,
    pub content: Configuration,
    /// The operator's file, as it was written; empty where there is none.
    pub file: Arc<str>,
}

impl Kept {
    /// See [`hash`].
    pub fn hash(&self) -> Hash {
        hash(&self.content, &self.file)
    }
}

impl PartialEq for Kept {
    fn eq(&self, other: &Kept) -> bool {
        self.number == other.number
            && self.content.digest() == other.content.digest()
            && self.file == other.file
    }
}

/// What a restart needs. Cheap to copy.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The last good version.
    pub good: Kept,
    /// What is on probation.
    pub probation: Option<Kept>,
    /// Hashes and numbers of changes that were undone, the oldest first, 64 at the most.
    pub undone: Vec<Marked>,
}

/// What a step says of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Good,
    Probation,
    Settled,
    Undone,
}

const KINDS: [(&str, Kind); 4] = [
    ("good", Kind::Good),
    ("probation", Kind::Probation),
    ("settled", Kind::Settled),
    ("undone", Kind::Undone),
];

impl State {
    /// What one step makes of it. An error if it can't follow.
    fn turn(&mut self, kind: Kind, number: u64, hash: &str, after: Option<Kept>) -> Result<(), &'static str> {
        match (kind, after) {
            (Kind::Good, Some(good)) => (self.good, self.probation) = (good, None),
            (Kind::Probation, Some(on)) => self.probation = Some(on),
            (Kind::Settled, _) => {
                let on = self.probation.take_if(|on| on.number == number && *on.hash() == *hash);
                self.good = on.ok_or("what it settles was not on probation")?;
            }
            (Kind::Undone, _) => {
                self.probation.take_if(|on| on.number == number);
                mark(&mut self.undone, (hash.into(), number));
            }
            _ => return Err("it holds no version"),
        }
        Ok(())
    }
}

/// Remembers what was undone: once, and not without end.
fn mark(undone: &mut Vec<Marked>, marked: Marked) {
    undone.retain(|(known, _)| *known != marked.0);
    undone.push(marked);
    let over = undone.len().saturating_sub(UNDONE);
    undone.drain(..over);
}

/// Passes text on, with its length and its sum.
struct Summed<'a> {
    to: Option<&'a mut dyn Write>,
    sum: Xxh3,
    bytes: u64,
}

impl<'a> Summed<'a> {
    fn new(to: Option<&'a mut dyn Write>) -> Summed<'a> {
        Summed { to, sum: Xxh3::new(), bytes: 0 }
    }
}

impl Write for Summed<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.sum.update(text.as_bytes());
        self.bytes += text.len() as u64;
        self.to.as_mut().map_or(Ok(()), |to| to.write_str(text))
    }
}

/// One step that is to be appended.
struct Sealed {
    head: String,
    body: Body,
    bytes: u64,
}

/// What leads to a version.
#[derive(Default)]
struct Body {
    file: Option<Arc<str>>,
    changes: Vec<Change>,
}

impl Body {
    fn between(from: &Kept, to: &Kept) -> Body {
        let file = (from.file != to.file).then(|| to.file.clone());
        Body { file, changes: from.content.changes_to(&to.content) }
    }
    fn write(&self, to: &mut dyn Write) -> fmt::Result {
        self.file.iter().try_for_each(|file| to.write_str(file))?;
        self.changes.chunks(TOGETHER).try_for_each(|some| {
            to.write_str(&write_step(&Step { base: None, hash: None, changes: some.to_vec() }))
        })
    }
}

/// The steps that lead from what stands on disk to what is to stand there.
pub struct Steps(Vec<Sealed>);

impl Steps {
    /// At the cost of the difference. None where steps can't lead there: then a whole version is written.
    pub fn between(from: &State, to: &State) -> Option<Steps> {
        let mut steps = Steps(Vec::new());
        let mut state = from.clone();
        if let Some(on) = state.probation.clone().filter(|on| *on == to.good) {
            steps.add(&mut state, Kind::Settled, on.number, &on.hash(), None)?;
        }
        for (hash, number) in to.undone.iter().filter(|marked| !from.undone.contains(marked)) {
            steps.add(&mut state, Kind::Undone, *number, hash, None)?;
        }
        if state.good != to.good {
            steps.add(&mut state, Kind::Good, to.good.number, &to.good.hash(), Some(to.good.clone()))?;
        }
        if let Some(on) = to.probation.as_ref().filter(|on| state.probation.as_ref() != Some(*on)) {
            steps.add(&mut state, Kind::Probation, on.number, &on.hash(), Some(on.clone()))?;
        }
        (state == *to).then_some(steps)
    }

    fn add(
        &mut self, state: &mut State, kind: Kind, number: u64, hash: &str, to: Option<Kept>,
    ) -> Option<()> {
        let body = to.as_ref().map_or(Body::default(), |to| Body::between(&state.good, to));
        let base = state.good.number;
        state.turn(kind, number, hash, to).ok()?;
        let word = KINDS.iter().find(|(_, known)| *known == kind).map_or("", |(word, _)| word);
        let mut summed = Summed::new(None);
        body.write(&mut summed).ok()?;
        let file = body.file.as_ref().map_or("-".to_string(), |file| file.len().to_string());
        let (bytes, sum) = (summed.bytes, summed.sum.digest());
        let mut head = format!("step {word} {number} {base} {hash} {file} {bytes} {sum:016x}");
        let sum = xxh3_64(head.as_bytes());
        writeln!(head, " {sum:016x}").ok()?;
        let bytes = bytes + head.len() as u64;
        self.0.push(Sealed { head, body, bytes });
        Some(())
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }
    /// There is nothing to append.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// How long they are, in bytes.
    pub fn bytes(&self) -> u64 {
        self.0.iter().map(|step| step.bytes).sum()
    }
    /// Writes them, one after the other.
    ///
    /// # Errors
    /// Only those of `to`.
    pub fn write(&self, to: &mut dyn Write) -> fmt::Result {
        self.0.iter().try_for_each(|step| to.write_str(&step.head).and_then(|()| step.body.write(to)))
    }
}

/// What stands on disk, and how long it is there.
#[derive(Clone, Debug)]
pub struct Standing {
    state: State,
    /// Bytes of the whole version, and of the steps after it.
    whole: u64,
    steps: u64,
}

impl Standing {
    /// The steps that are to be appended so that another state stands there. None where a whole version is to be
    /// written instead: steps can't lead there, or they would be longer together than the whole version, and than
    /// [`STEPS`]. So the file is at most twice as long as a whole version and what is on probation, and each byte of a
    /// whole version is written for at least one of a step.
    pub fn steps_to(&self, to: &State) -> Option<Steps> {
        let steps = Steps::between(&self.state, to)?;
        (self.steps + steps.bytes() <= self.whole.max(STEPS)).then_some(steps)
    }
    /// They were appended.
    pub fn with(self, to: State, steps: &Steps) -> Standing {
        Standing { state: to, whole: self.whole, steps: self.steps + steps.bytes() }
    }
}

/// Writes a whole file: the last good version in entries, then as a step what is on probation. Hands back what stands
/// there once that is synced and in its place.
///
/// # Errors
/// Only those of `to`.
pub fn write_whole(state: &State, to: &mut dyn Write) -> Result<Standing, fmt::Error> {
    let State { good, undone, .. } = state;
    let mut summed = Summed::new(Some(to));
    let mut head = format!("whole {} {} {} {}", good.number, good.hash(), undone.len(), good.file.len());
    let sum = xxh3_64(head.as_bytes());
    writeln!(head, " {sum:016x}")?;
    write!(summed, "{HEAD}{head}")?;
    undone.iter().try_for_each(|(hash, number)| writeln!(summed, "undone {hash} {number}"))?;
    summed.write_str(&good.file)?;
    write_configuration(&good.content, &mut summed)?;
    let (methods, tenants) = (good.content.count(Entry::Method), good.content.count(Entry::Tenant));
    let (sum, entries) = (summed.sum.digest(), 1 + methods + tenants);
    let end = format!("end {entries} {sum:016x}\n");
    let whole = summed.bytes + end.len() as u64;
    to.write_str(&end)?;
    let alone = State { probation: None, ..state.clone() };
    let steps = Steps::between(&alone, state).ok_or(fmt::Error)?;
    steps.write(to)?;
    Ok(Standing { state: state.clone(), whole, steps: steps.bytes() })
}

/// Why a file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// It does not begin as this file of the program does.
    #[error("it is no file of versions of this program")]
    Foreign,
    /// Its format has another number.
    #[error("it was written by another version of this program: {0:?}")]
    Other(String),
    #[error("its whole version is cut short or damaged: {0}")]
    Damaged(String),
    #[error("it can't be read: {0}")]
    Unread(String),
}

impl From<io::Error> for RecordFault {
    fn from(e: io::Error) -> RecordFault {
        RecordFault::Unread(e.to_string())
    }
}

/// A record that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Which one: the whole version is 0, the first step 1.
    pub record: u64,
    /// Where it begins, in bytes.
    pub at: u64,
    pub why: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record {} at byte {}: {}", self.record, self.at, self.why)
    }
}

/// What a file holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    pub state: State,
    /// Bytes up to the end of the last record that was taken up.
    pub whole: u64,
    /// Bytes of a torn tail that are left out.
    pub torn: u64,
    /// The first record that can't be used though whole ones follow. Nothing after it is taken up.
    pub damaged: Option<Damage>,
}

/// Counts what is read.
struct Lines<R> {
    from: R,
    at: u64,
}

impl<R: BufRead> Lines<R> {
    /// The next line with its end, of so many bytes at most; empty at the end.
    fn next(&mut self, most: u64, line: &mut Vec<u8>) -> io::Result<()> {
        line.clear();
        (&mut self.from).take(most.min(LINE)).read_until(b'\n', line)?;
        self.at += line.len() as u64;
        Ok(())
    }
    /// So many bytes as text, or fewer at the end.
    fn text(&mut self, bytes: u64) -> io::Result<Vec<u8>> {
        let mut text = Vec::new();
        (&mut self.from).take(bytes).read_to_end(&mut text)?;
        self.at += text.len() as u64;
        Ok(text)
    }
}

/// Entries that are taken in, their text a piece at a time; after a mistake nothing more is, and it is kept.
struct Taking {
    content: Result<Configuration, String>,
    piece: Vec<u8>,
    /// Of a step, which is taken whole or not at all.
    changes: Option<Vec<Change>>,
}

impl Taking {
    /// A whole version: each entry is put, so that pieces can go in one after the other.
    fn whole() -> Taking {
        Taking {
            content: Ok(Configuration::new(GlobalSettings::default())),
            piece: Vec::new(),
            changes: None,
        }
    }
    /// A step.
    fn onto(content: Configuration) -> Taking {
        Taking { content: Ok(content), piece: Vec::new(), changes: Some(Vec::new()) }
    }
    fn line(&mut self, line: &[u8]) {
        self.piece.extend_from_slice(line);
        if self.piece.len() >= PIECE {
            self.take();
        }
    }
    fn take(&mut self) {
        if let Ok(content) = &self.content {
            let read = std::str::from_utf8(&self.piece).map_err(|e| e.to_string());
            let read = read.and_then(|text| read_step(text, content).map_err(|e| e.to_string()));
            let taken = match (read, &mut self.changes) {
                (Ok(step), None) => Some(content.apply(&step.changes).map_err(|refused| refused.to_string())),
                (Ok(step), Some(changes)) if changes.len() + step.changes.len() <= MAX_CHANGES => {
                    changes.extend(step.changes);
                    None
                }
                (Ok(_), Some(_)) => Some(Err(StepError::TooManyChanges.to_string())),
                (Err(why), _) => Some(Err(why)),
            };
            self.content = taken.unwrap_or_else(|| self.content.clone());
        }
        self.piece.clear();
    }
    fn end(mut self) -> Result<Configuration, String> {
        self.take();
        let changes = self.changes.unwrap_or_default();
        self.content?.apply(&changes).map_err(|refused| refused.to_string())
    }
}

/// The words of a head, if its sum is right.
fn head<const N: usize>(line: &[u8]) -> Option<[&str; N]> {
    let (text, sum) = std::str::from_utf8(line).ok()?.strip_suffix('\n')?.rsplit_once(' ')?;
    (sum == format!("{:016x}", xxh3_64(text.as_bytes()))).then_some(())?;
    let mut words = text.split(' ');
    let mut all = [""; N];
    for word in &mut all {
        *word = words.next()?;
    }
    words.next().is_none().then_some(all)
}

/// The head of a step.
struct Said {
    kind: Kind,
    number: u64,
    base: u64,
    hash: Hash,
    file: Option<u64>,
    bytes: u64,
    sum: u64,
}

impl Said {
    fn read(line: &[u8]) -> Option<Said> {
        let ["step", kind, number, base, hash, file, bytes, sum] = head::<8>(line)? else { return None };
        Some(Said {
            kind: KINDS.iter().find(|(word, _)| *word == kind)?.1,
            number: number.parse().ok()?,
            base: base.parse().ok()?,
            hash: hash.into(),
            file: if file == "-" { None } else { Some(file.parse().ok()?) },
            bytes: bytes.parse().ok()?,
            sum: u64::from_str_radix(sum, 16).ok()?,
        })
    }
    /// The same at the end of a line whose begin is of a record before it that lost its own end; and how long that is.
    fn find(line: &[u8]) -> Option<(usize, Said)> {
        let begins = |at: &usize| line.get(*at..).is_some_and(|rest| rest.starts_with(b"step "));
        let mut places = (line.len().saturating_sub(STEP)..line.len()).filter(begins);
        places.find_map(|at| Some((at, Said::read(line.get(at..)?)?)))
    }
}

/// Reads a file of versions, a line at a time: what is held at once is a version and 64 KiB of text.
///
/// # Errors
/// [`RecordFault`]: another program's, another format's, or one without a whole version at its begin.
pub fn recover(from: impl BufRead) -> Result<Recovered, RecordFault> {
    let mut lines = Lines { from, at: 0 };
    let good = Whole::read(&mut lines)?;
    let mut found = Recovered {
        state: State { good: good.0, probation: None, undone: good.1 },
        whole: lines.at,
        torn: 0,
        damaged: None,
    };
    // What can't be used, until a whole record follows it: then it is no torn tail.
    let mut bad: Option<Damage> = None;
    // After a damaged record: what was on probation last, and has not ended.
    let mut open: Option<Marked> = None;
    let (mut line, mut record) = (Vec::new(), 0);
    loop {
        let at = lines.at;
        lines.next(LINE, &mut line)?;
        if line.is_empty() {
            break;
        }
        let read = Said::find(&line);
        let begin = read.as_ref().map_or(line.len(), |(begin, _)| *begin);
        if begin > 0 {
            record += u64::from(bad.is_none());
            bad = bad.or(Some(Damage { record, at, why: "its first line is damaged".into() }));
        }
        let Some((_, said)) = read else { continue };
        let at = at + begin as u64;
        record += 1;
        let read = step(&mut lines, &said, &found.state.good)?;
        // Whole as it was written, whether it can follow or not.
        if read.sealed {
            found.damaged = found.damaged.or(bad.take());
        }
        if found.damaged.is_some() || bad.is_some() {
            if read.sealed {
                note(&mut found.state, &mut open, &said);
            }
            continue;
        }
        let state = &mut found.state;
        let turned = read
            .version
            .and_then(|to| state.turn(said.kind, said.number, &said.hash, to).map_err(str::to_string));
        match turned {
            Ok(()) => found.whole = lines.at,
            Err(why) if read.sealed => {
                found.damaged = Some(Damage { record, at, why });
                note(&mut found.state, &mut open, &said);
            }
            Err(why) => bad = Some(Damage { record, at, why }),
        }
    }
    open.into_iter().for_each(|marked| mark(&mut found.state.undone, marked));
    if found.damaged.is_none() {
        found.torn = lines.at - found.whole;
    }
    Ok(found)
}

/// Takes what a step after a damaged one says of hashes: what it was made from is missing.
fn note(state: &mut State, open: &mut Option<Marked>, said: &Said) {
    match said.kind {
        Kind::Probation => *open = Some((said.hash.clone(), said.number)),
        Kind::Good | Kind::Settled => *open = None,
        Kind::Undone => {
            open.take_if(|(hash, _)| *hash == said.hash);
            mark(&mut state.undone, (said.hash.clone(), said.number));
        }
    }
}

/// A step as it was read.
struct Came {
    /// All of it is there, as it was written.
    sealed: bool,
    /// The version that it leads to, if its kind has one.
    version: Result<Option<Kept>, String>,
}

fn step(lines: &mut Lines<impl BufRead>, said: &Said, good: &Kept) -> io::Result<Came> {
    let mut sum = Xxh3::new();
    let mut left = said.bytes;
    let file = match said.file {
        Some(bytes) => {
            let text = lines.text(bytes.min(left).min(FILE))?;
            sum.update(&text);
            left -= text.len() as u64;
            Some(text)
        }
        None => None,
    };
    let mut taking = Taking::onto(good.content.clone());
    let mut line = Vec::new();
    while left > 0 {
        lines.next(left, &mut line)?;
        if line.is_empty() {
            return Ok(Came { sealed: false, version: Err("it is cut short".into()) });
        }
        sum.update(&line);
        left -= line.len() as u64;
        taking.line(&line);
    }
    if sum.digest() != said.sum {
        return Ok(Came { sealed: false, version: Err("its body is damaged".into()) });
    }
    if matches!(said.kind, Kind::Settled | Kind::Undone) {
        return Ok(Came { sealed: true, version: Ok(None) });
    }
    let version = || -> Result<Option<Kept>, String> {
        if said.base != good.number {
            return Err(format!("its base, version {}, is missing", said.base));
        }
        let file = match file {
            Some(text) => String::from_utf8(text).map_err(|e| e.to_string())?.into(),
            None => good.file.clone(),
        };
        let kept = Kept { number: said.number, content: taking.end()?, file };
        let hash = kept.hash();
        if hash != said.hash {
            return Err(format!("it leads to {hash}, not to {}", said.hash));
        }
        Ok(Some(kept))
    };
    Ok(Came { sealed: true, version: version() })
}

/// The whole version at the begin of a file, and what was undone.
struct Whole(Kept, Vec<Marked>);

impl Whole {
    fn read(lines: &mut Lines<impl BufRead>) -> Result<Whole, RecordFault> {
        let damaged = |why: &str| RecordFault::Damaged(why.into());
        let (mut sum, mut line) = (Xxh3::new(), Vec::new());
        lines.next(LINE, &mut line)?;
        if line != HEAD.as_bytes() {
            let text = String::from_utf8_lossy(&line);
            return Err(if HEAD.as_bytes().starts_with(&line) {
                damaged("it ends in its first line")
            } else if text.starts_with(BEGINS) && line.len() < BEGINS.len() + 20 {
                RecordFault::Other(text.trim_end().into())
            } else {
                RecordFault::Foreign
            });
        }
        sum.update(&line);
        lines.next(LINE, &mut line)?;
        sum.update(&line);
        let words = head::<5>(&line).filter(|words| words[0] == "whole");
        let [_, number, hash, undone, file] = words.ok_or_else(|| damaged("its second line"))?;
        let parse = |word: &str| word.parse::<u64>().map_err(|e| damaged(&e.to_string()));
        let (number, count, bytes, hash) = (parse(number)?, parse(undone)?, parse(file)?, Hash::from(hash));
        let mut undone = Vec::new();
        for _ in 0..count.min(UNDONE as u64) {
            lines.next(LINE, &mut line)?;
            sum.update(&line);
            let text = std::str::from_utf8(&line).ok().and_then(|text| text.strip_suffix('\n'));
            let words = text.and_then(|text| text.strip_prefix("undone ")?.split_once(' '));
            let (hash, number) = words.ok_or_else(|| damaged("a line of what was undone"))?;
            undone.push((Hash::from(hash), parse(number)?));
        }
        let file = lines.text(bytes.min(FILE))?;
        sum.update(&file);
        let file = String::from_utf8(file).map_err(|e| damaged(&e.to_string()))?;
        let (mut taking, mut entries) = (Taking::whole(), 0_u64);
        loop {
            lines.next(LINE, &mut line)?;
            if line.is_empty() {
                return Err(damaged("it has no end"));
            }
            if line.starts_with(b"end ") {
                break;
            }
            sum.update(&line);
            taking.line(&line);
            entries += 1;
        }
        if line != format!("end {entries} {:016x}\n", sum.digest()).as_bytes() {
            return Err(damaged("its sum is another"));
        }
        let content = taking.end().map_err(RecordFault::Damaged)?;
        let kept = Kept { number, content, file: file.into() };
        if kept.hash() != hash {
            return Err(damaged("its entries have another hash"));
        }
        Ok(Whole(kept, undone))
    }
}

/// What a process starts with.
#[derive(Clone, Debug, PartialEq)]
pub enum Start {
    /// What it was told, under this number.
    Told { number: u64, undone: Vec<Marked> },
    /// The last good version: what it was told was on probation when the process before ended, or had been undone.
    Good { good: Kept, undone: Vec<Marked>, why: &'static str },
}

/// Decides it, from the hash of what the process was told and what stands on disk.
pub fn start_with(told: &str, found: Option<State>) -> Start {
    let Some(State { good, probation, mut undone }) = found else {
        // Without a good version there is nothing to go back to.
        return Start::Told { number: 1, undone: Vec::new() };
    };
    if *good.hash() == *told {
        return Start::Told { number: good.number, undone };
    }
    if undone.iter().any(|(known, _)| **known == *told) {
        return Start::Good { good, undone, why: "what was told had been undone" };
    }
    if let Some(on) = probation.filter(|on| on.number != good.number && *on.hash() == *told) {
        mark(&mut undone, (on.hash(), on.number));
        return Start::Good { good, undone, why: "what was told was on probation" };
    }
    Start::Told { number: good.number + 1, undone }
}
