//! Unused addresses for processes that the test bed starts later.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns a loopback address with an unused port. As far as possible, each call uses a different host of
/// 127.83.0.0/16: on 127.0.0.1 the port could be assigned to an outgoing connection before the scheduler
/// binds it.
///
/// # Errors
/// Returns an error if the operating system has no free address.
pub fn free_address() -> io::Result<SocketAddr> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let octet = |number: u32| (number % 250) as u8 + 1;
    let process = octet(std::process::id());
    let count = octet(COUNT.fetch_add(1, Ordering::Relaxed));
    free_address_on(Ipv4Addr::new(127, 83, process, count))
}

/// Returns an address on `host` whose port is free for TCP.
///
/// # Errors
/// Returns an error if the operating system has no free port.
pub fn free_address_on(host: Ipv4Addr) -> io::Result<SocketAddr> {
    let (_reservation, address) = reserve_address(host)?;
    Ok(address)
}

/// Binds a socket to a free port of `host`. The socket does not listen: a process that another thread forks
/// in the meantime has a copy of the socket until it calls `exec`, and a listening copy would accept
/// connections and then reset them.
fn reserve_address(host: Ipv4Addr) -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // The process for which the address is meant can bind it even while a copy of this socket is open.
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(SocketAddrV4::new(host, 0)).into())?;
    let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, address))
}

#[cfg(test)]
mod tests;
