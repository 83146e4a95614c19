//! Measures the processor time that membership costs a real process in a large cluster: `cargo run --release
//! -p postusher-testbed --example member_cost -- POSTUSHER [members] [seconds]`. The program under test is
//! one member. The other members run the same state machine on their own sockets, all in this process, whose
//! processor time is not part of the result.

use anyhow::{bail, Context, Result};
use postusher_membership::{Action, Config, Member, MemberState, Millis};
use postusher_testbed::virtual_net::name_of;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

/// Index of the program under test among the members.
const PROGRAM_INDEX: usize = 0;
/// Index of the seed member, through which all others join.
const SEED_INDEX: usize = 1;
/// Number of host addresses per /24 network that members listen on.
const HOSTS_PER_NETWORK: usize = 250;
const PORT: u16 = 7946;
/// Clock ticks per second, the unit of processor times in `/proc` (`USER_HZ`, 100 on all Linux systems).
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields of `/proc/PID/stat` after the command name.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among these fields.
const SYSTEM_TIME_FIELD: usize = 12;
/// Time before the measurement begins, in which the members discover each other.
const SETTLING_TIME: Duration = Duration::from_secs(30);
/// Sleep of the polling loop when no datagram has arrived.
const IDLE_SLEEP: Duration = Duration::from_micros(500);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
const DEFAULT_MEMBERS: usize = 300;
const DEFAULT_SECONDS: u64 = 60;

/// Configuration of the program under test: no workers and no jobs.
const PROGRAM_CONFIG: &str = r#"{"name": "m0000",
        "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 200},
        "known": {"version": 1, "full": true, "servers": []},
        "settings": {"Discovery": "ask", "Zones": ["a"], "Models": ["k"],
            "Permissions": {"Cancel": true, "ConnectTimeoutMs": 500, "KeepaliveMs": 60000, "MaxAttempts": 2},
            "Rules": {"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1},
            "Services": [{"Name": "render", "Effect": "repeatable",
                "GoalTimeMs": 400, "HardLimitMs": 60000}]}}"#;

fn address_of(index: usize) -> SocketAddr {
    let network = (index / HOSTS_PER_NETWORK) as u8;
    let host = (index % HOSTS_PER_NETWORK) as u8 + 1;
    SocketAddr::from((Ipv4Addr::new(127, 86, network, host), PORT))
}

/// A member that runs in this process.
struct LocalMember {
    member: Member,
    socket: UdpSocket,
}

/// All members except the program under test; the first one is the seed.
struct LocalMembers {
    started: Instant,
    members: Vec<LocalMember>,
}

impl LocalMembers {
    /// Creates the local members of a cluster of this size and binds a socket for each.
    fn bind(cluster_size: usize) -> Result<LocalMembers> {
        let started = Instant::now();
        let mut members = Vec::new();
        for index in SEED_INDEX..cluster_size {
            let zone = format!("z{}", index % 3);
            let mut config = Config::new("postusher", &name_of(index), &zone, address_of(index));
            if index != SEED_INDEX {
                config.seeds = vec![address_of(SEED_INDEX)];
            }
            let socket = UdpSocket::bind(address_of(index))?;
            socket.set_nonblocking(true)?;
            members.push(LocalMember { member: Member::new(config, index as u64, 0.0), socket });
        }
        Ok(LocalMembers { started, members })
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Handles the datagrams and the timer of each member; returns the number of datagrams received.
    fn poll(&mut self) -> Result<usize> {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut received = 0;
        for position in 0..self.members.len() {
            let now = self.now();
            let mut actions = Vec::new();
            let LocalMember { member, socket } = &mut self.members[position];
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                received += 1;
                member.receive_datagram(from, &buffer[..length], now, &mut actions);
            }
            if member.next_timer().is_some_and(|at| at <= now) {
                member.advance(now, &mut actions);
            }
            self.perform_actions(position, actions)?;
        }
        Ok(received)
    }

    fn perform_actions(&mut self, position: usize, actions: Vec<Action>) -> Result<()> {
        for action in actions {
            match action {
                Action::SendDatagram { to, bytes } => {
                    // A datagram that cannot be sent counts as lost, which the protocol tolerates.
                    let _ = self.members[position].socket.send_to(&bytes, to);
                }
                Action::ExchangeState { with } => self.exchange_locally(position, with),
                Action::Terminate { reason } => bail!("{reason}"),
            }
        }
        Ok(())
    }

    /// Performs a state exchange between two local members without a connection. An exchange with the program
    /// under test is skipped: it opens a connection for its own exchanges.
    fn exchange_locally(&mut self, position: usize, with: SocketAddr) {
        let now = self.now();
        let peer = (0..self.members.len()).find(|peer| address_of(peer + SEED_INDEX) == with);
        let Some(peer) = peer else { return };
        let state = self.members[position].member.encode_state();
        let peer_state = self.members[peer].member.encode_state();
        // Resulting actions can be dropped, because the members repeat them at their next timer.
        self.members[peer].member.merge_state(&state, now, &mut Vec::new());
        self.members[position].member.merge_state(&peer_state, now, &mut Vec::new());
    }

