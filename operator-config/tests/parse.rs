//! Parsing of complete files, and the exact message for each kind of error.

use asterrill_operator_config::{parse, Backoff, DedupWindow, RecoverySettings, RedeliveryPolicy};
use quickcheck::{Gen, QuickCheck};

const BROKER: &str = "[broker]\naddress 127.0.0.1:5672\nuser u\npassword-file /p\n";

fn parse_error(text: &str) -> String {
    parse("x.conf", text).unwrap_err().to_string()
}

#[test]
fn parses_a_complete_file() {
    let text = format!(
        "# stock\n\n{BROKER}address [::1]:5673\nvirtual-host /stock\nheartbeat 5s\nreconnect 50ms 2s\nbody 1k\n\
         [queue a]\n  method look # fixed\n  prefetch 7\n  bound 2m\n  attempts 3\n  pause 10ms 1s\n\
         \tmemory 24k\n  remember 1h 500\n  redelivered run\n\
         [queue b]\nmethod-header x-kind\nmethod-means p price\nmethod other\ntenant-header org\ncaller 7\n"
    );
    let broker = parse("x.conf", &text).unwrap().broker.unwrap();
    assert_eq!((broker.addresses.len(), broker.heartbeat, broker.max_body_bytes), (2, 5_000_000, 1024));
    assert_eq!(
        (broker.reconnect_backoff, broker.virtual_host.as_str()),
        (Backoff { min: 50_000, max: 2_000_000 }, "/stock")
    );
    let [a, b] = &broker.queues[..] else { panic!("{broker:?}") };
    assert_eq!(
        (a.prefetch, a.processing_timeout, a.max_attempts, a.retry_backoff),
        (7, 120_000_000, 3, Backoff { min: 10_000, max: 1_000_000 })
    );
    assert_eq!(
        (a.memory_kb, a.dedup_window, a.redelivery_policy),
        (24.0, DedupWindow { duration: 3_600_000_000, max_entries: 500 }, RedeliveryPolicy::Run)
    );
    assert_eq!(a.method.default_value.as_deref(), Some("look"));
    assert_eq!((b.method.values["p"].as_str(), b.method.default_value.as_deref()), ("price", Some("other")));
    assert_eq!((b.tenant.header.as_deref(), b.caller.default_value.as_deref()), (Some("org"), Some("7")));
    assert!(parse("x.conf", "# nothing\n\n").unwrap().broker.is_none());
}

