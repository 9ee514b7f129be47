//! Guaranteed class shares with borrowing, and deficit round robin over the teams of a class.
//!
//! Classes are ranked by mean run time. A class may use its own guaranteed slots and those of every class with an equal
//! or longer run time. One rule enforces this: for each class, it and all classes with an equal or longer run time
//! together hold at most the sum of their guaranteed slots. A borrowed slot is therefore released within a run time no
//! longer than that of the class that lent it, and long requests never take the slots of short ones. Slots that are
//! guaranteed to no class are open to all.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::dispatch::ewma::Ewma;
use crate::dispatch::fifo_queue::FifoQueue;
use crate::dispatch::{DispatchLimits, ForwardId, QueueFull, QueueItem, QueuePolicy, SlotView};
use crate::id::{ServiceId, TeamId};
use crate::request::Class;
use crate::share::weight_share;

/// Maximum number of rounds over the teams in one pop.
///
/// The quantum covers the highest cost, so one round is enough unless no request has a worker with a free slot.
const MAX_SEARCH_ROUNDS: usize = 4;

/// Guaranteed slots per class with borrowing between classes; the default policy.
#[derive(Debug, Default)]
pub struct ClassShares {
    queues: BTreeMap<Class, ClassQueue>,
    locations: BTreeMap<ForwardId, (Class, TeamId)>,
    shares: BTreeMap<Class, f64>,
    limits: BTreeMap<Class, usize>,
    weights: BTreeMap<TeamId, u32>,
}

/// Queues of one class, one per team with queued requests.
#[derive(Debug, Default)]
struct ClassQueue {
    teams: BTreeMap<TeamId, TeamQueue>,
    /// Round-robin order of the teams.
    active: VecDeque<TeamId>,
    /// Mean run time of a request per team, seconds.
    costs: BTreeMap<TeamId, Ewma>,
    len: usize,
}

/// Queue of one team with its round-robin state.
#[derive(Debug, Default)]
struct TeamQueue {
    queue: FifoQueue,
    /// Deficit counter, seconds of run time.
    deficit: f64,
    /// Whether the team has received its quantum in the current round.
    credited: bool,
}

impl ClassQueue {
    fn cost(&self, team: &TeamId) -> f64 {
        let own = self.costs.get(team).and_then(Ewma::mean);
        own.unwrap_or_else(|| self.highest_cost()).max(f64::EPSILON)
    }

    fn highest_cost(&self) -> f64 {
        self.costs.values().filter_map(Ewma::mean).fold(0.0, f64::max)
    }

    fn team_queue(&mut self, team: &TeamId) -> &mut FifoQueue {
        if !self.teams.contains_key(team) {
            self.active.push_back(team.clone());
        }
        self.len += 1;
        &mut self.teams.entry(team.clone()).or_default().queue
    }

    fn remove_if_empty(&mut self, team: &TeamId) {
        if self.teams.get(team).is_some_and(|entry| entry.queue.is_empty()) {
            self.teams.remove(team);
            self.active.retain(|other| other != team);
        }
    }

    fn remove(&mut self, team: &TeamId, forward: ForwardId) -> Option<QueueItem> {
        let item = self.teams.get_mut(team)?.queue.remove(forward)?;
        self.len -= 1;
        self.remove_if_empty(team);
        Some(item)
    }

    fn pop(
        &mut self,
        weights: &BTreeMap<TeamId, u32>,
        has_slot: &dyn Fn(&ServiceId) -> bool,
    ) -> Option<QueueItem> {
        let lowest = self.active.iter().map(|team| weight(weights, team)).fold(f64::MAX, f64::min);
        let quantum = self.highest_cost().max(f64::EPSILON) / lowest;
        for _ in 0..self.active.len() * MAX_SEARCH_ROUNDS {
            let team = self.active.front()?.clone();
            let cost = self.cost(&team);
            let credit = quantum * weight(weights, &team);
            let entry = self.teams.get_mut(&team)?;
            if !entry.credited {
                entry.credited = true;
                // The cap keeps a team whose requests cannot start now from accumulating credit for a burst.
                entry.deficit = (entry.deficit + credit).min(2.0 * credit);
            }
            let forward = entry.queue.first_ready(has_slot);
            if let Some(forward) = forward.filter(|_| entry.deficit >= cost) {
                entry.deficit -= cost;
                return self.remove(&team, forward);
            }
            entry.credited = false;
            self.active.rotate_left(1);
        }
        None
    }

