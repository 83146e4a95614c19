//! Descriptors that pass between the two processes of an upgrade, and where a process's listener comes from.

use crate::clock::{Clock, Millis};
use crate::net::READ_BUFFER_BYTES;
use crate::upgrade_protocol::{Link, Message, SchedulerState};
use mio::net::UnixStream;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::Path;
use std::time::Duration;

/// The predecessor sends its state within this time, or the new process starts without it.
const STATE_TIMEOUT: Millis = 1_000.0;
/// Connections that may wait at the clients' listener: what the system gives at most.
const LISTEN_BACKLOG: i32 = 4_096;

/// Sends bytes and a descriptor along with them; says how many bytes went out, one at least.
///
/// # Errors
/// The system's reason; nothing went out then.
pub(super) fn send_with_descriptor(
    stream: &UnixStream,
    bytes: &[u8],
    descriptor: BorrowedFd,
) -> io::Result<usize> {
    let descriptors = [descriptor];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut ancillary, SendFlags::NOSIGNAL)?)
}

/// Reads bytes into the buffer, says how many, and adds the descriptors that come along.
///
/// # Errors
/// The system's reason.
pub(super) fn receive_with_descriptors(
    stream: impl AsFd,
    buffer: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(buffer)];
    let length = recvmsg(stream, &mut slices, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?.bytes;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = message {
            descriptors.extend(received);
        }
    }
    Ok(length)
}

/// The process that ran before this one, in an upgrade.
pub(super) struct Predecessor {
    /// Its state.
    pub(super) state: SchedulerState,
    /// The connection to it.
    pub(super) stream: StdUnixStream,
    /// Messages from and to it.
    pub(super) link: Link,
}

/// What a process starts with.
pub(super) struct Start {
    /// The clients' listener, this process's own or the predecessor's.
    pub(super) listener: TcpListener,
    /// None: this process is alone.
    pub(super) predecessor: Option<Predecessor>,
}

/// Gets the clients' listener from the process that runs, or else from the system.
///
/// # Errors
/// The address cannot be listened at.
pub(super) fn start(listen: SocketAddr, socket_path: Option<&Path>, clock: &Clock) -> io::Result<Start> {
    if let Some(stream) = socket_path.and_then(|path| StdUnixStream::connect(path).ok()) {
        match receive_start(stream, clock) {
            Ok(start) => return Ok(start),
            Err(e) => log::warn!("upgrade failed: step=receive-state error={e}"),
        }
    }
    let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // A new version can start even if the process that runs does not answer it.
    socket.set_reuse_port(true)?;
    socket.bind(&listen.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(Start { listener: socket.into(), predecessor: None })
}

/// Waits for the predecessor's state and the listener that comes along with it.
fn receive_start(stream: StdUnixStream, clock: &Clock) -> io::Result<Start> {
    let mut link = Link::default();
    let mut descriptors = VecDeque::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let deadline = clock.now() + STATE_TIMEOUT;
    loop {
        let left = (deadline - clock.now()).max(1.0);
        stream.set_read_timeout(Some(Duration::from_secs_f64(left / 1e3)))?;
        let length = receive_with_descriptors(&stream, &mut buffer, &mut descriptors)?;
        // The state comes first, and alone.
        let message = link.receive(&buffer[..length]).into_iter().next();
        match (message, descriptors.pop_front()) {
            (Some(Message::State(state)), Some(listener)) => {
                let predecessor = Some(Predecessor { state, stream, link });
                return Ok(Start { listener: listener.into(), predecessor });
            }
            (Some(other), _) => return Err(io::Error::other(format!("it began with {other:?}"))),
            (None, _) if length == 0 || clock.now() >= deadline => return Err(ErrorKind::TimedOut.into()),
            (None, listener) => descriptors.extend(listener),
        }
    }
}
