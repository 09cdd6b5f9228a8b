//! Update of the view and the quota after an input.

use crate::event::Event;
use crate::member::Member;
use crate::member_name::MemberName;
use crate::state::Membership;

impl Membership {
    /// Updates the view and the quota for the members that have changed.
    pub(crate) fn update_view_and_quota(&mut self) {
        if self.displaced {
            return;
        }
        let fraction_before = self.quota_fraction();
        let mut changed = std::mem::take(&mut self.changed);
        for name in &changed {
            let present = self.members.get(name).is_some_and(Member::counts_for_view);
            self.quorum.set_present(name, present);
        }
        if self.quorum.advance(self.now) {
            let (view, evidence) = (self.quorum.view(), self.evidence());
            self.events.push(Event::ViewChanged { view, evidence });
        }
        let agreed_size = self.quorum.agreed_size();
        if agreed_size != self.configured_size {
            self.configure_for_size(agreed_size);
        }
        changed.append(&mut self.quorum.take_agreement_changes());
        for name in &changed {
            self.lease.set_lost(self.now, name, self.is_lost(name));
        }
        self.lease.advance(self.now, self.quorum.view(), agreed_size);
        if self.quota_fraction() != fraction_before {
            let per_mille = (self.quota_fraction() * 1_000.0).round() as u32;
            self.events.push(Event::QuotaChanged { per_mille });
        }
    }

    /// Sets the timeouts for a cluster of `agreed_size` members.
    ///
    /// Probes and suspicions in progress keep their deadlines.
    fn configure_for_size(&mut self, agreed_size: usize) {
        self.configured_size = agreed_size;
        // This fails only if a period changes, and only the suspicion timeout depends on the size.
        self.foca.set_config(self.config.swim_config(agreed_size)).unwrap_or_default();
        self.lease.set_timing(self.lease_timing(agreed_size));
    }

    /// Reports whether another agreed member is not reachable.
    ///
    /// A flapping member counts as reachable, because its leased quota still belongs to it.
    fn is_lost(&self, name: &MemberName) -> bool {
        let agreed = *name != self.local.name && self.quorum.agreed_members().contains(name);
        agreed && !self.members.get(name).is_some_and(Member::is_reachable)
    }
}
