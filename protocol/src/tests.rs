//! Tests of the sidecar, agent, upstream and name service readers: valid input split at every byte, damaged input, and
//! the bounds of lines, frames and bodies.

use crate::sidecar::{self, StreamId};
use crate::{agent, name_service, upstream, ProtocolError, MAX_BODY_BYTES};
use asterrill::{FinalAnswer, RpcId};
use quickcheck::{Gen, QuickCheck};

/// Function that feeds pieces of input to a new reader. It returns the `Debug` text of each message, and the error if
/// there was one.
type Feed = fn(&[&[u8]]) -> (Vec<String>, Option<ProtocolError>);

macro_rules! feed {
    ($reader:ty) => {
        |pieces| {
            let (mut reader, mut messages) = (<$reader>::default(), Vec::new());
            for piece in pieces {
                let mut bytes = *piece;
                loop {
                    let before = bytes.len();
                    match reader.next(&mut bytes) {
                        Ok(Some(message)) => messages.push(format!("{message:?}")),
                        Ok(None) => break assert!(bytes.is_empty(), "input was not consumed"),
                        Err(error) => return (messages, Some(error)),
                    }
                    assert!(
                        bytes.len() < before || before == 0,
                        "a message was returned without consuming input"
                    );
                }
            }
            (messages, None)
        }
    };
}

/// All readers, by the name of their protocol.
const READERS: [(&str, Feed); 4] = [
    ("sidecar", feed!(sidecar::Reader)),
    ("agent", feed!(agent::Reader)),
    ("upstream", feed!(upstream::Reader)),
    ("name service", feed!(name_service::Reader)),
];

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (5 + payload.len()) as u32;
    [&length.to_be_bytes()[..], &[kind], &stream.to_be_bytes(), payload].concat()
}

fn encode_fields(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = vec![fields.len() as u8];
    for (name, value) in fields {
        bytes.push(name.len() as u8);
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
        bytes.extend_from_slice(value.as_bytes());
    }
    bytes
}

