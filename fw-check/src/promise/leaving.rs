//! A leaving upstream receives no new work once [`Options::leave_within`] has passed.

use crate::check::Options;
use crate::check::Tally;
use crate::event::Entry;
use crate::event::Event;

pub(crate) fn check(entries: &[Entry], opts: &Options) -> Tally {
    let mut tally = Tally::default();
    let end_of_record = entries.last().map(|entry| entry.at).unwrap_or_default();
    let mut too_short = 0;
    for (leaving, entry) in entries.iter().enumerate() {
        let Event::UpstreamLeaving { upstream } = &entry.event else {
            continue;
        };
        let by = entry.at + opts.leave_within;
        let mut after = entries.iter().enumerate().skip(leaving);
        let late = after.find(|(_, other)| match &other.event {
            Event::RunStarted { upstream: at, .. } => at == upstream && other.at > by,
            _ => false,
        });
        match late {
            Some((run, _)) => {
                let within = opts.leave_within;
                let what = format!(
                    "{upstream} received new work more than {within:?} after it started to leave"
                );
                tally.add_violation(&[leaving, run], what);
            }
            None if end_of_record <= by => too_short += 1,
            None => tally.add_held(),
        }
    }
    tally.add_undecided(
        too_short,
        "upstreams that started to leave too close to the end of the record",
    );
    tally
}
