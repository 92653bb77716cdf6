//! HTTP connections to the daemons. A caller's request can safely be retried at another daemon,
//! because all daemons treat a repeated request id as the same request.

use bulrushlink_api::{Client, HttpReply};
use bulrushlink_core::{Code, Error, Span};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::options::Parsed;

/// Timeout of a call, in addition to the time for which the daemon may delay its answer.
const CALL_MARGIN: Span = Span::from_secs(10);

/// Client for the callers' listeners of a deployment.
pub(crate) struct CallerClient {
    client: Client,
    servers: Vec<String>,
}

impl CallerClient {
    pub(crate) fn open(parsed: &Parsed, wait: Span) -> Result<Self, Error> {
        let client = Client::open(wait + CALL_MARGIN, None);
        Ok(Self { client, servers: parsed.servers()? })
    }

    pub(crate) fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<A, Error> {
        self.first_answer(|client, server| client.post(&format!("{server}{path}"), body))
    }

    pub(crate) fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        self.first_answer(|client, server| client.get(&format!("{server}{path}")))
    }

    pub(crate) fn delete<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        self.first_answer(|client, server| client.delete(&format!("{server}{path}")))
    }

    /// Calls the servers in turn and returns the first answer; a server that doesn't answer is
    /// skipped.
    fn first_answer<A: DeserializeOwned>(
        &self,
        call: impl Fn(&Client, &str) -> Result<HttpReply, Error>,
    ) -> Result<A, Error> {
        let mut last_error = Error::new(Code::Usage, "--server names no daemon");
        for server in &self.servers {
            match call(&self.client, server) {
                Ok(reply) => return reply.json(),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }
}

/// Client for the operators' listener of one daemon.
pub(crate) struct OperatorClient {
    client: Client,
    server: String,
}

impl OperatorClient {
    pub(crate) fn open(parsed: &Parsed) -> Result<Self, Error> {
        let client = Client::open(CALL_MARGIN, Some(parsed.token()?));
        Ok(Self { client, server: parsed.operator()? })
    }

    pub(crate) fn post<B: Serialize>(&self, path: &str, body: &B) -> Result<HttpReply, Error> {
        self.client.post(&format!("{}{path}", self.server), body)
    }

    pub(crate) fn get(&self, path: &str) -> Result<HttpReply, Error> {
        self.client.get(&format!("{}{path}", self.server))
    }
}
