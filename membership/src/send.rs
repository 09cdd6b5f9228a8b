//! Datagrams that the caller requests: messages, and the announcement that this member leaves.

use crate::member::MemberStatus;
use crate::member_name::MemberName;
use crate::state::Membership;
use crate::transmit::PayloadKind;
use asterrill::Us;
use std::net::SocketAddr;

impl Membership {
    /// Sends a message to a member once, without retransmission.
    ///
    /// The message is dropped if the member is not in the table, and it may be lost on the network.
    pub fn send_message(&mut self, to: &MemberName, body: &[u8]) {
        if self.is_finished() {
            return;
        }
        let member = self.members.get(to).filter(|member| member.is_addressable());
        if let Some(addr) = member.map(|member| member.id.addr) {
            self.send(addr, &PayloadKind::Message.payload(body));
        }
    }

    /// Announces to the other members that this one leaves, so that they don't suspect it.
    ///
    /// Damped members are not informed. Further input has no effect.
    pub fn leave(&mut self, now: Us) {
        self.now = self.now.max(now);
        if std::mem::replace(&mut self.leaving, true) || self.displaced {
            return;
        }
        let others = self.members.values();
        let others = others.filter(|member| member.status != MemberStatus::Left && !member.damped);
        let addresses: Vec<SocketAddr> = others.map(|member| member.id.addr).collect();
        for addr in addresses {
            self.send(addr, &PayloadKind::Leave.payload(&[]));
        }
        // The departure is not gossiped as well. Gossip could overtake the announcement and look like a failure.
        self.timers.clear();
        self.lease.revoke();
    }
}
