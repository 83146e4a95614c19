//! Translates balancer members to workers.

use super::{is_balancer_url, label, Scope, Translator};
use crate::account::{Outcome, Position};
use crate::ajp::AJP_BY_HAND;
use crate::apache::syntax::{Line, Word};
use crate::apache::units::Url;
use postusher_setup::Worker;

impl Translator<'_> {
    /// Translates `BalancerMember`, which names a balancer or applies to that of the enclosing `<Proxy>`.
    pub(super) fn balancer_member(&mut self, line: &Line, scope: &Scope) {
        let explicit_target = line.word(0).filter(|word| is_balancer_url(word));
        let words = if explicit_target.is_some() { &line.words[1..] } else { &line.words[..] };
        let Some(target) = explicit_target.or(scope.proxy.as_deref()) else {
            let by_hand = "move it into <Proxy balancer://NAME>";
            let outcome = Outcome::not_carried("it does not name a balancer", by_hand);
            self.report.add(&line.position, line.text(), outcome);
            return;
        };
        let Some(url) = words.first().and_then(|word| Url::parse(&word.text)) else {
            let outcome =
                Outcome::not_carried("it does not name a URL with a host", "add the worker to the setup");
            self.report.add(&line.position, line.text(), outcome);
            return;
        };
        let Some(address) = self.http_address(&line.position, &line.text(), &url) else { return };
        let balancer_index = self.balancer_index(target);
        self.add_member(balancer_index, line, &words[1..], &url, address);
    }

    /// Adds a member with its parameters. A member with the address of an existing one changes that one.
    fn add_member(
        &mut self,
        balancer_index: usize,
        line: &Line,
        parameters: &[Word],
        url: &Url,
        address: String,
    ) {
        let balancer = &mut self.balancers[balancer_index];
        if let Some(path) = balancer.paths.first() {
            if path.trim_end_matches('/') != url.path.trim_end_matches('/') {
                let reason = "its path differs from that of the preceding members";
                let outcome = Outcome::not_carried(reason, "use the same path for all members of a pool");
                self.report.add(&line.position, line.text(), outcome);
                return;
            }
        }
        let workers = &mut balancer.pool.workers;
        let worker_index = match workers.iter().position(|worker| worker.addr == address) {
            Some(existing) => {
                let note = "duplicate member: its parameters are added to those of the first";
                self.report.add(&line.position, line.text(), Outcome::approximated(note));
                existing
            }
            None => {
                let id = label(&format!("{}-{}", url.host, url.port));
                workers.push(Worker { id, addr: address, ..Worker::default() });
                balancer.paths.push(url.path.clone());
                self.report.add(&line.position, line.text(), Outcome::carried("a worker of the pool"));
                workers.len() - 1
            }
        };
        for word in parameters {
            self.worker_parameter(balancer_index, worker_index, word);
        }
    }

    /// Returns the HTTP address of a worker; `None` if it has none. If the URL is not an HTTP URL, adds an
    /// entry for the directive to the report.
    pub(super) fn http_address(&mut self, position: &Position, directive: &str, url: &Url) -> Option<String> {
        let Url { scheme, host, port, .. } = url;
        match scheme.as_str() {
            "http" => Some(format!("{host}:{port}")),
            "ajp" => {
                let address = self.ajp.http_address(host, *port);
                let outcome = match &address {
                    Some(address) => Outcome::approximated(format!(
                        "AJP is not supported; requests are sent over HTTP to {address}, as configured"
                    )),
                    None => Outcome::not_carried("AJP is not supported", AJP_BY_HAND),
                };
                self.report.add(position, directive, outcome);
                address
            }
            _ => {
                let reason = format!("{scheme} is not supported between scheduler and workers");
                let outcome = Outcome::not_carried(reason, "configure an HTTP/1.1 port on the worker");
                self.report.add(position, directive, outcome);
                None
            }
        }
    }
}
