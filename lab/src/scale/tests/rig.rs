use super::*;

/// How a stand-in for the process answers RPCs.
#[derive(Clone, Copy, PartialEq)]
enum Answers {
    Well,
    Never,
    Twice,
    WithAnothers,
    /// The pair that is asked for is known by its first name only, from the third asking on.
    ByHalf,
}

/// The body of an RPC, and the value of a field.
fn parts(payload: &[u8]) -> (BTreeMap<String, String>, Vec<u8>) {
    let (mut at, mut fields) = (1, BTreeMap::new());
    for _ in 0..payload[0] {
        let name = payload[at + 1..at + 1 + payload[at] as usize].to_vec();
        at += 1 + payload[at] as usize;
        let length = u16::from_be_bytes([payload[at], payload[at + 1]]) as usize;
        let value = payload[at + 2..at + 2 + length].to_vec();
        at += 2 + length;
        fields.insert(String::from_utf8(name).unwrap(), String::from_utf8(value).unwrap());
    }
    (fields, payload[at..].to_vec())
}

/// Answers connections on its own, as a process would that has the agent run everything.
fn stand_in(answers: Answers) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_on(stream, answers));
        }
    });
    at
}

fn answer_on(mut stream: TcpStream, answers: Answers) -> Option<()> {
    let mut pairs = 0;
    loop {
        let (kind, of, payload) = frame(&mut stream)?;
        if kind == 4 {
            stream.write_all(&[&[0, 0, 0, 6, 5][..], &of.to_be_bytes(), &[0]].concat()).ok()?;
            continue;
        }
        let (fields, body) = parts(&payload);
        let tenant = fields.get("customer").cloned().unwrap_or_default();
        pairs += u32::from(tenant.starts_with("a-"));
        let known = match (tenant.as_bytes().first(), answers) {
            (Some(b'a'), Answers::ByHalf) => pairs > 2,
            (Some(b'z'), Answers::ByHalf) => false,
            (Some(b'a' | b'z'), _) => pairs > 2,
            _ => true,
        };
        let result = match answers {
            Answers::WithAnothers => b"did rpc 0".to_vec(),
            _ => [b"did ", &body[..]].concat(),
        };
        let payload = if known { [&[0, 0][..], &result].concat() } else { vec![5, 0] };
        let head = [&(payload.len() as u32 + 5).to_be_bytes()[..], &[2], &of.to_be_bytes()].concat();
        let times = match answers {
            Answers::Never => 0,
            Answers::Twice => 2,
            _ => 1,
        };
        for _ in 0..times {
            stream.write_all(&[&head[..], &payload].concat()).ok()?;
        }
    }
}

fn load(answers: Answers, pair: u64) -> (Vec<Span>, Broken) {
    let (at, machine) = (stand_in(answers), Machine::start(Duration::ZERO).unwrap());
    let habits = Habits { methods: 3, tenants: 4, callers: 5, rate: 400.0, seed: 1 };
    let mut load = Load::start(at, &machine, habits).unwrap();
    load.asker(at).unwrap();
    load.pairs(at, 1).unwrap();
    load.pair(pair);
    // As long as it takes on a busy machine.
    let until = Instant::now() + Duration::from_secs(20);
    let asked = || lock(&load.ledger.spans[0]).asked >= 60;
    let paired = || answers == Answers::Never || pair == 0 || lock(&load.ledger.broken).pairs >= 20;
    while !(asked() && paired()) && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    let found = load.end().unwrap();
    machine.end();
    found
}

#[test]
fn what_is_answered_well_breaks_nothing() {
    let (spans, broken) = load(Answers::Well, 0);
    assert!(spans[0].ok > 20 && spans[0].ok == spans[0].asked, "{:?}", spans[0]);
    assert!(spans[0].gap > Duration::ZERO && spans[0].floor > Duration::ZERO);
    assert_eq!(broken, Broken::default());
}

#[test]
fn an_rpc_without_an_answer_is_lost() {
    let (spans, broken) = load(Answers::Never, 0);
    assert!(broken.lost > 20 && broken.lost == spans[0].asked, "{broken:?}");
}

#[test]
fn a_second_answer_is_seen() {
    assert!(load(Answers::Twice, 0).1.twice > 20);
}

#[test]
fn the_result_of_another_is_seen() {
    assert!(load(Answers::WithAnothers, 0).1.wrong > 20);
}

#[test]
fn a_change_that_comes_by_halves_is_seen() {
    let whole = load(Answers::Well, 7).1;
    assert!(whole.pairs > 10 && whole.older_after_newer == 0, "{whole:?}");
    let half = load(Answers::ByHalf, 7).1;
    assert!(half.older_after_newer > 0, "{half:?}");
}

#[test]
fn two_rpcs_tell_the_order_of_versions() {
    // A change that brings both: never the first one known, and not the second.
    assert!(crossed(true, false, false));
    assert!(![(true, true), (false, false), (false, true)].iter().any(|(a, b)| crossed(*a, *b, false)));
    // One that takes both.
    assert!(crossed(false, true, true));
    assert!(![(true, true), (false, false), (true, false)].iter().any(|(a, b)| crossed(*a, *b, true)));
}

#[test]
fn a_file_that_grew_counts_by_its_growth_and_a_new_one_whole() {
    let dir = std::env::temp_dir().join(format!("asterrill-lab-disk-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("log"), [0; 100]).unwrap();
    let mut disk = Disk::new(&dir);
    let log = std::fs::File::options().append(true).open(dir.join("log"));
    log.unwrap().write_all(&[0; 30]).unwrap();
    disk.look();
    assert_eq!(disk.bytes, 30);
    disk.look();
    assert_eq!(disk.bytes, 30);
    std::fs::write(dir.join("new"), [0; 80]).unwrap();
    std::fs::rename(dir.join("new"), dir.join("log")).unwrap();
    disk.look();
    assert_eq!(disk.bytes, 110);
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn a_process_is_metered() {
    let mut meter = Meter::new(std::process::id());
    let before = meter.read();
    let until = Instant::now() + Duration::from_secs(20);
    let mut burnt = 0.0;
    // As long as it takes on a busy machine.
    while burnt < 5.0 && Instant::now() < until {
        std::hint::black_box((0..1_000_000_u64).fold(0, |a, b| a ^ std::hint::black_box(b)));
        burnt = meter.read().cpu_ms(&before);
    }
    assert!(burnt >= 5.0);
    assert!(status_kb(std::process::id(), "VmRSS").unwrap() > 500);
}

#[test]
fn the_site_has_what_was_asked_for() {
    let mut site = Site::new(3, 2, 42);
    site.pairs.push(9);
    let settings = site.settings();
    let names = |list: &str| -> Vec<&str> {
        settings[list].as_array().unwrap().iter().map(|of| of["Name"].as_str().unwrap()).collect()
    };
    assert_eq!(names("Categories"), ["method-00000", "method-00001", "method-00002"]);
    assert_eq!(names("Tenants"), ["tenant-00000", "tenant-00001", "a-00009", "z-00009"]);
}
