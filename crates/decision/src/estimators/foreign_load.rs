//! Load that other schedulers put on workers, estimated by zone and machine kind.

use super::MovingAverage;
use crate::interface::Endpoint;
use std::collections::BTreeMap;

/// Estimates of the number of slots that other schedulers use at a worker without a recent report: a mean by
/// zone, plus an offset by machine kind relative to the zone. Only reports change the estimates; they do not
/// decay with time.
#[derive(Default)]
pub struct ForeignLoadByZoneAndKind {
    mean_by_zone: BTreeMap<u16, MovingAverage>,
    offset_by_kind: BTreeMap<u16, MovingAverage>,
}

impl ForeignLoadByZoneAndKind {
    /// Adds the number of slots that other schedulers use at a worker, with a weight from 0 to 1. The offset
    /// of the machine kind is updated with half the weight.
    pub fn add(&mut self, endpoint: &Endpoint, slots: f64, weight: f64) {
        let zone = self.mean_by_zone.entry(endpoint.zone).or_default();
        let offset_from_zone = slots - zone.value_or(slots);
        zone.add(slots, weight);
        self.offset_by_kind.entry(endpoint.kind).or_default().add(offset_from_zone, weight / 2.0);
    }

    /// Returns the estimate for a worker in slots, at least 0. A zone without reports is estimated by the
    /// mean of the zones with reports.
    pub fn estimate(&self, endpoint: &Endpoint) -> f64 {
        let zone = match self.mean_by_zone.get(&endpoint.zone) {
            Some(zone) => zone.value_or(0.0),
            None => self.mean_of_zones(),
        };
        let offset = self.offset_by_kind.get(&endpoint.kind).map_or(0.0, |offset| offset.value_or(0.0));
        (zone + offset).max(0.0)
    }

    fn mean_of_zones(&self) -> f64 {
        let sum: f64 = self.mean_by_zone.values().map(|zone| zone.value_or(0.0)).sum();
        sum / self.mean_by_zone.len().max(1) as f64
    }
}
