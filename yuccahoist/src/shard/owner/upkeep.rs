//! What follows from the passage of time and from the registry: leases, lapses, tasks that stand still, due times.

use std::time::Duration;

use super::Owner;
use crate::shard::id::{JobKey, Life, TaskName};
use crate::shard::job::Phase;
use crate::shard::lease::UNCONFIRMED;
use crate::shard::message::{Action, EndKind, WorkerEntry};
use crate::shard::pacing::FULL;
use crate::shard::record::JobState;
use crate::shard::worker::{Hold, Worker};
use crate::unit::Timestamp;

/// Interval of the checks.
pub const INTERVAL: Duration = Duration::from_millis(50); // Small against every bound of the platform.
/// Interval of the check for tasks that stand still and for due occurrences.
const SLOW_INTERVAL: Duration = Duration::from_millis(200); // A due task may start 250 ms early or late.
/// How long a worker may wait for an end before it answers.
const REPORT_WAIT: Duration = Duration::from_millis(1_000); // Leases are extended four times before they expire.
/// Least time without progress after which a task counts as standing still.
const STILL: Duration = Duration::from_millis(2_500); // A task of 12 s on a worker 6 times as slow moves a percent in 0.8 s.
/// Isolation of a worker on which a task stands still.
const STILL_ISOLATION: Duration = Duration::from_millis(4_000); // Most of a usual fault of a worker.
/// Time after the store's return in which registry entries that it dropped come back.
const RETURNING: Duration = Duration::from_millis(2_000); // Given by the platform.

impl Owner {
    pub(super) fn on_time(&mut self, now: Timestamp, wall: u64) {
        if now < self.checked + INTERVAL && self.checked != now {
            return self.hold_due(now);
        }
        let slow = self.checked.as_micros() / SLOW_INTERVAL.as_micros() as u64
            != now.as_micros() / SLOW_INTERVAL.as_micros() as u64;
        self.checked = now;
        self.lapse(now);
        self.hold_due(now);
        self.stop_again(now);
        if slow {
            self.check_progress(now);
            self.begin_all_due(now, wall);
            self.rank_late(now);
            self.changed |= !self.ready.is_empty();
        }
    }

    /// Calls the workers whose lease is to be extended.
    fn hold_due(&mut self, now: Timestamp) {
        let extend = now < self.confirmed + UNCONFIRMED;
        for (life, worker) in &mut self.workers {
            let Hold::Due(at) = worker.hold else { continue };
            if at > now || worker.entry.address.is_empty() {
                continue;
            }
            // An unanswered extension could have arrived, so a silent worker's lease is left to expire.
            let deadline =
                if extend && worker.answers { worker.lease.extend(now, self.options.lease) } else { None };
            let wait = if worker.answers && worker.heard && deadline.is_some() {
                REPORT_WAIT
            } else {
                Duration::ZERO
            };
            worker.hold = Hold::Asked(now);
            self.out.push(Action::Hold {
                life: life.clone(),
                address: worker.entry.address.clone(),
                deadline,
                last: worker.stored,
                wait,
            });
        }
    }

    /// Ends what ran on workers whose lease has expired.
    fn lapse(&mut self, now: Timestamp) {
        let expired = |w: &Worker| now >= w.lease.expiry() && !(w.answers && w.heard && w.missing.is_none());
        let lives: Vec<Life> =
            self.workers.iter().filter(|(_, w)| expired(w)).map(|(l, _)| l.clone()).collect();
        for life in lives {
            let Some(worker) = self.workers.get(&life) else { continue };
            let runs: Vec<_> = worker.runs.keys().copied().collect();
            if worker.missing.is_some() {
                self.life_over(now, &life, "missing from the registry, lease expired");
                continue;
            }
            if !runs.is_empty() {
                log::warn!(target: "decision", "worker worker={life} outcome=lapsed runs={}", runs.len());
            }
            for (task, run) in runs {
                self.on_end(now, &life, task, run, EndKind::Lapsed, "");
            }
        }
    }

