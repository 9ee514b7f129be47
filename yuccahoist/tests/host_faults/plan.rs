//! Fault schedules: which faults begin when and how long they last.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use rand::RngExt;
use yuccahoist::event::JobCall;
use yuccahoist::id::WorkerId;
use yuccahoist::job::JobKind;
use yuccahoist::unit::Timestamp;

use crate::cell::{RACK_COUNT, base_document, job_spec};
use crate::world::{Failpoint, World};

/// Injected fault, or work that is submitted along with faults.
///
/// Numbers are indexes of hosts, workers or racks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    Kill(usize),
    Failpoint(usize, Failpoint),
    Pause(usize),
    Stop(usize),
    StopAndKill(usize),
    BlockLink(usize, usize),
    BlockLog(usize),
    BlockPeers(usize),
    LogDown,
    LogSlow,
    LoseAppendAnswers,
    LateAppends,
    WorkerCrash(usize),
    RackCrash(usize),
    FailTasks(usize),
    Drain(usize),
    MessageFaults,
    Edit,
    RacingEdits,
    Jobs,
    OversizedJob,
    CancelJobs,
}

/// Start, fault and length; start and length in milliseconds, the start counted from the begin of the run.
pub type ScheduledFault = (u64, Fault, u64);

/// Generates any fault for a cell with `hosts` hosts.
pub fn fault(hosts: usize) -> impl Strategy<Value = Fault> {
    let host = || 0..hosts;
    let worker = 0..RACK_COUNT * crate::cell::WORKERS_PER_RACK;
    let failpoint = prop_oneof![
        Just(Failpoint::BeforeAppend),
        Just(Failpoint::AfterAppend),
        Just(Failpoint::BeforeDispatch),
        Just(Failpoint::AfterDispatch),
        Just(Failpoint::BeforeCommit),
        Just(Failpoint::AfterCommit),
        Just(Failpoint::PauseAtDispatch),
    ];
    prop_oneof![
        2 => host().prop_map(Fault::Kill),
        3 => (host(), failpoint).prop_map(|(host, failpoint)| Fault::Failpoint(host, failpoint)),
        3 => host().prop_map(Fault::Pause),
        2 => host().prop_map(Fault::Stop),
        1 => host().prop_map(Fault::StopAndKill),
        2 => (host(), host()).prop_map(|(from, to)| Fault::BlockLink(from, to)),
        3 => host().prop_map(Fault::BlockLog),
        2 => host().prop_map(Fault::BlockPeers),
        2 => Just(Fault::LogDown),
        1 => Just(Fault::LogSlow),
        1 => Just(Fault::LoseAppendAnswers),
        1 => Just(Fault::LateAppends),
        1 => worker.clone().prop_map(Fault::WorkerCrash),
        1 => (0..RACK_COUNT).prop_map(Fault::RackCrash),
        1 => worker.clone().prop_map(Fault::FailTasks),
        2 => worker.prop_map(Fault::Drain),
        2 => Just(Fault::MessageFaults),
        1 => Just(Fault::Edit),
        1 => Just(Fault::RacingEdits),
        2 => Just(Fault::Jobs),
        1 => Just(Fault::OversizedJob),
        1 => Just(Fault::CancelJobs),
    ]
}

/// Generates up to 9 faults of at least 100 ms that begin between 6 s and `span`; both bounds in milliseconds.
pub fn fault_schedule(hosts: usize, span: u64, longest: u64) -> impl Strategy<Value = Vec<ScheduledFault>> {
    vec((6_000..span, fault(hosts), 100..longest), 1..10)
}

enum FaultStep {
    Begin(Fault, u64),
    End(Fault),
}

impl World {
    /// Runs for `length` with faults. A host that crashed or stopped is restarted at the end of its fault.
    pub fn run_with_faults(&mut self, faults: &[ScheduledFault], length: Duration) {
        let begin = self.now;
        let at = |millis: u64| begin + Duration::from_millis(millis);
        let mut steps: Vec<(Timestamp, usize, FaultStep)> = Vec::new();
        for (index, (start, fault, length)) in faults.iter().enumerate() {
            steps.push((at(*start), index, FaultStep::Begin(*fault, *length)));
            steps.push((at(start + length), index, FaultStep::End(*fault)));
        }
        steps.sort_by_key(|(at, index, _)| (*at, *index));
        for (at, _, step) in steps {
            self.run_for(at.since(self.now));
            match step {
                FaultStep::Begin(fault, length) => self.begin_fault(fault, length),
                FaultStep::End(fault) => self.end_fault(fault),
            }
        }
        self.run_for((begin + length).since(self.now));
    }

    fn worker_id(&self, index: usize) -> WorkerId {
        self.workers.keys().nth(index).expect("worker index in range").clone()
    }

