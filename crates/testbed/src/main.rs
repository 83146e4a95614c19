//! `postusher-testbed`: plays scenarios against the real program and reports what it saw.

use std::process::ExitCode;

fn main() -> ExitCode {
    postusher_testbed::cli::main()
}
