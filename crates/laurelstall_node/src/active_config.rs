//! The current configuration with its compiled programs, swapped atomically as one value.

use crate::metrics::{latency_histogram, record_us};
use arc_swap::ArcSwap;
use laurelstall_config::{
    configuration::{CheckedDocument, Configuration},
    document::{Document, DocumentName},
    fleet::{Fleet, FleetTarget},
    problem::{Checker, ConfigError},
    system::ReplicationSettings,
    team::Team,
};
use laurelstall_peer::{
    fleet_corrections::FleetCorrections,
    fleet_corrector::{FleetCorrector, REGISTRATION_GRACE},
    replicator::ReplicationView,
    store::Acceptor,
};
use laurelstall_policy::program::{Program, ProgramError};
use laurelstall_workspace::key_directory::KeyDirectory;
use prometheus_client::metrics::histogram::Histogram;
use std::{
    collections::BTreeMap,
    future::pending,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{
    sync::watch,
    time::{Duration, Instant, sleep_until},
};

/// An immutable snapshot of the configuration that a node uses.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    /// The checked documents.
    pub configuration: Configuration,
    /// The compiled program of each team.
    pub programs: BTreeMap<String, Arc<Program>>,
    /// The workspaces of each team, indexed by their keys.
    pub keys: BTreeMap<String, Arc<KeyDirectory>>,
    /// Increases with each change, so that derived state can tell whether it is out of date.
    pub generation: u64,
}

/// Maximum number of target names in one log line. A list may lack hundreds of targets.
const LOGGED_NAMES_MAX: usize = 8;
/// Maximum number of problems of one document that are logged.
const LOGGED_PROBLEMS_MAX: usize = 8;

/// Holds the current configuration and applies new documents to it.
#[derive(Debug)]
pub struct ActiveConfig {
    snapshot: ArcSwap<ConfigSnapshot>,
    /// Held while the next snapshot is built, so that concurrent updates do not overwrite each other.
    update_lock: Mutex<()>,
    changed: watch::Sender<u64>,
    /// After a platform outage, the time until which targets that are missing from the host list are retained. `None`
    /// when none are.
    retain_until: Mutex<Option<Instant>>,
    /// The host list as published, with the corrections that hold after the platform was restored from an older copy.
    corrector: Mutex<FleetCorrector>,
    /// Number of restores of the platform from an older copy, as seen from its host lists.
    pub restores: AtomicU64,
    /// Delay from the first read of a version from the platform to its taking effect at this node.
    pub version_delays: Histogram,
}

