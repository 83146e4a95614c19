//! The Unix socket at which a successor finds its predecessor. The address of a Unix socket holds a path of at
//! most 107 bytes; longer paths are reached through a descriptor of their directory.

use mio::net::UnixListener;
use rustix::fs::{Mode, OFlags};
use std::io::{self, ErrorKind};
use std::os::fd::{AsRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

/// Maximum length of the path in the address of a Unix socket, in bytes; one byte is for the final zero.
const MAX_ADDRESS_PATH_BYTES: usize = 107;

/// A path of a socket in the form that fits into a socket address.
struct SocketPath {
    path: PathBuf,
    /// The directory that `path` names by its descriptor; `None` if `path` is the original path.
    _directory: Option<OwnedFd>,
}

impl SocketPath {
    /// Shortens a path, if it is too long.
    ///
    /// # Errors
    /// The path has no file name, or its directory cannot be opened.
    fn new(path: &Path) -> io::Result<SocketPath> {
        if path.as_os_str().len() <= MAX_ADDRESS_PATH_BYTES {
            return Ok(SocketPath { path: path.into(), _directory: None });
        }
        let name = path.file_name().ok_or(ErrorKind::InvalidInput)?;
        let parent = path.parent().ok_or(ErrorKind::InvalidInput)?;
        let flags = OFlags::PATH | OFlags::DIRECTORY | OFlags::CLOEXEC;
        let directory = rustix::fs::open(parent, flags, Mode::empty())?;
        let path = Path::new("/proc/self/fd").join(directory.as_raw_fd().to_string()).join(name);
        Ok(SocketPath { path, _directory: Some(directory) })
    }
}

/// Listens at a path, whatever its length.
///
/// # Errors
/// The directory cannot be opened, or the system rejects the address.
pub(super) fn bind(path: &Path) -> io::Result<UnixListener> {
    UnixListener::bind(&SocketPath::new(path)?.path)
}

/// Connects to the process that listens at a path, whatever its length.
///
/// # Errors
/// The directory cannot be opened, or no process listens at the path.
pub(super) fn connect(path: &Path) -> io::Result<UnixStream> {
    UnixStream::connect(&SocketPath::new(path)?.path)
}
