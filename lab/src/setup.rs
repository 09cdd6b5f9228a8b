//! Setup of a backend, and the platform's file with its settings.

use crate::method::Method;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Setup of a backend.
#[derive(Clone)]
pub struct Setup {
    /// Methods that the backend serves.
    pub methods: Vec<Method>,
    /// Number of cores of its machine.
    pub cores: usize,
    /// Memory limit.
    pub memory_mb: u64,
    /// Limit of file descriptors.
    pub sockets: u64,
    /// Time limit of a graceful shutdown.
    pub stop_ms: u64,
    /// Operator's file, if any; `{password}` stands for the path of the password file.
    pub operator_file: Option<String>,
    /// Value of the setting `Say`: `window` to advertise credit to callers, or `off`.
    pub advertise: &'static str,
    /// Program to start in place of the daemon in the directory of `asterrill-lab`.
    pub program: Option<PathBuf>,
    /// Number of the launch that the agent drops.
    pub lost_launch: Option<u64>,
    /// Duration of a cold start according to the settings.
    pub warm_up: Duration,
    /// Fraction of a method's criticality that an answer without the upstream call is worth.
    pub skip_value: f64,
    /// Share of the upstream, if several backends use it.
    pub shared_upstream: Option<UpstreamShare>,
    /// Number of callers in the settings.
    pub callers: usize,
}

/// Share of one backend in an upstream that several backends use.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamShare {
    /// Concurrent calls of each backend.
    pub calls: f64,
    /// Number of backends.
    pub replicas: usize,
    /// Time for which an abandoned call may still occupy the upstream.
    pub linger: Duration,
}

/// Name and address of one backend of several.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Name of the backend.
    pub name: String,
    /// Address on which it listens for sidecars.
    pub address: SocketAddr,
    /// Placeholders in the operator's file and their values, besides the common ones.
    pub placeholders: Vec<(String, String)>,
}

/// Services that a backend depends on.
#[derive(Clone, Copy, Debug)]
pub struct Services {
    /// Address of the agent of its machine.
    pub agent: SocketAddr,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Address of the name service.
    pub naming: SocketAddr,
}

impl Setup {
    /// Returns the setup of a small backend of this build, without an operator's file, that advertises credit to four
    /// callers.
    pub fn new(methods: &[Method], cores: usize) -> Setup {
        Setup {
            methods: methods.to_vec(),
            cores,
            memory_mb: 32,
            sockets: 384,
            stop_ms: 3_000,
            operator_file: None,
            advertise: "window",
            program: None,
            lost_launch: None,
            warm_up: Duration::from_millis(1_000),
            skip_value: 0.0,
            shared_upstream: None,
            callers: 4,
        }
    }

    /// Returns the settings for the platform's file.
    pub fn settings(&self) -> Value {
        let method = |m: &Method| {
            json!({"Name": m.name, "AimMs": m.target_ms, "DeadlineMs": m.deadline_ms, "Effect": m.effect,
                "Worth": m.criticality, "WindowMs": 10_000})
        };
        let skip_value = |m: &Method| if m.calls_upstream { self.skip_value } else { 0.0 };
        let upstream = match self.shared_upstream {
            Some(_) => "shared",
            None if self.methods.iter().any(|m| m.calls_upstream) => "tier",
            None => "off",
        };
        let unshared = UpstreamShare { calls: 1.0, replicas: 1, linger: Duration::ZERO };
        let share = self.shared_upstream.unwrap_or(unshared);
        json!({"Categories": self.methods.iter().map(method).collect::<Vec<_>>(),
            "FamilyInfo": {"NCores": self.cores, "RamKb": 200_000, "RunFactor": 2, "Say": self.advertise,
                "Below": upstream, "CallShare": share.calls, "DepWindowMs": 1_000,
                "LingerMs": share.linger.as_millis() as u64,
                "ClassSkipWorth": self.methods.iter().map(skip_value).collect::<Vec<_>>(),
                "StopMode": "abort", "Gauges": ["on_cores", "links"], "IdleMs": 30_000, "Callers": self.callers},
            "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 500}, "StepMs": 2, "ReplicasOfMe": share.replicas,
            "Safety": {"TipMultiple": 8, "ColdFrom": 0.5, "RampTimeMs": self.warm_up.as_millis() as u64,
                "StopSendingWithinMs": 400}})
    }

    /// Returns the platform's file of a backend at a placement.
    pub fn platform_file(&self, placement: &Placement, services: &Services) -> Value {
        json!({"name": placement.name, "listen": placement.address.to_string(), "agent": services.agent.to_string(),
            "naming": services.naming.to_string(), "records": services.upstream.to_string(),
            "seed": "00000000000000a7", "stop_ms": self.stop_ms, "settings": self.settings(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets}})
    }

    /// Returns the operator's file with the placeholders of the placement replaced.
    pub fn operator_file(&self, placement: &Placement) -> Option<String> {
        let file = self.operator_file.clone()?;
        Some(
            placement
                .placeholders
                .iter()
                .fold(file, |text, (placeholder, value)| text.replace(placeholder, value)),
        )
    }
}
