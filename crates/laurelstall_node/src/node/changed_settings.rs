//! Compares the settings of a node before and after a change.

use laurelstall_config::settings::Settings;

/// Returns the names of changed settings that a running node cannot apply.
pub(super) fn settings_needing_restart(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let is_address_changed = old.node.entry_address != new.node.entry_address
        || old.node.peer_address != new.node.peer_address
        || old.node.admin_address != new.node.admin_address;
    let is_identity_changed = old.node.host != new.node.host || old.node.data_centre != new.node.data_centre;
    let changes = [
        ("the addresses", is_address_changed),
        ("host or data centre", is_identity_changed),
        ("the target", old.target != new.target),
        ("the bandwidth of the link", old.node.link_mbps != new.node.link_mbps),
        ("the format of the decision log", old.log.decisions != new.log.decisions),
    ];
    changes.into_iter().filter(|(_, is_changed)| *is_changed).map(|(setting, _)| setting).collect()
}
