//! Retries after worker failures in direct pools.

use crate::rig::{block_on, import_sample, import_samples, start_mock_workers, Scheduler};
use postusher_testbed::direct::{Behavior, Client};
use postusher_testbed::free_address::free_address;
use postusher_testbed::schedulers::http_request;
use std::time::Duration;

#[test]
fn possibly_executed_request_is_retried_only_if_safe() {
    block_on(async {
        let samples = import_samples();
        // Without an allowed status, the client's connection must end before the response is complete.
        for (behavior, method, allowed_statuses, max_attempts) in [
            (Behavior::Disconnect, "POST", &[502][..], 1),
            (Behavior::Disconnect, "GET", &[200], 2),
            (Behavior::DisconnectInAnswer, "GET", &[], 1),
            (Behavior::Status(500), "GET", &[500], 1),
            (Behavior::Status(404), "POST", &[404], 1),
        ] {
            let mut pools = import_sample(&samples.join("apache-two-members")).unwrap();
            let mock_workers = start_mock_workers(&mut pools, |_| Duration::ZERO).await;
            let scheduler = Scheduler::start("retries", &pools).await;
            mock_workers["127.0.0.1:9001"].set_behavior(behavior);
            // The first request is always sent to the first worker.
            let line = format!("{method} /pay?x=1");
            let response = Client::new(scheduler.addr).request(&line, &[("Host", "h")], b"abc").await;
            let received = mock_workers.values().map(|worker| worker.take_requests().len()).sum::<usize>();
            match response {
                Ok(response) => {
                    assert!(
                        allowed_statuses.contains(&response.status()),
                        "{behavior:?} {method}: {}",
                        response.status()
                    )
                }
                Err(error) => assert!(allowed_statuses.is_empty(), "{behavior:?} {method}: {error}"),
            }
            assert!(received <= max_attempts, "{behavior:?} {method}: workers received {received} requests");
        }
    });
}

#[test]
fn refused_connection_is_retried_and_counted_in_stats() {
    block_on(async {
        let samples = import_samples();
        let mut pools = import_sample(&samples.join("apache-two-members")).unwrap();
        let mock_workers = start_mock_workers(&mut pools, |_| Duration::ZERO).await;
        pools[0].workers[0].addr = free_address().unwrap().to_string(); // nothing listens on this address
        let mgmt = free_address().unwrap();
        let scheduler =
            Scheduler::start_with_attributes("refused-connection", &pools, &format!(" mgmt=\"{mgmt}\""))
                .await;
        for request in 1..=5 {
            let response =
                Client::new(scheduler.addr).request("POST /pay", &[("Host", "h")], b"abc").await.unwrap();
            assert_eq!(
                (response.status(), response.header("X-Worker")),
                (200, Some("127.0.0.1:9002")),
                "request {request}"
            );
        }
        let received = mock_workers["127.0.0.1:9002"].take_requests();
        assert!(
            received.len() == 5 && received.iter().all(|request| request.body_length == 3),
            "{received:?}"
        );
        let stats_response = http_request(mgmt, "GET /stats").await.unwrap();
        let stats: serde_json::Value = serde_json::from_slice(&stats_response.1).unwrap();
        let workers = &stats["pools"]["app"]["workers"];
        assert_eq!(workers["127.0.0.1-9002"]["answered"], 5);
        assert!(workers["127.0.0.1-9001"]["failed"].as_u64().unwrap() >= 1, "{stats}");
        // The failed worker is out of rotation.
        assert_eq!(workers["127.0.0.1-9001"]["listing"], "reserved");
        assert_eq!(http_request(mgmt, "GET /healthcheck").await.unwrap().0, 200);
        assert_eq!(http_request(mgmt, "GET /nothing").await.unwrap().0, 404);
    });
}

/// The connect timeout, 1 s by default, does not apply to a worker that has accepted the connection.
#[test]
fn slow_answer_on_a_new_connection_is_awaited() {
    block_on(async {
        let mut pools = import_sample(&import_samples().join("apache-two-members")).unwrap();
        let _mock_workers = start_mock_workers(&mut pools, |_| Duration::from_millis(2_200)).await;
        let scheduler = Scheduler::start("slow-answer", &pools).await;
        let response =
            Client::new(scheduler.addr).request("POST /pay", &[("Host", "h")], b"abc").await.unwrap();
        assert_eq!(response.status(), 200);
    });
}
