//! AJP is not spoken. Most containers that speak it speak HTTP at another port: which, the operator says.

use std::collections::BTreeMap;

/// Where workers that are named by AJP addresses speak HTTP.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ajp {
    /// By host and port.
    pub addresses: BTreeMap<String, String>,
    /// By port alone.
    pub ports: BTreeMap<u16, u16>,
}

impl Ajp {
    /// Reads `HOST:PORT=HOST:PORT`.
    ///
    /// # Errors
    /// What to write.
    pub fn address(&mut self, text: &str) -> Result<(), String> {
        let both = text.split_once('=').filter(|(a, b)| [a, b].iter().all(|t| t.rsplit_once(':').is_some()));
        let (from, to) = both.ok_or_else(|| format!("{text:?}: write HOST:PORT=HOST:PORT"))?;
        self.addresses.insert(from.into(), to.into());
        Ok(())
    }

    /// Reads `8009=8080`.
    ///
    /// # Errors
    /// What to write.
    pub fn port(&mut self, text: &str) -> Result<(), String> {
        let ports = text.split_once('=').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        let (from, to) = ports.ok_or_else(|| format!("{text:?}: write PORT=PORT, such as 8009=8080"))?;
        self.ports.insert(from, to);
        Ok(())
    }

    /// Where such a worker speaks HTTP, if anybody has said.
    pub fn http(&self, host: &str, port: u16) -> Option<String> {
        let whole = self.addresses.get(&format!("{host}:{port}")).cloned();
        whole.or_else(|| self.ports.get(&port).map(|port| format!("{host}:{port}")))
    }
}

/// What to do about a worker that only speaks AJP.
pub const BY_HAND: &str =
    "say where it speaks HTTP: --ajp-as-http HOST:PORT=HOST:PORT or --ajp-port-map 8009=8080";