#[test]
fn reports_the_line_and_the_reason_of_each_error() {
    let queue = format!("{BROKER}[queue a]\nmethod m\n");
    let after = |line: &str| parse_error(&format!("{queue}{line}\n"));
    for (text, message) in [
        (parse_error("user x"), "1: user appears before the first section"),
        (parse_error("[broker"), "1: expected a section header: [KIND] or [KIND NAME]"),
        (parse_error("[a b c]"), "1: expected a section header: [KIND] or [KIND NAME]"),
        (parse_error("[queue ]"), "1: the section name is empty"),
        (
            parse_error("[brokers]"),
            "1: unknown section [brokers]; expected [broker], [queue NAME], [changes], [recovery], [members], [fleet] or [log]",
        ),
        (parse_error("[broker x]"), "1: [broker] takes no name"),
        (parse_error("[queue a]"), "1: [queue NAME] requires a [broker] section before it"),
        (parse_error(&format!("{BROKER}[queue]")), "5: [queue] requires a name: [queue NAME]"),
        (parse_error(BROKER), "1: [broker] requires at least one [queue NAME] section"),
        (parse_error("\n[broker]\nuser u"), "2: [broker] requires address"),
        (parse_error("[broker]\naddress 1.2.3.4:5\npassword-file p"), "1: [broker] requires user"),
        (parse_error("[broker]\naddress 1.2.3.4:5\nuser u"), "1: [broker] requires password-file"),
        (parse_error(&format!("{BROKER}[broker]")), "5: duplicate section [broker]"),
        (parse_error("[broker]\nuser"), "2: user requires a value"),
        (parse_error("[broker]\nuser a b"), "2: user takes one value, found 2"),
        (parse_error("[broker]\nuser a\nuser b"), "3: duplicate user; the first is in line 2"),
        (parse_error("[broker]\nport 5"), "2: unknown directive port in [broker]"),
        (
            parse_error("[broker]\naddress here"),
            "2: address: expected ADDRESS:PORT, such as 10.0.0.7:5672, found \"here\"",
        ),
        (
            parse_error("[broker]\naddress 1.2.3.4:0"),
            "2: address: expected ADDRESS:PORT, such as 10.0.0.7:5672, found \"1.2.3.4:0\"",
        ),
        (
            parse_error(&format!("{BROKER}address 127.0.0.1:5672")),
            "5: duplicate address 127.0.0.1:5672",
        ),
        (
            parse_error("[broker]\nheartbeat 10"),
            "2: heartbeat: expected a duration with a unit, such as 10s or 250ms, found \"10\"",
        ),
        (parse_error("[broker]\nheartbeat 250ms"), "2: heartbeat must be between 1s and 10m, found 250ms"),
        (
            parse_error("[broker]\nheartbeat -1s"),
            "2: heartbeat: expected a duration with a unit, such as 10s or 250ms, found \"-1s\"",
        ),
        (parse_error("[broker]\nheartbeat 99999999999999d"), "2: heartbeat: duration 99999999999999d is too long"),
        (parse_error("[broker]\nreconnect 1s"), "2: reconnect takes two values, found 1"),
        (parse_error("[broker]\nreconnect 2s 1s"), "2: reconnect must be between 2s and 10m, found 1s"),
        (parse_error("[broker]\nbody 2"), "2: body: expected a size with a unit, such as 512b or 16k, found \"2\""),
        (parse_error("[broker]\nbody 1m"), "2: body must be between 1b and 4096b, found 1m"),
        (parse_error(&format!("{BROKER}[queue a]\n")), "5: [queue] requires method or method-header"),
        (parse_error(&format!("{queue}[queue a]\nmethod m")), "7: duplicate queue a; the first is in line 5"),
        (after("prefetch many"), "7: prefetch: expected a whole number, found \"many\""),
        (after("prefetch 0"), "7: prefetch must be between 1 and 16384, found 0"),
        (after("method n"), "7: duplicate method; the first is in line 6"),
        (after("method-means a b"), "7: method-means requires method-header before it"),
        (after("method-header h\nmethod-means a b\nmethod-means a c"), "9: duplicate method-means a"),
        (after("method-name x"), "7: unknown directive method-name in [queue]"),
        (after("weight 5"), "7: unknown directive weight in [queue]"),
        (after("bound 1ms"), "7: bound must be between 10ms and 1d, found 1ms"),
        (after("attempts 0"), "7: attempts must be between 1 and 1000, found 0"),
        (after("remember 1s"), "7: remember takes two values, found 1"),
        (parse_error("[changes]\nprobation 1ms"), "2: probation must be between 1s and 1h, found 1ms"),
        (parse_error("[changes]\ncontrol"), "2: control requires a value"),
        (parse_error("[changes]\nstate relative"), "2: state: expected an absolute path, found \"relative\""),
        (parse_error("[changes]\nfactor 1"), "2: factor must be between 2 and 1000, found 1"),
        (parse_error("[changes]\nfactor 2\nfactor 3"), "3: duplicate factor; the first is in line 2"),
        (parse_error("[changes]\nspeed 3"), "2: unknown directive speed in [changes]"),
        (parse_error("[changes x]"), "1: [changes] takes no name"),
        (parse_error("[recovery]\nsnapshot 10ms"), "2: snapshot must be between 1s and 10m, found 10ms"),
        (parse_error("[recovery]\ntrust 31d"), "2: trust must be between 1s and 30d, found 31d"),
        (parse_error("[recovery]\nfirst-calls 0"), "2: first-calls must be between 1 and 1000, found 0"),
        (parse_error("[recovery]\nrepeats 10%"), "2: repeats: expected a whole number, found \"10%\""),
        (parse_error("[recovery]\nspread 101"), "2: spread must be between 0 and 100, found 101"),
        (parse_error("[recovery]\nspread 1\nspread 2"), "3: duplicate spread; the first is in line 2"),
        (parse_error("[recovery]\nkeep all"), "2: unknown directive keep in [recovery]"),
        (parse_error("[recovery]\n[recovery]"), "2: duplicate section [recovery]"),
        (parse_error("[recovery x]"), "1: [recovery] takes no name"),
        (parse_error("[fleet]\nkeeper a\nkeeper b"), "1: [fleet] requires an odd number of keepers, preferably three or five"),
        (parse_error("[fleet]\nkeeper a\nkeeper a"), "3: duplicate keeper a"),
        (parse_error("[fleet]\nlease 1ms"), "2: lease must be between 500ms and 1m, found 1ms"),
        (parse_error("[fleet]\nkeeper a"), "0: [fleet] requires a [members] section, and state in [changes]"),
        (parse_error("[members x]"), "1: [members] takes no name"),
        (parse_error("[members]\ncluster c"), "1: [members] requires listen"),
        (parse_error(&format!("{MEMBERS}[members]")), "6: duplicate section [members]"),
        (parse_error(&format!("{MEMBERS}expect 3")), "6: duplicate expect; the first is in line 5"),
        (parse_error(&format!("{MEMBERS}probe 1ms")), "6: probe must be between 20ms and 10s, found 1ms"),
        (parse_error(&format!("{MEMBERS}suspicion 300ms")), "1: suspicion must be at least twice the probe interval (probe)"),
        (parse_error(&format!("{MEMBERS}leader n1")), "6: unknown directive leader in [members]"),
        (
            parse_error(&format!("{MEMBERS}contact n1:7946")),
            "6: contact: expected ADDRESS:PORT, such as 10.0.0.7:5672, found \"n1:7946\"",
        ),
        (
            parse_error("[members]\ncluster c\nlisten 0.0.0.0:7946\nkey-file /k\nexpect 5"),
            "1: advertise must be an address at which other members reach this backend",
        ),
        (parse_error("[members]\nkey-file k"), "2: key-file: expected an absolute path, found \"k\""),
        (parse_error("[log]\nformat xml"), "2: format must be plain or json, found \"xml\""),
        (parse_error("[log]\nlevel 3"), "2: unknown directive level in [log]"),
        (after("redelivered maybe"), "7: redelivered must be reject or run, found \"maybe\""),
        (after("memory 3g"), "7: memory must be between 1024b and 2048000b, found 3g"),
        (after("bound 1s\u{1}"), "7: control character '\\u{1}' is not allowed"),
        (after(&"x".repeat(1025)), "7: the line is longer than 1024 bytes"),
    ] {
        assert_eq!(text, format!("x.conf:{message}"));
    }
}

