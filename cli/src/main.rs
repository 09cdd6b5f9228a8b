//! `asterrill`: checks and compares configurations, and changes that of a running `asterrilld` over its control
//! socket. Exit codes: 0 done; 1 the answer is no (a mistake, a refusal, a difference); 2 the arguments; 3 nobody
//! answered.

use asterrill_entries::{read_step, Change, Configuration, EntryKind, Step};
use asterrill_rollout::{check, difference, ObservedLoad, Problem};
use clap::{CommandFactory, Parser, Subcommand};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(10);
const ANSWER: u64 = 1 << 20; // bytes of an answer

#[derive(Parser)]
#[command(name = "asterrill", version, about = "The operators' command line of asterrilld")]
struct Arguments {
    #[command(subcommand)]
    to_do: ToDo,
    /// One JSON object instead of lines
    #[arg(long, global = true)]
    json: bool,
    /// The control socket, as [changes] control names it
    #[arg(long, global = true, env = "ASTERRILL_SOCKET", value_name = "PATH")]
    socket: Option<PathBuf>,
}

#[derive(Subcommand)]
enum ToDo {
    /// Check a file by itself: a configuration in JSON, or an operator's file
    Check { file: PathBuf },
    /// What changes from one configuration to another, or by a step of entries, by meaning; exit code 1 if anything does
    Diff {
        /// A configuration; or, where nothing follows, what is compared with what the backend runs
        old: PathBuf,
        /// A configuration, or a step: a file with one entry a line, or -
        new: Option<PathBuf>,
    },
    /// Hand a file in, or a step of entries: it is checked against what runs, and has no effect yet
    Stage {
        /// A configuration, an operator's file, or a step: a file with one entry a line, or -
        file: PathBuf,
        /// The version that it was made from
        #[arg(long)]
        base: Option<u64>,
        /// Take it although it is risky, or was undone before
        #[arg(long)]
        force: bool,
        /// Wait behind a version on probation instead of being refused
        #[arg(long)]
        queue: bool,
    },
    /// Let the staged version run, on probation; with a file, that is handed in first
    Apply {
        /// As for stage
        file: Option<PathBuf>,
        /// Take it although it is risky, or was undone before
        #[arg(long, requires = "file")]
        force: bool,
        /// Only if this version runs
        #[arg(long)]
        if_base: Option<u64>,
        /// How long it is watched, such as 30s or 5m
        #[arg(long, value_parser = span)]
        probation: Option<u64>,
    },
    /// What runs, is staged, and is on probation
    Status,
    /// The version on probation is good
    Settle,
    /// Go back to the version before the one on probation
    Undo,
    /// Forget what is staged
    Drop,
    /// What happened to versions, the newest last
    History,
    /// The others, as the backend knows them: its view, and each member
    Members,
    /// What the backends have agreed on, and how far this one is with it
    Fleet {
        #[command(subcommand)]
        to_do: OfFleet,
    },
    /// Lists of tenants, callers and methods on which the backends agree
    List {
        #[command(subcommand)]
        to_do: OfList,
    },
    /// Print a completion script for a shell
    Completion { shell: clap_complete::Shell },
    /// Print the manual page
    Man,
}

#[derive(Subcommand)]
enum OfFleet {
    /// The version acted on, its form, the lease, and the last versions
    Status,
    /// Back to what an earlier version said, as a new one; exit code 1 refused, 4 no majority
    Undo {
        to: u64,
        /// Only if this version is the newest
        #[arg(long)]
        base: Option<u64>,
    },
}

/// tenants, callers or methods
#[derive(Subcommand)]
enum OfList {
    /// Its entries
    Show { list: String },
    /// Let a key in, or with --out bar it
    Add {
        list: String,
        key: String,
        #[arg(long)]
        out: bool,
        /// Until when, such as 10m; without it for good
        #[arg(long, value_parser = span)]
        hold: Option<u64>,
        /// Only if this version is the newest
        #[arg(long)]
        base: Option<u64>,
    },
    /// Take a key off
    Remove { list: String, key: String },
    /// Lines of KEY in or KEY out, a thousand to a version
    Import { list: String, file: PathBuf },
}

fn unix_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}

/// One change of a list, or many.
fn change(socket: Option<&Path>, list: &str, base: Option<u64>, entries: &[Value]) -> Answer {
    let mut answer =
        ask(socket, json!({"do": "list-change", "list": list, "base": base, "entries": entries}));
    if answer.told["kind"] == json!("no majority") {
        answer.code = 4;
    }
    answer
}