    /// Estimates how many queued requests start before a request of `team` that arrives now.
    fn requests_ahead(&self, team: &TeamId, weights: &BTreeMap<TeamId, u32>) -> f64 {
        let own = self.teams.get(team).map_or(0, |entry| entry.queue.len());
        let others = self.active.iter().filter(|other| *other != team).map(|other| weight(weights, other));
        let share = weight_share(weight(weights, team), others.sum());
        ((own + 1) as f64 / share - 1.0).min(self.len as f64)
    }

    /// Returns the team with the longest queue relative to its weight, and that relative length.
    fn longest_queue(&self, weights: &BTreeMap<TeamId, u32>) -> Option<(TeamId, f64)> {
        let teams = self.teams.iter();
        let by_weight = teams.map(|(team, entry)| (team, entry.queue.len() as f64 / weight(weights, team)));
        by_weight.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(team, length)| (team.clone(), length))
    }
}

fn weight(weights: &BTreeMap<TeamId, u32>, team: &TeamId) -> f64 {
    f64::from(weights.get(team).copied().unwrap_or(1).max(1))
}

impl ClassShares {
    /// Returns the guaranteed slots of a class: at least one if there is a slot for every class, so that none starves.
    fn guaranteed_slots(&self, class: Class, capacity: u32) -> u32 {
        let share = self.shares.get(&class).copied().unwrap_or(0.0).clamp(0.0, 1.0);
        let slots = (share * f64::from(capacity) + 1e-9).floor() as u32;
        let minimum = u32::from(capacity as usize >= Class::ALL.len());
        slots.max(minimum).min(capacity)
    }

    /// Returns the number of slots that are guaranteed to no class; every class may use them.
    fn unreserved(&self, capacity: u32) -> u32 {
        let guaranteed: u32 = Class::ALL.iter().map(|class| self.guaranteed_slots(*class, capacity)).sum();
        capacity.saturating_sub(guaranteed)
    }

    /// Returns the number of further slots that a class may take under every bound of the borrowing rule.
    fn headroom(&self, class: Class, view: &SlotView) -> u32 {
        let own_rank = lending_rank(class, view);
        let bounds =
            Class::ALL.iter().map(|bound| lending_rank(*bound, view)).filter(|rank| *rank <= own_rank);
        let remaining = bounds.map(|rank| {
            let longer = || Class::ALL.into_iter().filter(|other| lending_rank(*other, view) >= rank);
            let allowed: u32 = longer().map(|other| self.guaranteed_slots(other, view.capacity)).sum();
            let held: u32 = longer().map(|other| view.held_by(other)).sum();
            (allowed + self.unreserved(view.capacity)).min(view.capacity).saturating_sub(held)
        });
        remaining.min().unwrap_or(0)
    }

    /// Returns the classes in the order in which they are served: those below their guarantee first, then those that
    /// borrow, each by urgency.
    fn service_order(&self, view: &SlotView) -> [Class; 3] {
        let mut classes = Class::ALL;
        classes.sort_by_key(|class| {
            let held = view.held_by(*class);
            (held >= self.guaranteed_slots(*class, view.capacity), *class)
        });
        classes
    }
}

/// Returns the run time by which classes are ranked for borrowing.
fn lending_rank(class: Class, view: &SlotView) -> Duration {
    let run_time = view.run_time(class);
    match class {
        // Heavy requests that fail immediately have a short run time, but must never borrow from urgent ones.
        Class::Heavy => run_time.max(view.run_time(Class::Urgent) + Duration::from_micros(1)),
        _ => run_time,
    }
}

