//! Hosts corkbay dispatchers on the simulator's wire: parse, translate, frame, nothing more.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut out = BufWriter::new(io::stdout().lock());
    let mut input = io::stdin().lock();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let ended = match input.read_until(b'\n', &mut line) {
            Ok(size) => size == 0,
            Err(error) => {
                eprintln!("corkbay-drill: line {number}: {error}");
                return ExitCode::FAILURE;
            }
        };
        if ended {
            if host.in_batch() {
                eprintln!("corkbay-drill: line {number}: input ends inside a batch");
                return ExitCode::FAILURE;
            }
            return ExitCode::SUCCESS;
        }
        let parsed = match std::str::from_utf8(&line) {
            Ok(text) => host.line(text.trim_end_matches(['\n', '\r'])),
            Err(_) => Err("not UTF-8 text".to_string()),
        };
        match parsed {
            Ok(None) => {}
            Ok(Some(reply)) => {
                if out.write_all(reply.as_bytes()).and_then(|()| out.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(problem) => {
                eprintln!("corkbay-drill: line {number}: {problem}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
