//! Host actor: owns the state machine of the host and the reply channels of pending calls.
//!
//! I/O tasks send it events. It passes each event to the state machine and the resulting actions to an [`Effects`]
//! object, which starts the I/O without waiting for it. The input queue has no limit of its own, as its sources are
//! limited elsewhere: the caller API limits the open service and job calls to `open_calls`, each peer connection has at
//! most `MAX_IN_FLIGHT_FRAMES` unacknowledged frames, and each platform call that the state machine starts yields one
//! result.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::FutureExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use xtra::{Address, Context, Handler};

use crate::clock::Clock;
use crate::daemon::HostMachine;
use crate::event::{HostAction, HostEvent, HostStatus, JobReply};
use crate::front::CallId;
use crate::metrics::Metrics;
use crate::request::Outcome;
use crate::unit::Timestamp;

/// Performs the actions of the state machine other than replies to calls.
pub trait Effects: Send {
    /// Starts an action without waiting for its completion. Events that result immediately, such as a full send queue,
    /// are pushed to `follow_ups`.
    fn start(&mut self, now: Timestamp, action: HostAction, follow_ups: &mut Vec<HostEvent>);
}

/// Sending end of the channel for the reply to a call.
#[derive(Debug)]
pub enum ReplySender {
    /// Outcome of a service request.
    Request(oneshot::Sender<Outcome>),
    /// Reply of the job interface.
    Job(oneshot::Sender<JobReply>),
    /// Status report for operators.
    Status(oneshot::Sender<Box<HostStatus>>),
}

/// Message to the host actor.
#[derive(Debug)]
pub enum Input {
    /// Event of an I/O task.
    Event(HostEvent),
    /// Events that are handled in the order of the list.
    Events(Vec<HostEvent>),
    /// New call with its reply channel.
    Call {
        /// Key of the reply channel until the reply or the disconnect of the caller.
        call: CallId,
        /// Channel of the kind that matches `event`.
        reply: ReplySender,
        /// [`HostEvent::Call`], [`HostEvent::JobCall`] or [`HostEvent::StatusCall`] with the same `call`.
        event: HostEvent,
    },
}

/// Actor that runs the state machine of one host.
pub struct HostActor {
    machine: HostMachine,
    clock: Arc<dyn Clock>,
    rng: ChaCha8Rng,
    effects: Box<dyn Effects>,
    metrics: Metrics,
    pending_calls: BTreeMap<CallId, ReplySender>,
    actions: Vec<HostAction>,
    follow_ups: Vec<HostEvent>,
}

impl fmt::Debug for HostActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostActor").field("pending_calls", &self.pending_calls.len()).finish_non_exhaustive()
    }
}