#[test]
fn never_panics_on_random_text() {
    fn parses_or_reports_a_line(words: Vec<u8>) -> bool {
        const WORDS: [&str; 16] = [
            "[broker]",
            "[queue",
            "a]",
            "\n",
            "\n",
            "address",
            "127.0.0.1:1",
            "user",
            "u",
            "password-file",
            "method",
            "bound",
            "10s",
            "#",
            "[",
            "body",
        ];
        let text: Vec<&str> = words.iter().map(|w| WORDS[*w as usize % WORDS.len()]).collect();
        parse("x", &text.join(" ")).map_or_else(|e| e.line < 1000, |_| true)
    }
    let mut runs = QuickCheck::new().tests(2_000).rng(Gen::from_size_and_seed(60, 3));
    runs.quickcheck(parses_or_reports_a_line as fn(Vec<u8>) -> bool);
}

#[test]
fn parses_recovery_settings() {
    let parse = |text: &str| asterrill_operator_config::parse("x.conf", text).unwrap().recovery;
    assert_eq!(parse(""), None);
    assert_eq!(parse("[recovery]"), Some(RecoverySettings::default()));
    let parsed = parse("[recovery]\nsnapshot 2s\ntrust 1h\nfirst-calls 3\nrepeats 0\nspread 100").unwrap();
    let (snapshot, trust) = (2_000_000, 3_600_000_000);
    assert_eq!(
        parsed,
        RecoverySettings {
            snapshot_interval: snapshot,
            max_snapshot_age: trust,
            initial_calls: 3,
            retry_percent: 0,
            jitter_percent: 100
        }
    );
}

const MEMBERS: &str = "[members]\ncluster c\nlisten 127.0.0.1:7946\nkey-file /k\nexpect 5\n";

#[test]
fn parses_membership() {
    let parse = |text: &str| asterrill_operator_config::parse("x.conf", text).unwrap().members;
    assert_eq!(parse("[recovery]"), None);
    let minimal = parse(MEMBERS).unwrap();
    assert_eq!(
        (minimal.advertise, minimal.expected_members, minimal.probe_interval),
        (minimal.listen, 5, 200_000)
    );
    let parsed = parse(&format!(
        "{MEMBERS}advertise 10.0.0.1:1\ncontact 10.0.0.2:1\ncontact 10.0.0.3:1\nzone a\ncapacity 4\nprobe 1s\n\
         suspicion 5s\ngreet 2s\nsettle 3s\nforget 1d\ncalm 2m"
    ));
    let parsed = parsed.unwrap();
    assert_eq!((parsed.seed_addresses.len(), parsed.zone.as_str(), parsed.capacity), (2, "a", 4));
    assert_eq!(
        (parsed.suspicion_timeout, parsed.forget_after, parsed.flap_window),
        (5_000_000, 86_400_000_000, 120_000_000)
    );
}
