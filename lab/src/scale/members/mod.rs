//! `scale-members`: what it costs to know the others at the fleet's size, and how long it takes. Members are simulated in
//! memory on virtual time, so that 1,020 of them fit in one process; CPU is this process's own.
//!
//! | kind | what happens once all know each other |
//! | --- | --- |
//! | `calm` | nothing: the figures of calm alone |
//! | `quiet` | three deaths, one after the other, and the wait until what the first had is taken |
//! | `restarts` | one restart each 45 s over the fleet, every third without a word |
//! | `zone` | 64 of 510 die at once and are back at once |
//! | `cut` | the two halves hear nothing of each other for longer than the transition |

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