impl QueuePolicy for ClassShares {
    fn name(&self) -> &'static str {
        "class-shares"
    }

    fn empty(&self) -> Box<dyn QueuePolicy> {
        Box::new(Self {
            shares: self.shares.clone(),
            limits: self.limits.clone(),
            weights: self.weights.clone(),
            ..Self::default()
        })
    }

    fn set_limits(&mut self, limits: &DispatchLimits) {
        self.shares = limits.classes.iter().map(|(class, limit)| (*class, limit.share)).collect();
        self.limits = limits.classes.iter().map(|(class, limit)| (*class, limit.queue)).collect();
        self.weights = limits.teams.clone();
    }

    fn push(&mut self, item: QueueItem) -> Result<Option<QueueItem>, QueueFull> {
        let limit = self.limits.get(&item.class).copied().unwrap_or(0);
        let queue = self.queues.entry(item.class).or_default();
        let mut evicted = None;
        if queue.len >= limit {
            let (longest, length) = queue.longest_queue(&self.weights).ok_or(QueueFull::Class)?;
            let own = queue.teams.get(&item.team).map_or(0, |entry| entry.queue.len());
            if longest == item.team || (own + 1) as f64 / weight(&self.weights, &item.team) >= length {
                return Err(if queue.teams.len() > 1 { QueueFull::Team } else { QueueFull::Class });
            }
            let victim = queue.teams.get_mut(&longest).and_then(|entry| entry.queue.pop_back());
            let victim = victim.ok_or(QueueFull::Class)?;
            queue.len -= 1;
            queue.remove_if_empty(&longest);
            self.locations.remove(&victim.forward);
            evicted = Some(victim);
        }
        self.locations.insert(item.forward, (item.class, item.team.clone()));
        let team = item.team.clone();
        queue.team_queue(&team).push_back(item);
        Ok(evicted)
    }

    fn restore(&mut self, item: QueueItem) {
        self.locations.insert(item.forward, (item.class, item.team.clone()));
        let team = item.team.clone();
        self.queues.entry(item.class).or_default().team_queue(&team).push_front(item);
    }

    fn remove(&mut self, forward: ForwardId) -> Option<QueueItem> {
        let (class, team) = self.locations.remove(&forward)?;
        self.queues.get_mut(&class)?.remove(&team, forward)
    }

    fn pop(&mut self, view: &SlotView, has_slot: &dyn Fn(&ServiceId) -> bool) -> Option<QueueItem> {
        for class in self.service_order(view) {
            if self.headroom(class, view) == 0 {
                continue;
            }
            let Some(queue) = self.queues.get_mut(&class) else { continue };
            if let Some(item) = queue.pop(&self.weights, has_slot) {
                self.locations.remove(&item.forward);
                return Some(item);
            }
        }
        None
    }

    fn available_slots(&self, class: Class, view: &SlotView) -> u32 {
        self.headroom(class, view)
    }

    fn expected_wait(&self, class: Class, team: Option<&TeamId>, view: &SlotView) -> Duration {
        let queue = self.queues.get(&class);
        let len = queue.map_or(0, |queue| queue.len);
        if len == 0 && self.headroom(class, view) > 0 {
            return Duration::ZERO;
        }
        let ahead = match (queue, team) {
            (Some(queue), Some(team)) => queue.requests_ahead(team, &self.weights),
            _ => len as f64,
        };
        let guaranteed = self.guaranteed_slots(class, view.capacity);
        let held = view.held_by(class);
        let position = ahead + 1.0;
        // Below its guarantee, the class gets the next slot that any class releases.
        let below_guarantee = position.min(f64::from(guaranteed.saturating_sub(held)));
        let own_slots = f64::from(guaranteed.max(held).max(1));
        view.next_slot_wait().mul_f64(below_guarantee)
            + view.run_time(class).mul_f64((position - below_guarantee) / own_slots)
    }

    fn len(&self) -> usize {
        self.queues.values().map(|queue| queue.len).sum()
    }

    fn record_run_time(&mut self, class: Class, team: &TeamId, run_time: Duration) {
        let queue = self.queues.entry(class).or_default();
        queue.costs.entry(team.clone()).or_default().add(run_time.as_secs_f64());
    }
}
