//! Caller and load generator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinHandle;
use uuid::Uuid;

/// Time beyond the deadline for which a caller waits for the reply.
const REPLY_GRACE_PERIOD: Duration = Duration::from_secs(5);
/// Upper bound of the requests that one loop of a load sends.
const MAX_LOOP_REQUESTS: usize = 5_000;

/// Returns a new request id, a UUID of version 7: hosts read its time.
pub fn new_id() -> String {
    Uuid::now_v7().to_string()
}

/// Request as a caller sends it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id; a retry keeps it.
    pub id: String,
    /// Request class, unchecked.
    pub class: &'static str,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Deadline after the arrival at the host, milliseconds.
    pub deadline: u64,
    /// Body; the backend server echoes it.
    pub body: String,
}

impl Call {
    /// Creates a request with a new id and `service_time` at the backend server.
    pub fn new(idempotent: bool, service_time: Duration) -> Self {
        let id = new_id();
        let body = format!("time_us={};{id}", service_time.as_micros());
        Self { id, class: "batch", idempotent, deadline: 5_000, body }
    }
}

/// Reply of an entry host.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Value of the outcome header; empty when it is missing.
    pub outcome: String,
    /// Response body.
    pub body: String,
}

/// Request with its reply or the connection error.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Request as sent.
    pub call: Call,
    /// Reply, or the debug text of the connection error.
    pub result: Result<Reply, String>,
}

impl Exchange {
    /// Whether a reply arrived with this outcome.
    pub fn has_outcome(&self, outcome: &str) -> bool {
        self.result.as_ref().is_ok_and(|reply| reply.outcome == outcome)
    }
}

/// Caller that opens a connection for each request, as behind a balancer without affinity.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    pub fn new() -> Self {
        let builder = Client::builder().no_proxy().pool_max_idle_per_host(0);
        Self { client: builder.build().expect("HTTP client is created") }
    }

    /// Returns the HTTP client, for calls other than service requests.
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Sends a request and waits for its reply, at most until [`REPLY_GRACE_PERIOD`] after its deadline.
    pub async fn send(&self, host: SocketAddr, call: &Call) -> Exchange {
        let request = self.client.post(format!("http://{host}/v1/services/echo"));
        let response = request
            .header("yuccahoist-request-id", &call.id)
            .header("yuccahoist-class", call.class)
            .header("yuccahoist-idempotent", call.idempotent.to_string())
            .header("yuccahoist-deadline-ms", call.deadline)
            .header("yuccahoist-team", "blue")
            .timeout(Duration::from_millis(call.deadline) + REPLY_GRACE_PERIOD)
            .body(call.body.clone())
            .send()
            .await;
        let result = match response {
            Ok(response) => {
                let status = response.status().as_u16();
                let outcome = response.headers().get("yuccahoist-outcome");
                let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
                response.text().await.map(|body| Reply { status, outcome, body })
            }
            Err(error) => Err(error),
        };
        Exchange { call: call.clone(), result: result.map_err(|error| format!("{error:?}")) }
    }
}

/// Closed-loop load: each loop sends one request at a time, alternating between idempotent and non-idempotent.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    loops: Vec<JoinHandle<Vec<Exchange>>>,
}

impl Load {
    /// Starts `loops` loops for each host; `service_time` is that of each request.
    pub fn start(caller: &Caller, hosts: &[SocketAddr], loops: usize, service_time: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |host: SocketAddr| {
            let (caller, stop) = (caller.clone(), Arc::clone(&stop));
            tokio::spawn(async move {
                let mut exchanges = Vec::new();
                while !stop.load(Ordering::Relaxed) && exchanges.len() < MAX_LOOP_REQUESTS {
                    let idempotent = exchanges.len() % 2 == 0;
                    let exchange = caller.send(host, &Call::new(idempotent, service_time)).await;
                    if exchange.result.is_err() || exchange.has_outcome("not-run") {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    exchanges.push(exchange);
                }
                exchanges
            })
        };
        let loops = hosts.iter().flat_map(|host| (0..loops).map(move |_| *host)).map(start).collect();
        Self { stop, loops }
    }

    /// Stops the loops and waits for the replies to the requests in flight.
    pub async fn finish(self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        let mut exchanges = Vec::new();
        for task in self.loops {
            exchanges.extend(task.await.expect("loop does not panic"));
        }
        exchanges
    }
}