    pub(super) fn on_worker(&mut self, now: Timestamp, entry: WorkerEntry) {
        let life = entry.life.clone();
        let older: Vec<Life> =
            self.workers.keys().filter(|l| l.id == life.id && l.born < life.born).cloned().collect();
        for old in older {
            self.life_over(now, &old, "a later incarnation registered");
        }
        if self.workers.keys().any(|l| l.id == life.id && l.born > life.born) {
            return;
        }
        self.changed = true;
        let inherited = self.inherited(now);
        let worker = self.workers.entry(life.clone()).or_insert_with(|| {
            log::info!(target: "decision", "worker worker={life} outcome=registered capacity={}", entry.capacity);
            Worker::new(entry.clone(), now, inherited)
        });
        if entry.draining && !worker.entry.draining {
            log::info!(target: "decision", "worker worker={life} outcome=draining remaining={:?}", entry.remaining);
        }
        worker.missing = None;
        worker.entry = entry;
    }

    pub(super) fn on_gone(&mut self, now: Timestamp, id: &str) {
        let lives: Vec<Life> = self.workers.keys().filter(|l| &*l.id == id).cloned().collect();
        for life in lives {
            let Some(worker) = self.workers.get_mut(&life) else { continue };
            let left = worker.entry.draining && !worker.answers;
            let returning = now < self.store_back + RETURNING;
            log::info!(target: "decision", "worker worker={life} outcome=unlisted draining={}", worker.entry.draining);
            if left && !returning {
                self.life_over(now, &life, "left after draining");
            } else if worker.missing.is_none() {
                worker.missing = Some(now);
            }
        }
    }

    /// Stops tasks that stand still.
    fn check_progress(&mut self, now: Timestamp) {
        let mut still: Vec<(TaskName, Life)> = Vec::new();
        for worker in self.workers.values().filter(|w| w.answers && w.heard) {
            for (task, run) in worker.runs.keys() {
                let key = task.step;
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let Some(shape) = job.spec.steps.get(key.step as usize) else { continue };
                let steps = job.occurrences.get(key.occurrence as usize);
                let Some(step) = steps.and_then(|s| s.get(key.step as usize)) else { continue };
                let Some(entry) = step.tasks.get(task.index as usize) else { continue };
                let Some(place) = entry.place.as_ref().filter(|p| p.run == *run) else { continue };
                let together = |t: &crate::shard::job::Task| {
                    t.place
                        .as_ref()
                        .is_some_and(|p| matches!(p.phase, Phase::Running(at) if now > at + STILL))
                };
                let limit = STILL.max(shape.estimate / 4);
                let at_work = if shape.gang { step.tasks.iter().all(together) } else { together(entry) };
                // Without a report the task may have moved.
                let paced = shape.fills && worker.pace.share < FULL;
                let stands = !paced && worker.reported > place.moved + limit;
                if !shape.lasting && at_work && place.percent < 100 && stands {
                    still.push((*task, place.life.clone()));
                }
            }
        }
        for (task, life) in still {
            log::warn!(target: "decision", "stop task={task} worker={life} reason=\"stands still\"");
            if let Some(worker) = self.workers.get_mut(&life) {
                worker.health.isolate(now, STILL_ISOLATION);
            }
            self.stop(task);
        }
    }

    /// Ranks steps anew that can't be in time any more.
    fn rank_late(&mut self, now: Timestamp) {
        let stale: Vec<_> = self
            .ready
            .iter()
            .take_while(|(rank, _)| {
                rank.band == crate::shard::order::Band::InTime && rank.key < now.as_micros()
            })
            .map(|(_, key)| *key)
            .collect();
        for key in stale {
            self.refresh(now, key);
        }
    }

    fn begin_all_due(&mut self, now: Timestamp, wall: u64) {
        let waiting = |j: &crate::shard::job::Job| {
            !j.state.is_final() && (j.occurrences.len() as u64) < u64::from(j.count())
        };
        let keys: Vec<JobKey> = self.jobs.iter().filter(|(_, j)| waiting(j)).map(|(k, _)| *k).collect();
        for key in keys {
            self.begin_due(now, wall, key);
        }
    }

    /// Begins the occurrences of a job that are due.
    pub(super) fn begin_due(&mut self, now: Timestamp, wall: u64, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let mut begun = false;
        while !job.state.is_final() && (job.occurrences.len() as u64) < u64::from(job.count()) {
            let number = job.occurrences.len() as u64;
            let due = match job.spec.repeat {
                None => job.arrival,
                Some(repeat) => {
                    let at = repeat.start.saturating_add(repeat.interval.saturating_mul(number));
                    if at > wall {
                        break;
                    }
                    now - Duration::from_millis(wall - at)
                }
            };
            job.begin(due);
            begun = true;
        }
        if begun && job.state != JobState::Cancelled {
            self.refresh_job(now, key);
        }
    }
}
