//! Callers and their load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinHandle;
use uuid::Uuid;

/// Time after which a caller gives up, beyond its deadline.
const GRACE: Duration = Duration::from_secs(5);
/// Requests of one loop of a load at most.
const MOST: usize = 5_000;

/// New request id.
pub fn new_id() -> String {
    Uuid::now_v7().to_string()
}

/// Request as a caller sends it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id.
    pub id: String,
    /// Class.
    pub class: &'static str,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Deadline, milliseconds.
    pub deadline: u64,
    /// Body; the backend server answers with it.
    pub body: String,
}

impl Call {
    /// Request with a new id that runs for `time`.
    pub fn new(idempotent: bool, time: Duration) -> Self {
        let id = new_id();
        let body = format!("time_us={};{id}", time.as_micros());
        Self { id, class: "batch", idempotent, deadline: 5_000, body }
    }
}

/// Reply of an entry host.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Outcome, empty when the header is missing.
    pub outcome: String,
    /// Body.
    pub body: String,
}

/// Request with its reply, or with the error of the connection.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Request.
    pub call: Call,
    /// Reply.
    pub result: Result<Reply, String>,
}

impl Sent {
    /// Whether the outcome is the one named.
    pub fn is(&self, outcome: &str) -> bool {
        self.result.as_ref().is_ok_and(|reply| reply.outcome == outcome)
    }
}

/// Caller with a connection for each request, as behind a balancer without affinity.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    pub fn new() -> Self {
        let builder = Client::builder().no_proxy().pool_max_idle_per_host(0);
        Self { client: builder.build().expect("client is made") }
    }

    /// HTTP client.
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Sends a request and waits for its reply.
    pub async fn send(&self, host: SocketAddr, call: &Call) -> Sent {
        let sent = self.client.post(format!("http://{host}/v1/services/echo"));
        let sent = sent
            .header("yuccahoist-request-id", &call.id)
            .header("yuccahoist-class", call.class)
            .header("yuccahoist-idempotent", call.idempotent.to_string())
            .header("yuccahoist-deadline-ms", call.deadline)
            .header("yuccahoist-team", "blue")
            .timeout(Duration::from_millis(call.deadline) + GRACE)
            .body(call.body.clone())
            .send()
            .await;
        let result = match sent {
            Ok(response) => {
                let status = response.status().as_u16();
                let outcome = response.headers().get("yuccahoist-outcome");
                let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
                response.text().await.map(|body| Reply { status, outcome, body })
            }
            Err(error) => Err(error),
        };
        Sent { call: call.clone(), result: result.map_err(|error| format!("{error:?}")) }
    }
}

/// Loops that send requests one after another, every second one non-idempotent.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    loops: Vec<JoinHandle<Vec<Sent>>>,
}

impl Load {
    /// Starts `loops` loops at each host; each request runs for `time`.
    pub fn start(caller: &Caller, hosts: &[SocketAddr], loops: usize, time: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |host: SocketAddr| {
            let (caller, stop) = (caller.clone(), Arc::clone(&stop));
            tokio::spawn(async move {
                let mut sent = Vec::new();
                while !stop.load(Ordering::Relaxed) && sent.len() < MOST {
                    let idempotent = sent.len() % 2 == 0;
                    let one = caller.send(host, &Call::new(idempotent, time)).await;
                    if one.result.is_err() || one.is("not-run") {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    sent.push(one);
                }
                sent
            })
        };
        let loops = hosts.iter().flat_map(|host| (0..loops).map(move |_| *host)).map(start).collect();
        Self { stop, loops }
    }

    /// Sends no more requests and waits for the replies to those in progress.
    pub async fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        let mut sent = Vec::new();
        for one in self.loops {
            sent.extend(one.await.expect("loop does not panic"));
        }
        sent
    }
}
