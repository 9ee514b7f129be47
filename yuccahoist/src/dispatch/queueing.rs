//! Admission and queueing, from the arrival of a request to its dispatch.

use std::cmp::Reverse;
use std::time::Duration;

use super::grants::usable_grant;
use super::in_flight::finished;
use super::worker::Worker;
use super::{
    Decision, DispatchAction, Dispatcher, EXPIRY_MARGIN, ForwardId, MIN_RETRY_DELAY, QueueFull, QueueItem,
    QueuedRequest,
};
use crate::id::{ServiceId, ShardId, WorkerId};
use crate::ownership::{Grant, Share};
use crate::request::{Class, Outcome, Refusal, Request};
use crate::unit::Timestamp;

impl Dispatcher {
    pub(super) fn on_submit(
        &mut self,
        now: Timestamp,
        (forward, id): (ForwardId, ShardId),
        request: Request,
        out: &mut Vec<DispatchAction>,
    ) {
        if !self.mark_seen(now, forward) {
            if self.queued.contains_key(&forward) || self.in_flight.contains_key(&forward) {
                out.push(DispatchAction::Accepted { forward });
            }
            return;
        }
        if let Some((refusal, reason)) = self.refusal_reason(now, &id, &request) {
            out.push(refusal_decision(&request, reason, Duration::ZERO));
            out.push(finished(forward, Outcome::NotRun(refusal)));
            return;
        }
        self.enqueue(now, forward, QueuedRequest { shard: id, request, queued_at: now }, out);
    }

    /// Marks a forward as seen and returns whether it was new. A duplicate must not be sent to a backend server again.
    pub(super) fn mark_seen(&mut self, now: Timestamp, forward: ForwardId) -> bool {
        let first = self.seen_forwards.insert(forward);
        if first {
            self.seen_order.push_back((now, forward));
        }
        first
    }

    /// Returns why a request is refused on arrival, `None` if it is admitted.
    pub(super) fn refusal_reason(
        &self,
        now: Timestamp,
        id: &ShardId,
        request: &Request,
    ) -> Option<(Refusal, &'static str)> {
        if self.stopping {
            return Some((Refusal::Stopping, "host is stopping"));
        }
        let Some((shard, grant)) =
            self.shards.get(id).and_then(|shard| Some((shard, usable_grant(shard, now)?)))
        else {
            return Some((Refusal::NotOwner, "host has no valid grant for the shard"));
        };
        if now >= request.deadline {
            return Some((Refusal::Expired, "deadline passed before admission"));
        }
        let usable = self.usable_workers(shard, now);
        if !usable.iter().any(|worker| worker.offers(&request.service)) {
            return Some((Refusal::NoOwner, "no usable worker of the shard offers the service"));
        }
        let view = self.slot_view(&usable, grant.share);
        let wait = shard.queue.expected_wait(request.class, Some(&request.team), &view);
        let late = wait > Duration::ZERO && now + wait + view.run_time(request.class) > request.deadline;
        late.then(|| {
            (Refusal::Overloaded { retry: wait.max(MIN_RETRY_DELAY) }, "expected wait exceeds the deadline")
        })
    }

    pub(super) fn enqueue(
        &mut self,
        now: Timestamp,
        forward: ForwardId,
        queued: QueuedRequest,
        out: &mut Vec<DispatchAction>,
    ) {
        let (id, class) = (queued.shard.clone(), queued.request.class);
        match self.shard(&id).queue.push(queue_item(forward, &queued.request, now)) {
            Err(full) => {
                let retry = self.retry_after(now, &id, class);
                let (refusal, reason) = match full {
                    QueueFull::Class => (Refusal::Overloaded { retry }, "queue of the class is full"),
                    QueueFull::Team => {
                        (Refusal::TeamLimit { retry }, "queue is full and the team has used its share of it")
                    }
                };
                out.push(refusal_decision(&queued.request, reason, Duration::ZERO));
                out.push(finished(forward, Outcome::NotRun(refusal)));
                return;
            }
            Ok(Some(evicted)) => self.evict(now, &id, &evicted, out),
            Ok(None) => {}
        }
        self.deadlines.insert((queued.request.deadline, forward));
        self.queued.insert(forward, queued);
        out.push(DispatchAction::Accepted { forward });
        self.dispatch_ready(now, &id, out);
    }

    pub(super) fn evict(
        &mut self,
        now: Timestamp,
        id: &ShardId,
        item: &QueueItem,
        out: &mut Vec<DispatchAction>,
    ) {
        let retry = self.retry_after(now, id, item.class);
        let Some(queued) = self.take_queued(item.forward) else { return };
        let reason = "queue is full and the team has used its share of it";
        out.push(refusal_decision(&queued.request, reason, now.since(queued.queued_at)));
        out.push(finished(item.forward, Outcome::NotRun(Refusal::TeamLimit { retry })));
    }

    pub(super) fn retry_after(&self, now: Timestamp, id: &ShardId, class: Class) -> Duration {
        let Some(shard) = self.shards.get(id) else { return MIN_RETRY_DELAY };
        let Some(grant) = &shard.grant else { return MIN_RETRY_DELAY };
        let view = self.slot_view(&self.usable_workers(shard, now), grant.share);
        shard.queue.expected_wait(class, None, &view).max(MIN_RETRY_DELAY)
    }

