//! Free ports of the loopback interface.
//!
//! They lie below the range from which the system takes the ports of outgoing connections, so that a port stays free
//! between its choice and the start of its process, and while a process is restarted.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

const FIRST: u16 = 12_000;
const LAST: u16 = 32_000;

/// Port after the last one that was given out.
static NEXT: Mutex<Option<u16>> = Mutex::new(None);

/// Address of the first of `count` consecutive free ports.
pub fn free(count: u16) -> SocketAddr {
    let mut next = NEXT.lock().expect("no holder of the lock panics");
    // Test processes that run at the same time begin at different ports.
    let mut port = next.unwrap_or_else(|| FIRST + (std::process::id() * 64 % u32::from(LAST - FIRST)) as u16);
    for _ in FIRST..LAST {
        if port + count > LAST {
            port = FIRST;
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
