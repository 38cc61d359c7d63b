//! Where a command writes.

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
    /// Writes a line of the result. A reader that has gone is no failure of the command.
    pub fn print(&mut self, line: impl std::fmt::Display) {
        let _closed = writeln!(self.out, "{line}");
    }

    /// Writes a line of progress or of an error.
    pub fn report(&mut self, line: impl std::fmt::Display) {
        let _closed = writeln!(self.err, "{line}");
    }
}
