//! Ways to bring the load summary of every host to every other host.
//!
//! All-to-all is what the product does. In the binary schemes a host sends in step `j` of a round everything that it has
//! received so far in the round to the host `2^j` places further on a ring, so that a round takes `log2` steps. This is
//! the dissemination step of BBOBB (Simatic and Tellier, 2016). Steps follow timers and not the messages of the step
//! before, because a failed host would hold up the whole ring. Bytes are those of the product's own encoding.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use yuccahoist::dispatch::LoadSummary;
use yuccahoist::id::Epoch;
use yuccahoist::peer::{PeerMessage, encode};
use yuccahoist::request::Class;

/// Time between rounds, the product's time between load summaries.
const ROUND: u64 = 500_000;
/// Time between the steps of a round, microseconds; above the longest way and the clock error together.
const STEP: u64 = 20_000;
/// Shortest way between hosts, microseconds.
const HOP: u64 = 1_500;
/// Longest additional time of a way, microseconds.
const JITTER: u64 = 1_000;
/// Largest difference of the clocks by which rounds start, microseconds.
const SKEW: u64 = 5_000;
/// Rounds of a run.
const ROUNDS: u64 = 120;
/// Round in which the host fails.
const FAILURE: u64 = 40;
/// Rounds from the failure on in which ages are counted, 5 s.
const EFFECT: u64 = 10;
/// Time until the other hosts leave a failed host out, the product's time until suspicion.
const SUSPECT: u64 = 1_500_000;
/// Time between two looks at the age of the summaries, microseconds.
const LOOK: u64 = 25_000;
/// Shards of the cell.
const SHARDS: usize = 90;
/// Bytes that name the owner of forwarded summaries.
const OWNER_BYTES: usize = 8;

/// Way to disseminate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scheme {
    /// Each host sends to each other host.
    AllToAll,
    /// Steps of powers of two on one ring.
    Binary,
    /// The same on a ring that is shuffled by the number of the round.
    Shuffled,
}

/// Figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Scheme.
    pub scheme: Scheme,
    /// Hosts.
    pub hosts: usize,
    /// Whether one host failed.
    pub failed: bool,
    /// Messages sent per host and second.
    pub messages: f64,
    /// Bytes sent per host and second.
    pub bytes: f64,
    /// Mean age of the last summary of a live host, milliseconds.
    pub mean: f64,
    /// 99th percentile of the age.
    pub p99: f64,
    /// Largest age.
    pub max: f64,
}

/// Known times of the summaries, `u64::MAX` for none: `known[receiver][origin]`.
type Known = Vec<Vec<Option<u64>>>;

struct Delivery {
    at: u64,
    to: usize,
    /// Origins with the times of their summaries.
    content: Vec<(usize, u64)>,
}

struct Run {
    scheme: Scheme,
    hosts: usize,
    failed: bool,
    rng: ChaCha8Rng,
    skew: Vec<u64>,
    known: Known,
    pending: BTreeMap<(u64, u64), Delivery>,
    number: u64,
    sent: u64,
    bytes: u64,
    ages: Histogram<u64>,
    sizes: Vec<u64>,
}

/// Bytes of a message with the summaries of each number of hosts.
fn sizes(hosts: usize) -> Vec<u64> {
    let summary = |number: usize| LoadSummary {
        shard: format!("rack-{number}").parse().expect("valid name"),
        epoch: Epoch(10_000 + number as u64),
        free: Class::ALL.into_iter().map(|class| (class, 32)).collect(),
        wait_ms: Class::ALL.into_iter().map(|class| (class, 0)).collect(),
        services: vec!["service-1".parse().expect("valid name")],
    };
    let size = |owners: usize| {
        let shards = (SHARDS * owners).div_ceil(hosts);
        let load = PeerMessage::Load((0..shards).map(summary).collect());
        let bytes =
            encode(vec![load]).map_or(0, |bytes| bytes.len()) + OWNER_BYTES * owners.saturating_sub(1);
        bytes as u64
    };
    (0..=hosts).map(size).collect()
}

impl Run {
    fn is_live(&self, host: usize, at: u64) -> bool {
        !self.failed || host != 0 || at < FAILURE * ROUND
    }

    fn send(&mut self, at: u64, to: usize, content: Vec<(usize, u64)>) {
        self.sent += 1;
        self.bytes += self.sizes[content.len()];
        self.number += 1;
        let arrival = at + HOP + self.rng.random_range(0..=JITTER);
        self.pending.insert((arrival, self.number), Delivery { at: arrival, to, content });
    }

    fn deliver(&mut self, until: u64) {
        while let Some(entry) = self.pending.first_entry()
            && entry.key().0 <= until
        {
            let delivery = entry.remove();
            if !self.is_live(delivery.to, delivery.at) {
                continue;
            }
            for (origin, time) in delivery.content {
                let known = &mut self.known[delivery.to][origin];
                *known = (*known).max(Some(time));
            }
        }
    }

