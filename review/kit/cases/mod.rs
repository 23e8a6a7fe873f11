//! The cases 1 to 3, and two findings that are no cases: `late` and `memory`.

mod drain;
mod late;
mod memory;
mod mixed;
mod order;
mod streams;

use crate::Verdict;
use crate::world::Record;

pub fn run(case: &str, path: &str, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(path).map_err(|e| format!("{path}: {e}"))?;
    let verdict = match case {
        "mixed" => mixed::run(&record, trouble),
        "order" => order::run(&record, trouble),
        "drain" => drain::run(&record, trouble),
        "late" => late::run(&record, trouble),
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
