//! The bulrushlink daemon; `bulrushlinkd platform` runs its adapter to the users' platform instead.

use bulrushlink_core::Code;
use std::process::ExitCode;

/// Exit status for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let result = match args.split_first() {
        Some((first, rest)) if first == "platform" => bulrushlink_platform::run(rest),
        _ => bulrushlink_daemon::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            let usage = matches!(error.code(), Code::Usage | Code::SettingsInvalid);
            if usage { ExitCode::from(EXIT_USAGE) } else { ExitCode::FAILURE }
        }
    }
}
