//! What mod_jk's workers become.

use super::syntax::{Property, Rule};
use crate::account::{Account, Place};
use crate::ajp::{Ajp, BY_HAND};
use crate::text::{self, longest};
use crate::Imported;
use postusher_setup::{Pool, Route, State, Sticky, Worker};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What was said of a worker, by property; some may stand several times.
type Said = BTreeMap<String, Vec<(String, Place)>>;

struct Translator<'a> {
    ajp: &'a Ajp,
    account: Account,
    workers: HashMap<String, Said>,
    list: Vec<(String, Place)>,
}

/// References go no deeper.
const DEEPEST: usize = 16;

pub(super) fn translate(properties: Vec<Property>, rules: Vec<Rule>, mapped: bool, ajp: &Ajp) -> Imported {
    let mut t = Translator { ajp, account: Account::default(), workers: HashMap::new(), list: Vec::new() };
    for p in properties {
        t.property(p);
    }
    let mut pools = Vec::new();
    let list = std::mem::take(&mut t.list);
    for (name, place) in &list {
        pools.extend(t.pool(name, place));
    }
    t.map(&rules, &mut pools, &list);
    if mapped {
        // A worker that no rule names gets no requests.
        for pool in pools.iter().filter(|p| p.routes.iter().all(|r| r.except)) {
            let place = list.iter().find(|(n, _)| *n == pool.name).map(|(_, p)| p);
            if let Some(place) = place {
                t.account.not_carried(
                    place,
                    &pool.name,
                    "no rule of the map names it",
                    "add one, or leave it out",
                );
            }
        }
        pools.retain(|p| p.routes.iter().any(|r| !r.except));
    }
    Imported { pools, account: t.account }
}

fn yes(text: &str) -> Option<bool> {
    match text.to_ascii_lowercase().as_str() {
        "1" | "true" | "t" | "yes" | "y" | "on" => Some(true),
        "0" | "false" | "f" | "no" | "n" | "off" => Some(false),
        _ => None,
    }
}

fn names(text: &str) -> impl Iterator<Item = String> + '_ {
    text.split([',', ' ', '\t']).map(str::trim).filter(|t| !t.is_empty()).map(String::from)
}

