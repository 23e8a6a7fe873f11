//! The cases, each named after the rule that it is about.

mod drain;
mod memory;
mod mixed;
mod order;
mod stop;
mod streams;

use crate::Verdict;
use crate::world::Record;

pub fn run(case: &str, path: &str, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(path).map_err(|e| format!("{path}: {e}"))?;
    let verdict = match case {
        "mixed" => mixed::run(&record, trouble),
        "order" => order::run(&record, trouble),
        "drain" => drain::run(&record, trouble),
        "stop" => stop::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        _ => return Err(format!("no case {case}")),
    };
    let verdict = verdict.map_err(|e| e.to_string())?;
    record.note(format!(
        "verdict: {} breaks; {}",
        verdict.broken, verdict.text
    ));
    Ok(verdict)
}
