//! Job calls, coordinators, and the placement duty with its worker commands.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::Host;
use super::step::Step;
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
use crate::platform::CallError;
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
    pub(super) fn job_call(
        &mut self,
        now: Timestamp,
        call: CallId,
        body: JobCall,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        match body {
            JobCall::Submit(spec) => self.submit(now, call, spec, rng, out),
            JobCall::Cancel(job) => self.cancel(now, call, job, rng, out),
            JobCall::Status(job) => self.job_status(now, call, job, out),
        }
    }

    fn submit(
        &mut self,
        now: Timestamp,
        call: CallId,
        spec: JobSpec,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        let errors = check(&spec, self.config.as_ref());
        if !errors.is_empty() {
            out.push(HostAction::JobReply { call, reply: JobReply::Invalid(errors) });
            return;
        }
        if let Some(reply) = self.known(&spec) {
            out.push(HostAction::JobReply { call, reply });
            return;
        }
        let record = JobRecord::Submitted(spec.clone());
        self.append_call(now, call, JobCall::Submit(spec), record, rng, out);
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

    fn cancel(
        &mut self,
        now: Timestamp,
        call: CallId,
        job: JobId,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        let fold = self.streams.jobs.fold();
        let Some(state) = fold.job(&job) else {
            out.push(HostAction::JobReply { call, reply: JobReply::NotFound });
            return;
        };
        if state.cancelled || state.end.is_some() {
            let reply = fold.status(&job).map_or(JobReply::NotFound, JobReply::Accepted);
            out.push(HostAction::JobReply { call, reply });
            return;
        }
        let record = JobRecord::Cancelled { job: job.clone() };
        self.append_call(now, call, JobCall::Cancel(job), record, rng, out);
    }

    fn append_call(
        &mut self,
        now: Timestamp,
        call: CallId,
        body: JobCall,
        record: JobRecord,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        if !self.streams.jobs.available() {
            out.push(HostAction::JobReply { call, reply: JobReply::Unavailable });
            return;
        }
        let number = self.job_calls.insert(call, body, now + JOB_CALL_LIMIT);
        self.append_job(now, JobTicket::Call(number), record, rng, out);
    }

    /// Answers a call whose record was folded, or is certain not to be.
    pub(super) fn job_call_ended(&mut self, number: u64, committed: bool, out: &mut Vec<HostAction>) {
        let Some(open) = self.job_calls.open.remove(&number) else { return };
        let reply = match (&open.body, committed) {
            (_, false) => JobReply::Unavailable,
            (JobCall::Submit(spec), true) => self.known(spec).unwrap_or(JobReply::Unavailable),
            (JobCall::Cancel(job) | JobCall::Status(job), true) => {
                self.streams.jobs.fold().status(job).map_or(JobReply::NotFound, JobReply::Accepted)
            }
        };
        out.push(HostAction::JobReply { call: open.call, reply });
    }

    fn job_status(&mut self, now: Timestamp, call: CallId, job: JobId, out: &mut Vec<HostAction>) {
        let Some(state) = self.streams.jobs.fold().job(&job) else {
            out.push(HostAction::JobReply { call, reply: JobReply::NotFound });
            return;
        };
        let partition = Subject::Partition(partition_of(&state.spec.team));
        let cell = self.streams.cell.fold();
        let owner = cell.subject(&partition).filter(|state| !state.released).map(|state| state.owner);
        match owner {
            Some(owner) if owner != self.incarnation() && state.end.is_none() => {
                let number = self.job_calls.insert(call, JobCall::Status(job.clone()), now + STATUS_LIMIT);
                if !self.send(owner, PeerMessage::JobQuery { number, job: job.clone() }, None, out) {
                    self.job_calls.open.remove(&number);
                    self.reply_status(call, None, &job, out);
                }
            }
            _ => {
                let status = self.local_status(&job);
                self.reply_status(call, status, &job, out);
            }
        }
    }

    /// Status as this host knows it: from its coordinator, else from the log.
    pub(super) fn local_status(&self, job: &JobId) -> Option<JobStatus> {
        self.coordinator.status(job).or_else(|| self.streams.jobs.fold().status(job))
    }

    fn reply_status(&self, call: CallId, status: Option<JobStatus>, job: &JobId, out: &mut Vec<HostAction>) {
        let status = status.or_else(|| self.local_status(job));
        let reply = status.map_or(JobReply::NotFound, JobReply::Status);
        out.push(HostAction::JobReply { call, reply });
    }

    /// Takes the coordinator's answer to a status call.
    pub(super) fn job_answer(&mut self, number: u64, status: Option<JobStatus>, out: &mut Vec<HostAction>) {
        let Some(open) = self.job_calls.open.remove(&number) else { return };
        if let JobCall::Status(job) = &open.body {
            self.reply_status(open.call, status, job, out);
        }
    }

    pub(super) fn expire_job_calls(&mut self, now: Timestamp, out: &mut Vec<HostAction>) {
        let expired: Vec<u64> =
            self.job_calls.open.iter().filter(|(_, open)| now >= open.until).map(|(n, _)| *n).collect();
        for number in expired {
            let Some(open) = self.job_calls.open.remove(&number) else { continue };
            match &open.body {
                JobCall::Status(job) => self.reply_status(open.call, None, job, out),
                JobCall::Submit(_) | JobCall::Cancel(_) => {
                    out.push(HostAction::JobReply { call: open.call, reply: JobReply::Unavailable });
                }
            }
        }
    }

    pub(super) fn coordinator_event(
        &mut self,
        now: Timestamp,
        event: CoordinatorEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        let mut actions = Vec::new();
        self.coordinator.handle(now, event, rng, &mut actions);
        for action in actions {
            match action {
                CoordinatorAction::Append { ticket, record } => {
                    self.append_job(now, JobTicket::Coordinator(ticket), record, rng, out);
                }
                CoordinatorAction::Send { to, request, until } => self.ask_shard(to, request, until, out),
                CoordinatorAction::Decision { job, text } => {
                    out.push(HostAction::Decision(HostDecision::Job { job, text }));
                }
            }
        }
    }

    fn ask_shard(
        &mut self,
        to: Incarnation,
        request: ShardRequest,
        until: Timestamp,
        out: &mut Vec<HostAction>,
    ) {
        if to == self.incarnation() {
            self.steps.push_back(Step::Placement(PlacementEvent::Request { from: to, request }));
        } else {
            self.send(to, PeerMessage::Shard(request), Some(until), out);
        }
    }

    pub(super) fn placement_event(
        &mut self,
        now: Timestamp,
        event: PlacementEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        let mut actions = Vec::new();
        self.placement.handle(now, event, rng, &mut actions);
        for action in actions {
            match action {
                PlacementAction::Command { worker, ticket, command, until } => {
                    if let Some(shard) = self.shards.get(&worker) {
                        self.commands.insert((worker.clone(), ticket), shard.clone());
                    }
                    out.push(HostAction::Command { worker, ticket, command, until });
                }
                PlacementAction::Reply { to, reply } => self.reply_shard(to, reply, out),
                PlacementAction::Decision(decision) => {
                    out.push(HostAction::Decision(HostDecision::Placement(decision)));
                }
            }
        }
    }

    fn reply_shard(&mut self, to: Incarnation, reply: ShardReply, out: &mut Vec<HostAction>) {
        if to == self.incarnation() {
            self.steps.push_back(Step::Coordinator(CoordinatorEvent::Reply { from: to, reply }));
        } else {
            self.send(to, PeerMessage::ShardReply(reply), None, out);
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
