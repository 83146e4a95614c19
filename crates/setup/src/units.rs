//! Reads values of attributes, with their units. The error of each function says what to write instead.

#[cfg(test)]
mod tests;

use std::net::{Ipv6Addr, SocketAddr};
use std::ops::RangeInclusive;
use thiserror::Error;

/// The largest whole number that the schema allows.
const MAX_COUNT: usize = 1_000_000_000;
/// More digits than these are not read.
const MAX_DIGITS: usize = 15;
/// The longest name of a host, in bytes (RFC 1035, 2.3.4).
const MAX_HOST_BYTES: usize = 253;
/// The longest name of a worker, a route or a pool, in bytes.
const MAX_LABEL_BYTES: usize = 128;
/// The longest name of a class, in bytes.
const MAX_CLASS_BYTES: usize = 64;
const WEIGHTS: RangeInclusive<f64> = 0.01..=1000.0;
const FRACTIONS: RangeInclusive<f64> = 0.0..=0.9;
const SIZES_IN_BYTES: RangeInclusive<f64> = 1.0..=1e15;

/// Why a value cannot be read: what to write instead.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValueError {
    /// A whole number from 1 is needed.
    #[error("write a whole number from 1 to {MAX_COUNT}")]
    Count,
    /// A whole number of one byte is needed.
    #[error("write a whole number from 0 to 255")]
    SmallNumber,
    /// A number of attempts is needed.
    #[error("write a whole number from 1 to 16")]
    Attempts,
    /// A size is needed.
    #[error("write a number with KiB, MiB or GiB, such as 64MiB")]
    Bytes,
    /// A length of time is needed.
    #[error("write a number with ms, s, min or h, such as 500ms or 2s")]
    Duration,
    /// A length of time that is not 0 is needed.
    #[error("write a time above 0, such as 60s")]
    PositiveDuration,
    /// A part of the whole is needed.
    #[error("write a part from 0% to 90%, such as 15%")]
    Fraction,
    /// A weight is needed.
    #[error("write a number from 0.01 to 1000, such as 2")]
    Weight,
    /// An address to listen at is needed.
    #[error("write IP:PORT, such as 127.0.0.1:8080 or [::1]:8080")]
    Address,
    /// An address that others can connect to is needed.
    #[error("write IP:PORT as others reach it, such as 127.0.0.11:7946")]
    FixedAddress,
    /// The address of a worker is needed.
    #[error("write HOST:PORT, such as 127.0.0.1:9001 or app1.example.org:8080")]
    WorkerAddress,
    /// One of several words is needed.
    #[error("write one of {}", .allowed.join(", "))]
    Word {
        /// The words.
        allowed: Vec<&'static str>,
    },
    /// The name of a worker, a route or a pool is needed.
    #[error("write letters, digits, '-', '_', '.', ':' and '~', 128 at most")]
    Label,
    /// The name of a class is needed.
    #[error("write letters, digits, '-', '_' and '.', 64 at most")]
    ClassName,
    /// A path is needed.
    #[error("write a path from the root on, such as /app")]
    Path,
    /// The name of a host is needed.
    #[error("write a host in small letters, such as app.example.org")]
    Host,
}

/// A whole number from 1.
pub fn count(text: &str) -> Result<usize, ValueError> {
    if !is_digits(text) {
        return Err(ValueError::Count);
    }
    match text.parse() {
        Ok(number) if (1..=MAX_COUNT).contains(&number) => Ok(number),
        _ => Err(ValueError::Count),
    }
}

/// A whole number from 0 to 255.
pub fn small(text: &str) -> Result<u32, ValueError> {
    if !is_digits(text) || text.len() > 3 {
        return Err(ValueError::SmallNumber);
    }
    match text.parse() {
        Ok(number) if number <= 255 => Ok(number),
        _ => Err(ValueError::SmallNumber),
    }
}

/// The most attempts for one request.
pub fn attempts(text: &str) -> Result<u32, ValueError> {
    match small(text) {
        Ok(number) if (1..=16).contains(&number) => Ok(number),
        _ => Err(ValueError::Attempts),
    }
}

/// A size in bytes, which is written with `KiB`, `MiB` or `GiB`.
pub fn bytes(text: &str) -> Result<usize, ValueError> {
    let units = [("KiB", 1024.0), ("MiB", 1024.0 * 1024.0), ("GiB", 1024.0 * 1024.0 * 1024.0)];
    match number_with_unit(text, &units) {
        Some(size) if SIZES_IN_BYTES.contains(&size) => Ok(size as usize),
        _ => Err(ValueError::Bytes),
    }
}

