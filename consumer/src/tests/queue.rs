//! Tests of a queue's consumer with the simulated broker and engine of the harness.

use super::harness::{config, Harness, QueuedMessage, TestCatalog, MS, S};
use crate::routes::route;
use crate::{Action, ConsumerConfig, FieldSource};
use asterrill::{Caller, CallerId, Us};
use asterrill_protocol::amqp::{Delivery, DeliveryTag, MessageProperties, Settlement};
use quickcheck::Gen;
use std::collections::{BTreeMap, BTreeSet};

/// Applies random sequences of inputs. Checks that each tag is settled once, that messages of methods that must not run
/// twice run once, and that every message is settled.
fn check_random_inputs(method: &'static str) {
    let all_settled = move |steps: Vec<(u8, u16)>| {
        let mut harness =
            Harness::new(ConsumerConfig { run_unverified_redeliveries: true, ..config(method) });
        let mut published = 0;
        for (step, n) in steps {
            match step % 12 {
                0 | 1 => {
                    published += 1;
                    harness.publish(published, true, n % 3 == 0);
                }
                2 | 3 => harness.deliver(1 + n as usize % 4, n % 5 == 0),
                4 | 5 => drop(harness.start_run()),
                6 => harness.end_run(n % 4 != 0),
                7 => harness.reject(n as Us % 300 * MS),
                8 => harness.confirm_replies(n % 4 != 0),
                9 if n % 4 == 0 => {
                    harness.disconnect();
                    harness.connect();
                }
                10 if n % 6 == 0 => {
                    harness.queue.channel_closed(harness.now, 406, "unknown tag");
                    harness.tag_source.reconnect();
                    harness.redeliver_unsettled();
                    harness.carry_out_actions();
                }
                11 if n % 6 == 0 => {
                    harness.prefetch = None;
                    harness.queue.cancelled(harness.now, true);
                    harness.carry_out_actions();
                }
                _ => harness.advance(n as Us % 400 * MS),
            }
            harness.check();
        }
        for _ in 0..3_000 {
            harness.deliver(4, false);
            while harness.start_run().is_some() {}
            harness.end_run(true);
            harness.confirm_replies(true);
            harness.advance(20 * MS);
        }
        harness.check();
        assert!(
            harness.ready.is_empty() && harness.unsettled.is_empty(),
            "{} {}",
            harness.ready.len(),
            harness.unsettled.len()
        );
        assert_eq!((harness.queue.unsettled(), harness.queue.in_flight()), (0, 0));
        if method != "read" {
            assert!(harness.runs.values().all(|runs| *runs == 1), "{:?}", harness.runs);
            // All deliveries of a message were settled in the same way.
            assert!(harness.settlements.values().all(|all| all.iter().all(|one| *one == all[0])));
        }
        assert!(harness.settlements.len() as u64 == published, "a message was never settled");
        true
    };
    // The inputs are generated here because quickcheck accepts only functions, and `all_settled` captures a variable.
    let mut gen = Gen::from_size_and_seed(120, 17 + method.len() as u64);
    for _ in 0..60 {
        assert!(all_settled(quickcheck::Arbitrary::arbitrary(&mut gen)));
    }
}

#[test]
fn settles_each_idempotent_delivery_once_in_any_order() {
    check_random_inputs("read");
}
#[test]
fn settles_and_runs_messages_with_idempotency_keys_once_in_any_order() {
    check_random_inputs("keyed");
}
#[test]
fn settles_and_runs_non_idempotent_messages_once_in_any_order() {
    check_random_inputs("pay");
}

