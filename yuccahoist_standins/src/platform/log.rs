//! Log with keyed topics, in memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

/// Appends of a producer whose first answer is kept.
const REMEMBERED: usize = 5;

/// Why an append was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFailure {
    /// The partition does not end where the condition says.
    Moved {
        /// End.
        end: u64,
    },
    /// A higher epoch has been seen.
    Fenced,
    /// Another sequence number is expected.
    Sequence {
        /// Expected number.
        expected: u64,
    },
    /// Topic of the operator or the workers.
    Forbidden,
    /// The body is not a row of records.
    Invalid,
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: u64,
    /// End of the partition after it.
    pub end: u64,
}

/// Position of an append in the order of its producer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// Producer.
    pub producer: String,
    /// Epoch.
    pub epoch: u64,
    /// Sequence number.
    pub sequence: u64,
}

/// How an unavailable store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogDown {
    /// Refuses each call.
    Busy,
    /// Answers nothing.
    Silent,
    /// Breaks each connection.
    Reset,
}

/// Misbehaviour of the store; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LogMoods {
    /// Unavailable.
    pub down: Option<LogDown>,
    /// Time before each call takes effect.
    pub slow: Duration,
    /// Share of appends that take effect without an answer.
    pub lost: f64,
    /// Time after which a lost append takes effect.
    pub late: Duration,
}

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    recent: VecDeque<(u64, Appended)>,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: VecDeque<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: BTreeMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: &[u8]) -> Option<()> {
        let (length, rest) = record.split_first()?;
        let (key, value) = rest.split_at_checked(usize::from(*length))?;
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (self.end(), value.to_vec()));
        }
        self.records.push_back(record.to_vec());
        Some(())
    }

    fn append(
        &mut self,
        records: &[&[u8]],
        condition: Option<u64>,
        position: Option<Position>,
    ) -> Result<Appended, LogFailure> {
        let end = self.end();
        if let Some(position) = &position {
            let known = self.producers.entry(position.producer.clone()).or_default();
            if position.epoch < known.epoch {
                return Err(LogFailure::Fenced);
            }
            if position.epoch == known.epoch {
                let repeated = known.recent.iter().find(|(sequence, _)| *sequence == position.sequence);
                if let Some((_, first)) = repeated {
                    return Ok(*first);
                }
                if let Some(expected) = known.next.filter(|expected| *expected != position.sequence) {
                    return Err(LogFailure::Sequence { expected });
                }
            }
        }
        if condition.is_some_and(|at| at != end) {
            return Err(LogFailure::Moved { end });
        }
        let valid = |r: &&[u8]| r.first().is_some_and(|length| r.len() > usize::from(*length));
        if !records.iter().all(valid) {
            return Err(LogFailure::Invalid);
        }
        for record in records {
            self.push(record).ok_or(LogFailure::Invalid)?;
        }
        let answer = Appended { offset: end, end: self.end() };
        if let Some(position) = position {
            let known = self.producers.entry(position.producer).or_default();
            if known.epoch < position.epoch {
                *known = Producer { epoch: position.epoch, ..Producer::default() };
            }
            known.next = Some(position.sequence + 1);
            known.recent.push_back((position.sequence, answer));
            if known.recent.len() > REMEMBERED {
                known.recent.pop_front();
            }
        }
        Ok(answer)
    }
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    moods: LogMoods,
}

/// Newest records on one page: key, offset and value of each, whether there are more, and the end.
pub type NewestPage = (Vec<(String, u64, Vec<u8>)>, bool, u64);

/// Log with keyed topics. Clones share their records.
#[derive(Debug, Clone)]
pub struct KeyedLog {
    state: Arc<Mutex<State>>,
    changes: watch::Sender<u64>,
}

impl Default for KeyedLog {
    fn default() -> Self {
        Self { state: Arc::default(), changes: watch::Sender::new(0) }
    }
}

/// Records of a body: a length of four bytes before each; none if the body is cut off.
fn split(mut body: &[u8]) -> Option<Vec<&[u8]>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(record);
        body = rest;
    }
    Some(records)
}

impl KeyedLog {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent after every statement, so a panic elsewhere does not spoil it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how the store misbehaves.
    pub fn set_moods(&self, moods: LogMoods) {
        self.lock().moods = moods;
    }

    /// How the store misbehaves.
    #[must_use]
    pub fn moods(&self) -> LogMoods {
        self.lock().moods
    }

    /// Changes with every append.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Appends the records of `body`.
    ///
    /// # Errors
    ///
    /// Fails when the condition or the producer's order does not hold, or a record is malformed.
    pub fn append(
        &self,
        topic: &str,
        body: &[u8],
        condition: Option<u64>,
        position: Option<Position>,
    ) -> Result<Appended, LogFailure> {
        if ["keyed.op", "keyed.servers"].contains(&topic) {
            return Err(LogFailure::Forbidden);
        }
        let records = split(body).ok_or(LogFailure::Invalid)?;
        let answer =
            self.lock().topics.entry(topic.into()).or_default().append(&records, condition, position);
        self.changes.send_modify(|count| *count += 1);
        answer
    }

    /// Writes a record of the platform's own; an empty value removes the key.
    pub fn publish(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        // The length of a key of the platform always fits its byte.
        let _ = self.lock().topics.entry(topic.into()).or_default().push(&record);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Drops the records of a topic; the newest of each key stays.
    pub fn trim(&self, topic: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        topic.first = topic.end();
        topic.records.clear();
    }

    /// End, first offset and the records from an offset; none when they are gone.
    #[must_use]
    pub fn read(&self, topic: &str, from: u64) -> (u64, u64, Option<Vec<Vec<u8>>>) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        let skip = from.checked_sub(topic.first).and_then(|skip| usize::try_from(skip).ok());
        let records = skip.map(|skip| topic.records.iter().skip(skip).cloned().collect());
        (topic.end(), topic.first, records)
    }

    /// Newest record of each key after a key, at most `limit`, whether there are more, and the end.
    #[must_use]
    pub fn newest(&self, topic: &str, after: &str, limit: usize) -> NewestPage {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        let later = topic.newest.iter().filter(|(key, _)| key.as_str() > after);
        let mut items: Vec<_> =
            later.take(limit + 1).map(|(k, (offset, value))| (k.clone(), *offset, value.clone())).collect();
        let more = items.len() > limit;
        items.truncate(limit);
        (items, more, topic.end())
    }
}