impl ActiveConfig {
    /// Starts with an empty configuration.
    pub fn new() -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        Arc::new(Self {
            snapshot: ArcSwap::default(),
            update_lock: Mutex::default(),
            changed,
            retain_until: Mutex::default(),
            corrector: Mutex::default(),
            restores: AtomicU64::new(0),
            version_delays: latency_histogram(),
        })
    }

    /// Returns the current snapshot. A request uses the same snapshot from start to end.
    pub fn load(&self) -> Arc<ConfigSnapshot> {
        self.snapshot.load_full()
    }

    /// Waits until the next retained target or correction of the host list expires, and applies the change. Waits forever
    /// when nothing is due to expire.
    pub async fn apply_next_expiry(&self) {
        let retention_end = *self.retain_until();
        let corrections_end = self.corrector().next_change(Instant::now());
        let Some(next) = retention_end.into_iter().chain(corrections_end).min() else {
            return pending().await;
        };
        sleep_until(next).await;
        self.refresh_fleet();
    }

    /// Applies the host list that holds now, if it differs from the current one.
    fn refresh_fleet(&self) {
        let _guard = self.update_lock();
        let old = self.snapshot.load_full();
        let before = &old.configuration.fleet;
        let listed = self.corrector().fleet(Instant::now());
        let fleet = self.retain_missing(listed, before);
        if fleet == *before {
            return;
        }
        let missing = before.targets.len().saturating_sub(fleet.targets.len());
        if missing > 0 {
            log::info!("{missing} targets are still missing from the host list and are removed");
        }
        let version = old.configuration.version(&DocumentName::Fleet);
        let checked = CheckedDocument::Fleet(fleet);
        let configuration = old.configuration.with_document(&DocumentName::Fleet, version, checked);
        self.publish(ConfigSnapshot {
            configuration,
            programs: old.programs.clone(),
            keys: old.keys.clone(),
            generation: old.generation + 1,
        });
    }

    fn publish(&self, snapshot: ConfigSnapshot) {
        let generation = snapshot.generation;
        self.snapshot.store(Arc::new(snapshot));
        self.changed.send_replace(generation);
    }

    /// Returns the host list to apply for one that the platform published: with the corrections that hold after a restore
    /// of the platform from an older copy, and with the targets that are retained after a platform outage.
    fn correct_fleet(&self, listed: Arc<Fleet>, era: u64, before: &Fleet) -> Arc<Fleet> {
        let now = Instant::now();
        let mut corrector = self.corrector();
        let is_restored = corrector.update(listed, era, before, now);
        let corrected = corrector.fleet(now);
        let corrections = is_restored.then(|| corrector.corrections_summary());
        drop(corrector);
        if let Some(corrections) = corrections {
            self.restores.fetch_add(1, Ordering::Relaxed);
            log::warn!("the platform was restored from an older copy, era {era}: {corrections}");
        }
        self.retain_missing(corrected, before)
    }

    /// Adds targets that are missing from `listed` because their registrations may have expired during a platform outage.
    fn retain_missing(&self, listed: Arc<Fleet>, before: &Fleet) -> Arc<Fleet> {
        let mut retain_until = self.retain_until();
        // After the grace period, the list is applied unchanged.
        retain_until.take_if(|until| Instant::now() >= *until);
        if retain_until.is_none() {
            return listed;
        }
        drop(retain_until);
        let Some(extended) = listed.with_missing_targets(before) else { return listed };
        // Retained targets follow the listed ones.
        let missing = &extended.targets[listed.targets.len()..];
        let count = missing.len();
        let names = first_names(missing);
        log::info!(
            "{count} targets are missing from the host list after a platform outage and are retained for now: {names}"
        );
        Arc::new(extended)
    }

    fn update_lock(&self) -> MutexGuard<'_, ()> {
        self.update_lock.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retain_until(&self) -> MutexGuard<'_, Option<Instant>> {
        self.retain_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn corrector(&self) -> MutexGuard<'_, FleetCorrector> {
        self.corrector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver of the generation of each new snapshot.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Joins the names of the first few targets for a log line.
fn first_names(targets: &[FleetTarget]) -> String {
    let names = targets.iter().take(LOGGED_NAMES_MAX).map(|target| format!("'{}'", target.name));
    names.collect::<Vec<_>>().join(", ")
}

/// Checks a document and compiles its program.
///
/// # Errors
///
/// Returns all problems found, including those of parts that a node would withhold.
pub fn check_document(document: &Document) -> Result<(CheckedDocument, Option<Program>), ConfigError> {
    compile_checked(document, CheckedDocument::from_document(document)?)
}

fn compile_checked(
    document: &Document,
    checked: CheckedDocument,
) -> Result<(CheckedDocument, Option<Program>), ConfigError> {
    let CheckedDocument::Team(team) = &checked else { return Ok((checked, None)) };
    if team.program.is_empty() {
        return Ok((checked, None));
    }
    let program = compile(document, team)?;
    Ok((checked, Some(program)))
}

/// Logs the invalid parts of a team's document that do not take effect.
fn log_withheld(document: &Document, checked: &CheckedDocument) {
    let CheckedDocument::Team(team) = checked else { return };
    let (name, version) = (&document.name, document.version);
    for problem in team.withheld.iter().take(LOGGED_PROBLEMS_MAX) {
        log::error!("{name} version {version} is active without a part: {problem}");
    }
}

