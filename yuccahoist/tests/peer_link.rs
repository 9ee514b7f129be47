//! Peer connections over loopback: order, time limits, reconnect and loss.

mod common;

use std::io::{Read, Write};
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use yuccahoist::daemon::{Daemon, Running};
use yuccahoist::dispatch::ForwardId;
use yuccahoist::event::{HostAction, HostEvent};
use yuccahoist::id::{Incarnation, RequestId};
use yuccahoist::peer::PeerMessage;
use yuccahoist::request::{Answer, Class, Outcome, Request};
use yuccahoist::settings::Settings;
use yuccahoist::unit::{Timestamp, WallTime};

use self::common::{Puppet, platform, settings};

fn start(settings: Settings) -> (Puppet, Running) {
    let (puppet, machine) = Puppet::new();
    let running = Daemon::start(settings, machine, platform()).expect("started");
    (puppet, running)
}

fn accepted(number: u64) -> PeerMessage {
    PeerMessage::Accepted { forward: ForwardId { front: Incarnation(1), number } }
}

fn send(to: &Running, message: PeerMessage, until: Option<Timestamp>) -> HostAction {
    HostAction::Send { to: to.incarnation(), address: to.peer(), message, until }
}

/// Guards against lost, repeated or reordered messages, and against batches that mix up what they carry.
#[tokio::test]
async fn messages_arrive_once_and_in_order() {
    const COUNT: u64 = 3_000;
    let (sender, a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    for number in 0..COUNT {
        // Every tenth message has a body, so that batches end by size as well as by number.
        let forward = ForwardId { front: Incarnation(1), number };
        let body = Bytes::from(vec![number as u8; 20_000]);
        let outcome = Outcome::Answered(Answer { status: 200, body });
        let message = match number % 10 {
            0 => PeerMessage::Finished { forward, outcome },
            _ => accepted(number),
        };
        sender.act(send(&b, message, None));
    }
    for number in 0..COUNT {
        let HostEvent::Peer { from, message } = receiver.next().await else { panic!("not a message") };
        assert_eq!(from, a.incarnation());
        match message {
            PeerMessage::Accepted { forward } => assert_eq!(forward.number, number),
            PeerMessage::Finished { forward, outcome: Outcome::Answered(answer) } => {
                assert_eq!(forward.number, number);
                assert_eq!(answer.body, vec![number as u8; 20_000]);
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a message that leaves after its time limit.
#[tokio::test]
async fn late_messages_are_reported_as_not_sent() {
    let (mut sender, _a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    sender.act(send(&b, accepted(1), Some(Timestamp::ZERO)));
    sender.act(send(&b, accepted(2), Some(Timestamp::MAX)));
    let HostEvent::PeerNotSent { to, message } = sender.next().await else { panic!("sent") };
    assert_eq!((to, message), (b.incarnation(), accepted(1)));
    assert_matches!(receiver.next().await, HostEvent::Peer { message, .. } if message == accepted(2));
}

/// Guards against a deadline that is not carried over as the time that remains.
#[tokio::test]
async fn forwards_carry_the_remaining_time() {
    let (sender, _a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    let request = Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [3; 10]),
        service: "drumline".parse().expect("service"),
        class: Class::Urgent,
        team: "day".parse().expect("team"),
        idempotent: true,
        deadline: Timestamp::from_millis(3_600_000),
        body: Bytes::from_static(b"body"),
    };
    let message = PeerMessage::Forward {
        forward: ForwardId { front: Incarnation(1), number: 1 },
        shard: "rack-1".parse().expect("rack"),
        request: request.clone(),
        remaining: Duration::ZERO,
    };
    sender.act(send(&b, message, None));
    let HostEvent::Peer { message: PeerMessage::Forward { request: got, remaining, .. }, .. } =
        receiver.next().await
    else {
        panic!("not a forward")
    };
    assert!(remaining > Duration::from_secs(3_000) && remaining < Duration::from_secs(3_600));
    assert_eq!(got, Request { deadline: got.deadline, ..request });
}

/// Guards against a peer that is silently lost, and against a connection that is not made again.
#[tokio::test]
async fn loss_is_reported_at_both_ends_and_the_connection_is_made_again() {
    let (mut sender, a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    sender.act(send(&b, accepted(1), None));
    assert_matches!(receiver.next().await, HostEvent::Peer { .. });
    let mut again = settings("b");
    again.listen.peer = b.peer();
    again.host.incarnation = b.incarnation();
    b.kill();
    assert_matches!(sender.next().await, HostEvent::PeerLost { .. });

    let (mut receiver, b) = start(again);
    // The first messages may meet the pause after a refused connection.
    for number in 2.. {
        sender.act(send(&b, accepted(number), None));
        tokio::select! {
            event = sender.next() => assert_matches!(event, HostEvent::PeerNotSent { .. }),
            event = receiver.next() => {
                assert_matches!(event, HostEvent::Peer { message, .. } if message == accepted(number));
                break;
            }
        }
    }
    let lost = a.incarnation();
    a.kill();
    assert_matches!(receiver.next().await, HostEvent::PeerLost { peer } if peer == lost);
}

/// Guards against a message for an ended process that its successor at the same address takes as its own.
#[tokio::test]
async fn messages_for_another_incarnation_are_not_delivered() {
    let (mut sender, _a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    let to = Incarnation(b.incarnation().0 ^ 1);
    sender.act(HostAction::Send { to, address: b.peer(), message: accepted(1), until: None });
    assert_matches!(sender.next().await, HostEvent::PeerNotSent { message, .. } if message == accepted(1));
    sender.act(send(&b, accepted(2), None));
    assert_matches!(receiver.next().await, HostEvent::Peer { message, .. } if message == accepted(2));
}

/// Guards against a host that ends or stops listening when a peer's address gets bytes that are no message.
#[tokio::test]
async fn hostile_connections_change_nothing() {
    let (sender, _a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    let address = b.peer();
    let garbage = [&[0xff; 64][..], &[0, 0, 0, 0, 0, 0, 0, 0x80], b"GET / HTTP/1.1\r\n\r\n", &[]];
    for bytes in garbage {
        let mut stream = std::net::TcpStream::connect(address).expect("connected");
        stream.write_all(bytes).expect("written");
        stream.shutdown(std::net::Shutdown::Write).expect("closed");
        let read = tokio::task::spawn_blocking(move || {
            stream.set_read_timeout(Some(Duration::from_secs(20)))?;
            std::io::copy(&mut stream.take(1 << 20), &mut std::io::sink())
        });
        // The host closes the connection, by a reset if bytes were left.
        let _ = read.await.expect("no panic");
    }
    sender.act(send(&b, accepted(1), None));
    assert_matches!(receiver.next().await, HostEvent::Peer { .. });
}
