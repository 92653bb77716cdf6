//! Options of the command line. All commands accept the same set, so that a script can pass the
//! same options to each.

use bulrushlink_api::{SubmitBody, from_json};
use bulrushlink_core::{Code, Error, JobKey, Shape, Span, Urgency};
use getopts::{Matches, Options};
use serde::de::DeserializeOwned;
use std::io::Read;
use std::str::FromStr;

/// Environment variable with the default for `--server`.
const SERVER_ENV: &str = "BULRUSHLINK_SERVER";
/// Environment variable with the default for `--operator`.
const OPERATOR_ENV: &str = "BULRUSHLINK_OPERATOR";
/// Environment variable with the operators' token, used without `--token-file`.
const TOKEN_ENV: &str = "BULRUSHLINK_TOKEN";
/// Default for the longest time that `wait` and `note apply` take.
const DEFAULT_WAIT: Span = Span::from_secs(300);

/// The options and operands of one command.
pub(crate) struct Parsed {
    matches: Matches,
}

impl Parsed {
    /// Parses the arguments that follow the name of the command.
    pub(crate) fn parse(args: &[String]) -> Result<Self, Error> {
        let matches = Self::options().parse(args);
        matches.map(|matches| Self { matches }).map_err(|e| Error::new(Code::Usage, e.to_string()))
    }

    /// Returns the help text: `brief`, followed by the list of options.
    pub(crate) fn usage(brief: &str) -> String {
        Self::options().usage(brief)
    }

    fn options() -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "show this help");
        options.optflag("", "json", "write the answer as JSON");
        options.optopt("s", "server", "callers' listeners, tried in turn", "URL[,URL...]");
        options.optopt("o", "operator", "operators' listener", "URL");
        options.optopt("", "token-file", "file with the operators' token", "FILE");
        options.optopt("f", "file", "jobs as a JSON object or list; - for standard input", "FILE");
        options.optopt("", "wait", "longest time to wait, such as 30s", "TIME");
        options.optflag("", "no-wait", "note apply: return once the note is written");
        options.optflag("", "why", "status: with the reason");
        options.optopt("w", "workspace", "submit: workspace", "ID");
        options.optopt("r", "request", "submit: request identifier", "ID");
        options.optopt("k", "kind", "submit: kind of job", "ID");
        options.optopt("", "tasks", "submit: tasks of the gang, 1 by default", "N");
        options.optopt("a", "accelerators", "submit: accelerators of each task", "N");
        options.optopt("", "adjacency", "submit: domain, rack or worker", "NAME");
        options.optopt("", "urgency", "submit: urgent, normal or batch", "NAME");
        options.optopt("", "declared", "submit: expected run time, such as 10m", "TIME");
        options.optopt("", "deadline", "submit: time to complete within", "TIME");
        options.optopt("d", "domain", "submit: failure domain to run in", "ID");
        options.optopt("i", "input", "submit: input of the tasks", "TEXT");
        options.optflag("", "idempotent", "submit: a second run does no harm");
        options.optflag("", "checkpoint", "submit: can be stopped and resumed");
        options
    }

    /// Returns true if `--json` was given.
    pub(crate) fn json(&self) -> bool {
        self.matches.opt_present("json")
    }

    /// Returns true if the flag was given.
    pub(crate) fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Returns the URLs of the callers' listeners.
    pub(crate) fn servers(&self) -> Result<Vec<String>, Error> {
        let text = self.option_or_env("server", SERVER_ENV)?;
        Ok(text.split(',').map(|url| url.trim_end_matches('/').to_string()).collect())
    }

    /// Returns the URL of the operators' listener.
    pub(crate) fn operator(&self) -> Result<String, Error> {
        let text = self.option_or_env("operator", OPERATOR_ENV)?;
        Ok(text.trim_end_matches('/').to_string())
    }

    /// Returns the operators' token.
    pub(crate) fn token(&self) -> Result<String, Error> {
        match self.matches.opt_str("token-file") {
            Some(path) => Ok(read_file(&path)?.trim().to_string()),
            None => std::env::var(TOKEN_ENV).map_err(|_| {
                Error::new(Code::Usage, format!("--token-file or {TOKEN_ENV} is needed"))
            }),
        }
    }

    fn option_or_env(&self, name: &str, variable: &str) -> Result<String, Error> {
        let given = self.matches.opt_str(name).or_else(|| std::env::var(variable).ok());
        given.ok_or_else(|| Error::new(Code::Usage, format!("--{name} or {variable} is needed")))
    }

    /// Returns the longest time to wait: `--wait` or its default.
    pub(crate) fn wait_timeout(&self) -> Result<Span, Error> {
        Ok(self.opt("wait")?.unwrap_or(DEFAULT_WAIT))
    }

    /// Returns the key of the job that the operand names.
    pub(crate) fn job(&self) -> Result<JobKey, Error> {
        self.operand("WORKSPACE/REQUEST")?.parse()
    }

    /// Returns the only operand.
    pub(crate) fn operand(&self, what: &str) -> Result<&str, Error> {
        match self.matches.free.as_slice() {
            [operand] => Ok(operand),
            _ => Err(Error::new(Code::Usage, format!("exactly one {what} is needed"))),
        }
    }

    /// Returns the jobs to submit: those in `--file`, or the one described by the options.
    pub(crate) fn bodies(&self) -> Result<Vec<SubmitBody>, Error> {
        let Some(path) = self.matches.opt_str("file") else {
            return Ok(vec![self.body()?]);
        };
        let text = read_file(&path)?;
        if text.trim_start().starts_with('[') {
            return read_json(&path, &text);
        }
        read_json(&path, &text).map(|body| vec![body])
    }

    fn body(&self) -> Result<SubmitBody, Error> {
        Ok(SubmitBody {
            workspace: self.required("workspace")?,
            request: self.required("request")?,
            kind: self.required("kind")?,
            shape: Shape {
                tasks: self.opt("tasks")?.unwrap_or(1),
                accelerators: self.required("accelerators")?,
                adjacency: self.opt("adjacency")?.unwrap_or_default(),
            },
            urgency: self.opt("urgency")?.unwrap_or(Urgency::Normal),
            declared: self.required("declared")?,
            deadline: self.opt("deadline")?,
            idempotent: self.flag("idempotent"),
            checkpoint: self.flag("checkpoint"),
            domain: self.opt("domain")?,
            input: self.matches.opt_str("input").unwrap_or_default(),
            wait: self.opt("wait")?,
        })
    }

    fn required<T: FromStr<Err: ToString>>(&self, name: &str) -> Result<T, Error> {
        let value = self.opt(name)?;
        value.ok_or_else(|| Error::new(Code::Usage, format!("--{name} is needed")))
    }

    fn opt<T: FromStr<Err: ToString>>(&self, name: &str) -> Result<Option<T>, Error> {
        let Some(text) = self.matches.opt_str(name) else { return Ok(None) };
        let invalid = |e: T::Err| Error::at(Code::Usage, format!("--{name}"), e.to_string());
        text.parse().map(Some).map_err(invalid)
    }
}

/// Parses the JSON text of a file; an error names the file and the field.
pub(crate) fn read_json<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, Error> {
    from_json(text).map_err(|error| error.with_prefix(&format!("{path}:")))
}

/// Reads a whole file, or standard input for `-`.
pub(crate) fn read_file(path: &str) -> Result<String, Error> {
    let mut text = String::new();
    let result = match path {
        "-" => std::io::stdin().read_to_string(&mut text).map(|_| text),
        path => std::fs::read_to_string(path),
    };
    result.map_err(|e| Error::at(Code::Usage, path, e.to_string()))
}
