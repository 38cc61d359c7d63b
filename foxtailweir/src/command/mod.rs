//! Table of commands, and dispatch of the command line to them.

mod check;
pub mod error;
pub mod exit;
pub mod io;
mod program;
mod record;
mod role;
mod serve;
mod wait;

use getopts::Matches;
use getopts::Options;
use snafu::ResultExt;

use crate::admin;
use crate::demo;

/// Name of the program in messages.
const PROGRAM: &str = "foxtailweir";

/// One command.
struct Command {
    /// One or two words on the command line.
    name: &'static str,
    /// Positional arguments, as in the usage line.
    args: &'static str,
    /// Description for the help text, one sentence.
    about: &'static str,
    /// Adds the command's own options to the parser.
    options: fn(&mut Options),
    /// Runs the command.
    run: fn(&Matches, &mut io::Io<'_>) -> Result<exit::Exit, error::Error>,
}

const COMMANDS: &[Command] = &[
    Command {
        name: "serve",
        args: "SETTINGS",
        about: "Runs an entry until SIGTERM or SIGINT.",
        options: no_options,
        run: serve::run,
    },
    Command {
        name: "entry",
        args: "",
        about: "Runs an entry on the users' platform, by the settings file that it names.",
        options: role::entry_options,
        run: role::entry,
    },
    Command {
        name: "replica",
        args: "",
        about: "Runs a replica on the users' platform, by the settings file that it names.",
        options: role::options,
        run: role::replica,
    },
    Command {
        name: "check",
        args: "SETTINGS",
        about: "Checks every key of a settings file.",
        options: check::options,
        run: check::run,
    },
    Command {
        name: "demo",
        args: "",
        about: "Runs entries, sides and stand-ins in one process and checks the results.",
        options: demo_options,
        run: run_demo,
    },
    Command {
        name: "records list",
        args: "",
        about: "Lists all records with their revisions.",
        options: entry_option,
        run: record::list,
    },
    Command {
        name: "records get",
        args: "KIND/NAME",
        about: "Prints a record in the form that `records put` reads.",
        options: entry_option,
        run: record::get,
    },
    Command {
        name: "records put",
        args: "FILE",
        about: "Stores the record in FILE (`-`: standard input), in the form that `records get` \
                prints, and waits until it is in force everywhere.",
        options: record::change_options,
        run: record::put,
    },
    Command {
        name: "records delete",
        args: "KIND/NAME",
        about: "Deletes a record, and waits until that is in force everywhere.",
        options: record::change_options,
        run: record::delete,
    },
    Command {
        name: "records history",
        args: "KIND/NAME",
        about: "Prints the replaced versions of a record, oldest first.",
        options: entry_option,
        run: record::history,
    },
    Command {
        name: "programs",
        args: "",
        about: "Lists the programs that an entry keeps.",
        options: entry_option,
        run: program::list,
    },
    Command {
        name: "explain",
        args: "PROGRAM",
        about: "Explains why calls of a program were placed, delayed, retried or refused.",
        options: entry_option,
        run: program::explain,
    },
];

/// Runs the command that `args` name; `args` do not include the program's own name.
pub fn run(args: &[String], io: &mut io::Io<'_>) -> exit::Exit {
    let words: Vec<_> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] => {
            io.report(overview());
            return exit::Exit::Usage;
        }
        ["-h" | "--help" | "help", ..] => {
            io.print(overview());
            return exit::Exit::Success;
        }
        _ => (),
    }
    match find(&words) {
        Some((command, rest)) => command.execute(rest, io),
        None => {
            let given = words.iter().take(2).copied();
            let given: Vec<_> = given.take_while(|word| !word.starts_with('-')).collect();
            io.report(format_args!(
                "{PROGRAM}: no command `{}`\n",
                given.join(" ")
            ));
            io.report(overview());
            exit::Exit::Usage
        }
    }
}

fn find<'a>(words: &'a [&'a str]) -> Option<(&'static Command, &'a [&'a str])> {
    COMMANDS.iter().find_map(|command| {
        let name: Vec<_> = command.name.split(' ').collect();
        let rest = words.strip_prefix(name.as_slice())?;
        Some((command, rest))
    })
}

