//! Operator command line of yuccahoist.

mod cli;
mod command;
mod config_log;
mod demo;
mod documents;
mod error;

use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = match cli::parse(std::env::args()) {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("start runtime: {error}");
            return ExitCode::from(error::EXIT_USAGE_OR_IO);
        }
    };
    match runtime.block_on(command::run(cli.command)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}
