//! What Apache's balancers become.

use super::expand::Expanded;
use super::syntax::{Item, Line, Word};
use super::units::{switch, time, url};
use crate::account::{Account, Place};
use crate::ajp::{Ajp, BY_HAND};
use crate::text::{self, longest};
use crate::Imported;
use postusher_setup::pool::begins;
use postusher_setup::{Pool, Role, Route, State, Sticky, Worker};
use std::collections::BTreeMap;

/// Where a directive stands.
#[derive(Clone, Default)]
struct Scope {
    /// The hosts of its `<VirtualHost>`.
    hosts: Vec<String>,
    /// The path of its `<Location>`.
    location: Option<String>,
    /// The URL of its `<Proxy>`.
    proxy: Option<String>,
}

/// A balancer under way: what was said of it, wherever that stood.
struct Balancer {
    pool: Pool,
    /// The paths of its members' URLs; they must agree.
    paths: Vec<String>,
    /// It is a single worker and not a balancer.
    single: bool,
}

struct Translator<'a> {
    ajp: &'a Ajp,
    account: Account,
    /// By the name that Apache has for each, in the order of first mention.
    balancers: Vec<(String, Balancer)>,
    /// Paths that are passed so far, by host, to see which can never match.
    passed: Vec<(Option<String>, String)>,
    /// What no pool serves.
    exceptions: Vec<Route>,
}

/// Directives that say nothing of how requests are spread.
const BESIDE: [&str; 23] = [
    "ServerRoot",
    "ServerName",
    "ServerAlias",
    "ServerAdmin",
    "ServerTokens",
    "ServerSignature",
    "Listen",
    "LoadModule",
    "LogLevel",
    "LogFormat",
    "ErrorLog",
    "CustomLog",
    "DocumentRoot",
    "PidFile",
    "User",
    "Group",
    "Timeout",
    "KeepAlive",
    "KeepAliveTimeout",
    "MaxKeepAliveRequests",
    "DirectoryIndex",
    "UseCanonicalName",
    "AddDefaultCharset",
];

pub(super) fn translate(expanded: Expanded, ajp: &Ajp) -> Imported {
    let Expanded { items, account } = expanded;
    let mut t =
        Translator { ajp, account, balancers: Vec::new(), passed: Vec::new(), exceptions: Vec::new() };
    t.items(&items, &Scope::default());
    let mut pools = Vec::new();
    for (name, balancer) in t.balancers {
        let Balancer { mut pool, paths, .. } = balancer;
        if pool.workers.is_empty() {
            let place = Place { file: "-".into(), line: 1, column: 1 };
            let by_hand = "add its members, or leave the balancer out";
            t.account.not_carried(&place, &name, "it has no member that can be carried", by_hand);
            continue;
        }
        // A path that all members share stands before that of each route.
        if let Some(path) = paths.first().filter(|p| !p.is_empty() && *p != "/") {
            for route in pool.routes.iter_mut().filter(|r| !r.except) {
                route.to = Some(join(path, route.to.as_deref().or(route.path.as_deref()).unwrap_or("/")));
            }
        }
        pool.routes.extend(t.exceptions.iter().cloned());
        pools.push(pool);
    }
    Imported { pools, account: t.account }
}

/// One path behind another.
fn join(first: &str, second: &str) -> String {
    format!("{}/{}", first.trim_end_matches('/'), second.trim_start_matches('/'))
}

/// A name that a setup may have.
fn label(text: &str) -> String {
    let name = text::label(text).trim_matches('-').to_string();
    if name.is_empty() {
        "pool".into()
    } else {
        name
    }
}

/// `key=value`, as parameters are written.
fn pair(word: &Word) -> Option<(String, &str)> {
    let (key, value) = word.text.split_once('=')?;
    Some((key.to_ascii_lowercase(), value))
}

