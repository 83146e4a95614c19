use super::*;
use crate::config::tests::config;
use serde_json::{json, Value};

fn list(full: bool, servers: Value) -> List {
    List::read(&json!({"version": 43, "full": full, "servers": servers}).to_string()).unwrap()
}

fn server(id: &str, state: &str) -> Value {
    json!({"id": id, "addr": "127.0.0.1:9", "zone": "b", "kind": "k1", "cell": 2, "state": state,
        "weight": 1.5, "started_ms": 1_700_000_000_123.5})
}

#[test]
fn entries_become_members_and_only_listed_targets_have_an_address() {
    let mut endpoints = EndpointList::new(&config().site);
    let ListChange { update, endpoints: listed, stale } =
        endpoints.apply(list(true, json!([server("s-1", "up"), server("s-2", "draining")])));
    let m = &listed[0];
    assert!(stale.is_empty());
    assert_eq!((update, m.zone, m.kind, m.cell, m.capacity_weight), (ListUpdate::Complete, 1, 1, 2, 1.5));
    assert_eq!((m.state, m.started_at), (EndpointState::Ready, 1_700_000_000_123_500));
    assert_eq!(listed[1].state, EndpointState::Draining);
    let ListChange { update, endpoints: gone, stale } =
        endpoints.apply(list(false, json!([server("s-1", "removed")])));
    assert_eq!(stale, vec![m.worker]);
    assert_eq!(
        (update, gone[0].state, gone[0].worker),
        (ListUpdate::Changes, EndpointState::Removed, m.worker)
    );
    assert!(endpoints.get(m.worker).is_none() && endpoints.get(listed[1].worker).is_some());
    let mut moved = server("s-2", "up");
    moved["addr"] = json!("127.0.0.2:9");
    assert_eq!(endpoints.apply(list(false, json!([moved]))).stale, vec![listed[1].worker]);
    endpoints.apply(list(true, json!([])));
    assert!(endpoints.get(listed[1].worker).is_none());
}

#[test]
fn a_target_out_keeps_its_number_off_the_list_and_an_unknown_one_is_none() {
    let mut endpoints = EndpointList::new(&config().site);
    assert!(endpoints.disable("s-1").is_none() && endpoints.enable("s-1").is_none());
    let id = endpoints.apply(list(true, json!([server("s-1", "up")]))).endpoints[0].worker;
    assert_eq!((endpoints.disable("s-1"), endpoints.disable("s-1")), (Some(id), Some(id)));
    endpoints.apply(list(true, json!([])));
    assert_eq!(endpoints.disable("s-1"), Some(id));
    assert_eq!(endpoints.apply(list(true, json!([server("s-1", "up")]))).endpoints[0].worker, id);
    assert_eq!(endpoints.enable("s-1"), Some(id));
    assert_eq!(endpoints.enable("s-1"), Some(id)); // a second call back changes nothing
                                                   // The other process of an upgrade may have read of a worker first.
    let held = endpoints.disable_unlisted("s-2");
    assert_eq!(endpoints.disabled_names().collect::<Vec<_>>(), ["s-2"]);
    assert_eq!(endpoints.apply(list(false, json!([server("s-2", "up")]))).endpoints[0].worker, held);
}

#[test]
fn a_watch_goes_on_from_the_version_held() {
    let mut endpoints = EndpointList::new(&config().site);
    let text = |endpoints: &EndpointList| {
        String::from_utf8(endpoints.next_call().bytes(([127, 0, 0, 1], 9).into())).unwrap()
    };
    assert!(text(&endpoints).starts_with("GET /discovery/hosts HTTP/1.1\r\n"));
    endpoints.apply(list(false, json!([])));
    // What a start or a failed call leaves in doubt is asked for without a wait, and answered soon or never.
    assert!(text(&endpoints).starts_with("GET /discovery/hosts?after=43&wait_ms=0 HTTP/1.1\r\n"));
    endpoints.set_confirmed(true);
    assert!(text(&endpoints).starts_with("GET /discovery/hosts?after=43&wait_ms=4000 HTTP/1.1\r\n"));
    endpoints.set_confirmed(false);
    assert!(text(&endpoints).contains("wait_ms=0"));
}

/// Two names of one hash: the second has the next number, and keeps it when the first has gone.
#[test]
fn a_name_keeps_its_number_when_another_of_the_same_hash_goes() {
    // These two have the same 32 bits of their hash.
    let (first, second) = colliding_names();
    let mut endpoints = EndpointList::new(&config().site);
    let ids = |listed: &[Endpoint]| listed.iter().map(|m| m.worker).collect::<Vec<_>>();
    let before =
        ids(&endpoints.apply(list(true, json!([server(&first, "up"), server(&second, "up")]))).endpoints);
    assert_ne!(before[0], before[1]);
    endpoints.apply(list(false, json!([server(&first, "removed")])));
    let drained = endpoints.apply(list(false, json!([server(&second, "draining")]))).endpoints;
    assert_eq!(ids(&drained), before[1..]);
    assert_eq!(endpoints.listed_workers().collect::<Vec<_>>(), before[1..]);
}

/// Looks for them: among 200,000 names some share 32 bits.
fn colliding_names() -> (String, String) {
    let mut seen = HashMap::new();
    for name in (0..).map(|n| format!("s-{n:08x}")) {
        if let Some(other) = seen.insert(fnv1a(name.as_bytes()) as u32, name.clone()) {
            return (other, name);
        }
    }
    unreachable!("numbers are endless, hashes are not")
}

/// A list of the largest fleet costs time in proportion to its length, not to its square.
#[test]
fn the_list_of_a_large_fleet_is_taken_in_whole_and_tells_who_has_gone() {
    let mut endpoints = EndpointList::new(&config().site);
    let all = |from: usize| (from..from + 3_200).map(|n| server(&format!("s-{n}"), "up")).collect::<Vec<_>>();
    assert_eq!(endpoints.apply(list(true, json!(all(0)))).endpoints.len(), 3_200);
    let next = endpoints.apply(list(true, json!(all(1_600))));
    assert_eq!(
        (next.endpoints.len(), next.stale.len(), endpoints.listed_workers().count()),
        (3_200, 1_600, 3_200)
    );
}
