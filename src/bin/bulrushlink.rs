//! Command-line client of bulrushlink for callers and operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let status = bulrushlink_cli::run(&args, &mut std::io::stdout(), &mut std::io::stderr());
    ExitCode::from(status.code())
}