    /// Answers a state exchange that the program under test has opened with the seed. Each state follows its
    /// length, four bytes in network byte order.
    fn answer_exchange(&mut self, mut stream: TcpStream) -> Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_read_timeout(Some(EXCHANGE_TIMEOUT))?;
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut program_state = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut program_state)?;
        let now = self.now();
        let seed = &mut self.members[0].member;
        let seed_state = seed.encode_state();
        stream.write_all(&(seed_state.len() as u32).to_be_bytes())?;
        stream.write_all(&seed_state)?;
        seed.merge_state(&program_state, now, &mut Vec::new());
        Ok(())
    }

    /// Returns the number of local members that consider all members of a cluster of this size alive.
    fn count_complete_views(&self, cluster_size: usize) -> usize {
        let is_complete = |local: &&LocalMember| {
            let view = local.member.view();
            let alive = view.members.iter().filter(|member| member.state() == MemberState::Alive);
            alive.count() == cluster_size
        };
        self.members.iter().filter(is_complete).count()
    }
}

/// Starts the program under test as a member without jobs.
fn start_program(program: &str, directory: &Path) -> Result<Child> {
    std::fs::create_dir_all(directory)?;
    let config = directory.join("config.json");
    std::fs::write(&config, PROGRAM_CONFIG)?;
    let listen = address_of(PROGRAM_INDEX);
    let seed = address_of(SEED_INDEX);
    let setup = directory.join("setup.xml");
    let setup_text = format!(
        r#"<postusher>
<members name="m0000" zone="z0" listen="{listen}"><seed addr="{seed}"/></members>
</postusher>"#
    );
    std::fs::write(&setup, setup_text)?;
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(config).arg("--setup").arg(setup).env("RUST_LOG", "warn");
    command.spawn().with_context(|| program.to_string())
}

/// Returns the processor time that a process has used so far, in seconds (Linux only).
fn processor_seconds(process_id: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat"))?;
    // The command name is in parentheses and may contain spaces.
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> Result<f64> {
        let field = fields.get(index).context("processor times missing in /proc/PID/stat")?;
        Ok(field.parse()?)
    };
    Ok((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / CLOCK_TICKS_PER_SECOND)
}

/// The state at the beginning of the measurement.
struct Baseline {
    processor_seconds: f64,
    /// Time since the start of the cluster.
    taken_after: Duration,
    complete_views: usize,
}

/// Runs the cluster until the measurement is complete, and prints the result.
fn measure(
    local_members: &mut LocalMembers,
    seed_listener: &TcpListener,
    program: &Child,
    cluster_size: usize,
    duration: Duration,
) -> Result<()> {
    let mut baseline = None;
    loop {
        if let Ok((stream, _)) = seed_listener.accept() {
            local_members.answer_exchange(stream)?;
        }
        if local_members.poll()? == 0 {
            thread::sleep(IDLE_SLEEP);
        }
        let elapsed = local_members.started.elapsed();
        match &baseline {
            None if elapsed > SETTLING_TIME => {
                baseline = Some(Baseline {
                    processor_seconds: processor_seconds(program.id())?,
                    taken_after: elapsed,
                    complete_views: local_members.count_complete_views(cluster_size),
                });
            }
            Some(baseline) if elapsed - baseline.taken_after >= duration => {
                return print_cost(local_members, program, cluster_size, baseline, elapsed);
            }
            None | Some(_) => {}
        }
    }
}

fn print_cost(
    local_members: &LocalMembers,
    program: &Child,
    cluster_size: usize,
    baseline: &Baseline,
    elapsed: Duration,
) -> Result<()> {
    let used_seconds = processor_seconds(program.id())? - baseline.processor_seconds;
    let measured_seconds = (elapsed - baseline.taken_after).as_secs_f64();
    let complete_before = baseline.complete_views;
    let complete_after = local_members.count_complete_views(cluster_size);
    println!(
        "{cluster_size} members: {complete_before} of {} local members had a complete view at the start, \
         {complete_after} at the end",
        cluster_size - 1
    );
    println!(
        "processor time of the program: {used_seconds:.2} s in {measured_seconds:.0} s, {:.2}% of a core",
        100.0 * used_seconds / measured_seconds
    );
    Ok(())
}

fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let program = args.next().context("missing argument: path of the postusher program")?;
    let cluster_size: usize = args.next().map_or(Ok(DEFAULT_MEMBERS), |text| text.parse())?;
    let seconds: u64 = args.next().map_or(Ok(DEFAULT_SECONDS), |text| text.parse())?;
    let seed_listener = TcpListener::bind(address_of(SEED_INDEX))?;
    seed_listener.set_nonblocking(true)?;
    let mut local_members = LocalMembers::bind(cluster_size)?;
    let directory = std::env::temp_dir().join(format!("member-cost-{}", std::process::id()));
    let mut program = start_program(&program, &directory)?;
    let result =
        measure(&mut local_members, &seed_listener, &program, cluster_size, Duration::from_secs(seconds));
    program.kill()?;
    program.wait()?;
    std::fs::remove_dir_all(directory)?;
    result
}
