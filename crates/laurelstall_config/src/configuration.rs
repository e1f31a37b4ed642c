//! All accepted documents together, as one value that is swapped whole.

use crate::{
    document::{Document, DocumentName, Version},
    fleet::Fleet,
    problem::ConfigError,
    system::SystemLimits,
    team::{Service, Team},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// A document that was read and checked.
#[derive(Debug, Clone)]
pub enum Checked {
    /// The hosts.
    Fleet(Fleet),
    /// The system's limits.
    System(SystemLimits),
    /// One team.
    Team(Box<Team>),
}

impl Checked {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// All faults found in it.
    pub fn from_document(document: &Document) -> Result<Self, ConfigError> {
        let file = document.name.to_string();
        let text = &document.text;
        match &document.name {
            DocumentName::Fleet => Fleet::from_text(&file, text).map(Self::Fleet),
            DocumentName::System => SystemLimits::from_text(&file, text).map(Self::System),
            DocumentName::Team(name) => {
                let team = Team::from_text(&file, text)?;
                let mut check = crate::problem::Checker::new(&file, text);
                let message = format!("says '{}' in the document of '{name}'", team.team);
                check.ensure(&team.team == name, "team", &message);
                check.finish()?;
                Ok(Self::Team(Box::new(team)))
            }
        }
    }
}

/// The configuration in force.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The hosts.
    pub fleet: Arc<Fleet>,
    /// The system's limits.
    pub system: Arc<SystemLimits>,
    /// The teams by name.
    pub teams: BTreeMap<String, Arc<Team>>,
    /// The version of each document in force.
    pub versions: BTreeMap<DocumentName, Version>,
    team_by_caller_host: HashMap<String, String>,
}

impl Configuration {
    /// This configuration with one more document in force.
    pub fn with_document(&self, name: &DocumentName, version: Version, checked: Checked) -> Self {
        let mut next = self.clone();
        next.versions.insert(name.clone(), version);
        match checked {
            Checked::Fleet(fleet) => next.fleet = Arc::new(fleet),
            Checked::System(system) => next.system = Arc::new(system),
            Checked::Team(team) => {
                next.teams.insert(team.team.clone(), Arc::from(team));
                next.index_caller_hosts();
            }
        }
        next
    }

    /// The version in force of a document; 0 when there is none.
    pub fn version(&self, name: &DocumentName) -> Version {
        self.versions.get(name).copied().unwrap_or(0)
    }

    /// The team whose callers use this host name.
    pub fn team_of_caller_host(&self, host: &str) -> Option<&Arc<Team>> {
        self.teams.get(self.team_by_caller_host.get(host)?)
    }

    /// The service with this full name, `team/service`.
    pub fn service(&self, full_name: &str) -> Option<&Service> {
        let (team, service) = full_name.split_once('/')?;
        self.teams.get(team)?.service(service)
    }

    /// All services with their full names.
    pub fn services(&self) -> impl Iterator<Item = (String, &Service)> {
        let of_team = |team: &'_ Arc<Team>| team.team.clone();
        self.teams.values().flat_map(move |team| {
            let prefix = of_team(team);
            team.services.iter().map(move |s| (format!("{prefix}/{}", s.name), s))
        })
    }

    /// Host names claimed by more than one team: name, team that holds it, team that lost it.
    ///
    /// The team whose name sorts first holds the name, so every node decides alike.
    pub fn caller_host_conflicts(&self) -> Vec<(String, String, String)> {
        let claims = self.teams.values().flat_map(|t| t.caller_hosts.iter().map(move |h| (h, t)));
        let conflict = |(host, team): (&String, &Arc<Team>)| {
            let holder = self.team_by_caller_host.get(host)?;
            (holder != &team.team).then(|| (host.clone(), holder.clone(), team.team.clone()))
        };
        claims.filter_map(conflict).collect()
    }

    fn index_caller_hosts(&mut self) {
        self.team_by_caller_host.clear();
        for team in self.teams.values() {
            for host in &team.caller_hosts {
                let holder = self.team_by_caller_host.entry(host.to_ascii_lowercase());
                holder.or_insert_with(|| team.team.clone());
            }
        }
    }
}
