//! Asks the target how fast it works and who it is.
//!
//! The pace of a target changes several times a second where neighbours share its host. Its answers
//! tell it, but on a target with few calls, or one that holds its calls, the last answer is too old to
//! decide by.

use crate::{
    body::{Collected, collect},
    dialect::{HeaderDialect, TargetLoad},
    target_http::{TargetClient, TargetError, target_request},
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, header::HOST};
use http_body_util::BodyExt;
use laurelstall_config::settings::TargetSettings;
use laurelstall_peer::{
    attempt::AttemptBody,
    body::{AnswerBody, BodyError},
};
use tokio::time::{Duration, timeout};

/// How long an answer is waited for: calls wait for it, and a sound target answers in a few ms.
const LOOK_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest answer that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024;

/// What is needed to ask the target.
#[derive(Debug, Clone, Copy)]
pub struct PaceLook<'a> {
    /// Where the target is.
    pub settings: &'a TargetSettings,
    /// The way to it.
    pub client: &'a TargetClient,
    /// The header fields it knows.
    pub dialect: &'a dyn HeaderDialect,
}

/// What a target told of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LookReport {
    /// Whether it answered at all.
    pub is_answered: bool,
    /// The name it gives itself.
    pub instance: Option<String>,
    /// How busy it is.
    pub load: Option<TargetLoad>,
    /// How much longer it is cold, in ms; none when it said nothing.
    pub cold_ms: Option<u64>,
}

impl PaceLook<'_> {
    /// Has the target tell of itself at `path`; an empty report when it does not in time.
    ///
    /// # Errors
    ///
    /// [`TargetError`] when it took no connection, or broke it.
    pub async fn report(self, path: &str) -> Result<LookReport, TargetError> {
        let asked = timeout(LOOK_TIMEOUT, self.ask(path)).await;
        asked.unwrap_or_else(|_| Ok(LookReport::default()))
    }

    async fn ask(self, path: &str) -> Result<LookReport, TargetError> {
        let Some(request) = self.request(path) else {
            log::warn!("the target cannot be asked at '{path}': it is no path");
            return Ok(LookReport::default());
        };
        let (response, connection) = self.client.send(request, true).await?;
        let (parts, body) = response.into_parts();
        let body = body.map_err(BodyError::from).boxed_unsync();
        let read = collect(body, ANSWER_BYTES_MAX, LOOK_TIMEOUT).await;
        if let (Ok(Collected::Whole(_)), Some(connection)) = (read, connection) {
            connection.give_back();
        }
        let instance = self.dialect.instance(&parts.headers).map(str::to_owned);
        let load = self.dialect.load(&parts.headers);
        Ok(LookReport { is_answered: true, instance, load, cold_ms: self.dialect.cold_ms(&parts.headers) })
    }

    fn request(self, path: &str) -> Option<Request<AnswerBody>> {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, self.settings.address.to_string().parse().ok()?);
        let nothing = AttemptBody::Whole(Bytes::new());
        target_request(self.settings, Method::GET.as_str(), path, headers, nothing)
    }
}
