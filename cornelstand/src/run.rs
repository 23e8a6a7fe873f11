//! Runs the commands of the command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

use crate::client::{ClientError, OperatorClient, operator_key};
use crate::command::command;
use crate::config::Config;
use crate::gateway::daemon::{GatewayError, run_gateway};
use crate::instance::{Instance, StartError};
use crate::json::parse_json;
use crate::load::run_load;
use crate::load_plan::Workload;
use crate::note::Note;
use crate::platform::SETTINGS_VARIABLE;
use crate::settings::{Log, LogFormat, Settings};
use crate::tables::{fleet_tables, load_table, note_table, revision_table};
use crate::trace::{trace_json, trace_page};

/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code of a conflict with another operator.
const CONFLICT: u8 = 3;
/// Exit code if no answer comes or a revision is not in force in time.
const TIMED_OUT: u8 = 4;

/// Error of a command.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// I/O error.
        source: std::io::Error,
    },
    /// A file is not valid.
    #[snafu(display("{}: {reason}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its position.
        reason: String,
    },
    /// The instance cannot start.
    #[snafu(display("{source}"))]
    Start {
        /// Error of the instance.
        source: StartError,
    },
    /// The gateway cannot start.
    #[snafu(display("{source}"))]
    Gateway {
        /// Error of the gateway.
        source: GatewayError,
    },
    /// A call to an instance failed.
    #[snafu(display("{source}"))]
    Client {
        /// Error of the call.
        source: ClientError,
    },
    /// The logs or signals cannot be set up.
    #[snafu(display("cannot set up the process: {reason}"))]
    Process {
        /// What is wrong.
        reason: String,
    },
    /// The demonstration failed.
    #[cfg(feature = "demo")]
    #[snafu(display("{source}"))]
    Demo {
        /// Error of the demonstration.
        source: crate::demo::DemoError,
    },
    /// Some of the files are not valid; each is reported.
    #[snafu(display("{count} of the files are not valid"))]
    InvalidFiles {
        /// Number of files that are not valid.
        count: usize,
    },
    /// The demonstration broke a promise.
    #[snafu(display("a promise was broken"))]
    PromiseBroken,
}

impl RunError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Client { source } => match source {
                ClientError::Refused { status, .. } if status.as_u16() == 409 => CONFLICT,
                ClientError::NoAnswer { .. } | ClientError::NotInForce { .. } => TIMED_OUT,
                _ => FAILED,
            },
            _ => FAILED,
        }
    }
}

/// Parses the process's arguments and runs the command.
#[must_use]
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("gateway", args)) => gateway(args),
        _ => run_async(&matches),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cornelstand: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs a command on a runtime with one thread per core.
fn run_async(matches: &ArgMatches) -> Result<(), RunError> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| process_error(&e))?;
    runtime.block_on(run_command(matches))
}

fn gateway(args: &ArgMatches) -> Result<(), RunError> {
    let level = args.get_one::<String>("log-level");
    let level = level.map_or("info", String::as_str);
    let file = args.get_one::<String>("settings").cloned();
    let path = file.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let path = path.ok_or_else(|| RunError::Process {
        reason: format!("no settings: name a file or set {SETTINGS_VARIABLE}"),
    })?;
    run_gateway(&path, level).context(GatewaySnafu)
}

async fn run_command(matches: &ArgMatches) -> Result<(), RunError> {
    match matches.subcommand() {
        Some(("serve", args)) => serve(args).await,
        Some(("check", args)) => check(args),
        Some(("note", args)) => note(args).await,
        Some(("status", args)) => status(args).await,
        Some(("timeline", args)) => timeline(args).await,
        Some(("load", args)) => load(args).await,
        Some(("completions", args)) => {
            completions(args);
            Ok(())
        }
        #[cfg(feature = "demo")]
        Some(("demo", args)) => demo(args).await,
        _ => Ok(()),
    }
}

