//! Stream client against a log with faults: agreement, order, no double application.

mod fake_log;

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use fake_log::{Faults, World};
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use serde::{Deserialize, Serialize};
use yuccahoist::id::{Incarnation, Offset, Sequence};
use yuccahoist::stream::{Envelope, Fold, StreamAction, StreamEvent, StreamName, StreamSettings, encode};

/// Record of the test stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Entry {
    Value(u64),
    Snapshot { through: Offset, values: Vec<(u64, u64)> },
}

/// List of all applied values with their producers.
#[derive(Debug, Clone, Default, PartialEq)]
struct Journal {
    values: Vec<(u64, u64)>,
}

impl Fold for Journal {
    type Record = Entry;
    type Effect = u64;

    fn apply(&mut self, _offset: Offset, producer: Incarnation, record: Entry, out: &mut Vec<u64>) {
        if let Entry::Value(value) = record {
            self.values.push((producer.0, value));
            out.push(value);
        }
    }

    fn snapshot(&self, through: Offset) -> Option<Entry> {
        Some(Entry::Snapshot { through, values: self.values.clone() })
    }

    fn snapshot_through(record: &Entry) -> Option<Offset> {
        match record {
            Entry::Snapshot { through, .. } => Some(*through),
            Entry::Value(_) => None,
        }
    }

    fn restore(&mut self, record: Entry, _out: &mut Vec<u64>) {
        let Entry::Snapshot { values, .. } = record else { panic!("no snapshot") };
        assert!(values.starts_with(&self.values), "an older snapshot replaced newer state");
        self.values = values;
    }
}

/// Same list in a stream without snapshots.
#[derive(Debug, Clone, Default, PartialEq)]
struct Plain {
    values: Vec<(u64, u64)>,
}

impl Fold for Plain {
    type Record = u64;
    type Effect = u64;

    fn apply(&mut self, _offset: Offset, producer: Incarnation, record: u64, out: &mut Vec<u64>) {
        self.values.push((producer.0, record));
        out.push(record);
    }

    fn snapshot(&self, _through: Offset) -> Option<u64> {
        None
    }

    fn snapshot_through(_record: &u64) -> Option<Offset> {
        None
    }

    fn restore(&mut self, _record: u64, _out: &mut Vec<u64>) {}
}

const RETENTION: Duration = Duration::from_secs(6);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

fn settings() -> StreamSettings {
    StreamSettings {
        // Short, so that several hosts write snapshots at nearly the same time.
        retention: RETENTION,
        snapshot_delay: Duration::from_millis(100),
        ..StreamSettings::default()
    }
}

/// What happens to the world between two stretches of time.
#[derive(Debug, Clone)]
enum Move {
    Append(usize),
    Run(usize),
    Down(bool),
    /// Drops records whose retention is over.
    Expire(usize),
    /// Drops records, read or not.
    Truncate(usize),
    Restart(usize),
    Faults(u32, u32, u32, u32),
    Garbage,
}

fn moves(hard: bool) -> impl Strategy<Value = Vec<Move>> {
    let one = prop_oneof![
        8 => (0..3_usize).prop_map(Move::Append),
        6 => (1..80_usize).prop_map(Move::Run),
        1 => any::<bool>().prop_map(Move::Down),
        1 => (0..30_usize).prop_map(move |keep| if hard { Move::Truncate(keep) } else { Move::Expire(keep) }),
        1 => (0..3_usize).prop_map(Move::Restart),
        2 => (0..40_u32, 0..30_u32, 0..20_u32, 0..30_u32)
            .prop_map(|(lost, late, refused, read)| Move::Faults(lost, late, refused, read)),
        1 => Just(Move::Garbage),
    ];
    prop::collection::vec(one, 10..80)
}