#[test]
fn runs_none_of_5000_redelivered_messages_again() {
    let mut harness = Harness::new(ConsumerConfig { prefetch: 8192, ..config("keyed") });
    for number in 0..5_000 {
        harness.publish(number, true, false);
    }
    // The prefetch doubles once a second.
    for _ in 0..16 {
        harness.now += S;
        harness.queue.update_prefetch(harness.now, Some(1e9), 1e9, 1e9);
        harness.carry_out_actions();
    }
    harness.deliver(5_000, false);
    assert_eq!(harness.unsettled.len(), 5_000);
    for n in 0..3_000 {
        harness.start_run();
        if n % 3 == 0 {
            // The connection is lost before the broker reads these settlements.
            harness.end_run(n % 2 == 0);
        }
    }
    let settled: Vec<(DeliveryTag, Settlement)> = harness
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Settle { tag, settlement } => Some((*tag, *settlement)),
            _ => None,
        })
        .collect();
    assert_eq!(settled.len(), 1_000);
    harness.settlements.clear();
    harness.ready.clear();
    harness.unsettled.clear();
    harness.disconnect();
    (0..5_000).for_each(|number| {
        harness.ready.push_back(QueuedMessage {
            number,
            has_message_id: true,
            prior_deliveries: 1,
            wants_reply: false,
        })
    });
    harness.connect();
    for _ in 0..16 {
        harness.now += S / 100;
        harness.queue.update_prefetch(harness.now, Some(1e9), 1e9, 1e9);
        harness.carry_out_actions();
    }
    while !harness.ready.is_empty() {
        harness.deliver(10, true);
        harness.start_run();
        harness.end_run(true);
        harness.now += MS;
        harness.queue.update_prefetch(harness.now, Some(1e9), 1e9, 1e9);
        harness.carry_out_actions();
        harness.check();
    }
    while harness.start_run().is_some() || !harness.running.is_empty() {
        harness.end_run(true);
    }
    harness.check();
    assert!(
        harness.runs.values().all(|runs| *runs == 1) && harness.runs.len() == 5_000,
        "{}",
        harness.runs.len()
    );
    assert_eq!(
        (harness.unsettled.len(), harness.queue.unsettled(), harness.settlements.len()),
        (0, 0, 5_000)
    );
    assert!(
        harness.queue.stats.deduplicated >= 1_000 && harness.queue.stats.joined > 500,
        "{:?}",
        harness.queue.stats
    );
}

#[test]
fn settles_a_run_by_the_new_tag_after_its_channel_was_lost() {
    for ends_first in [false, true] {
        let mut harness = Harness::new(config("pay"));
        harness.publish(1, true, false);
        harness.deliver(1, false);
        harness.start_run();
        harness.disconnect();
        if ends_first {
            harness.end_run(true);
        }
        harness.connect();
        harness.deliver(1, false);
        if !ends_first {
            assert!(harness.settlements.is_empty());
            harness.end_run(true);
        }
        harness.check();
        assert_eq!((harness.settlements[&1].as_slice(), harness.runs[&1]), (&[Settlement::Ack][..], 1));
    }
}

#[test]
fn withdraws_unstarted_messages_and_submits_their_redelivery_at_once() {
    let mut harness = Harness::new(config("read"));
    harness.publish(1, true, false);
    harness.deliver(1, false);
    harness.disconnect();
    assert!(harness.submitted.is_empty());
    harness.connect();
    harness.deliver(1, false);
    assert_eq!(harness.submitted.len(), 1);
    harness.start_run();
    harness.end_run(true);
    assert_eq!(harness.settlements[&1], [Settlement::Ack]);
}

#[test]
fn rejects_unverified_redeliveries_of_non_idempotent_messages() {
    for (method, run_unverified_redeliveries, runs) in
        [("pay", false, 0), ("pay", true, 1), ("keyed", false, 1), ("read", false, 1)]
    {
        let mut harness = Harness::new(ConsumerConfig { run_unverified_redeliveries, ..config(method) });
        harness.ready.push_back(QueuedMessage {
            number: 1,
            has_message_id: true,
            prior_deliveries: 1,
            wants_reply: false,
        });
        harness.deliver(1, false);
        harness.start_run();
        harness.end_run(true);
        assert_eq!(harness.runs.len(), runs, "{method}");
        let settlement = if runs == 0 { Settlement::Reject } else { Settlement::Ack };
        assert_eq!(
            (harness.settlements[&1].as_slice(), harness.queue.stats.unverified),
            (&[settlement][..], 1 - runs as u64)
        );
    }
}

