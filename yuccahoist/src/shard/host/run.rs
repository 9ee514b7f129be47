//! Tasks of a host and its main loop.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::frame::split;
use super::roster::Roster;
use super::{HostHandle, HostSettings, HostState, HostStatus, INBOX, Input, Ports, Question};
use crate::shard::desk::Desk;
use crate::shard::id::{Epoch, StepKey};
use crate::shard::ports::{Advisor, Store};
use crate::unit::Timestamp;

/// How long one call waits for an announcement.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(1_500); // A connection that went silent is noticed after it.
/// Pause after the store failed.
const STORE_PAUSE: Duration = Duration::from_millis(250); // Bounds the calls of a host during an outage to four a second.
/// Longest pause of the main loop.
const TICK: Duration = Duration::from_millis(100); // Small against every time limit of a host.
/// Inputs handled in one go before time is read again.
const INPUTS: usize = 64; // Bounds how stale the time of a batch of inputs can be.

/// Starts a host; it runs until the handle and its tasks are dropped.
///
/// # Errors
///
/// Fails when the address for other hosts can't be bound.
pub async fn start(settings: HostSettings, ports: Ports) -> io::Result<HostHandle> {
    let listener = TcpListener::bind(settings.address).await?;
    let (inbox, inputs) = mpsc::channel(INBOX);
    let (status, watched) = watch::channel(HostStatus::default());
    let (advice, questions) = mpsc::unbounded_channel();
    let mut rng = rand::rngs::StdRng::from_rng(&mut rand::rng());
    let numbers = rng.random::<u32>().into();
    let state = HostState {
        settings,
        inbox: inbox.clone(),
        status,
        rng,
        pending: BTreeMap::new(),
        numbers,
        announced: None,
        epoch: Epoch::default(),
        owner: None,
        appends: None,
        store: false,
        links: BTreeMap::new(),
        link: None,
        connecting: false,
        connection: 0,
        hosts: Vec::new(),
        roster: Roster::default(),
        probing: false,
        doubted: false,
        connected: Timestamp::ZERO,
        campaigning: false,
        campaign_after: Timestamp::ZERO,
        doubts: 0,
        cut_since: None,
        desk: Desk::default(),
        advice,
        stopping: None,
        leaving: false,
        ports: ports.clone(),
    };
    tokio::spawn(accept(listener, inbox.clone()));
    tokio::spawn(watch_announcements(ports.store, inbox.clone()));
    tokio::spawn(answer_questions(ports.advisor, questions, inbox.clone()));
    tokio::spawn(run(state, inputs));
    Ok(HostHandle { inbox, status: watched })
}

async fn run(mut state: HostState, mut inputs: mpsc::Receiver<Input>) {
    let mut batch = Vec::new();
    loop {
        let now = state.ports.clock.now();
        let due = state.owner.as_ref().map_or(TICK, |o| o.due(now).since(now)).min(TICK);
        if let Ok(0) = tokio::time::timeout(due, inputs.recv_many(&mut batch, INPUTS)).await {
            return;
        }
        let now = state.ports.clock.now();
        for input in batch.drain(..) {
            state.handle(now, input);
        }
        state.tick(now);
    }
}

async fn accept(listener: TcpListener, inbox: mpsc::Sender<Input>) {
    let mut number = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a host failed: {error}");
                tokio::time::sleep(STORE_PAUSE).await;
                continue;
            }
        };
        number += 1;
        let (link, inbox) = (number, inbox.clone());
        let (mut reader, sender) = split(stream);
        tokio::spawn(async move {
            if inbox.send(Input::Accepted(link, sender)).await.is_err() {
                return;
            }
            while let Ok(Some(frame)) = reader.next().await {
                if inbox.send(Input::Inbound(link, frame)).await.is_err() {
                    return;
                }
            }
            if inbox.send(Input::InboundClosed(link)).await.is_err() {
                log::debug!("the host has ended");
            }
        });
    }
}

/// Follows the announcements of owners; also tells whether the store answers.
async fn watch_announcements(store: Arc<dyn Store>, inbox: mpsc::Sender<Input>) {
    loop {
        let result = store.announced(ANNOUNCEMENT_WAIT).await;
        let failed = result.is_err();
        let input = match result {
            Ok(Some(announcement)) => Input::Announced(announcement),
            Ok(None) => Input::StoreState(true),
            Err(error) => {
                log::debug!("following the owner failed: {error}");
                Input::StoreState(false)
            }
        };
        if inbox.send(input).await.is_err() {
            return;
        }
        if failed {
            tokio::time::sleep(STORE_PAUSE).await;
        }
    }
}

/// Calls the recommendation service, one call at a time, as it handles one call of a host at a time.
async fn answer_questions(
    advisor: Arc<dyn Advisor>,
    mut questions: mpsc::UnboundedReceiver<(Question, StepKey, Vec<Arc<str>>)>,
    inbox: mpsc::Sender<Input>,
) {
    while let Some((question, step, workers)) = questions.recv().await {
        let good = advisor.advise(step, &workers).await;
        if inbox.send(Input::Advised(question, good)).await.is_err() {
            return;
        }
    }
}
