//! The accepted documents, combined into one immutable value.

use crate::{
    document::{Document, DocumentName, Version},
    fleet::{Fleet, FleetTarget, Host},
    problem::ConfigError,
    route::RouteTable,
    system::SystemLimits,
    team::{Service, Target, Team},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// A parsed and valid document.
#[derive(Debug, Clone)]
pub enum CheckedDocument {
    /// The list of hosts.
    Fleet(Arc<Fleet>),
    /// The limits of the whole system.
    System(SystemLimits),
    /// A team's document.
    Team(Box<Team>),
}

impl CheckedDocument {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns all problems found in the document.
    pub fn from_document(document: &Document) -> Result<Self, ConfigError> {
        match Self::usable_from_document(document)? {
            Self::Team(team) if !team.withheld.is_empty() => Err(ConfigError::Invalid(team.withheld)),
            checked => Ok(checked),
        }
    }

    /// Parses a document and withholds the invalid parts of a team's document; see [`Team::usable_from_text`].
    ///
    /// # Errors
    ///
    /// Returns all problems if the document as a whole is not valid.
    pub fn usable_from_document(document: &Document) -> Result<Self, ConfigError> {
        let file = document.name.to_string();
        let text = &document.text;
        match &document.name {
            DocumentName::Fleet => Fleet::from_text(&file, text).map(|fleet| Self::Fleet(Arc::new(fleet))),
            DocumentName::System => SystemLimits::from_text(&file, text).map(Self::System),
            DocumentName::Team(name) => {
                let team = Team::usable_from_text(&file, text)?;
                let mut check = crate::problem::Checker::new(&file, text);
                let message =
                    format!("'{}' must be '{name}', for which the document is published", team.team);
                check.ensure(&team.team == name, "team", &message);
                check.finish()?;
                Ok(Self::Team(Box::new(team)))
            }
        }
    }
}

/// The current configuration, with indexes for the look-ups that each call needs.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The list of hosts.
    pub fleet: Arc<Fleet>,
    /// The limits of the whole system.
    pub system: Arc<SystemLimits>,
    /// The teams' documents by team name.
    pub teams: BTreeMap<String, Arc<Team>>,
    /// The version of each document of this configuration.
    pub versions: BTreeMap<DocumentName, Version>,
    /// The name of the team to which each host name of callers belongs.
    team_by_caller_host: HashMap<String, String>,
    /// The route table of each team, by team name.
    routes: BTreeMap<String, Arc<RouteTable>>,
    /// Index of each host in `fleet.hosts`, by host name.
    host_indexes: Arc<HashMap<String, usize>>,
    /// All services by full name, with the targets of the team's document and of the fleet document.
    services: BTreeMap<String, Arc<Service>>,
}

impl Configuration {
    /// Returns a copy of this configuration in which a document is added or replaced.
    pub fn with_document(&self, name: &DocumentName, version: Version, checked: CheckedDocument) -> Self {
        let mut next = self.clone();
        next.versions.insert(name.clone(), version);
        match checked {
            CheckedDocument::Fleet(fleet) => {
                let indexes = fleet.hosts.iter().enumerate().map(|(index, host)| (host.name.clone(), index));
                next.host_indexes = Arc::new(indexes.collect());
                next.fleet = fleet;
                next.index_services();
            }
            CheckedDocument::System(system) => next.system = Arc::new(system),
            CheckedDocument::Team(team) => {
                let table = RouteTable::new(&team.routes, rand::random());
                next.routes.insert(team.team.clone(), Arc::new(table));
                next.teams.insert(team.team.clone(), Arc::from(team));
                next.index_caller_hosts();
                next.index_services();
            }
        }
        next
    }

    /// Returns the version of a document of this configuration; [`Version::NONE`] if there is none.
    pub fn version(&self, name: &DocumentName) -> Version {
        self.versions.get(name).copied().unwrap_or_default()
    }

    /// Looks up a host by name in constant time: whenever the list changes, each service looks up the host of each of its
    /// targets.
    pub fn host(&self, name: &str) -> Option<&Host> {
        self.fleet.hosts.get(*self.host_indexes.get(name)?)
    }

    /// Returns the team whose callers use this host name.
    pub fn team_of_caller_host(&self, host: &str) -> Option<&Arc<Team>> {
        self.teams.get(self.team_by_caller_host.get(host)?)
    }

    /// Returns the route table of a team.
    pub fn routes(&self, team: &str) -> Option<&RouteTable> {
        self.routes.get(team).map(Arc::as_ref)
    }

    /// Returns the service with this full name, `team/service`.
    pub fn service(&self, full_name: &str) -> Option<&Service> {
        self.services.get(full_name).map(Arc::as_ref)
    }

    /// Iterates over all services and their full names.
    pub fn services(&self) -> impl Iterator<Item = (String, &Service)> {
        self.services.iter().map(|(name, service)| (name.clone(), service.as_ref()))
    }

    /// Returns the host names that more than one team claims, each as (host name, team that gets it, team that does not).
    ///
    /// The team whose name sorts first gets the host name, so that all nodes decide alike.
    pub fn caller_host_conflicts(&self) -> Vec<(String, String, String)> {
        let claims = self.teams.values().flat_map(|t| t.caller_hosts.iter().map(move |h| (h, t)));
        let conflict = |(host, team): (&String, &Arc<Team>)| {
            let owner = self.team_by_caller_host.get(host)?;
            (owner != &team.team).then(|| (host.clone(), owner.clone(), team.team.clone()))
        };
        claims.filter_map(conflict).collect()
    }

    fn index_caller_hosts(&mut self) {
        self.team_by_caller_host.clear();
        for team in self.teams.values() {
            let route_hosts = team.routes.iter().map(|route| &route.host);
            for host in team.caller_hosts.iter().chain(route_hosts) {
                let owner = self.team_by_caller_host.entry(host.to_ascii_lowercase());
                owner.or_insert_with(|| team.team.clone());
            }
        }
    }

    fn index_services(&mut self) {
        let team_services = |team: &Arc<Team>| {
            let prefix = team.team.clone();
            let services = team.services.iter().cloned();
            services.map(move |service| (format!("{prefix}/{}", service.name), service)).collect::<Vec<_>>()
        };
        let mut services = self.teams.values().flat_map(team_services).collect::<BTreeMap<_, _>>();
        for listed in &self.fleet.targets {
            let Some(service) = services.get_mut(&listed.service) else { continue };
            let name = listed.name.clone();
            let host = listed.host.clone();
            let FleetTarget { slots, started_unix_ms, .. } = *listed;
            service.targets.push(Target { name, host, slots, connections: 0, started_unix_ms });
        }
        self.services = services.into_iter().map(|(name, service)| (name, Arc::new(service))).collect();
    }
}
