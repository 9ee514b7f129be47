//! Kinds of tasks that slow each other down on one worker, learned from samples of their pace.
//!
//! Tasks of one container image behave alike, so the image is the kind; the queue for a step without one. Each kind keeps
//! its last samples, each with the set of kinds that ran beside it. Whether a neighbour disturbs follows from the
//! samples with it compared with those without it that are otherwise alike: of the same step for the rate of progress, since
//! its tasks share the error of their estimate; of the same worker for the CPU in use; of the same worker at about the same
//! time for a tail latency, since that follows the load of the server. A straggler is one run among several, and medians
//! ignore it. A slow worker is one worker, and an effect counts only if several workers show it. Remote data never
//! gets into the samples.
//!
//! Neighbours that often come together share their effect. The most certain one is therefore chosen first, its effect is
//! taken from the samples, and the others have to explain the rest.

mod compare;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use self::compare::{Observation, Samples};
use super::id::TaskKey;
use crate::unit::Timestamp;

/// Kinds that are kept; set by the requirements, and the number of bits of a [`KindSet`].
pub const MAX_KINDS: usize = 64;
/// Pairs that are kept; set by the requirements.
pub const MAX_PAIRS: usize = 512;
/// Samples kept for each kind and signal, one bit each in the sets of samples that are compared.
const HISTORY: usize = 64;
/// Age of the last sample of a pair from which it is dropped. Pairs that are kept apart give no samples, so this is how
/// one that was learned wrong, or that has changed, is found out.
const MAX_PAIR_AGE: Duration = Duration::from_secs(20);
/// Age of the last sample of a kind from which a new kind may replace it; longer than a burst of one kind is away.
const MAX_KIND_AGE: Duration = Duration::from_secs(20);
/// Time between two samples of a run with the same neighbours that count apart, for a tail latency.
const TAIL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Limit of a sample, natural logarithm: beyond a factor of 20 a run stands still.
const MAX_LEVEL: f64 = 3.0;
/// Highest slowdown, percent; workers beyond it are equally bad.
const MAX_SLOWDOWN: u32 = 400;
/// Kinds computed anew in one call; limits its cost, which grows with the kinds.
const KINDS_PER_REFRESH: usize = 4;

/// Number of a kind while it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(u8);

/// Set of kinds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindSet(u64);

impl KindSet {
    /// Adds a kind.
    pub fn insert(&mut self, kind: KindId) {
        self.0 |= 1 << kind.0;
    }

    /// Whether the set has a kind.
    #[must_use]
    pub fn contains(self, kind: KindId) -> bool {
        self.0 >> kind.0 & 1 == 1
    }

    /// Returns the set without a kind.
    #[must_use]
    pub fn without(self, kind: KindId) -> Self {
        Self(self.0 & !(1 << kind.0))
    }

    fn kinds(self) -> impl Iterator<Item = KindId> {
        (0..MAX_KINDS as u8).map(KindId).filter(move |kind| self.contains(*kind))
    }
}

/// What a sample measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Signal {
    /// Tail latency of a serving task relative to its target.
    Tail,
    /// Requested CPU relative to the CPU in use.
    Cpu,
    /// Time needed relative to the expected time on this worker, from progress or the end.
    Progress,
}

/// Sample of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Kind of the run.
    pub kind: KindId,
    /// What `level` measures.
    pub signal: Signal,
    /// Task and run.
    pub run: (TaskKey, u32),
    /// Number that stands for the worker.
    pub worker: u64,
    /// Kinds of the other runs on the worker.
    pub neighbours: KindSet,
    /// Natural logarithm of the signal; higher is slower.
    pub level: f64,
}

/// Slowdown of a placement, percent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Slowdown {
    /// Slowdown that the task suffers.
    pub suffered: u32,
    /// Highest slowdown that it causes to a neighbour.
    pub caused: u32,
}

impl Slowdown {
    /// Returns both together, percent.
    #[must_use]
    pub fn total(self) -> u32 {
        self.suffered + self.caused
    }
}

/// Neighbours that disturb a kind or are disturbed by it.
#[derive(Debug, Clone, Default)]
pub struct Partners(Vec<(KindId, Slowdown)>);

