//! Baseline queue policies for comparison with [`ClassShares`](super::ClassShares).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatch::fifo_queue::FifoQueue;
use crate::dispatch::{DispatchLimits, ForwardId, QueueFull, QueueItem, QueuePolicy, SlotView};
use crate::id::{ServiceId, TeamId};
use crate::request::Class;

/// Estimates the time until `ahead` requests of the mean run time have been served on all slots.
fn drain_time(ahead: usize, view: &SlotView) -> Duration {
    let held: u32 = view.held_total();
    let total: Duration =
        Class::ALL.into_iter().map(|class| view.run_time(class) * view.held_by(class)).sum();
    let mean = total.checked_div(held).unwrap_or_default();
    mean.mul_f64(ahead as f64 / f64::from(view.capacity.max(1)))
}

/// Single first-in-first-out queue for all classes and teams; its capacity is the sum over the classes.
#[derive(Debug, Default)]
pub struct Fifo {
    queue: FifoQueue,
    limit: usize,
}

impl QueuePolicy for Fifo {
    fn name(&self) -> &'static str {
        "fifo"
    }

    fn empty(&self) -> Box<dyn QueuePolicy> {
        Box::new(Self { queue: FifoQueue::default(), limit: self.limit })
    }

    fn set_limits(&mut self, limits: &DispatchLimits) {
        self.limit = limits.classes.values().map(|class| class.queue).sum();
    }

    fn push(&mut self, item: QueueItem) -> Result<Option<QueueItem>, QueueFull> {
        if self.queue.len() >= self.limit {
            return Err(QueueFull::Class);
        }
        self.queue.push_back(item);
        Ok(None)
    }

    fn restore(&mut self, item: QueueItem) {
        self.queue.push_front(item);
    }

    fn remove(&mut self, forward: ForwardId) -> Option<QueueItem> {
        self.queue.remove(forward)
    }

    fn pop(&mut self, view: &SlotView, has_slot: &dyn Fn(&ServiceId) -> bool) -> Option<QueueItem> {
        if view.held_total() >= view.capacity {
            return None;
        }
        let forward = self.queue.first_ready(has_slot)?;
        self.queue.remove(forward)
    }

    fn available_slots(&self, _class: Class, view: &SlotView) -> u32 {
        view.capacity.saturating_sub(view.held_total())
    }

    fn expected_wait(&self, class: Class, _team: Option<&TeamId>, view: &SlotView) -> Duration {
        if self.queue.is_empty() && self.available_slots(class, view) > 0 {
            return Duration::ZERO;
        }
        drain_time(self.queue.len() + 1, view)
    }

    fn len(&self) -> usize {
        self.queue.len()
    }

    fn record_run_time(&mut self, _class: Class, _team: &TeamId, _run_time: Duration) {}
}

/// One queue per class; a class is served only while no more urgent request is ready.
#[derive(Debug, Default)]
pub struct StrictPriority {
    queues: BTreeMap<Class, FifoQueue>,
    limits: BTreeMap<Class, usize>,
}

impl QueuePolicy for StrictPriority {
    fn name(&self) -> &'static str {
        "strict-priority"
    }

    fn empty(&self) -> Box<dyn QueuePolicy> {
        Box::new(Self { queues: BTreeMap::new(), limits: self.limits.clone() })
    }

    fn set_limits(&mut self, limits: &DispatchLimits) {
        self.limits = limits.classes.iter().map(|(class, limit)| (*class, limit.queue)).collect();
    }

    fn push(&mut self, item: QueueItem) -> Result<Option<QueueItem>, QueueFull> {
        let limit = self.limits.get(&item.class).copied().unwrap_or(0);
        let queue = self.queues.entry(item.class).or_default();
        if queue.len() >= limit {
            return Err(QueueFull::Class);
        }
        queue.push_back(item);
        Ok(None)
    }

    fn restore(&mut self, item: QueueItem) {
        self.queues.entry(item.class).or_default().push_front(item);
    }

    fn remove(&mut self, forward: ForwardId) -> Option<QueueItem> {
        self.queues.values_mut().find_map(|queue| queue.remove(forward))
    }

    fn pop(&mut self, view: &SlotView, has_slot: &dyn Fn(&ServiceId) -> bool) -> Option<QueueItem> {
        if view.held_total() >= view.capacity {
            return None;
        }
        self.queues.values_mut().find_map(|queue| {
            let forward = queue.first_ready(has_slot)?;
            queue.remove(forward)
        })
    }

    fn available_slots(&self, _class: Class, view: &SlotView) -> u32 {
        view.capacity.saturating_sub(view.held_total())
    }

    fn expected_wait(&self, class: Class, _team: Option<&TeamId>, view: &SlotView) -> Duration {
        let ahead: usize = self.queues.range(..=class).map(|(_, queue)| queue.len()).sum();
        if ahead == 0 && self.available_slots(class, view) > 0 {
            return Duration::ZERO;
        }
        drain_time(ahead + 1, view)
    }

    fn len(&self) -> usize {
        self.queues.values().map(FifoQueue::len).sum()
    }

    fn record_run_time(&mut self, _class: Class, _team: &TeamId, _run_time: Duration) {}
}