    /// Removes a request from the queue of its shard.
    pub(super) fn dequeue(&mut self, forward: ForwardId) -> Option<QueuedRequest> {
        let queued = self.take_queued(forward)?;
        if let Some(shard) = self.shards.get_mut(&queued.shard) {
            shard.queue.remove(forward);
        }
        Some(queued)
    }

    pub(super) fn take_queued(&mut self, forward: ForwardId) -> Option<QueuedRequest> {
        let queued = self.queued.remove(&forward)?;
        self.deadlines.remove(&(queued.request.deadline, forward));
        Some(queued)
    }

    pub(super) fn dispatch_all(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        let ids: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, shard)| !shard.queue.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.dispatch_ready(now, &id, out);
        }
    }

    /// Sends the queued requests of a shard while slots are free.
    pub(super) fn dispatch_ready(&mut self, now: Timestamp, id: &ShardId, out: &mut Vec<DispatchAction>) {
        while let Some((item, grant)) = self.next_request(now, id) {
            let Some(queued) = self.take_queued(item.forward) else { continue };
            if now >= queued.request.deadline {
                self.expire(now, item.forward, &queued, out);
                continue;
            }
            let Some((worker, runner_up)) = self.choose_worker(now, id, grant.share, &queued.request.service)
            else {
                self.requeue(item, queued);
                return;
            };
            out.push(sent_decision(&queued, &worker, runner_up, now));
            out.push(self.start(now, item.forward, (queued, worker), &grant));
        }
    }

    pub(super) fn next_request(&mut self, now: Timestamp, id: &ShardId) -> Option<(QueueItem, Grant)> {
        let shard = self.shards.get(id)?;
        if shard.queue.is_empty() {
            return None;
        }
        let grant = usable_grant(shard, now)?.clone();
        let usable = self.usable_workers(shard, now);
        let view = self.slot_view(&usable, grant.share);
        let available = usable.iter().filter(|worker| worker.free_slots(grant.share) > 0);
        let mut services: Vec<ServiceId> =
            available.flat_map(|worker| &worker.spec.services).cloned().collect();
        services.dedup();
        if services.is_empty() {
            return None;
        }
        let shard = self.shards.get_mut(id)?;
        let item = shard.queue.pop(&view, &|service| services.contains(service))?;
        Some((item, grant))
    }

    /// Returns the worker with the most free slots and the runner-up.
    ///
    /// Slow workers rank last; among equals, the least recently used comes first.
    pub(super) fn choose_worker(
        &self,
        now: Timestamp,
        id: &ShardId,
        share: Share,
        service: &ServiceId,
    ) -> Option<(WorkerId, Option<WorkerId>)> {
        let usable = self.usable_workers(self.shards.get(id)?, now);
        let available =
            usable.into_iter().filter(|worker| worker.offers(service) && worker.free_slots(share) > 0);
        let mut ranked: Vec<&Worker> = available.collect();
        ranked
            .sort_by_key(|worker| (worker.is_slow(now), Reverse(worker.free_slots(share)), worker.last_used));
        let mut ids = ranked.into_iter().map(|worker| worker.spec.worker.clone());
        Some((ids.next()?, ids.next()))
    }

    pub(super) fn requeue(&mut self, item: QueueItem, queued: QueuedRequest) {
        let forward = item.forward;
        if let Some(shard) = self.shards.get_mut(&queued.shard) {
            shard.queue.restore(item);
        }
        self.deadlines.insert((queued.request.deadline, forward));
        self.queued.insert(forward, queued);
    }

    pub(super) fn expire_queued(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        while let Some((deadline, forward)) = self.deadlines.first().copied() {
            if now + EXPIRY_MARGIN < deadline {
                return;
            }
            match self.dequeue(forward) {
                Some(queued) => self.expire(now, forward, &queued, out),
                None => _ = self.deadlines.pop_first(),
            }
        }
    }

    pub(super) fn expire(
        &self,
        now: Timestamp,
        forward: ForwardId,
        queued: &QueuedRequest,
        out: &mut Vec<DispatchAction>,
    ) {
        let reason = "deadline passed while queued";
        out.push(refusal_decision(&queued.request, reason, now.since(queued.queued_at)));
        out.push(finished(forward, Outcome::NotRun(Refusal::Expired)));
    }
}

pub(super) fn queue_item(forward: ForwardId, request: &Request, queued_at: Timestamp) -> QueueItem {
    QueueItem {
        forward,
        service: request.service.clone(),
        class: request.class,
        team: request.team.clone(),
        queued_at,
    }
}

pub(super) fn sent_decision(
    queued: &QueuedRequest,
    worker: &WorkerId,
    runner_up: Option<WorkerId>,
    now: Timestamp,
) -> DispatchAction {
    DispatchAction::Decision(Decision {
        request: queued.request.id,
        class: queued.request.class,
        chosen: Some(worker.clone()),
        runner_up,
        reason: "most free slots".into(),
        waited: now.since(queued.queued_at),
    })
}

pub(super) fn refusal_decision(request: &Request, reason: &str, waited: Duration) -> DispatchAction {
    DispatchAction::Decision(Decision {
        request: request.id,
        class: request.class,
        chosen: None,
        runner_up: None,
        reason: reason.into(),
        waited,
    })
}
