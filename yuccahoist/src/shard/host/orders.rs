//! Carries out the actions of the owner.

use rand::RngExt;
use tokio::sync::mpsc;

use super::frame::Frame;
use super::patience::Patience;
use super::relay::tell;
use super::{HostState, Input};
use crate::shard::desk::Ask;
use crate::shard::id::Epoch;
use crate::shard::message::{Action, Event};
use crate::shard::ports::{HoldOrder, PaceOrder, StartOrder, StoreError};
use crate::shard::record::Entry;
use crate::unit::Timestamp;

impl HostState {
    pub(super) fn perform(&mut self, now: Timestamp, epoch: Epoch, action: Action) {
        match action {
            Action::Reply(call, answer) if call.link == 0 => self.answer(call.number, answer),
            Action::Reply(call, answer) => {
                let frame = Frame::Answer { number: call.number, answer };
                if self.links.get(&call.link).is_some_and(|peer| !peer.sender.send(frame)) {
                    self.drop_link(call.link);
                }
            }
            Action::Append(entries) => {
                if self.appends.as_ref().is_some_and(|appends| appends.try_send(entries).is_err()) {
                    log::error!("a write was asked for while one is under way");
                }
            }
            Action::Hold { life, address, deadline, last, wait } => {
                let (workers, inbox) = (self.ports.workers.clone(), self.inbox.clone());
                tokio::spawn(async move {
                    let order = HoldOrder { life: life.clone(), address, deadline, last, wait };
                    let result = workers.hold(epoch, order).await;
                    tell(&inbox, Input::Owned(epoch, Event::Held(life, result))).await;
                });
            }
            Action::Start { life, address, task, run, spec, deadline, saved, ticket } => {
                let (workers, inbox) = (self.ports.workers.clone(), self.inbox.clone());
                tokio::spawn(async move {
                    let to = life.clone();
                    let order = StartOrder { life: to, address, task, run, spec, deadline, saved, ticket };
                    let result = workers.start(epoch, order).await;
                    tell(&inbox, Input::Owned(epoch, Event::Started(task, run, life, result))).await;
                });
            }
            Action::Stop { life, address, task, run } => {
                let (workers, inbox) = (self.ports.workers.clone(), self.inbox.clone());
                tokio::spawn(async move {
                    let result = workers.stop(epoch, life.clone(), address, task, run).await;
                    tell(&inbox, Input::Owned(epoch, Event::Stopped(task, run, life, result))).await;
                });
            }
            Action::Pace { life, address, task, run, share } => {
                let (workers, inbox) = (self.ports.workers.clone(), self.inbox.clone());
                tokio::spawn(async move {
                    let order = PaceOrder { life: life.clone(), address, task, run, share };
                    let result = workers.pace(epoch, order).await;
                    tell(&inbox, Input::Owned(epoch, Event::Paced(task, run, life, result))).await;
                });
            }
            Action::Advise { step, workers, cost, latest } => {
                self.desk.add(Ask { step, workers, cost, latest });
                self.ask_next();
            }
            Action::Deposed(epoch) => self.step_down(now, epoch, "a worker has seen a higher epoch"),
        }
    }

    /// Task that writes the owner's batches, one at a time, until the store has them or has seen a higher epoch.
    pub(super) fn appender(&mut self, epoch: Epoch, first: u64) -> mpsc::Sender<Vec<Entry>> {
        let (sender, mut batches) = mpsc::channel::<Vec<Entry>>(1);
        let (store, inbox) = (self.ports.store.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let mut sequence = first;
            let mut patience = Patience::default();
            while let Some(entries) = batches.recv().await {
                sequence += 1;
                let mut tries = 0;
                let mut started = tokio::time::Instant::now();
                while let Err(error) = store.append(epoch, sequence, &entries, patience.limit(tries)).await {
                    if let StoreError::Fenced { .. } | StoreError::Moved { .. } = error {
                        log::info!(target: "decision", "append epoch={epoch} sequence={sequence} outcome=fenced error={error}");
                        return tell(&inbox, Input::Fenced(epoch)).await;
                    }
                    if batches.is_closed() || inbox.is_closed() {
                        return;
                    }
                    log::info!(target: "decision", "append epoch={epoch} sequence={sequence} outcome=repeat error={error}");
                    tries += 1;
                    let jitter = rand::rng().random_range(1.0..2.0);
                    tokio::time::sleep(Patience::pause(tries, started.elapsed()).mul_f64(jitter)).await;
                    started = tokio::time::Instant::now();
                }
                patience.took(started.elapsed());
                tell(&inbox, Input::Owned(epoch, Event::Stored)).await;
            }
        });
        sender
    }
}
