//! What the decision module hands back, encoded into actions of a reply.

use asterrill::{Answer, CallRequest, KeyRetention, Outcome, Reply, RpcId, Us};
use serde_json::{json, Value};

/// The one timer that an instance asks for.
const TIMER_NAME: u32 = 1;

fn millis(us: Us) -> f64 {
    us as f64 / 1000.0
}

/// Appends the actions of an outcome, list by list in its order.
pub fn encode(instance: u64, outcome: &Outcome, actions: &mut Vec<Value>) {
    actions.extend(outcome.answers.iter().map(|reply| answer_action(instance, reply)));
    by_id("Stop", instance, &outcome.cancellations, actions);
    for KeyRetention { id, duration } in &outcome.retained_keys {
        let (id, duration) = (id.as_str(), millis(*duration));
        actions.push(json!({"kind": "RecordKey", "I": instance, "Id": id, "ForTimeMs": duration}));
    }
    by_id("Unpin", instance, &outcome.released_keys, actions);
    by_id("Join", instance, &outcome.coalesced, actions);
    by_id("Launch", instance, &outcome.starts, actions);
    for CallRequest { id, timeout } in &outcome.calls {
        let (id, timeout) = (id.as_str(), millis(*timeout));
        actions.push(json!({"kind": "Invoke", "I": instance, "Id": id, "MaxWaitMs": timeout}));
    }
    by_id("Bypass", instance, &outcome.skipped_calls, actions);
    publish(instance, outcome, actions);
}

fn answer_action(instance: u64, reply: &Reply) -> Value {
    let id = reply.id.as_str();
    match reply.answer {
        Answer::Rejected { terminal, retry_after } => {
            let backoff = millis(retry_after);
            json!({"kind": "Shed", "I": instance, "Id": id, "Terminal": terminal, "BackoffMs": backoff})
        }
        Answer::Aborted => json!({"kind": "DropRequest", "I": instance, "Id": id}),
    }
}

/// Actions of one kind that name nothing but an RPC.
fn by_id(kind: &str, instance: u64, ids: &[RpcId], actions: &mut Vec<Value>) {
    actions.extend(ids.iter().map(|id| json!({"kind": kind, "I": instance, "Id": id.as_str()})));
}

/// Actions that concern the whole instance.
fn publish(instance: u64, outcome: &Outcome, actions: &mut Vec<Value>) {
    if let Some(amount) = outcome.credit {
        actions.push(json!({"kind": "Announce", "I": instance, "Amount": amount}));
    }
    if let Some(healthy) = outcome.healthy {
        actions.push(json!({"kind": "MarkHealth", "I": instance, "FromState": true, "Enable": healthy}));
    }
    if let Some(span) = outcome.close_idle_after {
        actions.push(json!({"kind": "CloseIdle", "I": instance, "ForTimeMs": millis(span)}));
    }
    if let Some(span) = outcome.wake_after {
        let after = millis(span);
        actions.push(json!({"kind": "NotifyMe", "I": instance, "AfterMs": after, "Name": TIMER_NAME}));
    }
    for line in &outcome.log {
        actions.push(json!({"kind": "WriteLog", "I": instance, "Words": line}));
    }
}
