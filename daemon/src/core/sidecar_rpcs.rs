//! RPCs of sidecars: receipt, rejection by the agreed deny lists, aborting and cancellation.

use super::active_names::ActiveNames;
use super::idempotency_key::{cache_key, idempotency_key};
use super::state::Core;
use crate::ids::{ConnectionId, Requester, SidecarStream};
use crate::outbound::Outbound;
use crate::sidecar_registry::SidecarFault;
use asterrill::{Idempotency, MethodId, Us};
use asterrill_consensus::{caller_key, ListKind};
use asterrill_engine::{IncomingRpc, IntakeError};
use asterrill_protocol::sidecar::{RpcRequest, StreamId, MAX_STREAMS};

impl Core {
    /// Handles a complete RPC. After an error nothing more is accepted from its connection.
    pub fn rpc_received(
        &mut self, now: Us, from: SidecarStream, request: RpcRequest, body: &[u8],
        outbound: &mut dyn Outbound,
    ) -> Result<(), SidecarFault> {
        self.check_acceptance(from.conn)?;
        if self.pending_answers_on(from.conn) >= MAX_STREAMS {
            return Err(SidecarFault::TooManyStreams);
        }
        let requester = Requester::Sidecar(from);
        let denied = self.is_denied(&request);
        let rpc = self.resolve_rpc(now, from.conn, &request, body).map(|rpc| IncomingRpc { denied, ..rpc });
        let is_retry = rpc.as_ref().is_some_and(|rpc| self.engine.is_retry(rpc));
        if denied && !is_retry {
            self.state.stats.denied_by_policy += 1;
            self.with_engine(now, outbound, |engine, now, outputs| engine.reject(now, requester, outputs));
            return Ok(());
        }
        let Some(rpc) = rpc else {
            self.abort_unserviceable(now, from, outbound);
            return Ok(());
        };
        self.state.service.record_received(rpc.method);
        let accepted = self.with_engine(now, outbound, |engine, now, outputs| {
            engine.request_received(now, requester, rpc, body, outputs)
        });
        let Err(error) = accepted else { return Ok(()) };
        self.abort_unserviceable(now, from, outbound);
        self.state.stats.rpc_ids_reused += u64::from(error == IntakeError::IdInUse);
        Ok(())
    }

    /// Returns an error if nothing more is accepted from a connection, as none of its RPCs could be run.
    fn check_acceptance(&mut self, conn: ConnectionId) -> Result<(), SidecarFault> {
        let accepts = self.state.sidecars.accepts_rpc(conn);
        if accepts {
            Ok(())
        } else {
            Err(SidecarFault::NothingRunnable)
        }
    }

    /// Reports whether the agreed deny lists reject the RPC's tenant, caller or method.
    fn is_denied(&self, request: &RpcRequest) -> bool {
        let Some(policy) = &self.state.apply_policy else { return false };
        let mut digits = [0; 20];
        let keys = [
            (ListKind::Tenants, request.tenant.as_str()),
            (ListKind::Callers, caller_key(request.caller.0, &mut digits)),
            (ListKind::Methods, request.method.as_str()),
        ];
        keys.iter().any(|(kind, key)| policy.rejects(*kind, key))
    }

    /// Converts a request to the form that the engine accepts. Returns `None` if its method or tenant is not active.
    fn resolve_rpc(
        &mut self, now: Us, conn: ConnectionId, request: &RpcRequest, body: &[u8],
    ) -> Option<IncomingRpc> {
        let active = ActiveNames { names: &self.state.names, engine: &self.engine };
        let tenant = active.tenant_index(&request.tenant);
        if tenant.is_none() && self.state.names.requires_tenant {
            return None;
        }
        let method = active.method_id(&request.method)?;
        // RPCs of a sidecar that the agent may not know are not coalesced with others.
        let coalescible = self.state.sidecars.is_verified(conn);
        let keys = self.keys_of(method, request, body, coalescible);
        let now = self.engine.advance_to(now);
        let delay_start = request.arrived_at.max(self.state.first_greeting_at.unwrap_or(now));
        let caller = self.state.sidecars.caller(conn, request.caller);
        Some(IncomingRpc {
            id: request.id,
            method,
            tenant,
            caller,
            deadline: request.deadline,
            read_delay: now.saturating_sub(delay_start),
            size_kb: request.size_kb,
            cache_key: keys.cache,
            coalescible,
            idempotency_key: keys.idempotency,
            denied: false,
            stop_when_over: false,
        })
    }

