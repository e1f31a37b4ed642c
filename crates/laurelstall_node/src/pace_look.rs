//! A look at how fast the target works now, before a call that has a choice goes there.
//!
//! The pace of a target changes several times a second where neighbours share its host. Its answers
//! tell, but on a target with few calls the last one is too old to decide by.

use crate::{
    body::{Collected, collect},
    dialect::{HeaderDialect, TargetLoad},
    target_http::{TargetClient, target_request},
};
use bytes::Bytes;
use http::{HeaderMap, Method, header::HOST};
use http_body_util::BodyExt;
use laurelstall_config::settings::TargetSettings;
use laurelstall_guard::{clock::Clock, guard::Guard};
use laurelstall_peer::{attempt::AttemptBody, body::BodyError};
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::{
    sync::Mutex,
    time::{Duration, timeout},
};

/// Age from which the target's last word is not relied on, in µs.
const WORD_FRESH_US: u64 = 50_000;
/// How long a look may hold up a call.
const LOOK_TIMEOUT: Duration = Duration::from_millis(20);
/// Pause after a look that brought nothing, in µs.
const PAUSE_AFTER_FAILURE_US: u64 = 1_000_000;
/// Longest answer to a look that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024;

/// Looks at one target, one at a time.
#[derive(Debug, Default)]
pub struct PaceLook {
    /// Held while a look is under way: calls that come meanwhile wait for its result.
    under_way: Mutex<()>,
    /// No look before this, in µs of the node's clock.
    not_before_us: AtomicU64,
}

/// What a look needs of the guard.
#[derive(Debug, Clone, Copy)]
pub struct Looker<'a> {
    /// The node's clock.
    pub clock: Clock,
    /// Where the result goes.
    pub guard: &'a Guard,
    /// Where the target is.
    pub settings: &'a TargetSettings,
    /// The way to it.
    pub client: &'a TargetClient,
    /// The header fields it knows.
    pub dialect: &'a dyn HeaderDialect,
}

impl PaceLook {
    /// Has the target tell its pace at `path`, if its last word is old.
    pub async fn refresh(&self, looker: Looker<'_>, path: &str) {
        if !self.is_due(looker) {
            return;
        }
        let _one_at_a_time = self.under_way.lock().await;
        if !self.is_due(looker) {
            return;
        }
        match timeout(LOOK_TIMEOUT, looker.load(path)).await.ok().flatten() {
            Some(load) => looker.guard.note_slowness(load.slowness_percent),
            None => {
                let not_before_us = looker.clock.now_us() + PAUSE_AFTER_FAILURE_US;
                self.not_before_us.store(not_before_us, Ordering::Relaxed);
            }
        }
    }

    fn is_due(&self, looker: Looker<'_>) -> bool {
        let is_old = looker.guard.pace_age_us().is_none_or(|age_us| age_us > WORD_FRESH_US);
        is_old && looker.clock.now_us() >= self.not_before_us.load(Ordering::Relaxed)
    }
}

impl Looker<'_> {
    async fn load(self, path: &str) -> Option<TargetLoad> {
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
