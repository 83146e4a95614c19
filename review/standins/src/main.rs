//! Stand-ins for clients, workers, discovery and the platform, and the cases of the review that use them.

mod cases;
mod client;
mod discovery;
mod http;
mod record;
mod scheduler;
mod worker;

use record::print;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// No case runs for longer.
const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standins CASE FOLDER");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        print("could not run: not finished in time");
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(&case, &PathBuf::from(folder), trouble) {
        Ok(true) => print("held"),
        Ok(false) => {
            print("BROKEN");
            exit(1);
        }
        Err(error) => {
            print(&format!("could not run: {error}"));
            exit(2);
        }
    }
}
