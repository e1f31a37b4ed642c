//! Loans of retry tokens between nodes.
//!
//! They use the messages of quotas. A key name that no workspace has marks them, so a node of an earlier version answers
//! that it may not grant any. Amounts are thousandths of a token, and the retry time of a grant is the lifetime of the
//! tokens.

use crate::{active_config::ActiveConfig, services::Services};
use laurelstall_balance::shared_retry_budget::TokenLoan;
use laurelstall_guard::clock::Clock;
use laurelstall_peer::message::PeerAnswer;
use laurelstall_workspace::owned_shares::{Grant, ShareKey};
use std::sync::Arc;

/// Begin of the key names of retry tokens; the name of the service follows.
const KEY_PREFIX: &str = "retry-tokens:";
/// Units of an amount in a message in one token.
const UNITS_PER_TOKEN: f64 = 1_000.0;

/// Returns the key of the retry tokens of a service.
pub fn key_of(service: &str) -> ShareKey {
    ShareKey { workspace: format!("{KEY_PREFIX}{service}"), share: 0 }
}

/// Converts a part of a token to the amount in a message; rounds up, so that loans that round down still suffice.
pub fn amount_of(tokens: f64) -> u32 {
    (tokens * UNITS_PER_TOKEN).ceil() as u32 + 1
}

/// Converts a grant to a loan.
pub fn loan_of(grant: Grant) -> TokenLoan {
    TokenLoan { tokens: f64::from(grant.tokens) / UNITS_PER_TOKEN, lifetime_us: grant.retry_after_us }
}

/// Lends retry tokens of this node to others.
#[derive(Debug, Clone)]
pub struct RetryLender {
    /// The node's clock.
    pub clock: Clock,
    /// The current configuration.
    pub active: Arc<ActiveConfig>,
    /// The services, each with its retry budget.
    pub services: Arc<Services>,
}

impl RetryLender {
    /// Answers a request for retry tokens; `None` if the key is not one of retry tokens.
    pub fn answer(&self, key: &ShareKey, wanted: u32) -> Option<PeerAnswer> {
        let service = key.workspace.strip_prefix(KEY_PREFIX)?;
        Some(PeerAnswer::Tokens(self.lend(service, wanted)))
    }

    fn lend(&self, service: &str, wanted: u32) -> Option<Grant> {
        let state = self.services.get_uncalled(&self.active.load(), service)?;
        let wanted = f64::from(wanted) / UNITS_PER_TOKEN;
        let loan = state.balancer().lend_retry_tokens(wanted, self.clock.now_us())?;
        let tokens = (loan.tokens * UNITS_PER_TOKEN) as u32;
        Some(Grant { tokens, retry_after_us: loan.lifetime_us })
    }
}
