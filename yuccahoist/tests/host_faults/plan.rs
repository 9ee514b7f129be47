//! Faults with a start and a length.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use rand::RngExt;
use yuccahoist::event::JobCall;
use yuccahoist::id::WorkerId;
use yuccahoist::job::JobKind;
use yuccahoist::unit::Timestamp;

use crate::cell::{RACKS, base, job};
use crate::world::{Trap, World};

/// Fault, or load that goes with faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    Kill(usize),
    Trap(usize, Trap),
    Pause(usize),
    Stop(usize),
    StopAndKill(usize),
    CutLink(usize, usize),
    CutLog(usize),
    CutPeers(usize),
    LogDown,
    LogSlow,
    LoseAppends,
    LateAppends,
    WorkerDies(usize),
    RackDies(usize),
    Sick(usize),
    Drain(usize),
    Messages,
    Edit,
    RacingEdits,
    Jobs,
    ImpossibleJob,
    Cancellations,
}

/// Fault with its start and length, milliseconds.
pub type Plan = (u64, Fault, u64);

/// Any fault of a world with a number of hosts.
pub fn fault(hosts: usize) -> impl Strategy<Value = Fault> {
    let host = || 0..hosts;
    let worker = 0..RACKS * crate::cell::WORKERS;
    let trap = prop_oneof![
        Just(Trap::BeforeAppend),
        Just(Trap::AfterAppend),
        Just(Trap::BeforeDispatch),
        Just(Trap::AfterDispatch),
        Just(Trap::BeforeCommit),
        Just(Trap::AfterCommit),
        Just(Trap::PauseAtDispatch),
    ];
    prop_oneof![
        2 => host().prop_map(Fault::Kill),
        3 => (host(), trap).prop_map(|(host, trap)| Fault::Trap(host, trap)),
        3 => host().prop_map(Fault::Pause),
        2 => host().prop_map(Fault::Stop),
        1 => host().prop_map(Fault::StopAndKill),
        2 => (host(), host()).prop_map(|(from, to)| Fault::CutLink(from, to)),
        3 => host().prop_map(Fault::CutLog),
        2 => host().prop_map(Fault::CutPeers),
        2 => Just(Fault::LogDown),
        1 => Just(Fault::LogSlow),
        1 => Just(Fault::LoseAppends),
        1 => Just(Fault::LateAppends),
        1 => worker.clone().prop_map(Fault::WorkerDies),
        1 => (0..RACKS).prop_map(Fault::RackDies),
        1 => worker.clone().prop_map(Fault::Sick),
        2 => worker.prop_map(Fault::Drain),
        2 => Just(Fault::Messages),
        1 => Just(Fault::Edit),
        1 => Just(Fault::RacingEdits),
        2 => Just(Fault::Jobs),
        1 => Just(Fault::ImpossibleJob),
        1 => Just(Fault::Cancellations),
    ]
}

/// Several faults within a span.
pub fn plans(hosts: usize, span: u64, longest: u64) -> impl Strategy<Value = Vec<Plan>> {
    vec((6_000..span, fault(hosts), 100..longest), 1..10)
}

enum Step {
    Begin(Fault, u64),
    End(Fault),
}

impl World {
    /// Runs for a time with faults. A host whose process ended is started again at the end of its fault.
    pub fn run_with(&mut self, plans: &[Plan], length: Duration) {
        let begin = self.now;
        let at = |millis: u64| begin + Duration::from_millis(millis);
        let mut steps: Vec<(Timestamp, usize, Step)> = Vec::new();
        for (index, (start, fault, length)) in plans.iter().enumerate() {
            steps.push((at(*start), index, Step::Begin(*fault, *length)));
            steps.push((at(start + length), index, Step::End(*fault)));
        }
        steps.sort_by_key(|(at, index, _)| (*at, *index));
        for (at, _, step) in steps {
            self.run(at.since(self.now));
            match step {
                Step::Begin(fault, length) => self.begin(fault, length),
                Step::End(fault) => self.end(fault),
            }
        }
        self.run((begin + length).since(self.now));
    }

    fn worker_id(&self, index: usize) -> WorkerId {
        self.workers.keys().nth(index).expect("few workers").clone()
    }