#[test]
fn counts_equal_messages_without_an_id_as_different_messages() {
    let mut harness = Harness::new(config("keyed"));
    harness.publish(1, false, false);
    harness.publish(1, false, false);
    harness.update_prefetch(8.0);
    harness.now += 2 * S;
    harness.update_prefetch(8.0);
    harness.deliver(2, false);
    assert_eq!(harness.submitted.len(), 2, "two equal messages that are not redelivered are both submitted");
    harness.start_run();
    harness.disconnect();
    harness.connect();
    harness.now += 2 * S;
    harness.update_prefetch(8.0);
    harness.deliver(2, false);
    assert_eq!((harness.submitted.len(), harness.running.len()), (1, 1));
    while harness.start_run().is_some() {}
    harness.end_run(true);
    harness.end_run(true);
    assert_eq!((harness.settlements[&1].len(), harness.runs[&1]), (2, 2));
    harness.check();
}

/// Guards against the acknowledgement, without a run, of a message that another consumer had, because an equal message
/// has run here.
#[test]
fn runs_a_redelivered_message_of_another_consumer_that_equals_one_settled_before() {
    for (method, reconnects) in [("read", false), ("read", true), ("keyed", false)] {
        let mut harness = Harness::new(config(method));
        harness.publish(1, false, false);
        harness.deliver(1, false);
        harness.start_run();
        harness.end_run(true);
        if reconnects {
            harness.disconnect();
            harness.connect();
        }
        harness.requeue_from_another_consumer(1);
        harness.deliver(1, false);
        assert_eq!(harness.count_settled(1, Settlement::Ack), 1, "{method}: acknowledged without a run");
        harness.start_run();
        harness.end_run(true);
        harness.check();
        assert_eq!((harness.count_settled(1, Settlement::Ack), harness.runs[&1]), (2, 2), "{method}");
    }
}

/// Guards against a second run, and against an acknowledgement without a run, where the broker may or may not have read
/// the acknowledgement of an equal message.
#[test]
fn rejects_a_redelivered_message_that_may_be_one_that_has_run_and_must_not_run_twice() {
    for (run_unverified_redeliveries, runs, rejected) in [(false, 1, 1), (true, 2, 0)] {
        let mut harness = Harness::new(ConsumerConfig { run_unverified_redeliveries, ..config("keyed") });
        harness.publish(1, false, false);
        harness.deliver(1, false);
        harness.start_run();
        harness.end_run(true);
        harness.disconnect();
        harness.connect();
        harness.requeue_from_another_consumer(1);
        harness.deliver(1, false);
        harness.start_run();
        harness.end_run(true);
        assert_eq!((harness.runs[&1], harness.count_settled(1, Settlement::Reject)), (runs, rejected));
        assert_eq!(harness.queue.stats.unverified, rejected);
        // Each remembered run accounts for one redelivery.
        harness.requeue_from_another_consumer(1);
        harness.deliver(1, false);
        assert!(harness.start_run().is_some());
    }
}

/// Guards against a second run of a message without an id whose run ended while its channel was lost.
#[test]
fn acknowledges_one_redelivery_for_a_run_that_was_not_acknowledged() {
    let mut harness = Harness::new(config("keyed"));
    harness.publish(1, false, false);
    harness.deliver(1, false);
    harness.start_run();
    harness.disconnect();
    harness.end_run(true);
    harness.connect();
    harness.deliver(1, false);
    assert_eq!((harness.count_settled(1, Settlement::Ack), harness.runs[&1]), (1, 1));
    harness.requeue_from_another_consumer(1);
    harness.deliver(1, false);
    assert_eq!(harness.count_settled(1, Settlement::Ack), 1, "acknowledged without a run");
    assert!(harness.start_run().is_some());
}