fn compile(document: &Document, team: &Team) -> Result<Program, ConfigError> {
    let file = document.name.to_string();
    let mut check = Checker::new(&file, &document.text);
    let error = match Program::compile(&team.program) {
        Ok(program) => return Ok(program),
        Err(error) => error,
    };
    // The lines of a multi-line string are counted from the line after its opening quotes.
    let start = document.text.lines().enumerate().find(|(_, line)| line.trim_start().starts_with("program"));
    let start = start.map_or(0, |(index, line)| index + usize::from(line.trim_end().ends_with("\"\"\"")));
    let offset = match &error {
        ProgramError::Compile(line, _) => *line,
        _ => 0,
    };
    check.add_problem_at_line(start + offset.max(1), "program", &error.to_string());
    check.finish()?;
    unreachable!("a problem was pushed")
}

impl Acceptor for ActiveConfig {
    fn accept(&self, document: &Document) -> Result<(), ConfigError> {
        let usable = CheckedDocument::usable_from_document(document)?;
        let (checked, program) = compile_checked(document, usable)?;
        log_withheld(document, &checked);
        let _guard = self.update_lock();
        let old = self.snapshot.load_full();
        let checked = match checked {
            CheckedDocument::Fleet(listed) => {
                let before = &old.configuration.fleet;
                CheckedDocument::Fleet(self.correct_fleet(listed, document.version.era, before))
            }
            other => other,
        };
        let configuration = old.configuration.with_document(&document.name, document.version, checked);
        let mut programs = old.programs.clone();
        let mut keys = old.keys.clone();
        if let DocumentName::Team(team) = &document.name {
            let directory = configuration.teams.get(team).map(|team| Arc::new(KeyDirectory::new(team)));
            keys.extend(directory.map(|directory| (team.clone(), directory)));
            programs.remove(team);
            programs.extend(program.map(|program| (team.clone(), Arc::new(program))));
        }
        for (host, owner, claimant) in configuration.caller_host_conflicts() {
            log::error!("caller host '{host}' is claimed by team {claimant} but belongs to team {owner}");
        }
        self.publish(ConfigSnapshot { configuration, programs, keys, generation: old.generation + 1 });
        Ok(())
    }

    fn corrections_hash(&self) -> u64 {
        self.corrector().hash(Instant::now())
    }

    fn corrections(&self) -> Option<FleetCorrections> {
        self.corrector().corrections(Instant::now())
    }

    fn merge_corrections(&self, corrections: &FleetCorrections) {
        if self.corrector().merge(corrections, Instant::now()) {
            log::info!(
                "the host list is corrected with corrections from another node, era {}",
                corrections.era
            );
        }
        self.refresh_fleet();
        // Wakes the task that waits in `apply_next_expiry`, since its deadline has changed.
        self.changed.send_replace(self.snapshot.load().generation);
    }

    fn record_delay(&self, delay_us: u64) {
        record_us(&self.version_delays, delay_us);
    }

    fn on_platform_outage_end(&self, outage_end_age_ms: u64) {
        // The grace period starts at the end of the outage, even if this node learns of it later: otherwise targets that
        // have left would be retained for too long.
        let remaining = REGISTRATION_GRACE.saturating_sub(Duration::from_millis(outage_end_age_ms));
        let mut retain_until = self.retain_until();
        if remaining.is_zero() || retain_until.is_some() {
            return;
        }
        *retain_until = Some(Instant::now() + remaining);
        drop(retain_until);
        // Wakes the task that waits in `apply_next_expiry`, since its deadline has changed.
        self.changed.send_replace(self.snapshot.load().generation);
    }
}

impl ReplicationView for ActiveConfig {
    fn fleet(&self) -> Arc<Fleet> {
        self.snapshot.load().configuration.fleet.clone()
    }

    fn replication_settings(&self) -> ReplicationSettings {
        self.snapshot.load().configuration.system.spread
    }
}