impl Translator<'_> {
    fn items(&mut self, items: &[Item], scope: &Scope) {
        // A host's names hold for all of it, wherever they stand in it.
        let mut scope = scope.clone();
        if scope.hosts.is_empty() {
            for item in items {
                if let Item::Directive(line) = item {
                    if line.is("ServerName") || line.is("ServerAlias") {
                        let names = line.words.iter().map(|w| w.text.to_ascii_lowercase());
                        let names = names.map(|n| n.split(':').next().unwrap_or("").to_string());
                        scope.hosts.extend(names.filter(|n| !n.is_empty()));
                    }
                }
            }
        }
        for item in items {
            match item {
                Item::Directive(line) => self.directive(line, &scope),
                Item::Section(line, inside) => self.section(line, inside, &scope),
            }
        }
    }

    fn section(&mut self, line: &Line, inside: &[Item], scope: &Scope) {
        let mut scope = scope.clone();
        let what = format!("<{}>", line.text());
        if line.is("VirtualHost") {
            scope.hosts.clear();
            let note = "its ServerName and ServerAlias become the hosts of its routes";
            self.account.carried(&line.place, &what, note);
        } else if line.is("Proxy") {
            let target = line.word(0).unwrap_or("").to_string();
            if target.starts_with("balancer://") {
                self.balancer(&target);
                self.account.carried(&line.place, &what, "a pool");
            }
            scope.proxy = Some(target);
        } else if line.is("Location") && !line.words.is_empty() && line.word(0) != Some("~") {
            scope.location = line.word(0).map(String::from);
            self.account.carried(&line.place, &what, "what is passed in it becomes a route with this path");
        } else {
            let why = "what stands in such a section holds for a part of the requests only";
            return self.account.not_carried(&line.place, &what, why, "write its routes by hand");
        }
        self.items(inside, &scope);
    }

    fn directive(&mut self, line: &Line, scope: &Scope) {
        let what = line.text();
        match line.name.to_ascii_lowercase().as_str() {
            "proxypass" => self.proxy_pass(line, scope),
            "proxypassmatch" => self.proxy_pass_match(line, scope),
            "balancermember" => self.member(line, scope),
            "proxyset" => self.proxy_set(line, scope),
            "proxypassreverse" => {
                let note = "not needed: workers see the host that the client asked for, and name it in their redirects";
                self.account.approximated(&line.place, &what, note);
            }
            "proxypreservehost" => match line.word(0).and_then(switch) {
                Some(true) => {
                    self.account.carried(&line.place, &what, "workers always see the client's host")
                }
                _ => self.account.approximated(
                    &line.place,
                    &what,
                    "workers see the client's host all the same",
                ),
            },
            "proxyrequests" => match line.word(0).and_then(switch) {
                Some(false) => self.account.carried(&line.place, &what, "there is no forward proxy"),
                _ => {
                    let by_hand = "run a forward proxy beside it, if one is needed";
                    self.account.not_carried(&line.place, &what, "there is no forward proxy", by_hand);
                }
            },
            "header" if what.contains("BALANCER_WORKER_ROUTE") => {
                let why = "no cookie is set on the way";
                let by_hand = "have each worker set this cookie with a point and its route";
                self.account.not_carried(&line.place, &what, why, by_hand);
            }
            "servername" | "serveralias" if what.contains('*') => {
                let by_hand = "name the hosts one by one";
                self.account.not_carried(&line.place, &what, "hosts with a wildcard are not known", by_hand);
            }
            "servername" | "serveralias" => {
                self.account.carried(&line.place, &what, "the host of the routes beside it");
            }
            "listen" => {
                let note = "say where to listen when it starts: postusher serve --setup FILE --listen ADDR";
                self.account.approximated(&line.place, &what, note);
            }
            _ if BESIDE.iter().any(|b| line.is(b)) => {
                self.account.approximated(&line.place, &what, "it does not concern where requests go");
            }
            _ => {
                let why = "this directive is not known here";
                let by_hand = "see whether workers or what stands before the scheduler must do it";
                self.account.not_carried(&line.place, &what, why, by_hand);
            }
        }
    }

    /// The balancer of this URL; a new one if it was not named before.
    fn balancer(&mut self, target: &str) -> usize {
        let key = target.split_once("://").map_or(target, |(_, rest)| rest);
        let name = key.split('/').next().unwrap_or("").to_ascii_lowercase();
        let key = format!("balancer://{name}");
        if let Some(at) = self.balancers.iter().position(|(k, _)| *k == key) {
            return at;
        }
        let name = self.free_name(&label(&name));
        let pool = Pool { name, ..Pool::default() };
        self.balancers.push((key, Balancer { pool, paths: Vec::new(), single: false }));
        self.balancers.len() - 1
    }

    fn free_name(&self, wanted: &str) -> String {
        let taken = |name: &str| self.balancers.iter().any(|(_, b)| b.pool.name == name);
        let numbered = (2..).map(|n| format!("{wanted}-{n}"));
        std::iter::once(wanted.to_string()).chain(numbered).find(|name| !taken(name)).unwrap_or_default()
    }

    fn proxy_pass(&mut self, line: &Line, scope: &Scope) {
        let (path, rest) = match (&scope.location, line.words.split_first()) {
            (Some(location), _) if !line.words.is_empty() => (location.clone(), &line.words[..]),
            (None, Some((path, rest))) if !rest.is_empty() => (path.text.clone(), rest),
            _ => {
                let by_hand = "write ProxyPass PATH URL";
                return self.account.not_carried(
                    &line.place,
                    &line.text(),
                    "it names no path or no URL",
                    by_hand,
                );
            }
        };
        let (target, params) = (rest[0].clone(), rest[1..].to_vec());
        self.pass(line, &path, &target, &params, scope, None);
    }

    /// A pattern that only says how a path begins is a path; others are not known.
    fn proxy_pass_match(&mut self, line: &Line, scope: &Scope) {
        let words = (line.word(0), line.words.get(1));
        let (Some(pattern), Some(target)) = words else {
            let by_hand = "write ProxyPassMatch PATTERN URL";
            return self.account.not_carried(
                &line.place,
                &line.text(),
                "it names no pattern or no URL",
                by_hand,
            );
        };
        let plain = |p: &str| p.starts_with('/') && !p.contains(|c| "^$.*+?()[]{}|\\".contains(c));
        let begun = pattern.strip_prefix('^').unwrap_or(pattern);
        let ends = ["(/.*)?$", "/(.*)$", "(/.*)$", "/.*$", "/.*", "(.*)$", ".*$", ".*", "/", ""];
        let path = ends.iter().filter_map(|end| begun.strip_suffix(end)).find(|p| plain(p) || p.is_empty());
        let Some(path) = path else {
            let by_hand = "name the paths one by one, as <route path=\"...\"/>";
            return self.account.not_carried(
                &line.place,
                &line.text(),
                "patterns within a path are not known",
                by_hand,
            );
        };
        let path = if path.is_empty() { "/".to_string() } else { path.to_string() };
        let mut target = target.clone();
        target.text = target.text.replace("/$1", "").replace("$1", "").replace("$0", &path);
        let note = "a path that begins so stands for the pattern";
        self.pass(line, &path, &target, &line.words[2..], scope, Some(note));
    }

    fn pass(
        &mut self,
        line: &Line,
        path: &str,
        target: &Word,
        params: &[Word],
        scope: &Scope,
        note: Option<&str>,
    ) {
        let what = line.text();
        if !path.starts_with('/') || path.contains(['?', '#']) || !path.bytes().all(|b| b.is_ascii_graphic())
        {
            let why = "this is no path from the root on";
            return self.account.not_carried(&line.place, &what, why, "write it as <route path=\"...\"/>");
        }
        let hosts = scope.hosts.iter().filter(|h| !h.contains('*'));
        let mut hosts: Vec<Option<String>> = hosts.cloned().map(Some).collect();
        if hosts.is_empty() {
            hosts.push(None);
        }
        // With Apache the first path that matches wins, here the longest.
        let hidden = |(host, before): &(Option<String>, String)| {
            hosts.contains(host) && begins(path, before) && path != before
        };
        if let Some((_, before)) = self.passed.iter().find(|p| hidden(p)) {
            let why = format!("{before} stands before it and takes all its requests");
            return self.account.not_carried(
                &line.place,
                &what,
                &why,
                "put the longer path first, if it is meant",
            );
        }
        self.passed.extend(hosts.iter().map(|h| (h.clone(), path.to_string())));
        if target.text == "!" {
            for host in hosts {
                self.exceptions.push(Route { host, path: Some(path.into()), to: None, except: true });
            }
            let note = "an exception of every pool";
            return self.account.carried(&line.place, &what, note);
        }
        let Some((scheme, host, port, tail)) = url(&target.text) else {
            let why = "its target is no URL with a host";
            return self.account.not_carried(&line.place, &what, why, "write the worker by hand");
        };
        let at = if scheme == "balancer" {
            self.balancer(&target.text)
        } else {
            let Some(addr) = self.addr(&line.place, &what, &scheme, &host, port) else { return };
            let key = format!("{scheme}://{host}:{port}");
            match self.balancers.iter().position(|(k, _)| *k == key) {
                Some(at) => at,
                None => {
                    let name = self.free_name(&label(&format!("{host}-{port}")));
                    let worker = Worker { id: name.clone(), addr, ..Worker::default() };
                    let pool = Pool { name, workers: vec![worker], ..Pool::default() };
                    self.balancers.push((key, Balancer { pool, paths: Vec::new(), single: true }));
                    self.balancers.len() - 1
                }
            }
        };
        let tail = if tail.is_empty() { "/".to_string() } else { tail };
        let to = (tail.trim_end_matches('/') != path.trim_end_matches('/')).then_some(tail);
        for host in hosts {
            let route = Route { host, path: Some(path.to_string()), to: to.clone(), except: false };
            self.balancers[at].1.pool.routes.push(route);
        }
        match note {
            Some(note) => self.account.approximated(&line.place, &what, note),
            None => self.account.carried(&line.place, &what, "a route of the pool"),
        }
        for word in params {
            if self.balancers[at].1.single {
                self.worker_param(at, 0, word);
            } else {
                self.balancer_param(at, word);
            }
        }
    }

    /// Where a worker speaks HTTP.
    fn addr(&mut self, place: &Place, what: &str, scheme: &str, host: &str, port: u16) -> Option<String> {
        match scheme {
            "http" => Some(format!("{host}:{port}")),
            "ajp" => {
                let http = self.ajp.http(host, port);
                match &http {
                    Some(addr) => {
                        let note = format!("AJP is not spoken; it is asked by HTTP at {addr}, as told");
                        self.account.approximated(place, what, &note);
                    }
                    None => self.account.not_carried(place, what, "AJP is not spoken", BY_HAND),
                }
                http
            }
            _ => {
                let why = format!("{scheme} is not spoken to workers");
                self.account.not_carried(place, what, &why, "give the worker an HTTP/1.1 port");
                None
            }
        }
    }

    fn member(&mut self, line: &Line, scope: &Scope) {
        let what = line.text();
        let named = line.word(0).is_some_and(|w| w.starts_with("balancer://"));
        let (target, rest) = match (&scope.proxy, named) {
            (_, true) => (line.words[0].text.clone(), &line.words[1..]),
            (Some(target), false) => (target.clone(), &line.words[..]),
            (None, false) => {
                let by_hand = "put it into <Proxy balancer://NAME>";
                return self.account.not_carried(&line.place, &what, "it names no balancer", by_hand);
            }
        };
        let Some((scheme, host, port, path)) = rest.first().and_then(|w| url(&w.text)) else {
            let why = "it names no URL with a host";
            return self.account.not_carried(&line.place, &what, why, "write the worker by hand");
        };
        let Some(addr) = self.addr(&line.place, &what, &scheme, &host, port) else { return };
        let at = self.balancer(&target);
        let balancer = &mut self.balancers[at].1;
        if balancer.paths.first().is_some_and(|p| p.trim_end_matches('/') != path.trim_end_matches('/')) {
            let why = "its path differs from that of the members before it";
            return self.account.not_carried(&line.place, &what, why, "give all members of a pool one path");
        }
        let id = label(&format!("{host}-{port}"));
        let again = balancer.pool.workers.iter().position(|w| w.addr == addr);
        let n = match again {
            Some(n) => n,
            None => {
                balancer.paths.push(path);
                balancer.pool.workers.push(Worker { id, addr, ..Worker::default() });
                balancer.pool.workers.len() - 1
            }
        };
        match again {
            Some(_) => self.account.approximated(
                &line.place,
                &what,
                "listed twice: what is said here is added to the first",
            ),
            None => self.account.carried(&line.place, &what, "a worker of the pool"),
        }
        for word in &rest[1..] {
            self.worker_param(at, n, word);
        }
    }

    fn proxy_set(&mut self, line: &Line, scope: &Scope) {
        let own = line.word(0).filter(|w| w.contains("://") && !w.contains('=')).map(String::from);
        let params = if own.is_some() { &line.words[1..] } else { &line.words[..] };
        let target = own.or_else(|| scope.proxy.clone()).unwrap_or_default();
        if !target.starts_with("balancer://") {
            let why = "it is not said of a balancer";
            return self.account.not_carried(&line.place, &line.text(), why, "set it at the pool by hand");
        }
        let at = self.balancer(&target);
        params.iter().for_each(|word| self.balancer_param(at, word));
    }

    fn balancer_param(&mut self, at: usize, word: &Word) {
        let (place, what) = (&word.place, &word.text);
        let pool = &mut self.balancers[at].1.pool;
        let Some((key, value)) = pair(word) else {
            let why = "this is no parameter";
            return self.account.not_carried(place, what, why, "write key=value");
        };
        let unreadable = "its value cannot be read";
        match (key.as_str(), value) {
            ("lbmethod", "byrequests") => self.account.carried(place, what, "shares follow the weights"),
            ("lbmethod", _) => {
                let note = "shares follow the weights by requests; who is full or slow gets fewer by itself";
                self.account.approximated(place, what, note);
            }
            ("stickysession", _) => {
                let (cookie, path) = value.split_once('|').map_or((value, value), |(c, p)| (c, p));
                let sticky = pool.sticky.get_or_insert_with(Sticky::default);
                (sticky.cookie, sticky.path) = (Some(label(cookie)), Some(label(path)));
                self.account.carried(place, what, "requests that name a worker's route go there");
            }
            ("nofailover", _) => match switch(value) {
                Some(strict) => {
                    pool.sticky.get_or_insert_with(Sticky::default).strict = strict;
                    self.account.carried(
                        place,
                        what,
                        "what belongs to a worker that cannot serve is refused, or not",
                    );
                }
                None => self.account.not_carried(place, what, unreadable, "write On or Off"),
            },
            ("maxattempts", _) => match value.parse::<u32>() {
                Ok(n) => {
                    pool.attempts = (n + 1).min(16);
                    self.account.carried(place, what, "attempts are one more than tries after the first");
                }
                Err(_) => self.account.not_carried(place, what, unreadable, "write a whole number"),
            },
            ("timeout", _) => {
                let note = "nothing waits for a free worker: a request without room is refused at once";
                self.account.approximated(place, what, note);
            }
            ("failonstatus" | "failontimeout", _) => {
                let note = "server errors and time-outs count against a worker by themselves";
                self.account.approximated(place, what, note);
            }
            ("growth" | "forcerecovery", _) => {
                let note =
                    "members are added by the setup file, and a worker that failed is tried again by itself";
                self.account.approximated(place, what, note);
            }
            ("stickysessionsep", ".") => {
                self.account.carried(place, what, "the route stands behind the last point")
            }
            ("nonce" | "scolonpathdelim", _) => {
                let note = "there is no balancer manager; parameters behind a semicolon are always read";
                self.account.approximated(place, what, note);
            }
            _ => {
                let why = "this parameter is not known here";
                self.account.not_carried(place, what, why, "see docs/IMPORT.md");
            }
        }
    }

    fn worker_param(&mut self, at: usize, n: usize, word: &Word) {
        let (place, what) = (&word.place, &word.text);
        let pool = &mut self.balancers[at].1.pool;
        let Some((key, value)) = pair(word) else {
            let why = "this is no parameter";
            return self.account.not_carried(place, what, why, "write key=value");
        };
        let Some(worker) = pool.workers.get_mut(n) else { return };
        let unreadable = "its value cannot be read";
        match key.as_str() {
            "loadfactor" => match value.parse::<f64>().ok().filter(|w| (0.01..=1000.0).contains(w)) {
                Some(weight) => {
                    worker.weight = weight;
                    self.account.carried(place, what, "its weight");
                }
                None => self.account.not_carried(place, what, unreadable, "write a number from 1 to 100"),
            },
            "route" => {
                worker.route = Some(label(value));
                self.account.carried(place, what, "its route");
            }
            "redirect" => {
                worker.redirect = Some(label(value));
                self.account.carried(place, what, "who gets what belongs to it while it cannot serve");
            }
            "lbset" => match value.parse::<u32>().ok().filter(|n| *n <= 99) {
                Some(set) => {
                    worker.set = set;
                    self.account.carried(place, what, "its set");
                }
                None => {
                    self.account.not_carried(place, what, unreadable, "write a whole number from 0 to 99")
                }
            },
            "max" => match value.parse::<usize>().ok().filter(|n| *n > 0) {
                Some(most) => {
                    worker.most = Some(most);
                    let note = "requests at a time; with Apache it counts by child process";
                    self.account.approximated(place, what, note);
                }
                None => self.account.not_carried(place, what, unreadable, "write a whole number above 0"),
            },
            "status" => self.status(at, n, place, what, value),
            "timeout" => match time(value).filter(|ms| *ms > 0.0) {
                Some(ms) => {
                    longest(&mut pool.timeout, Pool::default().timeout, ms);
                    let note = "the longest one holds for the whole pool";
                    self.account.approximated(place, what, note);
                }
                None => self.account.not_carried(place, what, unreadable, "write seconds"),
            },
            "connectiontimeout" => match time(value).filter(|ms| *ms > 0.0) {
                Some(ms) => {
                    longest(&mut pool.connect_timeout, Pool::default().connect_timeout, ms);
                    self.account.approximated(place, what, "the longest one holds for the whole pool");
                }
                None => self.account.not_carried(place, what, unreadable, "write seconds, or 500ms"),
            },
            "retry" => {
                let note = "a worker that failed is tried again by what it does, not after a set time";
                self.account.approximated(place, what, note);
            }
            "ping" | "ttl" | "keepalive" | "smax" | "min" | "acquire" | "disablereuse" | "enablereuse"
            | "flushpackets" | "flushwait" | "iobuffersize" | "receivebuffersize" | "responsefieldsize"
            | "upgrade" | "addressttl" => {
                self.account.approximated(
                    place,
                    what,
                    "connections to workers are kept and dropped by themselves",
                );
            }
            "secret" => {
                let why = "it is a word of AJP, which is not spoken";
                self.account.not_carried(place, what, why, "guard the worker's HTTP port in another way");
            }
            "hcmethod" | "hcpasses" | "hcfails" | "hcinterval" | "hcuri" | "hcexpr" | "hctemplate" => {
                let note = "there are no health calls: a worker is judged by its answers";
                self.account.approximated(place, what, note);
            }
            _ => {
                let why = "this parameter is not known here";
                self.account.not_carried(place, what, why, "see docs/IMPORT.md");
            }
        }
    }

    /// `status=+D-H`: letters, each switched on, or off behind a minus.
    fn status(&mut self, at: usize, n: usize, place: &Place, what: &str, value: &str) {
        let Some(worker) = self.balancers[at].1.pool.workers.get_mut(n) else { return };
        let mut on = true;
        let mut notes = BTreeMap::new();
        for letter in value.chars() {
            match letter.to_ascii_uppercase() {
                '+' => on = true,
                '-' => on = false,
                'D' | 'N' => {
                    worker.state = if on { State::Draining } else { State::Live };
                    notes.insert("draining: only what belongs to it goes there", true);
                }
                'S' => {
                    worker.state = if on { State::Stopped } else { State::Live };
                    notes.insert("stopped: nothing goes there", true);
                }
                'H' => {
                    worker.role = if on { Role::Standby } else { Role::Active };
                    notes.insert("a standby: gets requests while no active one of its set can be used", true);
                }
                'R' => {
                    worker.role = if on { Role::Spare } else { Role::Active };
                    notes.insert("a spare: one for each active one that cannot be used", true);
                }
                'I' => {
                    notes.insert("errors are not ignored: a worker that fails gets fewer requests, never none for ever", false);
                }
                'E' => {
                    notes.insert(
                        "no worker starts in error; whether it can serve is seen from its answers",
                        false,
                    );
                }
                _ => {
                    let why = format!("{letter:?} is no status");
                    return self.account.not_carried(
                        place,
                        what,
                        &why,
                        "use the letters D, S, I, H, E, N, R",
                    );
                }
            }
        }
        let note = notes.keys().copied().collect::<Vec<_>>().join("; ");
        match notes.values().all(|same| *same) {
            true => self.account.carried(place, what, &note),
            false => self.account.approximated(place, what, &note),
        }
    }
}
