//! The view: how much of the cluster a member sees.

use crate::member_name::MemberName;
use asterrill::Us;

/// Share of the agreed members that a member sees as present.
///
/// [`crate::role_policy`] defines what each part of a backend does in each view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// All agreed members are present.
    Complete,
    /// More than half of the agreed members are present, but not all.
    Majority,
    /// At most half of the agreed members are present.
    Minority,
    /// No other member is present, although the agreed size is greater than 1.
    Isolated,
}

impl View {
    /// Returns the name of the view in the log and on the control socket.
    pub fn name(self) -> &'static str {
        match self {
            View::Complete => "whole",
            View::Majority => "majority",
            View::Minority => "minority",
            View::Isolated => "alone",
        }
    }

    /// Reports whether more than half of the agreed members are present.
    ///
    /// During a partition this holds on at most one side, which may therefore take over the quota of the others.
    pub fn has_quorum(self) -> bool {
        matches!(self, View::Complete | View::Majority)
    }
}

/// Evidence for a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewEvidence {
    /// Number of agreed members that are present, including this one.
    pub present: usize,
    /// Agreed size of the cluster.
    pub agreed_size: usize,
    /// Agreed members that are absent, the first five in the order of their names.
    pub missing: Vec<MemberName>,
    /// Time of the last change of the view, in microseconds of the monotonic clock.
    pub since: Us,
}