impl HostActor {
    /// Creates an actor whose random number generator has a random seed.
    #[must_use]
    pub fn new(
        machine: HostMachine,
        clock: Arc<dyn Clock>,
        effects: Box<dyn Effects>,
        metrics: Metrics,
    ) -> Self {
        let rng = rand::make_rng();
        let (pending_calls, actions, follow_ups) = Default::default();
        Self { machine, clock, rng, effects, metrics, pending_calls, actions, follow_ups }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Events(events) => events.into_iter().for_each(|event| self.handle_event(event)),
            Input::Call { call, reply, event } => {
                self.pending_calls.insert(call, reply);
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: HostEvent) {
        self.step(event);
        while !self.follow_ups.is_empty() {
            for event in std::mem::take(&mut self.follow_ups) {
                self.step(event);
            }
        }
    }

    fn step(&mut self, event: HostEvent) {
        let now = self.clock.now();
        self.metrics.record_event(&event);
        match &event {
            HostEvent::CallerDisconnected { call } => drop(self.pending_calls.remove(call)),
            HostEvent::Tick { .. } => self.metrics.flush_if_due(now, self.pending_calls.len()),
            _ => {}
        }
        self.machine.handle(now, event, &mut self.rng, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.perform(now, action);
        }
        self.actions = actions;
        self.metrics.record_handling_time(self.clock.now().since(now));
    }

    fn perform(&mut self, now: Timestamp, action: HostAction) {
        self.metrics.record_action(&action);
        match action {
            HostAction::Respond { call, outcome, .. } => match self.pending_calls.remove(&call) {
                Some(ReplySender::Request(reply)) => drop(reply.send(outcome)),
                other => self.unmatched_reply(call, other),
            },
            HostAction::JobReply { call, reply: body } => match self.pending_calls.remove(&call) {
                Some(ReplySender::Job(reply)) => drop(reply.send(body)),
                other => self.unmatched_reply(call, other),
            },
            HostAction::StatusReply { call, status } => match self.pending_calls.remove(&call) {
                Some(ReplySender::Status(reply)) => drop(reply.send(status)),
                other => self.unmatched_reply(call, other),
            },
            other => self.effects.start(now, other, &mut self.follow_ups),
        }
    }

    /// Logs a reply that has no matching channel: the call is closed, which is normal after the caller disconnected,
    /// or its channel is of another kind and stays open.
    fn unmatched_reply(&mut self, call: CallId, reply: Option<ReplySender>) {
        match reply {
            Some(reply) => {
                log::error!("reply to call {} is of the wrong kind; dropping it", call.0);
                self.pending_calls.insert(call, reply);
            }
            None => log::debug!("call {} is closed; dropping its reply", call.0),
        }
    }
}

impl xtra::Actor for HostActor {
    type Stop = ();

    async fn stopped(self) {}
}

/// Queued inputs, each with an optional channel that signals that it is handled.
type InputQueue = Mutex<VecDeque<(Input, Option<oneshot::Sender<()>>)>>;

/// Wakes the actor to drain the input queue.
struct WakeUp(Arc<InputQueue>);

impl Handler<WakeUp> for HostActor {
    type Return = ();

    async fn handle(&mut self, WakeUp(queue): WakeUp, _: &mut Context<Self>) {
        let inputs = std::mem::take(&mut *lock(&queue));
        for (input, handled) in inputs {
            self.handle_input(input);
            if let Some(handled) = handled {
                let _ = handled.send(());
            }
        }
    }
}

fn lock(queue: &InputQueue) -> MutexGuard<'_, VecDeque<(Input, Option<oneshot::Sender<()>>)>> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sender of inputs to the host actor, which handles them in the order of sending.
///
/// The mailbox of `xtra` does not keep waiting messages in order. It therefore holds only a wake-up message, and the
/// inputs are kept in a separate queue.
#[derive(Debug, Clone)]
pub struct HostHandle {
    queue: Arc<InputQueue>,
    address: Address<HostActor>,
}

impl HostHandle {
    /// Creates a handle with an empty queue; clones share the queue.
    #[must_use]
    pub fn new(address: Address<HostActor>) -> Self {
        Self { queue: Arc::default(), address }
    }

    /// Queues an input. Returns false if the actor has ended.
    pub fn post(&self, input: Input) -> bool {
        self.enqueue(input, None)
    }

    /// Queues an input and waits until it is handled. Returns false if the actor ends first.
    pub async fn deliver(&self, input: Input) -> bool {
        let (sender, handled) = oneshot::channel();
        self.enqueue(input, Some(sender)) && handled.await.is_ok()
    }

    fn enqueue(&self, input: Input, handled: Option<oneshot::Sender<()>>) -> bool {
        let mut queue = lock(&self.queue);
        let wake_up_pending = !queue.is_empty();
        queue.push_back((input, handled));
        drop(queue);
        let wake_up = || self.address.send(WakeUp(Arc::clone(&self.queue))).detach().now_or_never();
        // A wake-up for an earlier input is still pending and covers this one.
        if wake_up_pending { self.address.is_connected() } else { matches!(wake_up(), Some(Ok(_))) }
    }
}
