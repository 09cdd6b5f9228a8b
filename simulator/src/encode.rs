//! Encoding of outcomes into the actions of a reply.

use asterrill::{Answer, CallRequest, KeyRetention, Outcome, Reply, RpcId, Us};
use serde_json::{json, Value};

/// Name of the only timer that an instance requests.
const TIMER_NAME: u32 = 1;

fn millis(us: Us) -> f64 {
    us as f64 / 1000.0
}

/// Appends the actions of an outcome, list by list in the order of its fields.
pub fn push_actions(instance: u64, outcome: &Outcome, actions: &mut Vec<Value>) {
    actions.extend(outcome.answers.iter().map(|reply| answer_action(instance, reply)));
    push_rpc_actions("Stop", instance, &outcome.cancellations, actions);
    for KeyRetention { id, duration } in &outcome.retained_keys {
        let (id, duration) = (id.as_str(), millis(*duration));
        actions.push(json!({"kind": "RecordKey", "I": instance, "Id": id, "ForTimeMs": duration}));
    }
    push_rpc_actions("Unpin", instance, &outcome.released_keys, actions);
    push_rpc_actions("Join", instance, &outcome.coalesced, actions);
    push_rpc_actions("Launch", instance, &outcome.starts, actions);
    for CallRequest { id, timeout } in &outcome.calls {
        let (id, timeout) = (id.as_str(), millis(*timeout));
        actions.push(json!({"kind": "Invoke", "I": instance, "Id": id, "MaxWaitMs": timeout}));
    }
    push_rpc_actions("Bypass", instance, &outcome.skipped_calls, actions);
    push_instance_actions(instance, outcome, actions);
}

fn answer_action(instance: u64, reply: &Reply) -> Value {
    let id = reply.id.as_str();
    match reply.answer {
        Answer::Rejected { terminal, retry_after } => {
            let retry_after = millis(retry_after);
            json!({"kind": "Shed", "I": instance, "Id": id, "Terminal": terminal, "BackoffMs": retry_after})
        }
        Answer::Aborted => json!({"kind": "DropRequest", "I": instance, "Id": id}),
    }
}

/// Appends actions of one kind that have no field besides the RPC's id.
fn push_rpc_actions(kind: &str, instance: u64, ids: &[RpcId], actions: &mut Vec<Value>) {
    actions.extend(ids.iter().map(|id| json!({"kind": kind, "I": instance, "Id": id.as_str()})));
}

/// Appends the actions that concern the whole instance.
fn push_instance_actions(instance: u64, outcome: &Outcome, actions: &mut Vec<Value>) {
    if let Some(credit) = outcome.credit {
        actions.push(json!({"kind": "Announce", "I": instance, "Amount": credit}));
    }
    if let Some(healthy) = outcome.healthy {
        actions.push(json!({"kind": "MarkHealth", "I": instance, "FromState": true, "Enable": healthy}));
    }
    if let Some(idle_timeout) = outcome.close_idle_after {
        actions.push(json!({"kind": "CloseIdle", "I": instance, "ForTimeMs": millis(idle_timeout)}));
    }
    if let Some(wake_after) = outcome.wake_after {
        let after = millis(wake_after);
        actions.push(json!({"kind": "NotifyMe", "I": instance, "AfterMs": after, "Name": TIMER_NAME}));
    }
    for line in &outcome.log {
        actions.push(json!({"kind": "WriteLog", "I": instance, "Words": line}));
    }
}
