//! Requests of operators and signals: read and checked on the threads that they come in on, carried out on the worker.

use crate::change::{
    prepare, ChangeRequest, ChangeSource, OperatorCommand, PreparedChange, Rejection, Reply, Request,
    RolloutPolicy, RunningContent, ValidationContext,
};
use crate::dispatcher::Dispatcher;
use asterrill_rollout::StageOptions;
use asterrill_settings::{Deployment, SettingsError};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Requests of one kind that may wait for the worker.
const MAX_WAITING: usize = 16;
/// Times that a change is read again because another version came into force meanwhile.
const MAX_REREADS: usize = 4;
/// The worker answers within this.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// A command that waits for the worker.
pub struct PendingCommand {
    /// What is to be done.
    pub command: OperatorCommand,
    /// Who waits for the reply.
    pub reply_to: SyncSender<Reply>,
}

/// A configuration file that was read again, and how its entries compared with what ran then, if they differ.
pub struct Reload {
    /// What was read.
    pub deployment: Deployment,
    /// `None` where nothing differs, or the worker did not answer.
    pub prepared: Option<Result<PreparedChange, Rejection>>,
}

/// What waits for the worker.
#[derive(Default)]
pub struct PendingRequests {
    /// The notice to shut down came.
    pub shutdown: bool,
    /// The last configuration file that was read again.
    pub reload: Option<Result<Reload, SettingsError>>,
    /// Who waits for what a change is to be checked against.
    pub context_requests: Vec<SyncSender<ValidationContext>>,
    /// Commands in the order in which they came.
    pub commands: Vec<PendingCommand>,
    /// Nobody carries requests out any more.
    closed: bool,
}

impl PendingRequests {
    /// Something is to be done.
    pub fn is_waiting(&self) -> bool {
        self.shutdown
            || self.reload.is_some()
            || !self.context_requests.is_empty()
            || !self.commands.is_empty()
    }
}

/// Takes requests to the worker.
#[derive(Default)]
pub struct RequestQueue(Mutex<PendingRequests>);

impl RequestQueue {
    /// The requests that wait.
    pub fn lock(&self) -> MutexGuard<'_, PendingRequests> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes all that waits.
    pub fn take(&self) -> PendingRequests {
        std::mem::take(&mut *self.lock())
    }

    /// Nothing is carried out any more; whoever waits for a reply is answered at once.
    pub fn close(&self) {
        *self.lock() = PendingRequests { closed: true, ..PendingRequests::default() };
    }
}

/// Handles requests of operators, on any thread.
#[derive(Clone)]
pub struct RequestHandler {
    /// Takes requests to the worker.
    pub queue: Arc<RequestQueue>,
    /// Wakes the worker, and counts rejected changes.
    pub dispatcher: Arc<Dispatcher>,
    /// By which changes are judged.
    pub policy: RolloutPolicy,
    /// The seed of the decision module.
    pub seed: u64,
}

impl RequestHandler {
    /// Carries a request out: a change is read and checked here, on the thread of who asks.
    pub fn handle(&self, request: Request) -> Reply {
        let (reply, is_change) = match request {
            Request::Diff(request) => {
                let diff = self.read(request).map(|prepared| Reply::Diff(prepared.to_diff()));
                (diff.into(), true)
            }
            Request::Stage(request) => (self.stage(request), true),
            Request::Command(command) => {
                let is_change = matches!(command, OperatorCommand::Apply { .. });
                (self.execute(command), is_change)
            }
        };
        if is_change && !reply.is_ok() {
            self.dispatcher.with(|core, _, _| core.stats_mut().changes_refused += 1);
        }
        reply
    }

    /// A configuration file was read again: what differs from what runs is checked here, if anything does.
    pub fn prepare_reload(&self, deployment: Deployment, running: &RunningContent) -> Reload {
        if deployment.configuration.digest() == running.get().configuration.digest() {
            return Reload { deployment, prepared: None };
        }
        let source = ChangeSource::Configuration(deployment.configuration.clone());
        let request = ChangeRequest { source, base: None, options: StageOptions::default() };
        let context = self.validation_context();
        let prepared = context.map(|context| prepare(&context, request, self.policy, deployment.seed));
        Reload { deployment, prepared }
    }

    /// Stages a change. If another version came into force meanwhile, it is read again against that one.
    fn stage(&self, request: ChangeRequest) -> Reply {
        let mut retained = request.may_be_retained().then(|| request.clone());
        let mut reply = self.stage_once(request);
        for _ in 0..MAX_REREADS {
            let crossed = matches!(&reply, Reply::Rejected(rejection) if rejection.crossed);
            let Some(request) = retained.take_if(|_| crossed) else { break };
            retained = Some(request.clone());
            reply = self.stage_once(request);
        }
        reply
    }

    fn stage_once(&self, request: ChangeRequest) -> Reply {
        match self.read(request) {
            Ok(prepared) => self.execute(OperatorCommand::Stage(Box::new(prepared))),
            Err(rejection) => Reply::Rejected(rejection),
        }
    }

    fn read(&self, request: ChangeRequest) -> Result<PreparedChange, Rejection> {
        let context = self.validation_context().ok_or_else(|| Rejection::new("nobody answers"))?;
        prepare(&context, request, self.policy, self.seed)
    }

    /// What a change is to be read and checked against; `None` where the worker does not answer.
    fn validation_context(&self) -> Option<ValidationContext> {
        let (sender, receiver) = sync_channel(1);
        {
            let mut pending = self.queue.lock();
            if pending.closed || pending.context_requests.len() >= MAX_WAITING {
                return None;
            }
            pending.context_requests.push(sender);
        }
        self.dispatcher.timer_wakeup.notify();
        receiver.recv_timeout(REPLY_TIMEOUT).ok()
    }

    /// Brings a command to the worker and waits for the reply, so long at most.
    fn execute(&self, command: OperatorCommand) -> Reply {
        let (reply_to, receiver) = sync_channel(1);
        let rejected = |why: &str| Reply::Rejected(Rejection::new(why));
        {
            let mut pending = self.queue.lock();
            if pending.closed {
                return rejected("the server leaves");
            }
            if pending.commands.len() >= MAX_WAITING {
                return rejected("too many wait to be answered");
            }
            pending.commands.push(PendingCommand { command, reply_to });
        }
        self.dispatcher.timer_wakeup.notify();
        let reply = receiver.recv_timeout(REPLY_TIMEOUT);
        reply.unwrap_or_else(|_| rejected("no answer within 5 s: ask for the status"))
    }
}
