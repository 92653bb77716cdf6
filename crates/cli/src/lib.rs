//! The `bulrushlink` command line, for interactive use and scripts of callers and operators.
//!
//! [`run`] is the whole program: it takes the arguments and two writers, and returns the exit
//! status, so that tests can compare complete sessions with golden files.
//!
//! # Example
//!
//! ```
//! let mut out = Vec::new();
//! let mut err = Vec::new();
//! let status = bulrushlink_cli::run(&["--help".to_string()], &mut out, &mut err);
//! assert_eq!(status.code(), 0);
//! assert!(String::from_utf8(out).unwrap().contains("bulrushlink submit"));
//! ```

mod connect;
mod jobs;
mod notes;
mod options;
mod process;
mod status;
mod table;

pub use status::Status;

use bulrushlink_core::{Code, Error};
use std::io::Write;

use options::Parsed;

/// Output streams of a command.
pub(crate) struct Streams<'a> {
    /// Stream for results.
    pub(crate) out: &'a mut dyn Write,
    /// Stream for progress and errors.
    pub(crate) err: &'a mut dyn Write,
}

impl Streams<'_> {
    /// Writes one line of a result. A closed stream is ignored: it doesn't change the exit status.
    pub(crate) fn line(&mut self, text: &str) {
        let _ = writeln!(self.out, "{text}");
    }

    /// Writes one line of progress.
    pub(crate) fn progress(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }
}

/// One command of the command line.
struct Command {
    /// Words of its name, such as `note check`.
    words: &'static [&'static str],
    /// Operands and options, as shown in its usage line.
    operands: &'static str,
    /// One-line description for the help.
    about: &'static str,
    run: fn(&Parsed, &mut Streams<'_>) -> Result<Status, Error>,
}

const COMMANDS: &[Command] = &[
    Command {
        words: &["submit"],
        operands: "[--file JOBS.json | options]",
        about: "submit one job, or all jobs of a file",
        run: jobs::submit,
    },
    Command {
        words: &["status"],
        operands: "WORKSPACE/REQUEST",
        about: "show where a job is",
        run: jobs::status,
    },
    Command {
        words: &["wait"],
        operands: "WORKSPACE/REQUEST",
        about: "wait until a job has ended",
        run: jobs::wait,
    },
    Command {
        words: &["cancel"],
        operands: "WORKSPACE/REQUEST",
        about: "cancel a job",
        run: jobs::cancel,
    },
    Command {
        words: &["list"],
        operands: "WORKSPACE",
        about: "list the open jobs of a workspace",
        run: jobs::list,
    },
    Command {
        words: &["note", "check"],
        operands: "NOTE.json",
        about: "check a release note without applying it",
        run: notes::check,
    },
    Command {
        words: &["note", "diff"],
        operands: "NOTE.json",
        about: "show what a release note would change",
        run: notes::diff,
    },
    Command {
        words: &["note", "apply"],
        operands: "NOTE.json",
        about: "apply a release note and wait until it is in force everywhere",
        run: notes::apply,
    },
    Command {
        words: &["note", "show"],
        operands: "",
        about: "show what is in force",
        run: notes::show,
    },
    Command {
        words: &["domains"],
        operands: "",
        about: "show the failure domains with their daemons and workers",
        run: process::domains,
    },
    Command {
        words: &["dump"],
        operands: "",
        about: "show the whole state of one daemon",
        run: process::dump,
    },
    Command {
        words: &["drain"],
        operands: "",
        about: "begin the graceful stop of one daemon",
        run: process::drain,
    },
    Command {
        words: &["settings", "check"],
        operands: "SETTINGS.json",
        about: "check the settings of a daemon",
        run: process::settings,
    },
];

/// Runs one command and returns its exit status.
pub fn run(args: &[String], out: &mut dyn Write, err: &mut dyn Write) -> Status {
    let mut streams = Streams { out, err };
    if args.is_empty() || matches!(args[0].as_str(), "--help" | "-h" | "help") {
        streams.line(&overview());
        return Status::Done;
    }
    match dispatch(args, &mut streams) {
        Ok(status) => status,
        Err(error) => {
            streams.progress(&format!("bulrushlink: {error}"));
            Status::of(error.code())
        }
    }
}

fn dispatch(args: &[String], streams: &mut Streams<'_>) -> Result<Status, Error> {
    let named = |command: &&Command| {
        command.words.len() <= args.len() && command.words.iter().zip(args).all(|(w, a)| w == a)
    };
    let Some(command) = COMMANDS.iter().find(named) else {
        let group = COMMANDS.iter().any(|command| command.words[0] == args[0]);
        let name = args[..if group { args.len().min(2) } else { 1 }].join(" ");
        let text = format!("there is no command {name:?}; see bulrushlink --help");
        return Err(Error::new(Code::Usage, text));
    };
    let rest = &args[command.words.len()..];
    if rest.iter().any(|arg| arg == "--help" || arg == "-h") {
        streams.line(&help(command));
        return Ok(Status::Done);
    }
    let parsed = Parsed::parse(rest)?;
    (command.run)(&parsed, streams)
}

fn overview() -> String {
    let mut text = String::from("Usage: bulrushlink COMMAND [options]\n\nCommands:\n");
    for command in COMMANDS {
        let name = format!("bulrushlink {}", command.words.join(" "));
        text.push_str(&format!("  {name:<28} {}\n", command.about));
    }
    text.push_str("\n`bulrushlink COMMAND --help` lists the options.\n");
    text.push_str(status::HELP);
    text
}

fn help(command: &Command) -> String {
    let brief = format!(
        "Usage: bulrushlink {} {}\n\n{}",
        command.words.join(" "),
        command.operands,
        command.about
    );
    Parsed::usage(&brief)
}
