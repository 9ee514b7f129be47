//! Child processes that are killed at the end of their test.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::wait_until;

/// Length of the output tail that is printed when a test fails, bytes.
const MAX_PRINTED_BYTES: usize = 2_000;

/// Binary of this workspace.
#[derive(Debug, Clone, Copy)]
pub enum Program {
    /// Entry host daemon, `yuccahoistd`.
    Daemon,
    /// Platform stand-ins, `yuccahoist-standin`.
    StandIn,
    /// Operator command, `yuccahoist`.
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

/// Child process; dropping it kills it, and prints the tail of its output if the test panics.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts a program; its output is appended to the file `{name}.out` in `directory`.
    pub fn start(program: Program, name: &str, directory: &Path, args: &[&str]) -> Self {
        let output = directory.join(format!("{name}.out"));
        let file = File::options().create(true).append(true).open(&output).expect("output file opens");
        let child = Command::new(program.path())
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("output file handle is duplicated"))
            .stderr(file)
            .spawn()
            .expect("program starts");
        Self { name: name.into(), child, output }
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        // The process id is not reused before the exit status is collected, which only this struct does.
        if self.exit_status().is_none() {
            kill_process(Pid::from_child(&self.child), signal).expect("signal is sent");
        }
    }

    /// Returns the exit status; none while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("child process is waitable")
    }

    /// Waits for the process to end; panics after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> ExitStatus {
        let mut status = None;
        let state = format!("end of {}", self.name);
        wait_until(&state, limit, || {
            status = self.child.try_wait().expect("child process is waitable");
            let has_ended = status.is_some();
            async move { has_ended }
        })
        .await;
        status.expect("status is set once the wait ends")
    }

    /// Returns the standard output and standard error so far; empty if the file cannot be read.
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
            let start = output.ceil_char_boundary(output.len().saturating_sub(MAX_PRINTED_BYTES));
            eprintln!("--- last output of {}\n{}", self.name, &output[start..]);
        }
    }
}

/// Exit code and output of a program that has ended.
#[derive(Debug)]
pub struct CommandResult {
    /// Exit code; none if a signal ended the program.
    pub code: Option<i32>,
    /// Standard output and standard error, interleaved.
    pub output: String,
}

/// Runs a program and waits for its end.
pub async fn run(program: Program, args: &[&str]) -> CommandResult {
    let directory = tempfile::tempdir().expect("temporary directory is created");
    let mut process = Process::start(program, "command", directory.path(), args);
    let status = process.wait_exit(super::STATE_TIMEOUT).await;
    CommandResult { code: status.code(), output: process.output() }
}
