//! Placement of waiting steps.
//!
//! Answers a mix of gangs and small tasks on a nearly full fleet: steps are tried in the order of their rank; the first
//! gang that does not fit keeps workers for itself, and later steps that are less urgent leave these alone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

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
pub(super) struct Candidate {
    pub(super) life: Life,
    service: Arc<str>,
    pub(super) free: Resources,
    pub(super) whole: Resources,
    rack: Option<Arc<str>>,
    labels: Arc<[String]>,
    doubtful: bool,
}

/// Workers of a pass, and where each is found.
#[derive(Debug)]
pub(super) struct Candidates {
    pub(super) list: Vec<Candidate>,
    index: BTreeMap<Life, usize>,
}

/// Where a step could be placed.
#[derive(Debug, Default)]
struct Options {
    rooms: Vec<Room>,
    /// Index of the candidate of each room.
    indexes: Vec<usize>,
    /// Workers with room that were recommended before and need a new ticket.
    known: Vec<Life>,
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
                Fit::Placed => {
                    misses = 0;
                    self.refresh_quietly(now, key);
                }
                Fit::Asking => {}
                Fit::NoRoom => {
                    misses += 1;
                    if gangs < KEPT_GANGS && self.make_room(now, key, &candidates, &mut kept) {
                        gangs += 1;
                    }
                }
            }
        }
    }

    fn candidates(&self, now: Timestamp) -> Candidates {
        let isolated = self.workers.values().filter(|w| w.health.isolated(now)).count();
        let ignore = isolated * 2 > self.workers.len();
        let usable =
            self.workers.iter().filter(|(_, w)| w.usable(now) && (ignore || !w.health.isolated(now)));
        let list: Vec<Candidate> = usable
            .map(|(life, worker)| Candidate {
                life: life.clone(),
                service: worker.entry.service.clone(),
                free: worker.room(),
                whole: worker.entry.capacity,
                rack: worker.entry.rack.clone(),
                labels: worker.entry.labels.clone(),
                doubtful: worker.health.doubtful(now),
            })
            .collect();
        let index = list.iter().enumerate().map(|(index, c)| (c.life.clone(), index)).collect();
        Candidates { list, index }
    }

    /// Rank without asking for another pass.
    fn refresh_quietly(&mut self, now: Timestamp, key: StepKey) {
        let changed = self.changed;
        self.refresh(now, key);
        self.changed = changed;
    }

    /// Rooms for a step. A step with a recommendation looks only at the workers that were named for it.
    fn options(
        &self,
        now: Timestamp,
        key: StepKey,
        candidates: &Candidates,
        kept: &BTreeSet<Life>,
    ) -> Options {
        let mut options = Options::default();
        let Some(job) = self.jobs.get(&key.job) else { return options };
        let shape = &job.spec.steps[key.step as usize];
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let queue = &job.spec.queue;
        let failed = step.tasks.iter().any(|t| !t.failures.is_empty());
        let need = shape.reserved();
        let mut consider = |index: usize, ticket: bool| {
            let candidate = &candidates.list[index];
            let blocked = queue.priority > 0 && kept.contains(&candidate.life);
            let suits = suits(candidate, &queue.service, shape);
            if !suits || blocked || (failed && candidate.doubtful) || !need.fits(candidate.free) {
                return;
            }
            let most = shape.spread.map_or(u32::MAX, |spread| {
                // Counts runs that are being stopped and runs that the records place elsewhere.
                let there = self.workers.get(&candidate.life).map_or(0, |w| w.runs_of(key));
                spread.saturating_sub(u32::try_from(there).unwrap_or(u32::MAX))
            });
            if most == 0 {
                return;
            }
            if !ticket {
                return options.known.push(candidate.life.clone());
            }
            options.indexes.push(index);
            options.rooms.push(Room {
                life: candidate.life.clone(),
                free: candidate.free,
                rack: candidate.rack.clone(),
                most,
                near: shape.data_rack.is_none() || shape.data_rack.as_deref() == candidate.rack.as_deref(),
                doubtful: candidate.doubtful,
            });
        };
        if queue.advice.is_none() {
            (0..candidates.list.len()).for_each(|index| consider(index, true));
            return options;
        }
        for (life, (_, until)) in &step.tickets.good {
            if let Some(index) = candidates.index.get(life) {
                consider(*index, Self::ticket_holds(now, *until));
            }
        }
        options
    }

    /// Workers that could run a step and were never asked about, those with most room first.
    fn unasked(&self, key: StepKey, candidates: &Candidates) -> Vec<Life> {
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let shape = &job.spec.steps[key.step as usize];
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let need = shape.reserved();
        let open = |c: &&Candidate| {
            suits(c, &job.spec.queue.service, shape)
                && need.fits(c.whole)
                && !step.tickets.asked.contains(&c.life)
        };
        let mut others: Vec<&Candidate> = candidates.list.iter().filter(open).collect();
        others.sort_by_key(|c| (!need.fits(c.free), std::cmp::Reverse(c.free.cpu)));
        others.into_iter().map(|c| c.life.clone()).collect()
    }

    fn place_step(
        &mut self,
        now: Timestamp,
        key: StepKey,
        candidates: &mut Candidates,
        kept: &BTreeSet<Life>,
    ) -> Fit {
        let Some(job) = self.jobs.get(&key.job) else { return Fit::NoRoom };
        let spec = job.spec.clone();
        let shape = &spec.steps[key.step as usize];
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let advised = spec.queue.advice.is_some();
        let first = advised && step.tickets.asked.is_empty();
        let can_ask = advised && !step.tickets.pending && now >= step.tickets.next;
        if first && step.tickets.pending {
            return Fit::Asking;
        }
        let waiting = (0u32..).zip(&step.tasks).filter(|(_, t)| !t.done && t.place.is_none());
        let waiting: Vec<u32> = waiting.map(|(index, _)| index).collect();
        let highest = step.tasks.iter().map(|t| t.run).max().unwrap_or(0);
        let Options { mut rooms, indexes, known } = self.options(now, key, candidates, kept);
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
        for (index, room) in chosen {
            let candidate = &mut candidates.list[indexes[room]];
            candidate.free = candidate.free.saturating_sub(need);
            let life = candidate.life.clone();
            self.place(now, key, index, shape.gang.then_some(highest + 1), &life, need);
        }
        if !missing {
            return Fit::Placed;
        }
        if can_ask {
            // Workers that were named before are asked about again only where they have room now.
            let others = if known.is_empty() { self.unasked(key, candidates) } else { Vec::new() };
            self.ask(now, key, known, others);
        }
        if first { Fit::Asking } else { Fit::NoRoom }
    }

    fn place(
        &mut self,
        now: Timestamp,
        key: StepKey,
        index: u32,
        gang: Option<u32>,
        life: &Life,
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
        if let Some(worker) = self.workers.get_mut(life) {
            worker.occupy(name, run, need);
        }
        self.batch.progress.insert(key.job);
        self.batch.effects.push(Effect::Start(name, run));
    }
}

/// Whether a worker is one of those that a step may use at all.
pub(super) fn suits(candidate: &Candidate, service: &str, shape: &StepSpec) -> bool {
    *candidate.service == *service && shape.label.as_ref().is_none_or(|l| candidate.labels.contains(l))
}