impl Command {
    fn execute(&self, args: &[&str], io: &mut io::Io<'_>) -> exit::Exit {
        match self.parse(args) {
            Ok(matches) if matches.opt_present("help") => {
                io.print(self.help());
                exit::Exit::Success
            }
            Ok(matches) => match self.check_argument_count(&matches) {
                Ok(()) => self.finish((self.run)(&matches, io), io),
                Err(err) => self.finish(Err(err), io),
            },
            Err(err) => self.finish(Err(err), io),
        }
    }

    fn parser(&self) -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "show this help");
        (self.options)(&mut options);
        options
    }

    fn parse(&self, args: &[&str]) -> Result<Matches, error::Error> {
        match self.parser().parse(args) {
            Ok(matches) => Ok(matches),
            Err(fail) => error::usage(fail.to_string()),
        }
    }

    fn check_argument_count(&self, matches: &Matches) -> Result<(), error::Error> {
        let expected = self.args.split_whitespace().count();
        if matches.free.len() == expected {
            return Ok(());
        }
        let found = matches.free.len();
        let args = if self.args.is_empty() {
            "no argument"
        } else {
            self.args
        };
        error::usage(format!("takes {args}, but {found} were given"))
    }

    fn finish(&self, result: Result<exit::Exit, error::Error>, io: &mut io::Io<'_>) -> exit::Exit {
        let err = match result {
            Ok(exit) => return exit,
            Err(err) => err,
        };
        let name = self.name;
        match &err {
            // Each line of the source names its file already, so no prefix is added.
            error::Error::Settings { source } => io.report(source),
            error::Error::Usage { message } => {
                io.report(format_args!(
                    "{PROGRAM} {name}: {message}; see `{PROGRAM} {name} --help`"
                ));
            }
            _ => io.report(format_args!("{PROGRAM} {name}: {err}")),
        }
        err.exit()
    }

    fn help(&self) -> String {
        let Self {
            name, args, about, ..
        } = self;
        let brief = format!("Usage: {PROGRAM} {name} [options] {args}");
        let brief = format!("{}\n\n{about}", brief.trim_end());
        self.parser().usage(&brief)
    }
}

fn overview() -> String {
    let mut text = format!("Usage: {PROGRAM} COMMAND [options] [arguments]\n\nCommands:\n");
    for command in COMMANDS {
        let Command { name, about, .. } = command;
        text.push_str(&format!("    {name:<16} {about}\n"));
    }
    text.push_str(
        "\n`COMMAND --help` shows the options. Exit codes: 0 done, 1 failed, 2 wrong command ",
    );
    text.push_str("line or settings.");
    text
}

fn no_options(_: &mut Options) {}

fn entry_option(options: &mut Options) {
    let about = format!(
        "admin address of an entry; {} if absent",
        admin::DEFAULT_ENTRY
    );
    options.optopt("e", "entry", &about, "IP:PORT");
}

/// Returns a client of the entry given by `--entry`, or of the default one.
fn client(matches: &Matches) -> admin::Client {
    let entry = matches.opt_str("entry");
    admin::Client::new(entry.unwrap_or_else(|| admin::DEFAULT_ENTRY.to_owned()))
}

fn demo_options(options: &mut Options) {
    options.optflag(
        "",
        "hold",
        "in place of the script, stay up until SIGINT or SIGTERM and print addresses for your own \
         client",
    );
}

fn run_demo(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let hold = matches.opt_present("hold");
    let opts = demo::Options {
        hold,
        ..demo::Options::default()
    };
    demo::run(&opts, io)
}

/// Runs `work` on a new multi-threaded runtime.
pub(crate) fn block_on<T>(
    work: impl Future<Output = Result<T, error::Error>>,
) -> Result<T, error::Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .or_fail("cannot start the runtime")?;
    runtime.block_on(work)
}

/// Converts any error to [`error::Error::Failed`], with `context` before its text.
pub(crate) trait OrFail<T> {
    fn or_fail(self, context: &str) -> Result<T, error::Error>;
}

impl<T, E: std::error::Error> OrFail<T> for Result<T, E> {
    fn or_fail(self, context: &str) -> Result<T, error::Error> {
        self.map_err(|err| error::Error::Failed {
            message: format!("{context}: {err}"),
        })
    }
}

/// Reads the settings of an entry.
fn entry_settings(path: &str) -> Result<fw_conf::entry::Settings, error::Error> {
    fw_conf::entry::Settings::load(path.as_ref()).context(error::SettingsSnafu)
}
