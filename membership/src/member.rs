//! One entry of the member table.

use crate::flap::FlapScore;
use crate::member_id::MemberId;
use asterrill::Us;

/// The state of a member, in the terms of SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It answers probes.
    Alive,
    /// A probe failed; it is dead if it does not refute that in time.
    Suspect,
    /// It was declared dead.
    Dead,
    /// It announced that it leaves.
    Left,
}

/// Why a member has its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusReason {
    /// It is alive; there is nothing to explain.
    Alive,
    /// A probe of it, by this member or another, was not answered.
    ProbeFailed,
    /// Direct and indirect probes were not answered until the suspicion timeout.
    Unreachable,
    /// It announced that it leaves.
    LeaveAnnounced,
    /// It uses this member's name.
    DuplicateName,
}

impl StatusReason {
    /// For the log and for operators; empty for [`StatusReason::Alive`].
    pub fn as_str(self) -> &'static str {
        match self {
            StatusReason::Alive => "",
            StatusReason::ProbeFailed => "it did not answer a probe",
            StatusReason::Unreachable => "it did not answer, nor for others",
            StatusReason::LeaveAnnounced => "it said so",
            StatusReason::DuplicateName => "it goes by this member's name",
        }
    }
}

/// One member as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberInfo {
    /// Its identity, as it was gossiped last.
    pub id: MemberId,
    /// Its state.
    pub status: MemberStatus,
    /// When it got that status, in microseconds of this machine's monotonic clock.
    pub since: Us,
    /// When its last datagram came, by the same clock; none if there was none.
    pub last_heard: Option<Us>,
    /// Of its last answer to a probe, in microseconds.
    pub round_trip: Option<Us>,
    /// Why it has that status.
    pub reason: StatusReason,
    /// It died and came back so often that it does not count for the view.
    pub flapping: bool,
}

/// What the table stores of a member.
pub(crate) struct Member {
    pub(crate) id: MemberId,
    pub(crate) status: MemberStatus,
    pub(crate) since: Us,
    pub(crate) last_heard: Option<Us>,
    pub(crate) round_trip: Option<Us>,
    pub(crate) reason: StatusReason,
    pub(crate) flaps: FlapScore,
    /// It flaps: it does not count for the view until its score has decayed.
    pub(crate) damped: bool,
}

impl Member {
    /// A member of which nothing was heard directly.
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

    /// Alive or suspect: whatever it leased is still its own.
    pub(crate) fn is_reachable(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }

    /// It counts for the view.
    pub(crate) fn counts_for_view(&self) -> bool {
        self.is_reachable() && !self.damped
    }

    /// Dead or left.
    pub(crate) fn is_dead_or_left(&self) -> bool {
        matches!(self.status, MemberStatus::Dead | MemberStatus::Left)
    }

    /// It has not left and its address is one that can be sent to.
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
