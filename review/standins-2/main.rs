//! The cases of the second review: `cases NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run.

mod copies;
mod drain;
mod kit;
mod memory;
mod upgrade;

use std::path::PathBuf;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_default());
    let run = std::panic::catch_unwind(|| match name.as_str() {
        "copies" => copies::copies(&folder),
        "report" => memory::spoilt_report(&folder),
        "crowd" => memory::crowd(&folder),
        "half" => memory::half_requests(&folder),
        "upgrade" => upgrade::long_folder(&folder),
        "configurations" => drain::configurations(&folder),
        "cut" => drain::long_cut(&folder),
        _ => 2,
    });
    std::process::exit(run.unwrap_or(2));
}
