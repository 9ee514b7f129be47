//! Job calls, the coordinator duty, and the placement duty with its worker commands.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Host;
use super::step::{Step, StepContext};
use super::streams::JobAppender;
use crate::config::CellConfig;
use crate::event::{HostAction, HostDecision, JobCall, JobReply};
use crate::front::CallId;
use crate::id::{Incarnation, JobId, Subject, WorkerId};
use crate::job::{
    CoordinatorAction, CoordinatorEvent, JobRecord, JobSpec, JobStatus, ShardReply, ShardRequest,
    team_partition,
};
use crate::peer::PeerMessage;
use crate::placement::{Inventory, PlacementAction, PlacementEvent};
use crate::state_machine::StateMachine;
use crate::systems::CallError;
use crate::unit::{Resources, Timestamp};

/// Time after which a submission or cancellation whose record is not yet committed is answered as unavailable.
const JOB_APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a status call waits for the coordinator before it is answered from the log.
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_TASKS_PER_JOB: u32 = 100_000;
const MAX_ATTEMPTS_PER_TASK: u32 = 1_000;

/// Job call that waits for an append or for the coordinator's reply.
#[derive(Debug)]
struct PendingCall {
    call: CallId,
    body: JobCall,
    deadline: Timestamp,
}

/// Pending job calls by number.
#[derive(Debug, Default)]
pub(super) struct JobCalls {
    pending: BTreeMap<u64, PendingCall>,
    last_number: u64,
}

impl JobCalls {
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    fn insert(&mut self, call: CallId, body: JobCall, deadline: Timestamp) -> u64 {
        self.last_number += 1;
        self.pending.insert(self.last_number, PendingCall { call, body, deadline });
        self.last_number
    }
}

impl Host {
    pub(super) fn job_call(&mut self, call: CallId, body: JobCall, ctx: &mut StepContext<'_>) {
        match body {
            JobCall::Submit(spec) => self.submit(call, spec, ctx),
            JobCall::Cancel(job) => self.cancel(call, job, ctx),
            JobCall::Status(job) => self.job_status(call, &job, ctx),
        }
    }

    fn submit(&mut self, call: CallId, spec: JobSpec, ctx: &mut StepContext<'_>) {
        let errors = validate(&spec, self.config.as_ref());
        if !errors.is_empty() {
            ctx.out.push(HostAction::JobReply { call, reply: JobReply::Invalid(errors) });
            return;
        }
        if let Some(reply) = self.existing_job_reply(&spec) {
            ctx.out.push(HostAction::JobReply { call, reply });
            return;
        }
        let record = JobRecord::Submitted(spec.clone());
        self.append_call(call, JobCall::Submit(spec), record, ctx);
    }

    /// Returns the reply to a submission whose job id is already in the fold: the status if the specification is equal,
    /// otherwise a conflict.
    fn existing_job_reply(&self, spec: &JobSpec) -> Option<JobReply> {
        let fold = self.streams.jobs.fold();
        let state = fold.job(&spec.id)?;
        if state.spec != *spec {
            return Some(JobReply::Conflict);
        }
        fold.status(&spec.id).map(JobReply::Accepted)
    }

    fn cancel(&mut self, call: CallId, job: JobId, ctx: &mut StepContext<'_>) {
        let fold = self.streams.jobs.fold();
        let Some(state) = fold.job(&job) else {
            ctx.out.push(HostAction::JobReply { call, reply: JobReply::NotFound });
            return;
        };
        if state.cancelled || state.end.is_some() {
            let reply = fold.status(&job).map_or(JobReply::NotFound, JobReply::Accepted);
            ctx.out.push(HostAction::JobReply { call, reply });
            return;
        }
        let record = JobRecord::Cancelled { job: job.clone() };
        self.append_call(call, JobCall::Cancel(job), record, ctx);
    }

