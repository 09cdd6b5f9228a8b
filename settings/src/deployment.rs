//! What a backend is told at its start.

use crate::{integer, maybe, part, text, time, Fault};
use serde_json::Value;
use std::net::SocketAddr;

/// The place of this backend among the others.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub agent: SocketAddr,
    pub naming: SocketAddr,
    /// Left out where nothing lies below.
    pub records: Option<SocketAddr>,
    pub seed: u64,
    /// From the notice to leave to the kill.
    pub stop: asterrill::Us,
    pub memory_mb: u64,
    pub sockets: u64,
    /// The settings of the decision module.
    pub server: Value,
}

/// Reads the configuration, a JSON object. The message of a fault names what is wrong.
pub fn read(json: &str) -> Result<Deployment, Fault> {
    let v: Value = serde_json::from_str(json).map_err(|e| Fault::new(format!("not JSON: {e}")))?;
    let limits = part(&v, "limits")?;
    let deployment = Deployment {
        name: text(&v, "name")?.to_string(),
        listen: address(&v, "listen")?,
        agent: address(&v, "agent")?,
        naming: address(&v, "naming")?,
        records: match v.get("records") {
            None | Some(Value::Null) => None,
            Some(_) => Some(address(&v, "records")?),
        },
        seed: u64::from_str_radix(text(&v, "seed")?, 16).map_err(|_| Fault::missing("seed"))?,
        stop: time(&v, "stop_ms")?,
        memory_mb: limit(maybe(limits, "memory_mb")?, "limits.memory_mb")?,
        sockets: limit(integer(limits, "sockets").ok().map(|n| n as f64), "limits.sockets")?,
        server: part(&v, "settings")?.clone(),
    };
    // What the module can't be made of is found before anything starts.
    crate::server(0, 0, &deployment.server, None)?;
    Ok(deployment)
}

/// A terabyte, or a million descriptors, at the most; none is no limit to run under.
const GREATEST: f64 = 1_048_576.0;

fn limit(told: Option<f64>, name: &str) -> Result<u64, Fault> {
    let told = told.ok_or_else(|| Fault::missing(name))?;
    if !(1.0..=GREATEST).contains(&told) {
        return Err(Fault::new(format!("field {name} is out of bounds: {told}")));
    }
    Ok(told as u64)
}

fn address(v: &Value, name: &str) -> Result<SocketAddr, Fault> {
    text(v, name)?.parse().map_err(|_| Fault::missing(name))
}