impl Partners {
    /// Whether there are none, so that all workers are equal.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the slowdown of a task beside `neighbours`.
    #[must_use]
    pub fn slowdown(&self, neighbours: KindSet) -> Slowdown {
        let present = self.0.iter().filter(|(kind, _)| neighbours.contains(*kind));
        let sum = present.fold(Slowdown::default(), |sum, (_, one)| Slowdown {
            suffered: sum.suffered + one.suffered,
            caused: sum.caused.max(one.caused),
        });
        Slowdown { suffered: sum.suffered.min(MAX_SLOWDOWN), ..sum }
    }
}

/// Learned pair.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Pair {
    /// Signal that shows the effect most.
    signal: Signal,
    /// Slowdown of the disturbed kind, percent.
    slowdown: u32,
    /// Effect in standard errors.
    confidence: f64,
    /// Time of the last sample with the neighbour.
    seen: Timestamp,
}

/// Pair that was learned or dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PairChange {
    /// Disturbed kind.
    pub disturbed: Arc<str>,
    /// Disturbing kind.
    pub disturbing: Arc<str>,
    /// Slowdown of the disturbed kind, percent.
    pub slowdown: u32,
    /// Whether it was learned, not dropped.
    pub is_learned: bool,
}

#[derive(Debug)]
struct KindRecord {
    name: Arc<str>,
    seen: Timestamp,
    /// Samples by signal, oldest first.
    histories: BTreeMap<Signal, VecDeque<Observation>>,
}

/// What is learned of the kinds that disturb each other.
#[derive(Debug, Default)]
pub struct InterferenceBook {
    ids: BTreeMap<Arc<str>, KindId>,
    kinds: BTreeMap<KindId, KindRecord>,
    /// Learned pairs by disturbed and disturbing kind.
    pairs: BTreeMap<(KindId, KindId), Pair>,
    /// Kind that the next refresh begins with.
    next: u8,
}

impl InterferenceBook {
    /// Returns the number of a kind, if it is kept.
    #[must_use]
    pub fn id(&self, name: &str) -> Option<KindId> {
        self.ids.get(name).copied()
    }

    /// Returns the number of kinds.
    #[must_use]
    pub fn kinds(&self) -> usize {
        self.kinds.len()
    }

    /// Returns the number of learned pairs.
    #[must_use]
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Notes that runs of a kind are active, and keeps the kind if there is room: in place of the one that has not been
    /// active for longest, if that is long enough. Returns the number that is free for others to use from now on.
    pub fn note_kind(&mut self, now: Timestamp, name: &str) -> Option<KindId> {
        if let Some(id) = self.id(name) {
            if let Some(record) = self.kinds.get_mut(&id) {
                record.seen = now;
            }
            return Some(id);
        }
        let free = (0..MAX_KINDS as u8).map(KindId).find(|id| !self.kinds.contains_key(id));
        let id = free.or_else(|| self.drop_oldest_kind(now))?;
        let name: Arc<str> = name.into();
        self.ids.insert(name.clone(), id);
        self.kinds.insert(id, KindRecord { name, seen: now, histories: BTreeMap::new() });
        Some(id)
    }

    fn drop_oldest_kind(&mut self, now: Timestamp) -> Option<KindId> {
        let (id, record) = self.kinds.iter().min_by_key(|(_, record)| record.seen)?;
        if now.since(record.seen) < MAX_KIND_AGE {
            return None;
        }
        let id = *id;
        let dropped = self.kinds.remove(&id)?;
        self.ids.remove(&dropped.name);
        self.pairs.retain(|(disturbed, disturbing), _| *disturbed != id && *disturbing != id);
        let observations = self.kinds.values_mut().flat_map(|r| r.histories.values_mut()).flatten();
        observations.for_each(|o| o.neighbours = o.neighbours.without(id));
        Some(id)
    }

    /// Records a sample.
    pub fn observe(&mut self, now: Timestamp, sample: &Sample) {
        let Some(record) = self.kinds.get_mut(&sample.kind).filter(|_| sample.level.is_finite()) else {
            return;
        };
        let history = record.histories.entry(sample.signal).or_default();
        let level = sample.level.clamp(-MAX_LEVEL, MAX_LEVEL);
        let may_merge = |o: &&mut Observation| {
            let is_recent = sample.signal != Signal::Tail || now < o.at + TAIL_INTERVAL;
            o.run == sample.run && o.neighbours == sample.neighbours && is_recent
        };
        // Samples of one run are not independent, so they count once.
        if let Some(same) = history.iter_mut().rev().find(may_merge) {
            same.level = (same.level * same.count + level) / (same.count + 1.0);
            same.count += 1.0;
            if sample.signal != Signal::Tail {
                same.at = now;
            }
            return;
        }
        if history.len() == HISTORY {
            history.pop_front();
        }
        let Sample { run, worker, neighbours, .. } = *sample;
        history.push_back(Observation { run, worker, neighbours, level, count: 1.0, at: now });
    }

