//! Status for operators, as JSON whose field names are part of the interface of the control socket.

use super::shared::MembershipService;
use asterrill::Us;
use asterrill_consensus::{Access, ListEntry, ListKind, Node};
use asterrill_membership::{Counters, MemberInfo, MemberName, MemberStatus};
use asterrill_net::monotonic_now;
use serde_json::{json, Value};

/// Error text for requests that need the section `[fleet]` where the operator's file has none.
pub(super) const NO_FLEET_SECTION: &str = "the operator's file has no section [fleet]";
/// Maximum number of rows of an agreed list in a reply.
const MAX_LIST_ROWS: usize = 5_000;
/// Maximum number of versions of the agreed lists in a reply.
const MAX_LISTED_VERSIONS: usize = 20;

impl MembershipService {
    /// Describes the state of the agreed lists at this node, or the rows of one list.
    pub fn describe_agreed_lists(&self, list: Option<ListKind>) -> Value {
        let state = self.lock();
        let Some(node) = &state.consensus else {
            return json!({"ok": false, "error": NO_FLEET_SECTION});
        };
        match list {
            Some(kind) => describe_list(node, kind),
            None => describe_consensus(node),
        }
    }

    /// Describes the view and each member.
    pub fn describe_members(&self) -> Value {
        let state = self.lock();
        let membership = &state.membership;
        let now = monotonic_now();
        let evidence = membership.evidence();
        let own = membership.local_id();
        let missing: Vec<&str> = evidence.missing.iter().map(MemberName::as_str).collect();
        let members: Vec<Value> =
            membership.members().iter().map(|member| describe_member(member, now)).collect();
        json!({"ok": true,
            "view": {"name": membership.view().name(), "there": evidence.present, "of": evidence.agreed_size,
                "since_ms": elapsed_ms(evidence.since, now), "missing": missing},
            "own": {"name": own.name.as_str(), "at": own.addr.to_string(), "start": own.generation,
                "incarnation": own.incarnation, "out": membership.is_displaced()},
            "part": state.role(self.expected_members).quota_factor,
            "transition_ms": membership.quota_reassignment_delay() / 1_000,
            "members": members,
            "counters": describe_counters(&membership.counters, state.unlogged_events)})
    }

    /// Returns all counters as one line for the log.
    pub fn stats_line(&self) -> String {
        let state = self.lock();
        describe_counters(&state.membership.counters, state.unlogged_events).to_string()
    }
}

fn elapsed_ms(since: Us, now: Us) -> Us {
    now.saturating_sub(since) / 1_000
}

fn describe_list(node: &Node, kind: ListKind) -> Value {
    let newest = node.version_log().newest();
    let row = |(key, entry): (&String, &ListEntry)| {
        let standing = if entry.access == Access::Allowed { "in" } else { "out" };
        json!({"key": key, "standing": standing, "until": entry.expires_at})
    };
    let rows: Vec<Value> = newest.list(kind).take(MAX_LIST_ROWS).map(row).collect();
    json!({"ok": true, "list": kind.name(), "version": newest.number, "entries": newest.len(kind),
        "shown": rows.len(), "rows": rows})
}

fn describe_consensus(node: &Node) -> Value {
    let (policy, until, now) = (node.apply_policy(), node.lease_until(), monotonic_now());
    let newest = node.version_log().newest();
    let mode = if now >= until { policy.after_lease_expiry().mode } else { policy.mode };
    let versions = node.version_log().history().rev().take(MAX_LISTED_VERSIONS);
    let versions: Vec<Value> = versions
        .map(|version| {
            let hash = format!("{:016x}", version.hash());
            json!({"version": version.number, "hash": hash, "by": version.proposer})
        })
        .collect();
    let counters = node.counters;
    json!({"ok": true, "form": mode.name(), "version": policy.effective_number(), "newest": newest.number,
        "hash": format!("{:016x}", newest.hash()), "in_force": node.version_log().active(),
        "lease_ms": until.saturating_sub(now) / 1_000,
        "stated_ms": node.config().contradiction_bound() / 1_000,
        "keeper": node.is_voter(), "leads": node.is_leader(), "leader": node.leader(),
        "holders": node.lease_holders().map(|count| json!({"all": count.leased, "have": count.up_to_date})),
        "versions": versions,
        "counters": {"sent": counters.sent_datagrams, "odd": counters.invalid_messages,
            "renewed": counters.lease_renewals, "lapsed": counters.lease_expirations,
            "differs": counters.divergence_resets, "fetched": counters.catch_ups,
            "dropped": counters.dropped_messages}})
}

fn describe_member(member: &MemberInfo, now: Us) -> Value {
    let standing = match member.status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Dead => "failed",
        MemberStatus::Left => "left",
    };
    let id = &member.id;
    json!({"name": id.name.as_str(), "at": id.addr.to_string(), "start": id.generation,
        "incarnation": id.incarnation, "zone": id.zone, "capacity": id.capacity, "standing": standing,
        "since_ms": elapsed_ms(member.since, now),
        "heard_ms": member.last_heard.map(|heard| elapsed_ms(heard, now)),
        "round_trip_us": member.round_trip, "why": member.reason.as_str(), "flaps": member.flapping})
}

fn describe_counters(counters: &Counters, unlogged_events: u64) -> Value {
    json!({"sent": counters.sent, "sent_bytes": counters.sent_bytes, "taken": counters.accepted,
        "short": counters.too_short, "foreign": counters.foreign, "forged": counters.bad_mac,
        "replayed": counters.replayed, "flooded": counters.rate_limited, "odd": counters.malformed,
        "full": counters.over_capacity, "pauses": counters.pauses, "untold": unlogged_events})
}
