//! Tests of single rules with one machine.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::duty::Duty;
use yuccahoist::id::{Epoch, HostId, Incarnation, Offset, PartitionId, Subject};
use yuccahoist::ownership::{
    CellFold, CellRecord, Member, Ownership, OwnershipAction, OwnershipEvent, OwnershipMessage,
    OwnershipSettings, Share,
};
use yuccahoist::stream::Fold;
use yuccahoist::unit::Timestamp;

const OWN: u64 = 1;
const PEER: u64 = 2;
const RUN_LIMIT: Duration = Duration::from_secs(1);

fn member(host: u64, incarnation: u64) -> Member {
    Member {
        host: HostId::new(&format!("host-{host}")).expect("name"),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], 7000).into(),
        zone: "zone-a".parse().expect("name"),
        site: "site-a".parse().expect("name"),
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

/// Machine with its fold and a log that the test writes.
struct Bench {
    now: u64,
    ownership: Ownership,
    fold: CellFold,
    next: u64,
    rng: ChaCha8Rng,
    out: Vec<OwnershipAction>,
}

impl Bench {
    fn new() -> Self {
        let ownership = Ownership::new(OwnershipSettings { member: member(OWN, OWN) });
        let rng = ChaCha8Rng::seed_from_u64(1);
        let mut bench =
            Self { now: 100_000, ownership, fold: CellFold::new(), next: 0, rng, out: Vec::new() };
        bench.event(OwnershipEvent::Subjects(BTreeSet::from([subject()])));
        bench.event(OwnershipEvent::RunLimit(RUN_LIMIT));
        bench
    }

    fn event(&mut self, event: OwnershipEvent) {
        self.ownership.handle(Timestamp::from_millis(self.now), event, &mut self.rng, &mut self.out);
    }

    fn log(&mut self, producer: u64, record: CellRecord) {
        let mut changes = Vec::new();
        self.fold.apply(Offset(self.next), Incarnation(producer), record, &mut changes);
        self.next += 1;
        for change in changes {
            self.event(OwnershipEvent::Change(change));
        }
    }

    /// Lets time pass with ticks; the reader is at the end of the stream if `current`.
    fn pass(&mut self, millis: u64, current: bool) {
        for _ in 0..millis / 50 {
            self.now += 50;
            if current {
                self.event(OwnershipEvent::CaughtUp { asked: Timestamp::from_millis(self.now) });
            }
            self.event(OwnershipEvent::Tick);
        }
    }

    fn ask_promise(&mut self, epoch: u64) -> bool {
        self.out.clear();
        let message = OwnershipMessage::PromiseRequest {
            round: 7,
            epochs: vec![Epoch(epoch)],
            length: Duration::from_secs(2),
        };
        self.event(OwnershipEvent::Peer { from: Incarnation(PEER), message });
        self.out.iter().any(|action| {
            matches!(action, OwnershipAction::Send { message: OwnershipMessage::PromiseReply { granted, .. }, .. }
                if granted.contains(&Epoch(epoch)))
        })
    }

