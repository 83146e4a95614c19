//! The operators' address: what a call there asks for, read from HTTP to a [`Call`] that is neutral to it.

use crate::http::RequestLine;
use serde::{Deserialize, Serialize};

/// What operators' staff may ask of a running scheduler. Each may come twice and means the same then.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Whether this process takes clients.
    Healthcheck,
    /// The figures.
    Stats,
    /// What is believed of other schedulers.
    Members,
    /// Send a target nothing new, until it is taken back.
    TakeOut(String),
    /// Use a target again.
    TakeBack(String),
    /// Send clients away.
    Drain,
    /// Take clients again.
    EndDrain,
}

/// Why a call is answered with no.
#[derive(Debug, PartialEq)]
pub enum No {
    /// There is nothing of that name.
    Unknown,
    /// It is there, and takes this method.
    Method(&'static str),
}

/// Reads a call.
pub fn read(line: &RequestLine) -> Result<Call, No> {
    let path = line.target.split('?').next().unwrap_or("");
    let parts: Vec<&str> = path.split('/').collect();
    let (method, call) = match parts[..] {
        ["", "healthcheck"] => ("GET", Call::Healthcheck),
        ["", "stats"] => ("GET", Call::Stats),
        ["", "members"] => ("GET", Call::Members),
        ["", "workers", id, "maint"] => ("PUT", Call::TakeOut(id.to_string())),
        ["", "workers", id, "ready"] => ("PUT", Call::TakeBack(id.to_string())),
        ["", "healthcheck", "fail"] => ("PUT", Call::Drain),
        ["", "healthcheck", "ok"] => ("PUT", Call::EndDrain),
        _ => return Err(No::Unknown),
    };
    if line.method == method {
        Ok(call)
    } else {
        Err(No::Method(method))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_and_what_is_none_says_why() {
        let read = |text: &str| {
            let (method, target) = text.split_once(' ').unwrap();
            read(&RequestLine { method: method.into(), target: target.into() })
        };
        assert_eq!(read("GET /healthcheck"), Ok(Call::Healthcheck));
        assert_eq!(read("GET /stats?all=1"), Ok(Call::Stats));
        assert_eq!((read("GET /members"), read("PUT /members")), (Ok(Call::Members), Err(No::Method("GET"))));
        assert_eq!(read("PUT /workers/s-1/maint"), Ok(Call::TakeOut("s-1".into())));
        assert_eq!(read("PUT /workers/s-1/ready"), Ok(Call::TakeBack("s-1".into())));
        assert_eq!(read("PUT /healthcheck/fail"), Ok(Call::Drain));
        assert_eq!(read("PUT /healthcheck/ok"), Ok(Call::EndDrain));
        for unknown in ["GET /", "GET /up", "GET healthcheck", "PUT /workers/s-1", "PUT /workers/s-1/maint/x"]
        {
            assert_eq!(read(unknown), Err(No::Unknown), "{unknown}");
        }
        assert_eq!(read("GET /workers/s-1/maint"), Err(No::Method("PUT")));
        assert_eq!(read("POST /stats"), Err(No::Method("GET")));
    }
}