async fn serve(args: &ArgMatches) -> Result<(), RunError> {
    let path = path_arg(args, "settings").unwrap_or_default();
    let settings = Settings::parse(&read_file(&path)?).map_err(|e| invalid_file(&path, &e))?;
    start_logs(&settings.log)?;
    let instance = Instance::start(settings).await.context(StartSnafu)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| process_error(&e))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| process_error(&e))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let open_requests = instance.request_count();
    let warn_on_signal = async {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            let requests = open_requests();
            tracing::warn!(
                requests,
                "draining; SIGKILL now would cut off these requests"
            );
        }
    };
    tokio::select! {
        cut = instance.drain() => {
            if cut > 0 {
                tracing::error!(cut, "drain timeout reached; open requests were cut off");
            }
        }
        () = warn_on_signal => {}
    }
    Ok(())
}

fn check(args: &ArgMatches) -> Result<(), RunError> {
    let files = args.get_many::<PathBuf>("files").into_iter().flatten();
    let mut results = Vec::new();
    for path in files {
        results.push(CheckResult {
            file: path.display().to_string(),
            error: check_file(&read_file(path)?).err().map(|e| e.to_string()),
        });
    }
    if args.get_flag("json") {
        print_json(&results);
    } else {
        for result in &results {
            println!(
                "{}: {}",
                result.file,
                result.error.as_deref().unwrap_or("ok")
            );
        }
    }
    let count = results.iter().filter(|r| r.error.is_some()).count();
    if count > 0 {
        return InvalidFilesSnafu { count }.fail();
    }
    Ok(())
}

/// Result of checking one file.
#[derive(Serialize)]
struct CheckResult {
    file: String,
    error: Option<String>,
}

/// Checks settings, a note or a declared state, told apart by their keys.
fn check_file(text: &str) -> Result<(), Box<dyn std::error::Error>> {
    let keys: serde_json::Map<String, serde_json::Value> = parse_json(text)?;
    if keys.contains_key("base") {
        Note::parse(text)?;
    } else if keys.contains_key("instance") {
        Settings::parse(text)?;
    } else {
        parse_json::<Config>(text)?;
    }
    Ok(())
}

async fn note(args: &ArgMatches) -> Result<(), RunError> {
    match args.subcommand() {
        Some(("plan", args)) => plan(args).await,
        Some(("apply", args)) => apply(args).await,
        Some(("status", args)) => {
            let members = operator_client(args)?
                .revisions()
                .await
                .context(ClientSnafu)?;
            print_result(args, &members, || revision_table(&members));
            Ok(())
        }
        Some(("show", args)) => {
            let config = operator_client(args)?.config().await.context(ClientSnafu)?;
            print_json(&config);
            Ok(())
        }
        _ => Ok(()),
    }
}

async fn plan(args: &ArgMatches) -> Result<(), RunError> {
    let file = path_arg(args, "file").unwrap_or_default();
    let note = operator_client(args)?.plan(read_file(&file)?).await;
    let note = note.context(ClientSnafu)?;
    if let Some(out) = path_arg(args, "out") {
        write_file(
            &out,
            &serde_json::to_string_pretty(&note).unwrap_or_default(),
        )?;
    }
    print_result(args, &note, || note_table(&note));
    Ok(())
}

async fn apply(args: &ArgMatches) -> Result<(), RunError> {
    let file = path_arg(args, "file").unwrap_or_default();
    let client = operator_client(args)?;
    let acceptance = client.apply(read_file(&file)?).await.context(ClientSnafu)?;
    let revision = acceptance.revision;
    print_result(args, &acceptance, || {
        let already = if acceptance.repeated { " already" } else { "" };
        format!("accepted{already} as revision {revision}")
    });
    if let Some(seconds) = args.get_one::<u64>("wait") {
        let wait = Duration::from_secs(*seconds);
        client.wait_for(revision, wait).await.context(ClientSnafu)?;
        eprintln!("revision {revision} is in force on every instance");
    }
    Ok(())
}

async fn status(args: &ArgMatches) -> Result<(), RunError> {
    let fleet = operator_client(args)?.fleet().await.context(ClientSnafu)?;
    print_result(args, &fleet, || fleet_tables(&fleet));
    Ok(())
}

