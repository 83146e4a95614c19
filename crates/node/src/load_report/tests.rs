use super::{from_json, from_text};
use crate::config::tests::config;
use proptest::prelude::*;
use proptest::sample::select;

#[test]
fn load_reports_are_parsed_from_headers_and_bodies() {
    let site = config().site;
    assert_eq!(from_text("TEXT inflight=7, qps=1.5, x0=2", &site).unwrap(), vec![1.5, 7.0, 2.0]);
    assert_eq!(from_text(r#"{"qps":1,"inflight":2,"x0":3}"#, &site).unwrap(), vec![1.0, 2.0, 3.0]);
    assert!(from_text("TEXT other=1", &site).unwrap().is_empty());
    assert!(from_json("[1]", &site).unwrap().is_empty());
}

#[test]
fn value_beyond_its_bound_refuses_the_whole_report() {
    // Guards against the use of numbers that no worker can have, and of the other numbers beside them.
    let site = config().site;
    for number in ["1025", "4294967295", "1e18", "1e999"] {
        let error = from_json(&format!(r#"{{"inflight":1,"x0":{number}}}"#), &site).unwrap_err();
        assert!(error.to_string().starts_with("x0 is "), "{error}");
        assert!(error.to_string().ends_with(", expected at most 1024"), "{error}");
        assert_eq!(from_text(&format!("TEXT inflight=1, x0={number}"), &site), Err(error));
    }
    assert!(from_text("TEXT inflight=1, x0=inf", &site).is_err());
    assert!(from_text("TEXT inflight=1e18, x0=1", &site).is_err());
    assert_eq!(from_text("TEXT qps=0, inflight=1, x0=1024", &site).unwrap(), vec![0.0, 1.0, 1024.0]);
    let values = from_text("TEXT qps=0, inflight=-1, x0=nan", &site).unwrap();
    assert!(values[1] == -1.0 && values[2].is_nan(), "negative and missing values are ignored later");
}

/// Numbers as a spoilt or wrong report contains them.
const NUMBERS: [&str; 16] = [
    "0",
    "-1",
    "1",
    "0.5",
    "255",
    "65535",
    "-2147483648",
    "4294967295",
    "18446744073709551615",
    "1e18",
    "-1e18",
    "1e308",
    "1e999",
    "-1e999",
    "1e-400",
    "null",
];

proptest! {
    /// Guards against numbers from outside that get past their bound, or end the process.
    #[test]
    fn parsed_values_are_within_their_bounds(numbers in proptest::collection::vec(select(&NUMBERS[..]), 3)) {
        let site = config().site;
        let json = format!(r#"{{"qps":{},"inflight":{},"x0":{}}}"#, numbers[0], numbers[1], numbers[2]);
        let text = format!("TEXT qps={}, inflight={}, x0={}", numbers[0], numbers[1], numbers[2]);
        for report in [from_json(&json, &site), from_text(&json, &site), from_text(&text, &site)] {
            let Ok(values) = report else { continue };
            let is_at_most = |position: usize, maximum: f64| {
                values.get(position).is_none_or(|value| value.is_nan() || *value <= maximum)
            };
            prop_assert!(is_at_most(1, 1e6) && is_at_most(2, 1_024.0), "{values:?}");
        }
    }
}