impl Translator<'_> {
    fn property(&mut self, p: Property) {
        let what = format!("{}={}", p.key, p.value);
        if p.key == "worker.list" {
            for name in names(&p.value) {
                if self.list.iter().all(|(n, _)| *n != name) {
                    self.list.push((name, p.place.clone()));
                }
            }
            return self.account.carried(&p.place, &what, "each of them becomes a pool");
        }
        if p.key == "worker.maintain" {
            let note = "workers are looked after by themselves";
            return self.account.approximated(&p.place, &what, note);
        }
        let Some((name, property)) = p.key.strip_prefix("worker.").and_then(|k| k.rsplit_once('.')) else {
            // A variable for $(...), which has been put in by now.
            return self.account.carried(&p.place, &what, "its value stands where it is named");
        };
        if p.value.contains("$(") {
            let by_hand = "write the value, and import again";
            self.account.not_carried(&p.place, &what, "a variable in it is not defined before it", by_hand);
        }
        let said = self.workers.entry(name.to_string()).or_default();
        let said = said.entry(property.to_ascii_lowercase()).or_default();
        // What may stand several times adds up; of other properties the last counts.
        if !matches!(property, "balance_workers" | "balanced_workers") {
            said.clear();
        }
        said.push((p.value, p.place));
    }

    /// All that holds for a worker: its own words and those of what it refers to.
    fn said(&mut self, name: &str) -> Said {
        let (mut all, mut at, mut seen) = (Said::new(), name.to_string(), BTreeSet::new());
        for _ in 0..DEEPEST {
            if !seen.insert(at.clone()) {
                break;
            }
            let said = self.workers.get(&at).cloned().unwrap_or_default();
            let next = said.get("reference").and_then(|r| r.last()).map(|(r, _)| r.clone());
            for (property, values) in said {
                all.entry(property).or_insert(values);
            }
            match next {
                Some(reference) => at = reference.strip_prefix("worker.").unwrap_or(&reference).to_string(),
                None => break,
            }
        }
        all
    }

    fn pool(&mut self, name: &str, place: &Place) -> Option<Pool> {
        if !self.workers.contains_key(name) {
            let by_hand = "define it, or take it out of worker.list";
            self.account.not_carried(place, name, "nothing is said of this worker", by_hand);
            return None;
        }
        let said = self.said(name);
        let kind = said
            .get("type")
            .and_then(|v| v.last())
            .map_or("ajp13".to_string(), |(v, _)| v.to_ascii_lowercase());
        let mut pool = Pool { name: label(name), ..Pool::default() };
        match kind.as_str() {
            "lb" => self.balancer(&said, &mut pool),
            "ajp13" | "ajp14" => {
                let worker = self.member(name, &mut pool, false);
                pool.workers.extend(worker);
            }
            _ => {
                let why = format!("there are no workers of type {kind}");
                self.account.not_carried(place, name, &why, "leave it out of worker.list");
                return None;
            }
        }
        if pool.workers.is_empty() {
            self.account.not_carried(
                place,
                name,
                "it has no worker that can be carried",
                "see the lines on its workers",
            );
            return None;
        }
        Some(pool)
    }

    fn balancer(&mut self, said: &Said, pool: &mut Pool) {
        // With mod_jk sessions are sticky unless it says otherwise.
        let (mut sticky, mut strict) = (true, false);
        let (mut cookie, mut path) = ("JSESSIONID".to_string(), "jsessionid".to_string());
        let mut members = Vec::new();
        for (property, values) in said {
            for (value, place) in values {
                let what = format!("{property}={value}");
                let unreadable = "its value cannot be read";
                match property.as_str() {
                    "type" | "reference" => self.account.carried(place, &what, "what the worker is"),
                    "balance_workers" | "balanced_workers" => {
                        members.extend(names(value));
                        self.account.carried(place, &what, "its workers");
                    }
                    "sticky_session" | "sticky_session_force" => match yes(value) {
                        Some(on) => {
                            *(if property == "sticky_session" { &mut sticky } else { &mut strict }) = on;
                            self.account.carried(place, &what, "whether requests stay with their worker");
                        }
                        None => self.account.not_carried(place, &what, unreadable, "write 1 or 0"),
                    },
                    "session_cookie" => {
                        cookie = label(value);
                        self.account.carried(place, &what, "the cookie that names the worker");
                    }
                    "session_path" => {
                        path = label(value.trim_start_matches(';').trim_end_matches('='));
                        self.account.carried(place, &what, "the parameter that names the worker");
                    }
                    "method" => match value.chars().next().map(|c| c.to_ascii_uppercase()) {
                        Some('R') => self.account.carried(place, &what, "shares follow the weights"),
                        Some('S' | 'T' | 'B' | 'N') => {
                            let note = "shares follow the weights by requests; who is full or slow gets fewer by itself";
                            self.account.approximated(place, &what, note);
                        }
                        _ => self.account.not_carried(place, &what, unreadable, "write R, S, T, B or N"),
                    },
                    "lock" => self.account.approximated(place, &what, "one process needs no lock"),
                    "retries" | "lb_retries" => match value.parse::<u32>() {
                        Ok(n) => {
                            pool.attempts = n.clamp(1, 16);
                            self.account.carried(place, &what, "attempts for one request");
                        }
                        Err(_) => self.account.not_carried(place, &what, unreadable, "write a whole number"),
                    },
                    "recover_time" | "error_escalation_time" | "max_reply_timeouts" | "retry_interval" => {
                        let note =
                            "a worker that failed is tried again by what it does, not after a set time";
                        self.account.approximated(place, &what, note);
                    }
                    _ => self.common(property, value, place, pool),
                }
            }
        }
        if sticky {
            pool.sticky = Some(Sticky { cookie: Some(cookie), path: Some(path), strict });
        }
        let mut seen = BTreeSet::new();
        for name in members.into_iter().filter(|n| seen.insert(n.clone())) {
            let worker = self.member(&name, pool, true);
            pool.workers.extend(worker);
        }
    }

    /// Properties of balancers and workers alike.
    fn common(&mut self, property: &str, value: &str, place: &Place, pool: &mut Pool) {
        let what = format!("{property}={value}");
        let number = value.parse::<f64>().ok().filter(|n| *n > 0.0 && *n < 1e9);
        match (property, number) {
            ("reply_timeout", Some(ms)) => {
                longest(&mut pool.timeout, Pool::default().timeout, ms);
                self.account.approximated(place, &what, "the longest one holds for the whole pool");
            }
            ("socket_connect_timeout" | "connect_timeout", Some(ms)) => {
                longest(&mut pool.connect_timeout, Pool::default().connect_timeout, ms);
                self.account.approximated(place, &what, "the longest one holds for the whole pool");
            }
            (
                "socket_timeout"
                | "socket_keepalive"
                | "socket_buffer"
                | "ping_mode"
                | "ping_timeout"
                | "prepost_timeout"
                | "connection_pool_size"
                | "connection_pool_minsize"
                | "connection_pool_timeout"
                | "cache_timeout"
                | "cachesize"
                | "connection_ping_interval"
                | "connection_acquire_timeout"
                | "recycle_timeout"
                | "reply_timeout"
                | "socket_connect_timeout"
                | "connect_timeout",
                _,
            ) => {
                self.account.approximated(
                    place,
                    &what,
                    "connections to workers are kept and dropped by themselves",
                );
            }
            ("max_packet_size", _) => {
                self.account.approximated(place, &what, "HTTP knows no packets; bodies of any size pass");
            }
            ("secret", _) => {
                let why = "it is a word of AJP, which is not spoken";
                self.account.not_carried(place, &what, why, "guard the worker's HTTP port in another way");
            }
            ("recovery_options", _) => {
                let note = "what may have run goes out again only where its method is safe";
                self.account.approximated(place, &what, note);
            }
            ("fail_on_status", _) => {
                self.account.approximated(place, &what, "server errors count against a worker by themselves");
            }
            _ => {
                self.account.not_carried(
                    place,
                    &what,
                    "this property is not known here",
                    "see docs/IMPORT.md",
                );
            }
        }
    }

    fn member(&mut self, name: &str, pool: &mut Pool, balanced: bool) -> Option<Worker> {
        let said = self.said(name);
        let first = said.values().flatten().map(|(_, p)| p).min().cloned();
        let Some(first) = first else {
            let place = Place { file: "-".into(), line: 1, column: 1 };
            self.account.not_carried(&place, name, "nothing is said of this worker", "define it");
            return None;
        };
        let get = |property: &str| said.get(property).and_then(|v| v.last()).map(|(v, _)| v.as_str());
        let (host, port) = (get("host").unwrap_or("localhost").to_string(), get("port").unwrap_or("8009"));
        let Ok(port) = port.parse::<u16>() else {
            self.account.not_carried(&first, &format!("port={port}"), "this is no port", "write a number");
            return None;
        };
        let Some(addr) = self.ajp.http(&host, port) else {
            let what = format!("worker {name} at {host}:{port}");
            self.account.not_carried(&first, &what, "AJP is not spoken", BY_HAND);
            return None;
        };
        // With mod_jk a worker's name is its route, unless it says otherwise.
        let route = balanced.then(|| label(name));
        let mut w = Worker { id: label(name), addr, route, ..Worker::default() };
        let note = format!("AJP is not spoken; it is asked by HTTP at {}, as told", w.addr);
        self.account.approximated(&first, &format!("worker {name} at {host}:{port}"), &note);
        for (property, values) in &said {
            for (value, place) in values {
                self.member_property(property, value, place, &mut w, pool);
            }
        }
        Some(w)
    }

    fn member_property(
        &mut self,
        property: &str,
        value: &str,
        place: &Place,
        w: &mut Worker,
        pool: &mut Pool,
    ) {
        let what = format!("{property}={value}");
        let unreadable = "its value cannot be read";
        match property {
            "host" | "port" => {} // told with the worker
            "type" | "reference" => self.account.carried(place, &what, "what the worker is"),
            "lbfactor" => match value.parse::<f64>().ok().filter(|f| (0.01..=1000.0).contains(f)) {
                Some(weight) => {
                    w.weight = weight;
                    self.account.carried(place, &what, "its weight");
                }
                None => self.account.not_carried(place, &what, unreadable, "write a number from 1"),
            },
            "activation" => match value.chars().next().map(|c| c.to_ascii_uppercase()) {
                Some('A') => {
                    w.state = State::Live;
                    self.account.carried(place, &what, "it is live");
                }
                Some('D') => {
                    w.state = State::Draining;
                    self.account.carried(place, &what, "draining: only what belongs to it goes there");
                }
                Some('S') => {
                    w.state = State::Stopped;
                    self.account.carried(place, &what, "stopped: nothing goes there");
                }
                _ => self.account.not_carried(place, &what, unreadable, "write A, D or S"),
            },
            "disabled" | "stopped" => match yes(value) {
                Some(true) if property == "disabled" && w.state != State::Stopped => {
                    w.state = State::Draining;
                    self.account.carried(place, &what, "draining: only what belongs to it goes there");
                }
                Some(true) => {
                    w.state = State::Stopped;
                    self.account.carried(place, &what, "stopped: nothing goes there");
                }
                Some(false) => self.account.carried(place, &what, "it is live"),
                None => self.account.not_carried(place, &what, unreadable, "write 1 or 0"),
            },
            "route" | "jvm_route" => {
                w.route = Some(label(value));
                self.account.carried(place, &what, "its route");
            }
            "redirect" => {
                w.redirect = Some(label(value));
                self.account.carried(place, &what, "who gets what belongs to it while it cannot serve");
            }
            "distance" => match value.parse::<u32>().ok().filter(|n| *n <= 255) {
                Some(set) => {
                    w.set = set;
                    self.account.carried(place, &what, "its set: nearer ones first");
                }
                None => {
                    self.account.not_carried(place, &what, unreadable, "write a whole number from 0 to 255")
                }
            },
            "domain" => {
                let why = "sessions do not stay within a domain when their worker cannot serve";
                self.account.not_carried(place, &what, why, "name a redirect at each worker of the domain");
            }
            "busy_limit" | "max_busy" => match value.parse::<usize>().ok().filter(|n| *n > 0) {
                Some(most) => {
                    w.most = Some(most);
                    self.account.carried(place, &what, "requests at a time");
                }
                None => self.account.approximated(place, &what, "no limit"),
            },
            "retries" => self.account.approximated(place, &what, "attempts are counted at the pool"),
            _ => self.common(property, value, place, pool),
        }
    }

    fn map(&mut self, rules: &[Rule], pools: &mut [Pool], list: &[(String, Place)]) {
        for rule in rules {
            if rule.off {
                self.account.carried(
                    &rule.place,
                    &rule.text,
                    "it is switched off, so that nothing stands for it",
                );
                continue;
            }
            for e in &rule.extensions {
                let why = "extensions of a rule are not known here";
                self.account.not_carried(
                    &rule.place,
                    e,
                    why,
                    "set it at the pool, where there is something like it",
                );
            }
            let listed = rule.worker == "*" || list.iter().any(|(n, _)| *n == rule.worker);
            if !listed {
                let by_hand = "add it to worker.list";
                self.account.not_carried(
                    &rule.place,
                    &rule.text,
                    "the worker is not in worker.list",
                    by_hand,
                );
                continue;
            }
            let mut paths = Vec::new();
            for pattern in &rule.patterns {
                let path = pattern.strip_suffix("/*").unwrap_or(pattern);
                let path = if path.is_empty() { "/" } else { path };
                let plain = path.starts_with('/') && !path.contains(['*', '?']);
                match plain && path.bytes().all(|b| b.is_ascii_graphic() && b != b'#') {
                    true => paths.push((path.to_string(), pattern.ends_with("/*"))),
                    false => {
                        let by_hand = "name the paths one by one, as <route path=\"...\"/>";
                        let why = format!("{pattern}: patterns within a path are not known");
                        self.account.not_carried(&rule.place, &rule.text, &why, by_hand);
                    }
                }
            }
            if paths.is_empty() {
                continue;
            }
            let name = label(&rule.worker);
            for pool in pools.iter_mut().filter(|p| rule.worker == "*" || p.name == name) {
                for (path, _) in &paths {
                    let route = Route { host: None, path: Some(path.clone()), to: None, except: rule.except };
                    if !pool.routes.contains(&route) {
                        pool.routes.push(route);
                    }
                }
            }
            if paths.iter().any(|(_, open)| *open) {
                self.account.carried(&rule.place, &rule.text, "a route of the pool");
            } else {
                let note = "what lies below this path belongs to it, too";
                self.account.approximated(&rule.place, &rule.text, note);
            }
        }
    }
}

/// A name that a setup may have.
fn label(text: &str) -> String {
    let name = text::label(text);
    if name.is_empty() {
        "worker".into()
    } else {
        name
    }
}
