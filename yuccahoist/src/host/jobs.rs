//! Job calls, coordinators, and the placement duty with its worker commands.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Host;
use super::step::{Step, Turn};
use super::streams::JobTicket;
use crate::config::CellConfig;
use crate::duty::Duty;
use crate::event::{HostAction, HostDecision, JobCall, JobReply};
use crate::front::CallId;
use crate::id::{Incarnation, JobId, Subject, WorkerId};
use crate::job::{
    CoordinatorAction, CoordinatorEvent, JobRecord, JobSpec, JobStatus, ShardReply, ShardRequest,
    partition_of,
};
use crate::peer::PeerMessage;
use crate::placement::{Inventory, PlacementAction, PlacementEvent};
use crate::systems::CallError;
use crate::unit::{Resources, Timestamp};

/// Time after which a job call whose record is not confirmed is answered as unavailable.
const JOB_CALL_LIMIT: Duration = Duration::from_secs(5);
/// Time that a status call waits for the coordinator's answer.
const STATUS_LIMIT: Duration = Duration::from_millis(500);
/// Most tasks of one job.
const TASK_LIMIT: u32 = 100_000;
/// Most attempts of one task.
const ATTEMPT_LIMIT: u32 = 1_000;

/// Job call that waits for the log or the coordinator.
#[derive(Debug)]
struct OpenCall {
    call: CallId,
    body: JobCall,
    until: Timestamp,
}

/// Open job calls by number.
#[derive(Debug, Default)]
pub(super) struct JobCalls {
    open: BTreeMap<u64, OpenCall>,
    next: u64,
}

impl JobCalls {
    pub(super) fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    fn insert(&mut self, call: CallId, body: JobCall, until: Timestamp) -> u64 {
        self.next += 1;
        self.open.insert(self.next, OpenCall { call, body, until });
        self.next
    }
}

impl Host {
    pub(super) fn job_call(&mut self, call: CallId, body: JobCall, turn: &mut Turn<'_>) {
        match body {
            JobCall::Submit(spec) => self.submit(call, spec, turn),
            JobCall::Cancel(job) => self.cancel(call, job, turn),
            JobCall::Status(job) => self.job_status(call, &job, turn),
        }
    }

    fn submit(&mut self, call: CallId, spec: JobSpec, turn: &mut Turn<'_>) {
        let errors = check(&spec, self.config.as_ref());
        if !errors.is_empty() {
            turn.out.push(HostAction::JobReply { call, reply: JobReply::Invalid(errors) });
            return;
        }
        if let Some(reply) = self.known(&spec) {
            turn.out.push(HostAction::JobReply { call, reply });
            return;
        }
        let record = JobRecord::Submitted(spec.clone());
        self.append_call(call, JobCall::Submit(spec), record, turn);
    }

    /// Reply to the submission of a job whose id is already known.
    fn known(&self, spec: &JobSpec) -> Option<JobReply> {
        let fold = self.streams.jobs.fold();
        let state = fold.job(&spec.id)?;
        if state.spec != *spec {
            return Some(JobReply::Conflict);
        }
        fold.status(&spec.id).map(JobReply::Accepted)
    }

    fn cancel(&mut self, call: CallId, job: JobId, turn: &mut Turn<'_>) {
        let fold = self.streams.jobs.fold();
        let Some(state) = fold.job(&job) else {
            turn.out.push(HostAction::JobReply { call, reply: JobReply::NotFound });
            return;
        };
        if state.cancelled || state.end.is_some() {
            let reply = fold.status(&job).map_or(JobReply::NotFound, JobReply::Accepted);
            turn.out.push(HostAction::JobReply { call, reply });
            return;
        }
        let record = JobRecord::Cancelled { job: job.clone() };
        self.append_call(call, JobCall::Cancel(job), record, turn);
    }

    fn append_call(&mut self, call: CallId, body: JobCall, record: JobRecord, turn: &mut Turn<'_>) {
        if !self.streams.jobs.available() {
            turn.out.push(HostAction::JobReply { call, reply: JobReply::Unavailable });
            return;
        }
        let number = self.job_calls.insert(call, body, turn.now + JOB_CALL_LIMIT);
        self.append_job(JobTicket::Call(number), record, turn);
    }

    /// Answers a call whose record was folded, or is certain not to be.
    pub(super) fn job_call_ended(&mut self, number: u64, committed: bool, turn: &mut Turn<'_>) {
        let Some(open) = self.job_calls.open.remove(&number) else { return };
        let reply = match (&open.body, committed) {
            (_, false) => JobReply::Unavailable,
            (JobCall::Submit(spec), true) => self.known(spec).unwrap_or(JobReply::Unavailable),
            (JobCall::Cancel(job) | JobCall::Status(job), true) => {
                self.streams.jobs.fold().status(job).map_or(JobReply::NotFound, JobReply::Accepted)
            }
        };
        turn.out.push(HostAction::JobReply { call: open.call, reply });
    }

    fn job_status(&mut self, call: CallId, job: &JobId, turn: &mut Turn<'_>) {
        let Some(state) = self.streams.jobs.fold().job(job) else {
            turn.out.push(HostAction::JobReply { call, reply: JobReply::NotFound });
            return;
        };
        let partition = Subject::Partition(partition_of(&state.spec.team));
        let cell = self.streams.cell.fold();
        let owner = cell.subject(&partition).filter(|state| !state.released).map(|state| state.owner);
        match owner {
            Some(owner) if owner != self.incarnation() && state.end.is_none() => {
                let number =
                    self.job_calls.insert(call, JobCall::Status(job.clone()), turn.now + STATUS_LIMIT);
                if !self.send(owner, PeerMessage::JobQuery { number, job: job.clone() }, None, turn) {
                    self.job_calls.open.remove(&number);
                    self.reply_status(call, None, job, turn);
                }
            }
            _ => {
                let status = self.local_status(job);
                self.reply_status(call, status, job, turn);
            }
        }
    }

