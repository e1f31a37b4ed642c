//! Queries the target for its load and its name.
//!
//! The speed of a target can change several times a second when other processes share its host. Answers to calls report
//! it, but on a target that answers few calls the last report may be outdated.

use crate::{
    body::{Collected, collect},
    dialect::{HeaderDialect, TargetLoad},
    target_http::{TargetAnswer, TargetClient, TargetError, target_request},
    target_notice::TargetNotice,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, header::HOST};
use http_body_util::BodyExt;
use laurelstall_config::settings::TargetSettings;
use laurelstall_peer::{
    attempt::AttemptBody,
    body::{BodyError, BoxedBody},
};
use tokio::time::{Duration, timeout};

/// Timeout of a query; calls may be waiting for its result. A healthy target answers in a few ms.
const QUERY_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size in bytes of an answer.
const ANSWER_BYTES_MAX: usize = 16 * 1024;

/// Everything needed to query the target.
#[derive(Debug, Clone, Copy)]
pub struct LoadQuery<'a> {
    /// Settings of the target, with its address.
    pub settings: &'a TargetSettings,
    /// Client for the target.
    pub client: &'a TargetClient,
    /// Names and formats of header fields.
    pub dialect: &'a dyn HeaderDialect,
}

/// What a target reports about itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// Whether the target answered at all.
    pub is_answered: bool,
    /// Name of the instance, if reported.
    pub instance: Option<String>,
    /// Load, if reported.
    pub load: Option<TargetLoad>,
    /// Remaining cold start in ms, if reported.
    pub cold_ms: Option<u64>,
    /// What else the target states about itself.
    pub notice: TargetNotice,
}

impl LoadQuery<'_> {
    /// Queries the target at `path`; the report is empty if it does not answer in time.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetError`] if no connection could be opened or it broke.
    pub async fn report(self, path: &str) -> Result<LoadReport, TargetError> {
        let report = timeout(QUERY_TIMEOUT, self.query(path)).await;
        report.unwrap_or_else(|_| Ok(LoadReport::default()))
    }

    async fn query(self, path: &str) -> Result<LoadReport, TargetError> {
        let Some(request) = self.request(path) else {
            log::warn!("cannot query the load of the target: load path '{path}' is not valid");
            return Ok(LoadReport::default());
        };
        let TargetAnswer { response, connection, .. } = self.client.send(request, true).await?;
        let (parts, body) = response.into_parts();
        // An answer with an id is a late one to an earlier call; this query has none.
        if self.dialect.request_id(&parts.headers).is_some_and(|id| !id.is_empty()) {
            return Err(TargetError::Broken);
        }
        let body = body.map_err(BodyError::from).boxed_unsync();
        let Ok(Collected::Complete(_)) = collect(body, ANSWER_BYTES_MAX, QUERY_TIMEOUT).await else {
            return Err(TargetError::Broken);
        };
        if let Some(connection) = connection {
            connection.give_back();
        }
        let instance = self.dialect.instance(&parts.headers).map(str::to_owned);
        let load = self.dialect.load(&parts.headers);
        let cold_ms = self.dialect.cold_ms(&parts.headers);
        let notice = self.dialect.notice(&parts.headers);
        Ok(LoadReport { is_answered: true, instance, load, cold_ms, notice })
    }

    fn request(self, path: &str) -> Option<Request<BoxedBody>> {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, self.settings.address.to_string().parse().ok()?);
        let empty_body = AttemptBody::Whole(Bytes::new());
        target_request(self.settings, Method::GET.as_str(), path, headers, empty_body)
    }
}
