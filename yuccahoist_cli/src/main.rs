//! Command line of yuccahoist.

mod demo;

use std::process::ExitCode;

use argh::FromArgs;

/// operates a yuccahoist cell
#[derive(FromArgs)]
struct Cli {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(demo::DemoArgs),
}

#[tokio::main]
async fn main() -> ExitCode {
    let Cli { command: Command::Demo(args) } = argh::from_env();
    match demo::run(args).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
