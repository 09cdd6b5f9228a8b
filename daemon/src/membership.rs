//! How this backend knows the others: the state machine of `asterrill-membership`, joined to a socket for datagrams, to
//! the core and to the operators. Its own lock, its own coroutines: no RPC ever waits for it.

use crate::change::Reply;
use crate::dispatcher::Dispatcher;
use crate::store::{read_consensus, truncate_consensus, OnDurable, Store};
use asterrill::Us;
use asterrill_consensus::{
    Access, CompletedProposal, Config, DiskWrite, LeasedPolicy, ListEntry, ListKind, Node, Proposal,
    ProposalOutcome,
};
use asterrill_membership::{
    role_policy, AllowedChanges, Counters, EnvelopeCodec, Event, MemberId, MemberInfo, MemberName,
    MemberStatus, Membership, PersistedState, Transmit,
};
use asterrill_net::{monotonic_now, now, spawn, wait_until, DatagramSocket, Notify};
use asterrill_settings::SettingsError;
use serde_json::{json, Value};
use slog::{info, warn, Logger};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard};

const KEEP: Us = 10_000_000; // between looks at whether what is kept has changed
const ROWS: usize = 5_000; // of a list that are shown
const LINES: usize = 20; // events in the log for each turn; more are counted only
const WAITING: usize = 4_096; // datagrams that wait to be sent; beyond it the oldest are lost, as on the way

/// What is behind the lock.
struct Inner {
    members: Membership,
    out: VecDeque<Transmit>,
    left: bool,
    agree: Option<Node>,
    /// Who waits for what becomes of a wish, by its number.
    asking: BTreeMap<u64, SyncSender<Reply>>,
    /// Events that were not logged one by one.
    untold: u64,
}

/// The others, as this backend knows them.
pub struct MembershipService {
    inner: Mutex<Inner>,
    clock: Notify,
    /// Numbers of writes of a keeper that stand on disk.
    stands: Arc<Mutex<Vec<u64>>>,
    expect: usize,
    /// A part that was not looked at for so long is not this one's any more.
    lasting: Us,
    log: Logger,
}

/// What a start needs of the operator's file and of before.
pub struct MembershipConfig<'a> {
    pub name: &'a str,
    pub file: &'a asterrill_operator_config::MembershipConfig,
    pub persisted: Option<PersistedState>,
    pub seed: u64,
    /// How backends agree, and the directory of a keeper's file.
    pub fleet: Option<(&'a asterrill_operator_config::FleetConfig, &'a Path)>,
}

/// The agreement of this one with the others, from what stands on disk.
fn agreement(
    name: &str, start: u64, fleet: &asterrill_operator_config::FleetConfig, dir: &Path,
) -> Result<Node, SettingsError> {
    let config = Config {
        voters: fleet.voters.clone(),
        lease: fleet.lease,
        renew_interval: fleet.renew_interval,
        tick_interval: fleet.tick_interval,
    };
    let named =
        |e: &dyn std::fmt::Display| SettingsError::new(format!("{}: {e}", dir.join("agreed").display()));
    let voter = config.voters.iter().any(|voter| voter == name);
    let disk = if voter { read_consensus(dir).map_err(|e| named(&e))? } else { Vec::new() };
    let node = Node::new(monotonic_now(), name, start, config, &disk, &[]).map_err(|e| named(&e))?;
    if voter && node.valid_log_len() < disk.len() {
        truncate_consensus(dir, node.valid_log_len()).map_err(|e| named(&e))?;
    }
    Ok(node)
}

impl Inner {
    /// Brings words, time and writes that are done to the agreement. Hands back what is to be written, what is acted on
    /// if that may be another, and when this is wanted next.
    fn agree(&mut self, at: Us, stands: &Mutex<Vec<u64>>) -> (Vec<DiskWrite>, Option<LeasedPolicy>, Us) {
        let words = self.members.take_messages();
        let Some(agree) = &mut self.agree else { return (Vec::new(), None, Us::MAX) };
        for number in std::mem::take(&mut *stands.lock().unwrap_or_else(|e| e.into_inner())) {
            agree.persisted(at, number);
        }
        for message in words {
            agree.receive(at, message.from.as_str(), &message.body);
        }
        if agree.next_tick() <= at {
            agree.tick(at, now());
        }
        for datagram in agree.take_outgoing() {
            if let Some(to) = MemberName::new(&datagram.to) {
                self.members.send_message(&to, &datagram.payload);
            }
        }
        for CompletedProposal { number, outcome } in agree.take_outcomes() {
            let told = match outcome {
                ProposalOutcome::Committed { number, hash } => {
                    json!({"ok": true, "version": number, "hash": format!("{hash:016x}")})
                }
                ProposalOutcome::Rejected(why) => json!({"ok": false, "error": why, "kind": "refused"}),
                ProposalOutcome::NoQuorum => json!({"ok": false, "kind": "no majority",
                    "error": "no majority of the keepers answered in time; it may still come to pass"}),
            };
            // Whoever asked may have gone meanwhile.
            self.asking
                .remove(&number)
                .iter()
                .for_each(|asked| asked.try_send(told.clone().into()).unwrap_or_default());
        }
        (agree.take_writes(), agree.take_apply_policy(), agree.next_tick())
    }
}

