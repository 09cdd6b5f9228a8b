//! Tests of `tcp_proxy.rs`.

use super::*;
use std::time::Instant;

fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
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
    address
}

#[test]
fn transfers_delays_stalls_each_direction_resets_and_refuses() {
    let proxy = TcpProxy::start(start_echo_server()).unwrap();
    let mut connection = TcpStream::connect(proxy.address).unwrap();
    connection.set_read_timeout(Some(Duration::from_millis(80))).unwrap();
    let mut one = [0; 1];
    connection.write_all(b"a").unwrap();
    connection.read_exact(&mut one).unwrap();
    assert_eq!(&one, b"a");
    proxy.set_delay(Duration::from_millis(20));
    let start = Instant::now();
    connection.write_all(b"b").unwrap();
    connection.read_exact(&mut one).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(40));
    proxy.set_delay(Duration::ZERO);
    for forward in [true, false] {
        proxy.set_direction_stalled(forward, true);
        connection.write_all(b"c").unwrap();
        assert!(connection.read_exact(&mut one).is_err(), "a stalled direction transfers nothing");
        proxy.set_direction_stalled(forward, false);
        connection.read_exact(&mut one).unwrap();
        assert_eq!(&one, b"c", "withheld data is transferred after the stall");
    }
    proxy.reset_connections();
    assert!(matches!(connection.read(&mut one), Ok(0) | Err(_)));
    proxy.set_refusing(true);
    let mut other = TcpStream::connect(proxy.address).unwrap();
    assert!(matches!(other.read(&mut one), Ok(0) | Err(_)));
    proxy.set_refusing(false);
    let mut other = TcpStream::connect(proxy.address).unwrap();
    other.write_all(b"d").unwrap();
    other.read_exact(&mut one).unwrap();
    assert_eq!(&one, b"d");
}
