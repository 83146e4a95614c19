//! Deferred jobs, on sockets.

use super::*;
use std::time::Instant;

/// A setup file of this text.
fn setup(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.xml"));
    std::fs::write(&path, text).unwrap();
    path
}

/// A scheduler at which jobs may wait.
fn waiting(name: &str, attributes: &str) -> Scheduler {
    let setup = setup(name, &format!("<postusher><waiting {attributes}/></postusher>"));
    Scheduler::with_setup(name, setup)
}

/// A client that has sent a job with these headers.
fn client(scheduler: &Scheduler, id: &str, headers: &str) -> Connection {
    let mut peer = scheduler.connect();
    peer.send(&format!("POST /render HTTP/1.1\r\nX-Trace-Id: {id}\r\n{headers}Content-Length: 0\r\n\r\n"));
    peer
}

fn status(peer: &mut Connection) -> String {
    peer.message().line.split(' ').nth(1).unwrap().into()
}

/// Waits until the figures show this.
fn shows(scheduler: &Scheduler, part: &str) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !scheduler.admin_request("GET /stats").body.contains(part) {
        assert!(Instant::now() < until, "{} never shows {part}", scheduler.admin_request("GET /stats").body);
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The next job that the worker gets: its id and its head. The worker takes it.
fn taken(scheduler: &Scheduler, worker: &mut Option<Connection>) -> (String, String) {
    let worker = scheduler.next_request(worker);
    let Message { head, .. } = worker.message();
    worker.send(ACCEPTED);
    let id = head.split("X-Trace-Id: ").nth(1).unwrap().split("\r\n").next().unwrap().to_string();
    (id, head)
}

#[test]
fn a_job_goes_on_once_the_one_that_it_names_is_served() {
    let scheduler = waiting("after", "");
    let mut worker = None;
    let mut second = client(&scheduler, "t2", "X-Start-After: t1\r\n"); // it may come first
    let mut third = client(&scheduler, "t3", "X-Start-After: t1, t2;any\r\n");
    shows(&scheduler, r#""held":2"#);
    let mut first = client(&scheduler, "t1", "");
    assert_eq!(taken(&scheduler, &mut worker).0, "t1");
    shows(&scheduler, r#""in_flight":3"#);
    for (id, peer, next) in [("t1", &mut first, "t2"), ("t2", &mut second, "t3")] {
        scheduler.finish_job(id);
        assert_eq!(status(peer), "200");
        let (id, head) = taken(&scheduler, &mut worker);
        assert!(id == next && !head.contains("X-Start"), "{head}");
    }
    scheduler.finish_job("t3");
    assert_eq!(status(&mut third), "200");
    shows(&scheduler, r#""held":0,"released":2"#);
    // What has ended is remembered.
    let mut late = client(&scheduler, "t4", "X-Start-After: t3\r\n");
    assert_eq!(taken(&scheduler, &mut worker).0, "t4");
    scheduler.finish_job("t4");
    assert_eq!(status(&mut late), "200");
}

#[test]
fn what_depends_on_a_refused_job_or_on_a_client_that_left_is_told_at_once() {
    let mut scheduler = waiting("doomed", r#"grace="30s""#);
    let held = |scheduler: &Scheduler, id: &str, after: &str| {
        client(scheduler, id, &format!("X-Start-After: {after}\r\n"))
    };
    let mut direct = held(&scheduler, "t2", "t1");
    let mut through = held(&scheduler, "t3", "t2");
    let mut any = held(&scheduler, "t4", "t3;any");
    shows(&scheduler, r#""held":3"#);
    scheduler.worker_listener = listen(); // the one of the list is closed now
    assert_eq!(status(&mut client(&scheduler, "t1", "")), "503");
    assert_eq!((status(&mut direct), status(&mut through)), ("424".into(), "424".into()));
    // Any answer of t3 will do for t4: it goes on, and is refused in its turn.
    assert_eq!(status(&mut any), "503");
    shows(&scheduler, r#""released":1"#);
    assert_eq!(status(&mut held(&scheduler, "t5", "t4")), "424");
    // A client that leaves has no answer at all.
    let left = client(&scheduler, "t6", "X-Start-In: 50000m\r\n");
    let mut after = held(&scheduler, "t7", "t6");
    let mut whatever = held(&scheduler, "t8", "t6;any");
    shows(&scheduler, r#""held":3"#);
    left.reader.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    assert_eq!((status(&mut after), status(&mut whatever)), ("424".into(), "424".into()));
    shows(&scheduler, r#""held":0"#);
}

#[test]
fn what_cannot_be_held_has_its_status_at_once() {
    let scheduler = waiting("unheld", r#"grace="150ms" most-jobs="2""#);
    let cases = [
        ("X-Start-After: a/b\r\n", "400"),
        ("X-Start-At: tomorrow\r\n", "400"),
        ("X-Start-In: 900m\r\nX-Expires-In: 800m\r\n", "400"),
        ("X-Start-At: 2999-01-01T00:00:00Z\r\n", "400"),
        ("X-Start-After: t1\r\n", "409"),
        ("X-Start-After: unknown\r\n", "424"),
    ];
    for (headers, expected) in cases {
        assert_eq!(status(&mut client(&scheduler, "t1", headers)), expected, "{headers}");
    }
    let one = client(&scheduler, "a", "X-Start-In: 50000m\r\n");
    shows(&scheduler, r#""held":1"#);
    assert_eq!(status(&mut client(&scheduler, "a", "")), "409"); // an id that is held is taken
    let _two = client(&scheduler, "b", "X-Start-After: a\r\n");
    shows(&scheduler, r#""held":2"#);
    assert_eq!(status(&mut client(&scheduler, "c", "X-Start-In: 50000m\r\n")), "503");
    // A cycle: the job that closes it is answered at once, and so are those that depend on it.
    one.reader.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    shows(&scheduler, r#""held":0"#);
    let mut first = client(&scheduler, "x", "X-Start-After: y\r\n");
    shows(&scheduler, r#""held":1"#);
    assert_eq!(status(&mut client(&scheduler, "y", "X-Start-After: x\r\n")), "409");
    assert_eq!(status(&mut first), "424");
}

#[test]
fn a_job_starts_no_earlier_than_its_time() {
    let scheduler = waiting("time", "");
    let mut worker = None;
    let begun = Instant::now();
    let mut peer = client(&scheduler, "t1", "X-Start-In: 300m\r\n");
    assert_eq!(taken(&scheduler, &mut worker).0, "t1");
    assert!(begun.elapsed() >= Duration::from_millis(299));
    scheduler.finish_job("t1");
    assert_eq!(status(&mut peer), "200");
    // A time that is over is no wait.
    let mut peer = client(&scheduler, "t2", "X-Start-At: 2001-01-01T00:00:00Z\r\n");
    assert_eq!(taken(&scheduler, &mut worker).0, "t2");
    scheduler.finish_job("t2");
    assert_eq!(status(&mut peer), "200");
}

#[test]
fn without_a_setup_file_the_headers_mean_nothing_and_go_on_to_the_worker() {
    let scheduler = Scheduler::start("nowait");
    let mut worker = None;
    let mut peer = client(&scheduler, "t1", "X-Start-After: nobody\r\nX-Start-In: never\r\n");
    let (id, head) = taken(&scheduler, &mut worker);
    assert!(id == "t1" && head.contains("X-Start-After: nobody\r\nX-Start-In: never\r\n"));
    scheduler.finish_job("t1");
    assert_eq!(status(&mut peer), "200");
    assert!(!scheduler.admin_request("GET /stats").body.contains("held"));
}

#[test]
fn on_shutdown_deferred_jobs_are_rejected_at_once_and_those_that_run_go_on() {
    let mut scheduler = waiting("wayout", "");
    let mut worker = None;
    let mut runs = client(&scheduler, "t1", "");
    assert_eq!(taken(&scheduler, &mut worker).0, "t1");
    let mut held: Vec<Connection> =
        (2..10).map(|n| client(&scheduler, &format!("t{n}"), "X-Start-After: t1\r\n")).collect();
    shows(&scheduler, r#""held":8"#);
    scheduler.signal("-TERM");
    held.iter_mut().for_each(|peer| assert_eq!(status(peer), "503"));
    scheduler.finish_job("t1");
    assert_eq!(status(&mut runs), "200");
    assert!(scheduler.process.wait().unwrap().success());
}

#[test]
fn an_upgrade_takes_over_what_is_held_with_what_it_waits_for() {
    let setup = setup("upgrade-held", "<postusher><waiting/></postusher>");
    let mut old = Scheduler::upgradable_with_setup("upgrade-held", 40, Some(setup));
    let mut worker = None;
    let mut ended = client(&old, "t0", "");
    assert_eq!(taken(&old, &mut worker).0, "t0");
    old.finish_job("t0");
    assert_eq!(status(&mut ended), "200");
    let mut first = client(&old, "t1", "");
    assert_eq!(taken(&old, &mut worker).0, "t1");
    let mut second = client(&old, "t2", "X-Start-After: t1, t0\r\n");
    let mut timed = client(&old, "t3", "X-Start-In: 700m\r\n");
    shows(&old, r#""held":2"#);
    let (new, _watches) = old.upgrade();
    // Jobs that come to the new process may name those of the old one, and those that ended there.
    let mut third = client(&new, "t4", "X-Start-After: t1, t0\r\n");
    shows(&new, r#""held":1"#);
    old.signal("-TERM");
    assert!(old.process.wait().unwrap().success());
    shows(&new, r#""held":"#);
    new.finish_job("t1");
    assert_eq!(status(&mut first), "200");
    let mut ids: Vec<String> = Vec::new();
    for _ in 0..3 {
        // Two go on at once, each on a connection of its own.
        let (id, _) = taken(&new, &mut None);
        new.finish_job(&id);
        ids.push(id);
    }
    ids.sort();
    assert_eq!(ids, ["t2", "t3", "t4"]);
    for peer in [&mut second, &mut timed, &mut third] {
        assert_eq!(status(peer), "200");
    }
    shows(&new, r#""held":0,"released":3"#);
}

/// A job must not count for nobody, or for another customer, once it was deferred or has migrated.
#[test]
fn a_held_job_stays_its_customers_through_the_wait_and_through_an_upgrade() {
    let realms = r#""Realms": [{"Name": "acme", "QuotaPerS": 9}, {"Name": "zeta", "QuotaPerS": 9}], "#;
    let setup = setup("held-customer", "<postusher><waiting/></postusher>");
    let mut old = Scheduler::upgradable_with_settings("held-customer", 41, Some(setup), realms);
    let one_each = |scheduler: &Scheduler| {
        for name in ["acme", "zeta"] {
            shows(scheduler, &format!(r#""{name}":{{"over_share":0,"served":1,"refused":0,"failed":0}}"#));
        }
    };
    let mut first = client(&old, "t1", "X-Customer: acme\r\n");
    let mut worker = None;
    assert_eq!(taken(&old, &mut worker).0, "t1");
    let mut here = client(&old, "t2", "X-Customer: zeta\r\nX-Start-After: t1\r\n");
    shows(&old, r#""held":1"#);
    old.finish_job("t1");
    assert_eq!((status(&mut first), taken(&old, &mut worker).0.as_str()), ("200".into(), "t2"));
    old.finish_job("t2");
    assert_eq!(status(&mut here), "200");
    one_each(&old);
    let mut runs = client(&old, "t4", "X-Customer: acme\r\n");
    assert_eq!(taken(&old, &mut worker).0, "t4");
    let mut later = client(&old, "t3", "X-Customer: zeta\r\nX-Start-After: t4\r\n");
    shows(&old, r#""held":1"#);
    let (new, _watches) = old.upgrade();
    old.signal("-TERM");
    assert!(old.process.wait().unwrap().success());
    // What ran there and what was held there count here, each for its customer.
    new.finish_job("t4");
    assert_eq!((status(&mut runs), taken(&new, &mut None).0.as_str()), ("200".into(), "t3"));
    new.finish_job("t3");
    assert_eq!(status(&mut later), "200");
    one_each(&new);
}

#[test]
fn sighup_takes_over_other_bounds_and_a_bad_setup_changes_nothing() {
    let mut scheduler = waiting("sighup", r#"most-jobs="1""#);
    let _held = client(&scheduler, "t1", "X-Start-In: 50000m\r\n");
    shows(&scheduler, r#""held":1"#);
    assert_eq!(status(&mut client(&scheduler, "t2", "X-Start-In: 50000m\r\n")), "503");
    setup("sighup", "<postusher>\n<waiting most-jobs=\"many\"/></postusher>");
    scheduler.signal("-HUP");
    scheduler.wait_for_log("sighup.xml:2:21: most-jobs=\"many\" cannot be read");
    assert_eq!(status(&mut client(&scheduler, "t2", "X-Start-In: 50000m\r\n")), "503");
    setup("sighup", "<postusher><waiting most-jobs=\"2\"/></postusher>");
    scheduler.signal("-HUP");
    scheduler.wait_for_log("configuration reloaded: discovery=");
    let _second = client(&scheduler, "t3", "X-Start-In: 50000m\r\n");
    shows(&scheduler, r#""held":2"#);
    setup("sighup", "<postusher/>");
    scheduler.signal("-HUP");
    scheduler.wait_for_log("restart needed: changed=<waiting>");
    shows(&scheduler, r#""held":2"#);
}

#[test]
fn a_check_names_every_mistake_and_serve_does_not_start_with_one() {
    let check = |path: &Path| {
        let output = Command::new(env!("CARGO_BIN_EXE_postusher")).arg("check").arg(path).output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap(), output.stdout)
    };
    let bad = setup("bad", "<postusher>\n<waiting grace=\"5\" x=\"1\"/></postusher>");
    let (code, said, _) = check(&bad);
    assert!(code == Some(1) && said.contains("bad.xml:2:17: ") && said.contains("bad.xml:2:20: "), "{said}");
    let (code, _, said) = check(&setup("good", "<postusher><waiting/></postusher>"));
    assert!(code == Some(0) && String::from_utf8(said).unwrap().contains("good"));
    let unknown =
        setup("unknown", "<postusher><waiting><weight class=\"gold\" value=\"1\"/></waiting></postusher>");
    let any = SocketAddr::from(([127, 0, 0, 1], 9));
    let config = config("unknown", any, any, 1);
    let mut command = Command::new(env!("CARGO_BIN_EXE_postusher"));
    let output =
        command.arg("serve").arg("--config").arg(config).arg("--setup").arg(unknown).output().unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(
        output.status.code() == Some(1) && said.contains("there is no class \"gold\"; there are render"),
        "{said}"
    );
}
