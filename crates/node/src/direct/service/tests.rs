use super::*;
use std::collections::HashMap;

fn service(text: &str) -> Service {
    let pools = postusher_setup::read(&format!("<postusher>{text}</postusher>")).unwrap().pools;
    Service::new(pools, 1e6).unwrap()
}

const TWO: &str = r#"<pool name="p" answers="direct" attempts="2">
    <worker id="a" addr="127.0.0.1:1" weight="3" route="a"/><worker id="b" addr="127.0.0.1:2" route="b"/>
    <worker id="d" addr="127.0.0.1:3" state="draining" route="d"/></pool>"#;

/// Sends one request; gives the worker's port, or the last command's name.
fn ask(s: &mut Service, method: &str, session: Option<&str>, now: Millis) -> (RequestId, u16) {
    let ask = s.request_arrived(&IncomingRequest { pool: 0, method, is_replayable: true, session }, now);
    let sent = s.decide(now).into_iter().find_map(|d| match d {
        Command::StartAttempt { request, address, .. } if request == ask => Some(address.port()),
        _ => None,
    });
    (ask, sent.unwrap_or(0))
}

#[test]
fn shares_follow_the_weights_through_the_module_and_sessions_go_home() {
    let mut s = service(TWO);
    s.decide(1e6);
    let mut ports = HashMap::new();
    for n in 0..400 {
        let now = 1e6 + f64::from(n);
        let (ask, port) = ask(&mut s, "GET", None, now);
        s.attempt_ended(ask, AttemptId(0), AttemptResult::Success, RequestState::Answered, now + 0.5);
        *ports.entry(port).or_insert(0) += 1;
    }
    assert_eq!((ports[&1], ports[&2], ports.len()), (300, 100, 2));
    assert_eq!([Some("a"), Some("b"), Some("d")].map(|r| ask(&mut s, "GET", r, 1e6 + 500.0).1), [1, 2, 3]);
    s.decide(1e6 + 501.0);
    assert_eq!(s.stats()["pools"]["p"]["workers"]["a"]["sent"], 301);
}

#[test]
fn what_may_have_run_goes_out_again_only_where_its_method_is_safe() {
    for (method, ending, again) in [
        ("GET", AttemptResult::Reset, true),
        ("POST", AttemptResult::Reset, false),
        ("POST", AttemptResult::ConnectFailed, true),
        ("PUT", AttemptResult::TimedOut, false),
    ] {
        let mut s = service(TWO);
        s.decide(1e6);
        let (one, first) = ask(&mut s, method, None, 1e6);
        s.attempt_ended(one, AttemptId(0), ending, RequestState::Open, 1e6 + 5.0);
        let commands = s.decide(1e6 + 5.0);
        let second = commands.iter().any(
            |d| matches!(d, Command::StartAttempt { attempt: AttemptId(1), address, .. } if address.port() != first),
        );
        assert_eq!(second, again, "{method} {ending:?}: {commands:?}");
        let failed = commands.contains(&Command::Fail { request: one });
        assert_eq!(failed, !again, "{method} {ending:?}: {commands:?}");
    }
}

#[test]
fn a_standby_takes_over_within_the_same_request() {
    let mut s = service(
        r#"<pool name="p" answers="direct"><worker id="a" addr="127.0.0.1:1"/>
        <worker id="h" addr="127.0.0.1:2" role="standby"/></pool>"#,
    );
    s.decide(1e6);
    let (one, port) = ask(&mut s, "POST", None, 1e6);
    assert_eq!(port, 1);
    s.attempt_ended(one, AttemptId(0), AttemptResult::ConnectFailed, RequestState::Open, 1e6 + 1.0);
    let to = |commands: Vec<Command>| {
        commands.iter().find_map(|d| {
            if let Command::StartAttempt { address, .. } = d {
                Some(address.port())
            } else {
                None
            }
        })
    };
    assert_eq!(to(s.decide(1e6 + 1.0)), Some(2));
    // And the active one has its requests again after its rest.
    assert_eq!(ask(&mut s, "GET", None, 1e6 + 600.0).1, 1);
}

#[test]
fn strict_sessions_are_refused_and_a_pool_read_again_drains_whom_it_says() {
    let strict = TWO.replace("<worker id=\"a\"", "<sticky cookie=\"s\" strict=\"yes\"/><worker id=\"a\"");
    let mut s = service(&strict);
    s.decide(1e6);
    let without_worker = s.request_arrived(
        &IncomingRequest { pool: 0, method: "GET", is_replayable: true, session: Some("nobody") },
        1e6,
    );
    assert!(matches!(s.decide(1e6)[..], [Command::Reject { request, .. }] if request == without_worker));
    let new = strict.replace("id=\"b\"", "id=\"b\" state=\"draining\"");
    let pools = postusher_setup::read(&format!("<postusher>{new}</postusher>")).unwrap().pools;
    s.reload(pools, 1e6 + 1.0).unwrap();
    for n in 0..20 {
        assert_eq!(ask(&mut s, "GET", None, 1e6 + 2.0 + f64::from(n)).1, 1);
    }
    assert_eq!(ask(&mut s, "GET", Some("b"), 1e6 + 30.0).1, 2);
    assert!(s.reload(Vec::new(), 1e6 + 40.0).is_err());
}