    /// Returns the keys under which the engine recognises other attempts of this RPC.
    ///
    /// An RPC may be answered only with the result of a run for the same method, tenant and body. The entity key alone
    /// does not ensure this, so both keys are computed from method, tenant and body.
    fn keys_of(&self, method: MethodId, request: &RpcRequest, body: &[u8], coalescible: bool) -> RpcKeys {
        if self.state.names.idempotency(method) == Some(Idempotency::Keyed) {
            let key = idempotency_key(&request.method, &request.tenant, body);
            return RpcKeys { idempotency: Some(key), cache: None };
        }
        if request.key.is_some() && coalescible && self.engine.is_coalescible(method) {
            let key = idempotency_key(&request.method, &request.tenant, body);
            return RpcKeys { idempotency: None, cache: cache_key(key) };
        }
        RpcKeys::default()
    }

    /// Aborts an RPC with a missing or malformed field. After an error nothing more is accepted from its connection.
    pub fn malformed_rpc(
        &mut self, now: Us, from: SidecarStream, outbound: &mut dyn Outbound,
    ) -> Result<(), SidecarFault> {
        self.check_acceptance(from.conn)?;
        self.abort_unserviceable(now, from, outbound);
        Ok(())
    }

    /// Aborts an RPC that this server can't run.
    fn abort_unserviceable(&mut self, now: Us, from: SidecarStream, outbound: &mut dyn Outbound) {
        self.state.stats.malformed += 1;
        let requester = Requester::Sidecar(from);
        self.with_engine(now, outbound, |engine, now, outputs| {
            engine.abort_unserviceable(now, requester, outputs)
        });
        self.count_unrunnable(from.conn, outbound);
    }

    /// Counts an RPC that could not be run, and closes its connection after too many of them without a completed run.
    pub(super) fn count_unrunnable(&mut self, conn: ConnectionId, outbound: &mut dyn Outbound) {
        if self.state.sidecars.count_unrunnable(conn) {
            self.state.stats.sidecar_protocol_errors += 1;
            outbound.close_unserviceable(conn);
        }
    }

    /// Cancels the RPC of a stream whose caller no longer waits for the answer.
    pub fn rpc_cancelled(&mut self, now: Us, from: SidecarStream, outbound: &mut dyn Outbound) {
        let requester = Requester::Sidecar(from);
        self.with_engine(now, outbound, |engine, now, outputs| {
            engine.caller_cancelled(now, requester, outputs)
        });
    }

    /// Handles the end of a connection and cancels all unanswered RPCs on it.
    pub fn connection_closed(&mut self, now: Us, conn: ConnectionId, outbound: &mut dyn Outbound) {
        self.state.exercise.waiting.retain(|stream| stream.conn != conn);
        let unanswered: Vec<Requester> = self.unanswered_on(conn).copied().collect();
        for requester in unanswered {
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.caller_cancelled(now, requester, outputs)
            });
        }
        self.state.sidecars.remove(conn);
    }

    fn unanswered_on(&self, conn: ConnectionId) -> impl Iterator<Item = &Requester> {
        let requester = |stream| Requester::Sidecar(SidecarStream { conn, stream: StreamId(stream) });
        self.engine.unanswered_in(requester(0)..=requester(u32::MAX))
    }

    fn health_checks_on(&self, conn: ConnectionId) -> impl Iterator<Item = &SidecarStream> {
        self.state.exercise.waiting.iter().filter(move |stream| stream.conn == conn)
    }

    /// Returns the number of pending answers on a connection, including those to health checks.
    pub fn pending_answers_on(&self, conn: ConnectionId) -> usize {
        self.unanswered_on(conn).count() + self.health_checks_on(conn).count()
    }

    /// Reports whether an answer is pending on a connection.
    pub fn has_pending_answers(&self, conn: ConnectionId) -> bool {
        self.unanswered_on(conn).next().is_some() || self.health_checks_on(conn).next().is_some()
    }

    /// Reports whether a run was ever completed for this connection, which shows that the agent knows its sidecar.
    pub fn is_verified(&self, conn: ConnectionId) -> bool {
        self.state.sidecars.is_verified(conn)
    }

    /// Returns the number of open RPCs.
    pub fn open_rpcs(&self) -> usize {
        self.engine.open_rpcs()
    }

    /// Returns the number of unanswered RPCs.
    pub fn unanswered_rpcs(&self) -> usize {
        self.engine.unanswered()
    }
}

/// Keys that mark RPCs as attempts of the same operation.
#[derive(Default)]
struct RpcKeys {
    idempotency: Option<asterrill_engine::IdempotencyKey>,
    cache: Option<u64>,
}
