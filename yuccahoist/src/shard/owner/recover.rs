//! Recovery: the state of a new owner is rebuilt from the records of the store.

use std::collections::{BTreeMap, BTreeSet};

use super::observe::SpeedPlacement;
use super::restarts::next_generation;
use super::{Batch, Counters, Owner, OwnerOptions};
use crate::shard::fair_share::{EntitlementMeter, Standings};
use crate::shard::id::{JobKey, WorkerIncarnation};
use crate::shard::job::{Job, Phase, Placement, Task};
use crate::shard::learning::Learning;
use crate::shard::lease::{MAX_UNCONFIRMED_AGE, max_grant};
use crate::shard::loss::Losses;
use crate::shard::message::WorkerEntry;
use crate::shard::ready::ReadySteps;
use crate::shard::record::{Progress, Record};
use crate::shard::retry::RefusedCallers;
use crate::shard::spec::{JobSpec, Queue};
use crate::shard::worker::{Demand, Worker};
use crate::shard::workspace::Workspace;
use crate::unit::{Resources, Timestamp};

/// Records that a new owner has read from the store, input of [`Owner::restore`].
#[derive(Debug, Default)]
pub struct StoredRecords {
    jobs: BTreeMap<JobKey, std::sync::Arc<JobSpec>>,
    progress: BTreeMap<JobKey, Progress>,
}

impl StoredRecords {
    /// Adds a record; it replaces an earlier one of the same key.
    pub fn add(&mut self, record: Record) {
        match record {
            Record::Owner(_) => {}
            Record::Job(key, spec) => {
                self.jobs.insert(key, spec);
            }
            Record::Progress(key, progress) => {
                self.progress.insert(key, progress);
            }
            Record::DeleteSpec(key) => {
                self.jobs.remove(&key);
            }
        }
    }
}

/// Returns a placeholder for the specification of a finished job, which the store no longer has.
fn dropped_spec(workspace: Option<Workspace>) -> JobSpec {
    let queue = Queue {
        name: String::new(),
        service: String::new(),
        priority: 0,
        max_failures: 1,
        stretch_factor: 1.0,
        target_latency: std::time::Duration::ZERO,
        recommendation: None,
    };
    JobSpec { queue, payload: String::new(), steps: Vec::new(), repeat: None, workspace }
}

impl Owner {
    /// Creates an owner from the records of its predecessor; `wall` is in milliseconds since the Unix epoch.
    #[must_use]
    pub fn restore(options: OwnerOptions, records: StoredRecords, now: Timestamp, wall: u64) -> Self {
        let mut owner = Self {
            options,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            generations: BTreeMap::new(),
            removed: BTreeMap::new(),
            freed: super::freed::FreedRuns::default(),
            pins: super::pins::Pins::default(),
            restored_at: now,
            wall_offset: i128::from(wall) - i128::from(now.as_micros() / 1_000),
            ready: ReadySteps::default(),
            queued_jobs: BTreeMap::new(),
            batch: Batch::default(),
            begun: BTreeSet::new(),
            in_flight: None,
            last_flush: Timestamp::ZERO,
            last_confirmed: now,
            store_up: true,
            write_slow: false,
            recovered_at: now,
            refused: RefusedCallers::default(),
            pass_due: true,
            next_full_pass: now,
            stop_retries: BTreeMap::new(),
            unresolved: BTreeMap::new(),
            last_check: now,
            pending_requests: BTreeMap::new(),
            learning: Learning::default(),
            by_speed: SpeedPlacement::default(),
            interference: crate::shard::interference::InterferenceBook::default(),
            requesting_hosts: 1,
            is_fleet_idle: true,
            caps: super::caps::Caps::default(),
            entitlements: EntitlementMeter::default(),
            standings: Standings::default(),
            refusals: BTreeMap::new(),
            workspace_status: [].into(),
            counters: Counters::default(),
            actions: Vec::new(),
        };
        let StoredRecords { mut jobs, progress } = records;
        for (key, progress) in progress {
            let spec = jobs.remove(&key);
            owner.restore_job(now, wall, key, spec, &progress);
        }
        for (key, spec) in jobs {
            owner.restore_job(
                now,
                wall,
                key,
                Some(spec),
                &Progress { submitted: wall, ..Progress::default() },
            );
        }
        let runs: usize = owner.workers.values().map(|w| w.runs.len()).sum();
        let (jobs, workers) = (owner.jobs.len(), owner.workers.len());
        log::info!(target: "decision", "restore epoch={} jobs={jobs} runs={runs} workers={workers}", owner.epoch());
        owner
    }

    /// Returns the time until which a previous owner may have extended a worker's lease.
    pub(super) fn inherited_expiry(&self, now: Timestamp) -> Timestamp {
        now + MAX_UNCONFIRMED_AGE + max_grant(self.options.lease)
    }

