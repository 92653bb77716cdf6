//! The HTTP API for operators.

use bulrushlink_api::{OperatorCall, from_json};
use bulrushlink_core::{Code, Error, Span};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use tiny_http::{Method, Request};

use crate::answers::Answer;
use crate::caller_http::no_such_path;
use crate::edge::Input;
use crate::listener::{Api, Incoming, ParsedRequest};
use bulrushlink_telemetry::MetricsPage;

/// Authorizes and parses operators' requests, and serves the metrics page.
pub(crate) struct OperatorApi {
    /// HMAC keyed with the operators' token.
    mac: Hmac<Sha256>,
    metrics: MetricsPage,
}

impl OperatorApi {
    pub(crate) fn new(token: &str, metrics: MetricsPage) -> Self {
        let mac = Hmac::new_from_slice(token.as_bytes());
        Self { mac: mac.expect("HMAC rejected the operators' token as a key"), metrics }
    }

    /// Returns true if `presented` is the operators' token. Compares MACs of the same text instead
    /// of the tokens, so that the time of the comparison reveals nothing about the token.
    fn is_operator_token(&self, presented: &str) -> bool {
        const TEXT: &[u8] = b"operator";
        let other: Hmac<Sha256> = Hmac::new_from_slice(presented.as_bytes())
            .expect("HMAC rejected the presented token as a key");
        let other = other.chain_update(TEXT).finalize().into_bytes();
        self.mac.clone().chain_update(TEXT).verify(&other).is_ok()
    }
}

impl Api for OperatorApi {
    fn authorize(&self, request: &Request) -> Result<(), Error> {
        let header = request.headers().iter().find(|h| h.field.equiv("Authorization"));
        let token = header.and_then(|h| h.value.as_str().strip_prefix("Bearer "));
        if token.is_some_and(|token| self.is_operator_token(token)) {
            return Ok(());
        }
        Err(Error::new(Code::Unauthorised, "operators present `Authorization: Bearer TOKEN`"))
    }

    fn parse(&self, incoming: Incoming) -> Result<ParsedRequest, Error> {
        let call = match (&incoming.method, incoming.path.as_str()) {
            (Method::Get, "/metrics") => {
                return Ok(ParsedRequest::Answer(Answer::metrics(self.metrics.render())));
            }
            (Method::Post, "/v1/note/check") => OperatorCall::Check(from_json(&incoming.body)?),
            (Method::Post, "/v1/note/diff") => OperatorCall::Diff(from_json(&incoming.body)?),
            (Method::Post, "/v1/note") => OperatorCall::Apply(from_json(&incoming.body)?),
            (Method::Get, "/v1/note") => OperatorCall::Show,
            (Method::Get, "/v1/domains") => OperatorCall::Domains,
            (Method::Post, "/v1/drain") => OperatorCall::Drain,
            (Method::Get, "/v1/dump") => OperatorCall::Dump,
            _ => return Err(no_such_path(&incoming)),
        };
        Ok(ParsedRequest::Forward(Box::new(move |token| Input::Operator(token, call))))
    }

    fn error_answer(&self, error: &Error, retry: Option<Span>) -> Answer {
        Answer::operator_error(error, retry)
    }
}