/// Carries out the moves.
fn play(world: &mut World<Journal>, moves: &[Move], seen: &mut Tickets) {
    for step in moves {
        match step {
            Move::Append(index) => {
                seen.number += 1;
                let number = seen.number;
                world.event(*index, StreamEvent::Append { ticket: number, record: Entry::Value(number) });
            }
            Move::Run(steps) => world.run(*steps),
            Move::Down(down) => world.log.down = *down,
            Move::Expire(keep) => world.log.expire(RETENTION, *keep),
            Move::Truncate(keep) => world.log.truncate(*keep),
            Move::Restart(index) => {
                seen.collect(world);
                world.restart(*index);
            }
            Move::Faults(lost, late, refused, read) => {
                let [lost, late, refused, read] = [*lost, *late, *refused, *read];
                world.log.faults = Faults { lost, late, refused, read };
            }
            Move::Garbage => {
                world.log.push(Bytes::from_static(b"{\"producer\":1,\"seq\":"));
            }
        }
    }
}

/// Results of appends, over restarts.
#[derive(Debug, Default)]
struct Tickets {
    number: u64,
    committed: Vec<u64>,
    failed: Vec<u64>,
}

impl Tickets {
    fn collect(&mut self, world: &mut World<Journal>) {
        for node in &mut world.nodes {
            for action in node.actions.drain(..) {
                match action {
                    StreamAction::Committed { ticket, .. } => self.committed.push(ticket),
                    StreamAction::Failed { ticket } => self.failed.push(ticket),
                    _ => {}
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against records that are applied twice, lost or reordered, and hosts that disagree.
    #[test]
    fn clients_agree_over_faults(moves in moves(false), seed in any::<u64>()) {
        let mut world = World::<Journal>::new(StreamName::Jobs, 3, settings(), seed);
        let mut seen = Tickets::default();
        play(&mut world, &moves, &mut seen);
        world.settle();
        let late = world.add();
        world.run(300);
        world.meet();
        seen.collect(&mut world);

        let state = world.nodes[late].client.fold().clone();
        for node in &world.nodes {
            prop_assert_eq!(node.client.fold(), &state);
            prop_assert_eq!(node.client.next(), world.nodes[late].client.next());
            prop_assert_eq!(node.client.pending(), 0);
        }
        let values: Vec<u64> = state.values.iter().map(|(_, value)| *value).collect();
        let unique: BTreeSet<u64> = values.iter().copied().collect();
        prop_assert_eq!(unique.len(), values.len(), "applied twice: {:?}", values);
        for node in 1..=world.nodes.len() as u64 {
            let own: Vec<u64> =
                state.values.iter().filter(|(producer, _)| *producer == node).map(|(_, v)| *v).collect();
            prop_assert!(own.is_sorted(), "order of producer {} lost: {:?}", node, own);
        }
        let committed: BTreeSet<u64> = seen.committed.iter().copied().collect();
        prop_assert_eq!(committed.len(), seen.committed.len(), "committed twice");
        for ticket in &seen.failed {
            prop_assert!(!unique.contains(ticket), "{} failed and took effect", ticket);
        }
        for ticket in &committed {
            prop_assert!(unique.contains(ticket), "{} committed and was lost", ticket);
        }
    }

    /// Guards against hosts that go on with different states after records were lost that nobody had read.
    #[test]
    fn clients_never_disagree_at_an_offset(moves in moves(true), seed in any::<u64>()) {
        let mut world = World::<Journal>::new(StreamName::Jobs, 3, settings(), seed);
        let mut seen = Tickets::default();
        for step in moves.chunks(1) {
            play(&mut world, step, &mut seen);
            for (index, left) in world.nodes.iter().enumerate() {
                for right in &world.nodes[..index] {
                    let same = left.client.next() == right.client.next();
                    prop_assert!(!same || left.client.fold() == right.client.fold());
                }
            }
        }
    }

    /// Guards against a host that applies a record twice in a stream without snapshots.
    #[test]
    fn streams_without_snapshots_drop_duplicates(
        lost in 0..60_u32,
        late in 0..40_u32,
        appends in 1..40_u64,
        seed in any::<u64>(),
    ) {
        let mut world = World::<Plain>::new(StreamName::Intents, 3, settings(), seed);
        world.log.faults = Faults { lost, late, refused: 0, read: 10 };
        for number in 0..appends {
            let index = usize::try_from(number % 3).expect("small");
            world.event(index, StreamEvent::Append { ticket: number, record: number });
            world.run(3);
        }
        world.settle();
        for node in &world.nodes {
            let mut values: Vec<u64> = node.client.fold().values.iter().map(|(_, v)| *v).collect();
            values.sort_unstable();
            prop_assert_eq!(values, (0..appends).collect::<Vec<_>>());
        }
    }
}

/// Guards against a client that never learns that its record was truncated before it read it.
#[test]
fn truncated_unread_append_is_reported() {
    let mut world = World::<Plain>::new(StreamName::Intents, 1, settings(), 5);
    world.run(10);
    world.log.faults = Faults { read: 100, ..Faults::default() };
    world.event(0, StreamEvent::Append { ticket: 9, record: 9 });
    world.run(50);
    world.log.truncate(0);
    world.settle();
    assert!(world.nodes[0].actions.contains(&StreamAction::Unresolved { ticket: 9 }));
    assert_eq!(world.nodes[0].client.pending(), 0);
}

/// Guards against a log that answers with a gap or with fewer records than before.
#[test]
fn unsound_answers_are_not_folded() {
    use yuccahoist::duty::Duty;
    use yuccahoist::stream::StreamClient;
    use yuccahoist::systems::ReadBatch;
    use yuccahoist::unit::Timestamp;

    struct Case {
        earliest: u64,
        end: u64,
        offsets: &'static [u64],
    }
    let cases = [
        Case { earliest: 0, end: 3, offsets: &[1, 2] },
        Case { earliest: 0, end: 3, offsets: &[0, 2] },
        Case { earliest: 0, end: 1, offsets: &[0, 1] },
        Case { earliest: 0, end: 3, offsets: &[1, 0] },
    ];
    let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(1);
    for case in cases {
        let mut client = StreamClient::new(StreamName::Jobs, Incarnation(1), Journal::default(), settings());
        let mut out = Vec::new();
        client.handle(Timestamp::ZERO, StreamEvent::Tick, &mut rng, &mut out);
        let body = encode(&Envelope { producer: Incarnation(2), seq: Sequence(1), body: Entry::Value(1) });
        let body = body.expect("valid");
        let records = case.offsets.iter().map(|offset| (Offset(*offset), body.clone())).collect();
        let batch = ReadBatch { earliest: Offset(case.earliest), end: Offset(case.end), records };
        let event = StreamEvent::Read { asked: Timestamp::ZERO, result: Ok(batch) };
        client.handle(Timestamp::ZERO, event, &mut rng, &mut out);
        assert_eq!(client.next(), Offset(0), "{:?}", case.offsets);
        assert!(!client.available());
    }
}

/// Guards against snapshots that are never written, or written by all hosts at once.
#[test]
fn snapshots_are_written_by_few_hosts() {
    // The random delay is much longer than a call, as with the default settings.
    let settings = StreamSettings { snapshot_delay: Duration::from_secs(1), ..settings() };
    let mut world = World::<Journal>::new(StreamName::Jobs, 9, settings, 3);
    world.event(0, StreamEvent::Append { ticket: 1, record: Entry::Value(1) });
    world.run(6_000);
    let is_snapshot = |record: &&Bytes| String::from_utf8_lossy(record).contains("Snapshot");
    let snapshots = world.log.all.iter().filter(is_snapshot).count();
    // 60 s are 40 quarters of the retention.
    assert!((30..=160).contains(&snapshots), "{snapshots} snapshots");
}

/// Guards against state that is lost because every host is replaced before a snapshot is due by its own clock.
#[test]
fn snapshots_are_written_by_short_lived_hosts() {
    let mut world = World::<Journal>::new(StreamName::Jobs, 3, settings(), 9);
    for number in 1..=5 {
        world.event(0, StreamEvent::Append { ticket: number, record: Entry::Value(number) });
    }
    world.run(100);
    for round in 0..90 {
        // Each host lives for 1.2 s; a snapshot is due after 1.5 s.
        world.restart(round % 3);
        world.run(40);
    }
    // All at once, so that no host sees the log move towards the last snapshot, and none has the state.
    world.log.expire(RETENTION, 0);
    (0..3).for_each(|host| world.restart(host));
    let late = world.add();
    world.run(200);
    assert!(world.log.earliest > 5, "the values themselves are truncated");
    assert_eq!(world.nodes[late].client.fold().values.len(), 5);
}

/// Guards against a host that starts in a log outage and stays without state, or takes an older one.
#[test]
fn state_of_a_peer_is_taken_once() {
    let mut world = World::<Journal>::new(StreamName::Jobs, 1, settings(), 7);
    for number in 1..=3 {
        world.event(0, StreamEvent::Append { ticket: number, record: Entry::Value(number) });
    }
    world.run(100);
    let old = world.nodes[0].client.snapshot().expect("has records");
    world.event(0, StreamEvent::Append { ticket: 4, record: Entry::Value(4) });
    world.run(100);
    world.log.down = true;
    let late = world.add();
    world.run(100);
    assert_eq!(world.nodes[late].client.fold().values.len(), 4);
    world.event(late, StreamEvent::Restore { record: old });
    assert_eq!(world.nodes[late].client.fold().values.len(), 4);
    world.settle();
    assert_eq!(world.nodes[late].client.next(), world.nodes[0].client.next());
}

/// Guards against a second append before it is known that the first one is not in the log, and against its absence.
#[test]
fn lost_answer_is_resolved_by_reading() {
    use yuccahoist::duty::Duty;
    use yuccahoist::stream::StreamClient;
    use yuccahoist::systems::{CallError, ReadBatch};
    use yuccahoist::unit::Timestamp;

    for landed in [true, false] {
        let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(1);
        let mut client = StreamClient::new(StreamName::Intents, Incarnation(1), Plain::default(), settings());
        let mut at = |millis: u64, event: StreamEvent<u64>| {
            let mut out = Vec::new();
            client.handle(Timestamp::from_millis(millis), event, &mut rng, &mut out);
            out
        };
        let batch = |end: u64, records: Vec<(Offset, Bytes)>| {
            Ok(ReadBatch { earliest: Offset(0), end: Offset(end), records })
        };
        let sent = |out: &[StreamAction<u64>]| {
            out.iter().find_map(|action| match action {
                StreamAction::SendAppend { record, .. } => Some(record.clone()),
                _ => None,
            })
        };
        let record = sent(&at(0, StreamEvent::Append { ticket: 7, record: 7 })).expect("sent");
        let lost = CallError::Unknown { step: "append", peer: "log".into(), reason: "test".into() };
        at(100, StreamEvent::Appended { seq: Sequence(1), result: Err(lost) });
        // This read was sent before the answer was lost, so it proves nothing.
        let out = at(500, StreamEvent::Read { asked: Timestamp::ZERO, result: batch(0, Vec::new()) });
        assert_eq!(sent(&out), None);
        let zero_wait = StreamAction::SendRead { from: Offset(0), wait: Duration::ZERO };
        assert!(out.contains(&zero_wait), "the read that resolves it must not be a long poll: {out:?}");
        assert_eq!(sent(&at(600, StreamEvent::Tick)), None);
        let asked = Timestamp::from_millis(500);
        let records = if landed { vec![(Offset(0), record.clone())] } else { Vec::new() };
        let result = batch(records.len() as u64, records);
        let out = at(700, StreamEvent::Read { asked, result });
        let committed = StreamAction::Committed { ticket: 7, offset: Offset(0) };
        assert_eq!(out.contains(&committed), landed);
        assert_eq!(sent(&out), (!landed).then_some(record), "the same record is appended again");
    }
}
