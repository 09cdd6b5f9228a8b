//! The state of one member's state machine, and what can be read from it.

use crate::config::MembershipConfig;
use crate::counters::Counters;
use crate::envelope::EnvelopeCodec;
use crate::event::{Event, EventQueue};
use crate::member::{Member, MemberInfo, MemberStatus};
use crate::member_id::MemberId;
use crate::member_name::MemberName;
use crate::persisted_state::PersistedState;
use crate::quorum::Quorum;
use crate::quota_lease::{LeaseTiming, QuotaLease};
use crate::rate_limit::SourceRateLimiter;
use crate::timers::Timers;
use crate::transmit::{Message, Transmit};
use crate::view::{View, ViewEvidence};
use asterrill::Us;
use foca::{Foca, NoCustomBroadcast, PostcardCodec};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// The state machine of one member: datagrams and time in, datagrams and events out.
///
/// After each input ([`Membership::handle_datagram`], [`Membership::tick`], [`Membership::leave`],
/// [`Membership::send_message`]) the caller sends what [`Membership::take_datagrams`] hands back, handles
/// [`Membership::take_events`], and calls [`Membership::tick`] at [`Membership::next_wakeup`] at the latest. Times are
/// microseconds of one monotonic clock.
pub struct Membership {
    pub(crate) foca: Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>,
    pub(crate) local: MemberId,
    pub(crate) codec: EnvelopeCodec,
    pub(crate) config: MembershipConfig,
    pub(crate) now: Us,
    pub(crate) timers: Timers,
    pub(crate) members: BTreeMap<MemberName, Member>,
    /// Members whose presence may have changed since the last update of the view: an update costs what has changed, not
    /// what there is.
    pub(crate) changed: BTreeSet<MemberName>,
    /// Members that `foca` may suspect, and those that are suspects in the table.
    pub(crate) possible_suspects: BTreeSet<MemberName>,
    /// Members that are damped.
    pub(crate) flapping: BTreeSet<MemberName>,
    /// The names of senders, by their numbers in envelopes.
    pub(crate) senders: BTreeMap<u64, MemberName>,
    pub(crate) rate_limiter: SourceRateLimiter,
    /// Addresses at which other members may be reached.
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) next_announce: Us,
    /// When each member that has not answered yet was probed.
    pub(crate) pinged_at: BTreeMap<MemberName, Us>,
    pub(crate) quorum: Quorum,
    pub(crate) lease: QuotaLease,
    /// The agreed size for which the intervals were set last.
    pub(crate) configured_size: usize,
    pub(crate) rng: StdRng,
    pub(crate) outgoing: Vec<Transmit>,
    pub(crate) events: EventQueue,
    pub(crate) messages: VecDeque<Message>,
    pub(crate) leaving: bool,
    /// A later start of the same name was heard of: this process takes no further part.
    pub(crate) displaced: bool,
    /// After a pause: who has answered a probe since. Until that is a majority no quota is used.
    pub(crate) revalidated_by: Option<BTreeSet<MemberName>>,
    /// What was counted since the start.
    pub counters: Counters,
}

