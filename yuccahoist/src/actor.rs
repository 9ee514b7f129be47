//! Host actor: owns the state machine of the host and the calls that wait for it.
//!
//! I/O tasks send it events. It hands each event to the state machine and the resulting actions to an [`Effects`]
//! object, which starts the I/O and never waits for it. The queue has no limit of its own; what enters it is limited
//! where it arises: open calls by the caller interface, messages by the window of each peer connection, results of
//! platform calls by the calls that the state machine asked for.

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

/// Carries out what the state machine asks for, apart from answers to calls.
pub trait Effects: Send {
    /// Starts an action without waiting for it. Events that follow at once go to `back`.
    fn carry_out(&mut self, now: Timestamp, action: HostAction, back: &mut Vec<HostEvent>);
}

/// Where the answer to an open call goes.
#[derive(Debug)]
pub enum Reply {
    /// Request of a service.
    Request(oneshot::Sender<Outcome>),
    /// Job call.
    Job(oneshot::Sender<JobReply>),
    /// Status call.
    Status(oneshot::Sender<Box<HostStatus>>),
}

/// Message to the host actor.
#[derive(Debug)]
pub enum Input {
    /// One event.
    Event(HostEvent),
    /// Events in order.
    Events(Vec<HostEvent>),
    /// Call with the place of its answer.
    Open {
        /// Open call.
        call: CallId,
        /// Where the answer goes.
        reply: Reply,
        /// Event of the call.
        event: HostEvent,
    },
}

/// Actor that owns the state machine.
pub struct HostActor {
    machine: HostMachine,
    clock: Arc<dyn Clock>,
    rng: ChaCha8Rng,
    effects: Box<dyn Effects>,
    metrics: Metrics,
    calls: BTreeMap<CallId, Reply>,
    actions: Vec<HostAction>,
    back: Vec<HostEvent>,
}

impl fmt::Debug for HostActor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostActor").field("calls", &self.calls.len()).finish_non_exhaustive()
    }
}

impl HostActor {
    /// Actor with a random seed.
    #[must_use]
    pub fn new(
        machine: HostMachine,
        clock: Arc<dyn Clock>,
        effects: Box<dyn Effects>,
        metrics: Metrics,
    ) -> Self {
        let rng = rand::make_rng();
        let (calls, actions, back) = Default::default();
        Self { machine, clock, rng, effects, metrics, calls, actions, back }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Events(events) => events.into_iter().for_each(|event| self.handle_event(event)),
            Input::Open { call, reply, event } => {
                self.calls.insert(call, reply);
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: HostEvent) {
        self.step(event);
        while !self.back.is_empty() {
            for event in std::mem::take(&mut self.back) {
                self.step(event);
            }
        }
    }

    fn step(&mut self, event: HostEvent) {
        let now = self.clock.now();
        self.metrics.event(&event);
        match &event {
            HostEvent::Hangup { call } => drop(self.calls.remove(call)),
            HostEvent::Tick { .. } => self.metrics.tick(now, self.calls.len()),
            _ => {}
        }
        self.machine.handle(now, event, &mut self.rng, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
        self.metrics.handled(self.clock.now().since(now));
    }

    fn act(&mut self, now: Timestamp, action: HostAction) {
        self.metrics.action(&action);
        match action {
            HostAction::Respond { call, outcome, .. } => match self.calls.remove(&call) {
                Some(Reply::Request(reply)) => drop(reply.send(outcome)),
                other => self.unexpected(call, other),
            },
            HostAction::JobReply { call, reply: body } => match self.calls.remove(&call) {
                Some(Reply::Job(reply)) => drop(reply.send(body)),
                other => self.unexpected(call, other),
            },
            HostAction::StatusReply { call, status } => match self.calls.remove(&call) {
                Some(Reply::Status(reply)) => drop(reply.send(status)),
                other => self.unexpected(call, other),
            },
            other => self.effects.carry_out(now, other, &mut self.back),
        }
    }

    /// Answer to a call that is not open, which is usual after a hangup, or an answer of the wrong kind.
    fn unexpected(&mut self, call: CallId, reply: Option<Reply>) {
        match reply {
            Some(reply) => {
                log::error!("call {} got an answer of another kind", call.0);
                self.calls.insert(call, reply);
            }
            None => log::debug!("call {} is closed; its answer is dropped", call.0),
        }
    }
}

impl xtra::Actor for HostActor {
    type Stop = ();

    async fn stopped(self) {}
}

/// Inputs that wait for the actor, each with the place of its confirmation.
type Queue = Mutex<VecDeque<(Input, Option<oneshot::Sender<()>>)>>;

/// Tells the actor that inputs wait.
struct Wake(Arc<Queue>);

impl Handler<Wake> for HostActor {
    type Return = ();

    async fn handle(&mut self, Wake(queue): Wake, _: &mut Context<Self>) {
        let inputs = std::mem::take(&mut *lock(&queue));
        for (input, handled) in inputs {
            self.handle_input(input);
            if let Some(handled) = handled {
                let _ = handled.send(());
            }
        }
    }
}

fn lock(queue: &Queue) -> MutexGuard<'_, VecDeque<(Input, Option<oneshot::Sender<()>>)>> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sending end of the host actor's inputs, which are handled in the order of sending.
///
/// The mailbox of `xtra` gives no order to waiting messages. It therefore holds only a wake-up, and the inputs wait in a
/// queue beside it.
#[derive(Debug, Clone)]
pub struct HostHandle {
    queue: Arc<Queue>,
    address: Address<HostActor>,
}

impl HostHandle {
    /// Handle of the actor at an address.
    #[must_use]
    pub fn new(address: Address<HostActor>) -> Self {
        Self { queue: Arc::default(), address }
    }

    /// Queues an input. Returns whether the actor is alive.
    pub fn post(&self, input: Input) -> bool {
        self.push(input, None)
    }

    /// Queues an input and waits until it is handled. Returns whether it was.
    pub async fn deliver(&self, input: Input) -> bool {
        let (sender, handled) = oneshot::channel();
        self.push(input, Some(sender)) && handled.await.is_ok()
    }

    fn push(&self, input: Input, handled: Option<oneshot::Sender<()>>) -> bool {
        let mut queue = lock(&self.queue);
        let waiting = !queue.is_empty();
        queue.push_back((input, handled));
        drop(queue);
        // The wake-up of the earlier input covers this one, too.
        let alive = || self.address.send(Wake(Arc::clone(&self.queue))).detach().now_or_never();
        if waiting { self.address.is_connected() } else { matches!(alive(), Some(Ok(_))) }
    }
}
