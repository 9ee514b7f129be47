//! Racks, workers and their addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::Findings;
use crate::config::{Addresses, CapacitySection, CellDocument, RackSection};

/// Workers of a rack.
const RACK_LIMIT: u32 = 1_000;
/// Workers of a cell; bounds what a hostile document makes hosts allocate.
const FLEET_LIMIT: u64 = 10_000;
/// Longest name of a rack, so that names of its workers stay within the limit of a name.
const RACK_NAME_LIMIT: usize = 56;

/// Worker at each address, by the index of its rack and its number.
type Occupied = BTreeMap<SocketAddr, (usize, u32)>;

/// Capacities of the fleet that must not drop by more than half at once.
pub(super) fn capacity(document: &CellDocument) -> [(&'static str, u64); 5] {
    let mut sums = [("workers", 0), ("cpu_millis", 0), ("memory_mib", 0), ("accelerators", 0), ("slots", 0)];
    for rack in &document.workers.racks {
        let per_worker = [
            1,
            rack.capacity.cpu.0,
            rack.capacity.memory.0,
            u64::from(rack.capacity.accelerators.0),
            u64::from(rack.capacity.slots.0),
        ];
        for ((_, sum), each) in sums.iter_mut().zip(per_worker) {
            *sum = u64::saturating_add(*sum, each.saturating_mul(u64::from(rack.workers)));
        }
    }
    sums
}

/// Checks racks and workers.
pub(super) fn check(document: &CellDocument, findings: &mut Findings) {
    let racks = &document.workers.racks;
    findings.range("workers.racks (number)", racks.len(), 1, 1_000);
    let total: u64 = racks.iter().map(|rack| u64::from(rack.workers)).sum();
    findings.check(total <= FLEET_LIMIT, "workers.racks (workers)", total, format!("at most {FLEET_LIMIT}"));
    let mut names = BTreeSet::new();
    let mut addresses = Occupied::new();
    for (index, rack) in racks.iter().enumerate() {
        let path = format!("workers.racks[{index}]");
        findings.check(names.insert(&rack.rack), format!("{path}.rack"), &rack.rack, "each rack once");
        let length = rack.rack.as_str().len();
        findings.check(
            length <= RACK_NAME_LIMIT,
            format!("{path}.rack"),
            &rack.rack,
            format!("at most {RACK_NAME_LIMIT} characters"),
        );
        check_capacity(rack.capacity, &path, findings);
        findings.range(format!("{path}.workers"), rack.workers, 1, RACK_LIMIT);
        if rack.workers <= RACK_LIMIT && total <= FLEET_LIMIT {
            check_addresses(index, rack, &mut addresses, findings);
        }
    }
}

fn check_capacity(capacity: CapacitySection, path: &str, findings: &mut Findings) {
    let path = |field: &str| format!("{path}.capacity.{field}");
    // The lower ends also refuse cores given for thousandths and GiB given for MiB.
    findings.range(path("cpu_millis"), capacity.cpu.0, 100, 4_096_000);
    findings.range(path("memory_mib"), capacity.memory.0, 64, 64 << 20);
    findings.range(path("accelerators"), capacity.accelerators.0, 0, 64);
    findings.range(path("slots"), capacity.slots.0, 1, 1_024);
    findings.range(path("connections"), capacity.connections.0, capacity.slots.0.max(1), 65_535);
}

/// A worker may have its backend server and its agent at one address.
fn check_addresses(index: usize, rack: &RackSection, occupied: &mut Occupied, findings: &mut Findings) {
    for (field, addresses) in [("backend", &rack.backend), ("agent", &rack.agent)] {
        let path = format!("workers.racks[{index}].{field}");
        if let Addresses::List(list) = addresses
            && list.len() != rack.workers as usize
        {
            let allowed = format!("one address for each of {} workers", rack.workers);
            findings.check(false, path, format!("{} addresses", list.len()), allowed);
            continue;
        }
        for number in 1..=rack.workers {
            match addresses.resolve(number) {
                Err(text) => findings.check(false, path.as_str(), text, "ip:port"),
                Ok(address) => {
                    let worker = (index, number);
                    findings.check(
                        *occupied.entry(address).or_insert(worker) == worker,
                        path.as_str(),
                        address,
                        "each address once in the cell, or for backend server and agent of one worker",
                    );
                }
            }
        }
    }
}
