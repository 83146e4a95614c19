//! Clients that send a large request without its end.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Size of the part of the body that is sent. A body may have 65,536 bytes.
const SENT_BODY_BYTES: usize = 65_000;
/// Limit of a connect and a write.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request whose body lacks its last chunk. Returns the connection; `None` if it could not be opened.
pub async fn send_partial_request(addr: SocketAddr, class: String, client: usize) -> Option<TcpStream> {
    let mut stream = tokio::time::timeout(SEND_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
    let request = format!(
        "POST /{class}/job HTTP/1.1\r\nHost: s\r\nX-Trace-Id: partial-{client}\r\nX-Qos: {class}\r\n\
         Transfer-Encoding: chunked\r\n\r\n{SENT_BODY_BYTES:x}\r\n{}\r\n",
        "x".repeat(SENT_BODY_BYTES)
    );
    // A scheduler that is short of memory or has exited may end the connection meanwhile.
    let _ = tokio::time::timeout(SEND_TIMEOUT, stream.write_all(request.as_bytes())).await;
    Some(stream)
}
