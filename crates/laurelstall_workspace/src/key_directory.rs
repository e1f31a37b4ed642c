//! Looks up the workspace of a caller's key.

use laurelstall_config::{key_digest::KeyDigest, team::Team, workspace::Workspace};
use std::{collections::HashMap, sync::Arc};

/// The result of the lookup of a call's key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyLookup {
    /// The key belongs to this workspace.
    Workspace(Arc<Workspace>),
    /// The call is allowed without a workspace.
    NoWorkspace,
    /// The call needs a key and has none.
    Missing,
    /// The key belongs to no workspace.
    Unknown,
}

/// A team's workspaces by the digests of their keys.
///
/// A lookup hashes the key before it compares anything, so its duration reveals nothing about valid keys.
#[derive(Debug, Default)]
pub struct KeyDirectory {
    needs_keys: bool,
    workspaces: Vec<Arc<Workspace>>,
    by_key: HashMap<KeyDigest, u32>,
    by_name: HashMap<String, u32>,
}

impl KeyDirectory {
    /// Creates the directory of a team's workspaces.
    pub fn new(team: &Team) -> Self {
        let mut directory = Self { needs_keys: team.needs_keys, ..Self::default() };
        for (index, workspace) in team.workspaces.iter().enumerate() {
            let index = index as u32;
            directory.by_key.extend(workspace.keys.iter().map(|key| (*key, index)));
            directory.by_name.insert(workspace.name.clone(), index);
            // Keys are only looked up by digest, so the workspaces need no copy of them.
            let workspace = Workspace { keys: Vec::new(), ..workspace.clone() };
            directory.workspaces.push(Arc::new(workspace));
        }
        directory
    }

    /// Whether this team needs keys or has workspaces.
    pub fn uses_keys(&self) -> bool {
        self.needs_keys || !self.workspaces.is_empty()
    }

    /// Looks up the workspace of a call with `key`, on a route that `is_public` or not.
    ///
    /// A key is optional on a public route, and an unknown one is ignored there.
    pub fn look_up(&self, key: Option<&[u8]>, is_public: bool) -> KeyLookup {
        let found = key.and_then(|key| self.find(key));
        match (found, key) {
            (Some(workspace), _) => KeyLookup::Workspace(workspace.clone()),
            (None, _) if is_public || !self.needs_keys => KeyLookup::NoWorkspace,
            (None, None) => KeyLookup::Missing,
            (None, Some(_)) => KeyLookup::Unknown,
        }
    }

    /// The workspace with this name.
    pub fn named(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(*self.by_name.get(name)? as usize)
    }

    /// All workspaces, without their keys.
    pub fn workspaces(&self) -> &[Arc<Workspace>] {
        &self.workspaces
    }

    /// The number of keys of all workspaces together.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    fn find(&self, key: &[u8]) -> Option<&Arc<Workspace>> {
        let digest = KeyDigest::of_key(key).ok()?;
        self.workspaces.get(*self.by_key.get(&digest)? as usize)
    }
}
