//! The scenario `scale-members`: cost and latency of membership at the size of a fleet.
//!
//! Members are simulated in memory on virtual time, so that 1,020 of them fit in one process. CPU is that of this
//! process.
//!
//! | kind | what happens once all members know each other |
//! | --- | --- |
//! | `calm` | nothing; only the figures of an idle fleet |
//! | `quiet` | three crashes in sequence, and the wait until the quota of the first crashed member is reassigned |
//! | `restarts` | one restart every 45 s over the fleet, every third without an announcement |
//! | `zone` | 64 of 510 members crash at the same time and restart at the same time |
//! | `cut` | a partition into two halves that lasts longer than the quota transition |

mod action_queue;
mod crashes;
mod options;
mod partition;
mod processes;
mod restarts;
mod run;
mod scenario;
mod simulation;
mod zone;

pub use options::MembersOptions;
pub use processes::compare_with_processes;
pub use scenario::scenario;
