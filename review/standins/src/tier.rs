//! The system's own program as separate processes, with settings like those of a small deployment.

use std::fs;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::Response;
use crate::http::read_response;
use crate::store::Store;

const FRONT_PORT: u16 = 8104;
const READY_PORT: u16 = 8108;
const CONTROL_PORT: u16 = 8106;
const DIRECTORY_PORT: u16 = 8100;
const STORE_PORT: u16 = 8102;
const SEARCHER_PORT: u16 = 8062;

/// Loopback addresses of one run: a block of 127/8 in which the ports are free.
#[derive(Debug, Clone, Copy)]
pub struct Block {
    second: u8,
    third: u8,
}

impl Block {
    pub fn find() -> Block {
        let seed = std::process::id();
        for step in 0..2000 {
            let mixed = seed.wrapping_mul(2_654_435_761).wrapping_add(step * 977);
            let block = Block { second: (mixed >> 8) as u8 % 200 + 20, third: (mixed >> 16) as u8 };
            let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, STORE_PORT, 9464];
            let free = |last: u8, port: u16| TcpListener::bind((block.ip(last), port)).is_ok();
            if (1..=4).all(|last| ports.iter().all(|port| free(last, *port))) {
                return block;
            }
        }
        panic!("no block of loopback addresses is free");
    }

    fn ip(self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }

    /// The address of the searcher with this number.
    pub fn searcher(self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(100 + number), SEARCHER_PORT)
    }
}

/// A machine of the system. Dropping it kills its process.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    /// While true, the store gives it no response.
    pub rejected: Arc<AtomicBool>,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// The machines of a run and their folder, which is deleted at the end.
pub struct Tier {
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Tier {
    /// Writes the settings of one machine for each zone of `zones`, and opens its way to the store.
    pub fn new(block: Block, zones: &[&str], store: &Store) -> Tier {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let address = |index: usize, port: u16| SocketAddr::new(block.ip(index as u8 + 1), port);
        let seeds: Vec<String> = (0..zones.len().min(3))
            .map(|index| format!(r#""{}""#, address(index, CONTROL_PORT)))
            .collect();
        let program =
            std::env::current_dir().expect("a folder").join("target/release/trefoiltiller");
        let machines = zones.iter().enumerate().map(|(index, zone)| {
            let name = format!("front-{zone}-{}", index + 1);
            let folder = folder.join(&name);
            fs::create_dir_all(&folder).expect("a folder");
            let (front, ready) = (address(index, FRONT_PORT), address(index, READY_PORT));
            let (control, directory) =
                (address(index, CONTROL_PORT), address(index, DIRECTORY_PORT));
            let store_address = SocketAddr::new(block.ip(50 + index as u8), STORE_PORT);
            let rejected = store.listen(store_address);
            let settings = format!(
                r#"{{"node":"{name}","role":"entry","machine_class":"front",
"serves":["front","control","directory"],"ip":"{}","zone":"{zone}","region":"r",
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}","directory":"{directory}"}},
"port_range":[7380,7395],"seeds":[{}],"bootstrap":true,"loss_counted":false,
"limits":{{"cpu_share":0.5,"cpu_cores":1,"memory_mb":520,"max_fds":8200,"link_mbps":2000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":4000,"ack_timeout_ms":5000,
"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,
"rollback_slack_ms":250,"max_skew_ms":12000,"retry_budget_ratio":0.2,"budget_window_s":10,
"retry_budget_extra":58,"recovery_s":12,"ttl_max_s":5}},
"platform":{{"address":"{store_address}","form":"kv","writes_per_s":400,"reads_per_s":2000,
"history_s":20,"max_value_bytes":1048576,"min_ttl_ms":1000}}}}"#,
                front.ip(),
                seeds.join(",")
            );
            fs::write(folder.join("boot.json"), settings).expect("a settings file");
            Machine { name, front, ready, rejected, folder, program: program.clone(), child: None }
        });
        let machines = machines.collect();
        Tier { machines, folder }
    }

    /// Starts all machines and waits until they are ready, 15 s at most.
    pub fn start(&mut self) -> Result<(), String> {
        for machine in &mut self.machines {
            machine.start()?;
        }
        for machine in &self.machines {
            machine.wait_ready(Duration::from_secs(15))?;
        }
        Ok(())
    }
}

impl Machine {
    /// Starts its process with the command of the deploy file.
    pub fn start(&mut self) -> Result<(), String> {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&self.program)
            .args(["entry", "--metrics-port", "9464"])
            .env_clear()
            .env("TREFOILTILLER_CONFIG", self.folder.join("boot.json"))
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone().map_err(|error| error.to_string())?))
            .stdout(Stdio::from(log))
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts its process again: from then on, the whole system has started before.
    pub fn start_again(&mut self) -> Result<(), String> {
        let path = self.folder.join("boot.json");
        let settings = fs::read_to_string(&path).map_err(|error| error.to_string())?;
        let settings = settings.replace(r#""bootstrap":true"#, r#""bootstrap":false"#);
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        self.start()
    }

    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let answer = connect(self.ready).and_then(|mut connection| {
                connection.ask("/ready", "a", &[]).map(|answer| answer.status)
            });
            if answer == Some(200) {
                return Ok(());
            }
            sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// Ends its process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Processor time that its process has used so far.
    pub fn cpu_seconds(&self) -> f64 {
        let Some(child) = &self.child else { return 0.0 };
        let text = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields: Vec<&str> =
            text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |place: usize| fields.get(place).and_then(|it| it.parse::<f64>().ok());
        (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / 100.0
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A kept connection of a consumer.
pub struct Connection {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

pub fn connect(address: SocketAddr) -> Option<Connection> {
    let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    writer.set_nodelay(true).ok()?;
    writer.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let reader = BufReader::new(writer.try_clone().ok()?);
    Some(Connection { writer, reader })
}

impl Connection {
    /// Sends a GET request and reads its answer; `None` if the connection ends before.
    pub fn ask(&mut self, target: &str, host: &str, headers: &[(&str, &str)]) -> Option<Response> {
        self.send("GET", target, host, headers, b"")
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        host: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Response> {
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.writer.write_all(&bytes).ok()?;
        read_response(&mut self.reader).ok()
    }
}
