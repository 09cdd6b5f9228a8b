//! Changes applied to a dispatcher, including the pauses between two slices.

use super::*;
use crate::change::{
    prepare, ChangeDriver, ChangeRequest, ChangeSource, OperatorCommand, PreparedChange, Request,
    RolloutPolicy, SlicePause, StartVersion, VersionContent,
};
use crate::control_loop::yield_between_slices;
use crate::dispatcher::Dispatcher;
use crate::operator_requests::{PendingCommand, RequestHandler, RequestQueue};
use crate::shutdown::Shutdown;
use asterrill_net::{now, spawn, start_worker, Outbox};
use asterrill_rollout::{SimpleCommand, StageOptions, PROCESS_START};
use std::sync::Arc;

const POLICY: RolloutPolicy = RolloutPolicy { probation: 600_000 * MS, max_change_factor: 10.0 };

const CONFIRM: OperatorCommand = OperatorCommand::Simple(SimpleCommand::Confirm);
const ROLL_BACK: OperatorCommand = OperatorCommand::Simple(SimpleCommand::RollBack);
const STATUS: OperatorCommand = OperatorCommand::Simple(SimpleCommand::Status);

/// Executes a command and returns the reply as JSON.
fn execute(
    changes: &mut ChangeDriver, dispatcher: &Dispatcher, command: OperatorCommand, pause: &mut SlicePause<'_>,
) -> Value {
    changes.execute(dispatcher, command, pause).to_json()
}

/// Returns a configuration with the tenant acme and the tenants of the given numbers.
fn tenants(numbers: std::ops::Range<usize>) -> Configuration {
    with_tenants(
        &std::iter::once("acme".into()).chain(numbers.map(|n| format!("tenant {n}"))).collect::<Vec<_>>(),
    )
}

fn start_driver(start: &Configuration) -> (Arc<Dispatcher>, ChangeDriver) {
    let pool = BufferPool::new(500);
    let server = asterrill_settings::server_parts(now(), 1, start, None).unwrap();
    let core = Core::new(now(), server, BufferPool::new(500), 4);
    let agent = Outbox::new(&pool, 1 << 16);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let driver_log = log.clone();
    let dispatcher =
        Arc::new(Dispatcher::new(core, agent, Vec::new(), 8, u64::MAX, [pool, BufferPool::new(500)], log));
    dispatcher.with(|core, outbound, now| core.start(now, outbound));
    let content =
        VersionContent::new(start.clone(), asterrill_operator_config::OperatorConfig::default(), "");
    let files = content.hash();
    let start = StartVersion { content, number: 1, rolled_back: Vec::new(), reason: PROCESS_START, files };
    (dispatcher, ChangeDriver::new(start, POLICY, 1, None, &driver_log))
}

fn prepare_change(dispatcher: &Dispatcher, changes: &ChangeDriver, new: &Configuration) -> PreparedChange {
    let options = StageOptions { force: true, queue: false };
    let request = ChangeRequest { source: ChangeSource::Configuration(new.clone()), base: None, options };
    prepare(&changes.validation_context(dispatcher), request, POLICY, 1).unwrap()
}

fn has_tenant(dispatcher: &Dispatcher, tenant: &str) -> bool {
    dispatcher.with(|core, _, _| core.has_tenant(tenant))
}

#[test]
fn other_coroutines_run_between_slices_and_see_the_old_version_until_the_last() {
    let (start, new) = (tenants(0..1_000), tenants(500..1_500));
    let (dispatcher, mut changes) = start_driver(&start);
    let prepared = prepare_change(&dispatcher, &changes, &new);
    let mut pauses = 0;
    let mut pause = |dispatcher: &Dispatcher| {
        pauses += 1;
        assert!(
            has_tenant(dispatcher, "tenant 0")
                && !has_tenant(dispatcher, "tenant 1499")
                && dispatcher.with(|core, _, _| core.version()) == 1
        );
    };
    let staged = execute(&mut changes, &dispatcher, OperatorCommand::Stage(Box::new(prepared)), &mut pause);
    assert_eq!((&staged["ok"], &staged["entries"]), (&json!(true), &json!(1_000)));
    let applied = execute(
        &mut changes,
        &dispatcher,
        OperatorCommand::Apply { if_base: Some(1), probation: None },
        &mut pause,
    );
    assert_eq!(applied["ok"], json!(true), "{applied}");
    assert_eq!(pauses, 4, "pauses between five slices of 200 entries");
    assert!(
        !has_tenant(&dispatcher, "tenant 0")
            && has_tenant(&dispatcher, "tenant 1499")
            && has_tenant(&dispatcher, "tenant 700")
    );
    let mut pauses = 0;
    let rolled_back = execute(&mut changes, &dispatcher, ROLL_BACK, &mut |_| pauses += 1);
    assert_eq!((&rolled_back["ok"], pauses), (&json!(true), 4));
    assert!(has_tenant(&dispatcher, "tenant 0") && !has_tenant(&dispatcher, "tenant 1499"));
    assert_eq!(dispatcher.stats().half_applied, 0);
}

