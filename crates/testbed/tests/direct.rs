//! Workers that answer requests themselves, behind the real program: every sample of the importer is run; shares,
//! sessions, drains, failures and bodies are seen from the workers' side.

use postusher_import::files::Disk;
use postusher_import::{apache, mod_jk, Ajp};
use postusher_setup::{Pool, Role, State, Worker};
use postusher_testbed::direct::{Behavior, Client, StandInWorker};
use postusher_testbed::runner::built_program;
use postusher_testbed::schedulers::{ask, free_address, resident_kib};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The program with a setup that stands alone.
struct Scheduler {
    child: Child,
    addr: SocketAddr,
    setup: PathBuf,
}

impl Scheduler {
    async fn start(name: &str, pools: &[Pool]) -> Scheduler {
        Scheduler::start_with(name, pools, "").await
    }

    /// With these attributes of the whole.
    async fn start_with(name: &str, pools: &[Pool], attributes: &str) -> Scheduler {
        let binary = built_program("postusher").unwrap();
        assert!(binary.exists(), "build the program first: cargo build -p postusher-node");
        let setup = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.xml"));
        let text = postusher_import::write::setup(pools);
        std::fs::write(&setup, text.replace("<postusher>", &format!("<postusher{attributes}>"))).unwrap();
        // Another test may take an address between its choice here and its use by the program, which then ends.
        for _ in 0..5 {
            let addr = free_address().unwrap();
            let log = std::fs::File::create(setup.with_extension("log")).unwrap();
            let child = Command::new(&binary)
                .args(["serve", "--listen", &addr.to_string(), "--setup"])
                .arg(&setup)
                .env_remove("NODE_CONFIG")
                .stdin(Stdio::null())
                .stderr(log)
                .spawn()
                .unwrap();
            // From here on it ends with the test, however that goes.
            let mut new = Scheduler { child, addr, setup: setup.clone() };
            for _ in 0..1000 {
                if new.child.try_wait().unwrap().is_some() {
                    break;
                }
                if TcpStream::connect(addr).await.is_ok() {
                    return new;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        panic!("{name} does not start");
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Reads the setup again, with these pools, and waits until the log says so.
    async fn again(&self, pools: &[Pool]) {
        std::fs::write(&self.setup, postusher_import::write::setup(pools)).unwrap();
        self.signal("-HUP");
        self.logs("SIGHUP").await;
    }

    async fn logs(&self, part: &str) {
        for _ in 0..1000 {
            if std::fs::read_to_string(self.setup.with_extension("log")).unwrap().contains(part) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the log never says {part}");
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended already
        let _ = self.child.wait();
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap().block_on(test);
}

/// A stand-in for each address that pools name, put in the place of it.
async fn stand_in(pools: &mut [Pool], delay: impl Fn(usize) -> Duration) -> BTreeMap<String, StandInWorker> {
    let mut all = BTreeMap::<String, StandInWorker>::new();
    for worker in pools.iter_mut().flat_map(|p| &mut p.workers) {
        if !all.contains_key(&worker.addr) {
            let new = StandInWorker::start(&worker.addr, delay(all.len())).await.unwrap();
            all.insert(worker.addr.clone(), new);
        }
        worker.addr = all[&worker.addr].addr.to_string();
    }
    all
}

/// Sends so many requests over so many connections; gives how many each stand-in answered, by name.
async fn load(
    addr: SocketAddr,
    host: &str,
    path: &str,
    requests: usize,
    connections: usize,
) -> BTreeMap<String, usize> {
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..connections {
        let (host, line) = (host.to_string(), format!("GET {path}"));
        tasks.spawn(async move {
            let (mut client, mut had) = (Client::new(addr), Vec::new());
            for _ in 0..requests / connections {
                let answer = client.ask(&line, &[("Host", &host)], b"").await.unwrap();
                assert_eq!(answer.status(), 200);
                had.push(answer.header("X-Worker").unwrap().to_string());
            }
            had
        });
    }
    let mut all = BTreeMap::new();
    while let Some(had) = tasks.join_next().await {
        for name in had.unwrap() {
            *all.entry(name).or_insert(0) += 1;
        }
    }
    all
}

/// The part of a pool's requests that each worker is meant to have: by weight, within the lowest set that is live.
fn intended(pool: &Pool) -> BTreeMap<String, f64> {
    let gets = |w: &&Worker| w.state == State::Live && w.role == Role::Active;
    let set = pool.workers.iter().filter(gets).map(|w| w.set).min().unwrap();
    let of: Vec<&Worker> = pool.workers.iter().filter(gets).filter(|w| w.set == set).collect();
    let total: f64 = of.iter().map(|w| w.weight).sum();
    of.into_iter().map(|w| (w.addr.clone(), w.weight / total)).collect()
}

/// Within 2 points of the whole or 5% of the share, whichever is more.
fn within(had: &BTreeMap<String, usize>, meant: &BTreeMap<String, f64>, what: &str) {
    let total: usize = had.values().sum();
    for (name, count) in had {
        assert!(meant.contains_key(name), "{what}: {name} has {count} and is meant to have none");
    }
    for (name, share) in meant {
        let got = had.get(name).copied().unwrap_or(0) as f64 / total as f64;
        assert!(
            (got - share).abs() <= 0.02f64.max(0.05 * share),
            "{what}: {name} has {got:.3}, meant {share:.3}: {had:?}"
        );
    }
}

fn imported(folder: &Path) -> Option<Vec<Pool>> {
    let name = |file: &str| folder.join(file).to_string_lossy().into_owned();
    let mut ajp = Ajp::default();
    for line in std::fs::read_to_string(folder.join("options")).unwrap_or_default().lines() {
        let (option, value) = line.split_once(' ').unwrap();
        if option == "--ajp-as-http" {
            ajp.address(value).unwrap()
        } else {
            ajp.port(value).unwrap()
        }
    }
    let imported = if folder.join("httpd.conf").exists() {
        apache::import(&[name("httpd.conf")], &Disk, &ajp)
    } else {
        let map = folder.join("uriworkermap.properties").exists().then(|| name("uriworkermap.properties"));
        mod_jk::import(&name("workers.properties"), map.as_deref(), &Disk, &ajp)
    };
    imported.ok().map(|i| i.pools).filter(|pools| !pools.is_empty())
}

#[test]
fn every_sample_runs_and_its_shares_are_those_that_were_meant() {
    run(async {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/samples");
        let mut folders: Vec<PathBuf> =
            std::fs::read_dir(samples).unwrap().map(|e| e.unwrap().path()).collect();
        folders.sort();
        let (mut ran, mut table) = (0, String::new());
        for folder in folders {
            let name = folder.file_name().unwrap().to_string_lossy().into_owned();
            let Some(mut pools) = imported(&folder) else { continue };
            let meant: Vec<_> = pools.iter().map(intended).collect();
            let stand_ins = stand_in(&mut pools, |n| Duration::from_millis(n as u64 % 3)).await;
            let scheduler = Scheduler::start(&name, &pools).await;
            for (pool, meant) in pools.iter().zip(&meant) {
                let route = pool.routes.iter().find(|r| !r.except).cloned().unwrap_or_default();
                let host = route.host.unwrap_or_else(|| "any.example.org".into());
                let path = route.path.unwrap_or_else(|| "/".into());
                let had = load(scheduler.addr, &host, &path, 600, 6).await;
                within(&had, meant, &format!("{name}, pool {}", pool.name));
                for (worker, share) in meant {
                    let got = 100.0 * had.get(worker).copied().unwrap_or(0) as f64 / 600.0;
                    table += &format!("{name} {} {worker} {:.1} {got:.1}\n", pool.name, 100.0 * share);
                }
            }
            drop(stand_ins);
            ran += 1;
        }
        std::fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join("shares.txt"), table).unwrap();
        assert!(ran >= 25, "{ran} samples ran");
    });
}

#[test]
fn sessions_stay_with_their_worker_also_one_that_drains_and_two_pools_share_a_cookie() {
    run(async {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/samples");
        let mut pools = imported(&samples.join("apache-disabled")).unwrap();
        let stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("sessions", &pools).await;
        let mut client = Client::new(scheduler.addr);
        let worker = |port: u16| format!("127.0.0.1:{port}");
        for (route, port) in [("n1", 9001), ("n2", 9002), ("n3", 9003), ("n5", 9005)] {
            for _ in 0..5 {
                let cookie = format!("a=b; JSESSIONID=5f3a.{route}");
                let answer = client.ask("GET /x", &[("Host", "h"), ("Cookie", &cookie)], b"").await.unwrap();
                assert_eq!(answer.header("X-Worker"), Some(worker(port).as_str()), "{route}");
            }
            let line = format!("GET /x;JSESSIONID=5f3a.{route}");
            let answer = client.ask(&line, &[("Host", "h")], b"").await.unwrap();
            assert_eq!(answer.header("X-Worker"), Some(worker(port).as_str()), "{route}");
        }
        // The one that is stopped gets nothing; its sessions go to others.
        let answer =
            client.ask("GET /x", &[("Host", "h"), ("Cookie", "JSESSIONID=1.n4")], b"").await.unwrap();
        assert!([worker(9002), worker(9005)].contains(&answer.header("X-Worker").unwrap().to_string()));
        assert!(stand_ins[&worker(9004)].take_requests().is_empty());
        drop(scheduler);

        let mut pools = imported(&samples.join("apache-hosts")).unwrap();
        let _stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("two-cookies", &pools).await;
        for (host, port) in [("shop.example.org", 9001), ("desk.example.org:80", 9002)] {
            let headers = [("Host", host), ("Cookie", "JSESSIONID=1.n1")];
            let answer = Client::new(scheduler.addr).ask("GET /", &headers, b"").await.unwrap();
            assert_eq!(answer.header("X-Worker"), Some(worker(port).as_str()));
        }
        let answer = Client::new(scheduler.addr).ask("GET /", &[("Host", "other")], b"").await.unwrap();
        assert_eq!(answer.status(), 404);
    });
}

#[test]
fn a_strict_session_is_refused_while_its_worker_cannot_serve_and_a_redirect_is_followed() {
    run(async {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/samples");
        let mut pools = imported(&samples.join("apache-sticky-strict")).unwrap();
        let stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("strict", &pools).await;
        let mut client = Client::new(scheduler.addr);
        let headers = [("Host", "h"), ("Cookie", "JSESSIONID=1.n1")];
        assert_eq!(client.ask("GET /", &headers, b"").await.unwrap().status(), 200);
        stand_ins["127.0.0.1:9001"].set_behavior(Behavior::RefuseConnections);
        stand_ins["127.0.0.1:9002"].take_requests();
        for _ in 0..4 {
            let answer = client.ask("POST /", &headers, b"x").await.unwrap();
            assert!(matches!(answer.status(), 502 | 503), "{}", answer.status());
        }
        assert!(stand_ins["127.0.0.1:9002"].take_requests().is_empty());
        drop(scheduler);
        let mut pools = imported(&samples.join("apache-redirect")).unwrap();
        let _stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("redirect", &pools).await;
        for _ in 0..5 {
            let answer = Client::new(scheduler.addr).ask("GET /", &headers, b"").await.unwrap();
            assert_eq!(answer.header("X-Worker"), Some("127.0.0.1:9002"));
        }
    });
}

#[test]
fn a_request_that_may_have_run_goes_again_only_where_its_method_is_safe() {
    run(async {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/samples");
        for (behavior, method, statuses, attempts) in [
            (Behavior::Disconnect, "POST", &[502][..], 1),
            (Behavior::Disconnect, "GET", &[200], 2),
            (Behavior::DisconnectInAnswer, "GET", &[], 1),
            (Behavior::Status(500), "GET", &[500], 1),
            (Behavior::Status(404), "POST", &[404], 1),
        ] {
            let mut pools = imported(&samples.join("apache-two-members")).unwrap();
            let stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
            let scheduler = Scheduler::start("repeats", &pools).await;
            stand_ins["127.0.0.1:9001"].set_behavior(behavior);
            // The first request goes to the first worker, whatever becomes of it.
            let line = format!("{method} /pay?x=1");
            let answer = Client::new(scheduler.addr).ask(&line, &[("Host", "h")], b"abc").await;
            let came = stand_ins.values().map(|s| s.take_requests().len()).sum::<usize>();
            match answer {
                Ok(answer) => {
                    assert!(statuses.contains(&answer.status()), "{behavior:?} {method}: {}", answer.status())
                }
                Err(e) => assert!(statuses.is_empty(), "{behavior:?} {method}: {e}"),
            }
            assert!(came <= attempts, "{behavior:?} {method} came {came} times");
        }
    });
}

#[test]
fn a_request_that_reached_nobody_goes_to_another_whatever_its_method_and_operators_see_it() {
    run(async {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/samples");
        let mut pools = imported(&samples.join("apache-two-members")).unwrap();
        let stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
        pools[0].workers[0].addr = free_address().unwrap().to_string(); // nobody listens there
        let mgmt = free_address().unwrap();
        let scheduler = Scheduler::start_with("nobody", &pools, &format!(" mgmt=\"{mgmt}\"")).await;
        for n in 1..=5 {
            let answer =
                Client::new(scheduler.addr).ask("POST /pay", &[("Host", "h")], b"abc").await.unwrap();
            assert_eq!(
                (answer.status(), answer.header("X-Worker")),
                (200, Some("127.0.0.1:9002")),
                "request {n}"
            );
        }
        let came = stand_ins["127.0.0.1:9002"].take_requests();
        assert!(came.len() == 5 && came.iter().all(|c| c.body == 3), "{came:?}");
        let figures = ask(mgmt, "GET /stats").await.unwrap();
        let figures: serde_json::Value = serde_json::from_slice(&figures.1).unwrap();
        let workers = &figures["pools"]["app"]["workers"];
        assert_eq!(workers["127.0.0.1-9002"]["answered"], 5);
        assert!(workers["127.0.0.1-9001"]["failed"].as_u64().unwrap() >= 1, "{figures}");
        assert_eq!(workers["127.0.0.1-9001"]["listing"], "reserved"); // it rests
        assert_eq!(ask(mgmt, "GET /healthcheck").await.unwrap().0, 200);
        assert_eq!(ask(mgmt, "GET /nothing").await.unwrap().0, 404);
    });
}

#[test]
fn a_standby_takes_over_and_a_drain_by_sighup_is_kept() {
    run(async {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/samples");
        let mut pools = imported(&samples.join("apache-standby")).unwrap();
        let stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("standby", &pools).await;
        let had = load(scheduler.addr, "h", "/", 100, 2).await;
        assert!(!had.contains_key("127.0.0.1:9003"), "{had:?}");
        stand_ins["127.0.0.1:9001"].set_behavior(Behavior::RefuseConnections);
        stand_ins["127.0.0.1:9002"].set_behavior(Behavior::RefuseConnections);
        // Until both have failed, attempts may run out: these requests have their honest refusal.
        for _ in 0..5 {
            let answer = Client::new(scheduler.addr).ask("GET /", &[("Host", "h")], b"").await.unwrap();
            assert!(matches!(answer.status(), 200 | 502 | 503));
        }
        let had = load(scheduler.addr, "h", "/", 100, 2).await;
        assert_eq!(had.get("127.0.0.1:9003"), Some(&100));
        drop(scheduler);

        let mut pools = imported(&samples.join("apache-two-members")).unwrap();
        let stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("drain", &pools).await;
        load(scheduler.addr, "h", "/", 50, 2).await;
        pools[0].workers[0].state = State::Draining;
        scheduler.again(&pools).await;
        stand_ins["127.0.0.1:9001"].take_requests();
        let had = load(scheduler.addr, "h", "/", 100, 4).await;
        assert_eq!(had.get("127.0.0.1:9002"), Some(&100));
        assert!(stand_ins["127.0.0.1:9001"].take_requests().is_empty());
        // A bad file changes nothing.
        std::fs::write(&scheduler.setup, "<postusher><pool/></postusher>").unwrap();
        scheduler.signal("-HUP");
        scheduler.logs("the setup stays as it was").await;
        assert_eq!(load(scheduler.addr, "h", "/", 20, 2).await.get("127.0.0.1:9002"), Some(&20));
    });
}

#[test]
fn requests_come_to_workers_as_they_were_sent_but_for_what_concerns_one_connection() {
    run(async {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/samples");
        let mut pools = imported(&samples.join("apache-member-paths")).unwrap();
        let stand_ins = stand_in(&mut pools, |_| Duration::ZERO).await;
        let scheduler = Scheduler::start("heads", &pools).await;
        let headers = [("Host", "Shop.example.org"), ("X-Own", "1"), ("Connection", "X-Hop"), ("X-Hop", "2")];
        let mut client = Client::new(scheduler.addr);
        assert_eq!(client.ask("PUT /shop/a?b=%20c", &headers, b"body").await.unwrap().status(), 200);
        let came: Vec<_> = stand_ins.values().flat_map(|s| s.take_requests()).collect();
        assert_eq!((came.len(), came[0].line.as_str(), came[0].body), (1, "PUT /ctx/v1/a?b=%20c", 4));
        let header = |name: &str| came[0].headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
        assert_eq!(
            (header("Host"), header("X-Own"), header("X-Hop")),
            (Some("Shop.example.org"), Some("1"), None)
        );
        assert_eq!(client.ask("GET /elsewhere", &headers, b"").await.unwrap().status(), 404);
        for bad in [
            "GET /shop HTTP/1.1\r\n\r\n",
            "GET /shop HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "nonsense\r\n\r\n",
        ] {
            let mut stream = TcpStream::connect(scheduler.addr).await.unwrap();
            stream.write_all(bad.as_bytes()).await.unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            assert!(answer.starts_with("HTTP/1.1 400 "), "{bad:?}: {answer}");
        }
    });
}

#[test]
fn bodies_of_any_size_pass_both_ways_within_bounded_memory() {
    const SIZE: usize = 64 << 20;
    run(async {
        // A worker that gives back what it is sent, slowly at first, so that much could pile up.
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = Worker {
            id: "echo".into(),
            addr: listener.local_addr().unwrap().to_string(),
            ..Worker::default()
        };
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut head = Vec::new();
                    while !head.ends_with(b"\r\n\r\n") {
                        head.push(stream.read_u8().await.unwrap());
                    }
                    assert!(String::from_utf8(head).unwrap().contains("Transfer-Encoding: chunked"));
                    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
                    tokio::time::sleep(Duration::from_millis(300)).await;
                    // The chunks as they come are chunks to send, the last one included.
                    let (mut from, mut to) = stream.into_split();
                    tokio::io::copy(&mut from, &mut to).await.ok();
                });
            }
        });
        let pools = [Pool { name: "p".into(), workers: vec![worker], ..Pool::default() }];
        let scheduler = Scheduler::start("bodies", &pools).await;
        let stream = TcpStream::connect(scheduler.addr).await.unwrap();
        let (mut from, mut to) = stream.into_split();
        let sends = tokio::spawn(async move {
            to.write_all(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
            let chunk = [b"8000\r\n".as_slice(), &[b'x'; 0x8000], b"\r\n"].concat();
            for _ in 0..SIZE / 0x8000 {
                to.write_all(&chunk).await.unwrap();
            }
            to.write_all(b"0\r\n\r\n").await.unwrap();
            to
        });
        let (mut bytes, mut got, mut most, mut tail) = (vec![0; 1 << 16], 0, 0, Vec::new());
        while !tail.ends_with(b"0\r\n\r\n") {
            let n = from.read(&mut bytes).await.unwrap();
            assert!(n > 0, "it ends after {got} bytes");
            got += bytes[..n].iter().filter(|b| **b == b'x').count();
            tail.extend_from_slice(&bytes[..n]);
            tail.drain(..tail.len().saturating_sub(5));
            most = most.max(resident_kib(scheduler.child.id()).unwrap());
        }
        sends.await.unwrap();
        assert_eq!(got, SIZE);
        assert!(most < 32 * 1024, "{most} KiB resident for a body of 64 MiB");
    });
}

#[test]
fn sigterm_ends_with_the_last_answer() {
    run(async {
        let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../import/samples");
        let mut pools = imported(&samples.join("apache-one-liner")).unwrap();
        let _stand_ins = stand_in(&mut pools, |_| Duration::from_millis(400)).await;
        let mut scheduler = Scheduler::start("ends", &pools).await;
        let addr = scheduler.addr;
        let asked = tokio::spawn(async move { Client::new(addr).ask("GET /", &[("Host", "h")], b"").await });
        tokio::time::sleep(Duration::from_millis(150)).await;
        scheduler.signal("-TERM");
        assert_eq!(asked.await.unwrap().unwrap().status(), 200);
        assert!(scheduler.child.wait().unwrap().success());
    });
}
