//! Fold of the `intents` stream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Incarnation, Offset, RequestId};
use crate::intent::IntentRecord;
use crate::stream::Fold;
use crate::unit::WallTime;

/// Retention of request ids until the configuration is loaded.
const DEFAULT_ID_WINDOW: Duration = Duration::from_secs(15 * 60);

/// Clock skew tolerated between hosts until the configuration is loaded.
const DEFAULT_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Effect of this host's record on one of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentEffect {
    /// This host's record is the first with the id, so the host may forward the request once.
    First {
        /// Id from the record.
        id: RequestId,
    },
    /// An earlier record has the same id.
    Duplicate {
        /// Id from the record.
        id: RequestId,
        /// Incarnation that appended the first record.
        first: Incarnation,
    },
    /// The id is older than the horizon, or may have been in a truncated record.
    TooOld {
        /// Id from the record.
        id: RequestId,
    },
}

/// Rejection of ids by a reader that started after a truncation and missed the earlier records.
#[derive(Debug, Clone, Copy)]
struct Truncation {
    /// End of the stream when the reader started.
    stream_end: Offset,
    /// Ids created up to this time may have been in a truncated record.
    rejected_until: WallTime,
    /// Whether any record has been read since.
    has_record: bool,
}

/// First producer of each request id within the id window.
#[derive(Debug)]
pub struct IntentFold {
    host: Incarnation,
    id_window: Duration,
    clock_skew: Duration,
    horizon: WallTime,
    first_producers: BTreeMap<RequestId, Incarnation>,
    truncation: Option<Truncation>,
}

impl IntentFold {
    /// Creates an empty fold that emits effects only for the records of `host`.
    #[must_use]
    pub fn new(host: Incarnation) -> Self {
        Self {
            host,
            id_window: DEFAULT_ID_WINDOW,
            clock_skew: DEFAULT_CLOCK_SKEW,
            horizon: WallTime::default(),
            first_producers: BTreeMap::new(),
            truncation: None,
        }
    }

    /// Sets the retention of ids and the tolerated clock skew from the configuration.
    pub fn configure_window(&mut self, window: Duration, skew: Duration) {
        self.id_window = window;
        self.clock_skew = skew;
    }

    /// Notes that records before `earliest` were truncated, and that the stream ends before `stream_end`.
    ///
    /// An id may have been in a truncated record unless it is newer, by more than the tolerated clock skew, than
    /// everything in the remaining records; such an id is rejected. The time at which a record was written (horizon
    /// plus id window) counts as well, because a remaining record may contain only old ids.
    pub fn start_after_truncation(&mut self, earliest: Offset, stream_end: Offset) {
        if earliest == Offset(0) {
            return;
        }
        let rejected_until = self.truncation.map_or_else(WallTime::default, |known| known.rejected_until);
        self.truncation = Some(Truncation { stream_end, rejected_until, has_record: false });
    }

    /// Returns the number of retained ids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.first_producers.len()
    }

    /// Returns whether no id is retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.first_producers.is_empty()
    }

    /// Returns the time before which created ids are rejected.
    #[must_use]
    pub fn horizon(&self) -> WallTime {
        self.horizon
    }

    fn advance_horizon(&mut self, horizon: WallTime) {
        if horizon <= self.horizon {
            return;
        }
        self.horizon = horizon;
        let oldest = RequestId::from_parts(horizon, [0; 10]);
        self.first_producers = self.first_producers.split_off(&oldest);
    }

    /// Extends the rejected range by each record that existed when the reader started, or else by the first later one.
    fn extend_rejected_range(&mut self, offset: Offset, ids: &[RequestId], horizon: WallTime) {
        let (window, skew) = (self.id_window, self.clock_skew);
        let Some(truncation) = &mut self.truncation else { return };
        if offset >= truncation.stream_end && truncation.has_record {
            return;
        }
        truncation.has_record = true;
        let newest = ids.iter().map(|id| id.created()).max().unwrap_or_default();
        let written_at = horizon.plus(window);
        truncation.rejected_until = truncation.rejected_until.max(newest.max(written_at).plus(skew));
    }

    fn classify(&mut self, id: RequestId, producer: Incarnation) -> IntentEffect {
        if id.created() < self.horizon {
            return IntentEffect::TooOld { id };
        }
        if let Some(first) = self.first_producers.get(&id) {
            return IntentEffect::Duplicate { id, first: *first };
        }
        self.first_producers.insert(id, producer);
        let may_be_truncated = self.truncation.is_some_and(|known| id.created() <= known.rejected_until);
        if may_be_truncated { IntentEffect::TooOld { id } } else { IntentEffect::First { id } }
    }
}

impl Fold for IntentFold {
    type Record = IntentRecord;
    type Effect = IntentEffect;

    fn apply(
        &mut self,
        offset: Offset,
        producer: Incarnation,
        record: Self::Record,
        out: &mut Vec<Self::Effect>,
    ) {
        let IntentRecord::Intents { ids, horizon } = record;
        self.advance_horizon(horizon);
        self.extend_rejected_range(offset, &ids, horizon);
        for id in ids {
            let effect = self.classify(id, producer);
            if producer == self.host {
                out.push(effect);
            }
        }
    }

    fn snapshot(&self, _through: Offset) -> Option<Self::Record> {
        None
    }

    fn snapshot_through(_record: &Self::Record) -> Option<Offset> {
        None
    }

    fn restore(&mut self, _record: Self::Record, _out: &mut Vec<Self::Effect>) {}
}
