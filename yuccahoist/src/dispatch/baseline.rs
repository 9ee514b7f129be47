//! Baseline queue policies for comparison with [`ClassShares`](super::ClassShares).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatch::line::Line;
use crate::dispatch::{DispatchLimits, ForwardId, Full, QueueItem, QueuePolicy, SlotView};
use crate::id::{ServiceId, TeamId};
use crate::request::Class;

/// Estimates the time until `ahead` requests of the mean run time have been served on all slots.
fn drain_time(ahead: usize, view: &SlotView) -> Duration {
    let held: u32 = view.held_total();
    let total: Duration = Class::ALL.into_iter().map(|class| view.run_of(class) * view.held_by(class)).sum();
    let mean = total.checked_div(held).unwrap_or_default();
    mean.mul_f64(ahead as f64 / f64::from(view.capacity.max(1)))
}

/// Single first-in-first-out queue for all classes and teams; its capacity is the sum over the classes.
#[derive(Debug, Default)]
pub struct Fifo {
    line: Line,
    limit: usize,
}

impl QueuePolicy for Fifo {
    fn name(&self) -> &'static str {
        "fifo"
    }

    fn empty(&self) -> Box<dyn QueuePolicy> {
        Box::new(Self { line: Line::default(), limit: self.limit })
    }

    fn set_limits(&mut self, limits: &DispatchLimits) {
        self.limit = limits.classes.values().map(|class| class.queue).sum();
    }

    fn push(&mut self, item: QueueItem) -> Result<Option<QueueItem>, Full> {
        if self.line.len() >= self.limit {
            return Err(Full::Class);
        }
        self.line.push_back(item);
        Ok(None)
    }

    fn restore(&mut self, item: QueueItem) {
        self.line.push_front(item);
    }

    fn remove(&mut self, forward: ForwardId) -> Option<QueueItem> {
        self.line.remove(forward)
    }

    fn pop(&mut self, view: &SlotView, fits: &dyn Fn(&ServiceId) -> bool) -> Option<QueueItem> {
        if view.held_total() >= view.capacity {
            return None;
        }
        let forward = self.line.first_fit(fits)?;
        self.line.remove(forward)
    }

    fn room(&self, _class: Class, view: &SlotView) -> u32 {
        view.capacity.saturating_sub(view.held_total())
    }

    fn wait(&self, class: Class, _team: Option<&TeamId>, view: &SlotView) -> Duration {
        if self.line.is_empty() && self.room(class, view) > 0 {
            return Duration::ZERO;
        }
        drain_time(self.line.len() + 1, view)
    }

    fn len(&self) -> usize {
        self.line.len()
    }

    fn measured(&mut self, _class: Class, _team: &TeamId, _run: Duration) {}
}

/// One queue per class; a class is served only while no more urgent request is ready.
#[derive(Debug, Default)]
pub struct StrictPriority {
    lines: BTreeMap<Class, Line>,
    limits: BTreeMap<Class, usize>,
}

impl QueuePolicy for StrictPriority {
    fn name(&self) -> &'static str {
        "strict-priority"
    }

    fn empty(&self) -> Box<dyn QueuePolicy> {
        Box::new(Self { lines: BTreeMap::new(), limits: self.limits.clone() })
    }

    fn set_limits(&mut self, limits: &DispatchLimits) {
        self.limits = limits.classes.iter().map(|(class, limit)| (*class, limit.queue)).collect();
    }

    fn push(&mut self, item: QueueItem) -> Result<Option<QueueItem>, Full> {
        let limit = self.limits.get(&item.class).copied().unwrap_or(0);
        let line = self.lines.entry(item.class).or_default();
        if line.len() >= limit {
            return Err(Full::Class);
        }
        line.push_back(item);
        Ok(None)
    }

    fn restore(&mut self, item: QueueItem) {
        self.lines.entry(item.class).or_default().push_front(item);
    }

    fn remove(&mut self, forward: ForwardId) -> Option<QueueItem> {
        self.lines.values_mut().find_map(|line| line.remove(forward))
    }

    fn pop(&mut self, view: &SlotView, fits: &dyn Fn(&ServiceId) -> bool) -> Option<QueueItem> {
        if view.held_total() >= view.capacity {
            return None;
        }
        self.lines.values_mut().find_map(|line| {
            let forward = line.first_fit(fits)?;
            line.remove(forward)
        })
    }

    fn room(&self, _class: Class, view: &SlotView) -> u32 {
        view.capacity.saturating_sub(view.held_total())
    }

    fn wait(&self, class: Class, _team: Option<&TeamId>, view: &SlotView) -> Duration {
        let ahead: usize = self.lines.range(..=class).map(|(_, line)| line.len()).sum();
        if ahead == 0 && self.room(class, view) > 0 {
            return Duration::ZERO;
        }
        drain_time(ahead + 1, view)
    }

    fn len(&self) -> usize {
        self.lines.values().map(Line::len).sum()
    }

    fn measured(&mut self, _class: Class, _team: &TeamId, _run: Duration) {}
}
