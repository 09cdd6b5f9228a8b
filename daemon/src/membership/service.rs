//! Creation of the membership service, and its operations for operators and the shutdown.

use super::consensus::open_node;
use super::shared::{MembershipService, MembershipState};
use super::status::NO_FLEET_SECTION;
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

/// Parameters for starting the service.
pub struct MembershipConfig<'a> {
    /// Name of this backend.
    pub name: &'a str,
    /// Section `[members]` of the operator's file.
    pub section: &'a MembershipSection,
    /// State that the previous process saved.
    pub persisted: Option<PersistedState>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Section `[fleet]`, which configures the agreement on lists, and the directory of a voter's storage.
    pub fleet: Option<(&'a FleetConfig, &'a Path)>,
}

/// Returns the name of this member and the key of the cluster, after checking the name and reading the key file.
///
/// # Errors
/// The key can't be read, or the name is not a valid member name.
pub fn read_name_and_key(
    name: &str, section: &MembershipSection,
) -> Result<(MemberName, String), SettingsError> {
    let key = asterrill_operator_config::read_secret(&section.key_file)
        .map_err(|error| SettingsError::new(error.to_string()))?;
    let name = MemberName::new(name)
        .ok_or_else(|| SettingsError::new(format!("{name:?} is not a valid member name")))?;
    Ok((name, key))
}

impl MembershipService {
    /// Creates the service and binds its socket, so that a failure is reported before anything else starts.
    ///
    /// # Errors
    /// Those of [`read_name_and_key`], the address can't be bound, or the raft storage is unusable.
    pub fn open(
        config: MembershipConfig<'_>, log: &Logger,
    ) -> Result<(Arc<MembershipService>, DatagramSocket), SettingsError> {
        let section = config.section;
        let (name, key) = read_name_and_key(config.name, section)?;
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
        let state = MembershipState {
            membership,
            outgoing: VecDeque::new(),
            left: false,
            consensus: node.transpose()?,
            proposers: BTreeMap::new(),
            unlogged_events: 0,
        };
        let service = MembershipService {
            state: Mutex::new(state),
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

    /// Leaves the cluster and announces that to the other members.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.membership.leave(monotonic_now());
        state.left = true;
        drop(state);
        self.wakeup.notify();
    }

    /// Proposes a change of the agreed lists. The reply is sent once the outcome is known.
    pub fn propose(&self, proposal: Proposal, reply: SyncSender<Reply>) {
        let mut state = self.lock();
        let Some(node) = &mut state.consensus else {
            let error = json!({"ok": false, "error": NO_FLEET_SECTION});
            return reply.try_send(error.into()).unwrap_or_default();
        };
        let number = node.propose(proposal);
        state.proposers.insert(number, reply);
        drop(state);
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
