//! Values of Apache's parameters.

#[cfg(test)]
mod tests;

/// More digits of a time are not read.
const MAX_DIGITS: usize = 9;

/// A length of time in milliseconds: seconds, unless a unit (`ms`, `s`, `mi`, `h`) says otherwise. `None` for other
/// texts.
pub fn time(text: &str) -> Option<f64> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let factor = match text[digits.len()..].to_ascii_lowercase().as_str() {
        "" | "s" => 1e3,
        "ms" => 1.0,
        "mi" => 60e3,
        "h" => 3_600e3,
        _ => return None,
    };
    if digits.len() > MAX_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let number: f64 = digits.parse().ok()?;
    Some(number * factor)
}

/// `On` or `Off`, in any case; `None` for another word.
pub fn switch(text: &str) -> Option<bool> {
    match text.to_ascii_lowercase().as_str() {
        "on" => Some(true),
        "off" => Some(false),
        _ => None,
    }
}

/// The parts of a URL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url {
    /// The scheme, in lower case.
    pub scheme: String,
    /// The host; an IPv6 address stands in brackets.
    pub host: String,
    /// The port; that of the scheme where none is named, and 0 where the scheme is not known.
    pub port: u16,
    /// The path, empty or with its first slash.
    pub path: String,
}

impl Url {
    /// Parses a URL; `None` if it has no scheme, no host or no valid port.
    pub fn parse(text: &str) -> Option<Url> {
        let (scheme, rest) = text.split_once("://")?;
        let scheme = scheme.to_ascii_lowercase();
        let (authority, path) = match rest.find('/') {
            Some(slash) => rest.split_at(slash),
            None => (rest, ""),
        };
        let (host, port) = match authority.rfind(':') {
            // A colon before a bracket belongs to an IPv6 address.
            Some(colon) if !authority[colon..].contains(']') => {
                (&authority[..colon], authority[colon + 1..].parse().ok()?)
            }
            _ => (authority, default_port(&scheme)),
        };
        if host.is_empty() {
            return None;
        }
        Some(Url { scheme, host: host.to_string(), port, path: path.to_string() })
    }
}

fn default_port(scheme: &str) -> u16 {
    match scheme {
        "http" | "ws" | "h2c" => 80,
        "https" | "wss" | "h2" => 443,
        "ajp" => 8009,
        "fcgi" => 8000,
        _ => 0,
    }
}
