//! Load reports with values that no worker can have.

use super::{Scheduler, ACCEPTED};

#[test]
fn invalid_load_report_is_refused_and_its_result_served() {
    // Guards against a report whose number of free slots takes all of the scheduler's memory.
    let fields = r#""Report": {"Fields": ["tps", "x0"], "Source": "inline"},
        "Specifics": {"ReportX0": "free slots"}, "Rules""#;
    let mut scheduler =
        Scheduler::with_config("invalid-report", 1, |text| text.replace(r#""Rules""#, fields));
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = Some(scheduler.accept_worker_connection());
    worker.as_mut().unwrap().read_message();
    worker.as_mut().unwrap().send(ACCEPTED);
    scheduler.send_job_status(
        r#"{"id":"t1","from":"s-1","state":"done","result":"r1","load":{"tps":1,"x0":1000000}}"#,
    );
    assert_eq!(client.read_message().body, "r1");
    scheduler.wait_for_log("load report refused: worker=s-1 error=\"x0 is 1000000, expected at most 1024\"");
    client.send_job("t2");
    scheduler.next_request(&mut worker).read_message();
}
