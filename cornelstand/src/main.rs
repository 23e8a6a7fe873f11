//! Parses the command line and starts the daemon.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    cornelstand::run().await
}
