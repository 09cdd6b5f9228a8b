//! The membership state machine of one member: its state, constructor and accessors.

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

/// State machine of one member, which consumes datagrams and time and produces datagrams and events.
///
/// After each input ([`Membership::handle_datagram`], [`Membership::tick`], [`Membership::leave`],
/// [`Membership::send_message`]) the caller sends the datagrams that [`Membership::take_datagrams`] returns and handles
/// the events that [`Membership::take_events`] returns. It calls [`Membership::tick`] no later than
/// [`Membership::next_wakeup`]. All times are microseconds of one monotonic clock.
pub struct Membership {
    pub(crate) foca: Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>,
    pub(crate) local: MemberId,
    pub(crate) codec: EnvelopeCodec,
    pub(crate) config: MembershipConfig,
    pub(crate) now: Us,
    pub(crate) timers: Timers,
    pub(crate) members: BTreeMap<MemberName, Member>,
    /// Members whose presence may have changed since the last update of the view. The cost of an update grows with
    /// their number, not with the size of the table.
    pub(crate) changed: BTreeSet<MemberName>,
    /// Members that `foca` may suspect, and members that are suspects in the table.
    pub(crate) possible_suspects: BTreeSet<MemberName>,
    /// Members that are damped because they flap.
    pub(crate) flapping: BTreeSet<MemberName>,
    /// Names of senders by their identifiers in envelopes.
    pub(crate) senders: BTreeMap<u64, MemberName>,
    pub(crate) rate_limiter: SourceRateLimiter,
    /// Addresses at which other members may be reached.
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) next_announce: Us,
    /// Times of the direct probes that have not been answered yet.
    pub(crate) pinged_at: BTreeMap<MemberName, Us>,
    pub(crate) quorum: Quorum,
    pub(crate) lease: QuotaLease,
    /// Agreed size for which the intervals were last configured.
    pub(crate) configured_size: usize,
    pub(crate) rng: StdRng,
    pub(crate) outgoing: Vec<Transmit>,
    pub(crate) events: EventQueue,
    pub(crate) messages: VecDeque<Message>,
    pub(crate) leaving: bool,
    /// True once a later process start with this member's name is known; this process then ignores all input.
    pub(crate) displaced: bool,
    /// Members that have answered a probe since the last long pause, or none if no revalidation is needed.
    ///
    /// No quota is used until they are a majority together with this member.
    pub(crate) revalidated_by: Option<BTreeSet<MemberName>>,
    /// Counters since the start of the process.
    pub counters: Counters,
}

impl Membership {
    /// Creates the state machine of a member that has just started.
    ///
    /// `contacts` are addresses at which other members may be reached, from the configuration and from the persisted
    /// state. `agreed` are the agreed members from before a restart. `seed` determines all random choices.
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

    /// Returns the datagrams to be sent now, and removes them from the queue.
    pub fn take_datagrams(&mut self) -> Vec<Transmit> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the events since the last call, at most the latest 1,024.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.take()
    }

    /// Returns the messages received since the last call.
    pub fn take_messages(&mut self) -> Vec<Message> {
        self.messages.drain(..).collect()
    }

    /// Returns the latest time for the next call of [`Membership::tick`].
    ///
    /// It is [`Us::MAX`] once this member has left or is displaced.
    pub fn next_wakeup(&self) -> Us {
        if self.is_finished() {
            return Us::MAX;
        }
        self.timers.next_deadline().min(self.next_announce).max(self.now)
    }

    /// Returns the view, that is, how much of the cluster this member sees.
    pub fn view(&self) -> View {
        self.quorum.view()
    }

    /// Returns the evidence for the current view.
    pub fn evidence(&self) -> ViewEvidence {
        self.quorum.evidence(&self.present_members())
    }

    /// Returns the leased fraction, 0 to 1, of the divided limits that this member may use.
    pub fn quota_fraction(&self) -> f64 {
        if self.revalidated_by.is_some() || self.displaced {
            0.0
        } else {
            self.lease.fraction()
        }
    }

    /// Returns the time from the loss of a member until the others may use its quota, in microseconds.
    pub fn quota_reassignment_delay(&self) -> Us {
        self.lease_timing(self.agreed_size()).reassignment_delay()
    }

    /// Returns the agreed size of the cluster.
    pub fn agreed_size(&self) -> usize {
        self.quorum.agreed_size()
    }

    /// Returns the identity that this member currently gossips.
    pub fn local_id(&self) -> &MemberId {
        self.foca.identity()
    }

    /// Reports whether a later process start with this member's name is known. This process then ignores all input.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// Returns the state to persist for the next process. `written_at` is the Unix time in microseconds.
    pub fn persisted_state(&self, written_at: Us) -> PersistedState {
        let alive = self.members.values().filter(|member| member.status == MemberStatus::Alive);
        PersistedState {
            generation: self.local_id().generation,
            written_at,
            agreed_members: self.quorum.agreed_members().clone(),
            addresses: alive.map(|member| member.id.addr).collect(),
        }
    }

    /// Returns the other members in the table, sorted by name.
    pub fn members(&self) -> Vec<MemberInfo> {
        self.members.values().map(Member::info).collect()
    }

    /// Reports whether this member has left or is displaced, so that further input has no effect.
    pub(crate) fn is_finished(&self) -> bool {
        self.displaced || self.leaving
    }

    /// Returns the names of the other members that count for the view.
    fn present_members(&self) -> BTreeSet<MemberName> {
        let present = self.members.values().filter(|member| member.counts_for_view());
        present.map(|member| member.id.name.clone()).collect()
    }

    /// Returns the lease timing for a cluster of `agreed_size` members.
    pub(crate) fn lease_timing(&self, agreed_size: usize) -> LeaseTiming {
        LeaseTiming::from_intervals(self.config.probe_interval, self.config.suspicion_timeout, agreed_size)
    }
}
