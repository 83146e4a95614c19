//! Session affinity in direct pools.

use crate::rig::{block_on, import_sample, import_samples, start_mock_workers, Scheduler};
use postusher_testbed::direct::{Behavior, Client};
use std::time::Duration;

#[test]
fn sessions_stay_with_live_and_draining_workers() {
    block_on(async {
        let samples = import_samples();
        let mut pools = import_sample(&samples.join("apache-disabled")).unwrap();
        let mock_workers = start_mock_workers(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("sessions", &pools).await;
        let mut client = Client::new(scheduler.addr);
        let worker = |port: u16| format!("127.0.0.1:{port}");
        for (route, port) in [("n1", 9001), ("n2", 9002), ("n3", 9003), ("n5", 9005)] {
            for _ in 0..5 {
                let cookie = format!("a=b; JSESSIONID=5f3a.{route}");
                let response =
                    client.request("GET /x", &[("Host", "h"), ("Cookie", &cookie)], b"").await.unwrap();
                assert_eq!(response.header("X-Worker"), Some(worker(port).as_str()), "{route}");
            }
            let line = format!("GET /x;JSESSIONID=5f3a.{route}");
            let response = client.request(&line, &[("Host", "h")], b"").await.unwrap();
            assert_eq!(response.header("X-Worker"), Some(worker(port).as_str()), "{route}");
        }
        // The stopped worker receives nothing; its sessions are sent to other workers.
        let response =
            client.request("GET /x", &[("Host", "h"), ("Cookie", "JSESSIONID=1.n4")], b"").await.unwrap();
        assert!([worker(9002), worker(9005)].contains(&response.header("X-Worker").unwrap().to_string()));
        assert!(mock_workers[&worker(9004)].take_requests().is_empty());
        drop(scheduler);

        // Each host has its own pool, with a session cookie of the same name.
        let mut pools = import_sample(&samples.join("apache-hosts")).unwrap();
        let _mock_workers = start_mock_workers(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("two-cookies", &pools).await;
        for (host, port) in [("shop.example.org", 9001), ("desk.example.org:80", 9002)] {
            let headers = [("Host", host), ("Cookie", "JSESSIONID=1.n1")];
            let response = Client::new(scheduler.addr).request("GET /", &headers, b"").await.unwrap();
            assert_eq!(response.header("X-Worker"), Some(worker(port).as_str()));
        }
        let response = Client::new(scheduler.addr).request("GET /", &[("Host", "other")], b"").await.unwrap();
        assert_eq!(response.status(), 404);
    });
}

/// A worker that is slower than the connect timeout, 1 s by default, keeps its sessions.
#[test]
fn session_stays_with_a_slow_worker() {
    block_on(async {
        let mut pools = import_sample(&import_samples().join("apache-disabled")).unwrap();
        // The worker with the index 0 is n1, at port 9001.
        let delay = |index| Duration::from_millis(if index == 0 { 1_200 } else { 0 });
        let _mock_workers = start_mock_workers(&mut pools, delay).await;
        let scheduler = Scheduler::start("slow-session", &pools).await;
        let headers = [("Host", "h"), ("Cookie", "JSESSIONID=5f3a.n1")];
        let response = Client::new(scheduler.addr).request("GET /x", &headers, b"").await.unwrap();
        assert_eq!(response.header("X-Worker"), Some("127.0.0.1:9001"));
    });
}

#[test]
fn strict_session_is_rejected_and_redirect_is_followed() {
    block_on(async {
        let samples = import_samples();
        let mut pools = import_sample(&samples.join("apache-sticky-strict")).unwrap();
        let mock_workers = start_mock_workers(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("strict", &pools).await;
        let mut client = Client::new(scheduler.addr);
        let headers = [("Host", "h"), ("Cookie", "JSESSIONID=1.n1")];
        assert_eq!(client.request("GET /", &headers, b"").await.unwrap().status(), 200);
        // In a strict pool, a session whose worker has failed is not sent to another worker.
        mock_workers["127.0.0.1:9001"].set_behavior(Behavior::RefuseConnections);
        mock_workers["127.0.0.1:9002"].take_requests();
        for _ in 0..4 {
            let response = client.request("POST /", &headers, b"x").await.unwrap();
            assert!(matches!(response.status(), 502 | 503), "{}", response.status());
        }
        assert!(mock_workers["127.0.0.1:9002"].take_requests().is_empty());
        drop(scheduler);

        // Sessions of the stopped worker n1 are sent to n2, its redirect target.
        let mut pools = import_sample(&samples.join("apache-redirect")).unwrap();
        let _mock_workers = start_mock_workers(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("redirect", &pools).await;
        for _ in 0..5 {
            let response = Client::new(scheduler.addr).request("GET /", &headers, b"").await.unwrap();
            assert_eq!(response.header("X-Worker"), Some("127.0.0.1:9002"));
        }
    });
}
