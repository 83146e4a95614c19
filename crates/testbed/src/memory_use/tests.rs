use super::{executes_test_bed, parse_peak_kib};
use std::time::Duration;

#[test]
fn peak_is_read_from_the_status_of_a_running_process() {
    assert_eq!(parse_peak_kib("Name:\tp\nVmHWM:\t    4096 kB\nVmRSS:\t 12 kB\n"), Some(4096));
    assert_eq!(parse_peak_kib("Name:\tp\nState:\tZ (zombie)\n"), None);
}

#[test]
fn process_that_executes_another_program_is_told_from_the_test_bed() {
    // Guards against the memory of the test bed that counts as that of a scheduler which has not begun to execute.
    assert!(executes_test_bed(std::process::id()));
    let mut other = std::process::Command::new("sleep").arg("10").spawn().unwrap();
    let deadline = std::time::Instant::now() + Duration::from_secs(5);
    while executes_test_bed(other.id()) && std::time::Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(1));
    }
    let is_recognized = !executes_test_bed(other.id());
    other.kill().unwrap();
    other.wait().unwrap();
    assert!(is_recognized);
}