/// Whether the key may be read and the name is one.
pub fn check(
    name: &str, file: &asterrill_operator_config::MembershipConfig,
) -> Result<(MemberName, String), SettingsError> {
    let key = asterrill_operator_config::read_secret(&file.key_file)
        .map_err(|fault| SettingsError::new(fault.to_string()))?;
    let name = MemberName::new(name)
        .ok_or_else(|| SettingsError::new(format!("name {name:?} is none for a member")))?;
    Ok((name, key))
}

impl MembershipService {
    /// Opens the socket, so that a failure shows before anything else starts.
    pub fn open(
        begin: MembershipConfig<'_>, log: &Logger,
    ) -> Result<(Arc<MembershipService>, DatagramSocket), SettingsError> {
        let file = begin.file;
        let (name, key) = check(begin.name, file)?;
        let restored = PersistedState::restore(begin.persisted, now(), file.forget_after);
        let start = restored.generation;
        let own = MemberId {
            name,
            addr: file.advertise,
            generation: start,
            incarnation: 0,
            zone: file.zone.clone(),
            capacity: file.capacity,
        };
        let config = asterrill_membership::MembershipConfig {
            probe_interval: file.probe_interval,
            suspicion_timeout: file.suspicion_timeout,
            announce_interval: file.contact_interval,
            join_delay: file.join_delay,
            forget_after: file.forget_after,
            flap_window: file.flap_window,
            expected_members: file.expected_members,
        };
        let codec = EnvelopeCodec::new(key.as_bytes(), &file.cluster, begin.name, start);
        let contacts = file.seed_addresses.iter().copied().chain(restored.addresses).collect();
        let members = Membership::new(
            monotonic_now(),
            own,
            codec,
            config,
            contacts,
            restored.agreed_members,
            begin.seed,
        );
        let socket = DatagramSocket::bind(file.listen);
        let socket =
            socket.map_err(|e| SettingsError::new(format!("[members] listen {}: {e}", file.listen)))?;
        let agree = begin.fleet.map(|(fleet, dir)| agreement(begin.name, start, fleet, dir)).transpose()?;
        let (out, asking) = (VecDeque::new(), BTreeMap::new());
        let inner = Inner { members, out, left: false, agree, asking, untold: 0 };
        let peers = MembershipService {
            inner: Mutex::new(inner),
            clock: Notify::default(),
            stands: Arc::default(),
            expect: file.expected_members,
            lasting: file.suspicion_timeout,
            log: log.clone(),
        };
        info!(log, "members are talked to"; "cluster" => &file.cluster, "listen" => %file.listen,
            "advertise" => %file.advertise, "start" => start, "expect" => file.expected_members);
        Ok((Arc::new(peers), socket))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Starts the coroutines: one reads, one lets time pass and sends.
    pub fn start(
        self: &Arc<MembershipService>, socket: DatagramSocket, dispatcher: &Arc<Dispatcher>,
        store: Option<Store>,
    ) -> std::io::Result<()> {
        let (peers, from) = (self.clone(), socket.try_clone()?);
        spawn("members", move || {
            from.receive(|from, bytes| {
                let mut inner = peers.inner();
                inner.members.handle_datagram(monotonic_now(), from, bytes);
                drop(inner);
                peers.clock.notify();
            });
        })?;
        let (peers, dispatcher) = (self.clone(), dispatcher.clone());
        let (rings, numbers) = (self.clone(), self.stands.clone());
        let stands: Arc<OnDurable> = Arc::new(move |number| {
            numbers.lock().unwrap_or_else(|e| e.into_inner()).push(number);
            rings.clock.notify();
        });
        spawn("members' clock", move || peers.attend(&socket, &dispatcher, store, &stands))
    }

    fn attend(
        &self, socket: &DatagramSocket, dispatcher: &Dispatcher, store: Option<Store>,
        stands: &Arc<OnDurable>,
    ) {
        self.clock.register();
        let (mut keep, mut kept) = (monotonic_now(), PersistedState::default());
        loop {
            let at = monotonic_now();
            let (out, events, next, does, left) = {
                let mut inner = self.inner();
                if inner.members.next_wakeup() <= at {
                    inner.members.tick(at);
                }
                let (writes, policy, wait) = inner.agree(at, &self.stands);
                if let (Some(store), false) = (&store, writes.is_empty()) {
                    store.save_consensus(writes, stands);
                }
                if let Some(policy) = policy {
                    dispatcher.set_apply_policy(policy);
                }
                let fresh = inner.members.take_datagrams();
                inner.out.extend(fresh);
                let over = inner.out.len().saturating_sub(WAITING);
                inner.out.drain(..over);
                let (out, events) = (std::mem::take(&mut inner.out), inner.members.take_events());
                let members = &inner.members;
                let does =
                    role_policy(members.view(), members.quota_fraction(), self.expect, members.agreed_size());
                (out, events, inner.members.next_wakeup().min(wait), does, inner.left)
            };
            // The core learns of a smaller part before anybody else learns anything. It is good for so long only: what
            // is paused, or does not come to look, has nothing when it wakes.
            dispatcher.lease(at.saturating_add(self.lasting), does.allowed_changes == AllowedChanges::Any);
            dispatcher.with(|core, outbound, now| core.set_quota_fraction(now, does.quota_factor, outbound));
            for Transmit { destination, contents } in out {
                socket.send(destination, &contents);
            }
            self.tell(events);
            if at >= keep {
                keep = at + KEEP;
                if let Some(store) = &store {
                    let mut fresh = self.inner().members.persisted_state(0);
                    fresh.addresses.sort_unstable();
                    if fresh != kept {
                        store.save_members(PersistedState { written_at: now(), ..fresh.clone() }.to_text());
                        kept = fresh;
                    }
                }
            }
            if left {
                return;
            }
            // Never later than a part is good for, by a wide margin.
            let wait = next.saturating_sub(monotonic_now()).min(self.lasting / 4);
            wait_until(now() + wait.max(1_000));
        }
    }

    fn tell(&self, events: Vec<Event>) {
        let many = events.len();
        for event in events.into_iter().take(LINES) {
            let log = &self.log;
            match event {
                Event::Alive { name, addr, generation } => {
                    info!(log, "member up"; "member" => %name, "at" => %addr, "start" => generation)
                }
                Event::Suspect { name, reason } => {
                    info!(log, "member suspected"; "member" => %name, "why" => reason.as_str())
                }
                Event::Dead { name } => info!(log, "member failed"; "member" => %name),
                Event::Left { name } => info!(log, "member left"; "member" => %name),
                Event::Flapping { name } => {
                    warn!(log, "member comes and goes: it does not count until it is calm";
                    "member" => %name)
                }
                Event::Stable { name } => info!(log, "member is calm again"; "member" => %name),
                Event::DuplicateName { addr, displaced } => {
                    warn!(log, "another process goes by this member's name"; "at" => %addr, "this one stays out" => displaced)
                }
                Event::Rejoined => warn!(log, "the others had taken this one for failed"),
                Event::Paused { duration } => {
                    warn!(log, "this process stood still: nothing is believed until a majority has answered";
                        "ms" => duration / 1_000)
                }
                Event::ViewChanged { view, evidence } => {
                    let missing: Vec<&str> = evidence.missing.iter().map(MemberName::as_str).collect();
                    info!(log, "view"; "view" => view.name(), "there" => evidence.present, "of" => evidence.agreed_size,
                        "missing" => missing.join(" "))
                }
                Event::QuotaChanged { per_mille } => {
                    info!(log, "part of what is shared"; "of 1000" => per_mille)
                }
            }
        }
        self.inner().untold += many.saturating_sub(LINES) as u64;
    }

    /// This backend leaves, and says so.
    pub fn leave(&self) {
        let mut inner = self.inner();
        inner.members.leave(monotonic_now());
        inner.left = true;
        drop(inner);
        self.clock.notify();
    }

    /// An operator wishes something; told once it is settled.
    pub fn propose(&self, proposal: Proposal, told: SyncSender<Reply>) {
        let mut inner = self.inner();
        let Some(agree) = &mut inner.agree else {
            return told
                .try_send(json!({"ok": false, "error": "there is no section [fleet]"}).into())
                .unwrap_or_default();
        };
        let number = agree.propose(proposal);
        inner.asking.insert(number, told);
        drop(inner);
        self.clock.notify();
    }
    /// For operators: what was agreed on, and how far this one is with it.
    pub fn describe_agreed(&self, list: Option<ListKind>) -> Value {
        let inner = self.inner();
        let Some(agree) = &inner.agree else {
            return json!({"ok": false, "error": "there is no section [fleet]"});
        };
        let (policy, until) = (agree.apply_policy(), agree.lease_until());
        let newest = agree.version_log().newest();
        if let Some(kind) = list {
            let row = |(key, entry): (&String, &ListEntry)| {
                let standing = if entry.access == Access::Allowed { "in" } else { "out" };
                json!({"key": key, "standing": standing, "until": entry.expires_at})
            };
            let rows: Vec<Value> = newest.list(kind).take(ROWS).map(row).collect();
            return json!({"ok": true, "list": kind.name(), "version": newest.number, "entries": newest.len(kind),
                "shown": rows.len(), "rows": rows});
        }
        let mode = if monotonic_now() >= until { policy.after_lease_expiry().mode } else { policy.mode };
        let history: Vec<Value> = agree.version_log().history().rev().take(20).map(|version| {
            json!({"version": version.number, "hash": format!("{:016x}", version.hash()), "by": version.proposer})
        }).collect();
        let counters = agree.counters;
        json!({"ok": true, "form": mode.name(), "version": policy.effective_number(), "newest": newest.number,
            "hash": format!("{:016x}", newest.hash()), "in_force": agree.version_log().active(),
            "lease_ms": until.saturating_sub(monotonic_now()) / 1_000, "stated_ms": agree.config().contradiction_bound() / 1_000,
            "keeper": agree.is_voter(), "leads": agree.is_leader(), "leader": agree.leader(),
            "holders": agree.lease_holders().map(|count| json!({"all": count.leased, "have": count.up_to_date})),
            "versions": history,
            "counters": {"sent": counters.sent, "odd": counters.invalid, "renewed": counters.lease_renewals,
                "lapsed": counters.lease_expirations, "differs": counters.diverged,
                "fetched": counters.catch_ups, "dropped": counters.dropped}})
    }

    /// For operators: the view, and each member.
    pub fn describe_members(&self) -> Value {
        let inner = self.inner();
        let (members, at) = (&inner.members, monotonic_now());
        let ago = |us: Us| at.saturating_sub(us) / 1_000;
        let evidence = members.evidence();
        let own = members.local_id();
        let does = role_policy(members.view(), members.quota_fraction(), self.expect, members.agreed_size());
        let one = |m: &MemberInfo| {
            let standing = match m.status {
                MemberStatus::Alive => "alive",
                MemberStatus::Suspect => "suspect",
                MemberStatus::Dead => "failed",
                MemberStatus::Left => "left",
            };
            json!({"name": m.id.name.as_str(), "at": m.id.addr.to_string(), "start": m.id.generation,
                "incarnation": m.id.incarnation, "zone": m.id.zone, "capacity": m.id.capacity, "standing": standing,
                "since_ms": ago(m.since), "heard_ms": m.last_heard.map(ago), "round_trip_us": m.round_trip,
                "why": m.reason.as_str(), "flaps": m.flapping})
        };
        json!({"ok": true,
            "view": {"name": members.view().name(), "there": evidence.present, "of": evidence.agreed_size,
                "since_ms": ago(evidence.since),
                "missing": evidence.missing.iter().map(MemberName::as_str).collect::<Vec<_>>()},
            "own": {"name": own.name.as_str(), "at": own.addr.to_string(), "start": own.generation,
                "incarnation": own.incarnation, "out": members.is_displaced()},
            "part": does.quota_factor, "transition_ms": members.quota_transfer_time() / 1_000,
            "members": members.members().iter().map(one).collect::<Vec<_>>(),
            "counters": counted(&members.counters, inner.untold)})
    }

    /// What was counted, as one line.
    pub fn stats_line(&self) -> String {
        let inner = self.inner();
        counted(&inner.members.counters, inner.untold).to_string()
    }
}

fn counted(counts: &Counters, untold: u64) -> Value {
    json!({"sent": counts.sent, "sent_bytes": counts.sent_bytes, "taken": counts.accepted, "short": counts.too_short,
        "foreign": counts.foreign, "forged": counts.bad_mac, "replayed": counts.replayed,
        "flooded": counts.rate_limited, "odd": counts.malformed, "full": counts.over_capacity, "pauses": counts.pauses,
        "untold": untold})
}
