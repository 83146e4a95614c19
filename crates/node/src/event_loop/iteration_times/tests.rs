//! Tests of the age of input after iterations of different length.

use super::*;

#[test]
fn input_counts_from_the_previous_iteration_unless_the_wait_blocked() {
    let mut times = IterationTimes::new(0.0);
    times.start_iteration(0.0, 100.0);
    assert_eq!(times.input_age(101.0), 1.0);
    // The iteration took 160 ms, and the following wait returned at once: input may be as old as that.
    times.start_iteration(260.0, 260.1);
    assert_eq!(times.input_age(260.0), 160.0);
    times.start_iteration(261.0, 300.0);
    assert_eq!(times.input_age(300.0), 0.0);
}