/// A length of time in milliseconds, which is written with `ms`, `s`, `min` or `h`.
pub fn duration(text: &str) -> Result<f64, ValueError> {
    let units = [("ms", 1.0), ("s", 1e3), ("min", 60e3), ("h", 3_600e3)];
    number_with_unit(text, &units).ok_or(ValueError::Duration)
}

/// A length of time in milliseconds that is not 0.
pub fn positive_duration(text: &str) -> Result<f64, ValueError> {
    let millis = duration(text)?;
    if millis > 0.0 {
        Ok(millis)
    } else {
        Err(ValueError::PositiveDuration)
    }
}

/// A part of the whole from 0 to 0.9, which is written as a percentage.
pub fn fraction(text: &str) -> Result<f64, ValueError> {
    match number_with_unit(text, &[("%", 0.01)]) {
        Some(fraction) if FRACTIONS.contains(&fraction) => Ok(fraction),
        _ => Err(ValueError::Fraction),
    }
}

/// A weight: above 0.
pub fn weight(text: &str) -> Result<f64, ValueError> {
    match decimal(text) {
        Some(weight) if WEIGHTS.contains(&weight) => Ok(weight),
        _ => Err(ValueError::Weight),
    }
}

/// An address to listen at.
pub fn address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().map_err(|_| ValueError::Address)
}

/// An address that others are told of: with a port of its own, and not that of all interfaces.
pub fn fixed_address(text: &str) -> Result<SocketAddr, ValueError> {
    match text.parse::<SocketAddr>() {
        Ok(addr) if addr.port() != 0 && !addr.ip().is_unspecified() => Ok(addr),
        _ => Err(ValueError::FixedAddress),
    }
}

/// Where a worker listens: a name or an address, and a port.
pub fn worker_address(text: &str) -> Result<String, ValueError> {
    let (host, port) = text.rsplit_once(':').ok_or(ValueError::WorkerAddress)?;
    let is_name = is_name_of(host, MAX_HOST_BYTES, "-_.");
    if !(is_name || is_bracketed_ipv6(host)) || !is_digits(port) {
        return Err(ValueError::WorkerAddress);
    }
    match port.parse::<u16>() {
        Ok(port) if port > 0 => Ok(text.to_string()),
        _ => Err(ValueError::WorkerAddress),
    }
}

/// One of several words; gives what it stands for.
pub fn word<T: Copy>(words: &'static [(&'static str, T)]) -> impl Fn(&str) -> Result<T, ValueError> {
    move |text| match words.iter().find(|(word, _)| *word == text) {
        Some((_, meaning)) => Ok(*meaning),
        None => Err(ValueError::Word { allowed: words.iter().map(|(word, _)| *word).collect() }),
    }
}

/// A name of a worker, a route or a pool.
pub fn label(text: &str) -> Result<String, ValueError> {
    checked(text, is_name_of(text, MAX_LABEL_BYTES, "-_.:~"), ValueError::Label)
}

/// The name of a class.
pub fn class_name(text: &str) -> Result<String, ValueError> {
    checked(text, is_name_of(text, MAX_CLASS_BYTES, "-_."), ValueError::ClassName)
}

/// A path from the root on.
pub fn path(text: &str) -> Result<String, ValueError> {
    let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    let is_path = text.starts_with('/') && is_printable && !text.contains(['?', '#']);
    checked(text, is_path, ValueError::Path)
}

/// A host as a request names it, in small letters and without a port.
pub fn host(text: &str) -> Result<String, ValueError> {
    let is_lowercase = !text.bytes().any(|byte| byte.is_ascii_uppercase());
    checked(text, is_lowercase && is_name_of(text, MAX_HOST_BYTES, "-."), ValueError::Host)
}

fn checked(text: &str, is_valid: bool, error: ValueError) -> Result<String, ValueError> {
    if is_valid {
        Ok(text.to_string())
    } else {
        Err(error)
    }
}

/// Whether a text is 1 to `max_bytes` letters, digits and characters of `others`.
fn is_name_of(text: &str, max_bytes: usize, others: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || others.contains(c);
    (1..=max_bytes).contains(&text.len()) && text.chars().all(is_allowed)
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

fn is_bracketed_ipv6(host: &str) -> bool {
    let inner = host.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
    inner.is_some_and(|address| address.parse::<Ipv6Addr>().is_ok())
}

/// A number without a sign, as the schema has it: digits, and perhaps digits after a point.
fn decimal(text: &str) -> Option<f64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    for digits in [whole, fraction] {
        if !is_digits(digits) || digits.len() > MAX_DIGITS {
            return None;
        }
    }
    text.parse().ok()
}

/// A number followed by one of these units; gives the number times the unit's factor.
fn number_with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == '%');
    let unit = &text[number.len()..];
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    Some(decimal(number)? * factor)
}
