//! Requests of callers: submission, query, cancellation and queue length.

use std::sync::Arc;
use std::time::Duration;

use super::shares::workspace_field;
use super::{Effect, Owner};
use crate::shard::admission::{Load, MAX_UNSTORED_JOBS};
use crate::shard::id::{JobKey, StepKey};
use crate::shard::job::Job;
use crate::shard::message::Action;
use crate::shard::message::{Answer, CallId, Refusal, Request};
use crate::shard::record::{Entry, JobState, Record};
use crate::shard::spec::JobSpec;
use crate::unit::{Bytes, Resources, Timestamp};

/// Retry delay for refusals that end with a takeover or the recovery of the store; `Retry-After` counts whole seconds.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Part of a progress record that is for the tasks, in quarters; the rest is for the workers that the record names and for
/// run numbers from 128 on.
const TASKS_QUARTERS: u64 = 3;

impl Owner {
    pub(super) fn on_call(&mut self, now: Timestamp, wall: u64, call: CallId, request: Request) {
        match request {
            Request::Submit(job, spec) => self.submit(now, wall, call, job, spec),
            Request::Query(job, caller) => {
                let answer = match self.jobs.get(&job).filter(|j| self.admits(j, caller.as_ref())) {
                    Some(found) => Answer::State(found.visible_state),
                    None => self.unknown_job_answer(now),
                };
                self.reply(call, answer);
            }
            Request::Cancel(job, caller) => {
                if self.jobs.get(&job).is_some_and(|j| !self.admits(j, caller.as_ref())) {
                    let answer = self.unknown_job_answer(now);
                    return self.reply(call, answer);
                }
                self.cancel(now, call, job);
            }
            Request::Count(queue) => {
                let count = self.queued_jobs.get(&queue).copied().unwrap_or(0);
                self.reply(call, Answer::Waiting(count));
            }
        }
    }

    pub(super) fn reply(&mut self, call: CallId, answer: Answer) {
        self.actions.push(Action::Reply(call, answer));
    }

    /// Returns the answer for a job without a record; refuses while a newer owner could have accepted it.
    fn unknown_job_answer(&self, now: Timestamp) -> Answer {
        if self.has_recent_write(now) {
            Answer::Unknown
        } else {
            Answer::Refused { cause: Refusal::NoOwner, retry: OUTAGE_RETRY_DELAY }
        }
    }

    fn submit(&mut self, now: Timestamp, wall: u64, call: CallId, key: JobKey, spec: Arc<JobSpec>) {
        if let Some(job) = self.jobs.get(&key) {
            if !self.admits(job, spec.workspace.as_ref().map(|w| &w.name)) {
                log::info!(target: "decision", "submit job={key} outcome=conflict");
                return self.reply(call, Answer::Conflict);
            }
            if job.stored {
                self.reply(call, Answer::Accepted);
            } else {
                self.batch.effects.push(Effect::Reply(call, key, Answer::Accepted));
                self.batch.progress.insert(key);
            }
            return;
        }
        if let Some(error) = spec.validation_error().or_else(|| self.size_error(key, &spec)) {
            log::info!(target: "decision", "submit job={key} outcome=invalid reason={error:?}");
            self.reply(call, Answer::Invalid(error));
            return;
        }
        if let Some(error) = self.cap_error(&spec) {
            log::info!(target: "decision", "submit job={key} outcome=invalid reason=\"{error}\"");
            self.reply(call, Answer::Invalid(error.to_string()));
            return;
        }
        self.watch_caps(&spec);
        self.note_objective(now, &spec);
        let is_excess = self.is_excess(now, key, &spec);
        let load = self.load(now, &spec, is_excess);
        self.is_fleet_idle = load.is_idle();
        if let Some((cause, retry)) = self.refusal(&load) {
            self.counters.refused += 1;
            self.count_refusal(&spec);
            self.refused.record(key, now, !is_excess);
            log::info!(
                target: "decision",
                "submit job={key}{} queue={} entitled={} outcome=refused cause={cause:?} backlog_ms={} advice_ms={} unsent={} retry_s={}",
                workspace_field(&spec),
                spec.queue.name,
                !is_excess,
                load.backlog().as_millis(),
                load.request_backlog.as_millis(),
                self.batch.jobs.len(),
                retry.as_secs()
            );
            self.reply(call, Answer::Refused { cause, retry });
            return;
        }
        self.counters.accepted += 1;
        self.adjust_queued_jobs(&spec.queue.name.clone(), 1);
        log::info!(
            target: "decision",
            "submit job={key}{} queue={} entitled={} steps={} objective_ms={} outcome=storing",
            workspace_field(&spec),
            spec.queue.name,
            !is_excess,
            spec.steps.len(),
            spec.objective().as_millis()
        );
        let arrival = self.refused.accept(key, now);
        let waited = u64::try_from(now.since(arrival).as_millis()).unwrap_or(u64::MAX);
        let job = Job::new(spec, arrival, wall.saturating_sub(waited));
        self.jobs.insert(key, Job { is_excess, ..job });
        self.begin_occurrences(now, wall, key);
        self.batch.jobs.insert(key);
        self.batch.progress.insert(key);
        self.batch.effects.push(Effect::Reply(call, key, Answer::Accepted));
    }

