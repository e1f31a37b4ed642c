//! The limits on callers in force: those of the settings, and what is published beside them.

use arc_swap::ArcSwap;
use laurelstall_config::{settings::CallerLimits, system::PublishedCallerLimits};
use std::sync::{Arc, Mutex, PoisonError};

/// Limits that change while the node runs; whoever reads them gets one consistent value.
#[derive(Debug)]
pub struct CallerRules {
    in_force: ArcSwap<CallerLimits>,
    sources: Mutex<Sources>,
}

#[derive(Debug)]
struct Sources {
    settings: CallerLimits,
    published: PublishedCallerLimits,
}

impl CallerRules {
    /// The limits of the settings.
    pub fn new(settings: CallerLimits) -> Arc<Self> {
        let sources = Sources { settings, published: PublishedCallerLimits::default() };
        Arc::new(Self { in_force: ArcSwap::from_pointee(settings), sources: Mutex::new(sources) })
    }

    /// The limits in force.
    pub fn now(&self) -> CallerLimits {
        **self.in_force.load()
    }

    /// Takes reloaded settings.
    pub fn set_settings(&self, settings: CallerLimits) {
        self.change(|sources| sources.settings = settings);
    }

    /// Takes what is published.
    pub fn set_published(&self, published: PublishedCallerLimits) {
        self.change(|sources| sources.published = published);
    }

    fn change(&self, change: impl FnOnce(&mut Sources)) {
        let mut sources = self.sources.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut sources);
        let limits = sources.published.applied_to(sources.settings);
        self.in_force.store(Arc::new(limits));
    }
}