    /// Returns the neighbours that disturb a kind or are disturbed by it.
    #[must_use]
    pub fn partners(&self, kind: KindId) -> Partners {
        let mut partners: BTreeMap<KindId, Slowdown> = BTreeMap::new();
        for ((disturbed, disturbing), pair) in &self.pairs {
            if *disturbed == kind {
                partners.entry(*disturbing).or_default().suffered = pair.slowdown;
            }
            if *disturbing == kind {
                partners.entry(*disturbed).or_default().caused = pair.slowdown;
            }
        }
        Partners(partners.into_iter().collect())
    }

    /// Returns the slowdown of a task of a kind beside `neighbours`, in both directions.
    #[must_use]
    pub fn slowdown(&self, kind: KindId, neighbours: KindSet) -> Slowdown {
        self.partners(kind).slowdown(neighbours)
    }

    /// Computes the pairs of some of the kinds anew, in turn; returns those that were learned or dropped.
    pub fn refresh(&mut self, now: Timestamp) -> Vec<PairChange> {
        let mut changes = Vec::new();
        let next = self.next;
        let later = self.kinds.keys().filter(|k| k.0 >= next);
        let turn: Vec<KindId> =
            later.chain(self.kinds.keys().filter(|k| k.0 < next)).take(KINDS_PER_REFRESH).copied().collect();
        for kind in turn {
            self.next = kind.0 + 1;
            self.refresh_kind(now, kind, &mut changes);
        }
        while self.pairs.len() > MAX_PAIRS {
            let order = |a: &Pair, b: &Pair| a.confidence.total_cmp(&b.confidence).then(a.seen.cmp(&b.seen));
            let Some(least) = self.pairs.iter().min_by(|a, b| order(a.1, b.1)).map(|(key, _)| *key) else {
                break;
            };
            let dropped = self.pairs.remove(&least);
            changes.extend(dropped.and_then(|pair| self.change(least, pair.slowdown, false)));
        }
        changes
    }

    fn refresh_kind(&mut self, now: Timestamp, kind: KindId, changes: &mut Vec<PairChange>) {
        let Some(record) = self.kinds.get(&kind) else { return };
        let known: BTreeMap<KindId, Pair> = self
            .pairs
            .range((kind, KindId(0))..=(kind, KindId(u8::MAX)))
            .map(|((_, disturbing), pair)| (*disturbing, *pair))
            .collect();
        let mut found: BTreeMap<KindId, Pair> = BTreeMap::new();
        let mut judged: BTreeMap<Signal, KindSet> = BTreeMap::new();
        for (signal, history) in &record.histories {
            let (disturbing, all) = Samples::new(now, *signal, history).find_disturbing(&known);
            judged.insert(*signal, all);
            for (disturbing, pair) in disturbing {
                let entry = found.entry(disturbing).or_insert(pair);
                if pair.slowdown > entry.slowdown {
                    *entry = pair;
                }
            }
        }
        // Without enough samples of the pair, its last figure stays for a while.
        let is_judged =
            |id: KindId, pair: &Pair| judged.get(&pair.signal).is_some_and(|all| all.contains(id));
        let kept = known.iter().filter(|(id, p)| !is_judged(**id, p) && now < p.seen + MAX_PAIR_AGE);
        for (id, pair) in kept {
            found.entry(*id).or_insert(*pair);
        }
        for (id, pair) in &known {
            if !found.contains_key(id) {
                self.pairs.remove(&(kind, *id));
                changes.extend(self.change((kind, *id), pair.slowdown, false));
            }
        }
        for (id, pair) in found {
            if self.pairs.insert((kind, id), pair).is_none() {
                changes.extend(self.change((kind, id), pair.slowdown, true));
            }
        }
    }

    fn change(&self, pair: (KindId, KindId), slowdown: u32, is_learned: bool) -> Option<PairChange> {
        let (disturbed, disturbing) = (self.kinds.get(&pair.0)?, self.kinds.get(&pair.1)?);
        Some(PairChange {
            disturbed: disturbed.name.clone(),
            disturbing: disturbing.name.clone(),
            slowdown,
            is_learned,
        })
    }
}
