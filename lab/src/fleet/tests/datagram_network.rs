//! Tests of `datagram_network.rs`.

use super::*;

#[test]
fn blocks_and_restores_each_direction_of_each_link() {
    let sockets: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let member_addresses: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    sockets.iter().for_each(|s| s.set_read_timeout(Some(Duration::from_millis(200))).unwrap());
    let network = DatagramNetwork::start(&member_addresses, 1).unwrap();
    let delivers = |from: usize, to: usize| {
        sockets[from].send_to(b"x", network.addresses[to]).unwrap();
        sockets[to].recv_from(&mut [0; 8]).is_ok()
    };
    assert!(delivers(0, 1) && delivers(1, 0));
    network.change_conditions(|conditions| conditions.blocked_links = BTreeSet::from([(0, 1)]));
    assert!(!delivers(0, 1) && delivers(1, 0) && delivers(0, 2));
    network
        .change_conditions(|conditions| (conditions.loss, conditions.blocked_links) = (1.0, BTreeSet::new()));
    assert!(!delivers(0, 2));
    network.change_conditions(|conditions| (conditions.loss, conditions.duplication) = (0.0, 1.0));
    assert!(delivers(0, 2) && sockets[2].recv_from(&mut [0; 8]).is_ok(), "the datagram is delivered twice");
    let blocked = blocked_links_between(&[vec![0, 1], vec![1, 2]], 3);
    assert_eq!(blocked, BTreeSet::from([(0, 2), (2, 0)]));
}
