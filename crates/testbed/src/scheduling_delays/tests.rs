//! Tests of the parser of `schedstat`.

use super::*;

#[test]
fn second_field_of_schedstat_is_the_wait_in_nanoseconds() {
    assert_eq!(parse_total_wait_ms("257714 3500000 1\n"), Some(3.5));
    assert_eq!(parse_total_wait_ms("257714"), None);
    assert!(total_wait_ms(Path::new("/proc/self/schedstat")).is_some());
}