    /// Begins a fault; `length` is in milliseconds and used only for a pause.
    pub fn begin_fault(&mut self, fault: Fault, length: u64) {
        match fault {
            Fault::Kill(host) => self.kill_host(host),
            Fault::Failpoint(host, failpoint) => self.nodes[host].failpoint = Some(failpoint),
            Fault::Pause(host) if self.is_running(host) => self.pause(host, Duration::from_millis(length)),
            Fault::Pause(_) => {}
            Fault::Stop(host) | Fault::StopAndKill(host) if self.is_running(host) => self.request_stop(host),
            Fault::Stop(_) | Fault::StopAndKill(_) => {}
            Fault::BlockLink(from, to) => {
                self.nodes[from].blocked_links.insert(to);
            }
            Fault::BlockLog(host) => self.nodes[host].log_blocked = true,
            Fault::BlockPeers(host) => self.nodes[host].peers_blocked = true,
            Fault::LogDown => self.log.down = true,
            Fault::LogSlow => self.log.added_latency = Duration::from_millis(700),
            Fault::LoseAppendAnswers => self.log.lost_answers = 300,
            Fault::LateAppends => self.log.late_appends = 300,
            Fault::WorkerCrash(index) => self.crash_worker(index),
            Fault::RackCrash(rack) => {
                for index in 0..crate::cell::WORKERS_PER_RACK {
                    self.crash_worker(rack * crate::cell::WORKERS_PER_RACK + index);
                }
            }
            Fault::FailTasks(index) => self.worker_mut(index).fails_tasks = true,
            Fault::Drain(index) => {
                let now = self.now;
                self.worker_mut(index).leaving_since.get_or_insert(now);
            }
            Fault::MessageFaults => {
                self.message_faults =
                    crate::world::MessageFaults { late: 100, duplicated: 100, lost_replies: 50 };
            }
            Fault::Edit => self.publish_edits(1),
            Fault::RacingEdits => self.publish_edits(3),
            Fault::Jobs => {
                self.submit(JobKind::Batch, 12, 3);
                self.submit(JobKind::Gang, 4, 6);
            }
            Fault::OversizedJob => self.submit(JobKind::Batch, 1, 17),
            Fault::CancelJobs => self.cancel_all_jobs(),
        }
    }

    fn end_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(host) | Fault::Failpoint(host, _) => {
                self.nodes[host].failpoint = None;
                if self.nodes[host].host.is_none() {
                    self.start_host(host);
                }
            }
            Fault::StopAndKill(host) | Fault::Stop(host) => {
                if self.nodes[host].stop_requested.is_some() {
                    self.kill_host(host);
                }
                if self.nodes[host].host.is_none() {
                    self.start_host(host);
                }
            }
            Fault::BlockLink(from, to) => {
                self.nodes[from].blocked_links.remove(&to);
            }
            Fault::BlockLog(host) => self.nodes[host].log_blocked = false,
            Fault::BlockPeers(host) => self.nodes[host].peers_blocked = false,
            Fault::LogDown => self.log.down = false,
            Fault::LogSlow => self.log.added_latency = Duration::ZERO,
            Fault::LoseAppendAnswers => self.log.lost_answers = 0,
            Fault::LateAppends => self.log.late_appends = 0,
            Fault::WorkerCrash(index) => self.worker_mut(index).crashed = false,
            Fault::RackCrash(rack) => {
                for index in 0..crate::cell::WORKERS_PER_RACK {
                    self.worker_mut(rack * crate::cell::WORKERS_PER_RACK + index).crashed = false;
                }
            }
            Fault::FailTasks(index) => self.worker_mut(index).fails_tasks = false,
            Fault::Drain(index) => self.worker_mut(index).leaving_since = None,
            Fault::MessageFaults => self.message_faults = crate::world::MessageFaults::default(),
            _ => {}
        }
        let log_works = !self.log.down
            && self.log.added_latency.is_zero()
            && self.log.lost_answers + self.log.late_appends == 0;
        if log_works
            && matches!(
                fault,
                Fault::LogDown | Fault::LogSlow | Fault::LoseAppendAnswers | Fault::LateAppends
            )
        {
            self.log_recovered = now;
        }
        if let Fault::BlockLog(host) = fault {
            self.nodes[host].healthy_since = now;
        }
    }

    fn worker_mut(&mut self, index: usize) -> &mut crate::worker::Worker {
        let id = self.worker_id(index);
        self.workers.get_mut(&id).expect("known worker")
    }

    fn crash_worker(&mut self, index: usize) {
        let now = self.now;
        self.worker_mut(index).crash(now);
    }

    /// Returns the highest revision that has been in force at any host.
    pub fn revision(&self) -> u64 {
        self.digests.keys().copied().max().unwrap_or(0)
    }

    /// Publishes `count` conflicting edits, all based on the current revision.
    pub fn publish_edits(&mut self, count: u64) {
        let revision = self.revision();
        for number in 0..count {
            let queue_limit = 64 + 10 * (revision % 50) + number;
            self.publish(revision, base_document(queue_limit));
        }
    }

    fn any_host(&mut self) -> Option<usize> {
        let first = self.rng.random_range(0..self.nodes.len());
        (first..self.nodes.len())
            .chain(0..first)
            .find(|index| self.is_running(*index) && self.nodes[*index].stop_requested.is_none())
    }

    /// Submits a job whose tasks need `cores` processor cores each, at a randomly chosen host.
    pub fn submit(&mut self, kind: JobKind, tasks: u32, cores: u64) {
        let Some(host) = self.any_host() else { return };
        let id = format!("job-{}", self.jobs.len());
        self.submitted.push(id.clone());
        self.send_job_call(host, JobCall::Submit(job_spec(&id, kind, tasks, cores)));
    }

    /// Cancels all submitted jobs at once, each with two calls at randomly chosen hosts.
    fn cancel_all_jobs(&mut self) {
        for id in self.submitted.clone() {
            for _ in 0..2 {
                if let Some(host) = self.any_host() {
                    self.send_job_call(host, JobCall::Cancel(crate::cell::name(&id)));
                }
            }
        }
    }
}