impl Membership {
    /// `contacts`: addresses at which others may be reached, from a list and from the persisted state; `agreed`: the
    /// agreed members before a restart; `seed`: for all random choices.
    pub fn new(
        now: Us, local: MemberId, codec: EnvelopeCodec, config: MembershipConfig, contacts: Vec<SocketAddr>,
        agreed: BTreeSet<MemberName>, seed: u64,
    ) -> Membership {
        let mut rng = StdRng::seed_from_u64(seed);
        let foca = Foca::new(
            local.clone(),
            config.swim_config(config.expected_members.max(agreed.len())),
            StdRng::seed_from_u64(rng.random()),
            PostcardCodec,
        );
        let quorum = Quorum::new(
            now,
            local.name.clone(),
            config.expected_members,
            agreed,
            config.join_delay,
            config.forget_after,
        );
        let timing = LeaseTiming::from_intervals(
            config.probe_interval,
            config.suspicion_timeout,
            quorum.agreed_size(),
        );
        Membership {
            foca,
            contacts: contacts.into_iter().filter(|addr| *addr != local.addr).collect(),
            local,
            codec,
            config,
            now,
            timers: Timers::default(),
            members: BTreeMap::new(),
            changed: BTreeSet::new(),
            possible_suspects: BTreeSet::new(),
            flapping: BTreeSet::new(),
            senders: BTreeMap::new(),
            rate_limiter: SourceRateLimiter::default(),
            next_announce: now,
            pinged_at: BTreeMap::new(),
            quorum,
            lease: QuotaLease::new(timing),
            configured_size: 0,
            rng,
            outgoing: Vec::new(),
            events: EventQueue::default(),
            messages: VecDeque::new(),
            leaving: false,
            displaced: false,
            revalidated_by: None,
            counters: Counters::default(),
        }
    }

    /// The datagrams that are to be sent now.
    pub fn take_datagrams(&mut self) -> Vec<Transmit> {
        std::mem::take(&mut self.outgoing)
    }

    /// What has changed since the last call; at most the 1,024 latest events.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.take()
    }

    /// Messages that came since the last call.
    pub fn take_messages(&mut self) -> Vec<Message> {
        self.messages.drain(..).collect()
    }

    /// When [`Membership::tick`] has to be called at the latest; [`Us::MAX`] once this member takes no further part.
    pub fn next_wakeup(&self) -> Us {
        if self.is_finished() {
            return Us::MAX;
        }
        self.timers.next_deadline().min(self.next_announce).max(self.now)
    }

    /// How much of the cluster this member sees.
    pub fn view(&self) -> View {
        self.quorum.view()
    }

    /// On what the view rests.
    pub fn evidence(&self) -> ViewEvidence {
        self.quorum.evidence(&self.present_members())
    }

    /// The leased fraction, 0 to 1, of what all members divide that this one may use.
    pub fn quota_fraction(&self) -> f64 {
        if self.revalidated_by.is_some() || self.displaced {
            0.0
        } else {
            self.lease.fraction()
        }
    }

    /// From the loss of a member until the others may use its quota, in microseconds.
    pub fn quota_reassignment_delay(&self) -> Us {
        self.lease_timing(self.agreed_size()).reassignment_delay()
    }

    /// The agreed size of the cluster.
    pub fn agreed_size(&self) -> usize {
        self.quorum.agreed_size()
    }

    /// This member, as it is gossiped now.
    pub fn local_id(&self) -> &MemberId {
        self.foca.identity()
    }

    /// A later start of the same name was heard of: this process takes no further part.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// What is to be persisted for the next process, with this as the time of writing (Unix clock, microseconds).
    pub fn persisted_state(&self, written_at: Us) -> PersistedState {
        let alive = self.members.values().filter(|member| member.status == MemberStatus::Alive);
        PersistedState {
            generation: self.local_id().generation,
            written_at,
            agreed_members: self.quorum.agreed_members().clone(),
            addresses: alive.map(|member| member.id.addr).collect(),
        }
    }

    /// The other members that are in the table, in the order of their names.
    pub fn members(&self) -> Vec<MemberInfo> {
        self.members.values().map(Member::info).collect()
    }

    /// It leaves or is displaced: no input changes anything any more.
    pub(crate) fn is_finished(&self) -> bool {
        self.displaced || self.leaving
    }

    /// Others that count for the view.
    fn present_members(&self) -> BTreeSet<MemberName> {
        let present = self.members.values().filter(|member| member.counts_for_view());
        present.map(|member| member.id.name.clone()).collect()
    }

    /// The timing of leases in a cluster of this size.
    pub(crate) fn lease_timing(&self, agreed_size: usize) -> LeaseTiming {
        LeaseTiming::from_intervals(self.config.probe_interval, self.config.suspicion_timeout, agreed_size)
    }
}
