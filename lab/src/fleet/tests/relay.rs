//! Tests of `relay.rs`.

use super::*;
use std::time::Instant;

fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut bytes = [0; 64];
                while let Ok(n) = stream.read(&mut bytes) {
                    if n == 0 || stream.write_all(&bytes[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

#[test]
fn a_relay_passes_delays_hangs_each_way_by_itself_resets_and_is_gone() {
    let relay = Relay::start(echo()).unwrap();
    let mut line = TcpStream::connect(relay.at).unwrap();
    line.set_read_timeout(Some(Duration::from_millis(80))).unwrap();
    let mut one = [0; 1];
    line.write_all(b"a").unwrap();
    line.read_exact(&mut one).unwrap();
    assert_eq!(&one, b"a");
    relay.delay(Duration::from_millis(20));
    let start = Instant::now();
    line.write_all(b"b").unwrap();
    line.read_exact(&mut one).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(40));
    relay.delay(Duration::ZERO);
    for there in [true, false] {
        relay.hang_one(there, true);
        line.write_all(b"c").unwrap();
        assert!(line.read_exact(&mut one).is_err(), "nothing comes while it hangs");
        relay.hang_one(there, false);
        line.read_exact(&mut one).unwrap();
        assert_eq!(&one, b"c", "what was withheld comes");
    }
    relay.reset();
    assert!(matches!(line.read(&mut one), Ok(0) | Err(_)));
    relay.gone(true);
    let mut other = TcpStream::connect(relay.at).unwrap();
    assert!(matches!(other.read(&mut one), Ok(0) | Err(_)));
    relay.gone(false);
    let mut other = TcpStream::connect(relay.at).unwrap();
    other.write_all(b"d").unwrap();
    other.read_exact(&mut one).unwrap();
    assert_eq!(&one, b"d");
}
