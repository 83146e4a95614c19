//! Measures the scheduler with a direct pool: shares at low, medium and high load, added latency per request,
//! and memory with many open connections. Run by hand: `cargo run --profile testbed -p postusher-testbed
//! --example direct -- PROGRAM`. Rounds of requests through the scheduler and directly to the worker
//! alternate, so that noise of the machine affects both alike.

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use postusher_testbed::direct::{Client, MockWorker};
use postusher_testbed::free_address::free_address;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Number of requests of each measurement.
const REQUESTS: usize = 20_000;
/// Number of rounds of the latency measurement, each of `REQUESTS / ROUNDS` requests per route.
const ROUNDS: usize = 5;
const OPEN_CONNECTIONS: usize = 1_000;
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A scheduler process that is killed on drop.
struct SchedulerProcess {
    child: Child,
    address: SocketAddr,
}

impl SchedulerProcess {
    /// Starts the scheduler with these worker elements in its setup and waits until it accepts connections.
    async fn start(program: &str, workers: &str) -> Result<SchedulerProcess> {
        let address = free_address()?;
        let setup = std::env::temp_dir().join(format!("direct-{}.xml", std::process::id()));
        let text = format!(
            "<postusher sockets=\"8192\"><pool name=\"p\" answers=\"direct\">{workers}</pool></postusher>"
        );
        std::fs::write(&setup, text)?;
        let child = Command::new(program)
            .args(["serve", "--listen", &address.to_string(), "--setup"])
            .arg(&setup)
            .env_remove("NODE_CONFIG")
            .stderr(Stdio::null())
            .spawn()?;
        let scheduler = SchedulerProcess { child, address };
        while TcpStream::connect(address).await.is_err() {
            tokio::time::sleep(CONNECT_RETRY_INTERVAL).await;
        }
        Ok(scheduler)
    }

    /// Returns the `VmRSS` line of `/proc/PID/status`, the resident memory; empty if there is none.
    fn resident_memory(&self) -> Result<String> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        Ok(line.unwrap_or("").to_owned())
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // the process may have exited already
        let _ = self.child.wait();
    }
}

/// The result of one request.
struct RequestResult {
    worker: String,
    latency_micros: u64,
}

/// The results of a load measurement.
struct LoadResult {
    /// Number of requests by the worker that answered.
    requests_by_worker: BTreeMap<String, usize>,
    /// Latencies of the requests, in microseconds.
    latencies: Histogram<u64>,
    /// Duration of the whole measurement.
    seconds: f64,
}

/// Sends requests over several connections concurrently.
async fn run_load(address: SocketAddr, requests: usize, connections: usize) -> Result<LoadResult> {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        tasks.spawn(send_sequentially(address, requests / connections));
    }
    let mut requests_by_worker = BTreeMap::new();
    let mut latencies = Histogram::new(SIGNIFICANT_DIGITS)?;
    while let Some(finished) = tasks.join_next().await {
        for result in finished?? {
            *requests_by_worker.entry(result.worker).or_insert(0) += 1;
            latencies.record(result.latency_micros)?;
        }
    }
    Ok(LoadResult { requests_by_worker, latencies, seconds: started.elapsed().as_secs_f64() })
}

/// Sends requests over one connection, each one after the response to the previous one.
async fn send_sequentially(address: SocketAddr, requests: usize) -> Result<Vec<RequestResult>> {
    let mut client = Client::new(address);
    let mut results = Vec::new();
    for _ in 0..requests {
        let sent_at = Instant::now();
        let response = client.request("GET /x", &[("Host", "h")], b"").await?;
        let worker = response.header("X-Worker").unwrap_or("none").to_string();
        let latency_micros = sent_at.elapsed().as_micros() as u64;
        results.push(RequestResult { worker, latency_micros });
    }
    Ok(results)
}

