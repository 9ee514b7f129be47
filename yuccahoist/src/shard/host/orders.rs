//! Execution of the owner's actions: I/O tasks whose results return as inputs of the host.

use tokio::sync::mpsc;

use super::appender::{AppendError, Appender};
use super::frame::Frame;
use super::relay::send_input;
use super::{HostState, Input};
use crate::shard::id::{Epoch, Fence};
use crate::shard::message::{Action, Event};
use crate::shard::ports::{LeaseOrder, PaceOrder, StartOrder};
use crate::shard::record::Entry;
use crate::unit::Timestamp;

impl HostState {
    /// Executes an action of the owner of `epoch`.
    pub(super) fn perform(&mut self, now: Timestamp, epoch: Epoch, action: Action) {
        match action {
            Action::Reply(call, answer) if call.link == 0 => self.reply(call.number, answer),
            Action::Reply(call, answer) => {
                let frame = Frame::Answer { number: call.number, answer };
                if self.peers.get(&call.link).is_some_and(|peer| !peer.sender.send(frame)) {
                    self.drop_peer(call.link);
                }
            }
            Action::Append(entries) => {
                if self.appender.as_ref().is_some_and(|appender| appender.try_send(entries).is_err()) {
                    log::error!("append requested while another append of epoch {epoch} is in flight");
                }
            }
            Action::ExtendLease { incarnation, generation, address, deadline, acked_end, wait, sent } => {
                let fence = Fence { epoch, generation };
                let (workers, inbox) = (self.ports.workers.clone(), self.inbox.clone());
                tokio::spawn(async move {
                    let order =
                        LeaseOrder { incarnation: incarnation.clone(), address, deadline, acked_end, wait };
                    let result = workers.extend_lease(fence, order).await;
                    send_input(
                        &inbox,
                        Input::OwnerEvent(epoch, Event::LeaseAnswered(incarnation, sent, result)),
                    )
                    .await;
                });
            }
            Action::Start {
                incarnation,
                generation,
                address,
                task,
                run,
                spec,
                deadline,
                clock,
                checkpoint,
                ticket,
            } => {
                let fence = Fence { epoch, generation };
                let (workers, inbox) = (self.ports.workers.clone(), self.inbox.clone());
                tokio::spawn(async move {
                    let target = incarnation.clone();
                    let order = StartOrder {
                        incarnation: target,
                        address,
                        task,
                        run,
                        spec,
                        deadline,
                        clock,
                        checkpoint,
                        ticket,
                    };
                    let result = workers.start(fence, order).await;
                    send_input(
                        &inbox,
                        Input::OwnerEvent(epoch, Event::Started(task, run, incarnation, result)),
                    )
                    .await;
                });
            }
            Action::Stop { incarnation, generation, address, task, run } => {
                let fence = Fence { epoch, generation };
                let (workers, inbox) = (self.ports.workers.clone(), self.inbox.clone());
                tokio::spawn(async move {
                    let result = workers.stop(fence, incarnation.clone(), address, task, run).await;
                    send_input(
                        &inbox,
                        Input::OwnerEvent(epoch, Event::Stopped(task, run, incarnation, result)),
                    )
                    .await;
                });
            }
            Action::SetPace { incarnation, generation, address, task, run, percent } => {
                let fence = Fence { epoch, generation };
                let (workers, inbox) = (self.ports.workers.clone(), self.inbox.clone());
                tokio::spawn(async move {
                    let order = PaceOrder { incarnation: incarnation.clone(), address, task, run, percent };
                    let result = workers.set_pace(fence, order).await;
                    send_input(
                        &inbox,
                        Input::OwnerEvent(epoch, Event::PaceAnswered(task, run, incarnation, result)),
                    )
                    .await;
                });
            }
            Action::RequestRecommendation(request) => {
                self.request_queue.enqueue(request);
                self.dispatch_requests();
            }
            Action::StepDown(epoch) => self.step_down(now, epoch, "a worker has seen a higher epoch"),
        }
    }

    /// Spawns the task that appends the owner's batches, one at a time; each is retried until the store has it or has
    /// seen a higher epoch. `claim_sequence` is the sequence number of the append that started `epoch`.
    pub(super) fn spawn_appender(&mut self, epoch: Epoch, claim_sequence: u64) -> mpsc::Sender<Vec<Entry>> {
        let (sender, mut batches) = mpsc::channel::<Vec<Entry>>(1);
        let (store, inbox) = (self.ports.store.clone(), self.inbox.clone());
        let mut appender = Appender::new(store, epoch, claim_sequence);
        tokio::spawn(async move {
            while let Some(entries) = batches.recv().await {
                match appender.append(&entries, || batches.is_closed() || inbox.is_closed()).await {
                    Ok(()) => send_input(&inbox, Input::OwnerEvent(epoch, Event::Stored)).await,
                    Err(AppendError::Abandoned) => return,
                    Err(AppendError::Fenced(error)) => {
                        log::info!(target: "decision", "append epoch={epoch} outcome=fenced error={error}");
                        return send_input(&inbox, Input::Fenced(epoch)).await;
                    }
                }
            }
        });
        sender
    }
}
