//! Simulates the platform in tests and examples.

use bulrushlink_core::Code;
use bulrushlink_standin::Running;
use std::process::ExitCode;

/// Exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match Running::open(&args) {
        Ok(Running::Help) => ExitCode::SUCCESS,
        Ok(_running) => loop {
            std::thread::park();
        },
        Err(error) => {
            eprintln!("{error}");
            let usage = error.code() == Code::Usage;
            if usage { ExitCode::from(EXIT_USAGE) } else { ExitCode::FAILURE }
        }
    }
}