    /// Begins a fault of a length in milliseconds.
    pub fn begin(&mut self, fault: Fault, length: u64) {
        match fault {
            Fault::Kill(host) => self.kill(host),
            Fault::Trap(host, trap) => self.nodes[host].trap = Some(trap),
            Fault::Pause(host) if self.runs(host) => self.pause(host, Duration::from_millis(length)),
            Fault::Pause(_) => {}
            Fault::Stop(host) | Fault::StopAndKill(host) if self.runs(host) => self.stop(host),
            Fault::Stop(_) | Fault::StopAndKill(_) => {}
            Fault::CutLink(from, to) => {
                self.nodes[from].cut_to.insert(to);
            }
            Fault::CutLog(host) => self.nodes[host].cut_log = true,
            Fault::CutPeers(host) => self.nodes[host].cut_peers = true,
            Fault::LogDown => self.log.down = true,
            Fault::LogSlow => self.log.slow = Duration::from_millis(700),
            Fault::LoseAppends => self.log.lost = 300,
            Fault::LateAppends => self.log.late = 300,
            Fault::WorkerDies(index) => self.crash(index),
            Fault::RackDies(rack) => {
                for index in 0..crate::cell::WORKERS {
                    self.crash(rack * crate::cell::WORKERS + index);
                }
            }
            Fault::Sick(index) => self.worker_mut(index).sick = true,
            Fault::Drain(index) => {
                let now = self.now;
                self.worker_mut(index).leaving.get_or_insert(now);
            }
            Fault::Messages => {
                self.disturbance = crate::world::Disturbance { late: 100, double: 100, lose: 50 };
            }
            Fault::Edit => self.edit(1),
            Fault::RacingEdits => self.edit(3),
            Fault::Jobs => {
                self.submit(JobKind::Batch, 12, 3);
                self.submit(JobKind::Gang, 4, 6);
            }
            Fault::ImpossibleJob => self.submit(JobKind::Batch, 1, 17),
            Fault::Cancellations => self.cancel_wave(),
        }
    }

    fn end(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(host) | Fault::Trap(host, _) => {
                self.nodes[host].trap = None;
                if self.nodes[host].host.is_none() {
                    self.start(host);
                }
            }
            Fault::StopAndKill(host) | Fault::Stop(host) => {
                if self.nodes[host].stopping.is_some() {
                    self.kill(host);
                }
                if self.nodes[host].host.is_none() {
                    self.start(host);
                }
            }
            Fault::CutLink(from, to) => {
                self.nodes[from].cut_to.remove(&to);
            }
            Fault::CutLog(host) => self.nodes[host].cut_log = false,
            Fault::CutPeers(host) => self.nodes[host].cut_peers = false,
            Fault::LogDown => self.log.down = false,
            Fault::LogSlow => self.log.slow = Duration::ZERO,
            Fault::LoseAppends => self.log.lost = 0,
            Fault::LateAppends => self.log.late = 0,
            Fault::WorkerDies(index) => self.worker_mut(index).dead = false,
            Fault::RackDies(rack) => {
                for index in 0..crate::cell::WORKERS {
                    self.worker_mut(rack * crate::cell::WORKERS + index).dead = false;
                }
            }
            Fault::Sick(index) => self.worker_mut(index).sick = false,
            Fault::Drain(index) => self.worker_mut(index).leaving = None,
            Fault::Messages => self.disturbance = crate::world::Disturbance::default(),
            _ => {}
        }
        let log = !self.log.down && self.log.slow.is_zero() && self.log.lost + self.log.late == 0;
        if log && matches!(fault, Fault::LogDown | Fault::LogSlow | Fault::LoseAppends | Fault::LateAppends) {
            self.log_sound = now;
        }
        if let Fault::CutLog(host) = fault {
            self.nodes[host].sound = now;
        }
    }

    fn worker_mut(&mut self, index: usize) -> &mut crate::worker::Worker {
        let id = self.worker_id(index);
        self.workers.get_mut(&id).expect("known worker")
    }

    fn crash(&mut self, index: usize) {
        let now = self.now;
        self.worker_mut(index).crash(now);
    }

    /// Highest revision that is in force anywhere.
    pub fn revision(&self) -> u64 {
        self.digests.keys().copied().max().unwrap_or(0)
    }

    /// Publishes edits that are based on the same revision.
    pub fn edit(&mut self, count: u64) {
        let revision = self.revision();
        for number in 0..count {
            let queue = 64 + 10 * (revision % 50) + number;
            self.publish(revision, base(queue));
        }
    }

    fn any_host(&mut self) -> Option<usize> {
        let first = self.rng.random_range(0..self.nodes.len());
        (first..self.nodes.len())
            .chain(0..first)
            .find(|index| self.runs(*index) && self.nodes[*index].stopping.is_none())
    }

    /// Submits a job with tasks of a size in cores.
    pub fn submit(&mut self, kind: JobKind, tasks: u32, cores: u64) {
        let Some(host) = self.any_host() else { return };
        let id = format!("job-{}", self.jobs.len());
        self.submitted.push(id.clone());
        self.job_call(host, JobCall::Submit(job(&id, kind, tasks, cores)));
    }

    /// Cancels all jobs at once, each twice at different hosts.
    fn cancel_wave(&mut self) {
        for id in self.submitted.clone() {
            for _ in 0..2 {
                if let Some(host) = self.any_host() {
                    self.job_call(host, JobCall::Cancel(crate::cell::name(&id)));
                }
            }
        }
    }
}
