//! Every state machine fed its bytes split at every place, byte by byte, and garbage.

use crate::sidecar::{self, StreamId};
use crate::{agent, name_service, upstream, ProtocolError, MAX_BODY_BYTES};
use asterrill::FinalAnswer;
use asterrill::RpcId;
use quickcheck::{Gen, QuickCheck};

/// Feeds pieces to a fresh reader; what it hands back, in words, and how it ended.
type Feed = fn(&[&[u8]]) -> (Vec<String>, Option<ProtocolError>);

macro_rules! feed {
    ($reader:ty) => {
        |pieces| {
            let (mut reader, mut said) = (<$reader>::default(), Vec::new());
            for piece in pieces {
                let mut bytes = *piece;
                loop {
                    let before = bytes.len();
                    match reader.next(&mut bytes) {
                        Ok(Some(message)) => said.push(format!("{message:?}")),
                        Ok(None) => break assert!(bytes.is_empty(), "bytes left behind"),
                        Err(broken) => return (said, Some(broken)),
                    }
                    assert!(bytes.len() < before || before == 0, "a message out of nothing");
                }
            }
            (said, None)
        }
    };
}

const MACHINES: [(&str, Feed); 4] = [
    ("frames", feed!(sidecar::Reader)),
    ("agent", feed!(agent::Reader)),
    ("records", feed!(upstream::Reader)),
    ("naming", feed!(name_service::Reader)),
];

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (5 + payload.len()) as u32;
    [&length.to_be_bytes()[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

fn fields(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut to = vec![fields.len() as u8];
    for (name, value) in fields {
        to.push(name.len() as u8);
        to.extend_from_slice(name.as_bytes());
        to.extend_from_slice(&(value.len() as u16).to_be_bytes());
        to.extend_from_slice(value.as_bytes());
    }
    to
}

const ASK: [(&str, &str); 9] = [
    ("route", "look"),
    ("trace", "00000000000000ab"),
    ("born", "1000"),
    ("client", "4"),
    ("customer", "acme"),
    ("patience", "480"),
    ("size", "24.5"),
    ("entity", "7f3a9c21e0b4d655"),
    ("order", "0.6250"),
];

fn rpc(stream: u32, with: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    frame(1, stream, &[fields(with), body.to_vec()].concat())
}

/// One good conversation for each machine, and the number of messages in it.
fn good() -> [(Vec<u8>, usize); 4] {
    let long = "x".repeat(40_000);
    let unknown = [&ASK[..], &[("doc", long.as_str()), ("", "")]].concat();
    let frames = [
        rpc(1, &ASK, b"any\r\n\0bytes"),
        frame(3, 1, &[]),
        rpc(2, &unknown, b""),
        frame(4, 3, &fields(&[("thorough", "1")])),
        rpc(7, &ASK[1..], b"no method"),
    ];
    let agent: &[u8] = b"greeting EMPTY 12\r\nrequest 1 ab 4\r\n\r\n\r\n\r\naside 2 hear hear 9\r\n\
        outcome 3 ab PASS 12.5 3\r\n\0\r\n\r\noutcome 4 cd KILLED 1 0\r\n\r\nsampled 7 0.5 3 0 120\r\n\
        exercised 8 FAIL\r\nrefusal launch ab\r\n";
    let records: &[u8] = b"ab DONE 5\r\na\r\nbc\r\ncd WAIT\r\nef ERROR\r\nab PAST\r\ncd EMPTY\r\n";
    let naming: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\n\
        Content-Length: 4\r\n\r\nlateHTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
    [(frames.concat(), 5), (agent.to_vec(), 8), (records.to_vec(), 5), (naming.to_vec(), 3)]
}

#[test]
fn messages_do_not_depend_on_how_bytes_are_split() {
    for ((name, feed), (bytes, count)) in MACHINES.iter().zip(good()) {
        let whole = feed(&[&bytes]);
        assert_eq!((whole.0.len(), &whole.1), (count, &None), "{name}");
        for at in 0..bytes.len() {
            assert_eq!(feed(&[&bytes[..at], &bytes[at..]]), whole, "{name} split at {at}");
        }
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(feed(&single), whole, "{name} byte by byte");
    }
}

#[test]
fn damaged_input_never_panics_and_reads_the_same_in_fragments() {
    fn holds(damage: Vec<(u16, u8)>, noise: Vec<u8>, piece: u8) -> bool {
        for ((name, feed), (mut bytes, _)) in MACHINES.iter().zip(good()) {
            feed(&[&noise]);
            for (at, with) in &damage {
                let at = *at as usize % bytes.len();
                bytes[at] = *with;
            }
            bytes.extend_from_slice(&noise);
            let pieces: Vec<&[u8]> = bytes.chunks(piece as usize + 1).collect();
            assert_eq!(feed(&[&bytes]), feed(&pieces), "{name}");
        }
        true
    }
    let mut runs = QuickCheck::new().tests(400).rng(Gen::from_size_and_seed(20, 3));
    runs.quickcheck(holds as fn(Vec<(u16, u8)>, Vec<u8>, u8) -> bool);
}

#[test]
fn framing_errors_are_named_and_final() {
    let (_, feed) = MACHINES[0];
    let fault = |bytes: Vec<u8>| feed(&[&bytes]).1.map(|b| b.0).unwrap_or("none");
    assert!(fault([&4u32.to_be_bytes()[..], &[1, 0, 0, 0, 1]].concat()).contains("length"));
    assert!(fault([&262_145u32.to_be_bytes()[..], &[1, 0, 0, 0, 1]].concat()).contains("length"));
    assert!(fault(frame(9, 1, &[0])).contains("type"));
    assert!(fault(frame(1, 1, &[1, 200, b'x'])).contains("fields"));
    assert!(fault([rpc(1, &ASK, b""), rpc(1, &ASK, b"")].concat()).contains("twice"));
    assert!(fault([rpc(1, &ASK, b""), frame(3, 2, &[])].concat()).contains("never used"));
    assert_eq!(fault([frame(4, 1, &fields(&[])), frame(3, 1, &[])].concat()), "none");
    assert_eq!(fault([rpc(2, &ASK, b""), rpc(1, &ASK, b""), rpc(3, &ASK, b"")].concat()), "none");
    let mut reader = sidecar::Reader::default();
    assert!(reader.next(&mut &frame(9, 1, &[])[..]).is_err());
    assert!(reader.next(&mut &rpc(1, &ASK, b"")[..]).is_err());
}

#[test]
fn malformed_fields_and_long_bodies_do_not_break_framing() {
    let (_, feed) = MACHINES[0];
    for (at, value) in [
        (1, "short"),
        (1, "zz00000000000000"),
        (2, "-5"),
        (3, ""),
        (5, "soon"),
        (6, "0"),
        (6, "NaN"),
        (7, "g"),
        (3, "+4"),
        (7, "+f"),
        (8, "1"),
        (8, "-0.1"),
        (8, "NaN"),
        (8, "first"),
    ] {
        let mut odd = ASK;
        odd[at].1 = value;
        let bytes = [rpc(1, &odd, b""), rpc(2, &ASK, b"")].concat();
        let (said, broken) = feed(&[&bytes]);
        assert!(
            said.len() == 2 && said[0].contains("Malformed") && said[1].contains("Rpc") && broken.is_none(),
            "{said:?}"
        );
    }
    let (said, _) = feed(&[&[rpc(1, &ASK, &[7; 2049]), rpc(2, &ASK, &[7; 2048])].concat()]);
    assert!(said[0].contains("Malformed") && said[1].contains("Rpc"));
}

#[test]
fn optional_fields_may_be_missing() {
    let (_, feed) = MACHINES[0];
    // Sites whose callers state no patience, have no tenants, or write: the fields are not there.
    for left_out in
        [&["patience"][..], &["customer"], &["entity"], &["patience", "customer", "entity", "order"]]
    {
        let some: Vec<_> = ASK.into_iter().filter(|(name, _)| !left_out.contains(name)).collect();
        let (said, broken) = feed(&[&rpc(1, &some, b"")]);
        assert!(said.len() == 1 && said[0].starts_with("Rpc") && broken.is_none(), "{left_out:?}: {said:?}");
    }
    // One that is there has to make sense, and what always comes has to be there.
    for left_out in ["route", "trace", "born", "client", "size"] {
        let some: Vec<_> = ASK.into_iter().filter(|(name, _)| *name != left_out).collect();
        assert!(feed(&[&rpc(1, &some, b"")]).0[0].starts_with("Malformed"), "{left_out}");
    }
}

#[test]
fn lines_and_bodies_have_bounds() {
    let (_, feed) = MACHINES[1];
    assert!(feed(&[&[b'a'; 4000]]).1.is_some());
    // A body too long to be passed on is passed over, and what follows is read.
    let long = |n: usize, end: &str| format!("request 1 ab {n}\r\n{}{end}aside 2 on\r\n", "x".repeat(n));
    for (n, what) in [(MAX_BODY_BYTES, "Some"), (MAX_BODY_BYTES + 1, "None"), (3 * MAX_BODY_BYTES, "None")] {
        let bytes = long(n, "\r\n");
        for piece in [1, 2, 3, 1000, bytes.len()] {
            let (said, broken) = feed(&bytes.as_bytes().chunks(piece).collect::<Vec<_>>());
            assert!(said.len() == 2 && said[0].contains(what) && broken.is_none(), "{n} in {piece}");
        }
        assert!(feed(&[long(n, "\n\r").as_bytes()]).1.is_some());
    }
    let passed =
        format!("outcome 1 ab PASS 1 {0}\r\n{1}\r\n", MAX_BODY_BYTES + 1, "x".repeat(MAX_BODY_BYTES + 1));
    assert!(feed(&[passed.as_bytes()]).0[0].contains("Aborted"));
    assert!(feed(&[b"request 1 ab 99999999999\r\n"]).1.is_some());
    // A reply from below that can't be passed on spoils its link at once: it may never come to its end.
    let (_, below) = MACHINES[2];
    for spoilt in [
        format!("ab DONE {}\r\n", MAX_BODY_BYTES + 1),
        "ab DONE 3000000000\r\n".into(),
        "ab DONE -1\r\n".into(),
    ] {
        assert!(below(&[spoilt.as_bytes()]).1.is_some(), "{spoilt}");
    }
    let mut reader = upstream::Reader::default();
    for (piece, has_partial) in
        [("ab DO", true), ("NE 2\r\n", true), ("x", true), ("y\r\n", false), ("", false)]
    {
        reader.next(&mut piece.as_bytes()).unwrap();
        assert_eq!(reader.has_partial(), has_partial, "after {piece:?}");
    }
    assert!(feed(&[b"request 1 ab 1\r\nxyz"]).1.is_some());
    assert!(feed(&[b"sampled 1 -2\r\n"]).1.is_some());
    assert!(feed(&[b"greeting MAYBE 1\r\n"]).1.is_some());
}

#[test]
fn written_messages_have_the_documented_form() {
    let mut to = Vec::new();
    sidecar::answer(&mut to, StreamId(9), FinalAnswer::Ok(b"r\r\n"), Some(2.5));
    let payload = [&[0][..], &fields(&[("advice", "2.5000")]), b"r\r\n"].concat();
    assert_eq!(to, frame(2, 9, &payload));
    to.clear();
    sidecar::answer(&mut to, StreamId(9), FinalAnswer::Rejected { terminal: true, retry_after: 1_500 }, None);
    assert_eq!(to, frame(2, 9, &[&[11][..], &fields(&[("pause", "2"), ("terminal", "1")])].concat()));
    to.clear();
    sidecar::answer(&mut to, StreamId(9), FinalAnswer::Aborted, None);
    sidecar::health(&mut to, StreamId(1), false, None);
    sidecar::goaway(&mut to);
    assert_eq!(to, [frame(2, 9, &[5, 0]), frame(5, 1, &[1, 0]), frame(6, 0, &[])].concat());
    let id = RpcId::new("00ab").unwrap();
    to.clear();
    agent::launch(&mut to, id, "look", 3);
    agent::skip(&mut to, id, agent::NoticeId(4));
    upstream::call(&mut to, id, 250_100, 9);
    upstream::cancel(&mut to, id);
    let lines = "launch 00ab look 3\r\nforgo 00ab 4\r\nOP 00ab 251 9\r\nUNOP 00ab\r\n";
    assert_eq!(String::from_utf8_lossy(&to), lines);
}
