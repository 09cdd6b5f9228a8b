//! Tests of `arguments.rs`.

use super::*;
use clap::CommandFactory;

#[test]
fn arguments_of_all_scenarios_are_consistent() {
    Arguments::command().debug_assert();
}
