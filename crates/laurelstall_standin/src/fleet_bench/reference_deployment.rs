//! Documents of the reference deployment: 31 services of several teams in four data centres.

use crate::{harness::to_toml, harness_plan::PROGRAM, platform::StandinPlatform};
use laurelstall_config::{
    document::DocumentName,
    fleet::{Fleet, Host},
    system::{Distance, SystemLimits},
    team::{Service, ServiceLimits, Target, Team},
};

/// Number of services in the reference deployment.
pub const SERVICES: usize = 31;
/// Number of services that one team owns.
const SERVICES_PER_TEAM: usize = 3;
/// Number of teams.
pub(super) const TEAMS: usize = SERVICES.div_ceil(SERVICES_PER_TEAM);
/// Data centres of the reference deployment, in two regions.
pub(super) const DATA_CENTRES: [&str; 4] = ["north-1", "north-2", "south-1", "south-2"];
/// Length of the region in the name of a data centre.
const REGION_LENGTH: usize = 5;
/// One-way network delay within a region, in µs.
const REGION_ONE_WAY_US: u64 = 1_000;
/// One-way network delay between regions, in µs.
const REMOTE_ONE_WAY_US: u64 = 15_000;

/// Publishes the documents of a deployment on these hosts.
pub(super) fn publish_documents(platform: &StandinPlatform, hosts: Vec<Host>) {
    let targets = hosts.len();
    let fleet = Fleet { hosts, ..Fleet::default() };
    platform.publish(&DocumentName::Fleet, &to_toml(&fleet));
    platform.publish(&DocumentName::System, &to_toml(&system_limits()));
    for (name, text) in team_documents(targets) {
        platform.publish(&name, &text);
    }
}

fn system_limits() -> SystemLimits {
    let mut limits = SystemLimits::default();
    for (index, from) in DATA_CENTRES.iter().enumerate() {
        for to in &DATA_CENTRES[index + 1..] {
            let is_same_region = from[..REGION_LENGTH] == to[..REGION_LENGTH];
            let one_way_us = if is_same_region { REGION_ONE_WAY_US } else { REMOTE_ONE_WAY_US };
            limits.distances.push(Distance { from: (*from).to_owned(), to: (*to).to_owned(), one_way_us });
        }
    }
    limits
}

/// Returns the team documents of the reference deployment: [`SERVICES`] services that share `targets` targets.
pub fn team_documents(targets: usize) -> Vec<(DocumentName, String)> {
    let services = (0..SERVICES).map(|number| Service {
        load_path: String::new(),
        name: format!("service-{number:02}"),
        limits: ServiceLimits::default(),
        targets: (number..targets).step_by(SERVICES).map(target).collect(),
    });
    let services = services.collect::<Vec<_>>();
    let teams = services.chunks(SERVICES_PER_TEAM).enumerate();
    let document = |(number, services): (usize, &[Service])| {
        let team = Team {
            team: team_name(number),
            caller_hosts: vec![format!("{}.example", team_name(number))],
            program: PROGRAM.to_owned(),
            routes: Vec::new(),
            services: services.to_vec(),
            ..Team::default()
        };
        (DocumentName::Team(team.team.clone()), to_toml(&team))
    };
    teams.map(document).collect()
}

fn target(index: usize) -> Target {
    Target {
        name: format!("target-{index:03}"),
        host: format!("host-{index:03}"),
        slots: 12,
        connections: 200,
        started_unix_ms: 0,
    }
}

/// Returns the name of the team with this number.
pub(super) fn team_name(number: usize) -> String {
    format!("team-{number:02}")
}

/// Returns the total size in bytes of all documents that the platform holds.
pub(super) fn configuration_bytes(platform: &StandinPlatform) -> usize {
    let teams = (0..TEAMS).map(|number| DocumentName::Team(team_name(number)));
    let names = teams.chain([DocumentName::Fleet, DocumentName::System]);
    names.filter_map(|name| platform.text(&name)).map(|text| text.len()).sum()
}
