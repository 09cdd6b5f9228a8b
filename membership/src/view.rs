//! How much of the cluster a member sees.

use crate::member_name::MemberName;
use asterrill::Us;

/// What a member sees of the cluster, against the agreed size. What each part of a backend does in each view:
/// [`crate::role_policy`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// All agreed members are present.
    Complete,
    /// More than half of them.
    Majority,
    /// Half of them or fewer.
    Minority,
    /// Nobody else, though there should be.
    Isolated,
}

impl View {
    /// The word for it in the log and on the control socket.
    pub fn name(self) -> &'static str {
        match self {
            View::Complete => "whole",
            View::Majority => "majority",
            View::Minority => "minority",
            View::Isolated => "alone",
        }
    }

    /// More than half of the agreed members are present. In a partition this holds on one side at most, which may take
    /// over the quota of the others.
    pub fn has_quorum(self) -> bool {
        matches!(self, View::Complete | View::Majority)
    }
}

/// On what a view rests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewEvidence {
    /// Agreed members that are present, this one included.
    pub present: usize,
    /// The agreed size of the cluster.
    pub agreed_size: usize,
    /// Agreed members that are absent: the first five by name.
    pub missing: Vec<MemberName>,
    /// When the view changed last, in microseconds of the monotonic clock.
    pub since: Us,
}
