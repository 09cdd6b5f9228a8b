//! Entries of the member table, and their form for operators.

use crate::flap::FlapScore;
use crate::member_id::MemberId;
use asterrill::Us;

/// State of a member, in the terms of SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// The member answers probes.
    Alive,
    /// A probe failed; the member is declared dead unless it refutes the suspicion in time.
    Suspect,
    /// The member was declared dead.
    Dead,
    /// The member announced that it leaves.
    Left,
}

/// Reason for the status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusReason {
    /// The member is alive, which needs no reason.
    Alive,
    /// The member did not answer a probe by this member or another one.
    ProbeFailed,
    /// The member did not answer direct or indirect probes until the suspicion timeout.
    Unreachable,
    /// The member announced that it leaves.
    LeaveAnnounced,
    /// Another process uses this member's name.
    DuplicateName,
}

impl StatusReason {
    /// Returns the reason as text for the log and the control socket; empty for [`StatusReason::Alive`].
    pub fn as_str(self) -> &'static str {
        match self {
            StatusReason::Alive => "",
            StatusReason::ProbeFailed => "no answer to a probe",
            StatusReason::Unreachable => {
                "no answer to direct and indirect probes until the suspicion timeout"
            }
            StatusReason::LeaveAnnounced => "the member announced that it leaves",
            StatusReason::DuplicateName => "another process uses the name of the reporting member",
        }
    }
}

/// Status of a member as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberInfo {
    /// Identity of the member, as it was last gossiped.
    pub id: MemberId,
    /// State of the member.
    pub status: MemberStatus,
    /// Time at which the member got that status, in microseconds of this machine's monotonic clock.
    pub since: Us,
    /// Arrival time of the member's last datagram, by the same clock; none if there was none.
    pub last_heard: Option<Us>,
    /// Round-trip time of the last answered probe, in microseconds.
    pub round_trip: Option<Us>,
    /// Reason for that status.
    pub reason: StatusReason,
    /// True if the member died and returned so often that it does not count for the view.
    pub flapping: bool,
}

/// Entry of the member table.
pub(crate) struct Member {
    pub(crate) id: MemberId,
    pub(crate) status: MemberStatus,
    pub(crate) since: Us,
    pub(crate) last_heard: Option<Us>,
    pub(crate) round_trip: Option<Us>,
    pub(crate) reason: StatusReason,
    pub(crate) flaps: FlapScore,
    /// True if the member flaps and does not count for the view until its score has decayed.
    pub(crate) damped: bool,
}

impl Member {
    /// Creates the entry of a member from which no datagram was received yet.
    pub(crate) fn new(id: MemberId, status: MemberStatus, reason: StatusReason, now: Us) -> Member {
        Member {
            id,
            status,
            since: now,
            last_heard: None,
            round_trip: None,
            reason,
            flaps: FlapScore::new(now),
            damped: false,
        }
    }

    pub(crate) fn set_status(&mut self, status: MemberStatus, reason: StatusReason, now: Us) {
        self.status = status;
        self.since = now;
        self.reason = reason;
    }

    /// Reports whether the member is alive or suspect, so that its leased quota still belongs to it.
    pub(crate) fn is_reachable(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }

    /// Reports whether the member counts for the view.
    pub(crate) fn counts_for_view(&self) -> bool {
        self.is_reachable() && !self.damped
    }

    /// Reports whether the member is dead or has left.
    pub(crate) fn is_dead_or_left(&self) -> bool {
        matches!(self.status, MemberStatus::Dead | MemberStatus::Left)
    }

    /// Reports whether the member has not left and has an address to which datagrams can be sent.
    pub(crate) fn is_addressable(&self) -> bool {
        self.status != MemberStatus::Left && !self.id.addr.ip().is_unspecified()
    }

    pub(crate) fn info(&self) -> MemberInfo {
        MemberInfo {
            id: self.id.clone(),
            status: self.status,
            since: self.since,
            last_heard: self.last_heard,
            round_trip: self.round_trip,
            reason: self.reason,
            flapping: self.damped,
        }
    }
}
