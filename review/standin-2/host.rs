//! Processes of the project, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Addresses that all hosts of a scenario share.
#[derive(Debug, Clone, Copy)]
pub struct Platform {
    pub store: SocketAddr,
    pub advice: SocketAddr,
    pub cloud: SocketAddr,
}

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
    ended: Mutex<Option<Instant>>,
}

pub struct Hosts {
    pub list: Vec<Host>,
    record: Arc<Record>,
    stopping: Mutex<bool>,
}

/// Returns `count` ports in a row that are free at `ip`.
pub fn free_ports(ip: Ipv4Addr, count: u16) -> Vec<SocketAddr> {
    loop {
        let Ok(first) = TcpListener::bind((ip, 0)).and_then(|l| l.local_addr()) else { continue };
        let ports: Vec<SocketAddr> =
            (0..count).filter_map(|n| Some(SocketAddr::from((ip, first.port().checked_add(n)?)))).collect();
        let listeners: Vec<_> = ports.iter().filter_map(|address| TcpListener::bind(address).ok()).collect();
        if listeners.len() == usize::from(count) {
            return ports;
        }
    }
}

fn settings_text(name: &str, ip: Ipv4Addr, ports: &[SocketAddr], seeds: &str, platform: Platform) -> String {
    let (front, ready, first, last) = (ports[0], ports[1], ports[2].port(), ports[5].port());
    let Platform { store, advice, cloud } = platform;
    format!(
        r#"nodeName = "{name}"
nodeRole = "entry"
machineClass = "frontend"
servedRoles = ["frontend"]
ip = "{ip}"
zone = "zone-1"
region = "region-1"
internalPorts = [{first},{last}]
seedNodes = [{seeds}]
bootstrap = true
failureCounted = false
discovery = "platform"
entrypoint = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
controlMode = "invocation"
recommendation = "{advice}"
[zones]
zone-1 = "region-1"
[listenAddresses]
front = "{front}"
ready = "{ready}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
fileDescriptors = 4200
bandwidthMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedPropagationS = 3
addressReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 10000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 3
checkpointS = 1
restoreMs = 100
noticePeriodMs = 4500
moveS = 1.5
upkeepS = 2
requireFencing = true
leaseDurationMs = 3000
thawSlackMs = 300
paceMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
[cloudApi]
address = "{cloud}"
perS = 60.0
duties = []
dutyPerS = 60.0
"#
    )
}

impl Hosts {
    /// Starts `count` hosts; their settings and logs are in `folder`.
    pub fn start(
        count: u8,
        net: [u8; 2],
        folder: &Path,
        platform: Platform,
        record: &Arc<Record>,
    ) -> Arc<Hosts> {
        let program = std::env::var_os("ENTRY").map(PathBuf::from).expect("ENTRY names the program");
        let ips: Vec<Ipv4Addr> = (1..=count).map(|n| Ipv4Addr::new(127, net[0], net[1], n)).collect();
        let ports: Vec<Vec<SocketAddr>> = ips.iter().map(|ip| free_ports(*ip, 6)).collect();
        let list = ips.iter().zip(&ports).enumerate().map(|(number, (ip, ports))| {
            let name = format!("host-{}", number + 1);
            let settings = folder.join(format!("{name}.toml"));
            std::fs::write(&settings, settings_text(&name, *ip, ports, "", platform)).expect("settings");
            let log = folder.join(format!("{name}.log"));
            Host {
                name,
                front: ports[0],
                ready: ports[1],
                settings,
                log,
                program: program.clone(),
                child: Mutex::new(None),
                ended: Mutex::new(None),
            }
        });
        let hosts =
            Arc::new(Hosts { list: list.collect(), record: record.clone(), stopping: Mutex::new(false) });
        hosts.list.iter().for_each(Host::spawn);
        let watched = hosts.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let stopping = watched.stopping.lock().unwrap();
                if *stopping {
                    return;
                }
                for host in &watched.list {
                    host.restart_if_ended(&watched.record);
                }
            }
        });
        hosts
    }

    /// Waits until all hosts answer the readiness check with 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |host: &Host| {
            http::call(host.ready, "GET", "/readiness", &[("host", "x")], "", Duration::from_secs(1))
                .is_ok_and(|(status, ..)| status == 200)
        };
        while Instant::now() < until {
            if self.list.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Kills a process with SIGKILL; it is started again after a short delay.
    pub fn kill(&self, host: &Host) {
        self.record.note(&format!("kill {}", host.name));
        if let Some(child) = host.child.lock().unwrap().as_mut() {
            let _ = child.kill();
        }
    }

    /// Ends all processes.
    pub fn stop(&self) {
        let mut stopping = self.stopping.lock().unwrap();
        *stopping = true;
        for host in &self.list {
            if let Some(mut child) = host.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Host {
    fn spawn(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let child = Command::new(&self.program)
            .env_clear()
            .env("YUCCAHOIST_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        *self.child.lock().unwrap() = Some(child);
    }

    fn restart_if_ended(&self, record: &Record) {
        let mut child = self.child.lock().unwrap();
        let mut ended = self.ended.lock().unwrap();
        if child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_)))) {
            *child = None;
            *ended = Some(Instant::now());
        }
        if ended.is_some_and(|at| at.elapsed() >= RESTART_DELAY) {
            *ended = None;
            drop((child, ended));
            record.note(&format!("start {} again", self.name));
            self.spawn();
        }
    }
}
