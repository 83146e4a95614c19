//! Points in time as keys of ordered collections.

use crate::Millis;
use std::cmp::Ordering;

/// A point in time with a total order.
#[derive(Clone, Copy, Debug)]
pub struct OrderedTime(pub Millis);

impl PartialEq for OrderedTime {
    fn eq(&self, other: &OrderedTime) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for OrderedTime {}

impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &OrderedTime) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedTime {
    fn cmp(&self, other: &OrderedTime) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}
