//! Definition of the command line, with help texts and examples.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};

/// Environment variable that names the operators' key file.
pub const KEY_FILE_VARIABLE: &str = "CORNELSTAND_KEY_FILE";

/// Builds the command line.
#[must_use]
pub fn command() -> Command {
    let root = Command::new("cornelstand")
        .version(env!("CARGO_PKG_VERSION"))
        .about(
            "A router fleet for client accounts that share model and application capacity fairly",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes: 0 success, 1 failure or a broken promise, 2 usage error, 3 conflict with \
             another operator, 4 no answer or not in force in time",
        )
        .subcommand(serve())
        .subcommand(gateway())
        .subcommand(check())
        .subcommand(note())
        .subcommand(status())
        .subcommand(timeline())
        .subcommand(load())
        .subcommand(completions());
    #[cfg(feature = "demo")]
    let root = root.subcommand(demo());
    root
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run one instance until SIGTERM or SIGINT, then drain and exit")
        .arg(
            Arg::new("settings")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings of the instance, JSON with comments"),
        )
        .after_help("Example: cornelstand serve north-1.json5")
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Run one instance on the users' platform until SIGTERM")
        .arg(
            Arg::new("settings").value_name("FILE").help(
                "Settings file of the platform [default: the file named by CORNELSTAND_CONFIG]",
            ),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("FILTER")
                .default_value("info")
                .help("Filter for log lines"),
        )
        .after_help("Example: cornelstand gateway /etc/cornelstand/settings.conf")
}

#[cfg(feature = "demo")]
fn demo() -> Command {
    Command::new("demo")
        .about("Run a small fleet and its stand-ins in one process and report the result")
        .arg(number_option(
            "seconds",
            "20",
            "Length of the workload, in seconds",
        ))
        .arg(number_option("seed", "1", "Seed of the workload"))
        .arg(file_option("json", "Write the result as JSON"))
        .arg(file_option(
            "timeline",
            "Write the timeline as an HTML page",
        ))
        .arg(flag(
            "hold",
            "Keep running afterwards and print the addresses",
        ))
        .after_help("Example: cornelstand demo --seconds 30 --timeline timeline.html")
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings and release notes without applying anything")
        .arg(
            Arg::new("files")
                .required(true)
                .num_args(1..)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings, release notes or declared states"),
        )
        .arg(json_flag())
        .after_help("Example: cornelstand check north-1.json5 notes/*.json5")
}

fn note() -> Command {
    Command::new("note")
        .about("Plan, apply and follow release notes")
        .subcommand_required(true)
        .subcommand(operator_call(
            Command::new("plan")
                .about("Turn a complete declared state into the note that leads to it")
                .arg(input_file("Declared state, JSON with comments"))
                .arg(file_option("out", "Write the note to a file"))
                .after_help("Example: cornelstand note plan state.json5 --out note.json5"),
        ))
        .subcommand(operator_call(
            Command::new("apply")
                .about("Apply a release note; applying it again changes nothing")
                .arg(input_file("Release note, JSON with comments"))
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .value_name("SECONDS")
                        .value_parser(value_parser!(u64))
                        .help("Wait until the note is in force on every live instance"),
                )
                .after_help("Example: cornelstand note apply note.json5 --wait 10"),
        ))
        .subcommand(operator_call(
            Command::new("status").about("Show which revision is in force on each instance"),
        ))
        .subcommand(operator_call(
            Command::new("show").about("Show the configuration in force"),
        ))
}

fn status() -> Command {
    operator_call(
        Command::new("status")
            .about("Show instances, cells, endpoints, limits and data centres")
            .after_help("Example: cornelstand status --at 127.0.0.1:8081"),
    )
}

fn timeline() -> Command {
    operator_call(
        Command::new("timeline")
            .about("Merge the timelines of all instances")
            .arg(file_option("html", "Write an HTML page for a browser"))
            .arg(file_option(
                "trace",
                "Write trace-event JSON for trace viewers",
            ))
            .after_help("Example: cornelstand timeline --at 127.0.0.1:8081 --html timeline.html"),
    )
}

fn load() -> Command {
    Command::new("load")
        .about("Send an open-loop workload to an instance and measure the answers")
        .arg(
            Arg::new("workload")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Workload, JSON with comments"),
        )
        .arg(file_option("out", "Write the result as JSON"))
        .arg(json_flag())
        .after_help("Example: cornelstand load workload.json5 --out result.json")
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print a completion script for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(PossibleValuesParser::new([
                    "bash",
                    "elvish",
                    "fish",
                    "powershell",
                    "zsh",
                ])),
        )
        .after_help("Example: cornelstand completions bash > cornelstand.bash")
}

/// Adds the arguments of every call to an instance.
fn operator_call(command: Command) -> Command {
    command
        .arg(
            Arg::new("at")
                .long("at")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:8081")
                .value_parser(value_parser!(SocketAddr))
                .help("Operators' address of any instance"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help(format!(
                    "File with the operators' key [default: the file named by {KEY_FILE_VARIABLE}]"
                )),
        )
        .arg(json_flag())
}

fn input_file(help: &'static str) -> Arg {
    Arg::new("file")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn file_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn number_option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn json_flag() -> Arg {
    flag("json", "Print JSON instead of a table")
}
