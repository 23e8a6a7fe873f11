//! Parses the command line and starts the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    cornelstand::run()
}
