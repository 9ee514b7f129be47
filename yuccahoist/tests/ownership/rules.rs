//! Tests of single rules with one state machine.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::{Epoch, HostId, Incarnation, Offset, PartitionId, Subject};
use yuccahoist::ownership::{
    CellFold, CellRecord, Member, Ownership, OwnershipAction, OwnershipEvent, OwnershipMessage,
    OwnershipSettings, Share,
};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::Fold;
use yuccahoist::unit::Timestamp;

/// Number of this host and of its incarnation.
const OWN_ID: u64 = 1;
/// Number of the other host and of its incarnation.
const PEER_ID: u64 = 2;
const RUN_LIMIT: Duration = Duration::from_secs(1);

fn member(host: u64, incarnation: u64) -> Member {
    Member {
        host: HostId::new(&format!("host-{host}")).expect("valid host name"),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], 7000).into(),
        zone: "zone-a".parse().expect("valid zone name"),
        site: "site-a".parse().expect("valid site name"),
    }
}

fn subject() -> Subject {
    Subject::Partition(PartitionId(0))
}

fn join(host: u64, incarnation: u64, previous: Option<u64>) -> CellRecord {
    CellRecord::Join { member: member(host, incarnation), previous: previous.map(Incarnation) }
}

fn claim(previous: Option<u64>, read_to: u64) -> CellRecord {
    CellRecord::Claim { subject: subject(), previous: previous.map(Epoch), read_to: Offset(read_to) }
}

fn renew(epoch: u64, read_to: u64) -> CellRecord {
    CellRecord::Renew { epochs: vec![Epoch(epoch)], read_to: Offset(read_to) }
}

/// State machine of this host, with a log that the test writes.
struct Harness {
    /// Local time in milliseconds.
    now: u64,
    ownership: Ownership,
    fold: CellFold,
    next_offset: u64,
    rng: ChaCha8Rng,
    out: Vec<OwnershipAction>,
}

impl Harness {
    fn new() -> Self {
        let ownership = Ownership::new(OwnershipSettings { member: member(OWN_ID, OWN_ID) });
        let rng = ChaCha8Rng::seed_from_u64(1);
        let mut harness =
            Self { now: 100_000, ownership, fold: CellFold::new(), next_offset: 0, rng, out: Vec::new() };
        harness.handle(OwnershipEvent::Subjects(BTreeSet::from([subject()])));
        harness.handle(OwnershipEvent::MaxRunLimit(RUN_LIMIT));
        harness
    }

    fn handle(&mut self, event: OwnershipEvent) {
        self.ownership.handle(Timestamp::from_millis(self.now), event, &mut self.rng, &mut self.out);
    }

    /// Appends a record to the log and applies it.
    fn append(&mut self, producer: u64, record: CellRecord) {
        let mut changes = Vec::new();
        self.fold.apply(Offset(self.next_offset), Incarnation(producer), record, &mut changes);
        self.next_offset += 1;
        for change in changes {
            self.handle(OwnershipEvent::Change(change));
        }
    }

    /// Advances the time with a tick every 50 ms. If `caught_up`, the reader is at the end of the stream at each tick.
    fn advance(&mut self, millis: u64, caught_up: bool) {
        for _ in 0..millis / 50 {
            self.now += 50;
            if caught_up {
                self.handle(OwnershipEvent::CaughtUp { sent_at: Timestamp::from_millis(self.now) });
            }
            self.handle(OwnershipEvent::Tick);
        }
    }

    /// Sends a promise request of the peer and returns whether the promise is given.
    fn request_promise(&mut self, epoch: u64) -> bool {
        self.out.clear();
        let message = OwnershipMessage::PromiseRequest {
            round: 7,
            epochs: vec![Epoch(epoch)],
            length: Duration::from_secs(2),
        };
        self.handle(OwnershipEvent::Peer { from: Incarnation(PEER_ID), message });
        self.out.iter().any(|action| {
            matches!(action, OwnershipAction::Send { message: OwnershipMessage::PromiseReply { granted, .. }, .. }
                if granted.contains(&Epoch(epoch)))
        })
    }

    /// Returns the record that the state machine appended last.
    fn last_append(&self) -> Option<&CellRecord> {
        self.out.iter().rev().find_map(|action| match action {
            OwnershipAction::Append { record, .. } => Some(record),
            _ => None,
        })
    }

    fn has_claimed(&self) -> bool {
        self.out.iter().any(|a| matches!(a, OwnershipAction::Append { record: CellRecord::Claim { .. }, .. }))
    }

    fn share(&self) -> Option<Share> {
        self.ownership.grants().next().map(|grant| grant.share)
    }