    fn append_call(&mut self, call: CallId, body: JobCall, record: JobRecord, ctx: &mut StepContext<'_>) {
        if !self.streams.jobs.is_available() {
            ctx.out.push(HostAction::JobReply { call, reply: JobReply::Unavailable });
            return;
        }
        let number = self.job_calls.insert(call, body, ctx.now + JOB_APPEND_TIMEOUT);
        self.append_job(JobAppender::Call(number), record, ctx);
    }

    /// Answers a job call whose append has ended. `committed` is false when the append failed or its result is unknown.
    pub(super) fn finish_job_call(&mut self, number: u64, committed: bool, ctx: &mut StepContext<'_>) {
        let Some(pending) = self.job_calls.pending.remove(&number) else { return };
        let reply = match (&pending.body, committed) {
            (_, false) => JobReply::Unavailable,
            (JobCall::Submit(spec), true) => self.existing_job_reply(spec).unwrap_or(JobReply::Unavailable),
            (JobCall::Cancel(job) | JobCall::Status(job), true) => {
                self.streams.jobs.fold().status(job).map_or(JobReply::NotFound, JobReply::Accepted)
            }
        };
        ctx.out.push(HostAction::JobReply { call: pending.call, reply });
    }

    fn job_status(&mut self, call: CallId, job: &JobId, ctx: &mut StepContext<'_>) {
        let Some(state) = self.streams.jobs.fold().job(job) else {
            ctx.out.push(HostAction::JobReply { call, reply: JobReply::NotFound });
            return;
        };
        let partition = Subject::Partition(team_partition(&state.spec.team));
        let cell = self.streams.cell.fold();
        let owner = cell.subject(&partition).filter(|state| !state.released).map(|state| state.owner);
        match owner {
            Some(owner) if owner != self.incarnation() && state.end.is_none() => {
                let number =
                    self.job_calls.insert(call, JobCall::Status(job.clone()), ctx.now + STATUS_QUERY_TIMEOUT);
                if !self.send(owner, PeerMessage::JobStatusQuery { number, job: job.clone() }, None, ctx) {
                    self.job_calls.pending.remove(&number);
                    self.send_status(call, None, job, ctx);
                }
            }
            _ => {
                let status = self.local_status(job);
                self.send_status(call, status, job, ctx);
            }
        }
    }

    /// Returns the job status from this host's coordinator, or from the fold of the `jobs` stream.
    pub(super) fn local_status(&self, job: &JobId) -> Option<JobStatus> {
        self.coordinator.status(job).or_else(|| self.streams.jobs.fold().status(job))
    }

    fn send_status(&self, call: CallId, status: Option<JobStatus>, job: &JobId, ctx: &mut StepContext<'_>) {
        let status = status.or_else(|| self.local_status(job));
        let reply = status.map_or(JobReply::NotFound, JobReply::Status);
        ctx.out.push(HostAction::JobReply { call, reply });
    }

    /// Answers the status call to which the reply of a remote coordinator belongs.
    pub(super) fn job_status_reply(
        &mut self,
        number: u64,
        status: Option<JobStatus>,
        ctx: &mut StepContext<'_>,
    ) {
        let Some(pending) = self.job_calls.pending.remove(&number) else { return };
        if let JobCall::Status(job) = &pending.body {
            self.send_status(pending.call, status, job, ctx);
        }
    }

    pub(super) fn expire_job_calls(&mut self, ctx: &mut StepContext<'_>) {
        let expired: Vec<u64> = self
            .job_calls
            .pending
            .iter()
            .filter(|(_, pending)| ctx.now >= pending.deadline)
            .map(|(n, _)| *n)
            .collect();
        for number in expired {
            let Some(pending) = self.job_calls.pending.remove(&number) else { continue };
            match &pending.body {
                JobCall::Status(job) => self.send_status(pending.call, None, job, ctx),
                JobCall::Submit(_) | JobCall::Cancel(_) => {
                    ctx.out.push(HostAction::JobReply { call: pending.call, reply: JobReply::Unavailable });
                }
            }
        }
    }

