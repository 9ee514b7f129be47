//! Client of the `config` stream for the operator commands.

use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use yuccahoist::clock::{Clock, MonotonicClock};
use yuccahoist::config::{ConfigEffect, ConfigFold, ConfigRecord, Edit, EditOutcome};
use yuccahoist::id::{Incarnation, Offset};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::{StreamAction, StreamClient, StreamEvent, StreamName, StreamSettings};
use yuccahoist::systems::{HttpLog, LogService};

use crate::error::CommandError;

const CONFIG_STREAM: StreamName = StreamName::Config;
/// Interval at which the stream client checks for due retries.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Retention long enough that no snapshot ever becomes due: hosts write the snapshots, a command must not.
const SNAPSHOT_FREE_RETENTION: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);

type Event = StreamEvent<ConfigRecord>;
type Action = StreamAction<ConfigEffect>;

/// Client of the `config` stream of one log service, with a random producer id for the lifetime of the command.
pub struct ConfigLog {
    address: SocketAddr,
    log: HttpLog,
    client: StreamClient<ConfigFold>,
    clock: MonotonicClock,
    rng: ChaCha8Rng,
    sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
    /// Deadline of the whole command.
    deadline: Instant,
}

impl ConfigLog {
    /// Connects to the log service and replays the stream to its end; `timeout` is in seconds and covers all later calls.
    ///
    /// # Errors
    ///
    /// Fails when the log service does not answer before the deadline, or has truncated records and holds no usable
    /// snapshot.
    pub async fn open(address: SocketAddr, timeout: u64) -> Result<Self, CommandError> {
        let log = HttpLog::new(address).map_err(|error| log_error(address, &error.to_string()))?;
        let retention = SNAPSHOT_FREE_RETENTION;
        let settings = StreamSettings { retention, snapshot_delay: retention, ..StreamSettings::default() };
        let producer = Incarnation(rand::random());
        let client = StreamClient::new(CONFIG_STREAM, producer, ConfigFold::default(), settings);
        let (sender, events) = mpsc::unbounded_channel();
        let mut config_log = Self {
            address,
            log,
            client,
            clock: MonotonicClock::new(),
            rng: rand::make_rng(),
            sender,
            events,
            deadline: Instant::now() + Duration::from_secs(timeout),
        };
        config_log.run_until(|action| matches!(action, StreamAction::CaughtUp { .. }).then_some(())).await?;
        Ok(config_log)
    }

    /// Returns the configuration state, replayed up to the last record that was read.
    pub const fn fold(&self) -> &ConfigFold {
        self.client.fold()
    }

    /// Appends an edit and waits for its outcome.
    ///
    /// # Errors
    ///
    /// Fails when the log service does not append the edit, or no verdict appears before the deadline.
    pub async fn publish(&mut self, edit: Edit) -> Result<(Offset, EditOutcome), CommandError> {
        let record = ConfigRecord::Edit(Box::new(edit));
        self.handle(StreamEvent::Append { ticket: 1, record });
        let address = self.address;
        let appended = self.run_until(|action| match action {
            StreamAction::Committed { offset, .. } => Some(Ok(*offset)),
            StreamAction::Failed { .. } => Some(Err(())),
            _ => None,
        });
        let undetermined = |_| {
            log_error(address, "no answer in time; the edit may have been appended, check with \"history\"")
        };
        let offset = match appended.await.map_err(undetermined)? {
            Ok(offset) => offset,
            Err(()) => return Err(log_error(address, "the edit was not appended")),
        };
        // A conflict needs no verdict: its outcome is known by the time the edit is committed.
        while self.fold().outcome(offset).is_none() {
            let effect = self.run_until(|action| matches!(action, StreamAction::Effect(_)).then_some(()));
            if effect.await.is_err() {
                return Err(CommandError::Undecided { edit: offset });
            }
        }
        match self.fold().outcome(offset) {
            Some(outcome) => Ok((offset, outcome.clone())),
            None => Err(CommandError::Undecided { edit: offset }),
        }
    }

    /// Runs the stream client until `select` returns a value for an action.
    async fn run_until<T>(
        &mut self,
        mut select: impl FnMut(&Action) -> Option<T>,
    ) -> Result<T, CommandError> {
        let mut ticks = interval(TICK_INTERVAL);
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
                return Err(log_error(self.address, reason));
            };
            let actions = self.handle(event);
            let needs_snapshot = actions.iter().any(|action| matches!(action, StreamAction::RequestSnapshot));
            if needs_snapshot && self.client.is_available() {
                reason = "records were truncated and no usable snapshot is in the log";
            }
            if let Some(value) = actions.iter().find_map(&mut select) {
                return Ok(value);
            }
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.client.handle(self.clock.now(), event, &mut self.rng, &mut actions);
        for action in &actions {
            self.spawn_call(action);
        }
        actions
    }

    /// Spawns the log service call of an action; its result comes back as an event.
    fn spawn_call(&self, action: &Action) {
        let (log, sender) = (self.log.clone(), self.sender.clone());
        match action {
            StreamAction::SendRead { from, wait } => {
                let (sent_at, from, wait) = (self.clock.now(), *from, *wait);
                tokio::spawn(async move {
                    let result = log.read(CONFIG_STREAM, from, wait).await;
                    // Fails only when the command has ended and dropped the receiver.
                    let _ = sender.send(StreamEvent::Read { sent_at, result });
                });
            }
            StreamAction::SendAppend { seq, record } => {
                let (seq, record) = (*seq, record.clone());
                tokio::spawn(async move {
                    let result = log.append(CONFIG_STREAM, record).await;
                    let _ = sender.send(StreamEvent::Appended { seq, result });
                });
            }
            _ => {}
        }
    }
}

fn log_error(address: SocketAddr, reason: &str) -> CommandError {
    CommandError::Call { step: "access log service", peer: address.to_string(), reason: reason.into() }
}
