//! Addresses of the agent, the upstream and the name service, which a reload may change.

use crate::dispatcher::Dispatcher;
use asterrill_net::{Address, Outbox};
use asterrill_settings::Deployment;

/// Addresses of the peers, and the outboxes of the links to them.
pub struct PeerAddresses {
    /// The address of the agent.
    pub agent: Address,
    /// The address of the name service, which receives load reports.
    pub name_service: Address,
    /// The address of the upstream, which receives calls; `None` without an upstream.
    pub upstream: Option<Address>,
    agent_link: Outbox,
    upstream_links: Vec<Outbox>,
}

impl PeerAddresses {
    /// Creates the addresses from a deployment.
    pub fn new(deployment: &Deployment, agent_link: Outbox, upstream_links: Vec<Outbox>) -> PeerAddresses {
        PeerAddresses {
            agent: Address::new(deployment.agent),
            name_service: Address::new(deployment.name_service),
            upstream: deployment.upstream.map(Address::new),
            agent_link,
            upstream_links,
        }
    }

    /// Applies the addresses of a reloaded deployment, and closes the links whose address has changed.
    pub fn update(&self, dispatcher: &Dispatcher, deployment: &Deployment) {
        if self.agent.set(deployment.agent) {
            self.agent_link.close_now();
        }
        if let (Some(upstream), Some(to)) = (&self.upstream, deployment.upstream) {
            if upstream.set(to) {
                dispatcher.with(|core, outbound, _| core.upstream_address_changed(outbound));
            }
        }
        self.name_service.set(deployment.name_service);
        self.agent_link.wake_owner();
        self.upstream_links.iter().for_each(Outbox::wake_owner);
        dispatcher.load_report_wakeup.notify();
    }
}
