//! Background tasks of a host, and its main loop.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::delegation::Delegation;
use super::frame::split;
use super::host_directory::HostDirectory;
use super::{HostHandle, HostSettings, HostState, HostStatus, INBOX_CAPACITY, Input, Ports, RequestOrigin};
use crate::shard::id::{Epoch, StepKey};
use crate::shard::ports::{RecommendationService, Store};
use crate::shard::request_queue::RequestQueue;
use crate::unit::Timestamp;

/// How long one read waits for an announcement. A connection to the store that has become silent is detected after it.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after a failed read of announcements or a failed accept; at most four calls a second during an outage.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest pause of the main loop; small against every timeout of a host.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Most inputs that are handled with one reading of the clock; limits how stale that reading can be.
pub(super) const INPUT_BATCH_SIZE: usize = 64;

/// Starts the tasks of a host; they run until the runtime is shut down.
///
/// # Errors
///
/// Returns an error when the address for other hosts can't be bound.
pub async fn start(settings: HostSettings, ports: Ports) -> io::Result<HostHandle> {
    let listener = TcpListener::bind(settings.address).await?;
    let (inbox, inputs) = mpsc::channel(INBOX_CAPACITY);
    let (status, watched) = watch::channel(HostStatus::default());
    let (request_sender, service_requests) = mpsc::unbounded_channel();
    let mut rng = rand::rngs::StdRng::from_rng(&mut rand::rng());
    let last_call = rng.random::<u32>().into();
    let state = HostState {
        settings,
        inbox: inbox.clone(),
        status,
        rng,
        pending: BTreeMap::new(),
        last_call,
        announcement: None,
        epoch: Epoch::default(),
        owner: None,
        appender: None,
        workspaces: Arc::default(),
        store_up: false,
        peers: BTreeMap::new(),
        owner_link: None,
        connecting: false,
        connection_id: 0,
        known_hosts: Vec::new(),
        host_directory: HostDirectory::default(),
        probing: false,
        outage_sent: false,
        connect_started: Timestamp::ZERO,
        campaigning: false,
        campaign_after: Timestamp::ZERO,
        failed_campaigns: 0,
        ownerless_since: None,
        request_queue: RequestQueue::default(),
        delegation: Delegation::default(),
        request_sender,
        release_done: None,
        shutting_down: false,
        ports: ports.clone(),
    };
    tokio::spawn(accept(listener, inbox.clone()));
    tokio::spawn(watch_announcements(ports.store, inbox.clone()));
    tokio::spawn(make_requests(ports.recommendation_service, service_requests, inbox.clone()));
    tokio::spawn(run(state, inputs));
    Ok(HostHandle { inbox, status: watched })
}

async fn run(mut state: HostState, mut inputs: mpsc::Receiver<Input>) {
    let mut batch = Vec::new();
    loop {
        let now = state.ports.clock.now();
        let due = state
            .owner
            .as_ref()
            .map_or(MAX_TICK_INTERVAL, |o| o.next_tick(now).since(now))
            .min(MAX_TICK_INTERVAL);
        if let Ok(0) = tokio::time::timeout(due, inputs.recv_many(&mut batch, INPUT_BATCH_SIZE)).await {
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
                log::warn!("failed to accept a host connection: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        number += 1;
        let (link, inbox) = (number, inbox.clone());
        let (mut reader, sender) = split(stream);
        tokio::spawn(async move {
            if inbox.send(Input::PeerConnected(link, sender)).await.is_err() {
                return;
            }
            while let Ok(Some(frame)) = reader.next().await {
                if inbox.send(Input::PeerFrame(link, frame)).await.is_err() {
                    return;
                }
            }
            if inbox.send(Input::PeerClosed(link)).await.is_err() {
                log::debug!("connection {link} of a host closed after the main loop ended");
            }
        });
    }
}

/// Reads the announcements of owners, and reports whether the store answers.
async fn watch_announcements(store: Arc<dyn Store>, inbox: mpsc::Sender<Input>) {
    loop {
        let result = store.next_announcement(ANNOUNCEMENT_WAIT).await;
        let failed = result.is_err();
        let input = match result {
            Ok(Some(announcement)) => Input::Announced(announcement),
            Ok(None) => Input::StoreState(true),
            Err(error) => {
                log::debug!("failed to read the announcements of owners: {error}");
                Input::StoreState(false)
            }
        };
        if inbox.send(input).await.is_err() {
            return;
        }
        if failed {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Calls the recommendation service, one call at a time, since the service handles only one call of a host at a time.
async fn make_requests(
    recommendation_service: Arc<dyn RecommendationService>,
    mut requests: mpsc::UnboundedReceiver<(RequestOrigin, StepKey, Vec<Arc<str>>)>,
    inbox: mpsc::Sender<Input>,
) {
    while let Some((origin, step, workers)) = requests.recv().await {
        let tickets = recommendation_service.recommend(step, &workers).await;
        if inbox.send(Input::Recommended(origin, tickets)).await.is_err() {
            return;
        }
    }
}
