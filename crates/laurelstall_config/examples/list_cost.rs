//! Measures the processor time that a node needs for a changed fleet document, by number of hosts and text format.

use laurelstall_config::{
    configuration::{CheckedDocument, Configuration},
    document::{Document, DocumentName, Version},
    fleet::{Fleet, FleetTarget, Host, HostState, host_name},
    team::{Service, Team},
};
use std::{
    hint::black_box,
    net::IpAddr,
    time::{Duration, Instant},
};

const SIZES: [usize; 5] = [30, 100, 300, 1_000, 2_000];
const SERVICES: usize = 4;
const DATA_CENTRES: usize = 5;
/// Number of runs, of which the shortest is reported.
const RUNS: usize = 10;

fn main() {
    println!("{:>6} {:>5} {:>8} {:>10} {:>10} {:>10}", "hosts", "form", "bytes", "write", "read", "index");
    for hosts in SIZES {
        let fleet = fleet(hosts);
        show(hosts, "toml", || toml::to_string(&fleet).expect("a fleet can be serialized"));
        show(hosts, "json", || serde_json::to_string(&fleet).expect("a fleet can be serialized"));
    }
}

fn show(hosts: usize, form: &str, write: impl Fn() -> String) {
    let document = Document { name: DocumentName::Fleet, version: Version::new(1), text: write() };
    let checked = CheckedDocument::from_document(&document).expect("it is valid");
    let before = configuration();
    let wrote = shortest(|| drop(black_box(write())));
    let read = shortest(|| drop(black_box(CheckedDocument::from_document(&document))));
    let indexed = shortest(|| {
        let configuration = before.with_document(&DocumentName::Fleet, Version::new(1), checked.clone());
        let found = configuration.services().flat_map(|(_, service)| &service.targets);
        black_box(found.filter(|target| configuration.host(&target.host).is_some()).count());
    });
    let bytes = document.text.len();
    println!("{hosts:>6} {form:>5} {bytes:>8} {wrote:>10.1?} {read:>10.1?} {indexed:>10.1?}");
}

fn shortest(run: impl Fn()) -> Duration {
    let timed = (0..RUNS).map(|_| {
        let started = Instant::now();
        run();
        started.elapsed()
    });
    timed.min().unwrap_or_default()
}

fn configuration() -> Configuration {
    let services = (0..SERVICES).map(|n| Service { name: format!("service-{n}"), ..Service::default() });
    let team = Team { team: "main".to_owned(), services: services.collect(), ..Team::default() };
    let name = DocumentName::Team(team.team.clone());
    Configuration::default().with_document(&name, Version::new(1), CheckedDocument::Team(Box::new(team)))
}

fn fleet(hosts: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..hosts {
        let ip = IpAddr::from([10, (index % DATA_CENTRES) as u8, (index / 250) as u8, (index % 250) as u8]);
        fleet.hosts.push(Host {
            name: host_name(ip),
            node_address: (ip, 8_124).into(),
            data_centre: format!("hall-{}", index % DATA_CENTRES),
            state: HostState::Live,
        });
        fleet.targets.push(FleetTarget {
            service: format!("main/service-{}", index % SERVICES),
            name: format!("i-{index:010x}"),
            host: host_name(ip),
            slots: 9,
            cold_ms: 3_000,
            started_unix_ms: 1_780_929_992_011 + index as u64,
        });
    }
    fleet
}
