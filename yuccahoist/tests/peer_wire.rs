//! Wire form of peer messages: it keeps everything, and bytes that are not a message are refused without a panic.

use std::time::Duration;

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccahoist::dispatch::{ForwardId, LoadSummary};
use yuccahoist::id::{Epoch, Incarnation, Offset, RequestId, Revision};
use yuccahoist::job::{ShardRequest, ShardRequestBody};
use yuccahoist::ownership::OwnershipMessage;
use yuccahoist::peer::{Heartbeat, PeerMessage, decode, encode};
use yuccahoist::request::{Answer, Class, Doubt, Outcome, Refusal, Request};
use yuccahoist::stream::StreamName;
use yuccahoist::unit::{Timestamp, WallTime};

const NOW: Timestamp = Timestamp::from_millis(5_000);

fn config() -> ProptestConfig {
    ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() }
}

fn forward_id(number: u64) -> ForwardId {
    ForwardId { front: Incarnation(number ^ 0x5555), number }
}

fn request(body: Vec<u8>) -> Request {
    Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [3; 10]),
        service: "drumline".parse().expect("service"),
        class: Class::Heavy,
        team: "day".parse().expect("team"),
        idempotent: true,
        deadline: NOW + Duration::from_millis(250),
        body: Bytes::from(body),
    }
}

fn outcomes(body: Vec<u8>) -> Vec<Outcome> {
    vec![
        Outcome::Answered(Answer { status: 404, body: Bytes::from(body) }),
        Outcome::NotRun(Refusal::Overloaded { retry: Duration::from_millis(70) }),
        Outcome::Unknown(Doubt::OwnerLost),
    ]
}

/// One message of each variant.
fn all(number: u64, body: Vec<u8>) -> Vec<PeerMessage> {
    let forward = forward_id(number);
    let id = request(Vec::new()).id;
    let mut messages = vec![
        PeerMessage::Heartbeat(Heartbeat {
            host: "entry-1".parse().expect("host"),
            address: "127.0.0.1:7401".parse().expect("address"),
            site: "yard".parse().expect("site"),
            revision: Revision(number),
            offset: Offset(2),
            digest: 3,
            stopping: true,
        }),
        PeerMessage::Load(vec![LoadSummary {
            shard: "rack-1".parse().expect("rack"),
            epoch: Epoch(number),
            free: [(Class::Urgent, 3)].into(),
            wait_ms: [(Class::Batch, 9)].into(),
            services: vec!["drumline".parse().expect("service")],
        }]),
        PeerMessage::Forward {
            forward,
            shard: "rack-1".parse().expect("rack"),
            request: request(body.clone()),
            remaining: Duration::from_millis(250),
        },
        PeerMessage::Accepted { forward },
        PeerMessage::Withdraw { forward },
        PeerMessage::Ownership(OwnershipMessage::PromiseRequest {
            round: number,
            epochs: vec![Epoch(1)],
            length: Duration::from_secs(2),
        }),
        PeerMessage::Shard(ShardRequest {
            partition: yuccahoist::id::PartitionId(3),
            epoch: Epoch(number),
            shard: "rack-1".parse().expect("rack"),
            body: ShardRequestBody::List,
        }),
        PeerMessage::AnswerQuery { id, digest: number },
        PeerMessage::SnapshotQuery { stream: StreamName::Cell },
        PeerMessage::JobStatusQuery { number, job: "plan-1".parse().expect("job") },
        PeerMessage::JobStatusReply { number, status: None },
        PeerMessage::SnapshotReply { stream: StreamName::Config, snapshot: body.clone() },
    ];
    for outcome in outcomes(body) {
        messages.push(PeerMessage::Finished { forward, outcome: outcome.clone() });
        messages.push(PeerMessage::AnswerReply { id, outcome });
    }
    messages
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a field that is lost or changed between hosts.
    #[test]
    fn messages_round_trip(number: u64, body in vec(any::<u8>(), 0..2_000)) {
        let messages = all(number, body);
        let bytes = encode(messages.clone()).expect("encoded");
        prop_assert_eq!(decode(&bytes, NOW).expect("decoded"), messages);
    }

    /// Guards against a host that a peer can end with bytes that are no message.
    #[test]
    fn random_bytes_are_refused(bytes in vec(any::<u8>(), 0..4_000)) {
        let _ = decode(&bytes, NOW);
    }

    /// Guards against a host that a damaged message ends.
    #[test]
    fn damaged_messages_do_not_panic(
        changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..20),
        cut in any::<prop::sample::Index>(),
        number: u64,
    ) {
        let mut bytes = encode(all(number, vec![1; 40])).expect("encoded");
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        let _ = decode(&bytes, NOW);
        bytes.truncate(cut.index(bytes.len()));
        let _ = decode(&bytes, NOW);
    }
}

/// Guards against a header that makes the receiver allocate what it announces.
#[test]
fn announced_sizes_are_checked_before_allocation() {
    // One segment of 2^31 words.
    let bytes = [0, 0, 0, 0, 0, 0, 0, 0x80];
    let error = decode(&bytes, NOW).expect_err("too large").to_string();
    assert!(error.contains("too large"), "{error}");
}

/// Guards against a delivery whose handling takes the host actor for long.
#[test]
fn too_many_messages_are_refused() {
    let message = PeerMessage::SnapshotQuery { stream: StreamName::Cell };
    let bytes = encode(vec![message; yuccahoist::peer::MAX_BATCH_MESSAGES + 1]).expect("encoded");
    let error = decode(&bytes, NOW).expect_err("too many").to_string();
    assert!(error.contains("at most 256"), "{error}");
}

/// Guards against a deadline that is read on the sender's clock.
#[test]
fn deadlines_are_set_by_the_receivers_clock() {
    let messages = all(1, Vec::new());
    let bytes = encode(messages).expect("encoded");
    let later = NOW + Duration::from_secs(100);
    let decoded = decode(&bytes, later).expect("decoded");
    let deadline = decoded.iter().find_map(|message| match message {
        PeerMessage::Forward { request, .. } => Some(request.deadline),
        _ => None,
    });
    assert_eq!(deadline, Some(later + Duration::from_millis(250)));
}
