//! Placement of waiting steps.
//!
//! Answers a mix of gangs and small tasks on a nearly full fleet: steps are tried in the order of their rank; the first
//! gang that does not fit keeps workers for itself, and later steps that are less urgent leave these alone.

use std::collections::BTreeSet;

use super::{Effect, Owner};
use crate::shard::id::{Life, StepKey};
use crate::shard::job::{Phase, Placement};
use crate::shard::packing::{self, Room};
use crate::shard::spec::StepSpec;
use crate::unit::{Resources, Timestamp};

/// Steps in a row that do not fit, after which a pass ends.
const MISSES: usize = 40; // A pass has to stay within a few milliseconds of a quarter of a core.
/// Steps tried in one pass.
const TRIES: usize = 250; // As above.
/// Gangs for which workers are kept at a time.
const KEPT_GANGS: usize = 2; // More would leave most of the fleet waiting for gangs.

/// Worker with the room that it has left in this pass.
#[derive(Debug)]
struct Candidate {
    life: Life,
    service: String,
    free: Resources,
    whole: Resources,
    rack: Option<String>,
    labels: Vec<String>,
    doubtful: bool,
}

/// How a step fared.
enum Fit {
    Placed,
    NoRoom,
    Asking,
}

impl Owner {
    pub(super) fn schedule(&mut self, now: Timestamp) {
        if self.ready.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now);
        let order: Vec<StepKey> = self.ready.iter().take(TRIES).map(|(_, key)| *key).collect();
        let mut kept: BTreeSet<Life> = BTreeSet::new();
        let mut gangs = 0;
        let mut misses = 0;
        for key in order {
            if misses >= MISSES {
                break;
            }
            match self.place_step(now, key, &mut candidates, &kept) {
                Fit::Placed => misses = 0,
                Fit::Asking => {}
                Fit::NoRoom => {
                    misses += 1;
                    if gangs < KEPT_GANGS && self.keep_for(key, &candidates, &mut kept) {
                        gangs += 1;
                    }
                }
            }
            self.refresh_quietly(now, key);
        }
    }

    fn candidates(&self, now: Timestamp) -> Vec<Candidate> {
        let isolated = self.workers.values().filter(|w| w.health.isolated(now)).count();
        let ignore = isolated * 2 > self.workers.len();
        let usable =
            self.workers.iter().filter(|(_, w)| w.usable(now) && (ignore || !w.health.isolated(now)));
        usable
            .map(|(life, worker)| Candidate {
                life: life.clone(),
                service: worker.entry.service.clone(),
                free: worker.room(),
                whole: worker.entry.capacity,
                rack: worker.entry.rack.clone(),
                labels: worker.entry.labels.clone(),
                doubtful: worker.health.doubtful(now),
            })
            .collect()
    }

    /// Rank without asking for another pass.
    fn refresh_quietly(&mut self, now: Timestamp, key: StepKey) {
        let changed = self.changed;
        self.refresh(now, key);
        self.changed = changed;
    }

    /// Rooms for a step, with the indexes of their candidates.
    fn rooms(
        &self,
        now: Timestamp,
        key: StepKey,
        shape: &StepSpec,
        candidates: &[Candidate],
        kept: &BTreeSet<Life>,
    ) -> (Vec<Room>, Vec<usize>, Vec<Life>, Vec<Life>) {
        let job = &self.jobs[&key.job];
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let queue = &job.spec.queue;
        let advised = queue.advice.is_some();
        let need = shape.reserved();
        let failed = step.tasks.iter().any(|t| !t.failures.is_empty());
        let (mut rooms, mut indexes) = (Vec::new(), Vec::new());
        let (mut known, mut others) = (Vec::new(), Vec::new());
        for (index, candidate) in candidates.iter().enumerate() {
            let wanted = shape.label.as_ref().is_none_or(|l| candidate.labels.contains(l));
            let blocked = queue.priority > 0 && kept.contains(&candidate.life);
            if candidate.service != queue.service || !wanted || (failed && candidate.doubtful) {
                continue;
            }
            let most = shape.spread.map_or(u32::MAX, |spread| {
                // Counts runs that are being stopped and runs that the records place elsewhere.
                let there = self.workers.get(&candidate.life).map_or(0, |w| w.runs_of(key));
                spread.saturating_sub(u32::try_from(there).unwrap_or(u32::MAX))
            });
            let room = Room {
                life: candidate.life.clone(),
                free: candidate.free,
                rack: candidate.rack.clone(),
                most,
                near: shape.data_rack.is_none() || shape.data_rack == candidate.rack,
                doubtful: candidate.doubtful,
            };
            let fits = packing::copies(need, &room) > 0;
            if advised && !step.tickets.asked.contains(&candidate.life) {
                if need.fits(candidate.whole) {
                    others.push((!fits, u64::MAX - candidate.free.cpu.0, candidate.life.clone()));
                }
                continue;
            }
            if !fits || blocked {
                continue;
            }
            if Self::has_ticket(&step.tickets, advised, &candidate.life, now) {
                rooms.push(room);
                indexes.push(index);
            } else if step.tickets.good.contains_key(&candidate.life) {
                known.push(candidate.life.clone());
            }
        }
        others.sort();
        (rooms, indexes, known, others.into_iter().map(|(_, _, life)| life).collect())
    }

    fn place_step(
        &mut self,
        now: Timestamp,
        key: StepKey,
        candidates: &mut [Candidate],
        kept: &BTreeSet<Life>,
    ) -> Fit {
        let Some(job) = self.jobs.get(&key.job) else { return Fit::NoRoom };
        let spec = job.spec.clone();
        let shape = &spec.steps[key.step as usize];
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let first = spec.queue.advice.is_some() && step.tickets.asked.is_empty();
        let pending = step.tickets.pending;
        let waiting: Vec<u32> = (0u32..)
            .zip(&step.tasks)
            .filter(|(_, t)| !t.done && t.place.is_none())
            .map(|(index, _)| index)
            .collect();
        let (mut rooms, indexes, known, others) = self.rooms(now, key, shape, candidates, kept);
        let need = shape.reserved();
        let mut chosen = Vec::new();
        if shape.gang {
            let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
            if let Some(found) = packing::gang(need, count, shape.one_rack, &rooms) {
                chosen = waiting.iter().copied().zip(found).collect();
            }
        } else {
            for index in &waiting {
                let Some(room) = packing::single(need, &rooms) else { break };
                rooms[room].free = rooms[room].free.saturating_sub(need);
                rooms[room].most = rooms[room].most.saturating_sub(1);
                chosen.push((*index, room));
            }
        }
        let missing = chosen.len() < waiting.len();
        if !chosen.is_empty() {
            let run = 1 + waiting
                .iter()
                .filter(|_| shape.gang)
                .map(|i| {
                    self.jobs[&key.job].occurrences[key.occurrence as usize][key.step as usize].tasks
                        [*i as usize]
                        .run
                })
                .max()
                .unwrap_or(0);
            for (index, room) in chosen {
                let candidate = &mut candidates[indexes[room]];
                candidate.free = candidate.free.saturating_sub(need);
                let life = candidate.life.clone();
                self.place(now, key, index, shape.gang.then_some(run), life, need);
            }
        }
        if !missing {
            return Fit::Placed;
        }
        if spec.queue.advice.is_some() && (!known.is_empty() || !others.is_empty()) {
            // Workers that were named before are asked about again only where they have room now.
            self.ask(now, key, known, others);
        }
        if first || pending { Fit::Asking } else { Fit::NoRoom }
    }

    fn place(
        &mut self,
        now: Timestamp,
        key: StepKey,
        index: u32,
        gang: Option<u32>,
        life: Life,
        need: Resources,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = &mut job.occurrences[key.occurrence as usize][key.step as usize];
        let task = &mut step.tasks[index as usize];
        let run = gang.unwrap_or(task.run + 1);
        task.run = run;
        let name = key.task(index);
        let waited = now.since(job.due[key.occurrence as usize]).as_millis();
        log::info!(target: "decision", "place task={name} run={run} worker={life} waited_ms={waited}");
        task.place =
            Some(Placement { life: life.clone(), run, phase: Phase::Recording, percent: 0, moved: now });
        job.live += 1;
        if let Some(worker) = self.workers.get_mut(&life) {
            worker.occupy(name, run, need);
        }
        self.batch.progress.insert(key.job);
        self.batch.effects.push(Effect::Start(name, run));
    }

    /// Keeps workers for a gang that does not fit; false when the step is no gang or could never fit on them.
    fn keep_for(&self, key: StepKey, candidates: &[Candidate], kept: &mut BTreeSet<Life>) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let shape = &job.spec.steps[key.step as usize];
        if !shape.gang {
            return false;
        }
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let need = shape.reserved();
        let advised = job.spec.queue.advice.is_some();
        let allowed = |c: &&Candidate| {
            c.service == job.spec.queue.service
                && !kept.contains(&c.life)
                && shape.label.as_ref().is_none_or(|l| c.labels.contains(l))
                && (!advised || step.tickets.good.contains_key(&c.life))
        };
        let mut usable: Vec<&Candidate> = candidates.iter().filter(allowed).collect();
        usable.sort_by_key(|c| std::cmp::Reverse(c.free.cpu));
        let mut left = shape.tasks;
        let mut chosen = Vec::new();
        for candidate in usable {
            let copies = crate::placement::policy::copies(need, candidate.whole);
            if copies == 0 {
                continue;
            }
            chosen.push(candidate.life.clone());
            left = left.saturating_sub(copies.min(shape.spread.unwrap_or(u32::MAX)));
            if left == 0 {
                kept.extend(chosen);
                return true;
            }
        }
        false
    }
}