    fn appended(&self) -> Option<&CellRecord> {
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

    fn lost(&self, epoch: u64) -> bool {
        self.out.contains(&OwnershipAction::Lost { subject: subject(), epoch: Epoch(epoch) })
    }
}

/// Bench in which the peer owns the subject by epoch 2 and knows of this host; offsets 0 to 4 are used.
fn peer_owns() -> Bench {
    let mut bench = Bench::new();
    bench.log(PEER, join(PEER, PEER, None));
    bench.log(OWN, join(OWN, OWN, None));
    bench.log(PEER, claim(None, 2));
    bench.log(OWN, CellRecord::Renew { epochs: vec![], read_to: Offset(2) });
    bench.log(PEER, renew(2, 4));
    bench.event(OwnershipEvent::Suspected { incarnation: Incarnation(PEER), suspected: true });
    bench.pass(50, true);
    // Empty renewal of a member that holds nothing.
    bench.log(OWN, CellRecord::Renew { epochs: vec![], read_to: Offset(5) });
    bench.out.clear();
    bench
}

/// Bench in which this host owns the subject by epoch 6 since just now.
fn own_owns() -> Bench {
    let mut bench = peer_owns();
    bench.log(PEER, CellRecord::Release { epochs: vec![Epoch(2)] });
    bench.pass(2_000, true);
    let record = bench.appended().cloned().expect("claim");
    assert_eq!(record, claim(Some(2), 7));
    bench.log(OWN, record);
    bench.pass(50, true);
    assert_eq!(bench.share(), Some(Share::Full));
    let renewal = bench.appended().cloned().expect("renewal");
    bench.log(OWN, renewal);
    bench.out.clear();
    bench
}

/// Guards against a promise that a claim on its way to the log breaks.
#[test]
fn no_promise_while_own_claim_is_open() {
    let mut bench = peer_owns();
    assert!(bench.ask_promise(2), "no claim is open");
    bench.pass(6_500, true);
    assert!(bench.has_claimed());
    assert!(!bench.ask_promise(2), "claim is open");
    // The result stays unknown; the claim may take effect at any time.
    bench.pass(60_000, false);
    assert!(!bench.ask_promise(2), "claim may still take effect");
    bench.event(OwnershipEvent::AppendFailed { ticket: 1 });
    bench.event(OwnershipEvent::AppendFailed { ticket: 0 });
    assert!(bench.ask_promise(2), "claim is certain not to take effect");
}

/// Guards against a claim before the end of a promise.
#[test]
fn no_claim_before_the_promise_ends() {
    let mut bench = peer_owns();
    for _ in 0..10 {
        bench.pass(1_000, true);
        assert!(bench.ask_promise(2));
    }
    bench.pass(2_000, true);
    assert!(!bench.has_claimed(), "within 2 s of the last promise");
    bench.pass(2_000, true);
    assert!(bench.has_claimed());
}

/// Guards against a reader that lags and takes its own lag for the silence of the owner.
#[test]
fn silence_counts_only_when_caught_up() {
    let mut bench = peer_owns();
    bench.pass(20_000, false);
    assert!(!bench.has_claimed(), "nothing was read");
    bench.event(OwnershipEvent::CaughtUp { asked: Timestamp::from_millis(bench.now - 19_000) });
    bench.pass(50, false);
    assert!(!bench.has_claimed(), "the read was sent before the lease could lapse");
    bench.pass(50, true);
    bench.pass(1_000, true);
    assert!(bench.has_claimed());
}

/// Guards against a lease that is counted from its confirmation: the renewal may have been under way for long.
#[test]
fn lease_counts_from_before_the_renewal_was_sent() {
    let mut bench = own_owns();
    bench.pass(1_000, true);
    let sent = bench.now;
    let record = bench.appended().cloned().expect("renewal");
    bench.pass(1_500, true);
    bench.log(OWN, record);
    bench.event(OwnershipEvent::Tick);
    let until = bench.ownership.grants().next().expect("grant").until;
    assert_eq!(until, Timestamp::from_millis(sent) + Duration::from_millis(2_800));
}

struct EndCase {
    fault: &'static str,
    end: CellRecord,
    producer: u64,
}

/// Guards against a process that goes on after the log says that it must not.
#[test]
fn owner_stops_at_once_when_the_log_ends_it() {
    let cases = [
        EndCase { fault: "replaced by a newer process", end: join(OWN, 9, Some(OWN)), producer: 9 },
        EndCase {
            fault: "removed",
            end: CellRecord::Remove { incarnation: Incarnation(OWN) },
            producer: PEER,
        },
        EndCase { fault: "claimed by another host", end: claim(Some(7), 8), producer: PEER },
    ];
    for case in cases {
        let mut bench = own_owns();
        bench.log(case.producer, case.end);
        assert!(bench.lost(7), "{}", case.fault);
        bench.pass(1_000, true);
        assert_eq!(bench.ownership.grants().count(), 0, "{}", case.fault);
    }
}

/// Guards against an owner that is cut from the log and leaves its successor with half of the capacity.
#[test]
fn owner_that_is_asked_by_a_successor_ends() {
    let mut bench = own_owns();
    let query = || OwnershipMessage::EndQuery { epochs: vec![Epoch(7)] };
    let ended = OwnershipAction::Send {
        to: Incarnation(PEER),
        message: OwnershipMessage::Ended { epochs: vec![Epoch(7)] },
    };
    bench.event(OwnershipEvent::Peer { from: Incarnation(PEER), message: query() });
    assert!(bench.lost(7));
    assert!(!bench.out.contains(&ended), "requests are in progress");
    bench.event(OwnershipEvent::Quiescent { epochs: vec![Epoch(7)] });
    bench.event(OwnershipEvent::Peer { from: Incarnation(PEER), message: query() });
    assert!(bench.out.contains(&ended));
}

/// Guards against a successor that uses the part of an owner that may still run, and against one that never gets it.
#[test]
fn successor_gets_shares_by_evidence() {
    let takeover = |evidence: Option<CellRecord>, producer: u64| {
        let mut bench = peer_owns();
        bench.pass(4_500, true);
        let record = bench.appended().cloned().expect("claim");
        assert!(matches!(record, CellRecord::Claim { .. }));
        bench.log(OWN, record);
        bench.pass(50, true);
        assert_eq!(bench.share(), Some(Share::Nothing));
        if let Some(evidence) = evidence {
            bench.log(producer, evidence);
        }
        bench
    };
    let renewed = |bench: &mut Bench, millis: u64| {
        for _ in 0..millis / 500 {
            bench.pass(500, true);
            if let Some(record @ CellRecord::Renew { .. }) = bench.appended().cloned() {
                bench.log(OWN, record);
                bench.out.clear();
            }
        }
        bench.event(OwnershipEvent::Tick);
    };

    let mut bench = takeover(None, 0);
    renewed(&mut bench, 1_500);
    assert_eq!(bench.share(), Some(Share::Remainder), "run limit has passed");
    renewed(&mut bench, 60_000);
    assert_eq!(bench.share(), Some(Share::Remainder), "no evidence");

    let mut bench = takeover(Some(CellRecord::Release { epochs: vec![Epoch(2)] }), PEER);
    bench.event(OwnershipEvent::Tick);
    assert_eq!(bench.share(), Some(Share::Full), "released");

    let mut bench = takeover(Some(join(PEER, 9, Some(PEER))), 9);
    renewed(&mut bench, 500);
    assert_ne!(bench.share(), Some(Share::Full), "requests of the ended process may still run");
    renewed(&mut bench, 1_000);
    assert_eq!(bench.share(), Some(Share::Full), "newer process and run limit");
}

/// Guards against a promise that is counted from its reply: the member counts it from the request.
#[test]
fn promise_counts_from_before_it_was_asked() {
    let mut bench = own_owns();
    let asked_round = |action: &OwnershipAction| match action {
        OwnershipAction::Send { message: OwnershipMessage::PromiseRequest { round, .. }, .. } => Some(*round),
        _ => None,
    };
    let round = loop {
        if let Some(round) = bench.out.iter().find_map(asked_round) {
            break round;
        }
        assert!(bench.now < 200_000, "no promise is asked for");
        bench.pass(50, false);
    };
    let asked = bench.now;
    bench.pass(1_500, false);
    let message = OwnershipMessage::PromiseReply { round, granted: vec![Epoch(7)] };
    bench.event(OwnershipEvent::Peer { from: Incarnation(PEER), message });
    let until = bench.ownership.grants().next().expect("grant").until;
    assert_eq!(until, Timestamp::from_millis(asked) + Duration::from_millis(1_800));
}
