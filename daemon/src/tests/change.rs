//! Changes carried out at a dispatcher, with what comes between two slices of them.

use super::*;
use crate::change::{prepare, Asked, Changes, Content, Prepared, Terms, Wanted, What};
use crate::dispatcher::Dispatcher;
use asterrill_net::{now, spawn, start_worker, Outbox};
use asterrill_rollout::StageOptions;
use std::sync::Arc;

const TERMS: Terms = Terms { probation: 600_000 * MS, factor: 10.0 };

/// A version with so many guests beside acme.
fn guests(names: std::ops::Range<usize>) -> Entries {
    with_tenants(
        &std::iter::once("acme".into()).chain(names.map(|n| format!("guest {n}"))).collect::<Vec<_>>(),
    )
}

fn begin(start: &Entries) -> (Arc<Dispatcher>, Changes) {
    let pool = BufferPool::new(500);
    let server = asterrill_settings::server_parts(now(), 1, start, None).unwrap();
    let core = Core::new(now(), server, BufferPool::new(500), 4);
    let agent = Outbox::new(&pool, 1 << 16);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let dispatcher =
        Arc::new(Dispatcher::new(core, agent, Vec::new(), 8, u64::MAX, [pool, BufferPool::new(500)], log));
    dispatcher.with(|core, outbound, now| core.start(now, outbound));
    let content = Content::new(start.clone(), asterrill_operator_config::OperatorConfig::default(), "");
    (dispatcher, Changes::new(content, 1, Vec::new(), TERMS, 1, None))
}

fn read(dispatcher: &Dispatcher, changes: &Changes, to: &Entries) -> Prepared {
    let options = StageOptions { force: true, queue: false };
    let asked = Asked { what: What::Entries(to.clone()), base: None, options };
    prepare(&changes.glance(dispatcher), asked, TERMS, 1).unwrap()
}

fn knows(dispatcher: &Dispatcher, tenant: &str) -> bool {
    dispatcher.with(|core, _, _| core.knows_tenant(tenant))
}

#[test]
fn others_have_a_turn_between_slices_and_see_the_version_before_until_the_last_one_is_in() {
    let (start, to) = (guests(0..1_000), guests(500..1_500));
    let (dispatcher, mut changes) = begin(&start);
    let prepared = read(&dispatcher, &changes, &to);
    let mut turns = 0;
    let mut pause = |dispatcher: &Dispatcher| {
        turns += 1;
        assert!(
            knows(dispatcher, "guest 0")
                && !knows(dispatcher, "guest 1499")
                && dispatcher.with(|core, _, _| core.version()) == 1
        );
    };
    let staged = changes.want(&dispatcher, Wanted::Stage(Box::new(prepared)), &mut pause);
    assert_eq!((&staged["ok"], &staged["entries"]), (&json!(true), &json!(1_000)));
    let applied = changes.want(&dispatcher, Wanted::Apply { if_base: Some(1), probation: None }, &mut pause);
    assert_eq!(applied["ok"], json!(true), "{applied}");
    assert_eq!(turns, 4, "five slices of 200");
    assert!(
        !knows(&dispatcher, "guest 0") && knows(&dispatcher, "guest 1499") && knows(&dispatcher, "guest 700")
    );
    let mut turns = 0;
    let undone = changes.want(&dispatcher, Wanted::Undo, &mut |_| turns += 1);
    assert_eq!((&undone["ok"], turns), (&json!(true), 4));
    assert!(knows(&dispatcher, "guest 0") && !knows(&dispatcher, "guest 1499"));
    assert_eq!(dispatcher.stats().half_applied, 0);
}

#[test]
fn a_file_that_was_read_against_another_version_is_compared_anew() {
    let start = guests(0..3);
    let (dispatcher, mut changes) = begin(&start);
    let mut file = server();
    file["Tenants"] = json!([{"Name": "acme", "QuotaRps": 500_000}, {"Name": "guest 0", "QuotaRps": 1_000_000},
        {"Name": "guest 1", "QuotaRps": 1_000_000}, {"Name": "guest 2", "QuotaRps": 1_000_000}]);
    let to = content(&file);
    let old = read(&dispatcher, &changes, &to);
    // Meanwhile a step comes into force that puts one whom the file does not know.
    let prepared = read(&dispatcher, &changes, &guests(0..4));
    for wanted in
        [Wanted::Stage(Box::new(prepared)), Wanted::Apply { if_base: None, probation: None }, Wanted::Settle]
    {
        assert_eq!(changes.want(&dispatcher, wanted, &mut |_| ())["ok"], json!(true));
    }
    assert!(knows(&dispatcher, "guest 3"));
    let nowhere = "127.0.0.1:1";
    let whole = json!({"name": "n1", "listen": nowhere, "agent": nowhere, "naming": nowhere, "seed": "1",
        "stop_ms": 900, "limits": {"memory_mb": 64, "sockets": 64}, "settings": file});
    let deployment = asterrill_settings::Deployment::from_json(&whole.to_string()).unwrap();
    changes.reread(&dispatcher, deployment, Some(Ok(old)), &mut |_| ());
    // Compared with what runs now, a tenant goes: that is risky, so it is refused whole.
    let status = changes.want(&dispatcher, Wanted::Status, &mut |_| ());
    assert_eq!(
        (&status["version"], &status["counters"]["changes_refused"]),
        (&json!(2), &json!(1)),
        "{status}"
    );
    assert!(knows(&dispatcher, "guest 3"));
}

