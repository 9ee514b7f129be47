//! Room for a gang that does not fit: workers are kept for it, and work that saves checkpoints gives way.
//!
//! Answers wide gangs on a fleet that is full of small work of lower rank. A task that saves a checkpoint when it is stopped
//! loses next to nothing, while a gang would wait for many ends on few workers.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Owner;
use super::schedule::{Candidate, Candidates, suits};
use crate::placement::policy::copies;
use crate::shard::id::{Life, StepKey, TaskName};
use crate::shard::job::Phase;
use crate::unit::{Resources, Timestamp};

/// Least time between two rounds of stops for one gang.
const ROUND: Duration = Duration::from_millis(1_000); // A stop takes up to 0.9 s.
/// Part done from which a task is left to end, percent.
const NEARLY_DONE: u32 = 75; // The rest of a usual task takes less than a stop and a new start.
/// Validity that tickets of kept workers should have left.
const LEFT: Duration = Duration::from_millis(400); // A pass, a write and a call, each at its slowest.

/// Worker that a gang could use, with what has to be stopped for it.
struct Choice {
    life: Life,
    copies: u32,
    stops: Vec<TaskName>,
}

impl Owner {
    /// Keeps workers for a gang that does not fit, and makes room on them; false when it could never fit.
    pub(super) fn make_room(
        &mut self,
        now: Timestamp,
        key: StepKey,
        candidates: &Candidates,
        kept: &mut BTreeSet<Life>,
    ) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let spec = job.spec.clone();
        let shape = &spec.steps[key.step as usize];
        if !shape.gang {
            return false;
        }
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let advised = spec.queue.advice.is_some();
        let allowed = |c: &&Candidate| {
            suits(c, &spec.queue.service, shape)
                && !kept.contains(&c.life)
                && (!advised || step.tickets.good.contains_key(&c.life))
        };
        let allowed: Vec<&Candidate> = candidates.list.iter().filter(allowed).collect();
        let most = shape.spread.unwrap_or(u32::MAX);
        let clear = now >= step.cleared + ROUND;
        let need = shape.reserved();
        let mut choices: Vec<Choice> =
            allowed.iter().map(|c| self.clearable(c, need, most, spec.queue.priority)).collect();
        choices.sort_by_key(|c| (std::cmp::Reverse(c.copies), c.stops.len()));
        let mut left = shape.tasks;
        let mut chosen = Vec::new();
        for choice in choices {
            if left == 0 || choice.copies == 0 {
                break;
            }
            left = left.saturating_sub(choice.copies);
            chosen.push(choice);
        }
        let stops = if left == 0 && clear {
            chosen.iter().flat_map(|c| c.stops.iter().copied()).collect()
        } else {
            Vec::new()
        };
        let mut lives: Vec<Life> = chosen.into_iter().map(|c| c.life).collect();
        if left > 0 {
            let Some(whole) = whole_workers(&allowed, need, most, shape.tasks) else { return false };
            lives = whole;
        }
        kept.extend(lives.iter().cloned());
        self.renew(now, key, &lives);
        self.give_way(now, key, &stops);
        true
    }

    /// Room on a worker once all tasks that may give way to a queue of `priority` have.
    fn clearable(&self, candidate: &Candidate, need: Resources, most: u32, priority: u32) -> Choice {
        let mut free = candidate.free;
        let mut copies_now = copies(need, free);
        let mut stops = Vec::new();
        if let Some(worker) = self.workers.get(&candidate.life) {
            for ((task, run), size) in &worker.runs {
                if self.gives_way(*task, *run, priority) {
                    free += *size;
                    let more = copies(need, free);
                    stops.push(*task);
                    copies_now = copies_now.max(more);
                }
            }
        }
        if copies_now == copies(need, candidate.free) {
            stops.clear();
        }
        Choice { life: candidate.life.clone(), copies: copies_now.min(most), stops }
    }

    fn gives_way(&self, task: TaskName, run: u32, priority: u32) -> bool {
        let key = task.step;
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(shape) = job.spec.steps.get(key.step as usize) else { return false };
        if job.spec.queue.priority <= priority || !shape.saves || shape.gang || shape.lasting {
            return false;
        }
        let steps = job.occurrences.get(key.occurrence as usize);
        let entry = steps.and_then(|s| s.get(key.step as usize)?.tasks.get(task.index as usize));
        entry
            .and_then(|t| t.place.as_ref())
            .is_some_and(|p| p.run == run && p.percent < NEARLY_DONE && matches!(p.phase, Phase::Running(_)))
    }

    /// Asks for new tickets of kept workers before the room is there.
    fn renew(&mut self, now: Timestamp, key: StepKey, lives: &[Life]) {
        let Some(job) = self.jobs.get(&key.job).filter(|j| j.spec.queue.advice.is_some()) else { return };
        let tickets = &job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        let lapsing = |life: &&Life| tickets.good.get(*life).is_none_or(|(_, until)| *until < now + LEFT);
        if lives.iter().any(|life| lapsing(&life)) {
            self.ask(now, key, lives.to_vec(), Vec::new());
        }
    }

    fn give_way(&mut self, now: Timestamp, key: StepKey, stops: &[TaskName]) {
        if stops.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.occurrences[key.occurrence as usize][key.step as usize].cleared = now;
        }
        for task in stops {
            log::info!(target: "decision", "stop task={task} reason=\"gives way to step {key}\"");
            self.stop(*task);
        }
    }
}

/// Workers that would hold `count` tasks if they were empty.
fn whole_workers(allowed: &[&Candidate], need: Resources, most: u32, count: u32) -> Option<Vec<Life>> {
    let mut order: Vec<&&Candidate> = allowed.iter().collect();
    order.sort_by_key(|c| std::cmp::Reverse(c.free.cpu));
    let mut left = count;
    let mut chosen = Vec::new();
    for candidate in order {
        let fits = copies(need, candidate.whole).min(most);
        if fits > 0 {
            chosen.push(candidate.life.clone());
            left = left.saturating_sub(fits);
        }
        if left == 0 {
            return Some(chosen);
        }
    }
    None
}
