//! In-memory log with keyed topics.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

/// Number of appends of a producer whose answers are kept, so that a repeated append gets the first answer again.
const MAX_RECENT_APPENDS: usize = 5;

/// Reason for which an append was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFailure {
    /// The topic does not end at the offset that the condition names.
    Moved {
        /// Current end of the topic.
        end: u64,
    },
    /// The producer has already appended with a higher epoch.
    Fenced,
    /// The sequence number does not follow that of the previous append of the producer.
    Sequence {
        /// Expected sequence number.
        expected: u64,
    },
    /// Only the operator or the workers may write to the topic.
    Forbidden,
    /// The body is not a sequence of length-prefixed records.
    Invalid,
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first appended record.
    pub offset: u64,
    /// End of the topic after the append.
    pub end: u64,
}

/// Position of an append in the sequence of its producer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// Producer id.
    pub producer: String,
    /// Epoch of the producer; an append of a lower one is refused.
    pub epoch: u64,
    /// Sequence number within the epoch; the first of an epoch may be any.
    pub sequence: u64,
}

/// How an unavailable store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailability {
    /// Answers each call with status 503.
    Busy,
    /// Accepts each call and never answers.
    Unresponsive,
    /// Breaks each connection.
    Reset,
}

/// Faults of the store; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StoreFaults {
    /// How the store is unavailable; `None` while it is available.
    pub down: Option<Unavailability>,
    /// Delay before each call takes effect.
    pub call_delay: Duration,
    /// Probability, from 0 to 1, that an append takes effect but is not answered.
    pub lost_answers: f64,
    /// Delay before an append that is not answered takes effect.
    pub lost_append_delay: Duration,
}

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    next_sequence: Option<u64>,
    recent_appends: VecDeque<(u64, Appended)>,
}

#[derive(Debug, Default)]
struct Topic {
    first_offset: u64,
    records: VecDeque<Vec<u8>>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: BTreeMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Appends a record, a key with a length byte before the value; `None` if it is shorter than its key.
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
                let repeated =
                    known.recent_appends.iter().find(|(sequence, _)| *sequence == position.sequence);
                if let Some((_, first)) = repeated {
                    return Ok(*first);
                }
                if let Some(expected) = known.next_sequence.filter(|expected| *expected != position.sequence)
                {
                    return Err(LogFailure::Sequence { expected });
                }
            }
        }
        if condition.is_some_and(|at| at != end) {
            return Err(LogFailure::Moved { end });
        }
        let is_valid = |r: &&[u8]| r.first().is_some_and(|length| r.len() > usize::from(*length));
        if !records.iter().all(is_valid) {
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
            known.next_sequence = Some(position.sequence + 1);
            known.recent_appends.push_back((position.sequence, answer));
            if known.recent_appends.len() > MAX_RECENT_APPENDS {
                known.recent_appends.pop_front();
            }
        }
        Ok(answer)
    }
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    faults: StoreFaults,
}

/// Page of newest records: key, offset and value of each, whether more pages follow, and the end of the topic.
pub type NewestPage = (Vec<(String, u64, Vec<u8>)>, bool, u64);

/// Log with keyed topics. Clones share their records.
#[derive(Debug, Clone)]
pub struct KeyedLog {
    state: Arc<Mutex<State>>,
    /// Number of appends, for readers that wait for the next one.
    changes: watch::Sender<u64>,
}

impl Default for KeyedLog {
    fn default() -> Self {
        Self { state: Arc::default(), changes: watch::Sender::new(0) }
    }
}

/// Returns the records of a body, each after its length in four bytes, big-endian; `None` for a truncated body.
fn split_records(mut body: &[u8]) -> Option<Vec<&[u8]>> {
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
        // The state is consistent after every statement, so a poisoned lock is safe to use.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults; a call that already hangs is never answered.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Faults that the HTTP server applies.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.lock().faults
    }

    /// Subscribes to appends; the value changes with each one.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Appends the records of `body`.
    ///
    /// # Errors
    ///
    /// Fails when the condition does not hold, the producer is fenced or out of sequence, the topic is reserved, or a
    /// record is malformed.
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
        let records = split_records(body).ok_or(LogFailure::Invalid)?;
        let answer =
            self.lock().topics.entry(topic.into()).or_default().append(&records, condition, position);
        self.changes.send_modify(|count| *count += 1);
        answer
    }

    /// Appends a record as the platform itself does, also to reserved topics; an empty value removes the key.
    pub fn publish(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        // Keys of the platform are shorter than 256 bytes, so the record is always well-formed.
        let _ = self.lock().topics.entry(topic.into()).or_default().push(&record);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Appends the bytes of a record as another writer may have written them; a record without a key is in no list of newest
    /// records.
    pub fn publish_raw(&self, topic: &str, record: &[u8]) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        if topic.push(record).is_none() {
            topic.records.push_back(record.to_vec());
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Removes all records of a topic, except that the newest record of each key stays available from `newest`.
    pub fn trim(&self, topic: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        topic.first_offset = topic.end();
        topic.records.clear();
    }

    /// Returns the end of a topic, its first offset and its records from `from` on; `None` when `from` was trimmed.
    #[must_use]
    pub fn read(&self, topic: &str, from: u64) -> (u64, u64, Option<Vec<Vec<u8>>>) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        let skip = from.checked_sub(topic.first_offset).and_then(|skip| usize::try_from(skip).ok());
        let records = skip.map(|skip| topic.records.iter().skip(skip).cloned().collect());
        (topic.end(), topic.first_offset, records)
    }

    /// Returns the newest record of each key above `after`, in the order of the keys and at most `limit` of them.
    #[must_use]
    pub fn newest(&self, topic: &str, after: &str, limit: usize) -> NewestPage {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.into()).or_default();
        let remaining = topic.newest.iter().filter(|(key, _)| key.as_str() > after);
        let mut items: Vec<_> = remaining
            .take(limit + 1)
            .map(|(k, (offset, value))| (k.clone(), *offset, value.clone()))
            .collect();
        let has_more = items.len() > limit;
        items.truncate(limit);
        (items, has_more, topic.end())
    }
}
