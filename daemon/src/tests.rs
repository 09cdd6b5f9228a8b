//! Unit tests of the core with fake peers in virtual time, and of the dispatcher on real sockets.

mod agent_link;
mod agreed_lists;
mod change;
mod coalescing;
mod cost;
mod dispatcher;
mod drain;
mod fake_peers;
mod harness;
mod properties;
mod recovery;
mod service_stats;
mod settings;
mod sidecar_rpcs;
mod upstream_links;
mod versions;

use crate::core::Core;
use crate::ids::{ConnectionId, SidecarStream};
use asterrill::{CallEnd, CallerId, RpcId, Us};
use asterrill_engine::UpstreamLinkId;
use asterrill_entries::Configuration;
use asterrill_net::BufferPool;
use asterrill_protocol::sidecar::{RpcRequest, StreamId};
use fake_peers::FakePeers;
use harness::CoreHarness;
use serde_json::{json, Value};
use settings::{apply_change, configuration, sample_settings, server_parts, version_switch, with_tenants};
use std::collections::BTreeSet;

const MS: Us = 1_000;
const START: Us = 1_000_000 * MS;
/// Maximum delay of an answer after its deadline.
const MAX_ANSWER_DELAY: Us = 100 * MS;
/// The deadline of both methods.
const DEADLINE: Us = 900 * MS;
