//! `records`: lists, reads and changes operators' records.

use std::io::Read;
use std::time::Duration;

use fw_base::id;
use fw_record::key;
use fw_record::write;
use getopts::Matches;
use getopts::Options;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;

use super::OrFail;
use super::error;
use super::exit;
use super::io;
use super::wait;
use crate::admin;

/// Default of `--timeout`: how long a command waits until its change is in force.
const DEFAULT_TIMEOUT: &str = "10s";

/// A record as `get` prints it and `put` reads it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    kind: key::Kind,
    name: SmolStr,
    /// Revision of the version to replace; 0 if the record must not exist yet.
    #[serde(default)]
    revision: id::Revision,
    record: Map<String, Value>,
}

pub(super) fn change_options(options: &mut Options) {
    super::entry_option(options);
    options.optopt(
        "r",
        "revision",
        "revision of the version to replace; put: the one in FILE if absent, 0 for a new record; \
         delete: the present one if absent",
        "N",
    );
    let about = format!("how long to wait until it is in force; {DEFAULT_TIMEOUT} if absent");
    options.optopt("t", "timeout", &about, "TIME");
}

pub(super) fn list(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let client = super::client(matches);
    let records = super::block_on(async { Ok(client.records().await?) })?;
    io.print(format_args!(
        "{:<40} {:>12} {:>7}  PROBLEM",
        "RECORD", "REVISION", "SCHEMA"
    ));
    for stored in &records {
        let schema = stored.record.get("schema").map(Value::to_string);
        let line = format!(
            "{:<40} {:>12} {:>7}  {}",
            stored.name.to_string(),
            stored.revision,
            schema.unwrap_or_default(),
            stored.problem.as_deref().unwrap_or_default(),
        );
        io.print(line.trim_end());
    }
    Ok(exit::Exit::Success)
}

pub(super) fn get(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let name = name(matches)?;
    let client = super::client(matches);
    let stored = super::block_on(async { Ok(client.record(&name).await?) })?;
    io.print(pretty(&stored)?);
    report_problem(&stored, io);
    Ok(exit::Exit::Success)
}

pub(super) fn history(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let name = name(matches)?;
    let client = super::client(matches);
    let versions = super::block_on(async { Ok(client.history(&name).await?) })?;
    for stored in &versions {
        io.print(pretty(stored)?);
        report_problem(stored, io);
    }
    io.report(format_args!(
        "{} replaced versions of {name}",
        versions.len()
    ));
    Ok(exit::Exit::Success)
}

pub(super) fn put(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let file = read_file(&matches.free[0])?;
    let expected = revision_option(matches)?.unwrap_or(file.revision);
    let timeout = timeout_option(matches)?;
    let name = match key::Name::parse(file.kind.as_str(), &file.name) {
        Ok(name) => name,
        Err(message) => return error::usage(message),
    };
    let client = super::client(matches);
    super::block_on(async {
        let accepted = client.put(&name, &file.record, expected).await;
        wait_in_force(&client, &name, accepted, timeout, io).await
    })
}

pub(super) fn delete(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let name = name(matches)?;
    let given = revision_option(matches)?;
    let timeout = timeout_option(matches)?;
    let client = super::client(matches);
    super::block_on(async {
        let expected = match given {
            Some(revision) => revision,
            None => client.record(&name).await?.revision,
        };
        let accepted = client.delete(&name, expected).await;
        wait_in_force(&client, &name, accepted, timeout, io).await
    })
}

/// Reports whether a change was accepted, and waits until it is in force.
async fn wait_in_force(
    client: &admin::Client,
    name: &key::Name,
    accepted: Result<write::Accepted, admin::Error>,
    timeout: Duration,
    io: &mut io::Io<'_>,
) -> Result<exit::Exit, error::Error> {
    let accepted = match accepted {
        Ok(accepted) => accepted,
        Err(err) => return Err(explain_failure(err, name, io)),
    };
    let revision = accepted.revision;
    io.report(format_args!("{name} accepted at revision {revision}"));
    for field in &accepted.unknown {
        io.report(format_args!(
            "note: field `{field}` is unknown; it is stored unchanged"
        ));
    }
    match wait::until_in_force(client, revision, timeout, io).await {
        wait::Outcome::Everywhere => {
            io.print(revision);
            Ok(exit::Exit::Success)
        }
        wait::Outcome::TimedOut => {
            let message = format!(
                "accepted at revision {revision}; the change stays, but is not in force everywhere \
                 after {timeout:?}"
            );
            error::FailedSnafu { message }.fail()
        }
    }
}

