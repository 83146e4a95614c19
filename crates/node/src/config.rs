//! What a scheduler is told at its start.

use crate::discovery::List;
use crate::intake::fnv;
use postusher_settings::SiteSettings;

use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;

/// The configuration, read and checked.
pub struct Config {
    /// The scheduler's name.
    pub name: String,
    /// Where clients connect, and workers with their news.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub mgmt: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// A list of discovery's holds this many bytes at most.
    pub max_list: usize,
    /// The list of workers as last had.
    pub known: List,
    /// The settings, with the names that messages use.
    pub site: SiteSettings,
    /// A digest of the settings as they stand in the file.
    pub digest: u64,
    /// What this scheduler can do beyond that.
    pub setup: Setup,
}

/// The setup file, if there is one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Setup(pub postusher_setup::Setup);

impl Setup {
    /// Reads the file, if one is named, and holds it against the settings.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn load(path: Option<&Path>, site: &SiteSettings) -> Result<Setup, String> {
        let Some(path) = path else { return Ok(Setup::default()) };
        let setup = postusher_setup::load(path)?;
        if let Some(pool) = setup.pools.first() {
            let (path, name) = (path.display(), &pool.name);
            return Err(format!("{path}: pool {name:?} stands beside a configuration; leave --config out"));
        }
        let known: Vec<&str> = site.classes.iter().map(|class| class.name.as_str()).collect();
        let weights = setup.waiting.iter().flat_map(|w| w.weights.keys());
        if let Some(other) = weights.into_iter().find(|name| !known.contains(&name.as_str())) {
            let classes = known.join(", ");
            return Err(format!("{}: there is no class {other:?}; there are {classes}", path.display()));
        }
        Ok(Setup(setup))
    }

    /// The bounds of the waiting room, if jobs may wait.
    pub fn limits(&self, site: &SiteSettings) -> Option<postusher_deferred_jobs::Limits> {
        let names = site.classes.iter().map(|class| class.name.as_str());
        self.0.waiting.as_ref().map(|w| w.limits(names))
    }
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    mgmt: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<Box<RawValue>>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "usual_memory")]
    memory_mb: f64,
}

/// Of a file that does not say: the least that a platform of the operators' page gives.
fn usual_memory() -> f64 {
    192.0
}

/// A list may take so much of the memory, as a divisor: it stands there twice for a moment, as text and as entries, beside
/// the list held. At 192 MB that is room for some 100,000 workers.
const LIST_PART: f64 = 8.0;
/// And may have this much in any case, in bytes: what the largest fleet of the operators' page needs.
const LEAST_LIST: usize = 2 << 20;

fn max_list(memory_mb: f64) -> usize {
    ((memory_mb * 1e6 / LIST_PART) as usize).max(LEAST_LIST)
}

/// Where operators call, for a file that does not say.
const MGMT: &str = "NODE_MGMT";

/// The address that the environment names, if it does.
fn mgmt_of(text: Option<String>) -> Result<Option<SocketAddr>, String> {
    let addr = |text: String| text.parse().map_err(|e| format!("{MGMT} {text:?}: {e}"));
    text.filter(|text| !text.is_empty()).map(addr).transpose()
}

/// Fewer descriptors than this cannot serve anybody.
const FEWEST_SOCKETS: usize = 64;

impl Config {
    /// Reads a configuration file, or says in one line what is wrong with it; and a setup file, where there is one.
    pub fn load(path: &Path, setup: Option<&Path>) -> Result<Config, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let config = Config::read(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        let config = Config { setup: Setup::load(setup, &config.site)?, ..config };
        Ok(Config { mgmt: config.mgmt.or(mgmt_of(std::env::var(MGMT).ok())?), ..config })
    }

