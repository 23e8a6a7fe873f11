//! The `cornelstand` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    cornelstand::run()
}
