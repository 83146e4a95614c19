//! Parsers of attribute values and their units. The error of each parser states the expected form.

#[cfg(test)]
mod tests;

use std::net::{Ipv6Addr, SocketAddr};
use std::ops::RangeInclusive;
use thiserror::Error;

/// The maximum of a count, as in the schema.
const MAX_COUNT: usize = 1_000_000_000;
/// The maximum number of digits before the decimal point, and of those after it.
const MAX_DIGITS: usize = 15;
/// The maximum length of a host name, in bytes: the limit of 255 bytes in RFC 1035, 2.3.4, without the length
/// byte of the first label and the final zero byte.
const MAX_HOST_BYTES: usize = 253;
/// The maximum length of a label, such as the name of a worker, a route, a pool, a member or a zone, in
/// bytes.
const MAX_LABEL_BYTES: usize = 128;
/// The maximum length of the name of a class, in bytes.
const MAX_CLASS_BYTES: usize = 64;
/// The valid weights.
const WEIGHTS: RangeInclusive<f64> = 0.01..=1000.0;
/// The valid fractions.
const FRACTIONS: RangeInclusive<f64> = 0.0..=0.9;
/// The valid sizes, in bytes.
const SIZES_IN_BYTES: RangeInclusive<f64> = 1.0..=1e15;

/// The reason why a value cannot be parsed, by its expected form. The message states what to write instead.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValueError {
    /// Expected a whole number from 1 to `MAX_COUNT`.
    #[error("write a whole number from 1 to {MAX_COUNT}")]
    Count,
    /// Expected a whole number from 0 to 255.
    #[error("write a whole number from 0 to 255")]
    SmallNumber,
    /// Expected a maximum number of attempts.
    #[error("write a whole number from 1 to 16")]
    Attempts,
    /// Expected a size.
    #[error("write a number with the unit KiB, MiB or GiB, such as 64MiB")]
    Bytes,
    /// Expected a duration.
    #[error("write a number with the unit ms, s, min or h, such as 500ms or 2s")]
    Duration,
    /// Expected a duration longer than 0.
    #[error("write a duration longer than 0, such as 60s")]
    PositiveDuration,
    /// Expected a fraction.
    #[error("write a percentage from 0% to 90%, such as 15%")]
    Fraction,
    /// Expected a weight.
    #[error("write a number from 0.01 to 1000, such as 2")]
    Weight,
    /// Expected an address to listen on.
    #[error("write IP:PORT, such as 127.0.0.1:8080 or [::1]:8080")]
    Address,
    /// Expected an address that other schedulers can connect to.
    #[error("write IP:PORT with a specific IP address and a port above 0, such as 127.0.0.11:7946")]
    FixedAddress,
    /// Expected the address of a worker.
    #[error("write HOST:PORT, such as 127.0.0.1:9001 or app1.example.org:8080")]
    WorkerAddress,
    /// Expected one of several keywords.
    #[error("write one of: {}", .allowed.join(", "))]
    Keyword {
        /// The keywords that are allowed.
        allowed: Vec<&'static str>,
    },
    /// Expected a label, such as the name of a worker, a route, a pool, a member or a zone.
    #[error("write up to {MAX_LABEL_BYTES} letters, digits, '-', '_', '.', ':' and '~'")]
    Label,
    /// Expected the name of a class.
    #[error("write up to {MAX_CLASS_BYTES} letters, digits, '-', '_' and '.'")]
    ClassName,
    /// Expected a path.
    #[error("write an absolute path without '?' and '#', such as /app")]
    Path,
    /// Expected a host name.
    #[error("write a host name in lower case, such as app.example.org")]
    Host,
}

/// Parses a whole number from 1 to `MAX_COUNT`.
pub fn count(text: &str) -> Result<usize, ValueError> {
    if !is_digits(text) {
        return Err(ValueError::Count);
    }
    match text.parse() {
        Ok(number) if (1..=MAX_COUNT).contains(&number) => Ok(number),
        _ => Err(ValueError::Count),
    }
}

/// Parses a whole number from 0 to 255.
pub fn small_number(text: &str) -> Result<u32, ValueError> {
    if !is_digits(text) || text.len() > 3 {
        return Err(ValueError::SmallNumber);
    }
    match text.parse() {
        Ok(number) if number <= 255 => Ok(number),
        _ => Err(ValueError::SmallNumber),
    }
}

/// Parses the maximum number of attempts for a request, from 1 to 16.
pub fn max_attempts(text: &str) -> Result<u32, ValueError> {
    match small_number(text) {
        Ok(number) if (1..=16).contains(&number) => Ok(number),
        _ => Err(ValueError::Attempts),
    }
}

/// Parses a size with the unit `KiB`, `MiB` or `GiB`; returns it in bytes.
pub fn bytes(text: &str) -> Result<usize, ValueError> {
    let units = [("KiB", 1024.0), ("MiB", 1024.0 * 1024.0), ("GiB", 1024.0 * 1024.0 * 1024.0)];
    match number_with_unit(text, &units) {
        Some(size) if SIZES_IN_BYTES.contains(&size) => Ok(size as usize),
        _ => Err(ValueError::Bytes),
    }
}

