//! Runs postusher dispatchers behind the simulator's wire protocol: reads batches from standard input and
//! writes replies to standard output. All decisions are made by the decision module.

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