    /// Status as this host knows it: from its coordinator, else from the log.
    pub(super) fn local_status(&self, job: &JobId) -> Option<JobStatus> {
        self.coordinator.status(job).or_else(|| self.streams.jobs.fold().status(job))
    }

    fn reply_status(&self, call: CallId, status: Option<JobStatus>, job: &JobId, turn: &mut Turn<'_>) {
        let status = status.or_else(|| self.local_status(job));
        let reply = status.map_or(JobReply::NotFound, JobReply::Status);
        turn.out.push(HostAction::JobReply { call, reply });
    }

    /// Takes the coordinator's answer to a status call.
    pub(super) fn job_answer(&mut self, number: u64, status: Option<JobStatus>, turn: &mut Turn<'_>) {
        let Some(open) = self.job_calls.open.remove(&number) else { return };
        if let JobCall::Status(job) = &open.body {
            self.reply_status(open.call, status, job, turn);
        }
    }

    pub(super) fn expire_job_calls(&mut self, turn: &mut Turn<'_>) {
        let expired: Vec<u64> =
            self.job_calls.open.iter().filter(|(_, open)| turn.now >= open.until).map(|(n, _)| *n).collect();
        for number in expired {
            let Some(open) = self.job_calls.open.remove(&number) else { continue };
            match &open.body {
                JobCall::Status(job) => self.reply_status(open.call, None, job, turn),
                JobCall::Submit(_) | JobCall::Cancel(_) => {
                    turn.out.push(HostAction::JobReply { call: open.call, reply: JobReply::Unavailable });
                }
            }
        }
    }

    pub(super) fn coordinator_event(&mut self, event: CoordinatorEvent, turn: &mut Turn<'_>) {
        let mut actions = Vec::new();
        self.coordinator.handle(turn.now, event, turn.rng, &mut actions);
        for action in actions {
            match action {
                CoordinatorAction::Append { ticket, record } => {
                    self.append_job(JobTicket::Coordinator(ticket), record, turn);
                }
                CoordinatorAction::Send { to, request, until } => self.ask_shard(to, request, until, turn),
                CoordinatorAction::Decision { job, text } => {
                    turn.out.push(HostAction::Decision(HostDecision::Job { job, text }));
                }
            }
        }
    }

    fn ask_shard(&mut self, to: Incarnation, request: ShardRequest, until: Timestamp, turn: &mut Turn<'_>) {
        if to == self.incarnation() {
            self.steps.push_back(Step::Placement(PlacementEvent::Request { from: to, request }));
        } else {
            self.send(to, PeerMessage::Shard(request), Some(until), turn);
        }
    }

    pub(super) fn placement_event(&mut self, event: PlacementEvent, turn: &mut Turn<'_>) {
        let mut actions = Vec::new();
        self.placement.handle(turn.now, event, turn.rng, &mut actions);
        for action in actions {
            match action {
                PlacementAction::Command { worker, ticket, command, until } => {
                    if let Some(shard) = self.shards.get(&worker) {
                        self.commands.insert((worker.clone(), ticket), shard.clone());
                    }
                    turn.out.push(HostAction::Command { worker, ticket, command, until });
                }
                PlacementAction::Reply { to, reply } => self.reply_shard(to, reply, turn),
                PlacementAction::Decision(decision) => {
                    turn.out.push(HostAction::Decision(HostDecision::Placement(decision)));
                }
            }
        }
    }

    fn reply_shard(&mut self, to: Incarnation, reply: ShardReply, turn: &mut Turn<'_>) {
        if to == self.incarnation() {
            self.steps.push_back(Step::Coordinator(CoordinatorEvent::Reply { from: to, reply }));
        } else {
            self.send(to, PeerMessage::ShardReply(reply), None, turn);
        }
    }

    pub(super) fn worker(&mut self, worker: WorkerId, ticket: u64, result: Result<Inventory, CallError>) {
        self.commands.remove(&(worker.clone(), ticket));
        let event = match result {
            Ok(inventory) => PlacementEvent::Done { worker, ticket, inventory },
            Err(_) => PlacementEvent::Failed { worker, ticket },
        };
        self.steps.push_back(Step::Placement(event));
        self.close_epochs();
    }
}

/// Lists all errors of a submitted job.
fn check(spec: &JobSpec, config: Option<&CellConfig>) -> Vec<String> {
    let Some(config) = config else { return vec!["no configuration is in force yet".into()] };
    let mut errors = Vec::new();
    if !config.teams.contains_key(&spec.team) {
        let known: Vec<&str> = config.teams.keys().map(|team| team.as_str()).collect();
        errors.push(format!("team is {:?}; allowed: {}", spec.team.as_str(), known.join(", ")));
    }
    if spec.tasks == 0 || spec.tasks > TASK_LIMIT {
        errors.push(format!("tasks is {}; allowed: 1 to {TASK_LIMIT}", spec.tasks));
    }
    if spec.attempts == 0 || spec.attempts > ATTEMPT_LIMIT {
        errors.push(format!("attempts is {}; allowed: 1 to {ATTEMPT_LIMIT}", spec.attempts));
    }
    if spec.resources == Resources::ZERO {
        errors.push("resources are all zero; allowed: at least one resource above zero".into());
    }
    errors
}
