//! What membership costs a real process among many: `cargo run --release -p postusher-testbed --example member_cost -- POSTUSHER
//! [members] [seconds]`. The program is one member; the others are its own state machine on sockets of their own, all in
//! this process, which plays no part in the figure.

use anyhow::{bail, Context, Result};
use postusher_membership::{Action, Config, Member, MemberState};
use postusher_testbed::virtual_net::name_of;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// The real one's number.
const REAL: usize = 0;
/// Processor time is counted in these, a second (`USER_HZ`, the same on all of Linux).
const TICKS: f64 = 100.0;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 86, (n / 250) as u8, (n % 250) as u8 + 1), 7946))
}

/// The others.
struct Others {
    begun: Instant,
    members: Vec<(Member, UdpSocket)>,
}

impl Others {
    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    /// Everybody's turn; how many datagrams came.
    fn turn(&mut self) -> Result<usize> {
        let (mut bytes, mut came) = (vec![0; 64 * 1024], 0);
        for n in 0..self.members.len() {
            let (now, mut out) = (self.now(), Vec::new());
            let (member, socket) = &mut self.members[n];
            while let Ok((length, from)) = socket.recv_from(&mut bytes) {
                came += 1;
                member.receive_datagram(from, &bytes[..length], now, &mut out);
            }
            if member.next_timer().is_some_and(|at| at <= now) {
                member.advance(now, &mut out);
            }
            for action in out {
                match action {
                    Action::SendDatagram { to, bytes } => {
                        let _ = self.members[n].1.send_to(&bytes, to);
                    }
                    Action::ExchangeState { with } => self.exchange(n, with),
                    Action::Terminate { reason } => bail!("{reason}"),
                }
            }
        }
        Ok(came)
    }

    /// Among themselves without a connection; the real one opens its own.
    fn exchange(&mut self, n: usize, with: SocketAddr) {
        let now = self.now();
        let Some(other) = (0..self.members.len()).find(|m| addr(m + 1) == with) else { return };
        let (mine, theirs) = (self.members[n].0.encode_state(), self.members[other].0.encode_state());
        // What would be sent at once is sent with the next wake.
        self.members[other].0.merge_state(&mine, now, &mut Vec::new());
        self.members[n].0.merge_state(&theirs, now, &mut Vec::new());
    }

    /// The real one asks the seed for its state, or tells its own.
    fn asked(&mut self, mut stream: TcpStream) -> Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut whole = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut whole)?;
        let now = self.now();
        let mine = self.members[0].0.encode_state();
        stream.write_all(&(mine.len() as u32).to_be_bytes())?;
        stream.write_all(&mine)?;
        self.members[0].0.merge_state(&whole, now, &mut Vec::new());
        Ok(())
    }
}

/// The program as a member, and no work.
fn start(program: &str, dir: &Path) -> Result<Child> {
    std::fs::create_dir_all(dir)?;
    let (config, setup) = (dir.join("config.json"), dir.join("setup.xml"));
    std::fs::write(
        &config,
        r#"{"name": "m0000", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 200},
        "known": {"version": 1, "full": true, "servers": []},
        "settings": {"Discovery": "ask", "Zones": ["a"], "Models": ["k"],
            "Permissions": {"Cancel": true, "ConnectTimeoutMs": 500, "KeepaliveMs": 60000, "MaxAttempts": 2},
            "Rules": {"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1},
            "Services": [{"Name": "render", "Effect": "repeatable", "GoalTimeMs": 400, "HardLimitMs": 60000}]}}"#,
    )?;
    let (listen, seed) = (addr(REAL), addr(1));
    let members = format!(
        r#"<postusher><members name="m0000" zone="z0" listen="{listen}"><seed addr="{seed}"/></members></postusher>"#
    );
    std::fs::write(&setup, members)?;
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(config).arg("--setup").arg(setup).env("RUST_LOG", "warn");
    command.spawn().with_context(|| program.to_string())
}

/// Processor time of a process so far, in seconds (Linux).
fn cpu(id: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).context("no times in /proc");
    Ok((ticks(11)? + ticks(12)?) / TICKS)
}

fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let program = args.next().context("the program to measure")?;
    let members: usize = args.next().map_or(Ok(300), |n| n.parse())?;
    let seconds: u64 = args.next().map_or(Ok(60), |n| n.parse())?;
    let seed = TcpListener::bind(addr(1))?;
    seed.set_nonblocking(true)?;
    let mut others = Others { begun: Instant::now(), members: Vec::new() };
    for n in 1..members {
        let config = Config::new("postusher", &name_of(n), &format!("z{}", n % 3), addr(n));
        let seeds = if n == 1 { Vec::new() } else { vec![addr(1)] };
        let socket = UdpSocket::bind(addr(n))?;
        socket.set_nonblocking(true)?;
        others.members.push((Member::new(Config { seeds, ..config }, n as u64, 0.0), socket));
    }
    let dir = std::env::temp_dir().join(format!("member-cost-{}", std::process::id()));
    let mut real = start(&program, &dir)?;
    let played = play(&mut others, &seed, &real, members, seconds);
    real.kill()?;
    real.wait()?;
    std::fs::remove_dir_all(dir)?;
    played
}

fn play(others: &mut Others, seed: &TcpListener, real: &Child, members: usize, seconds: u64) -> Result<()> {
    let mut counted = None;
    let settle = Duration::from_secs(30);
    loop {
        if let Ok((stream, _)) = seed.accept() {
            others.asked(stream)?;
        }
        if others.turn()? == 0 {
            std::thread::sleep(Duration::from_micros(500));
        }
        let since = others.begun.elapsed();
        let knows = |m: &Member| m.view().members.iter().filter(|v| v.state() == MemberState::Alive).count();
        if counted.is_none() && since > settle {
            let agreed = others.members.iter().filter(|(m, _)| knows(m) == members).count();
            counted = Some((cpu(real.id())?, since, agreed));
        }
        let Some((before, from, agreed)) =
            counted.filter(|(_, from, _)| since - *from >= Duration::from_secs(seconds))
        else {
            continue;
        };
        let (used, lasted) = (cpu(real.id())? - before, (since - from).as_secs_f64());
        let still = others.members.iter().filter(|(m, _)| knows(m) == members).count();
        println!(
            "{members} members, {agreed} of {} others knew all at first, {still} at the end",
            members - 1
        );
        println!(
            "processor time of the real one: {used:.2} s in {lasted:.0} s, {:.2}% of a core",
            100.0 * used / lasted
        );
        return Ok(());
    }
}