    fn has_lost(&self, epoch: u64) -> bool {
        self.out.contains(&OwnershipAction::Lost { subject: subject(), epoch: Epoch(epoch) })
    }
}

/// Returns a harness in which the peer owns the subject by epoch 2 and has this host in its view. Offsets 0 to 5 are
/// used.
fn harness_with_peer_owner() -> Harness {
    let mut harness = Harness::new();
    harness.append(PEER_ID, join(PEER_ID, PEER_ID, None));
    harness.append(OWN_ID, join(OWN_ID, OWN_ID, None));
    harness.append(PEER_ID, claim(None, 2));
    harness.append(OWN_ID, CellRecord::Renew { epochs: vec![], read_to: Offset(2) });
    harness.append(PEER_ID, renew(2, 4));
    harness.handle(OwnershipEvent::Suspected { incarnation: Incarnation(PEER_ID), suspected: true });
    harness.advance(50, true);
    // Idle renewal of a member that owns nothing.
    harness.append(OWN_ID, CellRecord::Renew { epochs: vec![], read_to: Offset(5) });
    harness.out.clear();
    harness
}

/// Returns a harness in which this host has just become the owner of the subject by epoch 7.
fn harness_with_own_lease() -> Harness {
    let mut harness = harness_with_peer_owner();
    harness.append(PEER_ID, CellRecord::Release { epochs: vec![Epoch(2)] });
    harness.advance(2_000, true);
    let record = harness.last_append().cloned().expect("claim is appended");
    assert_eq!(record, claim(Some(2), 7));
    harness.append(OWN_ID, record);
    harness.advance(50, true);
    assert_eq!(harness.share(), Some(Share::Full));
    let renewal = harness.last_append().cloned().expect("renewal is appended");
    harness.append(OWN_ID, renewal);
    harness.out.clear();
    harness
}

/// Guards against a promise that is broken by a claim in flight.
#[test]
fn no_promise_while_own_claim_is_pending() {
    let mut harness = harness_with_peer_owner();
    assert!(harness.request_promise(2), "promise refused without a pending claim");
    harness.advance(6_500, true);
    assert!(harness.has_claimed());
    assert!(!harness.request_promise(2), "promise given while the claim is pending");
    // The result stays unknown, so the claim may take effect at any time.
    harness.advance(60_000, false);
    assert!(!harness.request_promise(2), "promise given although the claim may still take effect");
    harness.handle(OwnershipEvent::AppendFailed { ticket: 1 });
    harness.handle(OwnershipEvent::AppendFailed { ticket: 0 });
    assert!(harness.request_promise(2), "promise refused although the claim failed");
}

/// Guards against a claim over an epoch before the promise for it has expired.
#[test]
fn no_claim_before_the_promise_expires() {
    let mut harness = harness_with_peer_owner();
    for _ in 0..10 {
        harness.advance(1_000, true);
        assert!(harness.request_promise(2));
    }
    harness.advance(2_000, true);
    assert!(!harness.has_claimed(), "claim within 2 s of the last promise");
    harness.advance(2_000, true);
    assert!(harness.has_claimed());
}

/// Guards against a reader that lags and mistakes its own lag for the owner's silence.
#[test]
fn silence_counts_only_when_caught_up() {
    let mut harness = harness_with_peer_owner();
    harness.advance(20_000, false);
    assert!(!harness.has_claimed(), "claim without any read");
    harness.handle(OwnershipEvent::CaughtUp { sent_at: Timestamp::from_millis(harness.now - 19_000) });
    harness.advance(50, false);
    assert!(!harness.has_claimed(), "claim on a read that was sent before the lease could expire");
    harness.advance(50, true);
    harness.advance(1_000, true);
    assert!(harness.has_claimed());
}

/// Guards against a lease that is counted from its confirmation, although the renewal may have been in flight for long.
#[test]
fn lease_counts_from_before_the_renewal_was_sent() {
    let mut harness = harness_with_own_lease();
    harness.advance(1_000, true);
    let sent = harness.now;
    let record = harness.last_append().cloned().expect("renewal is appended");
    harness.advance(1_500, true);
    harness.append(OWN_ID, record);
    harness.handle(OwnershipEvent::Tick);
    let valid_until = harness.ownership.grants().next().expect("held lease has a grant").valid_until;
    assert_eq!(valid_until, Timestamp::from_millis(sent) + Duration::from_millis(2_800));
}

struct EndCase {
    cause: &'static str,
    end: CellRecord,
    producer: u64,
}