/// Applies random sequences of inputs with messages of equal content, some of which another consumer had before. Checks
/// that no run acknowledges two messages, and that messages that must not run twice run at most once each.
fn check_equal_messages(method: &'static str) {
    let run_covers_one_message = move |steps: Vec<(u8, u16)>| {
        let mut harness = Harness::new(config(method));
        let mut messages = [0; 3];
        let check = |harness: &Harness, messages: &[u64; 3]| {
            harness.check();
            for number in 0..3 {
                let acked = harness.count_settled(number, Settlement::Ack);
                let completed = harness.completed.get(&number).copied().unwrap_or(0);
                assert!(acked <= completed, "{acked} of {number} acknowledged for {completed} runs");
                let runs = harness.runs.get(&number).copied().unwrap_or(0);
                assert!(method == "read" || runs <= messages[number as usize], "{number} ran twice");
            }
        };
        for (step, n) in steps {
            let number = u64::from(n % 3);
            match step % 10 {
                0 | 1 => {
                    messages[number as usize] += 1;
                    harness.publish(number, false, false);
                }
                2 => {
                    messages[number as usize] += 1;
                    harness.requeue_from_another_consumer(number);
                }
                3 | 4 => harness.deliver(1 + n as usize % 4, false),
                5 => drop(harness.start_run()),
                6 | 7 => harness.end_run(n % 4 != 0),
                8 if n % 3 == 0 => {
                    harness.disconnect_with_unread(n as usize / 3 % 4);
                    harness.connect();
                }
                _ => harness.advance(n as Us % 400 * MS),
            }
            check(&harness, &messages);
        }
        for _ in 0..1_000 {
            harness.deliver(4, false);
            while harness.start_run().is_some() {}
            harness.end_run(true);
            harness.advance(20 * MS);
        }
        check(&harness, &messages);
        assert!(harness.ready.is_empty() && harness.unsettled.is_empty(), "a message was never settled");
    };
    let mut gen = Gen::from_size_and_seed(160, 46 + method.len() as u64);
    for _ in 0..60 {
        run_covers_one_message(quickcheck::Arbitrary::arbitrary(&mut gen));
    }
}

#[test]
fn acknowledges_equal_idempotent_messages_only_for_their_own_runs() {
    check_equal_messages("read");
}
#[test]
fn acknowledges_equal_messages_with_idempotency_keys_only_for_their_own_runs() {
    check_equal_messages("keyed");
}
#[test]
fn acknowledges_equal_non_idempotent_messages_only_for_their_own_runs() {
    check_equal_messages("pay");
}

#[test]
fn holds_a_rejected_message_until_its_retry() {
    let mut harness = Harness::new(config("read"));
    harness.publish(1, true, false);
    harness.deliver(1, false);
    harness.reject(700 * MS);
    harness.advance(690 * MS);
    assert!(harness.submitted.is_empty() && harness.unsettled.len() == 1 && harness.queue.unsettled() == 1);
    harness.advance(20 * MS);
    assert_eq!(harness.submitted.len(), 1);
    // Without a Retry-After, the delay doubles until the deadline.
    let start = harness.now;
    while harness.settlements.is_empty() {
        harness.reject(0);
        harness.advance(10 * MS);
    }
    assert!((5 * S..11 * S).contains(&(harness.now - start + S)), "{}", harness.now - start);
    assert_eq!(
        (harness.settlements[&1].as_slice(), harness.queue.stats.expired),
        (&[Settlement::Reject][..], 1)
    );
    assert!(
        harness.queue.stats.retries_after_rejection < 12,
        "{}",
        harness.queue.stats.retries_after_rejection
    );
}

#[test]
fn rejects_a_poison_message_after_its_attempts_with_backoff() {
    let mut harness = Harness::new(config("read"));
    harness.publish(1, true, false);
    harness.deliver(1, false);
    let start = harness.now;
    while harness.settlements.is_empty() {
        harness.start_run();
        harness.end_run(false);
        harness.advance(10 * MS);
    }
    assert_eq!((harness.runs[&1], harness.queue.stats.poisoned), (3, 1));
    assert!(harness.now - start >= 300 * MS, "delays of 100 and 200 ms");
    for method in ["keyed", "pay"] {
        let mut harness = Harness::new(config(method));
        harness.publish(1, true, false);
        harness.deliver(1, false);
        harness.start_run();
        harness.end_run(false);
        assert_eq!(
            (harness.settlements[&1].as_slice(), harness.queue.stats.failed),
            (&[Settlement::Reject][..], 1)
        );
    }
}