    /// Hosts of the ring in a round.
    fn ring(&self, round: u64) -> Vec<usize> {
        let noticed = self.failed && round * ROUND >= FAILURE * ROUND + SUSPECT;
        let mut ring: Vec<usize> = (usize::from(noticed)..self.hosts).collect();
        if self.scheme == Scheme::Shuffled {
            ring.shuffle(&mut ChaCha8Rng::seed_from_u64(round));
        }
        ring
    }

    /// Sends of a round: time, place in the ring, step.
    fn sends(&self, round: u64, ring: &[usize]) -> Vec<(u64, usize, u32)> {
        let steps = if self.scheme == Scheme::AllToAll { 1 } else { ring.len().next_power_of_two().ilog2() };
        let place = |step: u32| {
            let start = round * ROUND + u64::from(step) * STEP;
            ring.iter().enumerate().map(move |(place, host)| (start + self.skew[*host], place, step))
        };
        let mut sends: Vec<_> = (0..steps).flat_map(place).collect();
        sends.sort_unstable();
        sends
    }

    fn round(&mut self, round: u64) {
        let ring = self.ring(round);
        let mut look = round * ROUND;
        for (at, place, step) in self.sends(round, &ring) {
            while look < at {
                self.look(look);
                look += LOOK;
            }
            self.deliver(at);
            let host = ring[place];
            if !self.is_live(host, at) {
                continue;
            }
            if step == 0 {
                self.known[host][host] = Some(at);
            }
            if self.scheme == Scheme::AllToAll {
                for to in ring.iter().filter(|to| **to != host) {
                    self.send(at, *to, vec![(host, at)]);
                }
                continue;
            }
            // Content of this round only: what is older was disseminated before.
            let since = (round * ROUND).saturating_sub(SKEW);
            let fresh = self.known[host].iter().enumerate().filter_map(|(o, t)| Some((o, (*t)?)));
            let content: Vec<_> = fresh.filter(|(_, time)| *time >= since).collect();
            self.send(at, ring[(place + (1 << step)) % ring.len()], content);
        }
        while look < (round + 1) * ROUND {
            self.look(look);
            look += LOOK;
        }
    }

    /// Records the age of every summary at every live host.
    fn look(&mut self, at: u64) {
        self.deliver(at);
        // The first rounds fill the tables; with a failure, only the time in which it has effects counts.
        let counted = if self.failed { FAILURE..FAILURE + EFFECT } else { 4..ROUNDS };
        if !counted.contains(&(at / ROUND)) {
            return;
        }
        let live: Vec<usize> = (0..self.hosts).filter(|host| self.is_live(*host, at)).collect();
        for host in &live {
            for origin in live.iter().filter(|origin| *origin != host) {
                let age = at - self.known[*host][*origin].unwrap_or_default().min(at);
                self.ages.saturating_record(age);
            }
        }
    }
}

/// Runs one scheme.
#[must_use]
pub fn run(scheme: Scheme, hosts: usize, failed: bool, seed: u64) -> Row {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // All-to-all needs no common rounds; its hosts send at any time.
    let spread = if scheme == Scheme::AllToAll { ROUND - 1 } else { SKEW };
    let skew = (0..hosts).map(|_| rng.random_range(0..=spread)).collect();
    let mut run = Run {
        scheme,
        hosts,
        failed,
        rng,
        skew,
        known: vec![vec![None; hosts]; hosts],
        pending: BTreeMap::new(),
        number: 0,
        sent: 0,
        bytes: 0,
        ages: Histogram::new_with_max(ROUNDS * ROUND, 3).expect("bounds are valid"),
        sizes: sizes(hosts),
    };
    for round in 0..ROUNDS {
        run.round(round);
    }
    let span = Duration::from_micros(ROUNDS * ROUND).as_secs_f64() * hosts as f64;
    let ms = |micros: u64| micros as f64 / 1_000.0;
    Row {
        scheme,
        hosts,
        failed,
        messages: run.sent as f64 / span,
        bytes: run.bytes as f64 / span,
        mean: run.ages.mean() / 1_000.0,
        p99: ms(run.ages.value_at_quantile(0.99)),
        max: ms(run.ages.max()),
    }
}

/// Runs all schemes at 9, 27 and 81 hosts, without and with a failed host.
#[must_use]
pub fn run_all(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for hosts in [9, 27, 81] {
        for failed in [false, true] {
            for scheme in [Scheme::AllToAll, Scheme::Binary, Scheme::Shuffled] {
                rows.push(run(scheme, hosts, failed, seed));
            }
        }
    }
    rows
}

/// Prints rows as a table.
pub fn print(rows: &[Row]) {
    println!("| hosts | failed | scheme | messages/s | B/s | mean ms | p99 ms | max ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for row in rows {
        let Row { scheme, hosts, failed, messages, bytes, mean, p99, max } = row;
        let failed = u8::from(*failed);
        let figures = format!("{messages:.1} | {bytes:.0} | {mean:.0} | {p99:.0} | {max:.0}");
        println!("| {hosts} | {failed} | {scheme:?} | {figures} |");
    }
}
