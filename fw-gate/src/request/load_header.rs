//! The load that an upstream states with its answer.

use hyper::header::HeaderValue;

use crate::process::fleet;

/// Position of the time that work takes on the upstream's machine, as a percentage of the usual one.
const PERCENT_AT: usize = 3;

/// Decodes the load: requests running, requests waiting, slots and, on some deployments, the time that work
/// takes. `None` if one of the first two is missing or unreadable.
pub fn parse(value: &HeaderValue) -> Option<fleet::Load> {
    let mut numbers = value.to_str().ok()?.split(',').map(str::trim);
    Some(fleet::Load {
        running: numbers.next()?.parse().ok()?,
        waiting: numbers.next()?.parse().ok()?,
        // The iterator is already past the first two.
        percent: numbers
            .nth(PERCENT_AT - 2)
            .and_then(|text| text.parse().ok()),
    })
}