/// Prints the shares of requests that workers with different weights and response times receive, at three
/// loads.
async fn measure_shares(program: &str) -> Result<()> {
    println!(
        "shares of 20,000 requests: workers with weights 5, 3 and 2 and response times of 1, 5 and 20 ms"
    );
    let mut workers = String::new();
    let mut mock_workers = Vec::new();
    for (index, (weight, millis)) in [(5, 1), (3, 5), (2, 20)].into_iter().enumerate() {
        let mock_worker = MockWorker::start(&format!("w{index}"), Duration::from_millis(millis)).await?;
        let MockWorker { name, addr, .. } = &mock_worker;
        workers += &format!("<worker id=\"{name}\" addr=\"{addr}\" weight=\"{weight}\" most=\"400\"/>");
        mock_workers.push(mock_worker);
    }
    for (name, connections) in [("low", 4), ("medium", 50), ("high", 400)] {
        let scheduler = SchedulerProcess::start(program, &workers).await?;
        let result = run_load(scheduler.address, REQUESTS, connections).await?;
        let percent_of = |worker: &str| {
            let requests = result.requests_by_worker.get(worker).copied().unwrap_or(0);
            100.0 * requests as f64 / REQUESTS as f64
        };
        println!(
            "  {name:<6} ({connections:>3} connections): expected 50.0 30.0 20.0%, \
             measured {:.1} {:.1} {:.1}%; {:.0} requests/s, median {:.1} ms",
            percent_of("w0"),
            percent_of("w1"),
            percent_of("w2"),
            REQUESTS as f64 / result.seconds,
            result.latencies.value_at_quantile(0.5) as f64 / 1e3
        );
    }
    Ok(())
}

/// The accumulated results of one route to the worker over all rounds.
struct RouteTotals {
    name: &'static str,
    /// Address to which the requests are sent.
    address: SocketAddr,
    /// Latencies of the requests, in microseconds.
    latencies: Histogram<u64>,
    /// Total duration of the rounds.
    seconds: f64,
}

impl RouteTotals {
    fn new(name: &'static str, address: SocketAddr) -> Result<RouteTotals> {
        Ok(RouteTotals { name, address, latencies: Histogram::new(SIGNIFICANT_DIGITS)?, seconds: 0.0 })
    }
}

/// Prints the latencies of requests sent directly to the worker and of requests sent through the scheduler.
async fn measure_added_latency(worker: SocketAddr, scheduler: SocketAddr) -> Result<()> {
    for connections in [1, 16] {
        let mut routes = [RouteTotals::new("direct", worker)?, RouteTotals::new("scheduled", scheduler)?];
        for _ in 0..ROUNDS {
            for route in &mut routes {
                let result = run_load(route.address, REQUESTS / ROUNDS, connections).await?;
                route.latencies.add(result.latencies)?;
                route.seconds += result.seconds;
            }
        }
        for RouteTotals { name, latencies, seconds, .. } in &routes {
            println!(
                "  {connections:>2} connections, {name:<9}: {:.0} requests/s, median {} us, p99 {} us",
                REQUESTS as f64 / seconds,
                latencies.value_at_quantile(0.5),
                latencies.value_at_quantile(0.99)
            );
        }
    }
    Ok(())
}

/// Prints the resident memory of the scheduler while many idle client connections are open.
async fn measure_memory(scheduler: &SchedulerProcess) -> Result<()> {
    let mut clients = Vec::new();
    for _ in 0..OPEN_CONNECTIONS {
        let mut client = Client::new(scheduler.address);
        client.request("GET /x", &[("Host", "h")], b"").await?;
        clients.push(client);
    }
    println!("with {} open connections: {}", clients.len(), scheduler.resident_memory()?);
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let program = std::env::args().nth(1).context("missing argument: path of the postusher program")?;
    measure_shares(&program).await?;
    println!("added latency, 20,000 requests per route in rounds of 4,000:");
    let mock_worker = MockWorker::start("alone", Duration::ZERO).await?;
    let worker = format!("<worker id=\"a\" addr=\"{}\" most=\"400\"/>", mock_worker.addr);
    let scheduler = SchedulerProcess::start(&program, &worker).await?;
    measure_added_latency(mock_worker.addr, scheduler.address).await?;
    measure_memory(&scheduler).await
}
