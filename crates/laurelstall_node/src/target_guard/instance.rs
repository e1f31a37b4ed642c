//! Which instance a request is sent to, and what is learnt of it from answers.

use super::Inner;
use crate::{
    counters::count,
    pace_look::{LookReport, PaceLook},
    target_http::TargetError,
};
use laurelstall_guard::{
    refusal::{Refusal, RefusalReason},
    target_identity::{Claim, TargetIdentity},
};
use std::sync::{MutexGuard, PoisonError};

/// The refusal of a call that no instance beside this node may get for `wait_us`.
pub(super) fn absent(wait_us: u64) -> Refusal {
    let retry_after_ms = wait_us.div_ceil(1_000).try_into().unwrap_or(u32::MAX);
    Refusal::new(RefusalReason::OtherTarget).with_retry_after_ms(retry_after_ms)
}

impl Inner {
    pub(super) fn identity(&self) -> MutexGuard<'_, TargetIdentity> {
        self.identity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The name under which one request may be sent now; asks the instance who it is where that is not known.
    ///
    /// # Errors
    ///
    /// A refusal: nothing was sent.
    pub(super) async fn claim_instance(&self) -> Result<String, Refusal> {
        let can_ask = self.guard.can_look();
        let mut claim = self.identity().claim(can_ask, self.clock.now_us());
        if claim == Claim::Ask {
            let _asking = self.asking_identity.lock().await;
            // Whoever asked meanwhile may have had the answer.
            claim = self.identity().claim(can_ask, self.clock.now_us());
            if claim == Claim::Ask {
                claim = self.ask_identity().await;
            }
        }
        match claim {
            Claim::SendAs(name) => Ok(name),
            Claim::Refuse { wait_us } => Err(absent(wait_us)),
            Claim::Ask => unreachable!("an answer leads to another claim"),
        }
    }

    async fn ask_identity(&self) -> Claim {
        count(&self.counters.identity_looks);
        if self.look().await.is_err_and(|error| error == TargetError::NoConnection) {
            return TargetIdentity::claim_unreached();
        }
        self.identity().claim_after_word(self.clock.now_us())
    }

    /// Asks the target once how fast it works.
    pub(super) async fn look_at_pace(&self) {
        count(&self.counters.pace_looks);
        if self.look().await.is_err() {
            self.guard.note_look(None);
        }
    }

    /// Has the target tell of itself, and learns from it.
    async fn look(&self) -> Result<(), TargetError> {
        let asked_us = self.clock.now_us();
        let report = match self.report().await {
            Err(TargetError::Broken) => LookReport::default(),
            report => report?,
        };
        self.guard.note_look(report.load.map(|load| load.slowness_percent));
        if let Some(cold_ms) = report.cold_ms {
            self.guard.note_cold(cold_ms, asked_us);
        }
        // A target that was too slow to answer has not said that it has no name.
        if report.is_answered {
            self.note_word(report.instance.as_deref());
        } else {
            self.identity().note_silence(self.clock.now_us());
        }
        Ok(())
    }

    pub(super) async fn report(&self) -> Result<LookReport, TargetError> {
        let (Some(settings), Some(client)) = (&self.settings, &self.client) else {
            return Err(TargetError::NoConnection);
        };
        let in_force = self.active.load();
        let path = self.own_target(&in_force).map_or("", |(service, _)| &service.load_path);
        let look = PaceLook { settings, client, dialect: &*self.dialect };
        look.report(path).await
    }

    fn note_word(&self, name: Option<&str>) {
        let mut identity = self.identity();
        let before = identity.name().to_owned();
        let was_in_doubt = identity.is_in_doubt();
        identity.note_word(name, self.clock.now_us());
        let after = identity.name().to_owned();
        let is_in_doubt = identity.is_in_doubt();
        drop(identity);
        if before != after {
            log::info!(
                "own target: it says that it is '{after}', which no list names yet, in place of '{before}'"
            );
        }
        if is_in_doubt && !was_in_doubt {
            let said = name.unwrap_or_default();
            log::warn!("own target: it says that it is '{said}', not '{after}': one call finds out");
        }
    }

    /// Learns that a request ran that was sent under `name`.
    pub(super) fn note_ran(&self, name: &str) {
        let mut identity = self.identity();
        let was_in_doubt = identity.is_in_doubt();
        identity.note_ran(name);
        if was_in_doubt && !identity.is_in_doubt() {
            log::info!("own target: it runs requests for '{name}' again");
        }
    }

    /// Learns that the target answered a request sent under `name` that it is another one.
    pub(super) fn note_denied(&self, name: &str) {
        count(&self.counters.target_denials);
        self.guard.forget_cold();
        let mut identity = self.identity();
        let was_in_doubt = identity.is_in_doubt();
        identity.note_denied(name, self.clock.now_us());
        if !was_in_doubt && identity.is_in_doubt() {
            log::warn!("own target: it denies that it is '{name}': it is asked before it gets more");
        }
    }
}
