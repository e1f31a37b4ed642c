//! A small deployment: one machine per backend, each with its own loopback address and a node as a child process.

use super::*;
use backend::{Backend, Runs};
use store::Store;

/// Bounds of the rules, as `further-grown/wrekin-tills-grown.toml` sets them.
pub const CONTACT_MS: u64 = 3_000;
pub const DRAIN_MS: u64 = 2_500;
pub const APPLY_MS: u64 = 2_500;
pub const GRACE_S: u64 = 6;

/// Longest time that a case takes.
const CASE_TIME_MAX: Duration = Duration::from_secs(105);

/// Ids of the processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    /// `kill(2)` of the system's C library.
    fn kill(process: i32, signal: i32) -> i32;
}

/// Signals by their numbers on Linux.
#[derive(Debug, Clone, Copy)]
enum Signal {
    Kill = 9,
    Terminate = 15,
}

/// Sends a signal to a process that this one started and has not waited for; returns whether it was sent.
fn send_signal(id: u32, signal: Signal) -> bool {
    let Ok(id) = i32::try_from(id) else { return false };
    // SAFETY: `kill` only takes two numbers.
    id > 0 && unsafe { kill(id, signal as i32) } == 0
}

/// Ends all nodes and this process if the case takes too long.
pub fn watch_time() {
    thread::spawn(|| {
        thread::sleep(CASE_TIME_MAX);
        for id in lock(&STARTED).iter() {
            send_signal(*id, Signal::Kill);
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// Ports of all machines.
#[derive(Debug, Clone, Copy)]
struct Ports {
    entry: u16,
    peer: u16,
    ready: u16,
    app: u16,
}

pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: String,
    pub backend: Arc<Backend>,
    pub entry: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    node: Mutex<Option<Child>>,
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    pub runs: Runs,
    pub record: Arc<Record>,
    folder: PathBuf,
}

/// Returns a loopback address of this process: 127.A.B.`last`.
pub fn own_ip(last: u8) -> Ipv4Addr {
    let id = process_id();
    Ipv4Addr::new(127, 64 + (id >> 8 & 127) as u8, (id & 255) as u8, last)
}

impl Deployment {
    /// Starts the backends of `services`, one (zone, service) each, and writes the settings of their nodes.
    /// `platform` is the address at which the nodes reach the store.
    pub fn prepare(
        record: &Arc<Record>,
        store: Arc<Store>,
        platform: SocketAddr,
        services: &[(&str, &str)],
    ) -> io::Result<Self> {
        if !Path::new(NODE_PROGRAM).is_file() {
            return Err(io::Error::other(format!("{NODE_PROGRAM} is not built")));
        }
        let folder = env::temp_dir().join(format!("laurelstall-review-2-{}", process_id()));
        fs::create_dir_all(&folder)?;
        let ips = (0..services.len()).map(|index| own_ip(10 + index as u8)).collect::<Vec<_>>();
        let ports = free_ports(&ips)?;
        let runs = Runs::default();
        let seeds =
            ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports.peer)).collect::<Vec<_>>().join(",");
        let zones = services.iter().map(|(zone, _)| *zone).collect::<std::collections::BTreeSet<_>>();
        let regions = zones.iter().map(|zone| format!("regions.{zone} = \"midlands\"\n")).collect::<String>();
        let mut machines = Vec::new();
        for (index, ((zone, service), ip)) in services.iter().zip(&ips).enumerate() {
            let app = SocketAddr::new(IpAddr::V4(*ip), ports.app);
            let backend = Backend::start(&format!("i-{service}-{index}"), service, zone, app, &runs, record)?;
            let settings = folder.join(format!("{index}.toml"));
            fs::write(&settings, settings_text(*ip, ports, zone, service, platform, &seeds, &regions))?;
            machines.push(Machine {
                ip: *ip,
                zone: (*zone).to_owned(),
                backend,
                entry: SocketAddr::new(IpAddr::V4(*ip), ports.entry),
                ready: SocketAddr::new(IpAddr::V4(*ip), ports.ready),
                settings,
                node: Mutex::default(),
            });
        }
        Ok(Self { store, machines, runs, record: record.clone(), folder })
    }

    /// Writes the configuration and the backends' entries, starts all nodes and waits until they are ready.
    pub fn start(&self, config: &str) -> io::Result<()> {
        self.store.put("op/config", Some(config));
        for machine in &self.machines {
            self.store.put(&machine.backend.key(), Some(&machine.backend.entry("ready")));
        }
        for index in 0..self.machines.len() {
            self.start_node(index)?;
        }
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self
                .machines
                .iter()
                .all(|machine| client::ready(machine.ready).is_ok_and(|status| status == 200))
            {
                self.record.note("all nodes are ready");
                return Ok(());
            }
            sleep_ms(100);
        }
        Err(io::Error::other("the nodes are not ready in time"))
    }

    pub fn start_node(&self, index: usize) -> io::Result<()> {
        let machine = &self.machines[index];
        let log =
            fs::OpenOptions::new().create(true).append(true).open(machine.settings.with_extension("log"))?;
        let node = Command::new(NODE_PROGRAM)
            .arg("--settings")
            .arg(&machine.settings)
            .env("LAURELSTALL_NODE_FILE", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(format!("node {index} ({}, zone {}) starts", machine.ip, machine.zone));
        lock(&STARTED).push(node.id());
        *lock(&machine.node) = Some(node);
        Ok(())
    }

    /// Asks a node to stop.
    pub fn terminate(&self, index: usize) -> io::Result<()> {
        let node = lock(&self.machines[index].node).as_ref().map(Child::id);
        let node = node.ok_or_else(|| io::Error::other("the node does not run"))?;
        self.record.note(format!("node {index} gets SIGTERM"));
        if send_signal(node, Signal::Terminate) {
            Ok(())
        } else {
            Err(io::Error::other("the signal could not be sent"))
        }
    }

    /// Whether the process of a node has ended.
    pub fn has_ended(&self, index: usize) -> bool {
        let mut node = lock(&self.machines[index].node);
        node.as_mut().is_none_or(|node| matches!(node.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&self, index: usize) {
        if let Some(mut node) = lock(&self.machines[index].node).take() {
            let _ = (node.kill(), node.wait());
            lock(&STARTED).retain(|id| *id != node.id());
        }
    }

    /// Runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<backend::Run> {
        lock(&self.runs).iter().filter(|run| run.id == id).cloned().collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
        // For looking into a case: copies the nodes' logs.
        if let Ok(to) = env::var("REVIEW_KEEP_LOGS") {
            let _ = Command::new("cp").arg("-r").arg(&self.folder).arg(to).status();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Finds four ports that are free at all addresses.
fn free_ports(ips: &[Ipv4Addr]) -> io::Result<Ports> {
    let mut found = Vec::new();
    let mut held = Vec::new();
    for _ in 0..200 {
        let first = TcpListener::bind((ips[0], 0))?;
        let port = first.local_addr()?.port();
        let others = ips[1..].iter().map(|ip| TcpListener::bind((*ip, port))).collect::<io::Result<Vec<_>>>();
        if let Ok(others) = others {
            held.push((first, others));
            found.push(port);
        }
        if let [entry, peer, ready, app] = found[..] {
            return Ok(Ports { entry, peer, ready, app });
        }
    }
    Err(io::Error::other("no free ports"))
}

/// The template of the settings, `platform/settings.toml`, filled for one machine.
fn settings_text(
    ip: Ipv4Addr,
    ports: Ports,
    zone: &str,
    service: &str,
    platform: SocketAddr,
    seeds: &str,
    regions: &str,
) -> String {
    let Ports { entry, peer, ready, app } = ports;
    format!(
        "seeds = [{seeds}]\n\n[node]\ndata_centre = \"{zone}\"\nentry_address = \"{ip}:{entry}\"\n\
         peer_address = \"{ip}:{peer}\"\nadmin_address = \"{ip}:{ready}\"\ntakes_unlisted_peers = true\n\
         stop_linger_ms = 2300\nstop_max_ms = 30000\nstop_grace_s = {GRACE_S}\nlink_mbps = 1000.0\n\n[target]\n\
         service = \"main/{service}\"\naddress = \"{ip}:{app}\"\nconnect_timeout_ms = 300\naddress_reuse_s = 2\n\n\
         [platform]\naddress = \"{platform}\"\nread_timeout_ms = 1000\nwatch_wait_ms = 2500\n\
         value_bytes_max = 1048576\nrepeats.share = 0.2\nrepeats.reserve = 58\n{regions}\n[callers]\n\
         connections = 3000\nhead_timeout_ms = 60000\nidle_timeout_ms = 60000\n\n[log]\ndecisions = \"json\"\n"
    )
}
