//! Parsers of values in Apache directives.

#[cfg(test)]
mod tests;

/// The maximum number of digits of a duration, without its unit.
const MAX_DIGITS: usize = 9;

/// Parses a duration with the unit `ms`, `s`, `mi` (minutes) or `h`, or in seconds without a unit; returns it
/// in milliseconds. Returns `None` for other texts.
pub fn parse_duration(text: &str) -> Option<f64> {
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

/// Parses `On` or `Off`, ignoring case; returns `None` for other texts.
pub fn parse_bool(text: &str) -> Option<bool> {
    match text.to_ascii_lowercase().as_str() {
        "on" => Some(true),
        "off" => Some(false),
        _ => None,
    }
}

/// A parsed URL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url {
    /// The scheme, in lower case.
    pub scheme: String,
    /// The host; an IPv6 address is in brackets.
    pub host: String,
    /// The port; if the URL has none, the default port of the scheme, or 0 if the scheme is unknown.
    pub port: u16,
    /// The path; empty, or with a leading slash.
    pub path: String,
}

impl Url {
    /// Parses a URL; returns `None` if it has no scheme, no host, or an invalid port.
    pub fn parse(text: &str) -> Option<Url> {
        let (scheme, rest) = text.split_once("://")?;
        let scheme = scheme.to_ascii_lowercase();
        let (authority, path) = match rest.find('/') {
            Some(slash) => rest.split_at(slash),
            None => (rest, ""),
        };
        let (host, port) = match authority.rfind(':') {
            // A colon before a closing bracket is part of an IPv6 address.
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
