//! Schedulers that know of each other, on sockets: the state machine is tested in `crates/membership` and in the test
//! bed; here it is whether the process carries its actions out.

use super::*;
use std::net::UdpSocket;
use std::time::Instant;

/// An address that only this test uses.
fn free(host: u8) -> SocketAddr {
    TcpListener::bind(SocketAddr::from(([127, 88, 0, host], 0))).unwrap().local_addr().unwrap()
}

/// A setup file of a member that finds others at these seeds.
fn setup(file: &str, name: &str, listen: SocketAddr, seeds: &[SocketAddr]) -> PathBuf {
    let seeds: String = seeds.iter().map(|addr| format!("<seed addr=\"{addr}\"/>")).collect();
    let text = format!(
        "<postusher><members name=\"{name}\" zone=\"z\" listen=\"{listen}\" probe=\"100ms\" suspicion=\"20s\">{seeds}</members></postusher>"
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{file}.xml"));
    std::fs::write(&path, text).unwrap();
    path
}

fn member(file: &str, name: &str, listen: SocketAddr, seeds: &[SocketAddr]) -> Scheduler {
    Scheduler::with_setup(file, setup(file, name, listen, seeds))
}

/// Waits until what operators get has this in it, or lacks it.
fn comes(scheduler: &Scheduler, call: &str, part: &str) -> String {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let shown = scheduler.admin_request(call).body;
        if shown.contains(part) {
            return shown;
        }
        assert!(Instant::now() < until, "{shown} never shows {part}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn believed(name: &str, addr: SocketAddr, incarnation: u64, state: &str) -> String {
    format!(r#""name":"{name}","zone":"z","addr":"{addr}","incarnation":{incarnation},"state":"{state}""#)
}

#[test]
fn two_find_each_other_serve_meanwhile_and_hear_when_one_leaves() {
    let [at_a, at_b] = [free(1), free(2)];
    let a = member("members-a", "a", at_a, &[]);
    let mut b = member("members-b", "b", at_b, &[at_a]);
    comes(&a, "GET /members", &believed("b", at_b, 1, "alive"));
    comes(&b, "GET /members", &believed("a", at_a, 1, "alive"));
    // Garbage from outside is counted and does nothing.
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(b"hello?", at_a).unwrap();
    comes(&a, "GET /stats", r#""garbage":1"#);
    let mut flood = TcpStream::connect(at_a).unwrap();
    flood.write_all(&[0xff; 64]).unwrap();
    assert_eq!(flood.read(&mut [0]).unwrap_or(0), 0, "a state longer than any can be is not waited for");
    let mut client = a.connect();
    client.send_job("t1");
    let mut worker = a.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    a.finish_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    b.signal("-TERM");
    assert!(b.process.wait().unwrap().success());
    comes(&a, "GET /members", &believed("b", at_b, 1, "left"));
}

#[test]
fn the_second_of_a_name_says_so_and_ends() {
    let [at_a, at_b, at_c] = [free(3), free(4), free(5)];
    let a = member("members-first", "a", at_a, &[]);
    let b = member("members-other", "b", at_b, &[at_a]);
    comes(&b, "GET /members", &believed("a", at_a, 1, "alive"));
    let mut second = member("members-second", "a", at_c, &[at_b]);
    second.wait_for_log(
        "membership ended, scheduler shuts down: reason=a: another process that runs has its name",
    );
    assert!(!second.process.wait().unwrap().success());
    assert!(
        b.admin_request("GET /members").body.contains(&believed("a", at_a, 1, "alive"))
            && a.admin_accepts("GET /healthcheck")
    );
}

#[test]
fn the_new_process_of_an_upgrade_is_the_same_member_under_a_higher_incarnation() {
    let [at_a, at_b] = [free(6), free(7)];
    let a = member("members-stays", "a", at_a, &[]);
    let file = "members-upgraded";
    let mut old = Scheduler::upgradable_with_setup(file, 88, Some(setup(file, "b", at_b, &[at_a])));
    comes(&a, "GET /members", &believed("b", at_b, 1, "alive"));
    let (new, _watches) = old.upgrade();
    old.signal("-TERM");
    assert!(old.process.wait().unwrap().success());
    comes(&a, "GET /members", &believed("b", at_b, 2, "alive"));
    comes(&new, "GET /members", &believed("a", at_a, 1, "alive"));
}

#[test]
fn without_members_in_the_setup_there_are_none() {
    let scheduler = Scheduler::start("no-members");
    assert_eq!(scheduler.admin_request("GET /members").status, "404");
    assert!(!scheduler.admin_request("GET /stats").body.contains("members"));
}