/// Prints both versions of a conflict, or a warning that the result of the change is unknown
/// because the answer was lost.
fn explain_failure(err: admin::Error, name: &key::Name, io: &mut io::Io<'_>) -> error::Error {
    if let admin::Error::Refused { refusal } = &err
        && refusal.error.kind == "record_conflict"
    {
        show_conflict(refusal, io);
    } else if err.may_have_applied() {
        io.report(format_args!(
            "it is unknown whether the change of {name} was accepted: \
             get the record and compare before repeating it"
        ));
    }
    err.into()
}

fn show_conflict(refusal: &admin::Refusal, io: &mut io::Io<'_>) {
    let format_record = |record: Option<&Map<String, Value>>| match record {
        Some(record) => serde_json::to_string_pretty(record).unwrap_or_default(),
        None => "(no record)".to_owned(),
    };
    let theirs = refusal.theirs.as_ref();
    io.report(format_args!(
        "yours: {}",
        format_record(refusal.yours.as_ref())
    ));
    io.report(format_args!(
        "theirs: {}",
        format_record(theirs.map(|theirs| &theirs.record))
    ));
    match theirs {
        Some(theirs) if refusal.yours.as_ref() == Some(&theirs.record) => {
            io.report("both are equal: an earlier attempt may have been accepted");
        }
        Some(theirs) => {
            let revision = theirs.revision;
            io.report(format_args!(
                "merge yours into theirs and put it with --revision {revision}"
            ));
        }
        None => io.report("put it with --revision 0 to create it again"),
    }
}

fn name(matches: &Matches) -> Result<key::Name, error::Error> {
    let given = &matches.free[0];
    let Some((kind, name)) = given.split_once('/') else {
        return error::usage(format!(
            "`{given}` must be KIND/NAME, such as team/officers"
        ));
    };
    key::Name::parse(kind, name).or_else(error::usage)
}

fn revision_option(matches: &Matches) -> Result<Option<id::Revision>, error::Error> {
    let Some(text) = matches.opt_str("revision") else {
        return Ok(None);
    };
    match text.parse() {
        Ok(revision) if revision >= 0 => Ok(Some(revision)),
        _ => error::usage(format!(
            "--revision must be a whole number from 0, not `{text}`"
        )),
    }
}

fn timeout_option(matches: &Matches) -> Result<Duration, error::Error> {
    let text = matches.opt_str("timeout");
    let text = text.unwrap_or_else(|| DEFAULT_TIMEOUT.to_owned());
    match humantime::parse_duration(&text) {
        Ok(timeout) => Ok(timeout),
        Err(err) => error::usage(format!("--timeout must be a time such as `30s`: {err}")),
    }
}

fn read_file(path: &str) -> Result<File, error::Error> {
    let text = match path {
        "-" => {
            let mut text = Vec::new();
            let read = std::io::stdin().read_to_end(&mut text);
            read.map(|_| text)
        }
        path => std::fs::read(path),
    };
    let text = text.or_fail(path)?;
    let context = format!(
        "{path} must hold kind, name, record and, to replace one, its revision, as \
         `records get` prints them"
    );
    serde_json::from_slice(&text).or_fail(&context)
}

fn pretty(stored: &write::Stored) -> Result<String, error::Error> {
    let file = File {
        kind: stored.name.kind,
        name: stored.name.name.clone(),
        revision: stored.revision,
        record: stored.record.clone(),
    };
    serde_json::to_string_pretty(&file).or_fail("cannot print the record")
}

fn report_problem(stored: &write::Stored, io: &mut io::Io<'_>) {
    if let Some(problem) = &stored.problem {
        io.report(format_args!("this version cannot be read: {problem}"));
    }
}
