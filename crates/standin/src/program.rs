//! Behavior of a simulated task, parsed from its job's input.

use bulrushlink_core::Span;

/// Run time of a task whose input gives none, in milliseconds.
const DEFAULT_RUN_MS: u64 = 1_000;
/// FNV-1a, 64 bits: offset basis.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a, 64 bits: prime.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Behavior of a task. `sleep 1500` runs for 1500 ms and completes, `fail` fails at once, and
/// `sleep 500 fail` fails after 500 ms; `unsaved` makes checkpoints fail. Any other input runs for
/// one second and completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Program {
    /// Run time at full speed.
    pub run: Span,
    /// Whether the task fails at the end of its run time.
    pub fails: bool,
    /// Whether checkpoints of the task succeed.
    pub saves: bool,
    digest: u64,
}

impl Program {
    /// Parses a job's input.
    pub fn parse(input: &str) -> Self {
        let words: Vec<&str> = input.split_whitespace().collect();
        let fails = words.contains(&"fail");
        let after_sleep = words.iter().position(|w| *w == "sleep").and_then(|i| words.get(i + 1));
        let slept = after_sleep.and_then(|w| w.parse().ok());
        let run = Span(slept.unwrap_or(if fails { 0 } else { DEFAULT_RUN_MS }));
        Self { run, fails, saves: !words.contains(&"unsaved"), digest: Self::digest(input) }
    }

    /// Returns the output of the task of the given index; it depends only on the input and the
    /// index.
    pub fn output(&self, task: u16) -> String {
        format!("{:016x}.{task}", self.digest)
    }

    fn digest(input: &str) -> u64 {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        input.bytes().fold(FNV_BASIS, step)
    }
}
