//! Runs corkbay dispatchers under a simulator: reads its line protocol on standard input and writes the replies to
//! standard output. All decisions are those of the dispatchers.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut input = io::stdin().lock();
    let mut line = Vec::new();
    for line_number in 1u64.. {
        line.clear();
        let at_end = match input.read_until(b'\n', &mut line) {
            Ok(size) => size == 0,
            Err(error) => {
                eprintln!("corkbay-drill: line {line_number}: {error}");
                return ExitCode::FAILURE;
            }
        };
        if at_end {
            if host.in_batch() {
                eprintln!("corkbay-drill: line {line_number}: input ends inside a batch");
                return ExitCode::FAILURE;
            }
            return ExitCode::SUCCESS;
        }
        let result = match std::str::from_utf8(&line) {
            Ok(text) => host.handle_line(text.trim_end_matches(['\n', '\r'])),
            Err(_) => Err("not UTF-8 text".to_string()),
        };
        match result {
            Ok(None) => {}
            Ok(Some(reply)) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(problem) => {
                eprintln!("corkbay-drill: line {line_number}: {problem}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
