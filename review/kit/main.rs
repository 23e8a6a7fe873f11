//! Runs one case: `review CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod store;
mod world;

use std::time::Duration;

/// No case takes longer.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub struct Verdict {
    /// Times that the rule was broken.
    pub broken: usize,
    pub text: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case took too long");
        world::end_all();
        std::process::exit(2);
    });
    let result = std::panic::catch_unwind(|| cases::run(case, path, trouble));
    world::end_all();
    let code = match result {
        Ok(Ok(verdict)) => {
            println!(
                "{} (trouble: {trouble}): {}",
                if verdict.broken > 0 { "BROKEN" } else { "held" },
                verdict.text
            );
            i32::from(verdict.broken > 0)
        }
        Ok(Err(error)) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}
