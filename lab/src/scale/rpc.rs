//! `scale-rpc`.
use super::Arguments;
use crate::report::{Fault, Report};
use std::path::Path;
pub fn scenario(
    _report: &mut Report, _seed: u64, _to: &Arguments, _rate: Option<f64>, _other: Option<&Path>,
) -> Result<(), Fault> {
    Err("not there yet".into())
}
