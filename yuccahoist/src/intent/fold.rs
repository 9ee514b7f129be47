//! Fold of the `intents` stream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{Incarnation, Offset, RequestId};
use crate::intent::IntentRecord;
use crate::stream::Fold;
use crate::unit::WallTime;

/// Age up to which ids are remembered, until the configuration says otherwise.
const DEFAULT_WINDOW: Duration = Duration::from_secs(15 * 60);

/// Clock difference allowed between hosts, until the configuration says otherwise.
const DEFAULT_SKEW: Duration = Duration::from_secs(2);

/// What a record of this host means for its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentEffect {
    /// This host's record is the first with the id: it may forward the request once.
    First {
        /// Request id.
        id: RequestId,
    },
    /// An earlier record has the id.
    Duplicate {
        /// Request id.
        id: RequestId,
        /// Process start that appended the first record.
        first: Incarnation,
    },
    /// Id is below the horizon, or may have been in a record that is not kept any more.
    TooOld {
        /// Request id.
        id: RequestId,
    },
}

/// Rule for a reader that did not see the beginning of the stream.
#[derive(Debug, Clone, Copy)]
struct Gap {
    /// Offset after the last record that was kept when the reader started.
    end: Offset,
    /// Ids created up to this time may have been in a lost record.
    floor: WallTime,
    /// Whether a kept record has been seen.
    seen: bool,
}

/// First record of each id within the id window.
#[derive(Debug)]
pub struct IntentFold {
    host: Incarnation,
    window: Duration,
    skew: Duration,
    horizon: WallTime,
    first: BTreeMap<RequestId, Incarnation>,
    gap: Option<Gap>,
}

impl IntentFold {
    /// Empty register of a host; effects are emitted for its own records only.
    #[must_use]
    pub fn new(host: Incarnation) -> Self {
        Self {
            host,
            window: DEFAULT_WINDOW,
            skew: DEFAULT_SKEW,
            horizon: WallTime::default(),
            first: BTreeMap::new(),
            gap: None,
        }
    }

    /// Sets the id window and the allowed clock difference, by configuration.
    pub fn set_limits(&mut self, window: Duration, skew: Duration) {
        self.window = window;
        self.skew = skew;
    }

    /// Notes that records before `earliest` are lost to this reader, and that the stream ends before `end`.
    ///
    /// An id that is not newer than everything in the kept records, plus the allowed clock difference, may have been in
    /// a lost record and is refused. Each record also tells its time of writing, horizon plus id window, which counts
    /// like an id: the ids of the kept records alone may all be old ones.
    pub fn start_behind(&mut self, earliest: Offset, end: Offset) {
        if earliest == Offset(0) {
            return;
        }
        let floor = self.gap.map_or_else(WallTime::default, |gap| gap.floor);
        self.gap = Some(Gap { end, floor, seen: false });
    }

    /// Ids that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.first.len()
    }

    /// Whether no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// Time before which ids are refused.
    #[must_use]
    pub fn horizon(&self) -> WallTime {
        self.horizon
    }

    fn raise_horizon(&mut self, horizon: WallTime) {
        if horizon <= self.horizon {
            return;
        }
        self.horizon = horizon;
        let lowest = RequestId::from_parts(horizon, [0; 10]);
        self.first = self.first.split_off(&lowest);
    }

    /// Extends the refused range by a record that was kept when the reader started, or by the first one after it.
    fn raise_floor(&mut self, offset: Offset, ids: &[RequestId], horizon: WallTime) {
        let (window, skew) = (self.window, self.skew);
        let Some(gap) = &mut self.gap else { return };
        if offset >= gap.end && gap.seen {
            return;
        }
        gap.seen = true;
        let newest = ids.iter().map(|id| id.created()).max().unwrap_or_default();
        let written = horizon.plus(window);
        gap.floor = gap.floor.max(newest.max(written).plus(skew));
    }

    fn classify(&mut self, id: RequestId, producer: Incarnation) -> IntentEffect {
        if id.created() < self.horizon {
            return IntentEffect::TooOld { id };
        }
        if let Some(first) = self.first.get(&id) {
            return IntentEffect::Duplicate { id, first: *first };
        }
        self.first.insert(id, producer);
        let refused = self.gap.is_some_and(|gap| id.created() <= gap.floor);
        if refused { IntentEffect::TooOld { id } } else { IntentEffect::First { id } }
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
        self.raise_horizon(horizon);
        self.raise_floor(offset, &ids, horizon);
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
