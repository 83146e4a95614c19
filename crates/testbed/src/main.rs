//! `postusher-testbed`: runs scenarios against the scheduler program and reports the results.

use std::process::ExitCode;

fn main() -> ExitCode {
    postusher_testbed::cli::main()
}
