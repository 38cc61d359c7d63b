//! Errors in settings files.

use std::fmt;

use smol_str::SmolStr;
use snafu::Snafu;

/// All problems of one file; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", join_lines(problems)))]
pub struct Errors {
    /// The problems in the order of their lines; those without a line come last.
    pub problems: Vec<Problem>,
}

/// One problem of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file.
    pub file: SmolStr,
    /// The line, counted from 1. Absent for a file that cannot be read, and for a key that is
    /// missing along with its section.
    pub line: Option<usize>,
    /// The section, if the problem concerns one.
    pub section: Option<SmolStr>,
    /// The key, if the problem concerns one.
    pub key: Option<SmolStr>,
    /// The fault.
    pub fault: Fault,
    /// The allowed values; empty if the fault states them or there are none.
    pub allowed: SmolStr,
}

/// Kind of fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The file cannot be read.
    Unreadable(SmolStr),
    /// The line is not valid INI.
    Syntax(SmolStr),
    /// There is no such section.
    UnknownSection,
    /// There is no such key in the section.
    UnknownKey,
    /// The key is already set, on the line of this number.
    Repeated(usize),
    /// A required key is missing.
    Missing,
    /// The value is not of the key's type.
    Type(SmolStr),
    /// The value is outside the key's range.
    Range(SmolStr),
    /// The value conflicts with the value of another key.
    Conflict(SmolStr),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "cannot be read: {why}"),
            Self::Syntax(why) => write!(f, "syntax error: {why}"),
            Self::UnknownSection => f.write_str("unknown section"),
            Self::UnknownKey => f.write_str("unknown key"),
            Self::Repeated(line) => write!(f, "already set on line {line}"),
            Self::Missing => f.write_str("required key is missing"),
            Self::Type(value) => write!(f, "wrong type: `{value}`"),
            Self::Range(value) => write!(f, "out of range: `{value}`"),
            Self::Conflict(why) => f.write_str(why),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(":")?;
        if let Some(section) = &self.section {
            write!(f, " [{section}]")?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}:")?;
        }
        write!(f, " {}", self.fault)?;
        if !self.allowed.is_empty() {
            write!(f, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