    /// Returns why the store could never take the records of a job; callers get the text.
    fn size_error(&self, key: JobKey, spec: &Arc<JobSpec>) -> Option<String> {
        let limit = self.options.max_record;
        let size = Entry::from(&Record::Job(key, spec.clone())).size();
        if size > limit {
            return Some(format!("the job takes {size} in the store, which takes records of {limit}"));
        }
        let progress = spec.max_progress_size();
        let room = Bytes(limit.0 / 4 * TASKS_QUARTERS);
        (progress > room)
            .then(|| format!("the tasks can take {progress} in the store, which has room for {room}"))
    }

    /// Returns the load ahead of a new job, for admission.
    fn load(&self, now: Timestamp, spec: &JobSpec, is_excess: bool) -> Load {
        let listed = self.workers.values().filter(|w| {
            (w.unlisted_since.is_none() || now < w.reregisters_until) && w.has_known_capacity(now)
        });
        let (capacities, used): (Vec<Resources>, Vec<u64>) =
            listed.map(|w| (w.entry.capacity, w.used.cpu.0)).unzip();
        let cpu_used = used.into_iter().fold(0, u64::saturating_add);
        let cpu_capacity = capacities.iter().map(|c| c.cpu.0).fold(0, u64::saturating_add);
        let largest = capacities.into_iter().fold(Resources::ZERO, Resources::max);
        // A step that fits on no worker delays no other.
        let fits = |s: &StepKey, j: &Job| j.spec.steps[s.step as usize].reserved().fits(largest);
        let waiting = self.waiting_jobs(fits);
        let waiting =
            waiting.filter(|j| (is_excess || !j.is_excess) && !self.waits_for_other_cap(&j.spec, spec));
        let backlog_work = waiting.map(|j| j.plan.work).fold(0, u64::saturating_add);
        let excess = spec.workspace.as_ref().filter(|_| is_excess).map(|w| self.excess_load(&w.name));
        let load = Load { backlog_work, cpu_capacity, cpu_used, request_backlog: Duration::ZERO, excess };
        Load { request_backlog: self.request_backlog(now, spec, is_excess, load.is_idle()), ..load }
    }

    /// Returns the jobs with a waiting step for which `counts` holds, each once.
    pub(super) fn waiting_jobs(&self, counts: impl Fn(&StepKey, &Job) -> bool) -> impl Iterator<Item = &Job> {
        // Steps are ordered by job, so those of one job follow each other.
        let mut last = None;
        self.ready.keys().filter_map(move |step| {
            let job = self.jobs.get(&step.job).filter(|j| last != Some(step.job) && counts(step, j))?;
            last = Some(step.job);
            Some(job)
        })
    }

    fn refusal(&self, load: &Load) -> Option<(Refusal, Duration)> {
        if !self.store_up || self.batch.jobs.len() >= MAX_UNSTORED_JOBS {
            return Some((Refusal::StoreDown, OUTAGE_RETRY_DELAY));
        }
        load.retry_delay().map(|retry| (Refusal::Overload, retry))
    }

    /// Removes the jobs whose write has not been sent, and refuses them.
    pub(super) fn refuse_unsent(&mut self, now: Timestamp) {
        let unsent = std::mem::take(&mut self.batch.jobs);
        for key in &unsent {
            self.finish_job(now, *key, JobState::Cancelled);
        }
        for key in &unsent {
            let Some(job) = self.jobs.remove(key) else { continue };
            log::info!(target: "decision", "submit job={key} queue={} outcome=refused cause=StoreDown", job.spec.queue.name);
            self.batch.progress.remove(key);
            self.count_refusal(&job.spec);
            self.refused.record(*key, job.arrival, !job.is_excess);
            self.counters.refused += 1;
            self.counters.accepted -= 1;
        }
        let effects = std::mem::take(&mut self.batch.effects);
        for effect in effects {
            match effect {
                Effect::Reply(call, key, _) if unsent.contains(&key) => {
                    self.reply(
                        call,
                        Answer::Refused { cause: Refusal::StoreDown, retry: OUTAGE_RETRY_DELAY },
                    );
                }
                Effect::Publish(key) if unsent.contains(&key) => {}
                Effect::Start(task, _) if unsent.contains(&task.step.job) => {}
                other => self.batch.effects.push(other),
            }
        }
    }

    fn cancel(&mut self, now: Timestamp, call: CallId, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            let answer = self.unknown_job_answer(now);
            self.reply(call, answer);
            return;
        };
        if job.state.is_final() && job.state == job.visible_state {
            self.reply(call, Answer::Cancelled);
            return;
        }
        log::info!(target: "decision", "cancel job={key} state={} outcome=storing", job.state.as_str());
        if !job.state.is_final() {
            self.finish_job(now, key, JobState::Cancelled);
        }
        self.batch.progress.insert(key);
        self.batch.effects.push(Effect::Reply(call, key, Answer::Cancelled));
    }
}