#[test]
fn drain_requeues_what_never_ran_and_settles_what_runs() {
    let mut harness = Harness::new(config("read"));
    harness.now += 4 * S;
    for number in 0..5 {
        harness.publish(number, true, number == 4);
        harness.update_prefetch(64.0);
        harness.now += S + 1;
        harness.update_prefetch(64.0);
    }
    harness.deliver(5, false);
    assert_eq!(harness.submitted.len(), 5);
    // The first message waits for its retry.
    harness.reject(50 * MS);
    harness.start_run();
    harness.start_run();
    harness.queue.drain(harness.now);
    harness.carry_out_actions();
    assert!(harness.prefetch.is_none() && !harness.queue.is_drained());
    // A delivery that arrives before the broker has read the cancel is requeued at once.
    harness.prefetch = Some(9);
    harness.publish(9, true, false);
    harness.deliver(9, false);
    assert!(harness.submitted.len() == 2 && harness.ready.iter().any(|message| message.number == 9));
    harness.reject(0);
    harness.end_run(true);
    // An idempotent message whose run was aborted is requeued, to run on another server.
    harness.end_run(false);
    harness.start_run();
    // This message asks for a reply, which the broker does not confirm.
    harness.end_run(true);
    assert!(!harness.queue.is_drained());
    harness.advance(600 * MS);
    harness.check();
    assert!(harness.queue.is_drained(), "{} unsettled", harness.queue.unsettled());
    assert_eq!((harness.queue.stats.acked, harness.queue.stats.replies_lost), (2, 1));
    assert_eq!(
        harness.ready.iter().map(|message| message.number).collect::<BTreeSet<_>>(),
        [0, 2, 3, 9].into()
    );
}

#[test]
fn applies_a_new_configuration_from_the_next_delivery_and_resumes_a_drained_queue() {
    let mut harness = Harness::new(config("read"));
    harness.publish(1, true, false);
    harness.publish(2, true, false);
    harness.deliver(1, false);
    harness.start_run();
    let mut new_config = config("keyed");
    (new_config.max_attempts, new_config.prefetch, new_config.processing_timeout) = (1, 4, S);
    harness.queue.reconfigure(new_config.clone());
    // The message keeps its old route, which is idempotent, but has no attempts left by the new configuration.
    harness.end_run(false);
    assert_eq!(
        (harness.settlements[&1].as_slice(), harness.queue.stats.poisoned),
        (&[Settlement::Reject][..], 1)
    );
    harness.deliver(1, false);
    assert!(harness.submitted.len() == 1 && harness.queue.config().processing_timeout == S);
    // The queue is drained while one message is in flight, and consumed again on the same channel.
    harness.queue.drain(harness.now);
    harness.carry_out_actions();
    assert!(harness.prefetch.is_none() && !harness.queue.is_drained());
    harness.start_run();
    harness.end_run(true);
    assert!(harness.queue.is_drained() && harness.settlements[&2] == [Settlement::Ack]);
    harness.queue.reconfigure(new_config);
    harness.now += 2 * S;
    harness.update_prefetch(8.0);
    harness.publish(3, true, false);
    harness.deliver(1, false);
    harness.start_run();
    harness.end_run(true);
    assert_eq!(harness.settlements[&3], [Settlement::Ack]);
    harness.check();
}

#[test]
fn republishes_a_reply_and_settles_the_delivery_after_it() {
    let mut harness = Harness::new(config("keyed"));
    harness.publish(1, true, true);
    harness.deliver(1, false);
    harness.start_run();
    harness.end_run(true);
    assert!(harness.settlements.is_empty() && harness.reply_requests.len() == 1);
    harness.confirm_replies(false);
    harness.advance(200 * MS);
    // The connection is lost before the reply is confirmed. The reply is published again on the next connection.
    harness.confirm_replies(false);
    harness.disconnect();
    harness.connect();
    harness.deliver(1, false);
    harness.advance(200 * MS);
    assert!(harness.settlements.is_empty());
    harness.confirm_replies(true);
    harness.check();
    assert_eq!(
        (harness.settlements[&1].as_slice(), harness.runs[&1], harness.queue.stats.replies),
        (&[Settlement::Ack][..], 1, 1)
    );
}

