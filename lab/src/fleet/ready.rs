//! `fleet-ready`: many processes are killed and start again at once, a quarter each with what they had persisted, without
//! it, with it torn, and with a full disk; a sixth of their agents come up late.

use super::cluster::{Fleet, Member};
use super::fault_script::StateFault;
use super::naming::Naming;
use super::single_call::is_healthy_by;
use super::small_fleet::{member_setup, start_fleet};
use super::workload::{methods, COLD};
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use crate::time::ms;
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const READY_WITHIN: Duration = Duration::from_secs(10); // of its start nine in ten are ready
const NEVER: Duration = Duration::from_secs(30); // one that takes longer is not ready at all
const AGENT_DELAY: Duration = Duration::from_secs(2); // an agent that comes up late does so after this
const SNAPSHOTS_WRITTEN: Duration = ms(1_500);
const SOCKETS: u64 = 512;
const CALLERS: usize = 4;

/// Plays it.
pub fn ready(report: &mut Report, nodes: usize) -> Result<(), ScenarioError> {
    let file = "[changes]\ncontrol {dir}/control\nstate {dir}/state\n[recovery]\nsnapshot 1s\n";
    let setup = member_setup(&methods(), SOCKETS, CALLERS);
    let mut fleet = start_fleet(nodes, Setup { operator_file: Some(file.into()), ..setup })?;
    fleet.wait_until_listed();
    thread::sleep(SNAPSHOTS_WRITTEN);
    let persisted = (0..nodes).filter(|n| fleet.state_dir(*n).join("learned").exists()).count();
    report.rule("a process had persisted nothing before the restart", persisted == nodes);
    for member in &mut fleet.members {
        member.node.kill();
        member.agent.restart_cold(COLD);
    }
    for n in 0..nodes {
        damage_state(&fleet, n)?;
        fleet.members[n].agent_proxy.hang(has_late_agent(n));
    }
    let ready_after = restart_all(&mut fleet)?;
    report_ready(report, &ready_after);
    report.rule("a process was left over", fleet.end() == 0);
    Ok(())
}

fn has_late_agent(n: usize) -> bool {
    n % 6 == 5
}

fn damage_state(fleet: &Fleet, n: usize) -> Result<(), ScenarioError> {
    match n % 4 {
        1 => std::fs::remove_dir_all(fleet.state_dir(n))?,
        2 => {
            let snapshot = fleet.state_dir(n).join("learned");
            let text = std::fs::read(&snapshot)?;
            std::fs::write(&snapshot, &text[..text.len() / 2])?;
        }
        3 => fleet.damage_state(n, &StateFault::Full)?,
        _ => {}
    }
    Ok(())
}

/// Starts all processes, and some agents later; how long each process took until it was ready, none if it never was.
fn restart_all(fleet: &mut Fleet) -> Result<Vec<Option<Duration>>, ScenarioError> {
    let start = Instant::now();
    for member in &mut fleet.members {
        member.node.restart()?;
    }
    let wait = |(n, member): (usize, &Member)| {
        let (at, naming) = (member.node.address, fleet.naming.clone());
        thread::spawn(move || wait_until_ready(n, at, &naming, start))
    };
    let waits: Vec<_> = fleet.members.iter().enumerate().map(wait).collect();
    thread::sleep(AGENT_DELAY.saturating_sub(start.elapsed()));
    fleet.members.iter().for_each(|member| member.agent_proxy.hang(false));
    Ok(waits.into_iter().map(|wait| wait.join().unwrap_or(None)).collect())
}

/// A process is ready once it is healthy and has reported that it takes work.
fn wait_until_ready(n: usize, at: SocketAddr, naming: &Naming, start: Instant) -> Option<Duration> {
    let healthy = is_healthy_by(at, start + NEVER);
    while healthy && Instant::now() < start + NEVER {
        if naming.reported(&format!("n{n}")).is_some_and(|reported| reported > start) {
            return Some(start.elapsed());
        }
        thread::sleep(ms(5));
    }
    None
}

fn report_ready(report: &mut Report, ready_after: &[Option<Duration>]) {
    let nodes = ready_after.len();
    let ms_of = |after: &Duration| after.as_millis() as u64;
    let mut all: Vec<u64> = ready_after.iter().flatten().map(ms_of).collect();
    all.sort_unstable();
    let within = all.iter().filter(|ms| **ms <= READY_WITHIN.as_millis() as u64).count();
    report.set("processes", nodes.into());
    report.set("ready", all.len().into());
    report.set("ready_within_10_s", within.into());
    let at = |part: f64| all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1)));
    report.set("ready_ms", json!({"median": at(0.5), "nine_in_ten": at(0.9), "most": at(1.0)}));
    let prompt = ready_after.iter().enumerate().filter(|(n, _)| !has_late_agent(*n));
    let slowest = prompt.filter_map(|(_, after)| after.as_ref().map(ms_of)).max();
    report.set("ready_ms_most_with_prompt_agents", json!(slowest));
    report.rule("nine in ten were not ready within 10 s", within * 10 >= nodes * 9);
    report.rule("a process was never ready", all.len() == nodes);
}
