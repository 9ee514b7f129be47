//! Tests of the membership duty.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::duty::Duty;
use yuccahoist::id::{HostId, Incarnation};
use yuccahoist::membership::{Membership, MembershipAction, MembershipEvent};
use yuccahoist::ownership::Member;
use yuccahoist::systems::HostState;
use yuccahoist::unit::Timestamp;

const OWN: Incarnation = Incarnation(1);
const PEER: Incarnation = Incarnation(2);

fn view() -> MembershipEvent {
    let member = |incarnation: Incarnation| Member {
        host: HostId::new(&format!("host-{incarnation}")).expect("name"),
        incarnation,
        address: ([127, 0, 0, 1], 7000).into(),
        zone: "zone-a".parse().expect("name"),
        site: "site-a".parse().expect("name"),
    };
    MembershipEvent::View(vec![member(OWN), member(PEER)])
}

fn heard() -> MembershipEvent {
    MembershipEvent::Heard { from: PEER, stopping: false }
}

fn hosts(state: HostState) -> MembershipEvent {
    MembershipEvent::Hosts(BTreeMap::from([("host-2".to_string(), state)]))
}

fn run(events: Vec<(u64, MembershipEvent)>) -> Vec<(u64, MembershipAction)> {
    let mut membership = Membership::new(OWN);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut actions = Vec::new();
    for (millis, event) in events {
        let mut out = Vec::new();
        membership.handle(Timestamp::from_millis(millis), event, &mut rng, &mut out);
        actions.extend(out.into_iter().map(|action| (millis, action)));
    }
    actions
}

/// Ticks every 100 ms from `from` to `to`.
fn ticks(from: u64, to: u64) -> Vec<(u64, MembershipEvent)> {
    (from..=to).step_by(100).map(|millis| (millis, MembershipEvent::Tick)).collect()
}

struct Case {
    fault: &'static str,
    events: Vec<(u64, MembershipEvent)>,
    expected: Vec<(u64, MembershipAction)>,
}

#[test]
fn suspicion_and_leaving() {
    let suspected = |suspected| MembershipAction::Suspected { incarnation: PEER, suspected };
    let leaving = |leaving| MembershipAction::Leaving { incarnation: PEER, leaving };
    let cases = [
        Case {
            fault: "silent member is not suspected",
            events: [vec![(0, view())], ticks(100, 2000)].concat(),
            expected: vec![(1500, suspected(true))],
        },
        Case {
            fault: "member that is heard is suspected",
            events: [vec![(0, view())], ticks(100, 1400), vec![(1450, heard())], ticks(1500, 2900)].concat(),
            expected: vec![],
        },
        Case {
            fault: "member that is heard again stays suspected",
            events: [vec![(0, view())], ticks(100, 1600), vec![(1650, heard())]].concat(),
            expected: vec![(1500, suspected(true)), (1650, suspected(false))],
        },
        Case {
            fault: "process that was paused suspects its peers",
            events: [vec![(0, view())], ticks(100, 1000), ticks(9000, 9400)].concat(),
            expected: vec![],
        },
        Case {
            fault: "host list does not mark a leaving member",
            events: vec![(0, view()), (10, hosts(HostState::Leaving)), (20, hosts(HostState::Live))],
            expected: vec![(10, leaving(true)), (20, leaving(false))],
        },
        Case {
            fault: "heartbeat does not mark a stopping member",
            events: vec![(0, view()), (10, MembershipEvent::Heard { from: PEER, stopping: true })],
            expected: vec![(10, leaving(true))],
        },
        Case {
            fault: "sender outside the view counts",
            events: vec![(10, heard()), (20, MembershipEvent::Heard { from: OWN, stopping: true })],
            expected: vec![],
        },
    ];
    for case in cases {
        let mut actions = run(case.events);
        actions.retain(|(_, action)| !matches!(action, MembershipAction::SendHeartbeat { .. }));
        assert_eq!(actions, case.expected, "{}", case.fault);
    }
}

/// Guards against heartbeats that are too rare, too frequent, or sent to the process itself.
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
    let expected: Vec<_> = [0, 500, 1000, 1500, 2000].map(|millis| (millis, vec![PEER])).into();
    assert_eq!(sent, expected);
}
