//! A configuration read again: what a running scheduler takes over of it, and what it cannot.

use crate::config::{Config, Setup};
use postusher_deferred_jobs::Limits;
use postusher_settings::SiteSettings;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where the configuration is read again, and what of the first reading is in force until a restart.
pub struct Reload {
    path: PathBuf,
    setup_path: Option<PathBuf>,
    name: String,
    listen: SocketAddr,
    mgmt: Option<SocketAddr>,
    site: SiteSettings,
    setup: Setup,
}

/// What a configuration read again says.
#[derive(Debug, PartialEq)]
pub struct New {
    /// Where discovery answers now.
    pub discovery: SocketAddr,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bounds of the waiting room.
    pub waiting: Option<Limits>,
    /// Parts that have changed and are not taken over.
    pub restart: Vec<&'static str>,
}

impl Reload {
    /// Remembers what a scheduler starts with. Its seed and the list that it knew are for a start alone.
    pub fn new(path: PathBuf, setup_path: Option<PathBuf>, config: &Config) -> Self {
        let (name, site, setup) = (config.name.clone(), config.site.clone(), config.setup.clone());
        Reload { path, setup_path, name, listen: config.listen, mgmt: config.mgmt, site, setup }
    }

    /// Reads the file again; a file with anything wrong in it is of no use as a whole.
    pub fn read(&self) -> Result<New, String> {
        let config = Config::load(&self.path, self.setup_path.as_deref())?;
        let has_waiting = |setup: &Setup| setup.0.waiting.is_some();
        let parts = [
            ("name", config.name != self.name),
            ("listen", config.listen != self.listen),
            ("mgmt", config.mgmt != self.mgmt),
            ("settings", config.site != self.site),
            ("<waiting>", has_waiting(&config.setup) != has_waiting(&self.setup)),
        ];
        let members = ("<members>", config.setup.0.members != self.setup.0.members);
        let restart = parts
            .into_iter()
            .chain([members])
            .filter(|(_, changed)| *changed)
            .map(|(part, _)| part)
            .collect();
        let waiting = config.setup.limits(&self.site);
        Ok(New { discovery: config.discovery, sockets: config.sockets, waiting, restart })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::{config, sample};
    use serde_json::json;

    #[test]
    fn a_new_file_tells_what_has_changed_and_a_broken_one_is_refused() {
        let path = std::env::temp_dir().join(format!("postusher-reload-{}.json", std::process::id()));
        let reload = Reload::new(path.clone(), None, &config());
        let read = |key: &str, value: serde_json::Value| {
            let mut file = sample();
            file[key] = value;
            std::fs::write(&path, file.to_string()).unwrap();
            reload.read()
        };
        let discovery: SocketAddr = ([127, 0, 0, 1], 10).into();
        let moved = read("discovery", json!("127.0.0.1:10"));
        assert_eq!(moved, Ok(New { discovery, sockets: 128, waiting: None, restart: Vec::new() }));
        // Seed and list are new with each start, and mean nothing to one that runs.
        assert!(read("seed", json!("1")).is_ok_and(|new| new.restart.is_empty()));
        assert_eq!(read("limits", json!({"sockets": 256})).unwrap().sockets, 256);
        assert_eq!(read("listen", json!("127.0.0.1:1")).unwrap().restart, ["listen"]);
        assert_eq!(read("mgmt", json!("127.0.0.1:1")).unwrap().restart, ["mgmt"]);
        let mut settings = sample()["settings"].clone();
        settings["Permissions"]["MaxAttempts"] = json!(2);
        assert_eq!(read("settings", settings).unwrap().restart, ["settings"]);
        assert!(read("discovery", json!("nowhere")).is_err());
        std::fs::remove_file(&path).unwrap();
        assert!(reload.read().is_err());
    }
}
