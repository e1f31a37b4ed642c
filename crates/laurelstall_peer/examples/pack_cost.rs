//! Measures how long a node takes to pack a list of hosts for its partners, for several fleet sizes.

use laurelstall_config::{
    document::{Document, DocumentName, Version},
    fleet::{Fleet, Host, HostState, host_name},
    problem::ConfigError,
};
use laurelstall_peer::{
    message::PullItem,
    store::{Acceptor, DocumentStore},
};
use std::{net::IpAddr, time::Instant};

/// Maximum size of a document's text in bytes.
const DOCUMENT_BYTES_MAX: usize = 16 * 1024 * 1024;

const SIZES: [usize; 3] = [100, 1_000, 2_000];
/// Number of nodes that pull the document: the usual number of partners.
const ASKERS: usize = 6;

#[derive(Debug)]
struct AcceptAll;

impl Acceptor for AcceptAll {
    fn accept(&self, _document: &Document) -> Result<(), ConfigError> {
        Ok(())
    }
}

fn list(hosts: usize, version: u64) -> Document {
    let host = |index: usize| {
        let ip = IpAddr::from([10, 0, (index / 250) as u8, (index % 250) as u8]);
        // One host in a hundred differs between versions.
        let is_changed = index % 100 == version as usize % 100;
        let state = if is_changed { HostState::Leaving } else { HostState::Live };
        Host {
            name: host_name(ip),
            node_address: (ip, 8_124).into(),
            data_centre: "hall-a".to_owned(),
            state,
        }
    };
    let fleet = Fleet { hosts: (0..hosts).map(host).collect(), ..Fleet::default() };
    let text = serde_json::to_string(&fleet).expect("it is a document");
    Document { name: DocumentName::Fleet, version: Version::new(version), text }
}

fn main() {
    for hosts in SIZES {
        let mut store = DocumentStore::new(DOCUMENT_BYTES_MAX);
        let (old, new) = (list(hosts, 1), list(hosts, 2));
        let known_checksum = old.checksum();
        store.apply(old, &AcceptAll);
        store.apply(new, &AcceptAll);
        for (what, known_version) in [("delta", Version::new(1)), ("whole", Version::NONE)] {
            let item = PullItem { name: DocumentName::Fleet, known_version, known_checksum };
            let times = (0..ASKERS).map(|_| {
                let started = Instant::now();
                let transfer = store.pack(&item).expect("it is newer");
                assert_eq!(transfer.version, Version::new(2));
                started.elapsed()
            });
            println!("{hosts} hosts, {what}: {:.1?}", times.collect::<Vec<_>>());
        }
    }
}
