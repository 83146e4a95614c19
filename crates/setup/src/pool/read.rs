//! Reads the `<pool>` element.

use super::{Pool, Route, Sticky, Worker, RETRY_POLICIES, ROLES, STATES};
use crate::element::Element;
use crate::error::Diagnostic;
use crate::units;
use std::collections::BTreeSet;

const YES_OR_NO: &[(&str, bool)] = &[("yes", true), ("no", false)];

/// Reads a `<pool>` element and appends it to `pools`.
pub(crate) fn read(mut element: Element, pools: &mut Vec<Pool>, diagnostics: &mut Vec<Diagnostic>) {
    let mut pool = Pool::default();
    element.read_required("name", diagnostics, units::label, &mut pool.name);
    element.read_required("answers", diagnostics, units::keyword(&[("direct", ())]), &mut ());
    element.read("timeout", diagnostics, units::positive_duration, &mut pool.timeout);
    element.read("connect-timeout", diagnostics, units::positive_duration, &mut pool.connect_timeout);
    element.read("attempts", diagnostics, units::max_attempts, &mut pool.max_attempts);
    element.read("repeat", diagnostics, units::keyword(RETRY_POLICIES), &mut pool.retry_policy);
    element.check_no_unknown_attributes(diagnostics);
    if !pool.name.is_empty() && pools.iter().any(|earlier| earlier.name == pool.name) {
        let message = format!("duplicate pool name {:?}", pool.name);
        element.report(diagnostics, message, "give each pool a unique name".into());
    }
    let mut worker_ids = BTreeSet::new();
    for child in element.children(diagnostics) {
        read_child(child, &mut pool, &mut worker_ids, diagnostics);
    }
    if pool.workers.is_empty() {
        let message = "pool without workers".into();
        element.report(diagnostics, message, "add <worker id=\"...\" addr=\"...\"/>".into());
    }
    pools.push(pool);
}

fn read_child(
    mut element: Element,
    pool: &mut Pool,
    worker_ids: &mut BTreeSet<String>,
    diagnostics: &mut Vec<Diagnostic>,
) {
    match element.name() {
        "route" => pool.routes.push(read_route(&mut element, diagnostics)),
        "sticky" if pool.sticky.is_some() => {
            element.report(diagnostics, "duplicate element <sticky>".into(), "merge the two elements".into());
        }
        "sticky" => pool.sticky = Some(read_sticky(&mut element, diagnostics)),
        "worker" => {
            let worker = read_worker(&mut element, diagnostics);
            if !worker.id.is_empty() && !worker_ids.insert(worker.id.clone()) {
                let message = format!("duplicate worker id {:?} in this pool", worker.id);
                element.report(diagnostics, message, "give each worker a unique id".into());
            }
            pool.workers.push(worker);
        }
        _ => {
            element.report_unknown(diagnostics, &["route", "sticky", "worker"]);
            return;
        }
    }
    element.check_no_unknown_attributes(diagnostics);
    element.check_no_children(diagnostics);
}

fn read_route(element: &mut Element, diagnostics: &mut Vec<Diagnostic>) -> Route {
    let mut route = Route::default();
    element.read("host", diagnostics, |text| units::host(text).map(Some), &mut route.host);
    element.read("path", diagnostics, |text| units::path(text).map(Some), &mut route.path);
    element.read("to", diagnostics, |text| units::path(text).map(Some), &mut route.to);
    element.read("except", diagnostics, units::keyword(YES_OR_NO), &mut route.except);
    route
}

fn read_sticky(element: &mut Element, diagnostics: &mut Vec<Diagnostic>) -> Sticky {
    let mut sticky = Sticky::default();
    element.read("cookie", diagnostics, |text| units::label(text).map(Some), &mut sticky.cookie);
    element.read("path", diagnostics, |text| units::label(text).map(Some), &mut sticky.path);
    element.read("strict", diagnostics, units::keyword(YES_OR_NO), &mut sticky.strict);
    sticky
}

fn read_worker(element: &mut Element, diagnostics: &mut Vec<Diagnostic>) -> Worker {
    let mut worker = Worker::default();
    element.read_required("id", diagnostics, units::label, &mut worker.id);
    element.read_required("addr", diagnostics, units::worker_address, &mut worker.addr);
    element.read("weight", diagnostics, units::weight, &mut worker.weight);
    element.read("state", diagnostics, units::keyword(STATES), &mut worker.state);
    element.read("role", diagnostics, units::keyword(ROLES), &mut worker.role);
    element.read("set", diagnostics, units::small_number, &mut worker.set);
    element.read("route", diagnostics, |text| units::label(text).map(Some), &mut worker.route);
    element.read("redirect", diagnostics, |text| units::label(text).map(Some), &mut worker.redirect);
    element.read("most", diagnostics, |text| units::count(text).map(Some), &mut worker.max_in_flight);
    worker
}
