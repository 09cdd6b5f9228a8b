//! Broken files, each with the message it must give, and whole ones.

use asterrill_operator_config::{parse, read_secret, Backoff, DedupWindow, RedeliveryPolicy};
use quickcheck::{Gen, QuickCheck};
use std::os::unix::fs::PermissionsExt;

const BROKER: &str = "[broker]\naddress 127.0.0.1:5672\nuser u\npassword-file /p\n";

fn wrong(text: &str) -> String {
    parse("x.conf", text).unwrap_err().to_string()
}

#[test]
fn a_whole_file_says_all_of_it() {
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
fn what_is_wrong_is_named_with_its_line() {
    let queue = format!("{BROKER}[queue a]\nmethod m\n");
    let after = |line: &str| wrong(&format!("{queue}{line}\n"));
    for (text, message) in [
        (wrong("user x"), "1: user stands before any section"),
        (wrong("[broker"), "1: a section begins with [KIND] or [KIND NAME]"),
        (wrong("[a b c]"), "1: a section begins with [KIND] or [KIND NAME]"),
        (wrong("[queue ]"), "1: a section's name is empty"),
        (
            wrong("[brokers]"),
            "1: there is no section [brokers]; there are [broker], [queue NAME], [changes], [recovery], [members], [fleet] and [log]",
        ),
        (wrong("[broker x]"), "1: [broker] takes no name"),
        (wrong("[queue a]"), "1: a queue wants the section [broker] before it"),
        (wrong(&format!("{BROKER}[queue]")), "5: a queue wants its name: [queue NAME]"),
        (wrong(BROKER), "1: [broker] without a [queue NAME] has nothing to do"),
        (wrong("\n[broker]\nuser u"), "2: [broker] lacks address"),
        (wrong("[broker]\naddress 1.2.3.4:5\npassword-file p"), "1: [broker] lacks user"),
        (wrong("[broker]\naddress 1.2.3.4:5\nuser u"), "1: [broker] lacks password-file"),
        (wrong(&format!("{BROKER}[broker]")), "5: there is a section [broker] already"),
        (wrong("[broker]\nuser"), "2: user wants a value"),
        (wrong("[broker]\nuser a b"), "2: user wants one value, not 2"),
        (wrong("[broker]\nuser a\nuser b"), "3: user stands in line 2 already"),
        (wrong("[broker]\nport 5"), "2: [broker] has no directive port"),
        (
            wrong("[broker]\naddress here"),
            "2: address wants ADDRESS:PORT, such as 10.0.0.7:5672, not \"here\"",
        ),
        (
            wrong("[broker]\naddress 1.2.3.4:0"),
            "2: address wants ADDRESS:PORT, such as 10.0.0.7:5672, not \"1.2.3.4:0\"",
        ),
        (
            wrong(&format!("{BROKER}address 127.0.0.1:5672")),
            "5: the address 127.0.0.1:5672 is listed already",
        ),
        (
            wrong("[broker]\nheartbeat 10"),
            "2: heartbeat wants a time with its unit, such as 10s or 250ms, not \"10\"",
        ),
        (wrong("[broker]\nheartbeat 250ms"), "2: heartbeat lies between 1s and 10m, not at 250ms"),
        (
            wrong("[broker]\nheartbeat -1s"),
            "2: heartbeat wants a time with its unit, such as 10s or 250ms, not \"-1s\"",
        ),
        (wrong("[broker]\nheartbeat 99999999999999d"), "2: heartbeat: 99999999999999d is too long a time"),
        (wrong("[broker]\nreconnect 1s"), "2: reconnect wants two values, not 1"),
        (wrong("[broker]\nreconnect 2s 1s"), "2: reconnect lies between 2s and 10m, not at 1s"),
        (wrong("[broker]\nbody 2"), "2: body wants a size with its unit, such as 512b or 16k, not \"2\""),
        (wrong("[broker]\nbody 1m"), "2: body lies between 1b and 4096b, not at 1m"),
        (wrong(&format!("{BROKER}[queue a]\n")), "5: [queue] lacks method or method-header"),
        (wrong(&format!("{queue}[queue a]\nmethod m")), "7: the queue a stands in line 5 already"),
        (after("prefetch many"), "7: prefetch wants a whole number, not \"many\""),
        (after("prefetch 0"), "7: prefetch lies between 1 and 16384, not at 0"),
        (after("method n"), "7: method stands in line 6 already"),
        (after("method-means a b"), "7: method-means wants method-header before it"),
        (after("method-header h\nmethod-means a b\nmethod-means a c"), "9: method-means a is said already"),
        (after("method-name x"), "7: [queue] has no directive method-name"),
        (after("weight 5"), "7: [queue] has no directive weight"),
        (after("bound 1ms"), "7: bound lies between 10ms and 1d, not at 1ms"),
        (after("attempts 0"), "7: attempts lies between 1 and 1000, not at 0"),
        (after("remember 1s"), "7: remember wants two values, not 1"),
        (wrong("[changes]\nprobation 1ms"), "2: probation lies between 1s and 1h, not at 1ms"),
        (wrong("[changes]\ncontrol"), "2: control wants a value"),
        (wrong("[changes]\nstate relative"), "2: state wants a path from the root, not \"relative\""),
        (wrong("[changes]\nfactor 1"), "2: factor lies between 2 and 1000, not at 1"),
        (wrong("[changes]\nfactor 2\nfactor 3"), "3: factor stands in line 2 already"),
        (wrong("[changes]\nspeed 3"), "2: [changes] has no directive speed"),
        (wrong("[changes x]"), "1: [changes] takes no name"),
        (wrong("[recovery]\nsnapshot 10ms"), "2: snapshot lies between 1s and 10m, not at 10ms"),
        (wrong("[recovery]\ntrust 31d"), "2: trust lies between 1s and 30d, not at 31d"),
        (wrong("[recovery]\nfirst-calls 0"), "2: first-calls lies between 1 and 1000, not at 0"),
        (wrong("[recovery]\nrepeats 10%"), "2: repeats wants a whole number, not \"10%\""),
        (wrong("[recovery]\nspread 101"), "2: spread lies between 0 and 100, not at 101"),
        (wrong("[recovery]\nspread 1\nspread 2"), "3: spread stands in line 2 already"),
        (wrong("[recovery]\nkeep all"), "2: [recovery] has no directive keep"),
        (wrong("[recovery]\n[recovery]"), "2: there is a section [recovery] already"),
        (wrong("[recovery x]"), "1: [recovery] takes no name"),
        (wrong("[fleet]\nkeeper a\nkeeper b"), "1: [fleet] wants an odd number of keepers, best three or five"),
        (wrong("[fleet]\nkeeper a\nkeeper a"), "3: the keeper a is named already"),
        (wrong("[fleet]\nlease 1ms"), "2: lease lies between 500ms and 1m, not at 1ms"),
        (wrong("[fleet]\nkeeper a"), "0: [fleet] wants [members], and state in [changes]"),
        (wrong("[members x]"), "1: [members] takes no name"),
        (wrong("[members]\ncluster c"), "1: [members] wants listen"),
        (wrong(&format!("{MEMBERS}[members]")), "6: there is a section [members] already"),
        (wrong(&format!("{MEMBERS}expect 3")), "6: expect stands in line 5 already"),
        (wrong(&format!("{MEMBERS}probe 1ms")), "6: probe lies between 20ms and 10s, not at 1ms"),
        (wrong(&format!("{MEMBERS}suspicion 300ms")), "1: suspicion lasts two probes at the least: see probe"),
        (wrong(&format!("{MEMBERS}leader n1")), "6: [members] has no directive leader"),
        (
            wrong(&format!("{MEMBERS}contact n1:7946")),
            "6: contact wants ADDRESS:PORT, such as 10.0.0.7:5672, not \"n1:7946\"",
        ),
        (
            wrong("[members]\ncluster c\nlisten 0.0.0.0:7946\nkey-file /k\nexpect 5"),
            "1: advertise wants an address at which others reach this backend",
        ),
        (wrong("[members]\nkey-file k"), "2: key-file wants a path from the root, not \"k\""),
        (wrong("[log]\nformat xml"), "2: format is plain or json, not xml"),
        (wrong("[log]\nlevel 3"), "2: [log] has no directive level"),
        (after("redelivered maybe"), "7: redelivered is reject or run, not maybe"),
        (after("memory 3g"), "7: memory lies between 1024b and 2048000b, not at 3g"),
        (after("bound 1s\u{1}"), "7: the character '\\u{1}' does not belong in a line"),
        (after(&"x".repeat(1025)), "7: a line has 1024 bytes at most"),
    ] {
        assert_eq!(text, format!("x.conf:{message}"));
    }
}

#[test]
fn no_text_makes_it_panic() {
    fn holds(words: Vec<u8>) -> bool {
        const SOME: [&str; 16] = [
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
        let text: Vec<&str> = words.iter().map(|w| SOME[*w as usize % SOME.len()]).collect();
        parse("x", &text.join(" ")).map_or_else(|e| e.line < 1000, |_| true)
    }
    let mut runs = QuickCheck::new().tests(2_000).rng(Gen::from_size_and_seed(60, 3));
    runs.quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_secret_is_read_only_if_nobody_else_may() {
    let path = std::env::temp_dir().join(format!("asterrill-secret-{}", std::process::id()));
    let with = |text: &str, mode: u32| {
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        read_secret(&path)
    };
    assert_eq!(with("s3cret\nmore", 0o600).unwrap(), "s3cret");
    for mode in [0o640, 0o604, 0o666] {
        let fault = with("s3cret", mode).unwrap_err().to_string();
        assert!(fault.contains("chmod 600") && !fault.contains("s3cret"), "{fault}");
    }
    assert!(with("", 0o600).unwrap_err().to_string().contains("is empty"));
    assert!(with(&"x".repeat(2000), 0o600).unwrap_err().to_string().contains("longer"));
    std::fs::remove_file(&path).unwrap();
    assert!(read_secret(&path).unwrap_err().to_string().contains("No such file"));
    assert!(read_secret(&std::env::temp_dir()).unwrap_err().to_string().contains("no regular file"));
}

#[test]
fn a_server_comes_back_as_the_section_recovery_says_and_as_on_the_platform_without_it() {
    let parse = |text: &str| asterrill_operator_config::parse("x.conf", text).unwrap().recovery;
    assert_eq!(parse(""), None);
    assert_eq!(parse("[recovery]"), Some(asterrill_operator_config::RecoverySettings::default()));
    let told = parse("[recovery]\nsnapshot 2s\ntrust 1h\nfirst-calls 3\nrepeats 0\nspread 100").unwrap();
    let (snapshot, trust) = (2_000_000, 3_600_000_000);
    assert_eq!(
        told,
        asterrill_operator_config::RecoverySettings {
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
fn members_are_as_the_section_says_and_nobody_is_known_without_it() {
    let parse = |text: &str| asterrill_operator_config::parse("x.conf", text).unwrap().members;
    assert_eq!(parse("[recovery]"), None);
    let plain = parse(MEMBERS).unwrap();
    assert_eq!((plain.advertise, plain.expected_members, plain.probe_interval), (plain.listen, 5, 200_000));
    let told = parse(&format!(
        "{MEMBERS}advertise 10.0.0.1:1\ncontact 10.0.0.2:1\ncontact 10.0.0.3:1\nzone a\ncapacity 4\nprobe 1s\n\
         suspicion 5s\ngreet 2s\nsettle 3s\nforget 1d\ncalm 2m"
    ));
    let told = told.unwrap();
    assert_eq!((told.seed_addresses.len(), told.zone.as_str(), told.capacity), (2, "a", 4));
    assert_eq!(
        (told.suspicion_timeout, told.forget_after, told.flap_window),
        (5_000_000, 86_400_000_000, 120_000_000)
    );
}