/// Reads lines of a file, and hands them in a thousand at a time.
fn import(socket: Option<&Path>, list: &str, file: &Path) -> Result<Answer, Answer> {
    let mut rows = Vec::new();
    for (n, line) in text(file)?.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let (key, standing) = line.trim().rsplit_once(' ').unwrap_or((line, ""));
        if !["in", "out"].contains(&standing) {
            return Err(no(format!("{}:{}: a line is KEY in or KEY out", file.display(), n + 1)));
        }
        rows.push(json!({"key": key.trim(), "standing": standing}));
    }
    let mut last = no("the file has no line");
    for some in rows.chunks(1_000) {
        last = change(socket, list, None, some);
        if last.code != 0 {
            break;
        }
    }
    Ok(last)
}

/// A time with its unit, in microseconds.
fn span(text: &str) -> Result<u64, String> {
    let at = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(at);
    let factor = match unit {
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        _ => return Err("a time has a unit: ms, s, m or h, such as 30s".into()),
    };
    let number: u64 = number.parse().map_err(|_| "a time is a whole number with a unit, such as 30s")?;
    number.checked_mul(factor).ok_or_else(|| "the time is too long".into())
}

/// What came of it: an answer, and whether it is a yes.
struct Answer {
    told: Value,
    code: u8,
}

fn yes(told: Value) -> Answer {
    let code = u8::from(told["ok"] != json!(true));
    Answer { told, code }
}
fn no(why: impl Into<String>) -> Answer {
    Answer { told: json!({"ok": false, "error": why.into()}), code: 1 }
}

