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
use yuccahoist::peer::{MAX_MESSAGE_BYTES, PeerMessage, encode};
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

/// First frame of a connection: a delivery of two data words and one pointer that names sender and receiver.
fn hello(from: u64, to: Incarnation) -> Vec<u8> {
    let words = [4 << 32, 2 << 32 | 1 << 48, from, to.0, 0];
    words.iter().flat_map(|word: &u64| word.to_le_bytes()).collect()
}

fn count(stream: &mut std::net::TcpStream) -> u64 {
    let mut bytes = [0; 8];
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
    stream.read_exact(&mut bytes).expect("confirmed");
    u64::from_le_bytes(bytes)
}

/// How a test ends its side of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Close {
    /// Not at all: the host must close.
    Never,
    /// After the last byte.
    End,
    /// By a reset, because a confirmation is not read.
    Reset,
}

/// Guards against memory or time spent on a frame beyond the limits, a part of a frame that is delivered, and a
/// connection that breaks within a frame and is not reported.
#[tokio::test]
async fn damaged_frames_end_the_connection() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        close: Close,
    }
    let header = |segments: u32, words: usize| {
        let words = u32::try_from(words).expect("words");
        [(segments - 1).to_le_bytes(), words.to_le_bytes()].concat()
    };
    let frame = encode(vec![accepted(2)]).expect("encoded");
    let part = |length: usize| frame[..length].to_vec();
    let half = frame.len() / 2;
    let cases = [
        Case { name: "too large", bytes: header(1, MAX_MESSAGE_BYTES / 8), close: Close::Never },
        Case { name: "largest length", bytes: header(1, u32::MAX as usize), close: Close::Never },
        Case { name: "segments", bytes: header(513, 1), close: Close::Never },
        Case { name: "most segments", bytes: vec![0xff; 8], close: Close::Never },
        Case { name: "not a delivery", bytes: [header(1, 1), vec![0xff; 8]].concat(), close: Close::Never },
        Case { name: "end in the header", bytes: part(3), close: Close::End },
        Case { name: "end after the header", bytes: part(8), close: Close::End },
        Case { name: "end in a segment", bytes: part(half), close: Close::End },
        Case { name: "end before the last byte", bytes: part(frame.len() - 1), close: Close::End },
        Case { name: "reset in the header", bytes: part(3), close: Close::Reset },
        Case { name: "reset in a segment", bytes: part(half), close: Close::Reset },
        Case { name: "reset without a frame", bytes: Vec::new(), close: Close::Reset },
    ];
    let (mut receiver, b) = start(settings("b"));
    for (number, Case { name, bytes, close }) in (1..).zip(cases) {
        let mut stream = std::net::TcpStream::connect(b.peer()).expect("connected");
        stream.write_all(&hello(number, b.incarnation())).expect("written");
        let whole = encode(vec![accepted(1)]).expect("encoded");
        stream.write_all(&whole).expect("written");
        // The whole frame before the damaged one is delivered.
        let event = receiver.next().await;
        assert_matches!(event, HostEvent::Peer { from, message }
            if from == Incarnation(number) && message == accepted(1), "{name}");
        stream.write_all(&bytes).expect("written");
        match close {
            Close::Never => {}
            Close::End => stream.shutdown(std::net::Shutdown::Write).expect("closed"),
            // Closing with the unread confirmation of the first frame resets the connection.
            Close::Reset => {}
        }
        let kept = (close != Close::Reset).then_some(stream);
        let event = receiver.next().await;
        assert_matches!(event, HostEvent::PeerLost { peer } if peer == Incarnation(number), "{name}");
        drop(kept);
    }
    // The host still takes whole frames.
    let (sender, _a) = start(settings("a"));
    sender.act(send(&b, accepted(3), None));
    assert_matches!(receiver.next().await, HostEvent::Peer { message, .. } if message == accepted(3));
}

/// Guards against a first frame that is not confirmed, and against confirmations that are not the number of frames.
#[tokio::test]
async fn confirmations_count_frames() {
    let (mut receiver, b) = start(settings("b"));
    let mut stream = std::net::TcpStream::connect(b.peer()).expect("connected");
    stream.write_all(&hello(7, Incarnation(0))).expect("written");
    let mut stream = tokio::task::spawn_blocking(move || {
        assert_eq!(count(&mut stream), 1);
        stream
    })
    .await
    .expect("first");
    stream.write_all(&encode(vec![accepted(1), accepted(2)]).expect("encoded")).expect("written");
    for number in 1..=2 {
        assert_matches!(receiver.next().await, HostEvent::Peer { message, .. } if message == accepted(number));
    }
    let second = tokio::task::spawn_blocking(move || count(&mut stream)).await.expect("second");
    assert_eq!(second, 2);
}

/// Guards against a sender that takes a confirmation of what it did not send, or of less than before.
#[tokio::test]
async fn wrong_confirmations_end_the_connection() {
    for wrong in [0, 1, 3, u64::MAX] {
        let (mut sender, _a) = start(settings("a"));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("address");
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("accepted");
            stream.read_exact(&mut [0; 40]).expect("first frame");
            stream.write_all(&1_u64.to_le_bytes()).expect("written");
            stream.read_exact(&mut [0; 8]).expect("message");
            stream.write_all(&wrong.to_le_bytes()).expect("written");
            stream
        });
        let to = Incarnation(5);
        sender.act(HostAction::Send { to, address, message: accepted(1), until: None });
        assert_matches!(sender.next().await, HostEvent::PeerLost { peer } if peer == to, "{wrong}");
        drop(peer.join());
    }
}
