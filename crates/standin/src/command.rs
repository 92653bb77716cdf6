//! The program `bulrushlink-standin`, which runs a simulated platform or the workers of a
//! deployment.

use bulrushlink_core::{Code, Error};
use getopts::{Matches, Options};
use std::net::SocketAddr;

use crate::deployment::Deployment;
use crate::platform::Platform;
use crate::workers::Workers;

const BRIEF: &str = "Usage: bulrushlink-standin platform --listen IP:PORT
       bulrushlink-standin workers --listen IP:PORT --platform URL --deployment NAME|FILE

Takes the platform's place in tests and examples. Prints one JSON line with the bound address.";

/// A running stand-in, which stops when it is dropped.
pub enum Running {
    /// The store and the host list.
    Platform(Platform),
    /// The workers of a deployment.
    Workers(Workers),
    /// Nothing: the help was printed.
    Help,
}

impl Running {
    /// Starts the stand-in that the arguments (without the program name) select, and prints its
    /// address.
    ///
    /// # Errors
    ///
    /// [`Code::Usage`] if the arguments are invalid, and the errors of [`Platform::bind`] and
    /// [`Workers::bind`].
    pub fn open(args: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "listen", "address to listen on; port 0 takes a free one", "IP:PORT");
        options.optopt("", "platform", "URL of the platform to register with", "URL");
        options.optopt("", "deployment", "guardavia, tirta-kaca or a JSON file", "NAME|FILE");
        options.optflag("h", "help", "print this help");
        let usage = |text: String| Error::new(Code::Usage, text);
        let matches = options.parse(args).map_err(|e| usage(e.to_string()))?;
        if matches.opt_present("help") {
            println!("{}", options.usage(BRIEF));
            return Ok(Self::Help);
        }
        let listen = Self::required(&matches, "listen")?;
        let listen: SocketAddr =
            listen.parse().map_err(|_| usage(format!("{listen:?} is not an IP:PORT")))?;
        match matches.free.as_slice() {
            [what] if what == "platform" => {
                let platform = Platform::bind(listen)?;
                Self::print_addr("platform", platform.addr());
                Ok(Self::Platform(platform))
            }
            [what] if what == "workers" => {
                let url = Self::required(&matches, "platform")?;
                let deployment = Deployment::read(&Self::required(&matches, "deployment")?)?;
                let workers = Workers::bind(listen, &deployment, Some(&url))?;
                Self::print_addr("workers", workers.addr());
                Ok(Self::Workers(workers))
            }
            _ => Err(usage("one of `platform` and `workers` is needed".to_string())),
        }
    }

    fn required(matches: &Matches, name: &str) -> Result<String, Error> {
        let missing = || Error::new(Code::Usage, format!("--{name} is missing"));
        matches.opt_str(name).ok_or_else(missing)
    }

    fn print_addr(what: &str, addr: SocketAddr) {
        println!("{}", serde_json::json!({ "standin": what, "addr": addr }));
    }
}
