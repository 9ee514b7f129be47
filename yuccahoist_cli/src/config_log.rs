//! Operator's client of the `config` stream.

use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use yuccahoist::clock::{Clock, MonotonicClock};
use yuccahoist::config::{ConfigEffect, ConfigFold, ConfigRecord, Edit, EditOutcome};
use yuccahoist::duty::Duty;
use yuccahoist::id::{Incarnation, Offset};
use yuccahoist::stream::{StreamAction, StreamClient, StreamEvent, StreamName, StreamSettings};
use yuccahoist::systems::{HttpLog, LogService};

use crate::error::CommandError;

/// Stream of this client.
const STREAM: StreamName = StreamName::Config;
/// Time between ticks.
const TICK: Duration = Duration::from_millis(10);
/// Retention for which a client is set up that must not write snapshots; hosts write them.
const NO_SNAPSHOTS: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);

type Event = StreamEvent<ConfigRecord>;
type Action = StreamAction<ConfigEffect>;

/// Client of the `config` stream at an address, with a one-time producer number.
pub struct ConfigLog {
    address: SocketAddr,
    log: HttpLog,
    client: StreamClient<ConfigFold>,
    clock: MonotonicClock,
    rng: ChaCha8Rng,
    sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
    deadline: Instant,
}

impl ConfigLog {
    /// Client that has read all records.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer in time, or has lost records without a snapshot.
    pub async fn open(address: SocketAddr, timeout: u64) -> Result<Self, CommandError> {
        let log = HttpLog::new(address).map_err(|error| failed(address, &error.to_string()))?;
        let retention = NO_SNAPSHOTS;
        let settings = StreamSettings { retention, snapshot_delay: retention, ..StreamSettings::default() };
        let producer = Incarnation(rand::random());
        let client = StreamClient::new(STREAM, producer, ConfigFold::default(), settings);
        let (sender, events) = mpsc::unbounded_channel();
        let mut opened = Self {
            address,
            log,
            client,
            clock: MonotonicClock::new(),
            rng: rand::make_rng(),
            sender,
            events,
            deadline: Instant::now() + Duration::from_secs(timeout),
        };
        opened.until(|action| matches!(action, StreamAction::CaughtUp { .. }).then_some(())).await?;
        Ok(opened)
    }

    /// State of the configuration.
    pub const fn fold(&self) -> &ConfigFold {
        self.client.fold()
    }

    /// Appends an edit and waits until it is decided.
    ///
    /// # Errors
    ///
    /// Fails when the log does not take the edit, or no verdict appears in time.
    pub async fn publish(&mut self, edit: Edit) -> Result<(Offset, EditOutcome), CommandError> {
        let record = ConfigRecord::Edit(Box::new(edit));
        self.handle(StreamEvent::Append { ticket: 1, record });
        let address = self.address;
        let appended = self.until(|action| match action {
            StreamAction::Committed { offset, .. } => Some(Ok(*offset)),
            StreamAction::Failed { .. } => Some(Err(())),
            _ => None,
        });
        let maybe = |_| failed(address, "no answer in time; the edit may be appended, see \"history\"");
        let offset = match appended.await.map_err(maybe)? {
            Ok(offset) => offset,
            Err(()) => return Err(failed(address, "the edit was not appended")),
        };
        // A conflict is decided by the edit itself, before it is committed.
        while self.fold().outcome(offset).is_none() {
            let news = self.until(|action| matches!(action, StreamAction::Effect(_)).then_some(()));
            if news.await.is_err() {
                return Err(CommandError::Undecided { edit: offset });
            }
        }
        match self.fold().outcome(offset) {
            Some(outcome) => Ok((offset, outcome.clone())),
            None => Err(CommandError::Undecided { edit: offset }),
        }
    }

    /// Runs until an action gives a value.
    async fn until<T>(&mut self, mut value: impl FnMut(&Action) -> Option<T>) -> Result<T, CommandError> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reason = "no answer in time";
        loop {
            let next = async {
                tokio::select! {
                    event = self.events.recv() => event.unwrap_or(StreamEvent::Tick),
                    _ = ticks.tick() => StreamEvent::Tick,
                }
            };
            let Ok(event) = timeout_at(self.deadline, next).await else {
                return Err(failed(self.address, reason));
            };
            let actions = self.handle(event);
            let lost = actions.iter().any(|action| matches!(action, StreamAction::NeedSnapshot));
            if lost && self.client.available() {
                reason = "records were truncated and no usable snapshot is in the log";
            }
            if let Some(value) = actions.iter().find_map(&mut value) {
                return Ok(value);
            }
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.client.handle(self.clock.now(), event, &mut self.rng, &mut out);
        for action in &out {
            self.start(action);
        }
        out
    }

    /// Starts the call that an action asks for.
    fn start(&self, action: &Action) {
        let (log, sender) = (self.log.clone(), self.sender.clone());
        match action {
            StreamAction::SendRead { from, wait } => {
                let (asked, from, wait) = (self.clock.now(), *from, *wait);
                tokio::spawn(async move {
                    let result = log.read(STREAM, from, wait).await;
                    // The receiver is gone once the command has ended.
                    let _ = sender.send(StreamEvent::Read { asked, result });
                });
            }
            StreamAction::SendAppend { seq, record } => {
                let (seq, record) = (*seq, record.clone());
                tokio::spawn(async move {
                    let result = log.append(STREAM, record).await;
                    let _ = sender.send(StreamEvent::Appended { seq, result });
                });
            }
            _ => {}
        }
    }
}

fn failed(address: SocketAddr, reason: &str) -> CommandError {
    CommandError::Call { step: "use log", peer: address.to_string(), reason: reason.into() }
}
