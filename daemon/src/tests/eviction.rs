//! Tests of the selection of connections to close.

use super::{select_least_useful, UnusedConnection};
use crate::dispatcher::sidecar_connection::IdleClass;
use crate::ids::ConnectionId;

fn unused(conn: u64, class: IdleClass, is_idle: bool) -> UnusedConnection {
    UnusedConnection { class, last_used: conn, conn: ConnectionId(conn), is_idle }
}

/// Guards against a close of a connection that has had a run because less useful ones were opened just before.
#[test]
fn closes_no_verified_connection_while_newer_less_useful_ones_make_up_the_excess() {
    let verified = unused(1, IdleClass::Verified, true);
    let checkers = (2..6).map(|conn| unused(conn, IdleClass::Unverified, false));
    let connections: Vec<UnusedConnection> = [verified].into_iter().chain(checkers).collect();
    assert_eq!(select_least_useful(connections.clone(), 4), []);
    assert_eq!(select_least_useful(connections, 5), [ConnectionId(1)], "more than the others are too many");
}

#[test]
fn closes_the_least_useful_idle_connections_first() {
    let connections = vec![
        unused(1, IdleClass::Verified, true),
        unused(2, IdleClass::Unverified, true),
        unused(3, IdleClass::Silent, true),
        unused(4, IdleClass::Unverified, true),
    ];
    assert_eq!(select_least_useful(connections, 3), [3, 2, 4].map(ConnectionId));
}
