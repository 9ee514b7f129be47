//! Processes that always end with their test.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::until;

/// Part of the output of a failed process that is printed, bytes.
const TAIL: usize = 2_000;

/// Program of this project.
#[derive(Debug, Clone, Copy)]
pub enum Program {
    /// Entry host.
    Daemon,
    /// Stand-in of the platform.
    StandIn,
    /// Operator's command.
    Operator,
}

impl Program {
    fn path(self) -> PathBuf {
        let daemon = Path::new(env!("CARGO_BIN_EXE_yuccahoistd"));
        let name = match self {
            Self::Daemon => return daemon.into(),
            Self::StandIn => "yuccahoist-standin",
            Self::Operator => "yuccahoist",
        };
        let path = daemon.with_file_name(name);
        assert!(path.exists(), "{} is not built; run \"cargo test --workspace\"", path.display());
        path
    }
}

/// Running process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts a program; its output goes to a file in `directory`.
    pub fn start(program: Program, name: &str, directory: &Path, args: &[&str]) -> Self {
        let output = directory.join(format!("{name}.out"));
        let file = File::options().create(true).append(true).open(&output).expect("output file opens");
        let child = Command::new(program.path())
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("output file is shared"))
            .stderr(file)
            .spawn()
            .expect("program starts");
        Self { name: name.into(), child, output }
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        // The number stays with the process until its end is collected here.
        if self.ended().is_none() {
            kill_process(Pid::from_child(&self.child), signal).expect("signal is sent");
        }
    }

    /// Exit status once the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("own child can be waited for")
    }

    /// Waits for the end.
    pub async fn end(&mut self, limit: Duration) -> ExitStatus {
        let mut status = None;
        let what = format!("end of {}", self.name);
        until(&what, limit, || {
            status = self.child.try_wait().expect("own child can be waited for");
            let ended = status.is_some();
            async move { ended }
        })
        .await;
        status.expect("the wait ended with a status")
    }

    /// Output so far.
    pub fn output(&self) -> String {
        std::fs::read(&self.output)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let output = self.output();
            let start = output.ceil_char_boundary(output.len().saturating_sub(TAIL));
            eprintln!("--- last output of {}\n{}", self.name, &output[start..]);
        }
    }
}

/// Result of a program that ended by itself.
#[derive(Debug)]
pub struct Finished {
    /// Exit code; none after a signal.
    pub code: Option<i32>,
    /// Standard output and standard error.
    pub output: String,
}

/// Runs a program to its end.
pub async fn run(program: Program, args: &[&str]) -> Finished {
    let directory = tempfile::tempdir().expect("temporary directory is made");
    let mut process = Process::start(program, "command", directory.path(), args);
    let status = process.end(super::LIMIT).await;
    Finished { code: status.code(), output: process.output() }
}