/// Valid fields of an RPC.
const RPC_FIELDS: [(&str, &str); 9] = [
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

fn rpc(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    frame(1, stream, &[encode_fields(fields), body.to_vec()].concat())
}

/// Returns valid input for each reader, in the order of [`READERS`], with the number of messages in it.
fn valid_input() -> [(Vec<u8>, usize); 4] {
    let long = "x".repeat(40_000);
    let unknown = [&RPC_FIELDS[..], &[("doc", long.as_str()), ("", "")]].concat();
    let sidecar = [
        rpc(1, &RPC_FIELDS, b"any\r\n\0bytes"),
        frame(3, 1, &[]),
        rpc(2, &unknown, b""),
        frame(4, 3, &encode_fields(&[("thorough", "1")])),
        rpc(7, &RPC_FIELDS[1..], b"no method"),
    ];
    let agent: &[u8] = b"greeting EMPTY 12\r\nrequest 1 ab 4\r\n\r\n\r\n\r\naside 2 hear hear 9\r\n\
        outcome 3 ab PASS 12.5 3\r\n\0\r\n\r\noutcome 4 cd KILLED 1 0\r\n\r\nsampled 7 0.5 3 0 120\r\n\
        exercised 8 FAIL\r\nrefusal launch ab\r\n";
    let upstream: &[u8] = b"ab DONE 5\r\na\r\nbc\r\ncd WAIT\r\nef ERROR\r\nab PAST\r\ncd EMPTY\r\n";
    let name_service: &[u8] =
        b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\n\
        Content-Length: 4\r\n\r\nlateHTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
    [(sidecar.concat(), 5), (agent.to_vec(), 8), (upstream.to_vec(), 5), (name_service.to_vec(), 3)]
}

#[test]
fn messages_do_not_depend_on_how_bytes_are_split() {
    for ((name, feed), (bytes, count)) in READERS.iter().zip(valid_input()) {
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
    fn split_does_not_matter(damage: Vec<(u16, u8)>, noise: Vec<u8>, piece_size: u8) -> bool {
        for ((name, feed), (mut bytes, _)) in READERS.iter().zip(valid_input()) {
            feed(&[&noise]);
            for (at, byte) in &damage {
                let at = *at as usize % bytes.len();
                bytes[at] = *byte;
            }
            bytes.extend_from_slice(&noise);
            let pieces: Vec<&[u8]> = bytes.chunks(piece_size as usize + 1).collect();
            assert_eq!(feed(&[&bytes]), feed(&pieces), "{name}");
        }
        true
    }
    let mut runs = QuickCheck::new().tests(400).rng(Gen::from_size_and_seed(20, 3));
    runs.quickcheck(split_does_not_matter as fn(Vec<(u16, u8)>, Vec<u8>, u8) -> bool);
}

#[test]
fn framing_errors_name_the_fault_and_end_the_reading() {
    let (_, feed) = READERS[0];
    let error_text = |bytes: Vec<u8>| feed(&[&bytes]).1.map(|error| error.0).unwrap_or("none");
    assert!(error_text([&4u32.to_be_bytes()[..], &[1, 0, 0, 0, 1]].concat()).contains("length"));
    assert!(error_text([&262_145u32.to_be_bytes()[..], &[1, 0, 0, 0, 1]].concat()).contains("length"));
    assert!(error_text(frame(9, 1, &[0])).contains("type"));
    assert!(error_text(frame(1, 1, &[1, 200, b'x'])).contains("fields"));
    assert!(error_text([rpc(1, &RPC_FIELDS, b""), rpc(1, &RPC_FIELDS, b"")].concat()).contains("twice"));
    assert!(error_text([rpc(1, &RPC_FIELDS, b""), frame(3, 2, &[])].concat()).contains("never used"));
    assert_eq!(error_text([frame(4, 1, &encode_fields(&[])), frame(3, 1, &[])].concat()), "none");
    assert_eq!(
        error_text([rpc(2, &RPC_FIELDS, b""), rpc(1, &RPC_FIELDS, b""), rpc(3, &RPC_FIELDS, b"")].concat()),
        "none"
    );
    let mut reader = sidecar::Reader::default();
    assert!(reader.next(&mut &frame(9, 1, &[])[..]).is_err());
    assert!(reader.next(&mut &rpc(1, &RPC_FIELDS, b"")[..]).is_err());
}

#[test]
fn malformed_fields_and_long_bodies_do_not_break_framing() {
    let (_, feed) = READERS[0];
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
        let mut fields = RPC_FIELDS;
        fields[at].1 = value;
        let bytes = [rpc(1, &fields, b""), rpc(2, &RPC_FIELDS, b"")].concat();
        let (messages, error) = feed(&[&bytes]);
        assert!(
            messages.len() == 2
                && messages[0].contains("Malformed")
                && messages[1].contains("Rpc")
                && error.is_none(),
            "{messages:?}"
        );
    }
    let (messages, _) = feed(&[&[rpc(1, &RPC_FIELDS, &[7; 2049]), rpc(2, &RPC_FIELDS, &[7; 2048])].concat()]);
    assert!(messages[0].contains("Malformed") && messages[1].contains("Rpc"));
}

#[test]
fn optional_fields_may_be_missing() {
    let (_, feed) = READERS[0];
    // Callers without a time limit, without a tenant, or with RPCs on no single entity omit these fields.
    for omitted in
        [&["patience"][..], &["customer"], &["entity"], &["patience", "customer", "entity", "order"]]
    {
        let fields: Vec<_> = RPC_FIELDS.into_iter().filter(|(name, _)| !omitted.contains(name)).collect();
        let (messages, error) = feed(&[&rpc(1, &fields, b"")]);
        assert!(
            messages.len() == 1 && messages[0].starts_with("Rpc") && error.is_none(),
            "{omitted:?}: {messages:?}"
        );
    }
    // An RPC without a required field is malformed.
    for omitted in ["route", "trace", "born", "client", "size"] {
        let fields: Vec<_> = RPC_FIELDS.into_iter().filter(|(name, _)| *name != omitted).collect();
        assert!(feed(&[&rpc(1, &fields, b"")]).0[0].starts_with("Malformed"), "{omitted}");
    }
}

#[test]
fn lines_and_bodies_are_bounded() {
    let (_, feed) = READERS[1];
    assert!(feed(&[&[b'a'; 4000]]).1.is_some());
    // A body over the maximum length is skipped, and the notice after it is read.
    let call_with_body = |length: usize, end: &str| {
        format!("request 1 ab {length}\r\n{}{end}aside 2 on\r\n", "x".repeat(length))
    };
    for (length, expected_body) in
        [(MAX_BODY_BYTES, "Some"), (MAX_BODY_BYTES + 1, "None"), (3 * MAX_BODY_BYTES, "None")]
    {
        let bytes = call_with_body(length, "\r\n");
        for piece_size in [1, 2, 3, 1000, bytes.len()] {
            let (messages, error) = feed(&bytes.as_bytes().chunks(piece_size).collect::<Vec<_>>());
            assert!(
                messages.len() == 2 && messages[0].contains(expected_body) && error.is_none(),
                "{length} bytes in pieces of {piece_size}"
            );
        }
        assert!(feed(&[call_with_body(length, "\n\r").as_bytes()]).1.is_some());
    }
    let oversized_result =
        format!("outcome 1 ab PASS 1 {0}\r\n{1}\r\n", MAX_BODY_BYTES + 1, "x".repeat(MAX_BODY_BYTES + 1));
    assert!(feed(&[oversized_result.as_bytes()]).0[0].contains("Aborted"));
    assert!(feed(&[b"request 1 ab 99999999999\r\n"]).1.is_some());
    // An upstream reply that is too long to forward is an error at once. The reader does not wait for its end, which
    // may never arrive.
    let (_, feed_upstream) = READERS[2];
    for reply in [
        format!("ab DONE {}\r\n", MAX_BODY_BYTES + 1),
        "ab DONE 3000000000\r\n".into(),
        "ab DONE -1\r\n".into(),
    ] {
        assert!(feed_upstream(&[reply.as_bytes()]).1.is_some(), "{reply}");
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
    let payload = [&[0][..], &encode_fields(&[("advice", "2.5000")]), b"r\r\n"].concat();
    assert_eq!(to, frame(2, 9, &payload));
    to.clear();
    sidecar::answer(&mut to, StreamId(9), FinalAnswer::Rejected { terminal: true, retry_after: 1_500 }, None);
    assert_eq!(to, frame(2, 9, &[&[11][..], &encode_fields(&[("pause", "2"), ("terminal", "1")])].concat()));
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

/// Guards against connections that hold the memory of very many fields: 800 of them took 54 MB.
#[test]
fn memory_of_a_frame_is_bounded_whatever_its_fields() {
    let value = "v".repeat(128);
    let fields: Vec<(&str, &str)> = (0..255).map(|n| (RPC_FIELDS[n % 9].0, value.as_str())).collect();
    let bytes = rpc(1, &fields, &[7; 2_048]);
    let mut reader = sidecar::Reader::default();
    for piece in bytes.chunks(100) {
        let mut piece = piece;
        while reader.next(&mut piece).unwrap().is_some() {}
        assert!(reader.stored_bytes() <= 10 * 1024, "{} bytes are stored", reader.stored_bytes());
    }
    reader.release_memory();
    assert_eq!(reader.stored_bytes(), 0);
}

#[test]
fn first_of_several_fields_with_one_name_counts() {
    let mut fields = RPC_FIELDS.to_vec();
    fields.insert(1, ("route", "other"));
    let bytes = rpc(1, &fields, b"");
    let mut reader = sidecar::Reader::default();
    match reader.next(&mut &bytes[..]) {
        Ok(Some(sidecar::Frame::Rpc(_, request, _))) => assert_eq!(request.method, "look"),
        other => panic!("{other:?}"),
    }
}