    fn restore_job(
        &mut self,
        now: Timestamp,
        wall: u64,
        key: JobKey,
        spec: Option<std::sync::Arc<JobSpec>>,
        progress: &Progress,
    ) {
        let spec_deleted = spec.is_none();
        if spec_deleted && !progress.state.is_final() {
            log::error!(
                "job {key} has a progress record without a specification; keeping the recorded state"
            );
        }
        let spec = spec.unwrap_or_else(|| std::sync::Arc::new(dropped_spec(progress.workspace.clone())));
        let age = std::time::Duration::from_millis(wall.saturating_sub(progress.submitted));
        let mut job = Job::new(spec.clone(), now - age, progress.submitted);
        job.stored = true;
        job.spec_deleted = spec_deleted;
        job.state = progress.state;
        job.visible_state = progress.state;
        job.is_excess = progress.is_excess;
        if job.state == crate::shard::record::JobState::Queued && !spec_deleted {
            self.adjust_queued_jobs(&spec.queue.name, 1);
        }
        self.jobs.insert(key, job);
        if spec_deleted {
            return;
        }
        self.watch_caps(&spec);
        self.begin_occurrences(now, wall, key);
        let inherited = self.inherited_expiry(now);
        let workspace = spec.workspace.as_ref().map(|w| w.name.clone());
        let Some(job) = self.jobs.get_mut(&key) else { return };
        for (occurrence, steps) in (0u32..).zip(&progress.occurrences) {
            if job.occurrences.len() <= occurrence as usize {
                job.add_occurrence(now);
            }
            for (number, tasks) in (0u32..).zip(steps) {
                let Some(step) = job.occurrences[occurrence as usize].get_mut(number as usize) else { break };
                let step_spec = &spec.steps[number as usize];
                let demand = Demand::of(step_spec, workspace.clone());
                let follows_starts = spec.follows_starts(step_spec);
                let is_settled =
                    |index| progress.settled.iter().any(|range| range.contains(occurrence, number, index));
                for (index, stored) in (0u32..).zip(tasks) {
                    let Some(task) = step.tasks.get_mut(index as usize) else { break };
                    let incarnation = stored.placement.and_then(|p| progress.incarnations.get(p as usize));
                    *task = restored_task(now, stored, incarnation);
                    if let Some(placement) = &task.placement {
                        let task_key =
                            crate::shard::id::StepKey { job: key, occurrence, step: number }.task(index);
                        let placeholder = || {
                            let generation = next_generation(&mut self.generations, &placement.incarnation);
                            Worker::new(unlisted_entry(&placement.incarnation), generation, now, inherited)
                        };
                        let worker =
                            self.workers.entry(placement.incarnation.clone()).or_insert_with(placeholder);
                        worker.unlisted_since = Some(now);
                        if let Some(orders) = stored.placement.and_then(|p| progress.earlier_orders.get(&p)) {
                            worker.lease.inherit_orders(*orders, now, self.options.max_lease);
                        }
                        let run = placement.run;
                        worker.reserve(task_key, run, demand.clone(), Some(now));
                        if !follows_starts || is_settled(index) {
                            worker.answer_start(task_key, run);
                        }
                        job.active_runs += 1;
                    }
                    if stored.done {
                        step.mark_done(index);
                    }
                }
            }
        }
        let ended = job.state.is_final();
        self.restore_displaced(now, key, &progress.displaced);
        self.restore_pins(now, key, &progress.pinned);
        if ended && self.jobs.get(&key).is_some_and(|j| j.active_runs == 0) {
            self.batch.progress.insert(key);
        }
        if !ended {
            self.rerank_job(now, key);
            self.restore_losses(now, key, &progress.losses);
        }
    }
}

fn restored_task(
    now: Timestamp,
    stored: &crate::shard::record::TaskProgress,
    incarnation: Option<&WorkerIncarnation>,
) -> Task {
    let placement = incarnation.map(|incarnation| Placement {
        incarnation: incarnation.clone(),
        run: stored.run,
        phase: Phase::Inherited,
        percent: 0,
        last_progress: now,
        measured_from: None,
    });
    Task {
        run: stored.run,
        failures: stored.failures.clone(),
        losses: Losses::default(),
        done: false,
        checkpoint: stored.checkpoint.clone(),
        placement,
    }
}

/// Returns the entry of a worker that the registry has not listed yet; without an address nothing is sent to it.
pub(super) fn unlisted_entry(incarnation: &WorkerIncarnation) -> WorkerEntry {
    WorkerEntry {
        incarnation: incarnation.clone(),
        service: "".into(),
        address: String::new(),
        zone: String::new(),
        rack: None,
        labels: [].into(),
        capacity: Resources::ZERO,
        draining: false,
        remaining: None,
    }
}