#[test]
fn reloaded_file_is_validated_again_if_another_version_was_applied() {
    let start = tenants(0..3);
    let (dispatcher, mut changes) = start_driver(&start);
    let mut file = sample_settings();
    file["Tenants"] = json!([{"Name": "acme", "QuotaRps": 500_000}, {"Name": "tenant 0", "QuotaRps": 1_000_000},
        {"Name": "tenant 1", "QuotaRps": 1_000_000}, {"Name": "tenant 2", "QuotaRps": 1_000_000}]);
    let outdated = prepare_change(&dispatcher, &changes, &configuration(&file));
    // Meanwhile a step is applied that adds a tenant missing from the file.
    let prepared = prepare_change(&dispatcher, &changes, &tenants(0..4));
    for command in [
        OperatorCommand::Stage(Box::new(prepared)),
        OperatorCommand::Apply { if_base: None, probation: None },
        CONFIRM,
    ] {
        assert_eq!(execute(&mut changes, &dispatcher, command, &mut |_| ())["ok"], json!(true));
    }
    assert!(has_tenant(&dispatcher, "tenant 3"));
    let unused = "127.0.0.1:1";
    let complete = json!({"name": "n1", "listen": unused, "agent": unused, "naming": unused, "seed": "1",
        "stop_ms": 900, "limits": {"memory_mb": 64, "sockets": 64}, "settings": file});
    let deployment = asterrill_settings::Deployment::from_json(&complete.to_string()).unwrap();
    changes.reload(&dispatcher, deployment, Some(Ok(outdated)), &mut |_| ());
    // Compared with the running version, the file removes a tenant. That is risky, so the whole change is rejected.
    let status = execute(&mut changes, &dispatcher, STATUS, &mut |_| ());
    assert_eq!(
        (&status["version"], &status["counters"]["changes_refused"]),
        (&json!(2), &json!(1)),
        "{status}"
    );
    assert!(has_tenant(&dispatcher, "tenant 3"));
}

#[test]
fn rejects_change_validated_against_a_replaced_version() {
    let (dispatcher, mut changes) = start_driver(&tenants(0..3));
    let late = prepare_change(&dispatcher, &changes, &tenants(0..5));
    let prepared = prepare_change(&dispatcher, &changes, &tenants(0..4));
    let apply = OperatorCommand::Apply { if_base: None, probation: None };
    for command in [OperatorCommand::Stage(Box::new(prepared)), apply, CONFIRM] {
        assert_eq!(execute(&mut changes, &dispatcher, command, &mut |_| ())["ok"], json!(true));
    }
    let reply = execute(&mut changes, &dispatcher, OperatorCommand::Stage(Box::new(late)), &mut |_| ());
    assert!(reply["error"].as_str().is_some_and(|why| why.contains("version 2 was applied")), "{reply}");
    assert_eq!(execute(&mut changes, &dispatcher, STATUS, &mut |_| ())["staged"], json!(null));
}

