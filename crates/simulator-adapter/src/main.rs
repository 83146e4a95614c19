//! Hosts postusher dispatchers on the simulator's wire: batches on standard input, replies on standard output.
//! It decides nothing.

mod adapter;
mod frame;
mod host;
mod wire;

use std::io::{self, BufReader};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    match adapter::run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("postusher-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