    fn read(text: &[u8]) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed {:?}: {e}", file.seed))?;
        if file.limits.sockets < FEWEST_SOCKETS {
            return Err(format!("limits.sockets is {}; {FEWEST_SOCKETS} at least", file.limits.sockets));
        }
        let known = match &file.known {
            None => List::default(),
            Some(known) => List::read(known.get()).map_err(|e| format!("known: {e}"))?,
        };
        Ok(Config {
            name: file.name,
            listen: file.listen,
            mgmt: file.mgmt,
            discovery: file.discovery,
            seed,
            sockets: file.limits.sockets,
            max_list: max_list(file.limits.memory_mb),
            known,
            site: SiteSettings::from_value(&file.settings).map_err(|e| e.to_string())?,
            digest: fnv(file.settings.to_string().as_bytes()),
            setup: Setup::default(),
        })
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use serde_json::json;

    /// A configuration as the deployment writes it.
    pub fn sample() -> serde_json::Value {
        json!({"name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
            "known": {"version": 41, "full": true, "servers": [
                {"id": "s-1", "addr": "127.0.0.1:9001", "zone": "b", "kind": "k1", "cell": 3, "state": "up",
                    "weight": 1.0, "started_ms": 0}]},
            "settings": {"MyZone": 1, "Zones": ["a", "b"], "Models": ["k0", "k1"],
                "Permissions": {"Cancel": true, "ConnectTimeoutMs": 100, "KeepaliveMs": 5000, "MaxAttempts": 5,
                    "MaxRetryAfterMs": 2000, "RetryAfter": true, "SecondCopies": true},
                "Realms": [{"Name": "acme", "QuotaPerS": 4.5, "Share": 0.6}, {"Name": "zeta", "QuotaPerS": 3, "Share": 0.4}],
                "Report": {"Fields": ["tps", "concurrent", "x0"], "Source": "inline"},
                "Rules": {"ColdFrom": 0.4, "FallMs": 1500, "OverloadFactor": 3, "WarmAfterMs": 8000},
                "Services": [{"Name": "render", "Effect": "repeatable", "GoalTimeMs": 400, "HardLimitMs": 5000},
                    {"Name": "fund", "Effect": "by_key", "Group": "cell", "GoalTimeMs": 1000,
                        "HardLimitMs": 20000, "WindowMs": 30000}],
                "Specifics": {"ReportX0": "free slots"}}})
    }

    /// The sample, read.
    pub fn config() -> Config {
        Config::read(sample().to_string().as_bytes()).unwrap()
    }

    #[test]
    fn a_configuration_is_read_whole() {
        let c = config();
        assert_eq!((c.name.as_str(), c.seed, c.sockets), ("n3", 0x8c1f_30d2_7a5b_e964, 128));
        assert_eq!((c.site.classes[1].name.as_str(), c.known.entries.len()), ("fund", 1));
        assert!(c.mgmt.is_none()); // older deployments have none
    }

    #[test]
    fn the_operators_address_is_the_files_or_else_the_environments() {
        let mut file = sample();
        file["mgmt"] = json!("127.0.0.1:9100");
        let addr = Some(SocketAddr::from(([127, 0, 0, 1], 9100)));
        assert_eq!(Config::read(file.to_string().as_bytes()).unwrap().mgmt, addr);
        assert_eq!(mgmt_of(Some("127.0.0.1:9100".into())), Ok(addr));
        assert_eq!((mgmt_of(None), mgmt_of(Some(String::new()))), (Ok(None), Ok(None)));
        assert!(mgmt_of(Some("here".into())).unwrap_err().contains("NODE_MGMT"));
    }

    #[test]
    fn what_is_wrong_is_said_in_one_line() {
        let broken = [
            ("listen", json!("here")),
            ("seed", json!("xyz")),
            ("settings", json!({})),
            ("limits", json!({"sockets": 3})),
            ("known", json!(7)),
        ];
        for (key, value) in broken {
            let mut file = sample();
            file[key] = value;
            let error = Config::read(file.to_string().as_bytes()).err().unwrap();
            assert!(!error.is_empty() && !error.contains('\n'), "{key}: {error}");
        }
        assert!(Config::load(Path::new("no/such/file"), None).err().unwrap().contains("no/such/file"));
    }

    #[test]
    fn a_list_that_is_not_there_is_an_empty_one() {
        let mut file = sample();
        file.as_object_mut().unwrap().remove("known");
        assert!(Config::read(file.to_string().as_bytes()).unwrap().known.entries.is_empty());
    }
}
