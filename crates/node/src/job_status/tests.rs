use super::{JobStatus, JobStatusUpdate};
use crate::config::tests::config;

#[test]
fn job_status_updates_of_every_kind_are_parsed() {
    let site = config().site;
    let read = |state: &str| {
        let body = format!(r#"{{"id":"9b","from":"s-1","state":{state}}}"#);
        JobStatusUpdate::read(body.as_bytes(), &site)
    };
    let cases = [
        (r#""started""#, JobStatus::Started),
        (r#""running","share":0.4"#, JobStatus::Running(0.4)),
        (r#""done","result":"r\n1""#, JobStatus::Done(b"r\n1".to_vec())),
        (r#""failed""#, JobStatus::Failed),
        (r#""returned""#, JobStatus::Returned),
        (r#""lost""#, JobStatus::Lost),
    ];
    for (text, status) in cases {
        assert_eq!(read(text).unwrap().status, status);
    }
    assert!(read(r#""odd""#).is_none() && JobStatusUpdate::read(b"[1]", &site).is_none());
    let update = read(r#""done","result":"x","load":{"qps":3.5,"x0":2}"#).unwrap();
    let report = update.report.unwrap();
    assert!(report[0] == 3.5 && report[1].is_nan() && report[2] == 2.0);
}

#[test]
fn result_beside_an_invalid_load_report_is_kept() {
    // Guards against a result that is lost because of a number in the same message.
    let site = config().site;
    for number in ["4294967295", "1e999"] {
        let body =
            format!(r#"{{"id":"9b","from":"s-1","state":"done","result":"r","load":{{"x0":{number}}}}}"#);
        let update = JobStatusUpdate::read(body.as_bytes(), &site).unwrap();
        assert_eq!(update.status, JobStatus::Done(b"r".to_vec()));
        assert!(update.report.is_err());
    }
}