    pub(super) fn coordinator_event(&mut self, event: CoordinatorEvent, ctx: &mut StepContext<'_>) {
        let mut actions = Vec::new();
        self.coordinator.handle(ctx.now, event, ctx.rng, &mut actions);
        for action in actions {
            match action {
                CoordinatorAction::Append { ticket, record } => {
                    self.append_job(JobAppender::Coordinator(ticket), record, ctx);
                }
                CoordinatorAction::Send { to, request, until } => self.send_to_shard(to, request, until, ctx),
                CoordinatorAction::Decision { job, text } => {
                    ctx.out.push(HostAction::Decision(HostDecision::Job { job, text }));
                }
            }
        }
    }

    fn send_to_shard(
        &mut self,
        to: Incarnation,
        request: ShardRequest,
        until: Timestamp,
        ctx: &mut StepContext<'_>,
    ) {
        if to == self.incarnation() {
            self.pending_steps.push_back(Step::Placement(PlacementEvent::Request { from: to, request }));
        } else {
            self.send(to, PeerMessage::Shard(request), Some(until), ctx);
        }
    }

    pub(super) fn placement_event(&mut self, event: PlacementEvent, ctx: &mut StepContext<'_>) {
        let mut actions = Vec::new();
        self.placement.handle(ctx.now, event, ctx.rng, &mut actions);
        for action in actions {
            match action {
                PlacementAction::Command { worker, ticket, command, until } => {
                    if let Some(shard) = self.worker_shards.get(&worker) {
                        self.pending_commands.insert((worker.clone(), ticket), shard.clone());
                    }
                    ctx.out.push(HostAction::Command { worker, ticket, command, until });
                }
                PlacementAction::Reply { to, reply } => self.send_to_coordinator(to, reply, ctx),
                PlacementAction::Decision(decision) => {
                    ctx.out.push(HostAction::Decision(HostDecision::Placement(decision)));
                }
            }
        }
    }

    fn send_to_coordinator(&mut self, to: Incarnation, reply: ShardReply, ctx: &mut StepContext<'_>) {
        if to == self.incarnation() {
            self.pending_steps.push_back(Step::Coordinator(CoordinatorEvent::Reply { from: to, reply }));
        } else {
            self.send(to, PeerMessage::ShardReply(reply), None, ctx);
        }
    }

    pub(super) fn worker_result(
        &mut self,
        worker: WorkerId,
        ticket: u64,
        result: Result<Inventory, CallError>,
    ) {
        self.pending_commands.remove(&(worker.clone(), ticket));
        let event = match result {
            Ok(inventory) => PlacementEvent::CommandSucceeded { worker, ticket, inventory },
            Err(_) => PlacementEvent::CommandFailed { worker, ticket },
        };
        self.pending_steps.push_back(Step::Placement(event));
        self.report_quiescent_epochs();
    }
}

/// Returns all errors of a job specification.
fn validate(spec: &JobSpec, config: Option<&CellConfig>) -> Vec<String> {
    let Some(config) = config else { return vec!["no configuration is in force yet".into()] };
    let mut errors = Vec::new();
    if !config.teams.contains_key(&spec.team) {
        let known: Vec<&str> = config.teams.keys().map(|team| team.as_str()).collect();
        errors.push(format!("team is {:?}; allowed: {}", spec.team.as_str(), known.join(", ")));
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS_PER_JOB {
        errors.push(format!("tasks is {}; allowed: 1 to {MAX_TASKS_PER_JOB}", spec.tasks));
    }
    if spec.attempts == 0 || spec.attempts > MAX_ATTEMPTS_PER_TASK {
        errors.push(format!("attempts is {}; allowed: 1 to {MAX_ATTEMPTS_PER_TASK}", spec.attempts));
    }
    if spec.resources == Resources::ZERO {
        errors.push("resources are all zero; allowed: at least one resource above zero".into());
    }
    errors
}
