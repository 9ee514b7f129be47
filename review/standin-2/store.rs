//! The platform's store: a log with keyed topics, each of one partition, as the pages describe it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};

/// Time that the store takes for a call, and in addition for an append (`appendMs`).
const CALL_TIME: Duration = Duration::from_millis(4);
const APPEND_TIME: Duration = Duration::from_millis(2);
/// Appends of a producer whose repeats get their first response again.
const REPEATS: usize = 5;
const PAGE: usize = 500;

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    recent: VecDeque<(u64, u64, u64)>,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: BTreeMap<String, Producer>,
}

impl Topic {
    fn push(&mut self, record: &[u8]) {
        let key_length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
        let value = record[1 + key_length..].to_vec();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (self.records.len() as u64, value));
        }
        self.records.push(record.to_vec());
    }
}

#[derive(Debug, Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
    /// Body of the newest append under the condition that the log has not moved.
    last_claim: Mutex<Option<Vec<u8>>>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = (0..3).fold(0u32, |sum, i| sum << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) as usize & 63;
            out.push(if digit <= chunk.len() { DIGITS[index] as char } else { '=' });
        }
    }
    out
}

fn split_records(mut body: &[u8]) -> Option<Vec<&[u8]>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        if record.is_empty() || record.len() < 1 + usize::from(record[0]) {
            return None;
        }
        records.push(record);
        body = rest;
    }
    Some(records)
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::default()
    }

    /// Writes a record as the operator or a worker does; an empty value drops the key.
    pub fn publish(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics.lock().unwrap().entry(topic.into()).or_default().push(&record);
        self.changed.notify_all();
    }

    /// Returns the body of the newest append under a condition that succeeded.
    pub fn last_claim(&self) -> Option<Vec<u8>> {
        self.last_claim.lock().unwrap().clone()
    }

    pub fn handle(&self, request: &Request) -> Reply {
        thread::sleep(CALL_TIME);
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(request, &topic),
            ("GET", "/log-read") => {
                let from = number("from").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("maxWaitMs").unwrap_or(0));
                Some((200, self.read(&topic, from, until)))
            }
            ("GET", "/log-newest") => {
                let after = request.query.get("after").cloned().unwrap_or_default();
                Some((200, self.newest(&topic, &after)))
            }
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn append(&self, request: &Request, name: &str) -> Reply {
        thread::sleep(APPEND_TIME);
        if ["keyed.op", "keyed.servers"].contains(&name) {
            return Some((403, b"{}".to_vec()));
        }
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let Some(records) = split_records(&request.body) else { return Some((400, b"{}".to_vec())) };
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.into()).or_default();
        let end = topic.records.len() as u64;
        let producer = request.query.get("producerId").cloned();
        let (epoch, sequence) = (number("epoch").unwrap_or(0), number("sequence").unwrap_or(0));
        if let Some(producer) = &producer {
            let known = topic.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return Some((409, br#"{"reason":"fenced"}"#.to_vec()));
            }
            if epoch == known.epoch {
                if let Some((_, offset, end)) = known.recent.iter().find(|(s, ..)| *s == sequence) {
                    let body = format!("{{\"offset\":{offset},\"endOffset\":{end}}}");
                    return Some((200, body.into_bytes()));
                }
                if let Some(expected) = known.next.filter(|next| *next != sequence) {
                    let body = format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}");
                    return Some((409, body.into_bytes()));
                }
            }
        }
        if number("at").is_some_and(|at| at != end) {
            return Some((412, format!("{{\"endOffset\":{end}}}").into_bytes()));
        }
        records.iter().for_each(|record| topic.push(record));
        let new_end = topic.records.len() as u64;
        if let Some(producer) = producer {
            let known = topic.producers.entry(producer).or_default();
            if known.epoch < epoch {
                *known = Producer { epoch, ..Producer::default() };
            }
            known.next = Some(sequence + 1);
            known.recent.push_back((sequence, end, new_end));
            if known.recent.len() > REPEATS {
                known.recent.pop_front();
            }
        }
        drop(topics);
        self.changed.notify_all();
        if number("at").is_some() {
            *self.last_claim.lock().unwrap() = Some(request.body.clone());
        }
        Some((200, format!("{{\"offset\":{end},\"endOffset\":{new_end}}}").into_bytes()))
    }

    fn read(&self, name: &str, from: u64, until: Instant) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.into()).or_default();
            let end = topic.records.len() as u64;
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = [end.to_be_bytes(), 0u64.to_be_bytes()].concat();
                for record in topic.records.iter().skip(from as usize) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return body;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, after: &str) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.into()).or_default();
        let rest: Vec<_> = topic.newest.iter().filter(|(key, _)| key.as_str() > after).collect();
        let item = |(key, (offset, value)): &(&String, &(u64, Vec<u8>))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<String> = rest.iter().take(PAGE).map(item).collect();
        let (more, end) = (rest.len() > PAGE, topic.records.len());
        format!("{{\"items\":[{}],\"hasMore\":{more},\"endOffset\":{end}}}", items.join(",")).into_bytes()
    }
}
