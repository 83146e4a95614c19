//! `postusher-lab`: the former name of `postusher-testbed`.

use std::process::ExitCode;

fn main() -> ExitCode {
    postusher_testbed::cli::main()
}