async fn timeline(args: &ArgMatches) -> Result<(), RunError> {
    let events = operator_client(args)?
        .timeline()
        .await
        .context(ClientSnafu)?;
    if let Some(out) = path_arg(args, "html") {
        write_file(&out, &trace_page(&events))?;
    }
    if let Some(out) = path_arg(args, "trace") {
        write_file(&out, &trace_json(&events))?;
    }
    print_result(args, &events, || format!("{} events", events.len()));
    Ok(())
}

async fn load(args: &ArgMatches) -> Result<(), RunError> {
    let file = path_arg(args, "workload").unwrap_or_default();
    let workload: Workload = parse_json(&read_file(&file)?).map_err(|e| invalid_file(&file, &e))?;
    if workload.instances.is_empty() {
        let reason = "instances: the list is empty".to_owned();
        return InvalidSnafu { path: file, reason }.fail();
    }
    let result = run_load(&workload, None).await;
    if let Some(out) = path_arg(args, "out") {
        write_file(
            &out,
            &serde_json::to_string_pretty(&result).unwrap_or_default(),
        )?;
    }
    print_result(args, &result, || load_table(&result));
    Ok(())
}

fn completions(args: &ArgMatches) {
    let shell = args.get_one::<String>("shell").map(String::as_str);
    let shell = match shell {
        Some("elvish") => Shell::Elvish,
        Some("fish") => Shell::Fish,
        Some("powershell") => Shell::PowerShell,
        Some("zsh") => Shell::Zsh,
        _ => Shell::Bash,
    };
    let name = "cornelstand";
    clap_complete::generate(shell, &mut command(), name, &mut std::io::stdout());
}

#[cfg(feature = "demo")]
async fn demo(args: &ArgMatches) -> Result<(), RunError> {
    let options = crate::demo::DemoOptions {
        seconds: args.get_one("seconds").copied().unwrap_or_default(),
        seed: args.get_one("seed").copied().unwrap_or_default(),
        json: path_arg(args, "json"),
        timeline: path_arg(args, "timeline"),
        hold: args.get_flag("hold"),
    };
    let all_kept = crate::demo::run_demo(&options).await.context(DemoSnafu)?;
    if !all_kept {
        return PromiseBrokenSnafu.fail();
    }
    Ok(())
}

fn operator_client(args: &ArgMatches) -> Result<OperatorClient, RunError> {
    let file = path_arg(args, "key-file");
    let key = operator_key(file.as_deref()).context(ClientSnafu)?;
    let default = ([127, 0, 0, 1], 8081).into();
    let address = args.get_one("at").copied().unwrap_or(default);
    Ok(OperatorClient::new(address, key))
}

fn start_logs(log: &Log) -> Result<(), RunError> {
    let filter = EnvFilter::try_new(&log.level).map_err(|e| process_error(&e))?;
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let started = match log.format {
        LogFormat::Text => logs.try_init(),
        LogFormat::Json => logs.json().try_init(),
    };
    started.map_err(|e| RunError::Process {
        reason: e.to_string(),
    })
}

fn path_arg(args: &ArgMatches, name: &str) -> Option<PathBuf> {
    args.get_one::<PathBuf>(name).cloned()
}

fn read_file(path: &Path) -> Result<String, RunError> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

fn write_file(path: &Path, text: &str) -> Result<(), RunError> {
    std::fs::write(path, text).context(FileSnafu { path })
}

fn invalid_file(path: &Path, error: &dyn std::error::Error) -> RunError {
    RunError::Invalid {
        path: path.to_path_buf(),
        reason: error.to_string(),
    }
}

fn process_error(error: &dyn std::error::Error) -> RunError {
    RunError::Process {
        reason: error.to_string(),
    }
}

/// Prints `value` as JSON with `--json`, otherwise the result of `text`.
fn print_result<T: Serialize>(args: &ArgMatches, value: &T, text: impl FnOnce() -> String) {
    if args.get_flag("json") {
        print_json(value);
    } else {
        println!("{}", text());
    }
}

fn print_json<T: Serialize>(value: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
