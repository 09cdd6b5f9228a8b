//! Exact JSON of the replies, on which operators' scripts depend.

use super::*;

fn hash() -> String {
    "0a".repeat(16)
}

fn counters() -> CountersReply {
    CountersReply {
        rpcs: 9,
        ok: 5,
        pushed_back: 2,
        aborted: 1,
        gone: 1,
        changes: 3,
        changes_refused: 4,
        half_applied: 0,
        store_failed: None,
    }
}

fn status() -> StatusReply {
    StatusReply {
        version: 2,
        hash: hash(),
        base: 1,
        methods: 5,
        tenants: 6,
        probation: None,
        staged: None,
        queued: None,
        stage: None,
        counters: counters(),
    }
}

#[track_caller]
fn assert_json(reply: Reply, json: &str) {
    assert_eq!(reply.to_json().to_string(), json.replace("HASH", &hash()));
    assert_eq!(reply.is_ok(), json.contains(r#""ok":true"#));
}

#[test]
fn replies_about_changes_have_their_documented_fields() {
    let (changes, problems) =
        (vec!["cores: 2 -> 4".to_string()], vec!["risky: x (can be forced)".to_string()]);
    assert_json(
        Reply::Diff(DiffReply {
            base: 1,
            hash: hash(),
            entries: 1,
            changes: changes.clone(),
            problems: problems.clone(),
        }),
        r#"{"base":1,"changes":["cores: 2 -> 4"],"entries":1,"hash":"HASH","ok":true,"problems":["risky: x (can be forced)"]}"#,
    );
    assert_json(
        Reply::Staged(StagedReply { version: 2, hash: hash(), entries: 1, changes, problems: Vec::new() }),
        r#"{"changes":["cores: 2 -> 4"],"entries":1,"hash":"HASH","ok":true,"problems":[],"version":2}"#,
    );
    assert_json(
        Reply::Applied(AppliedReply { version: 2, hash: hash(), entries: 1, took_us: 90, probation_us: 7 }),
        r#"{"entries":1,"hash":"HASH","ok":true,"probation_us":7,"took_us":90,"version":2}"#,
    );
    assert_json(
        Reply::Confirmed(ConfirmedReply { version: 2, hash: hash() }),
        r#"{"hash":"HASH","ok":true,"version":2}"#,
    );
    assert_json(
        Reply::RolledBack(RolledBackReply { version: 1, hash: hash(), entries: 3 }),
        r#"{"entries":3,"hash":"HASH","ok":true,"version":1}"#,
    );
    assert_json(Reply::Dropped(DroppedReply { version: 2 }), r#"{"ok":true,"version":2}"#);
}

#[test]
fn rejections_have_an_error_and_only_the_optional_fields_that_apply() {
    assert_json(
        Reply::Rejected(Rejection::new("nothing is staged")),
        r#"{"error":"nothing is staged","ok":false}"#,
    );
    let failed = Rejection { problems: Some(vec!["invalid: x".into()]), ..Rejection::new("no") };
    assert_json(Reply::Rejected(failed), r#"{"error":"no","ok":false,"problems":["invalid: x"]}"#);
    let crossed = Rejection { crossed: true, ..Rejection::new("no") };
    assert_json(Reply::Rejected(crossed), r#"{"crossed":true,"error":"no","ok":false}"#);
}

#[test]
fn status_and_history_have_their_documented_fields() {
    const COUNTERS: &str = r#""counters":{"aborted":1,"changes":3,"changes_refused":4,"gone":1,"half_applied":0,"ok":5,"pushed_back":2,"rpcs":9,"store_failed":null}"#;
    assert_json(
        Reply::Status(Box::new(status())),
        &format!(
            r#"{{"base":1,{COUNTERS},"hash":"HASH","methods":5,"ok":true,"probation":null,"queued":null,"stage":null,"staged":null,"tenants":6,"version":2}}"#
        ),
    );
    let stage = Some(RecoveryReply { name: "full", why: "judged", since: 8, outages: 0 });
    let probation = Some(ProbationReply { until: 9, good: 1 });
    assert_json(
        Reply::Status(Box::new(StatusReply {
            stage,
            probation,
            staged: Some(3),
            queued: Some(4),
            ..status()
        })),
        &format!(
            r#"{{"base":1,{COUNTERS},"hash":"HASH","methods":5,"ok":true,"probation":{{"good":1,"until":9}},"queued":4,"stage":{{"name":"full","outages":0,"since":8,"why":"judged"}},"staged":3,"tenants":6,"version":2}}"#
        ),
    );
    let event = EventReply { at: 5, what: "undone", version: 2, hash: hash(), base: 1, why: "loss".into() };
    assert_json(
        Reply::History(HistoryReply { history: vec![event] }),
        r#"{"history":[{"at":5,"base":1,"hash":"HASH","version":2,"what":"undone","why":"loss"}],"ok":true}"#,
    );
}
