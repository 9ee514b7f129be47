//! Tests of the membership state machine.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::{HostId, Incarnation};
use yuccahoist::membership::{Membership, MembershipAction, MembershipEvent};
use yuccahoist::ownership::Member;
use yuccahoist::state_machine::StateMachine;
use yuccahoist::systems::HostState;
use yuccahoist::unit::Timestamp;

const OWN_INCARNATION: Incarnation = Incarnation(1);
const PEER_INCARNATION: Incarnation = Incarnation(2);

fn view() -> MembershipEvent {
    let member = |incarnation: Incarnation| Member {
        host: HostId::new(&format!("host-{incarnation}")).expect("valid host name"),
        incarnation,
        address: ([127, 0, 0, 1], 7000).into(),
        zone: "zone-a".parse().expect("valid zone name"),
        site: "site-a".parse().expect("valid site name"),
    };
    MembershipEvent::View(vec![member(OWN_INCARNATION), member(PEER_INCARNATION)])
}

fn heartbeat() -> MembershipEvent {
    MembershipEvent::Heartbeat { from: PEER_INCARNATION, stopping: false }
}

fn hosts(state: HostState) -> MembershipEvent {
    MembershipEvent::Hosts(BTreeMap::from([("host-2".to_string(), state)]))
}

/// Feeds events at times in milliseconds to a new state machine and returns its actions with their times.
fn run(events: Vec<(u64, MembershipEvent)>) -> Vec<(u64, MembershipAction)> {
    let mut membership = Membership::new(OWN_INCARNATION);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut actions = Vec::new();
    for (millis, event) in events {
        let mut out = Vec::new();
        membership.handle(Timestamp::from_millis(millis), event, &mut rng, &mut out);
        actions.extend(out.into_iter().map(|action| (millis, action)));
    }
    actions
}

/// Returns a tick every 100 ms from `from` to `to`, both in milliseconds and included.
fn ticks(from: u64, to: u64) -> Vec<(u64, MembershipEvent)> {
    (from..=to).step_by(100).map(|millis| (millis, MembershipEvent::Tick)).collect()
}

struct Case {
    /// Failure that the case guards against.
    failure: &'static str,
    events: Vec<(u64, MembershipEvent)>,
    expected: Vec<(u64, MembershipAction)>,
}

#[test]
fn suspicion_and_leaving_follow_heartbeats_and_host_list() {
    let suspected = |suspected| MembershipAction::Suspected { incarnation: PEER_INCARNATION, suspected };
    let leaving = |leaving| MembershipAction::Leaving { incarnation: PEER_INCARNATION, leaving };
    let cases = [
        Case {
            failure: "member without heartbeats is not suspected",
            events: [vec![(0, view())], ticks(100, 2000)].concat(),
            expected: vec![(1500, suspected(true))],
        },
        Case {
            failure: "member with recent heartbeats is suspected",
            events: [vec![(0, view())], ticks(100, 1400), vec![(1450, heartbeat())], ticks(1500, 2900)]
                .concat(),
            expected: vec![],
        },
        Case {
            failure: "member stays suspected after a new heartbeat",
            events: [vec![(0, view())], ticks(100, 1600), vec![(1650, heartbeat())]].concat(),
            expected: vec![(1500, suspected(true)), (1650, suspected(false))],
        },
        Case {
            failure: "process suspects its peers after it was paused",
            events: [vec![(0, view())], ticks(100, 1000), ticks(9000, 9400)].concat(),
            expected: vec![],
        },
        Case {
            failure: "member that leaves by the host list is not reported",
            events: vec![(0, view()), (10, hosts(HostState::Leaving)), (20, hosts(HostState::Live))],
            expected: vec![(10, leaving(true)), (20, leaving(false))],
        },
        Case {
            failure: "member that stops by its heartbeat is not reported as leaving",
            events: vec![
                (0, view()),
                (10, MembershipEvent::Heartbeat { from: PEER_INCARNATION, stopping: true }),
            ],
            expected: vec![(10, leaving(true))],
        },
        Case {
            failure: "heartbeat of a sender outside the view is accepted",
            events: vec![
                (10, heartbeat()),
                (20, MembershipEvent::Heartbeat { from: OWN_INCARNATION, stopping: true }),
            ],
            expected: vec![],
        },
    ];
    for case in cases {
        let mut actions = run(case.events);
        actions.retain(|(_, action)| !matches!(action, MembershipAction::SendHeartbeat { .. }));
        assert_eq!(actions, case.expected, "{}", case.failure);
    }
}

/// Guards against a wrong heartbeat interval and against heartbeats to the process itself.
#[test]
fn heartbeats_go_to_peers_every_half_second() {
    let actions = run([vec![(0, view())], ticks(0, 2000)].concat());
    let sent: Vec<_> = actions
        .into_iter()
        .filter_map(|(millis, action)| match action {
            MembershipAction::SendHeartbeat { to } => Some((millis, to)),
            _ => None,
        })
        .collect();
    let expected: Vec<_> = [0, 500, 1000, 1500, 2000].map(|millis| (millis, vec![PEER_INCARNATION])).into();
    assert_eq!(sent, expected);
}
