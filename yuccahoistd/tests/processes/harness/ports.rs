//! Allocation of free ports on the loopback interface.
//!
//! The ports lie below the ephemeral range of the system, so that no outgoing connection takes a port between its
//! allocation and the start of its process, or while a process restarts.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 32_000;

/// Port after the last allocated one; none before the first allocation.
static NEXT_PORT: Mutex<Option<u16>> = Mutex::new(None);

/// Allocates `count` consecutive free ports and returns the address of the first; panics if there are none.
pub fn allocate(count: u16) -> SocketAddr {
    let mut next = NEXT_PORT.lock().expect("no holder of the lock panics");
    // Concurrent test processes start at different ports.
    let mut port = next
        .unwrap_or_else(|| FIRST_PORT + (std::process::id() * 64 % u32::from(LAST_PORT - FIRST_PORT)) as u16);
    for _ in FIRST_PORT..LAST_PORT {
        if port + count > LAST_PORT {
            port = FIRST_PORT;
        }
        if (port..port + count).all(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()) {
            *next = Some(port + count);
            return SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        }
        port += 1;
    }
    drop(next);
    panic!("no {count} consecutive ports are free");
}