/// Guards against an owner that continues after it applied a record that ends its lease.
#[test]
fn owner_stops_at_once_when_a_record_ends_its_lease() {
    let cases = [
        EndCase { cause: "replaced by a newer incarnation", end: join(OWN_ID, 9, Some(OWN_ID)), producer: 9 },
        EndCase {
            cause: "removed by the peer",
            end: CellRecord::Remove { incarnation: Incarnation(OWN_ID) },
            producer: PEER_ID,
        },
        EndCase { cause: "subject claimed by the peer", end: claim(Some(7), 8), producer: PEER_ID },
    ];
    for case in cases {
        let mut harness = harness_with_own_lease();
        harness.append(case.producer, case.end);
        assert!(harness.has_lost(7), "{}", case.cause);
        harness.advance(1_000, true);
        assert_eq!(harness.ownership.grants().count(), 0, "{}", case.cause);
    }
}

/// Guards against an owner that cannot reach the log and does not tell its successor that it has ended, which leaves
/// the successor with half of the capacity.
#[test]
fn owner_stops_when_a_successor_queries_its_end() {
    let mut harness = harness_with_own_lease();
    let query = || OwnershipMessage::EndQuery { epochs: vec![Epoch(7)] };
    let ended = OwnershipAction::Send {
        to: Incarnation(PEER_ID),
        message: OwnershipMessage::Ended { epochs: vec![Epoch(7)] },
    };
    harness.handle(OwnershipEvent::Peer { from: Incarnation(PEER_ID), message: query() });
    assert!(harness.has_lost(7));
    assert!(!harness.out.contains(&ended), "end reported while requests are in flight");
    harness.handle(OwnershipEvent::Quiescent { epochs: vec![Epoch(7)] });
    harness.handle(OwnershipEvent::Peer { from: Incarnation(PEER_ID), message: query() });
    assert!(harness.out.contains(&ended));
}

/// Guards against a successor that uses the share of an earlier owner that may still have requests in flight, and
/// against one that never gets that share.
#[test]
fn successor_share_follows_evidence() {
    let takeover = |evidence: Option<CellRecord>, producer: u64| {
        let mut harness = harness_with_peer_owner();
        harness.advance(4_500, true);
        let record = harness.last_append().cloned().expect("claim is appended");
        assert!(matches!(record, CellRecord::Claim { .. }));
        harness.append(OWN_ID, record);
        harness.advance(50, true);
        assert_eq!(harness.share(), Some(Share::Nothing));
        if let Some(evidence) = evidence {
            harness.append(producer, evidence);
        }
        harness
    };
    let advance_with_renewals = |harness: &mut Harness, millis: u64| {
        for _ in 0..millis / 500 {
            harness.advance(500, true);
            if let Some(record @ CellRecord::Renew { .. }) = harness.last_append().cloned() {
                harness.append(OWN_ID, record);
                harness.out.clear();
            }
        }
        harness.handle(OwnershipEvent::Tick);
    };

    let mut harness = takeover(None, 0);
    advance_with_renewals(&mut harness, 1_500);
    assert_eq!(harness.share(), Some(Share::Remainder), "run limit of the earlier owner has passed");
    advance_with_renewals(&mut harness, 60_000);
    assert_eq!(harness.share(), Some(Share::Remainder), "no evidence of the earlier owner's end");

    let mut harness = takeover(Some(CellRecord::Release { epochs: vec![Epoch(2)] }), PEER_ID);
    harness.handle(OwnershipEvent::Tick);
    assert_eq!(harness.share(), Some(Share::Full), "earlier owner released the subject");

    let mut harness = takeover(Some(join(PEER_ID, 9, Some(PEER_ID))), 9);
    advance_with_renewals(&mut harness, 500);
    assert_ne!(harness.share(), Some(Share::Full), "requests of the ended process may be in flight");
    advance_with_renewals(&mut harness, 1_000);
    assert_eq!(harness.share(), Some(Share::Full), "run limit has passed since the newer incarnation joined");
}

/// Guards against a promise that the owner counts from the reply, while the member counts it from the request.
#[test]
fn promise_counts_from_before_its_request() {
    let mut harness = harness_with_own_lease();
    let requested_round = |action: &OwnershipAction| match action {
        OwnershipAction::Send { message: OwnershipMessage::PromiseRequest { round, .. }, .. } => Some(*round),
        _ => None,
    };
    let round = loop {
        if let Some(round) = harness.out.iter().find_map(requested_round) {
            break round;
        }
        assert!(harness.now < 200_000, "no promise request until 200 s");
        harness.advance(50, false);
    };
    let requested_at = harness.now;
    harness.advance(1_500, false);
    let message = OwnershipMessage::PromiseReply { round, granted: vec![Epoch(7)] };
    harness.handle(OwnershipEvent::Peer { from: Incarnation(PEER_ID), message });
    let valid_until = harness.ownership.grants().next().expect("held lease has a grant").valid_until;
    assert_eq!(valid_until, Timestamp::from_millis(requested_at) + Duration::from_millis(1_800));
}