/// The text of a file, or of the standard input.
fn text(file: &Path) -> Result<String, Answer> {
    let read = if file.as_os_str() == "-" {
        let mut text = String::new();
        std::io::stdin().lock().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    read.map_err(|e| no(format!("{}: {e}", file.display())))
}

const ENTRY: usize = 1 << 20; // bytes of a step's line at the most

/// Whether a text is a step: its first line is a JSON object that puts, takes, gives a frame, or says what it was made
/// from. That of a configuration names none of these at its top.
fn is_step(text: &str) -> bool {
    let first = text.trim_start().lines().next().filter(|line| line.starts_with('{') && line.len() <= ENTRY);
    let first = first.and_then(|line| serde_json::from_str::<Value>(line).ok());
    first.is_some_and(|line| {
        ["put", "take", "frame", "base", "hash"].iter().any(|key| line.get(key).is_some())
    })
}

/// What a request hands in: a step, or a file's whole text.
fn handed(file: &Path, mut request: Value) -> Result<Value, Answer> {
    let text = text(file)?;
    request[if is_step(&text) { "step" } else { "text" }] = json!(text);
    Ok(request)
}

/// The entries of a configuration in JSON.
fn entries(file: &Path, text: &str) -> Result<Configuration, Answer> {
    let read = asterrill_settings::Deployment::from_reader(text.as_bytes(), None);
    read.map(|deployment| deployment.configuration)
        .map_err(|fault| no(format!("{}: {fault}", file.display())))
}

/// What a step makes of a version.
fn step(file: &Path, text: &str, on: &Configuration) -> Result<Vec<Change>, Answer> {
    let named = |why: String| no(format!("{}: {why}", file.display()));
    let Step { hash, changes, .. } = read_step(text, on).map_err(|fault| named(fault.to_string()))?;
    if let Some(hash) = hash.filter(|hash| *hash != on.digest()) {
        return Err(named(format!("it was made from hash {hash}, not from {}", on.digest())));
    }
    let after = on.apply(&changes).map_err(|refused| named(refused.to_string()))?;
    Ok(on.changes_to(&after))
}

fn check_file(file: &Path) -> Result<Answer, Answer> {
    let content = text(file)?;
    if !content.trim_start().starts_with('{') {
        let parsed = asterrill_operator_config::parse(&file.display().to_string(), &content);
        let parsed = parsed.map_err(|mistake| no(mistake.to_string()))?;
        let queues = parsed.broker.map_or(0, |broker| broker.queues.len());
        return Ok(yes(json!({"ok": true, "kind": "operator's file", "queues": queues})));
    }
    if is_step(&content) {
        return Err(no(format!("{}: a step is checked against what it changes: diff", file.display())));
    }
    let content = entries(file, &content)?;
    // Against itself, as nothing runs here: only what is wrong by itself shows.
    let all = Configuration::new(content.globals().as_ref().clone()).changes_to(&content);
    let problems = check(&content, &content, &all, &ObservedLoad::default(), f64::INFINITY);
    let shown: Vec<String> = problems.iter().map(Problem::to_string).collect();
    let [methods, tenants] = [EntryKind::Method, EntryKind::Tenant].map(|kind| content.count(kind));
    Ok(yes(json!({"ok": shown.is_empty(), "kind": "configuration", "methods": methods, "tenants": tenants,
        "hash": content.digest().to_string(), "problems": shown})))
}

/// What changes from one file to another.
fn compare(old: &Path, new: &Path) -> Result<Answer, Answer> {
    let (from, to) = (entries(old, &text(old)?)?, text(new)?);
    let changes = if is_step(&to) { step(new, &to, &from)? } else { from.changes_to(&entries(new, &to)?) };
    let code = u8::from(!changes.is_empty());
    let mut lines = difference(&from, &changes);
    if lines.is_empty() && code > 0 {
        lines.push("figures of the frame that are not listed".into());
    }
    Ok(Answer { told: json!({"ok": true, "changes": lines, "entries": changes.len()}), code })
}

/// Hands a file in and lets it run. What is not taken up is not left staged.
fn apply(
    socket: Option<&Path>, file: &Path, force: bool, if_base: Option<u64>, probation: Option<u64>,
) -> Result<Answer, Answer> {
    let stage = handed(file, json!({"do": "stage", "base": if_base, "force": force, "queue": false}))?;
    let mut staged = ask(socket, stage);
    if staged.code != 0 {
        return Ok(staged);
    }
    let applied = ask(socket, json!({"do": "apply", "if_base": if_base, "probation_us": probation}));
    if applied.code != 0 {
        ask(socket, json!({"do": "drop"}));
        return Ok(applied);
    }
    for (name, value) in applied.told.as_object().into_iter().flatten() {
        staged.told[name] = value.clone();
    }
    Ok(staged)
}

/// Asks the daemon one thing.
fn ask(socket: Option<&Path>, mut request: Value) -> Answer {
    request["v"] = json!(1);
    let Some(path) = socket else {
        return Answer { told: json!({"ok": false, "error": "name the control socket: --socket"}), code: 2 };
    };
    let exchange = || -> std::io::Result<String> {
        let mut stream = UnixStream::connect(path)?;
        stream.set_read_timeout(Some(WITHIN))?;
        stream.set_write_timeout(Some(WITHIN))?;
        // What is refused before it was read whole is answered all the same.
        let written = stream.write_all(format!("{request}\n").as_bytes());
        let mut line = String::new();
        let read = BufReader::new(stream).take(ANSWER).read_line(&mut line);
        if line.is_empty() {
            written?;
        }
        read.map(|_| line)
    };
    let told = exchange().map_err(|e| e.to_string());
    match told
        .and_then(|line| serde_json::from_str(&line).map_err(|_| "it said nothing that makes sense".into()))
    {
        Ok(told) => yes(told),
        Err(why) => {
            let error = format!("{}: {why}", path.display());
            Answer { told: json!({"ok": false, "error": error}), code: 3 }
        }
    }
}

fn run(arguments: &Arguments) -> Result<Answer, Answer> {
    let ask = |request| Ok(ask(arguments.socket.as_deref(), request));
    match &arguments.to_do {
        ToDo::Check { file } => check_file(file),
        ToDo::Diff { old, new: Some(new) } => {
            let mut answer = compare(old, new)?;
            if !arguments.json {
                answer.told.as_object_mut().into_iter().for_each(|told| drop(told.remove("entries")));
            }
            Ok(answer)
        }
        ToDo::Diff { old: file, new: None } => {
            let mut answer = ask(handed(file, json!({"do": "diff"}))?)?;
            if answer.code == 0 && answer.told["entries"] != json!(0) {
                answer.code = 1;
            }
            Ok(answer)
        }
        ToDo::Stage { file, base, force, queue } => {
            ask(handed(file, json!({"do": "stage", "base": base, "force": force, "queue": queue}))?)
        }
        ToDo::Apply { file: Some(file), force, if_base, probation } => {
            apply(arguments.socket.as_deref(), file, *force, *if_base, *probation)
        }
        ToDo::Apply { file: None, if_base, probation, .. } => {
            ask(json!({"do": "apply", "if_base": if_base, "probation_us": probation}))
        }
        ToDo::Status => ask(json!({"do": "status"})),
        ToDo::Settle => ask(json!({"do": "settle"})),
        ToDo::Undo => ask(json!({"do": "undo"})),
        ToDo::Drop => ask(json!({"do": "drop"})),
        ToDo::History => ask(json!({"do": "history"})),
        ToDo::Members => ask(json!({"do": "members"})),
        ToDo::Fleet { to_do: OfFleet::Status } => ask(json!({"do": "fleet"})),
        ToDo::Fleet { to_do: OfFleet::Undo { to, base } } => {
            let mut answer = ask(json!({"do": "fleet-undo", "to": to, "base": base}))?;
            if answer.told["kind"] == json!("no majority") {
                answer.code = 4;
            }
            Ok(answer)
        }
        ToDo::List { to_do } => {
            let socket = arguments.socket.as_deref();
            match to_do {
                OfList::Show { list } => ask(json!({"do": "list", "list": list})),
                OfList::Add { list, key, out, hold, base } => {
                    let standing = if *out { "out" } else { "in" };
                    let until = hold.map_or(0, |hold| unix_us() + hold);
                    let row = json!({"key": key, "standing": standing, "until": until});
                    Ok(change(socket, list, *base, &[row]))
                }
                OfList::Remove { list, key } => {
                    Ok(change(socket, list, None, &[json!({"key": key, "standing": "none"})]))
                }
                OfList::Import { list, file } => import(socket, list, file),
            }
        }
        ToDo::Completion { .. } | ToDo::Man => Ok(yes(json!({"ok": true}))),
    }
}

/// A member in a line.
fn member(of: &serde_json::Map<String, Value>) -> String {
    let word = |name: &str| match of.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".into(),
        Some(value) => value.to_string(),
    };
    let (name, at, standing, trip) = (word("name"), word("at"), word("standing"), word("round_trip_us"));
    let (since, heard, start) = (word("since_ms"), word("heard_ms"), word("start"));
    let (turn, why) = (word("incarnation"), word("why"));
    let flaps = if of.get("flaps") == Some(&json!(true)) { " flaps" } else { "" };
    format!(
        "{name:20} {at:21} {standing:8} since {since} ms, heard {heard} ms ago, round trip {trip} us, start {start}.{turn}{flaps} {why}"
    )
}

