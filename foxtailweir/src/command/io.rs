//! Output streams of a command.

use std::io::Write;

/// Results go to `out`, progress and errors to `err`.
pub struct Io<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Progress and errors.
    pub err: &'a mut dyn Write,
}

impl Io<'static> {
    /// The process's own standard output and error.
    pub fn standard() -> Self {
        Self {
            out: Box::leak(Box::new(std::io::stdout())),
            err: Box::leak(Box::new(std::io::stderr())),
        }
    }
}

impl Io<'_> {
    /// Writes a line of the result. A closed output is not a failure of the command.
    pub fn print(&mut self, line: impl std::fmt::Display) {
        let _closed = writeln!(self.out, "{line}");
    }

    /// Writes a line of progress or of an error; a closed output is ignored too.
    pub fn report(&mut self, line: impl std::fmt::Display) {
        let _closed = writeln!(self.err, "{line}");
    }
}
