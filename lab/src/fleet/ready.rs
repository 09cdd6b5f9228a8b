//! `fleet-ready`: many processes are killed and restarted at once. A quarter of them has intact persisted state, a
//! quarter none, a quarter a truncated snapshot, and a quarter a full disk. A sixth of the agents starts late.

use super::cluster::{Fleet, Member};
use super::fault_script::StateFault;
use super::name_service::NameService;
use super::single_call::is_healthy_by;
use super::small_fleet::{member_setup, start_fleet};
use super::workload::{methods, COLD_START};
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use crate::time::ms;
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Time after the restart within which nine in ten processes have to be ready.
const READY_BOUND: Duration = Duration::from_secs(10);
/// Time after the restart at which a process counts as never ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the restart at which late agents start.
const AGENT_DELAY: Duration = Duration::from_secs(2);
const SNAPSHOT_WAIT: Duration = ms(1_500);
const MAX_SOCKETS: u64 = 512;
const CALLERS: usize = 4;

/// Runs the scenario.
pub fn ready(report: &mut Report, nodes: usize) -> Result<(), ScenarioError> {
    let operator_file = "[changes]\ncontrol {dir}/control\nstate {dir}/state\n[recovery]\nsnapshot 1s\n";
    let setup = member_setup(&methods(), MAX_SOCKETS, CALLERS);
    let mut fleet = start_fleet(nodes, Setup { operator_file: Some(operator_file.into()), ..setup })?;
    fleet.wait_until_listed();
    thread::sleep(SNAPSHOT_WAIT);
    let persisted = (0..nodes).filter(|n| fleet.state_dir(*n).join("learned").exists()).count();
    report.rule("a process had not written a snapshot before the restart", persisted == nodes);
    for member in &mut fleet.members {
        member.node.kill();
        member.agent.restart_cold(COLD_START);
    }
    for n in 0..nodes {
        damage_state(&fleet, n)?;
        fleet.members[n].agent_proxy.set_stalled(has_late_agent(n));
    }
    let ready_after = restart_all(&mut fleet)?;
    report_ready(report, &ready_after);
    report.rule("a process was still running at the end", fleet.kill_all() == 0);
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
        3 => fleet.damage_state(n, &StateFault::DiskFull)?,
        _ => {}
    }
    Ok(())
}

/// Starts all processes, and the late agents after [`AGENT_DELAY`]. Returns the time until each process was ready;
/// `None` for one that was not ready in time.
fn restart_all(fleet: &mut Fleet) -> Result<Vec<Option<Duration>>, ScenarioError> {
    let start = Instant::now();
    for member in &mut fleet.members {
        member.node.restart()?;
    }
    let wait = |(n, member): (usize, &Member)| {
        let (address, name_service) = (member.node.address, fleet.name_service.clone());
        thread::spawn(move || wait_until_ready(n, address, &name_service, start))
    };
    let waits: Vec<_> = fleet.members.iter().enumerate().map(wait).collect();
    thread::sleep(AGENT_DELAY.saturating_sub(start.elapsed()));
    fleet.members.iter().for_each(|member| member.agent_proxy.set_stalled(false));
    Ok(waits.into_iter().map(|wait| wait.join().unwrap_or(None)).collect())
}

/// Returns the time until a process was ready: healthy, and reported to the name service as accepting RPCs.
fn wait_until_ready(
    n: usize, address: SocketAddr, name_service: &NameService, start: Instant,
) -> Option<Duration> {
    let healthy = is_healthy_by(address, start + READY_TIMEOUT);
    while healthy && Instant::now() < start + READY_TIMEOUT {
        if name_service.last_serving_report(&format!("n{n}")).is_some_and(|reported| reported > start) {
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
    let ready_in_bound = all.iter().filter(|ms| **ms <= READY_BOUND.as_millis() as u64).count();
    report.set("processes", nodes.into());
    report.set("ready", all.len().into());
    report.set("ready_within_10_s", ready_in_bound.into());
    let quantile =
        |share: f64| all.get(((all.len() as f64 * share) as usize).min(all.len().saturating_sub(1)));
    report.set(
        "ready_ms",
        json!({"median": quantile(0.5), "nine_in_ten": quantile(0.9), "most": quantile(1.0)}),
    );
    let with_prompt_agent = ready_after.iter().enumerate().filter(|(n, _)| !has_late_agent(*n));
    let slowest = with_prompt_agent.filter_map(|(_, after)| after.as_ref().map(ms_of)).max();
    report.set("ready_ms_most_with_prompt_agents", json!(slowest));
    report.rule("fewer than 90% of the processes were ready within 10 s", ready_in_bound * 10 >= nodes * 9);
    report.rule("a process was not ready within 30 s", all.len() == nodes);
}