/// An answer in lines for people.
fn show(told: &Value) -> String {
    let word = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
    let mut lines = String::new();
    for (name, value) in told.as_object().into_iter().flatten().filter(|(name, _)| *name != "ok") {
        match value {
            Value::Null => {}
            Value::Array(all) => {
                for one in all {
                    let one = match one.as_object() {
                        Some(o) if o.contains_key("standing") => member(o),
                        Some(o) => format!(
                            "{:8} version {} (of {}): {}",
                            word(&o["what"]),
                            word(&o["version"]),
                            word(&o["base"]),
                            word(&o["why"])
                        ),
                        None => word(one),
                    };
                    lines.push_str(&format!("{one}\n"));
                }
            }
            Value::Object(all) => {
                let all: Vec<String> =
                    all.iter().map(|(name, value)| format!("{name}={}", word(value))).collect();
                lines.push_str(&format!("{name}: {}\n", all.join(" ")));
            }
            value => lines.push_str(&format!("{name}: {}\n", word(value))),
        }
    }
    lines
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match &arguments.to_do {
        ToDo::Completion { shell } => {
            clap_complete::generate(*shell, &mut Arguments::command(), "asterrill", &mut std::io::stdout());
            return ExitCode::SUCCESS;
        }
        ToDo::Man => {
            let written = clap_mangen::Man::new(Arguments::command()).render(&mut std::io::stdout());
            return if written.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
        }
        _ => {}
    }
    let answer = run(&arguments).unwrap_or_else(|answer| answer);
    if arguments.json {
        println!("{}", answer.told);
    } else if answer.told["ok"] == json!(true) {
        print!("{}", show(&answer.told));
    } else {
        eprint!("{}", show(&answer.told));
    }
    ExitCode::from(answer.code)
}
