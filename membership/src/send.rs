//! What this member sends by itself: messages, and that it leaves.

use crate::member::MemberStatus;
use crate::member_name::MemberName;
use crate::state::Membership;
use crate::transmit::PayloadKind;
use asterrill::Us;
use std::net::SocketAddr;

impl Membership {
    /// Sends a message to a member, once. It is lost if the member is not in the table, as it may be on the way.
    pub fn send_message(&mut self, to: &MemberName, body: &[u8]) {
        if self.is_finished() {
            return;
        }
        let member = self.members.get(to).filter(|member| member.is_addressable());
        if let Some(addr) = member.map(|member| member.id.addr) {
            self.send(addr, &PayloadKind::Message.payload(body));
        }
    }

    /// This member leaves: it says so to all that are present, so that nobody has to suspect it. From then on no input
    /// changes anything.
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
        // Not gossiped besides: that would overtake the announcement itself, and look like a failure.
        self.timers.clear();
        self.lease.revoke();
    }
}
