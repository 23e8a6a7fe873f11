//! Scenarios, baselines, load and plots.

mod baseline;
mod capacity;
mod capacity_fit;
mod capacity_fleet;
mod capacity_model;
mod capacity_page;
mod capacity_page_roles;
mod capacity_proc;
mod capacity_roles;
mod capacity_sheet;
mod capacity_state;
mod centre;
mod cold;
mod fairness;
mod overhead;
mod plot;
mod report;
mod roll;
mod stage;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use cornelstand::Deployment;

use crate::report::Report;
use crate::stage::{Error, whatever};

/// Instances of the fleet.
const INSTANCES: usize = 8;

#[tokio::main]
async fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env()
                .unwrap_or_else(|_| "error,warp=off".into()),
        )
        .with_writer(std::io::stderr)
        .init();
    let matches = command().get_matches();
    match run(&matches).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the scenario and tells whether every target was met.
async fn run(matches: &ArgMatches) -> Result<bool, Error> {
    let (scenario, args) = matches.subcommand().expect("clap asks for a scenario");
    if scenario == capacity::NAME {
        return capacity::run(args).await;
    }
    let deployment = match args.get_one::<String>("deployment").map(String::as_str) {
        Some("ndege") => Deployment::ndege(INSTANCES),
        _ => Deployment::tessel(INSTANCES),
    };
    let number = |name: &str| *args.get_one::<u64>(name).expect("it has a default");
    let mut report = Report {
        scenario: SCENARIOS
            .iter()
            .find(|(name, _)| *name == scenario)
            .map_or("", |(name, _)| name),
        deployment: deployment.name,
        seed: number("seed"),
        seconds: number("seconds"),
        machine: Vec::new(),
        figures: Vec::new(),
        results: Vec::new(),
    };
    let plots = args.get_one::<PathBuf>("plots").map(PathBuf::as_path);
    report.note_machine();
    match scenario {
        "cold" => cold::measure(&deployment, &mut report).await?,
        "centre" => centre::measure(&deployment, &mut report, plots).await?,
        "roll" => roll::measure(&deployment, &mut report).await?,
        "overhead" => overhead::measure(&deployment, &mut report).await?,
        "utilisation" => fairness::measure_use(&deployment, &mut report).await?,
        _ => fairness::measure(&deployment, &mut report, plots).await?,
    }
    report.note_machine();
    println!("{}", report.table());
    if let Some(path) = args.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&report).map_err(|e| whatever("JSON", &e))?;
        std::fs::write(path, text).map_err(|e| whatever("JSON", &e))?;
    }
    Ok(report.is_passed())
}

const SCENARIOS: [(&str, &str); 6] = [
    (
        "fairness",
        "Fairness, starvation and utilisation, accounts unevenly over the instances",
    ),
    (
        "utilisation",
        "Utilisation with all accounts backlogged, and with one alone",
    ),
    ("cold", "Endpoints that turn cold without warning"),
    ("centre", "A data centre that leaves and returns"),
    ("roll", "A rolling restart of the whole fleet"),
    (
        "overhead",
        "The path through the fleet beside the endpoint called directly",
    ),
];

fn command() -> Command {
    let root = Command::new("measure")
        .about("Measures the fleet beside baselines, on loopback, at a deployment's sizes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes: 0 every target met, 1 a target missed, 2 not measured\n\
             Example: measure fairness --deployment tessel --seed 1 --seconds 60",
        );
    let root = SCENARIOS.iter().fold(root, |root, (name, about)| {
        root.subcommand(scenario(name, about))
    });
    root.subcommand(capacity::command())
}

fn scenario(name: &'static str, about: &'static str) -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    let file = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("PATH")
            .value_parser(value_parser!(PathBuf))
    };
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_parser(["tessel", "ndege"])
                .default_value("tessel")
                .help("Whose sizes"),
        )
        .arg(number("seed", "1").help("Seed of the workload"))
        .arg(number("seconds", "60").help("Length of the workload, for each variant"))
        .arg(file("json").help("File for the result as JSON"))
        .arg(file("plots").help("Directory for the plots"))
}
