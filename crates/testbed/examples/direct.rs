//! Measures the program with workers that answer requests themselves: shares at low, middle and high load, what it adds
//! to a call, and memory with many open connections. By hand: `cargo run --profile testbed -p postusher-testbed --example
//! direct -- PROGRAM`. Calls through it and past it take turns, so that the machine's noise falls on both.

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use postusher_testbed::direct::{Client, StandInWorker};
use postusher_testbed::schedulers::free_address;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

struct Started(Child);

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

async fn start(program: &str, workers: &str) -> Result<(Started, SocketAddr)> {
    let (addr, setup) =
        (free_address()?, std::env::temp_dir().join(format!("direct-{}.xml", std::process::id())));
    let text = format!(
        "<postusher sockets=\"8192\"><pool name=\"p\" answers=\"direct\">{workers}</pool></postusher>"
    );
    std::fs::write(&setup, text)?;
    let child = Command::new(program)
        .args(["serve", "--listen", &addr.to_string(), "--setup"])
        .arg(&setup)
        .env_remove("NODE_CONFIG")
        .stderr(Stdio::null())
        .spawn()?;
    let started = Started(child);
    while TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok((started, addr))
}

/// Sends so many requests over so many connections at once; gives what each worker had, the times in microseconds, and
/// how long it took.
async fn load(
    addr: SocketAddr,
    requests: usize,
    connections: usize,
) -> Result<(BTreeMap<String, usize>, Histogram<u64>, f64)> {
    let (begun, mut tasks) = (Instant::now(), tokio::task::JoinSet::new());
    for _ in 0..connections {
        tasks.spawn(async move {
            let (mut client, mut all) = (Client::new(addr), Vec::new());
            for _ in 0..requests / connections {
                let sent = Instant::now();
                let answer = client.ask("GET /x", &[("Host", "h")], b"").await?;
                let name = answer.header("X-Worker").unwrap_or("none").to_string();
                all.push((name, sent.elapsed().as_micros() as u64));
            }
            anyhow::Ok(all)
        });
    }
    let (mut had, mut times) = (BTreeMap::new(), Histogram::new(3)?);
    while let Some(all) = tasks.join_next().await {
        for (name, micros) in all?? {
            *had.entry(name).or_insert(0) += 1;
            times.record(micros)?;
        }
    }
    Ok((had, times, begun.elapsed().as_secs_f64()))
}

#[tokio::main]
async fn main() -> Result<()> {
    let program = std::env::args().nth(1).context("say where the program is")?;
    println!("shares over 20,000 requests: workers with weights 5, 3, 2 that take 1, 5 and 20 ms");
    let mut stand_ins = Vec::new();
    for (n, ms) in [1, 5, 20].into_iter().enumerate() {
        stand_ins.push(StandInWorker::start(&format!("w{n}"), Duration::from_millis(ms)).await?);
    }
    let worker = |(s, weight): (&StandInWorker, u32)| {
        format!("<worker id=\"{}\" addr=\"{}\" weight=\"{weight}\" most=\"400\"/>", s.name, s.addr)
    };
    let workers: String = stand_ins.iter().zip([5, 3, 2]).map(worker).collect();
    for (name, connections) in [("low", 4), ("middle", 50), ("high", 400)] {
        let (_program, addr) = start(&program, &workers).await?;
        let (had, times, took) = load(addr, 20_000, connections).await?;
        let share = |n: &str| 100.0 * had.get(n).copied().unwrap_or(0) as f64 / 20_000.0;
        println!(
            "  {name:<6} ({connections:>3} at once): meant 50.0 30.0 20.0, had {:.1} {:.1} {:.1}; {:.0} a second, median {:.1} ms",
            share("w0"), share("w1"), share("w2"), 20_000.0 / took, times.value_at_quantile(0.5) as f64 / 1e3
        );
    }
    println!("what it adds, 20,000 requests each, in turns of 4,000:");
    let alone = StandInWorker::start("alone", Duration::ZERO).await?;
    let (one, addr) =
        start(&program, &format!("<worker id=\"a\" addr=\"{}\" most=\"400\"/>", alone.addr)).await?;
    for connections in [1, 16] {
        let mut sums = [(Histogram::<u64>::new(3)?, 0.0), (Histogram::<u64>::new(3)?, 0.0)];
        for _ in 0..5 {
            for (addr, sum) in [alone.addr, addr].into_iter().zip(&mut sums) {
                let (_, times, took) = load(addr, 4_000, connections).await?;
                sum.0.add(times)?;
                sum.1 += took;
            }
        }
        for (name, (times, took)) in ["past it", "through it"].iter().zip(&sums) {
            let at = |q| times.value_at_quantile(q);
            println!(
                "  {connections:>2} at once, {name:<10}: {:.0} a second, median {} us, p99 {} us",
                20_000.0 / took,
                at(0.5),
                at(0.99)
            );
        }
    }
    let mut open = Vec::new();
    for _ in 0..1_000 {
        let mut client = Client::new(addr);
        client.ask("GET /x", &[("Host", "h")], b"").await?;
        open.push(client);
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", one.0.id()))?;
    let resident = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    println!("with {} open connections: {resident}", open.len());
    Ok(())
}
