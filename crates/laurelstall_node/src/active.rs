//! The configuration in force with its compiled programs, swapped as one value.

use arc_swap::ArcSwap;
use laurelstall_config::{
    configuration::{Checked, Configuration},
    document::{Document, DocumentName},
    fleet::Fleet,
    problem::{Checker, ConfigError},
    system::SpreadLimits,
    team::Team,
};
use laurelstall_peer::{spread::SpreadView, store::Acceptor};
use laurelstall_policy::program::{Program, ProgramError};
use std::{collections::BTreeMap, sync::Arc};
use tokio::sync::watch;

/// The configuration in force.
#[derive(Debug, Default)]
pub struct InForce {
    /// The documents.
    pub configuration: Configuration,
    /// The compiled program of each team.
    pub programs: BTreeMap<String, Arc<Program>>,
    /// Grows with each change, to tell whether something derived from it is out of date.
    pub generation: u64,
}

/// Holds the configuration in force and takes new documents into it.
#[derive(Debug)]
pub struct Active {
    in_force: ArcSwap<InForce>,
    changed: watch::Sender<u64>,
}

impl Active {
    /// Starts with nothing in force.
    pub fn new() -> Arc<Self> {
        let (changed, _) = watch::channel(0);
        Arc::new(Self { in_force: ArcSwap::default(), changed })
    }

    /// The configuration in force now; a request keeps to the one it started with.
    pub fn load(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Tells of each change, by generation.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Checks a document as a node does before it takes it, its program included.
///
/// # Errors
///
/// All faults found.
pub fn check_document(document: &Document) -> Result<(Checked, Option<Program>), ConfigError> {
    let checked = Checked::from_document(document)?;
    let Checked::Team(team) = &checked else { return Ok((checked, None)) };
    if team.program.is_empty() {
        return Ok((checked, None));
    }
    let program = compile(document, team)?;
    Ok((checked, Some(program)))
}

fn compile(document: &Document, team: &Team) -> Result<Program, ConfigError> {
    let file = document.name.to_string();
    let mut check = Checker::new(&file, &document.text);
    let error = match Program::compile(&team.program) {
        Ok(program) => return Ok(program),
        Err(error) => error,
    };
    // A text that starts on the line after its quotes counts its own lines from there.
    let start = document.text.lines().enumerate().find(|(_, line)| line.trim_start().starts_with("program"));
    let start = start.map_or(0, |(index, line)| index + usize::from(line.trim_end().ends_with("\"\"\"")));
    let offset = match &error {
        ProgramError::Compile(line, _) => *line,
        _ => 0,
    };
    check.push(start + offset.max(1), "program", &error.to_string());
    check.finish()?;
    unreachable!("a problem was noted")
}

impl Acceptor for Active {
    fn accept(&self, document: &Document) -> Result<(), ConfigError> {
        let (checked, program) = check_document(document)?;
        let old = self.in_force.load_full();
        let configuration = old.configuration.with_document(&document.name, document.version, checked);
        let mut programs = old.programs.clone();
        if let DocumentName::Team(team) = &document.name {
            programs.remove(team);
            programs.extend(program.map(|program| (team.clone(), Arc::new(program))));
        }
        for (host, holder, loser) in configuration.caller_host_conflicts() {
            log::error!("caller host '{host}' is claimed by team {loser} but held by team {holder}");
        }
        let generation = old.generation + 1;
        self.in_force.store(Arc::new(InForce { configuration, programs, generation }));
        self.changed.send_replace(generation);
        Ok(())
    }
}

impl SpreadView for Active {
    fn fleet(&self) -> Arc<Fleet> {
        self.in_force.load().configuration.fleet.clone()
    }

    fn spread(&self) -> SpreadLimits {
        self.in_force.load().configuration.system.spread
    }
}
