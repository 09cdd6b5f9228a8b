//! Requests from operators and signals: validated on the threads that receive them, executed on the worker.

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

/// Maximum number of requests of one kind that wait for the worker.
const MAX_QUEUED_REQUESTS: usize = 16;
/// Maximum number of times that a change is validated again because another version was applied meanwhile.
const MAX_RESTAGE_ATTEMPTS: usize = 4;
/// Maximum time to wait for a reply of the worker.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Command that waits for the worker.
pub struct PendingCommand {
    /// Command to execute.
    pub command: OperatorCommand,
    /// Channel of the client that waits for the reply.
    pub reply_to: SyncSender<Reply>,
}

/// Reloaded configuration file, with the result of its validation if its entries differ from the running ones.
pub struct Reload {
    /// Parsed file.
    pub deployment: Deployment,
    /// Result of the validation; `None` if nothing differs or the worker did not answer.
    pub prepared: Option<Result<PreparedChange, Rejection>>,
}

/// Requests that wait for the worker.
#[derive(Default)]
pub struct PendingRequests {
    /// Whether a shutdown was requested.
    pub shutdown: bool,
    /// Last configuration file that was reloaded.
    pub reload: Option<Result<Reload, SettingsError>>,
    /// Channels of the threads that wait for a validation context.
    pub context_requests: Vec<SyncSender<ValidationContext>>,
    /// Commands in the order of their arrival.
    pub commands: Vec<PendingCommand>,
    /// Whether requests are no longer executed.
    closed: bool,
}

impl PendingRequests {
    /// Reports whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        !self.shutdown
            && self.reload.is_none()
            && self.context_requests.is_empty()
            && self.commands.is_empty()
    }
}

/// Queue of requests to the worker.
#[derive(Default)]
pub struct RequestQueue(Mutex<PendingRequests>);

impl RequestQueue {
    /// Locks the queue.
    pub fn lock(&self) -> MutexGuard<'_, PendingRequests> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Removes and returns all pending requests.
    pub fn take(&self) -> PendingRequests {
        std::mem::take(&mut *self.lock())
    }

    /// Closes the queue. Pending requests are dropped, so that threads waiting for a reply return at once.
    pub fn close(&self) {
        *self.lock() = PendingRequests { closed: true, ..PendingRequests::default() };
    }
}

/// Handler of operators' requests; callable from any thread.
#[derive(Clone)]
pub struct RequestHandler {
    /// Queue of requests to the worker.
    pub queue: Arc<RequestQueue>,
    /// Dispatcher, which wakes the worker and counts rejected changes.
    pub dispatcher: Arc<Dispatcher>,
    /// Rollout settings by which changes are validated.
    pub policy: RolloutPolicy,
    /// Seed of the decision module.
    pub seed: u64,
}

impl RequestHandler {
    /// Executes a request. A change is parsed and validated on the calling thread.
    pub fn handle(&self, request: Request) -> Reply {
        let (reply, is_change) = match request {
            Request::Diff(request) => {
                let diff = self.prepare_change(request).map(|prepared| Reply::Diff(prepared.to_diff()));
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

    /// Validates a reloaded configuration file on the calling thread, if it differs from the running configuration.
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

    /// Stages a change. If another version was applied during validation, the change is validated again against that.
    fn stage(&self, request: ChangeRequest) -> Reply {
        let mut retained = request.may_be_retained().then(|| request.clone());
        let mut reply = self.stage_once(request);
        for _ in 0..MAX_RESTAGE_ATTEMPTS {
            let is_outdated = matches!(&reply, Reply::Rejected(rejection) if rejection.crossed);
            let Some(request) = retained.take_if(|_| is_outdated) else { break };
            retained = Some(request.clone());
            reply = self.stage_once(request);
        }
        reply
    }

    fn stage_once(&self, request: ChangeRequest) -> Reply {
        match self.prepare_change(request) {
            Ok(prepared) => self.execute(OperatorCommand::Stage(Box::new(prepared))),
            Err(rejection) => Reply::Rejected(rejection),
        }
    }

    fn prepare_change(&self, request: ChangeRequest) -> Result<PreparedChange, Rejection> {
        let no_answer = || Rejection::new("no answer: the server is overloaded or shutting down");
        let context = self.validation_context().ok_or_else(no_answer)?;
        prepare(&context, request, self.policy, self.seed)
    }

    /// Requests the validation context from the worker; returns `None` if the worker does not answer.
    fn validation_context(&self) -> Option<ValidationContext> {
        let (sender, receiver) = sync_channel(1);
        {
            let mut pending = self.queue.lock();
            if pending.closed || pending.context_requests.len() >= MAX_QUEUED_REQUESTS {
                return None;
            }
            pending.context_requests.push(sender);
        }
        self.dispatcher.timer_wakeup.notify();
        receiver.recv_timeout(REPLY_TIMEOUT).ok()
    }

    /// Queues a command for the worker and waits for the reply, up to `REPLY_TIMEOUT`.
    fn execute(&self, command: OperatorCommand) -> Reply {
        let (reply_to, receiver) = sync_channel(1);
        let rejected = |why: String| Reply::Rejected(Rejection::new(why));
        {
            let mut pending = self.queue.lock();
            if pending.closed {
                return rejected("the server is shutting down".into());
            }
            if pending.commands.len() >= MAX_QUEUED_REQUESTS {
                return rejected(format!(
                    "{MAX_QUEUED_REQUESTS} commands are already waiting: try again later"
                ));
            }
            pending.commands.push(PendingCommand { command, reply_to });
        }
        self.dispatcher.timer_wakeup.notify();
        let reply = receiver.recv_timeout(REPLY_TIMEOUT);
        reply.unwrap_or_else(|_| {
            rejected("no answer within 5 s: the command may still be executed, check the status".into())
        })
    }
}