#[test]
fn closes_the_channel_of_a_broker_that_exceeds_the_prefetch() {
    let mut harness = Harness::new(ConsumerConfig { prefetch: 1, ..config("read") });
    harness.prefetch = Some(100);
    (0..40).for_each(|number| harness.publish(number, true, false));
    harness.deliver(40, false);
    assert_eq!(harness.queue.stats.overrun, 1);
    assert!(harness.queue.in_flight() <= harness.queue.config().max_in_flight());
    let closed =
        harness.actions.iter().any(|action| matches!(action, Action::CloseChannel { code: 406, .. }));
    assert!(closed);
}

#[test]
fn rejects_unroutable_and_too_long_deliveries_with_a_reason() {
    let mut harness = Harness::new(config("riddle"));
    harness.publish(1, true, false);
    harness.deliver(1, false);
    assert_eq!(
        (harness.settlements[&1].as_slice(), harness.queue.stats.unrouted),
        (&[Settlement::Reject][..], 1)
    );
    let logged = harness
        .actions
        .iter()
        .any(|action| matches!(action, Action::Log(line) if line.contains("unknown method \"riddle\"")));
    assert!(logged);
    let tag = harness.tag_source.tag(77);
    let delivery = Delivery {
        tag,
        redelivered: false,
        exchange: String::new(),
        routing_key: String::new(),
        properties: MessageProperties::default(),
        size: 60_000_000,
        body: None,
    };
    harness.queue.delivered(harness.now, delivery, &TestCatalog);
    assert_eq!(
        (harness.queue.next_action(), harness.queue.stats.too_long),
        (Some(Action::Settle { tag, settlement: Settlement::Reject }), 1)
    );
}

/// Guards against a publisher that gets an account for each caller that it names in the headers of its messages.
#[test]
fn header_of_a_message_selects_no_account() {
    let mut config = config("read");
    config.caller = FieldSource { header: Some("from".into()), ..FieldSource::default() };
    let caller_of = |config: &ConsumerConfig, from: &str| {
        let headers = BTreeMap::from([("from".to_string(), from.to_string())]);
        let properties = MessageProperties { headers, ..MessageProperties::default() };
        route(&properties, config, &TestCatalog).unwrap().caller
    };
    let callers: Vec<Caller> = ["1", "2", "shop"].iter().map(|from| caller_of(&config, from)).collect();
    assert!(callers.iter().all(|caller| caller.account == callers[0].account));
    assert_eq!((callers[0].stated, callers[1].stated), (CallerId(1), CallerId(2)));
    assert_ne!(callers[2].stated, callers[0].stated);
    config.caller.default = Some("7".into());
    assert_eq!(caller_of(&config, "1"), Caller { account: CallerId(7), stated: CallerId(1) });
}

#[test]
fn tolerates_a_clock_set_back() {
    let mut harness = Harness::new(config("read"));
    harness.publish(1, true, false);
    harness.deliver(1, false);
    harness.reject(100 * MS);
    // The engine's time never goes back. A consumer that is used without the engine only waits longer.
    harness.now -= S;
    harness.update_prefetch(8.0);
    assert!(harness.submitted.is_empty() && harness.unsettled.len() == 1);
    harness.advance(2 * S);
    assert_eq!(harness.submitted.len(), 1);
    harness.check();
}

#[test]
fn displays_counters_under_their_documented_names() {
    let mut harness = Harness::new(config("read"));
    harness.publish(1, true, false);
    harness.deliver(1, false);
    harness.start_run();
    harness.end_run(true);
    let expected = "Counts { deliveries: 1, redelivered: 0, acked: 1, rejected: 0, requeued: 0, lost: 0, joined: 0, \
        known: 0, pushed_back: 0, tried_again: 0, unrouted: 0, too_long: 0, expired: 0, poisoned: 0, failed: 0, \
        unknown: 0, replies: 0, replies_unrouted: 0, replies_lost: 0, subscribed: 1, channels_closed: 0, \
        cancelled: 0, overrun: 0 }";
    assert_eq!(harness.queue.stats.to_string(), expected);
}
