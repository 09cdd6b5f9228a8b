//! How a backend is set up, and the platform's file that says so.

use crate::method::Method;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How a backend is set up.
#[derive(Clone)]
pub struct Setup {
    /// The methods that it serves.
    pub methods: Vec<Method>,
    /// Cores of its machine.
    pub cores: usize,
    /// Its limit of memory.
    pub memory_mb: u64,
    /// Its limit of descriptors.
    pub sockets: u64,
    /// How long a graceful shutdown may take.
    pub stop_ms: u64,
    /// The operator's file, if any; `{password}` stands for the path of the password file.
    pub operator_file: Option<String>,
    /// `window` where credit is advertised to callers, else `off`.
    pub advertise: &'static str,
    /// Another build than the one beside the laboratory.
    pub program: Option<PathBuf>,
    /// The launch of this number is lost by the agent.
    pub lost_launch: Option<u64>,
    /// How long the settings say that a cold start takes.
    pub warm_up: Duration,
    /// Of a method's criticality, the part that an answer without its call earns.
    pub skip_value: f64,
    /// The part in a shared upstream, if it is shared.
    pub shared_upstream: Option<UpstreamShare>,
    /// Callers that the settings name.
    pub callers: usize,
}

/// A backend's part in an upstream that several share.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamShare {
    /// Calls at a time, for each backend.
    pub calls: f64,
    /// Backends.
    pub replicas: usize,
    /// How long a call that was given up may stay in the upstream.
    pub linger: Duration,
}

/// Where one backend of several is placed.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Its name.
    pub name: String,
    /// Where it listens for sidecars.
    pub address: SocketAddr,
    /// Words in braces of the operator's file and what stands for them, besides the common ones.
    pub placeholders: Vec<(String, String)>,
}

/// The services that a backend depends on.
#[derive(Clone, Copy, Debug)]
pub struct Services {
    /// The agent of its machine.
    pub agent: SocketAddr,
    /// The upstream.
    pub upstream: SocketAddr,
    /// The name service.
    pub naming: SocketAddr,
}

impl Setup {
    /// A small backend of this build, with four callers that are advertised credit, and without an operator's file.
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

    /// The settings in the platform's file.
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
        let alone = UpstreamShare { calls: 1.0, replicas: 1, linger: Duration::ZERO };
        let part = self.shared_upstream.unwrap_or(alone);
        json!({"Categories": self.methods.iter().map(method).collect::<Vec<_>>(),
            "FamilyInfo": {"NCores": self.cores, "RamKb": 200_000, "RunFactor": 2, "Say": self.advertise,
                "Below": upstream, "CallShare": part.calls, "DepWindowMs": 1_000,
                "LingerMs": part.linger.as_millis() as u64,
                "ClassSkipWorth": self.methods.iter().map(skip_value).collect::<Vec<_>>(),
                "StopMode": "abort", "Gauges": ["on_cores", "links"], "IdleMs": 30_000, "Callers": self.callers},
            "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 500}, "StepMs": 2, "ReplicasOfMe": part.replicas,
            "Safety": {"TipMultiple": 8, "ColdFrom": 0.5, "RampTimeMs": self.warm_up.as_millis() as u64,
                "StopSendingWithinMs": 400}})
    }

    /// The platform's file of a backend that is placed there.
    pub fn platform_file(&self, placement: &Placement, services: &Services) -> Value {
        json!({"name": placement.name, "listen": placement.address.to_string(), "agent": services.agent.to_string(),
            "naming": services.naming.to_string(), "records": services.upstream.to_string(),
            "seed": "00000000000000a7", "stop_ms": self.stop_ms, "settings": self.settings(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets}})
    }

    /// The operator's file with the placement's words put in.
    pub fn operator_file(&self, placement: &Placement) -> Option<String> {
        let file = self.operator_file.clone()?;
        Some(placement.placeholders.iter().fold(file, |text, (word, means)| text.replace(word, means)))
    }
}
