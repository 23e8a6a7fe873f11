//! Runs one fake as a process of its own.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use snafu::{ResultExt, Whatever};
use stand_ins::{
    Bearing, Engine, EngineFaults, EngineSettings, InstanceList, InstanceSettings, ObjectApi,
    ObjectSettings, Overload, Pace, PlainService, PlainSettings,
};

#[snafu::report]
#[tokio::main]
async fn main() -> Result<(), Whatever> {
    tracing_subscriber::fmt()
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()),
        )
        .with_writer(std::io::stderr)
        .init();
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("object-api", args)) => {
            let fake = ObjectApi::start(ObjectSettings {
                listen: listen(args),
                ..ObjectSettings::default()
            });
            hold(fake.whatever_context("object API")?, ObjectApi::address).await
        }
        Some(("instances", args)) => {
            let fake = InstanceList::start(InstanceSettings {
                listen: listen(args),
                lag: number(args, "lag-ms"),
                ..InstanceSettings::default()
            });
            hold(
                fake.whatever_context("instance list")?,
                InstanceList::address,
            )
            .await
        }
        Some(("engine", args)) => {
            let fake = Engine::start(engine_settings(args));
            hold(fake.whatever_context("engine")?, Engine::address).await
        }
        Some(("plain", args)) => {
            let fake = PlainService::start(plain_settings(args));
            hold(
                fake.whatever_context("plain service")?,
                PlainService::address,
            )
            .await
        }
        _ => unreachable!("clap asks for a subcommand"),
    }
}

/// Prints the address and keeps the fake until the process is interrupted.
async fn hold<T>(fake: T, address: fn(&T) -> SocketAddr) -> Result<(), Whatever> {
    println!("{}", address(&fake));
    tokio::signal::ctrl_c().await.whatever_context("no signals")
}

fn command() -> Command {
    Command::new("stand-in")
        .about("Small fakes of the systems around cornelstand")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(fake("object-api", "The platform's object API"))
        .subcommand(
            fake("instances", "The platform's instance list").arg(numeric(
                "lag-ms",
                "2000",
                "Time by which the list lags",
            )),
        )
        .subcommand(
            endpoint("engine", "A model engine", ["2", "8", "40"])
                .arg(numeric("tokens", "60", "Mean tokens of an answer"))
                .arg(numeric("step-us", "8000", "Time of a step"))
                .arg(numeric(
                    "slope-us",
                    "500",
                    "Time that each request adds to a step",
                ))
                .arg(
                    Arg::new("no-fencing")
                        .long("no-fencing")
                        .action(ArgAction::SetTrue)
                        .help("Carry out orders with an old fencing number"),
                ),
        )
        .subcommand(
            endpoint("plain", "A plain service", ["4", "16", "40"]).arg(numeric(
                "call-ms",
                "20",
                "Time of a call",
            )),
        )
        .after_help(
            "Examples:\n  stand-in object-api --listen 127.0.0.1:7000\n  \
             stand-in engine --listen 127.0.0.1:7101 --cold 2 --warm 8 --ramp 40",
        )
}

fn fake(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .value_name("IP:PORT")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr))
            .help("Where to listen; port 0 picks a free one, which is printed"),
    )
}

fn endpoint(name: &'static str, about: &'static str, sizes: [&'static str; 3]) -> Command {
    let [cold, warm, ramp] = sizes;
    fake(name, about)
        .arg(numeric(
            "cold",
            cold,
            "Requests at once that it bears when cold",
        ))
        .arg(numeric(
            "warm",
            warm,
            "Requests at once that it bears when warm",
        ))
        .arg(numeric("ramp", ramp, "Answers until it is warm"))
        .arg(numeric("lag-ms", "1000", "Time by which load reports lag"))
        .arg(
            Arg::new("overload")
                .long("overload")
                .value_parser(["fall", "refuse"])
                .default_value(if name == "engine" { "fall" } else { "refuse" })
                .help("What it does beyond what it bears"),
        )
}

fn numeric(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn listen(args: &ArgMatches) -> SocketAddr {
    *args.get_one("listen").expect("it has a default")
}

fn number(args: &ArgMatches, name: &str) -> u64 {
    *args.get_one(name).expect("it has a default")
}

fn size(args: &ArgMatches, name: &str) -> u32 {
    u32::try_from(number(args, name)).unwrap_or(u32::MAX)
}

fn bearing(args: &ArgMatches) -> Bearing {
    Bearing {
        cold: size(args, "cold"),
        warm: size(args, "warm"),
        ramp: size(args, "ramp"),
    }
}

fn overload(args: &ArgMatches) -> Overload {
    match args.get_one::<String>("overload").map(String::as_str) {
        Some("refuse") => Overload::Refuse,
        _ => Overload::Fall,
    }
}

fn engine_settings(args: &ArgMatches) -> EngineSettings {
    EngineSettings {
        listen: listen(args),
        bearing: bearing(args),
        overload: overload(args),
        pace: Pace {
            base: number(args, "step-us"),
            slope: number(args, "slope-us"),
            ..Pace::default()
        },
        tokens: size(args, "tokens"),
        lag: number(args, "lag-ms"),
        faults: EngineFaults {
            fencing: !args.get_flag("no-fencing"),
            ..EngineFaults::default()
        },
        ..EngineSettings::default()
    }
}

fn plain_settings(args: &ArgMatches) -> PlainSettings {
    PlainSettings {
        listen: listen(args),
        bearing: bearing(args),
        overload: overload(args),
        call: number(args, "call-ms"),
        lag: number(args, "lag-ms"),
        ..PlainSettings::default()
    }
}
