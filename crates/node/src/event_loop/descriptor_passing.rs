//! Passing of descriptors between the two processes of an upgrade. A starting process obtains its client
//! listener from the predecessor or creates it.

use super::upgrade_socket;
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
use thiserror::Error;

/// Time within which the predecessor must send its state; otherwise the new process starts without that state
/// and binds its own listener.
const STATE_TIMEOUT: Millis = 1_000.0;
/// Time within which a process that refuses a successor must accept it after all, because its own predecessor
/// exits; otherwise the new process ends.
const REFUSAL_TIMEOUT: Millis = 1_000.0;
/// Pause before a process that has refused is asked again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Length of the accept queue of the client listener, the default maximum of Linux (`net.core.somaxconn`).
const LISTEN_BACKLOG: i32 = 4_096;

/// Sends bytes together with a descriptor. `bytes` must not be empty. Returns the number of bytes sent, at
/// least one.
///
/// # Errors
/// The system call failed, and nothing was sent.
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

/// Reads bytes into `buffer` and appends the descriptors received with them to `descriptors`. Returns the
/// number of bytes read; 0 means that the other process has closed the connection.
///
/// # Errors
/// The system call failed.
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

/// The predecessor of this process in an upgrade.
pub(super) struct Predecessor {
    /// State that the predecessor has sent.
    pub(super) state: SchedulerState,
    /// Connection to the predecessor.
    pub(super) stream: StdUnixStream,
    /// Messages from and to the predecessor.
    pub(super) link: Link,
    /// Messages that have arrived with the end of the state.
    pub(super) messages: Vec<Message>,
    /// Descriptors that have arrived with these messages.
    pub(super) descriptors: VecDeque<OwnedFd>,
}

/// The client listener and, in an upgrade, the predecessor with which a process starts.
pub(super) struct Startup {
    /// The client listener, newly bound or received from the predecessor.
    pub(super) listener: TcpListener,
    /// `None` if no running process has handed its listener over.
    pub(super) predecessor: Option<Predecessor>,
}

/// Reason why a process at the upgrade socket has not handed its listener over.
#[derive(Debug, Error)]
enum HandoverError {
    /// The process has closed the connection: it takes part in an upgrade already.
    #[error("the process at the upgrade socket has refused")]
    Refused,
    /// The connection failed, something else than the state was sent, or nothing was sent in time.
    #[error(transparent)]
    Failed(#[from] io::Error),
}

/// Obtains the client listener from the process that listens on `socket_path`. Binds a new listener if there
/// is no such process or it does not answer.
///
/// # Errors
/// [`ErrorKind::AddrInUse`] if two other processes serve the address; another error if the address cannot be
/// bound.
pub(super) fn obtain_listener(
    listen: SocketAddr,
    socket_path: Option<&Path>,
    clock: &Clock,
) -> io::Result<Startup> {
    let deadline = clock.now() + REFUSAL_TIMEOUT;
    while let Some(stream) = socket_path.and_then(|path| upgrade_socket::connect(path).ok()) {
        match receive_from_predecessor(stream, clock) {
            Ok(startup) => return Ok(startup),
            Err(HandoverError::Refused) if clock.now() < deadline => std::thread::sleep(REFUSAL_PAUSE),
            Err(HandoverError::Refused) => {
                return Err(io::Error::new(ErrorKind::AddrInUse, "two other processes serve this address"));
            }
            Err(HandoverError::Failed(e)) => {
                log::warn!("upgrade failed: step=receive-state error={e}");
                break;
            }
        }
    }
    let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Allows the new process to bind the address even if a running process has not handed its listener over.
    socket.set_reuse_port(true)?;
    socket.bind(&listen.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(Startup { listener: socket.into(), predecessor: None })
}

/// Waits for the predecessor's state and the client listener sent with it.
///
/// # Errors
/// The connection failed or was closed, the predecessor sent something else, or nothing arrived in time.
fn receive_from_predecessor(stream: StdUnixStream, clock: &Clock) -> Result<Startup, HandoverError> {
    let mut link = Link::default();
    let mut descriptors = VecDeque::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let deadline = clock.now() + STATE_TIMEOUT;
    loop {
        let remaining = (deadline - clock.now()).max(1.0);
        stream.set_read_timeout(Some(Duration::from_secs_f64(remaining / 1e3)))?;
        let length = receive_with_descriptors(&stream, &mut buffer, &mut descriptors)?;
        // The state is the first message. Others may arrive with its end, if it is large.
        let mut messages = link.receive(&buffer[..length]).into_iter();
        match (messages.next(), descriptors.pop_front()) {
            (Some(Message::State(state)), Some(listener)) => {
                let messages = messages.collect();
                let predecessor = Some(Predecessor { state, stream, link, messages, descriptors });
                return Ok(Startup { listener: listener.into(), predecessor });
            }
            (Some(message), _) => {
                let error =
                    format!("predecessor sent {message:?} instead of its state with the client listener");
                return Err(io::Error::other(error).into());
            }
            (None, _) if length == 0 => return Err(HandoverError::Refused),
            (None, _) if clock.now() >= deadline => {
                let error = format!("predecessor did not send its state within {STATE_TIMEOUT} ms");
                return Err(io::Error::new(ErrorKind::TimedOut, error).into());
            }
            (None, listener) => descriptors.extend(listener),
        }
    }
}
