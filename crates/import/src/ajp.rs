//! Mapping of AJP addresses to HTTP addresses. The scheduler does not support AJP. Most servlet containers
//! with AJP also support HTTP on another port, which the operator has to state with `--ajp-as-http` or
//! `--ajp-port-map`.

use std::collections::BTreeMap;
use thiserror::Error;

/// The action that the operator has to take if a worker has an AJP address without a mapping.
pub const AJP_BY_HAND: &str =
    "set its HTTP address with --ajp-as-http HOST:PORT=HOST:PORT or --ajp-port-map 8009=8080";

/// The reason why a mapping of AJP addresses is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum AjpMappingError {
    /// The option is not a pair of addresses.
    #[error("invalid address mapping {text:?}; write HOST:PORT=HOST:PORT")]
    Address {
        /// The option's value.
        text: String,
    },
    /// The option is not a pair of ports.
    #[error("invalid port mapping {text:?}; write PORT=PORT, such as 8009=8080")]
    Port {
        /// The option's value.
        text: String,
    },
}

/// The HTTP addresses of workers that are configured with AJP addresses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AjpMapping {
    /// The HTTP addresses, by AJP address.
    pub addresses: BTreeMap<String, String>,
    /// The HTTP ports, by AJP port, for addresses that are not in `addresses`.
    pub ports: BTreeMap<u16, u16>,
}

impl AjpMapping {
    /// Adds an address mapping, written as `HOST:PORT=HOST:PORT`.
    ///
    /// # Errors
    /// The text does not have this form.
    pub fn add_address(&mut self, text: &str) -> Result<(), AjpMappingError> {
        match text.split_once('=') {
            Some((ajp, http)) if ajp.contains(':') && http.contains(':') => {
                self.addresses.insert(ajp.into(), http.into());
                Ok(())
            }
            _ => Err(AjpMappingError::Address { text: text.into() }),
        }
    }

    /// Adds a port mapping, written as `8009=8080`.
    ///
    /// # Errors
    /// The text does not have this form.
    pub fn add_port(&mut self, text: &str) -> Result<(), AjpMappingError> {
        let error = || AjpMappingError::Port { text: text.into() };
        let (ajp, http) = text.split_once('=').ok_or_else(error)?;
        let ajp = ajp.parse().map_err(|_| error())?;
        let http = http.parse().map_err(|_| error())?;
        self.ports.insert(ajp, http);
        Ok(())
    }

    /// Returns the HTTP address of the worker with an AJP address; `None` if there is no mapping.
    pub fn http_address(&self, host: &str, port: u16) -> Option<String> {
        if let Some(address) = self.addresses.get(&format!("{host}:{port}")) {
            return Some(address.clone());
        }
        let http_port = self.ports.get(&port)?;
        Some(format!("{host}:{http_port}"))
    }
}
