//! Reads the `<pool>` element.

use super::{Pool, Route, Sticky, Worker, REPEATS, ROLES, STATES};
use crate::element::Element;
use crate::error::Mistake;
use crate::units;
use std::collections::BTreeSet;

const YES_OR_NO: &[(&str, bool)] = &[("yes", true), ("no", false)];

/// Reads the element and adds it to the pools before it.
pub(crate) fn read(mut element: Element, pools: &mut Vec<Pool>, mistakes: &mut Vec<Mistake>) {
    let mut pool = Pool::default();
    element.need("name", mistakes, units::label, &mut pool.name);
    element.need("answers", mistakes, units::word(&[("direct", ())]), &mut ());
    element.read("timeout", mistakes, units::positive_duration, &mut pool.timeout);
    element.read("connect-timeout", mistakes, units::positive_duration, &mut pool.connect_timeout);
    element.read("attempts", mistakes, units::attempts, &mut pool.attempts);
    element.read("repeat", mistakes, units::word(REPEATS), &mut pool.repeat);
    element.no_more_attributes(mistakes);
    if !pool.name.is_empty() && pools.iter().any(|other| other.name == pool.name) {
        let problem = format!("there are two pools {:?}", pool.name);
        element.wrong(mistakes, problem, "give each a name of its own".into());
    }
    let mut worker_ids = BTreeSet::new();
    for child in element.children(mistakes) {
        read_part(child, &mut pool, &mut worker_ids, mistakes);
    }
    if pool.workers.is_empty() {
        let problem = "a pool without workers serves nobody".into();
        element.wrong(mistakes, problem, "add <worker id=\"...\" addr=\"...\"/>".into());
    }
    pools.push(pool);
}

fn read_part(
    mut element: Element,
    pool: &mut Pool,
    worker_ids: &mut BTreeSet<String>,
    mistakes: &mut Vec<Mistake>,
) {
    match element.name() {
        "route" => pool.routes.push(read_route(&mut element, mistakes)),
        "sticky" if pool.sticky.is_some() => {
            element.wrong(mistakes, "<sticky> stands here twice".into(), "join the two".into());
        }
        "sticky" => pool.sticky = Some(read_sticky(&mut element, mistakes)),
        "worker" => {
            let worker = read_worker(&mut element, mistakes);
            if !worker.id.is_empty() && !worker_ids.insert(worker.id.clone()) {
                let problem = format!("there are two workers {:?} in this pool", worker.id);
                element.wrong(mistakes, problem, "give each a name of its own".into());
            }
            pool.workers.push(worker);
        }
        _ => {
            element.unknown(mistakes, &["route", "sticky", "worker"]);
            return;
        }
    }
    element.no_more_attributes(mistakes);
    element.no_children(mistakes);
}

fn read_route(element: &mut Element, mistakes: &mut Vec<Mistake>) -> Route {
    let mut route = Route::default();
    element.read("host", mistakes, |text| units::host(text).map(Some), &mut route.host);
    element.read("path", mistakes, |text| units::path(text).map(Some), &mut route.path);
    element.read("to", mistakes, |text| units::path(text).map(Some), &mut route.to);
    element.read("except", mistakes, units::word(YES_OR_NO), &mut route.except);
    route
}

fn read_sticky(element: &mut Element, mistakes: &mut Vec<Mistake>) -> Sticky {
    let mut sticky = Sticky::default();
    element.read("cookie", mistakes, |text| units::label(text).map(Some), &mut sticky.cookie);
    element.read("path", mistakes, |text| units::label(text).map(Some), &mut sticky.path);
    element.read("strict", mistakes, units::word(YES_OR_NO), &mut sticky.strict);
    sticky
}

fn read_worker(element: &mut Element, mistakes: &mut Vec<Mistake>) -> Worker {
    let mut worker = Worker::default();
    element.need("id", mistakes, units::label, &mut worker.id);
    element.need("addr", mistakes, units::worker_address, &mut worker.addr);
    element.read("weight", mistakes, units::weight, &mut worker.weight);
    element.read("state", mistakes, units::word(STATES), &mut worker.state);
    element.read("role", mistakes, units::word(ROLES), &mut worker.role);
    element.read("set", mistakes, units::small, &mut worker.set);
    element.read("route", mistakes, |text| units::label(text).map(Some), &mut worker.route);
    element.read("redirect", mistakes, |text| units::label(text).map(Some), &mut worker.redirect);
    element.read("most", mistakes, |text| units::count(text).map(Some), &mut worker.most);
    worker
}
