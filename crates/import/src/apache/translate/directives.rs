//! Translates directives by their name.

use super::{Scope, Translator};
use crate::account::Outcome;
use crate::apache::syntax::Line;
use crate::apache::units::parse_bool;

/// Directives that do not affect the distribution of requests to workers.
const UNRELATED: [&str; 23] = [
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

impl Translator<'_> {
    pub(super) fn translate_directive(&mut self, line: &Line, scope: &Scope) {
        match line.name.to_ascii_lowercase().as_str() {
            "proxypass" => self.proxy_pass(line, scope),
            "proxypassmatch" => self.proxy_pass_match(line, scope),
            "balancermember" => self.balancer_member(line, scope),
            "proxyset" => self.proxy_set(line, scope),
            _ => self.report.add(&line.position, line.text(), outcome_of(line)),
        }
    }
}

/// Returns the outcome of a directive that does not refer to a balancer or a worker.
fn outcome_of(line: &Line) -> Outcome {
    let text = line.text();
    match line.name.to_ascii_lowercase().as_str() {
        "proxypassreverse" => Outcome::approximated(
            "not needed: workers receive the client's Host header and use it in their redirects",
        ),
        "proxypreservehost" => match line.word(0).and_then(parse_bool) {
            Some(true) => Outcome::carried("workers always receive the client's Host header"),
            Some(false) | None => {
                Outcome::approximated("workers receive the client's Host header nevertheless")
            }
        },
        "proxyrequests" => match line.word(0).and_then(parse_bool) {
            Some(false) => Outcome::carried("the scheduler is not a forward proxy"),
            Some(true) | None => Outcome::not_carried(
                "the scheduler is not a forward proxy",
                "run a separate forward proxy if one is needed",
            ),
        },
        "header" if text.contains("BALANCER_WORKER_ROUTE") => Outcome::not_carried(
            "the scheduler does not set cookies",
            "configure each worker to set this cookie, with its value ending in a dot and the route",
        ),
        "servername" | "serveralias" if text.contains('*') => Outcome::not_carried(
            "wildcards in host names are not supported",
            "list the host names individually",
        ),
        "servername" | "serveralias" => Outcome::carried("the host of the routes in the same section"),
        "listen" => Outcome::approximated(
            "set the address on the command line: postusher serve --setup FILE --listen ADDR",
        ),
        _ if UNRELATED.iter().any(|name| line.has_name(name)) => {
            Outcome::approximated("it does not affect the distribution of requests")
        }
        _ => Outcome::not_carried(
            "unsupported directive",
            "check whether the workers or a proxy in front of the scheduler must implement it",
        ),
    }
}