#[test]
fn a_change_that_was_read_against_a_version_that_runs_no_more_is_refused_and_nothing_is_staged() {
    let (dispatcher, mut changes) = begin(&guests(0..3));
    let late = read(&dispatcher, &changes, &guests(0..5));
    let prepared = read(&dispatcher, &changes, &guests(0..4));
    let apply = Wanted::Apply { if_base: None, probation: None };
    for wanted in [Wanted::Stage(Box::new(prepared)), apply, Wanted::Settle] {
        assert_eq!(changes.want(&dispatcher, wanted, &mut |_| ())["ok"], json!(true));
    }
    let told = changes.want(&dispatcher, Wanted::Stage(Box::new(late)), &mut |_| ());
    assert!(told["error"].as_str().is_some_and(|why| why.contains("version 2 came into force")), "{told}");
    assert_eq!(changes.want(&dispatcher, Wanted::Status, &mut |_| ())["staged"], json!(null));
}

#[test]
fn a_change_that_another_crosses_while_it_is_read_is_read_again_and_staged() {
    let (dispatcher, mut changes) = begin(&guests(0..3));
    let (orders, other) =
        (std::sync::Arc::new(crate::Orders::default()), read(&dispatcher, &changes, &guests(0..4)));
    let (asking, of, step) =
        (orders.clone(), dispatcher.clone(), r#"{"put":"tenant","Name":"late","QuotaRps":7}"#);
    let asks = std::thread::spawn(move || {
        let asked = Asked {
            what: What::Step(step.into()),
            base: None,
            options: StageOptions { force: true, queue: false },
        };
        asking.request(crate::control::Request::Stage(asked), &of, TERMS, 1)
    });
    let until = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let mut crossing = Some(other);
    while !asks.is_finished() && std::time::Instant::now() < until {
        let order = std::mem::take(&mut *orders.lock());
        for told in order.glances {
            told.try_send(changes.glance(&dispatcher)).unwrap();
            // Another version comes into force as soon as the change has been told what to be checked against.
            let Some(prepared) = crossing.take() else { continue };
            let apply = Wanted::Apply { if_base: None, probation: None };
            for wanted in [Wanted::Stage(Box::new(prepared)), apply, Wanted::Settle] {
                assert_eq!(changes.want(&dispatcher, wanted, &mut |_| ())["ok"], json!(true));
            }
        }
        for (wanted, told) in order.wants {
            told.try_send(changes.want(&dispatcher, wanted, &mut |_| ())).unwrap();
        }
    }
    let told = asks.join().unwrap();
    assert_eq!((&told["ok"], &told["version"]), (&json!(true), &json!(3)), "{told}");
}

#[test]
fn a_notice_to_leave_is_told_between_two_slices() {
    start_worker().unwrap();
    let (dispatcher, _) = begin(&guests(0..3));
    let (told, heard) = std::sync::mpsc::channel();
    spawn("clock", move || {
        let orders = crate::Orders::default();
        let mut leaving = crate::Leaving { peers: None, store: None, stop: 900 * MS, came: false };
        dispatcher.clock.register();
        crate::between(&dispatcher, &orders, &mut leaving, false);
        let before = dispatcher.serving();
        orders.lock().leave = true;
        crate::between(&dispatcher, &orders, &mut leaving, false);
        told.send((before, dispatcher.serving(), leaving.came, orders.lock().leave)).unwrap();
    })
    .unwrap();
    let (before, after, came, stays) = heard.recv_timeout(std::time::Duration::from_secs(10)).unwrap();
    assert!(before != Some(false) && after == Some(false) && came);
    assert!(stays, "the rest of it is done once the change is in");
}

/// `cargo test --release -p asterrill-daemon cost_of_slices -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn cost_of_slices_of_a_change_of_all_quotas_and_methods_and_of_its_undo() {
    let version = |quota: u64, aim: u64| {
        let mut settings = server();
        let method = |n: u64| json!({"Name": format!("method-{n:05}"), "AimMs": aim, "DeadlineMs": 900, "Effect": "free", "Worth": 1});
        settings["Categories"] = (0..4_700).map(method).collect();
        let tenant = |n: u64| json!({"Name": format!("tenant-{n:05}"), "QuotaRps": quota});
        settings["Tenants"] = (0..49_000).map(tenant).collect();
        content(&settings)
    };
    let (start, to) = (version(100, 400), version(120, 500));
    let (dispatcher, mut changes) = begin(&start);
    let from = std::time::Instant::now();
    let prepared = read(&dispatcher, &changes, &to);
    let read = from.elapsed();
    for turn in 0..3 {
        let (last, mut longest) = (std::cell::Cell::new(None), std::time::Duration::ZERO);
        let mut pause = |_: &Dispatcher| {
            let now = std::time::Instant::now();
            let since: Option<std::time::Instant> = last.replace(Some(now));
            longest = longest.max(since.map_or(std::time::Duration::ZERO, |since| now - since));
        };
        let from = std::time::Instant::now();
        let told = if turn % 2 == 0 {
            let stage = Wanted::Stage(Box::new(prepared.clone()));
            assert_eq!(changes.want(&dispatcher, stage, &mut pause)["ok"], json!(true));
            changes.want(&dispatcher, Wanted::Apply { if_base: None, probation: None }, &mut pause)
        } else {
            changes.want(&dispatcher, Wanted::Undo, &mut pause)
        };
        assert_eq!(told["ok"], json!(true), "{told}");
        let (all, end) = (from.elapsed(), last.get().map(|last| last.elapsed()));
        println!("read {read:?}; all {all:?}, the longest slice {longest:?}, the last one with what follows {end:?}");
    }
}
