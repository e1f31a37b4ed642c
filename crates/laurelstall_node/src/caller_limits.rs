//! The current limits on callers: the node's settings, overridden by the published configuration.

use arc_swap::ArcSwap;
use laurelstall_config::{settings::CallerLimits, system::PublishedCallerLimits};
use std::sync::{Arc, Mutex, PoisonError};

/// Limits that can change while the node runs; each read returns a consistent set.
#[derive(Debug)]
pub struct ActiveCallerLimits {
    current: ArcSwap<CallerLimits>,
    sources: Mutex<Sources>,
}

#[derive(Debug)]
struct Sources {
    settings: CallerLimits,
    published: PublishedCallerLimits,
}

impl ActiveCallerLimits {
    /// Starts with the limits of the settings.
    pub fn new(settings: CallerLimits) -> Arc<Self> {
        let sources = Sources { settings, published: PublishedCallerLimits::default() };
        Arc::new(Self { current: ArcSwap::from_pointee(settings), sources: Mutex::new(sources) })
    }

    /// Returns the current limits.
    pub fn current(&self) -> CallerLimits {
        **self.current.load()
    }

    /// Replaces the limits of the settings after a reload.
    pub fn set_settings(&self, settings: CallerLimits) {
        self.update(|sources| sources.settings = settings);
    }

    /// Replaces the published limits.
    pub fn set_published(&self, published: PublishedCallerLimits) {
        self.update(|sources| sources.published = published);
    }

    fn update(&self, change: impl FnOnce(&mut Sources)) {
        let mut sources = self.sources.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut sources);
        let limits = sources.published.applied_to(sources.settings);
        self.current.store(Arc::new(limits));
    }
}
