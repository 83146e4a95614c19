//! Descriptors that pass between two processes of one scheduler, and a new process's start with those of the one before.

use crate::clock::{Clock, Millis};
use crate::upgrade_protocol::{Link, Message, SchedulerState};
use mio::net::UnixStream;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use socket2::{Domain, Protocol, Type};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::Path;
use std::time::Duration;

/// The process that runs hands over within this time, or the new one starts without it.
const PATIENCE: Millis = 1_000.0;
/// Connections that may wait for the clients' listener: what the system gives at most.
const BACKLOG: i32 = 4_096;

/// Sends bytes and a descriptor along with them; at least one byte goes, or it fails.
pub(super) fn send_along(stream: &UnixStream, bytes: &[u8], descriptor: BorrowedFd) -> io::Result<usize> {
    let descriptors = [descriptor];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut along = SendAncillaryBuffer::new(&mut space);
    along.push(SendAncillaryMessage::ScmRights(&descriptors));
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut along, SendFlags::NOSIGNAL)?)
}

/// Reads bytes and takes the descriptors that come along.
pub(super) fn receive_along(
    stream: impl AsFd,
    bytes: &mut [u8],
    passed: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut along = RecvAncillaryBuffer::new(&mut space);
    let read = recvmsg(stream, &mut [IoSliceMut::new(bytes)], &mut along, RecvFlags::CMSG_CLOEXEC)?.bytes;
    for message in along.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            passed.extend(descriptors);
        }
    }
    Ok(read)
}

/// What a process starts with.
pub(super) struct Start {
    /// The clients' listener, this process's own or the one that it was handed.
    pub(super) listener: TcpListener,
    /// What the process before has told, and the way to it.
    pub(super) before: Option<(SchedulerState, StdUnixStream, Link)>,
}

/// Gets the clients' listener from the process that holds it, or from the system.
pub(super) fn start(listen: SocketAddr, path: Option<&Path>, clock: &Clock) -> io::Result<Start> {
    if let Some(stream) = path.and_then(|path| StdUnixStream::connect(path).ok()) {
        match inherit(&stream, clock) {
            Ok((listener, state, link)) => {
                return Ok(Start { listener, before: Some((state, stream, link)) })
            }
            Err(e) => log::warn!("upgrade: the process that runs hands nothing over: {e}"),
        }
    }
    let socket = socket2::Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Guards against: a new version that cannot start since the one that runs does not hear it.
    socket.set_reuse_port(true)?;
    socket.bind(&listen.into())?;
    socket.listen(BACKLOG)?;
    Ok(Start { listener: socket.into(), before: None })
}

/// StartConditions for the listening socket and what the process before has to tell.
fn inherit(stream: &StdUnixStream, clock: &Clock) -> io::Result<(TcpListener, SchedulerState, Link)> {
    let (mut link, mut passed, until) = (Link::default(), VecDeque::new(), clock.now() + PATIENCE);
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let left = Duration::from_secs_f64((until - clock.now()).max(1.0) / 1e3);
        stream.set_read_timeout(Some(left))?;
        let read = receive_along(stream, &mut bytes, &mut passed)?;
        // The state comes first, and alone.
        let state = link.receive(&bytes[..read]).into_iter().next();
        match (state, passed.pop_front()) {
            (Some(Message::State(state)), Some(listener)) => return Ok((listener.into(), state, link)),
            (Some(other), _) => return Err(io::Error::other(format!("it began with {other:?}"))),
            (None, _) if read == 0 || clock.now() >= until => return Err(ErrorKind::TimedOut.into()),
            (None, earlier) => passed.extend(earlier),
        }
    }
}
