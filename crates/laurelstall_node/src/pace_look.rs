//! Asks the target how fast it works, while calls wait for a slot and its last report is old.
//!
//! The pace of a target changes several times a second where neighbours share its host. Its answers
//! tell it, but on a target with few calls, or one that holds its calls, the last answer is too old to
//! decide by.

use crate::{
    body::{Collected, collect},
    dialect::{HeaderDialect, TargetLoad},
    target_http::{TargetClient, target_request},
};
use bytes::Bytes;
use http::{HeaderMap, Method, header::HOST};
use http_body_util::BodyExt;
use laurelstall_config::settings::TargetSettings;
use laurelstall_peer::{attempt::AttemptBody, body::BodyError};
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

impl PaceLook<'_> {
    /// Has the target tell its load at `path`; none when it does not in time.
    pub async fn load(self, path: &str) -> Option<TargetLoad> {
        timeout(LOOK_TIMEOUT, self.ask(path)).await.ok().flatten()
    }

    async fn ask(self, path: &str) -> Option<TargetLoad> {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, self.settings.address.to_string().parse().ok()?);
        let nothing = AttemptBody::Whole(Bytes::new());
        let request = target_request(self.settings, Method::GET.as_str(), path, headers, nothing)?;
        let (response, connection) = self.client.send(request, true).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = body.map_err(BodyError::from).boxed_unsync();
        let read = collect(body, ANSWER_BYTES_MAX, LOOK_TIMEOUT).await;
        if let (Ok(Collected::Whole(_)), Some(connection)) = (read, connection) {
            connection.give_back();
        }
        self.dialect.load(&parts.headers)
    }
}
