//! Command line of `bulrushlinkd`.

use bulrushlink_core::{Code, Error};
use getopts::Options;
use std::path::PathBuf;

use crate::daemon::Daemon;
use crate::settings::Settings;

const BRIEF: &str = "Usage: bulrushlinkd --settings FILE [--check]

Runs one daemon until SIGTERM, then stops gracefully.";

/// Parses the arguments, without the program's name, and runs the daemon or checks its settings.
///
/// # Errors
///
/// [`Code::Usage`] if the arguments are wrong, [`Code::SettingsInvalid`] if the settings are, and
/// whatever [`Daemon::run`] returns.
pub fn run(args: &[String]) -> Result<(), Error> {
    let usage = |text: String| Error::new(Code::Usage, text);
    let mut options = Options::new();
    options.optopt("", "settings", "the JSON file with the settings", "FILE");
    options.optflag("", "check", "check the settings and run nothing");
    options.optflag("h", "help", "print this help");
    let matches = options.parse(args).map_err(|e| usage(e.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
        return Ok(());
    }
    if let Some(extra) = matches.free.first() {
        return Err(usage(format!("{extra:?} is not expected")));
    }
    let path = matches.opt_str("settings").ok_or_else(|| usage("--settings is missing".into()))?;
    let settings = Settings::read(&PathBuf::from(path))?;
    if matches.opt_present("check") {
        println!("settings of {} in {} are good", settings.daemon, settings.domain());
        return Ok(());
    }
    Daemon::run(settings)
}
