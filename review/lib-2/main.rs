//! Cases of the second review. One program plays them all: `cases NAME ROOT FOLDER`.
//!
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not be played.

mod agent;
mod broker;
mod case_aside;
mod case_calls;
mod case_reply;
mod case_route;
mod case_window;
mod harness;
mod records;
mod settings;
mod sidecar;

use harness::Record;
use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder] = &arguments[..] else {
        eprintln!("arguments: NAME ROOT FOLDER");
        std::process::exit(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(folder.join("record.txt"));
    record.add(format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = match name.as_str() {
        "aside" => case_aside::play(&root, &record, trouble),
        "reply" => case_reply::play(&root, &record, trouble),
        "route" => case_route::play(&root, &record, trouble),
        "window" => case_window::play(&root, &record, trouble),
        "calls" => case_calls::play(&root, &record, trouble),
        other => Err(format!("no case {other}")),
    };
    let code = match result {
        Ok(true) => {
            record.say("RULE BROKEN");
            1
        }
        Ok(false) => {
            record.say("the rule held");
            0
        }
        Err(why) => {
            record.say(format!("the case could not be played: {why}"));
            2
        }
    };
    record.say(format!("took {} s", record.elapsed().as_secs()));
    record.write();
    std::process::exit(code);
}
