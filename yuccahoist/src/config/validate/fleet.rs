//! Checks of racks, workers and their addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::Findings;
use crate::config::{Addresses, CapacitySection, CellDocument, RackSection};

/// Largest number of workers in a rack.
const MAX_RACK_WORKERS: u32 = 1_000;
/// Largest number of workers in a cell. It bounds the memory that a malicious document makes hosts allocate.
const MAX_CELL_WORKERS: u64 = 10_000;
/// Largest length of a rack name in bytes, equal to its characters, as names are ASCII; leaves room for the worker
/// number within the length limit of names.
const MAX_RACK_NAME_LENGTH: usize = 56;

/// Worker that uses each address, as the index of its rack and its number.
type AddressUsers = BTreeMap<SocketAddr, (usize, u32)>;

/// Returns the number of workers and the total of each of their capacities, of which `validate_change`
/// limits how much an edit may remove.
pub(super) fn fleet_capacity(document: &CellDocument) -> [(&'static str, u64); 5] {
    let mut sums = [("workers", 0), ("cpu_millis", 0), ("memory_mib", 0), ("accelerators", 0), ("slots", 0)];
    for rack in &document.workers.racks {
        let per_worker = [
            1,
            rack.capacity.cpu.0,
            rack.capacity.memory.0,
            u64::from(rack.capacity.accelerators.0),
            u64::from(rack.capacity.slots.0),
        ];
        for ((_, sum), amount) in sums.iter_mut().zip(per_worker) {
            *sum = u64::saturating_add(*sum, amount.saturating_mul(u64::from(rack.workers)));
        }
    }
    sums
}

pub(super) fn check(document: &CellDocument, findings: &mut Findings) {
    let racks = &document.workers.racks;
    findings.range("workers.racks (number)", racks.len(), 1, 1_000);
    let total: u64 = racks.iter().map(|rack| u64::from(rack.workers)).sum();
    findings.check(
        total <= MAX_CELL_WORKERS,
        "workers.racks (workers)",
        total,
        format!("at most {MAX_CELL_WORKERS}"),
    );
    let mut names = BTreeSet::new();
    let mut addresses = AddressUsers::new();
    for (index, rack) in racks.iter().enumerate() {
        let path = format!("workers.racks[{index}]");
        findings.check(names.insert(&rack.rack), format!("{path}.rack"), &rack.rack, "each rack once");
        let length = rack.rack.as_str().len();
        findings.check(
            length <= MAX_RACK_NAME_LENGTH,
            format!("{path}.rack"),
            &rack.rack,
            format!("at most {MAX_RACK_NAME_LENGTH} characters"),
        );
        check_capacity(rack.capacity, &path, findings);
        findings.range(format!("{path}.workers"), rack.workers, 1, MAX_RACK_WORKERS);
        if rack.workers <= MAX_RACK_WORKERS && total <= MAX_CELL_WORKERS {
            check_addresses(index, rack, &mut addresses, findings);
        }
    }
}

fn check_capacity(capacity: CapacitySection, path: &str, findings: &mut Findings) {
    let path = |field: &str| format!("{path}.capacity.{field}");
    // The lower bounds also reject cores in place of millicores and GiB in place of MiB.
    findings.range(path("cpu_millis"), capacity.cpu.0, 100, 4_096_000);
    findings.range(path("memory_mib"), capacity.memory.0, 64, 64 << 20);
    findings.range(path("accelerators"), capacity.accelerators.0, 0, 64);
    findings.range(path("slots"), capacity.slots.0, 1, 1_024);
    findings.range(path("connections"), capacity.connections.0, capacity.slots.0.max(1), 65_535);
}

/// Checks that no two workers share an address. Backend server and agent of one worker may share one.
fn check_addresses(index: usize, rack: &RackSection, users: &mut AddressUsers, findings: &mut Findings) {
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
                        *users.entry(address).or_insert(worker) == worker,
                        path.as_str(),
                        address,
                        "each address once in the cell, or for backend server and agent of one worker",
                    );
                }
            }
        }
    }
}
