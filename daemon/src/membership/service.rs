//! Opening the service, and what operators and the shutdown ask of it.

use super::consensus::open_node;
use super::shared::{MembershipService, MembershipState};
use crate::change::Reply;
use asterrill_consensus::Proposal;
use asterrill_membership::{EnvelopeCodec, MemberId, MemberName, Membership, PersistedState};
use asterrill_net::{monotonic_now, now, DatagramSocket, Notify};
use asterrill_operator_config::{FleetConfig, MembershipConfig as MembershipSection};
use asterrill_settings::SettingsError;
use serde_json::json;
use slog::{info, Logger};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex};

/// What a start needs of the operator's file and of the process before.
pub struct MembershipConfig<'a> {
    /// This backend's name.
    pub name: &'a str,
    /// The section of the operator's file.
    pub section: &'a MembershipSection,
    /// What the process before has saved.
    pub persisted: Option<PersistedState>,
    /// Seed of what is drawn at random.
    pub seed: u64,
    /// How lists are agreed on, and the directory of a voter's storage.
    pub fleet: Option<(&'a FleetConfig, &'a Path)>,
}

/// Reads the key, and checks the name.
///
/// # Errors
/// The key can't be read, or the name can't be that of a member.
pub fn check(name: &str, section: &MembershipSection) -> Result<(MemberName, String), SettingsError> {
    let key = asterrill_operator_config::read_secret(&section.key_file)
        .map_err(|error| SettingsError::new(error.to_string()))?;
    let name = MemberName::new(name)
        .ok_or_else(|| SettingsError::new(format!("name {name:?} is none for a member")))?;
    Ok((name, key))
}

impl MembershipService {
    /// Opens the socket, so that a failure shows before anything else starts.
    ///
    /// # Errors
    /// Those of [`check`], an address that can't be bound, or raft storage that can't be used.
    pub fn open(
        config: MembershipConfig<'_>, log: &Logger,
    ) -> Result<(Arc<MembershipService>, DatagramSocket), SettingsError> {
        let section = config.section;
        let (name, key) = check(config.name, section)?;
        let restored = PersistedState::restore(config.persisted, now(), section.forget_after);
        let generation = restored.generation;
        let local_id = MemberId {
            name,
            addr: section.advertise,
            generation,
            incarnation: 0,
            zone: section.zone.clone(),
            capacity: section.capacity,
        };
        let codec = EnvelopeCodec::new(key.as_bytes(), &section.cluster, config.name, generation);
        let contacts = section.seed_addresses.iter().copied().chain(restored.addresses).collect();
        let membership = Membership::new(
            monotonic_now(),
            local_id,
            codec,
            protocol_config(section),
            contacts,
            restored.agreed_members,
            config.seed,
        );
        let socket = DatagramSocket::bind(section.listen)
            .map_err(|e| SettingsError::new(format!("[members] listen {}: {e}", section.listen)))?;
        let node = config.fleet.map(|(fleet, dir)| open_node(config.name, generation, fleet, dir));
        let locked = MembershipState {
            membership,
            outgoing: VecDeque::new(),
            left: false,
            consensus: node.transpose()?,
            proposers: BTreeMap::new(),
            unlogged_events: 0,
        };
        let service = MembershipService {
            locked: Mutex::new(locked),
            wakeup: Notify::default(),
            durable_writes: Arc::default(),
            expected_members: section.expected_members,
            quota_lease: section.suspicion_timeout,
            log: log.clone(),
        };
        info!(log, "membership started"; "cluster" => &section.cluster, "listen" => %section.listen,
            "advertise" => %section.advertise, "start" => generation, "expect" => section.expected_members);
        Ok((Arc::new(service), socket))
    }

    /// This backend leaves, and announces it.
    pub fn leave(&self) {
        let mut locked = self.lock();
        locked.membership.leave(monotonic_now());
        locked.left = true;
        drop(locked);
        self.wakeup.notify();
    }

    /// Proposes a change of the agreed lists; the reply is sent when its outcome is certain.
    pub fn propose(&self, proposal: Proposal, reply: SyncSender<Reply>) {
        let mut locked = self.lock();
        let Some(node) = &mut locked.consensus else {
            let error = json!({"ok": false, "error": "there is no section [fleet]"});
            return reply.try_send(error.into()).unwrap_or_default();
        };
        let number = node.propose(proposal);
        locked.proposers.insert(number, reply);
        drop(locked);
        self.wakeup.notify();
    }
}

fn protocol_config(section: &MembershipSection) -> asterrill_membership::MembershipConfig {
    asterrill_membership::MembershipConfig {
        probe_interval: section.probe_interval,
        suspicion_timeout: section.suspicion_timeout,
        announce_interval: section.contact_interval,
        join_delay: section.join_delay,
        forget_after: section.forget_after,
        flap_window: section.flap_window,
        expected_members: section.expected_members,
    }
}
