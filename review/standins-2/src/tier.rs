//! Daemons of the tier as processes, and clients of theirs.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;

/// The processes that run, by their ids.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this one has started and that still run.
pub fn kill_all() {
    for id in PROCESSES.lock().expect("a list").drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// How a daemon is set up.
#[derive(Clone)]
pub struct Setup {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub first: bool,
    pub memory_mb: u64,
    pub descriptors: u64,
    /// Further fields of `bounds`, each with a comma before it.
    pub more_bounds: String,
}

/// A daemon. Dropping it kills its process.
pub struct Daemon {
    pub setup: Setup,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    metrics: u16,
    folder: PathBuf,
    process: Option<Child>,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Daemon {
    /// Picks the addresses of a daemon, without starting it.
    pub fn new(setup: Setup, folder: &std::path::Path) -> Daemon {
        let address = |port| SocketAddr::new(setup.ip.parse().expect("an IP address"), port);
        let mut ports = std::collections::BTreeSet::new();
        while ports.len() < 5 {
            ports.insert(free_port(&setup.ip));
        }
        let ports: Vec<u16> = ports.into_iter().collect();
        Daemon {
            front: address(ports[0]),
            ready: address(ports[1]),
            directory: address(ports[2]),
            control: address(ports[3]),
            metrics: ports[4],
            folder: folder.to_owned(),
            process: None,
            setup,
        }
    }

    /// Writes the settings and starts the process as the deploy file does.
    pub fn start(&mut self) {
        let Setup { name, zone, ip, store, seeds, first, memory_mb, descriptors, more_bounds } =
            &self.setup;
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let text = format!(
            r#"{{"node":"{name}","role":"entry","machine_class":"front","serves":["front","directory","control"],
"ip":"{ip}","zone":"{zone}","region":"r","zones":{{"z1":"r","z2":"r","z3":"r"}},
"listen":{{"front":"{}","ready":"{}","control":"{}","directory":"{}"}},"port_range":[7380,7395],
"seeds":[{}],"bootstrap":{first},"loss_counted":false,
"limits":{{"cpu_share":0.5,"cpu_cores":1,"memory_mb":{memory_mb},"max_fds":{descriptors},"link_mbps":2000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":4000,"ack_timeout_ms":5000,"catch_up_s":4,"drain_ms":3000,
"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"rollback_slack_ms":250,"max_skew_ms":12000,
"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_extra":58,"recovery_s":12,"ttl_max_s":5{more_bounds}}},
"platform":{{"address":"{store}","form":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,"max_value_bytes":1048576,"min_ttl_ms":1000}}}}"#,
            self.front,
            self.ready,
            self.control,
            self.directory,
            seeds.join(",")
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, text).expect("the settings are written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let program = std::env::var("TREFOILTILLER")
            .unwrap_or_else(|_| "../../target/release/trefoiltiller".to_owned());
        let errors = log.try_clone().expect("a log file");
        let process = Command::new(program)
            .arg("entry")
            .arg("--metrics-port")
            .arg(self.metrics.to_string())
            .env_clear()
            .env("TREFOILTILLER_CONFIG", path)
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon starts");
        PROCESSES.lock().expect("a list").push(process.id());
        self.process = Some(process);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            PROCESSES.lock().expect("a list").retain(|it| *it != process.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = get(self.ready, "/ready", "", &[], Duration::from_secs(1));
        answer.is_ok_and(|it| it.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One request on a connection of its own.
pub fn get(
    address: SocketAddr,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    wait: Duration,
) -> std::io::Result<Message> {
    let mut connection = connect(address, wait)?;
    ask(&mut connection, "GET", path, host, headers, b"")
}

pub fn connect(address: SocketAddr, wait: Duration) -> std::io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(wait))?;
    Ok(Connection::new(stream))
}

pub fn ask(
    connection: &mut Connection,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Message> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    connection.send(&bytes)?;
    connection.read_message(true)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Lines of the record.
pub struct Record {
    file: File,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record { file: File::create(path).expect("the record is written"), start: Instant::now() }
    }

    pub fn line(&mut self, text: &str) {
        let _ = writeln!(self.file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{text}");
    }

    pub fn at(&mut self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.file, "{at:9.3} {text}");
    }
}
