//! What each part of a backend does in each view. The one table; `docs/design/membership.md` has it in words.

use crate::view::View;

/// Of what members divide, the share that is divided evenly for good: each member keeps its slice of it in every view,
/// so that a side of a cut that does not lead still hears of the layer below, and the slices together stay under it.
pub const SLICES: f64 = 0.25;

/// Which changes of the settings an operator may make here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changes {
    Any,
    /// Back to what ran before, or the word that the running one is good.
    OnlyBack,
}

/// What a backend does in a view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conduct {
    /// Of what the settings divide among `expect` members, this one's part over the even one: tenants' shares, and the
    /// bound on calls to a layer below that all share.
    pub part: f64,
    pub changes: Changes,
    /// It goes on saying that it is ready, as far as its own work goes: callers cut off from the rest have only it.
    pub ready: bool,
}

/// The table. `lease`: of 1, what this member may take of what is divided by leases; `expect`: among how many the settings
/// divide.
///
/// The parts of all sides of a cut together are at most `expect` times the even one: `SLICES` of it in slices, the rest
/// by leases, whose sum is at most 1.
pub fn conduct(view: View, lease: f64, expect: usize, size: usize) -> Conduct {
    let expect = expect.max(1) as f64;
    let slice = SLICES * expect / expect.max(size as f64);
    let leads = view.leads();
    let leased = if leads { lease.clamp(0.0, 1.0) } else { 0.0 };
    Conduct {
        part: slice + (1.0 - SLICES) * expect * leased,
        changes: if leads { Changes::Any } else { Changes::OnlyBack },
        ready: true,
    }
}

#[cfg(test)]
#[path = "tests/role_policy.rs"]
mod tests;
