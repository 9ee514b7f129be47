//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client of one call a connection.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which blocked threads look whether their server has ended.
const POLL: Duration = Duration::from_millis(25);

/// Whether a server is up. Taking it down closes its listener and its connections, as the end of its process does.
/// Cutting it off leaves them open, and nothing passes in either direction, as in a partition of the network.
#[derive(Debug, Default)]
pub struct Gate {
    up: AtomicBool,
    cut: AtomicBool,
    life: AtomicU64,
}

impl Gate {
    pub fn open() -> Arc<Gate> {
        let gate = Gate::default();
        gate.set_up(true);
        Arc::new(gate)
    }

    pub fn set_up(&self, up: bool) {
        self.life.fetch_add(1, Ordering::SeqCst);
        self.up.store(up, Ordering::SeqCst);
    }

    /// Connections that were open during a cut are dropped at its end: their bytes are lost.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if !cut {
            self.life.fetch_add(1, Ordering::SeqCst);
        }
    }

    pub fn life(&self) -> u64 {
        self.life.load(Ordering::SeqCst)
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Life of the server in which the request arrived.
    pub life: u64,
}

/// Status and body of an answer; `None` closes the connection without one.
pub type Reply = Option<(u16, Vec<u8>)>;
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves `handler` at `address` while `gate` is up.
pub fn serve(address: SocketAddr, gate: Arc<Gate>, handler: Handler) {
    thread::spawn(move || {
        loop {
            if !gate.is_up() {
                thread::sleep(POLL);
                continue;
            }
            let Ok(listener) = TcpListener::bind(address) else {
                thread::sleep(POLL);
                continue;
            };
            listener.set_nonblocking(true).expect("non-blocking listener");
            while gate.is_up() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (gate, handler) = (gate.clone(), handler.clone());
                        thread::spawn(move || drop(serve_connection(stream, &gate, &handler)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    });
}

fn serve_connection(mut stream: TcpStream, gate: &Gate, handler: &Handler) -> io::Result<()> {
    let life = gate.life();
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(POLL))?;
    let mut buffer = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer, gate, life)? else { return Ok(()) };
        let reply = handler(&request);
        while gate.is_cut() && gate.life() == life {
            thread::sleep(POLL);
        }
        let (Some((status, body)), true) = (reply, gate.life() == life) else { return Ok(()) };
        let mut answer = format!("HTTP/1.1 {status} S\r\ncontent-length: {}\r\n", body.len()).into_bytes();
        answer.extend_from_slice(b"content-type: application/json\r\n\r\n");
        answer.extend_from_slice(&body);
        stream.write_all(&answer)?;
    }
}

/// Reads the next request; `None` at the end of the connection or of the server's life.
fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    gate: &Gate,
    life: u64,
) -> io::Result<Option<Request>> {
    let mut chunk = [0; 16 << 10];
    loop {
        if gate.life() != life {
            return Ok(None);
        }
        if !gate.is_cut()
            && let Some((request, length)) = parse_request(buffer, life)
        {
            buffer.drain(..length);
            return Ok(Some(request));
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn parse_request(buffer: &[u8], life: u64) -> Option<(Request, usize)> {
    let head_length = buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..head_length]).into_owned();
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let body = buffer.get(head_length..head_length + length)?.to_vec();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
    let path = path.to_owned();
    Some((Request { method, path, query, headers, body, life }, head_length + length))
}

/// Sends one call; returns status, `Retry-After` and body, or an error if there is no whole answer within `wait`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> io::Result<(u16, Option<u64>, String)> {
    let until = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_nodelay(true)?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request
        .push_str(&format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    let mut chunk = [0; 16 << 10];
    let broken = |text: &str| io::Error::other(text.to_owned());
    loop {
        if let Some(end) = answer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
            let field = |name: &str| {
                let line = head.lines().find_map(|l| l.strip_prefix(name));
                line.and_then(|value| value.trim().parse::<u64>().ok())
            };
            let length = field("content-length:").unwrap_or(0) as usize;
            if answer.len() >= end + 4 + length {
                let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
                let status = status.ok_or_else(|| broken("no status"))?;
                let body = String::from_utf8_lossy(&answer[end + 4..end + 4 + length]).into_owned();
                return Ok((status, field("retry-after:"), body));
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(broken("no answer in time"));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut chunk)? {
            0 => return Err(broken("connection closed without a whole answer")),
            count => answer.extend_from_slice(&chunk[..count]),
        }
    }
}