#[test]
fn change_is_validated_again_and_staged_if_another_version_was_applied() {
    let (dispatcher, mut changes) = start_driver(&tenants(0..3));
    let other = prepare_change(&dispatcher, &changes, &tenants(0..4));
    let queue = Arc::new(RequestQueue::default());
    let handler =
        RequestHandler { queue: queue.clone(), dispatcher: dispatcher.clone(), policy: POLICY, seed: 1 };
    let step = r#"{"put":"tenant","Name":"late","QuotaRps":7}"#;
    let operator = std::thread::spawn(move || {
        let source = ChangeSource::Step(step.into());
        let options = StageOptions { force: true, queue: false };
        handler.handle(Request::Stage(ChangeRequest { source, base: None, options }))
    });
    let until = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let mut concurrent = Some(other);
    while !operator.is_finished() && std::time::Instant::now() < until {
        let pending = queue.take();
        for reply_to in pending.context_requests {
            reply_to.try_send(changes.validation_context(&dispatcher)).unwrap();
            // Another version is applied as soon as the change has its validation context.
            let Some(prepared) = concurrent.take() else { continue };
            let apply = OperatorCommand::Apply { if_base: None, probation: None };
            for command in [OperatorCommand::Stage(Box::new(prepared)), apply, CONFIRM] {
                assert_eq!(execute(&mut changes, &dispatcher, command, &mut |_| ())["ok"], json!(true));
            }
        }
        for PendingCommand { command, reply_to } in pending.commands {
            reply_to.try_send(changes.execute(&dispatcher, command, &mut |_| ())).unwrap();
        }
    }
    let reply = operator.join().unwrap().to_json();
    assert_eq!((&reply["ok"], &reply["version"]), (&json!(true), &json!(3)), "{reply}");
}

#[test]
fn shutdown_begins_between_two_slices() {
    start_worker().unwrap();
    let (dispatcher, _) = start_driver(&tenants(0..3));
    let (sender, receiver) = std::sync::mpsc::channel();
    spawn("clock", move || {
        let queue = RequestQueue::default();
        let mut shutdown = Shutdown::new(None, None, 900 * MS);
        dispatcher.timer_wakeup.register();
        yield_between_slices(&dispatcher, &queue, &mut shutdown, false);
        let before = dispatcher.serving();
        queue.lock().shutdown = true;
        yield_between_slices(&dispatcher, &queue, &mut shutdown, false);
        let pending = queue.lock().shutdown;
        sender.send((before, dispatcher.serving(), shutdown.has_begun(), pending)).unwrap();
    })
    .unwrap();
    let (before, after, begun, pending) = receiver.recv_timeout(std::time::Duration::from_secs(10)).unwrap();
    assert!(before != Some(false) && after == Some(false) && begun);
    assert!(pending, "the request stays queued for the steps of the shutdown that follow the change");
}

/// Measures the duration of slices. Run with
/// `cargo test --release -p asterrill-daemon cost_of_slices -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn cost_of_slices_of_a_change_of_all_quotas_and_methods_and_of_its_rollback() {
    let version = |quota: u64, latency_target_ms: u64| {
        let mut settings = sample_settings();
        let method = |n: u64| json!({"Name": format!("method-{n:05}"), "AimMs": latency_target_ms, "DeadlineMs": 900, "Effect": "free", "Worth": 1});
        settings["Categories"] = (0..4_700).map(method).collect();
        let tenant = |n: u64| json!({"Name": format!("tenant-{n:05}"), "QuotaRps": quota});
        settings["Tenants"] = (0..49_000).map(tenant).collect();
        configuration(&settings)
    };
    let (start, new) = (version(100, 400), version(120, 500));
    let (dispatcher, mut changes) = start_driver(&start);
    let started = std::time::Instant::now();
    let prepared = prepare_change(&dispatcher, &changes, &new);
    let validation = started.elapsed();
    for round in 0..3 {
        let (last, mut longest) = (std::cell::Cell::new(None), std::time::Duration::ZERO);
        let mut pause = |_: &Dispatcher| {
            let now = std::time::Instant::now();
            let since: Option<std::time::Instant> = last.replace(Some(now));
            longest = longest.max(since.map_or(std::time::Duration::ZERO, |since| now - since));
        };
        let started = std::time::Instant::now();
        let reply = if round % 2 == 0 {
            let stage = OperatorCommand::Stage(Box::new(prepared.clone()));
            assert_eq!(execute(&mut changes, &dispatcher, stage, &mut pause)["ok"], json!(true));
            execute(
                &mut changes,
                &dispatcher,
                OperatorCommand::Apply { if_base: None, probation: None },
                &mut pause,
            )
        } else {
            execute(&mut changes, &dispatcher, ROLL_BACK, &mut pause)
        };
        assert_eq!(reply["ok"], json!(true), "{reply}");
        let (total, end) = (started.elapsed(), last.get().map(|last| last.elapsed()));
        println!("validation {validation:?}; total {total:?}, longest slice {longest:?}, last slice and switch {end:?}");
    }
}