/// Parses a duration with the unit `ms`, `s`, `min` or `h`; returns it in milliseconds.
pub fn duration(text: &str) -> Result<f64, ValueError> {
    let units = [("ms", 1.0), ("s", 1e3), ("min", 60e3), ("h", 3_600e3)];
    number_with_unit(text, &units).ok_or(ValueError::Duration)
}

/// Parses a duration longer than 0; returns it in milliseconds.
pub fn positive_duration(text: &str) -> Result<f64, ValueError> {
    let millis = duration(text)?;
    if millis > 0.0 {
        Ok(millis)
    } else {
        Err(ValueError::PositiveDuration)
    }
}

/// Parses a percentage from 0% to 90%; returns it as a fraction from 0 to 0.9.
pub fn fraction(text: &str) -> Result<f64, ValueError> {
    match number_with_unit(text, &[("%", 0.01)]) {
        Some(fraction) if FRACTIONS.contains(&fraction) => Ok(fraction),
        _ => Err(ValueError::Fraction),
    }
}

/// Parses a weight from 0.01 to 1000.
pub fn weight(text: &str) -> Result<f64, ValueError> {
    match decimal(text) {
        Some(weight) if WEIGHTS.contains(&weight) => Ok(weight),
        _ => Err(ValueError::Weight),
    }
}

/// Parses an address to listen on: an IP address and a port.
pub fn address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().map_err(|_| ValueError::Address)
}

/// Parses an address that other schedulers can connect to: its port is not 0, and its IP address is not the
/// unspecified one.
pub fn fixed_address(text: &str) -> Result<SocketAddr, ValueError> {
    match text.parse::<SocketAddr>() {
        Ok(addr) if addr.port() != 0 && !addr.ip().is_unspecified() => Ok(addr),
        _ => Err(ValueError::FixedAddress),
    }
}

/// Parses the address of a worker: a host name or IP address, and a port.
pub fn worker_address(text: &str) -> Result<String, ValueError> {
    let (host, port) = text.rsplit_once(':').ok_or(ValueError::WorkerAddress)?;
    let is_host_name = is_name(host, MAX_HOST_BYTES, "-_.");
    if !(is_host_name || is_bracketed_ipv6(host)) || !is_digits(port) {
        return Err(ValueError::WorkerAddress);
    }
    match port.parse::<u16>() {
        Ok(port) if port > 0 => Ok(text.to_string()),
        _ => Err(ValueError::WorkerAddress),
    }
}

/// Returns a parser of keywords; `values` are the allowed keywords with their values.
pub fn keyword<T: Copy>(values: &'static [(&'static str, T)]) -> impl Fn(&str) -> Result<T, ValueError> {
    move |text| match values.iter().find(|(keyword, _)| *keyword == text) {
        Some((_, value)) => Ok(*value),
        None => Err(ValueError::Keyword { allowed: values.iter().map(|(keyword, _)| *keyword).collect() }),
    }
}

/// Parses a label, such as the name of a worker, a route, a pool, a member or a zone.
pub fn label(text: &str) -> Result<String, ValueError> {
    checked(text, is_name(text, MAX_LABEL_BYTES, "-_.:~"), ValueError::Label)
}

/// Parses the name of a class.
pub fn class_name(text: &str) -> Result<String, ValueError> {
    checked(text, is_name(text, MAX_CLASS_BYTES, "-_."), ValueError::ClassName)
}

/// Parses an absolute path of printable ASCII characters, without a query or a fragment.
pub fn path(text: &str) -> Result<String, ValueError> {
    let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    let is_path = text.starts_with('/') && is_printable && !text.contains(['?', '#']);
    checked(text, is_path, ValueError::Path)
}

/// Parses a host name in lower case, without a port.
pub fn host(text: &str) -> Result<String, ValueError> {
    let is_lowercase = !text.bytes().any(|byte| byte.is_ascii_uppercase());
    checked(text, is_lowercase && is_name(text, MAX_HOST_BYTES, "-."), ValueError::Host)
}

/// Returns the text if it is valid, and the error otherwise.
fn checked(text: &str, is_valid: bool, error: ValueError) -> Result<String, ValueError> {
    if is_valid {
        Ok(text.to_string())
    } else {
        Err(error)
    }
}

/// Returns whether a text consists of 1 to `max_bytes` ASCII letters, ASCII digits and characters of
/// `punctuation`.
fn is_name(text: &str, max_bytes: usize, punctuation: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || punctuation.contains(c);
    (1..=max_bytes).contains(&text.len()) && text.chars().all(is_allowed)
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

fn is_bracketed_ipv6(host: &str) -> bool {
    let inner = host.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
    inner.is_some_and(|address| address.parse::<Ipv6Addr>().is_ok())
}

/// Parses an unsigned decimal number as in the schema: digits, optionally followed by a point and more
/// digits.
fn decimal(text: &str) -> Option<f64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    for digits in [whole, fraction] {
        if !is_digits(digits) || digits.len() > MAX_DIGITS {
            return None;
        }
    }
    text.parse().ok()
}

/// Parses a number followed by one of `units`, which are pairs of a name and a factor; returns the number
/// multiplied by the factor.
fn number_with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == '%');
    let unit = &text[number.len()..];
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    Some(decimal(number)? * factor)
}
