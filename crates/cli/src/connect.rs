//! Reaching a daemon. A caller's request may be repeated at the next daemon, because every daemon
//! takes the same request identifier for the same request.

use bulrushlink_api::{Client, HttpReply};
use bulrushlink_core::{Code, Error, Span};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::options::Parsed;

/// Time-out of a call on top of the time it may wait.
const CALL_MARGIN: Span = Span::from_secs(10);

/// The callers' listeners of a deployment.
pub(crate) struct Callers {
    client: Client,
    servers: Vec<String>,
}

impl Callers {
    pub(crate) fn open(parsed: &Parsed, wait: Span) -> Result<Self, Error> {
        let client = Client::open(wait + CALL_MARGIN, None);
        Ok(Self { client, servers: parsed.servers()? })
    }

    pub(crate) fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<A, Error> {
        self.first(|client, server| client.post(&format!("{server}{path}"), body))
    }

    pub(crate) fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        self.first(|client, server| client.get(&format!("{server}{path}")))
    }

    pub(crate) fn delete<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        self.first(|client, server| client.delete(&format!("{server}{path}")))
    }

    /// Returns the first answer; a daemon that gives none is passed over.
    fn first<A: DeserializeOwned>(
        &self,
        call: impl Fn(&Client, &str) -> Result<HttpReply, Error>,
    ) -> Result<A, Error> {
        let mut last = Error::new(Code::Usage, "--server names no daemon");
        for server in &self.servers {
            match call(&self.client, server) {
                Ok(reply) => return reply.json(),
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}

/// The operators' listener of one daemon.
pub(crate) struct Operators {
    client: Client,
    server: String,
}

impl Operators {
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
