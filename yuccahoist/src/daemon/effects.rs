//! I/O of a daemon, as requested by the state machine of its host.

use std::future::Future;
use std::sync::Arc;

use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::PlatformClients;
use crate::actor::{Effects, HostHandle, Input};
use crate::clock::Clock;
use crate::event::{HostAction, HostEvent};
use crate::logging;
use crate::peer::{Outgoing, PeerLinks};
use crate::systems::CallError;
use crate::unit::Timestamp;

/// Starts the I/O on the platform clients and peer links.
pub(super) struct DaemonEffects {
    pub(super) io: Handle,
    pub(super) host: HostHandle,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) platform: PlatformClients,
    /// None after the graceful stop is complete.
    pub(super) links: Option<PeerLinks>,
    pub(super) stopped_sender: Option<oneshot::Sender<()>>,
    pub(super) logs_decisions: bool,
}

impl DaemonEffects {
    fn spawn(&self, event: impl Future<Output = HostEvent> + Send + 'static) {
        let host = self.host.clone();
        self.io.spawn(async move {
            let event = event.await;
            host.post(Input::Event(event));
        });
    }

    fn send(&mut self, action: HostAction, follow_ups: &mut Vec<HostEvent>) {
        let HostAction::Send { to, address, message, until } = action else { return };
        let sent = match &mut self.links {
            Some(links) => links.send(to, address, Outgoing { message, until }),
            None => Err(Box::new(message)),
        };
        if let Err(message) = sent {
            follow_ups.push(HostEvent::PeerNotSent { to, message: *message });
        }
    }

    fn dispatch(&self, action: HostAction) {
        let HostAction::Dispatch { forward, worker, request, bounds, until } = action else { return };
        let backends = Arc::clone(&self.platform.backends);
        let clock = Arc::clone(&self.clock);
        self.spawn(async move {
            let result = match check_deadline("request", &worker, clock.now(), until) {
                Some(error) => Err(error),
                None => backends.call(&worker, &request, bounds).await,
            };
            HostEvent::BackendResult { forward, result }
        });
    }

    fn command(&self, action: HostAction) {
        let HostAction::Command { worker, ticket, command, until } = action else { return };
        let workers = Arc::clone(&self.platform.workers);
        let clock = Arc::clone(&self.clock);
        self.spawn(async move {
            let result = match check_deadline("worker command", &worker, clock.now(), until) {
                Some(error) => Err(error),
                None => workers.command(&worker, command).await,
            };
            HostEvent::CommandResult { worker, ticket, result }
        });
    }

    fn start_log_io(&self, action: HostAction) {
        let log = Arc::clone(&self.platform.log);
        match action {
            HostAction::Read { stream, from, wait } => {
                let clock = Arc::clone(&self.clock);
                self.spawn(async move {
                    let sent_at = clock.now();
                    let result = log.read(stream, from, wait).await;
                    HostEvent::Read { stream, sent_at, result }
                });
            }
            HostAction::Append { stream, seq, record } => self.spawn(async move {
                let result = log.append(stream, record).await;
                HostEvent::Appended { stream, seq, result }
            }),
            _ => {}
        }
    }
}

/// Checks the `until` time of an action; called immediately before the write. Returns an error if it has passed.
fn check_deadline(
    step: &'static str,
    peer: &impl ToString,
    now: Timestamp,
    until: Timestamp,
) -> Option<CallError> {
    (now > until).then(|| CallError::NotSent {
        step,
        peer: peer.to_string(),
        reason: format!("its time limit {until} has passed at {now}"),
    })
}

impl Effects for DaemonEffects {
    fn start(&mut self, _: Timestamp, action: HostAction, follow_ups: &mut Vec<HostEvent>) {
        match action {
            HostAction::Send { .. } => self.send(action, follow_ups),
            HostAction::Dispatch { .. } => self.dispatch(action),
            HostAction::Command { .. } => self.command(action),
            HostAction::Read { .. } | HostAction::Append { .. } => self.start_log_io(action),
            HostAction::ReplaceWorkerAddresses(workers) => self.platform.table.replace(workers),
            HostAction::Decision(decision) if self.logs_decisions => logging::log_decision(&decision),
            HostAction::Decision(_) => {}
            HostAction::Stopped => {
                // Closes the connections after the queued messages are sent.
                self.links = None;
                if let Some(sender) = self.stopped_sender.take() {
                    let _ = sender.send(());
                }
            }
            HostAction::Respond { .. } | HostAction::JobReply { .. } | HostAction::StatusReply { .. } => {
                log::error!("reply to a call was passed to the I/O tasks; dropping it");
            }
        }
    }
}
