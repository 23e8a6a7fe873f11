//! What each role costs, over a ladder of sizes, and the page that follows from it.
//!
//! Every step runs in a process of its own, so that memory and threads of one are not in the
//! figures of another.

use std::path::PathBuf;
use std::process::Command as Process;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::capacity_page::page;
use crate::capacity_proc::load_average;
use crate::capacity_roles::roles;
use crate::capacity_sheet::{Run, Sheet};
use crate::stage::{Error, whatever};
use crate::{capacity_fleet as fleet, capacity_state as state};

/// Name of the subcommand.
pub(crate) const NAME: &str = "capacity";

/// Steps with the sizes that each is run at.
const LADDER: [(&str, &[usize]); 10] = [
    ("cell", &[25, 250, 2_500, 25_000]),
    ("gossip", &[8, 80, 400]),
    ("config", &[250, 2_500, 25_000]),
    ("events", &[1_024, 4_096, 16_384]),
    ("fleet", &[2, 4, 8, 16]),
    ("cells", &[1, 4, 8]),
    ("accounts", &[2_500, 10_000, 25_000]),
    ("calls", &[2]),
    ("roles", &[3]),
    ("totals", &[50, 500]),
];

/// The subcommand.
pub(crate) fn command() -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("PATH")
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    let steps = LADDER.iter().map(|(step, _)| *step);
    Command::new(NAME)
        .about("What each role costs, and the page of capacity that follows")
        .arg(
            Arg::new("step")
                .long("step")
                .value_parser(steps.collect::<Vec<_>>())
                .help("Runs this step only"),
        )
        .arg(
            Arg::new("size")
                .long("size")
                .requires("step")
                .value_parser(value_parser!(usize))
                .help("Runs the step at this size only, in this process"),
        )
        .arg(file(
            "from",
            "Takes the points from this JSON, without a run",
        ))
        .arg(file("json", "File for the points as JSON"))
        .arg(file("page", "File for the page"))
}

/// Measures and writes what is asked for.
pub(crate) async fn run(args: &ArgMatches) -> Result<bool, Error> {
    let step = args.get_one::<String>("step").map(String::as_str);
    if let (Some(step), Some(size)) = (step, args.get_one::<usize>("size")) {
        let sheet = measure(step, *size).await?;
        println!("{}", json(&sheet)?);
        return Ok(true);
    }
    let path = |name: &str| args.get_one::<PathBuf>(name);
    let mut runs = match path("from") {
        Some(path) => read(path)?,
        None => Vec::new(),
    };
    if path("from").is_none() || step.is_some() {
        let new = ladder(step)?;
        runs.retain(|run| new.iter().all(|n| n.step != run.step));
        runs.extend(new);
    }
    match path("json") {
        Some(path) => write(path, &(json(&runs)? + "\n"))?,
        None => println!("{}", json(&runs)?),
    }
    if let Some(path) = path("page") {
        check_whole(&runs)?;
        write(path, &page(&runs))?;
    }
    Ok(true)
}

/// Refuses points that lack a step, as the page would be without its figures.
fn check_whole(runs: &[Run]) -> Result<(), Error> {
    let lacks = |step: &&&str| !runs.iter().any(|run| run.step == ***step);
    let mut steps = LADDER.iter().map(|(step, _)| step);
    steps.find(lacks).map_or(Ok(()), |step| {
        let text = format!("the points lack step {step}");
        Err(snafu::FromString::without_source(text))
    })
}

/// Runs the ladder, or one step of it, each size in a process of its own.
fn ladder(only: Option<&str>) -> Result<Vec<Run>, Error> {
    let mut runs = Vec::new();
    let steps = LADDER
        .iter()
        .filter(|(step, _)| only.is_none_or(|only| only == *step));
    for (step, sizes) in steps {
        for size in *sizes {
            eprintln!("{step} {size}");
            let load = load_average();
            runs.push(Run {
                step: (*step).to_owned(),
                size: *size,
                load,
                points: child(step, *size)?,
            });
        }
    }
    Ok(runs)
}

fn child(step: &str, size: usize) -> Result<Sheet, Error> {
    let own = std::env::current_exe().map_err(|e| whatever("own program", &e))?;
    let size = size.to_string();
    let mut process = Process::new(own);
    process.args([NAME, "--step", step, "--size", &size]);
    let output = process.output().map_err(|e| whatever(step, &e))?;
    if !output.status.success() {
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(snafu::FromString::without_source(format!(
            "{step} {size}: {text}"
        )));
    }
    serde_json::from_slice(&output.stdout).map_err(|e| whatever("JSON", &e))
}

async fn measure(step: &str, size: usize) -> Result<Sheet, Error> {
    match step {
        "cell" => Ok(state::cell(size)),
        "gossip" => Ok(state::gossip(size)),
        "config" => Ok(state::config(size)),
        "events" => Ok(state::events(size)),
        "fleet" => fleet::fleet(size).await,
        "cells" => fleet::cells(size).await,
        "accounts" => fleet::accounts(size).await,
        "roles" => roles().await,
        "totals" => Ok(state::totals(size)),
        _ => fleet::calls().await,
    }
}

fn json(points: &impl Serialize) -> Result<String, Error> {
    serde_json::to_string_pretty(points).map_err(|e| whatever("JSON", &e))
}

fn read(path: &PathBuf) -> Result<Vec<Run>, Error> {
    let text = std::fs::read_to_string(path).map_err(|e| whatever("JSON", &e))?;
    serde_json::from_str(&text).map_err(|e| whatever("JSON", &e))
}

fn write(path: &PathBuf, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|e| whatever("file", &e))
}

#[cfg(test)]
mod tests;
