//! An accepted set of records is in force in every process within a time limit, and no process
//! reverts to an older set, not even across restarts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fw_base::digest::Digest;
use fw_base::id;
use smol_str::SmolStr;

use crate::check::Options;
use crate::check::Tally;
use crate::event::Entry;
use crate::event::Event;
use crate::event::ProcessId;

/// The set of records that a process reported to be in force.
struct Observation<'a> {
    at: usize,
    time: Duration,
    revision: id::Revision,
    values: Option<&'a BTreeMap<SmolStr, Digest>>,
}

type Observations<'a> = BTreeMap<&'a ProcessId, Vec<Observation<'a>>>;

pub(crate) fn check(entries: &[Entry], opts: &Options) -> Tally {
    let mut tally = Tally::default();
    let observations = observations(entries);
    check_reverts(&observations, &mut tally);
    check_values(entries, &observations, &mut tally);
    let stopped = stopped(entries);
    let mut unobserved = 0;
    for (accepted, entry) in entries.iter().enumerate() {
        let Event::RecordAccepted { revision, .. } = entry.event else {
            continue;
        };
        let by = entry.at + opts.in_force_within;
        for (process, seen) in &observations {
            let mut late = seen.iter().filter(|seen| seen.time > by);
            let stale = late.clone().find(|seen| seen.revision < revision);
            let in_time = seen
                .iter()
                .any(|seen| seen.at > accepted && seen.time <= by && seen.revision >= revision);
            match stale {
                Some(stale) => {
                    let within = opts.in_force_within;
                    let what = format!(
                        "{process} did not have revision {revision} in force {within:?} after it \
                         was accepted"
                    );
                    tally.add_violation(&[accepted, stale.at], what);
                }
                None if in_time || late.next().is_some() => tally.add_held(),
                None if stopped.contains(process) => (),
                None => unobserved += 1,
            }
        }
    }
    tally.add_undecided(
        unobserved,
        "cases in which a process was not queried again after a record was accepted",
    );
    tally
}

fn check_reverts(observations: &Observations<'_>, tally: &mut Tally) {
    for (process, seen) in observations {
        for pair in seen.windows(2) {
            let [before, after] = pair else { continue };
            tally.expect(
                before.revision <= after.revision,
                &[before.at, after.at],
                || {
                    let (old, new) = (after.revision, before.revision);
                    format!("{process} reverted from revision {new} to {old}")
                },
            );
        }
    }
}

/// A set in force holds, for each record, the value accepted as of its revision or the value of a
/// write that received no answer.
fn check_values(entries: &[Entry], observations: &Observations<'_>, tally: &mut Tally) {
    for (process, seen) in observations {
        for (seen, values) in seen
            .iter()
            .filter_map(|s| s.values.map(|values| (s, values)))
        {
            for (name, accepted) in accepted_through(entries, seen.revision) {
                let in_force = values.get(name).copied();
                let is_accepted = in_force == accepted.value;
                let is_expected = is_accepted || is_uncertain(entries, name, in_force);
                tally.expect(is_expected, &[accepted.at, seen.at], || {
                    let revision = seen.revision;
                    format!(
                        "{process} has another value of {name} in force at revision {revision} \
                         than accepted"
                    )
                });
            }
        }
    }
}

/// An accepted change of a record.
struct Accepted {
    at: usize,
    revision: id::Revision,
    value: Option<Digest>,
}

/// The last accepted change of each record, through revision `until`.
fn accepted_through(entries: &[Entry], until: id::Revision) -> BTreeMap<&SmolStr, Accepted> {
    let mut last: BTreeMap<&SmolStr, Accepted> = BTreeMap::new();
    for (at, entry) in entries.iter().enumerate() {
        let Event::RecordAccepted {
            revision,
            name,
            value,
        } = &entry.event
        else {
            continue;
        };
        let accepted = Accepted {
            at,
            revision: *revision,
            value: *value,
        };
        let is_newer = last.get(name).is_none_or(|old| old.revision < *revision);
        if *revision <= until && is_newer {
            last.insert(name, accepted);
        }
    }
    last
}

fn is_uncertain(entries: &[Entry], name: &SmolStr, value: Option<Digest>) -> bool {
    entries.iter().any(|entry| match &entry.event {
        Event::RecordDoubtful { name: n, value: v } => n == name && *v == value,
        _ => false,
    })
}

fn observations(entries: &[Entry]) -> Observations<'_> {
    let mut observations = Observations::new();
    for (at, entry) in entries.iter().enumerate() {
        let Event::RecordInForce {
            process,
            revision,
            values,
        } = &entry.event
        else {
            continue;
        };
        observations.entry(process).or_default().push(Observation {
            at,
            time: entry.at,
            revision: *revision,
            values: values.as_ref(),
        });
    }
    observations
}

fn stopped(entries: &[Entry]) -> BTreeSet<&ProcessId> {
    let names = entries.iter().filter_map(|entry| match &entry.event {
        Event::Crashed { process } | Event::ShutdownEnded { process, .. } => Some(process),
        _ => None,
    });
    names.collect()
}
