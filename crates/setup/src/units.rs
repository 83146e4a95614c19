//! Values with their units. What cannot be read comes back as what to write instead.

/// A whole number from 1.
pub fn count(text: &str) -> Result<usize, String> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let number = text.parse().ok().filter(|n| digits && (1..=1_000_000_000).contains(n));
    number.ok_or_else(|| "write a whole number from 1 to 1000000000".into())
}

/// A number without a sign, as the schema has it: digits, perhaps with a part behind the point.
fn decimal(text: &str) -> Option<f64> {
    let (whole, part) = text.split_once('.').map_or((text, "0"), |(whole, part)| (whole, part));
    let digits = |t: &str| !t.is_empty() && t.len() <= 15 && t.bytes().all(|b| b.is_ascii_digit());
    (digits(whole) && digits(part)).then(|| text.parse().ok()).flatten()
}

fn with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == '%');
    let unit = &text[number.len()..];
    let factor = units.iter().find(|(name, _)| *name == unit)?.1;
    Some(decimal(number)? * factor)
}

/// Bytes: `KiB`, `MiB` or `GiB`.
pub fn bytes(text: &str) -> Result<usize, String> {
    let units = [("KiB", 1024.0), ("MiB", 1024.0 * 1024.0), ("GiB", 1024.0 * 1024.0 * 1024.0)];
    let size = with_unit(text, &units).filter(|b| (1.0..=1e15).contains(b));
    size.map(|b| b as usize).ok_or_else(|| "write a number with KiB, MiB or GiB, such as 64MiB".into())
}

/// A length of time in milliseconds: `ms`, `s`, `min` or `h`.
pub fn duration(text: &str) -> Result<f64, String> {
    let units = [("ms", 1.0), ("s", 1e3), ("min", 60e3), ("h", 3_600e3)];
    with_unit(text, &units).ok_or_else(|| "write a number with ms, s, min or h, such as 500ms or 2s".into())
}

/// One that is not 0.
pub fn positive_duration(text: &str) -> Result<f64, String> {
    let longer = |ms: f64| if ms > 0.0 { Ok(ms) } else { Err("write a time above 0, such as 60s".into()) };
    duration(text).and_then(longer)
}

/// A part of the whole: `0%` to `90%`.
pub fn part(text: &str) -> Result<f64, String> {
    let part = with_unit(text, &[("%", 0.01)]).filter(|p| (0.0..=0.9).contains(p));
    part.ok_or_else(|| "write a part from 0% to 90%, such as 15%".into())
}

/// A weight: above 0.
pub fn weight(text: &str) -> Result<f64, String> {
    let weight = decimal(text).filter(|w| (0.01..=1000.0).contains(w));
    weight.ok_or_else(|| "write a number from 0.01 to 1000, such as 2".into())
}

/// An address to listen at.
pub fn address(text: &str) -> Result<std::net::SocketAddr, String> {
    text.parse().map_err(|_| "write IP:PORT, such as 127.0.0.1:8080 or [::1]:8080".into())
}

/// An address that others are told of: not any port.
pub fn fixed_address(text: &str) -> Result<std::net::SocketAddr, String> {
    let fixed = text
        .parse()
        .ok()
        .filter(|addr: &std::net::SocketAddr| addr.port() != 0 && !addr.ip().is_unspecified());
    fixed.ok_or_else(|| "write IP:PORT as others reach it, such as 127.0.0.11:7946".into())
}

/// Where a worker listens: a name or an address, and a port.
pub fn place(text: &str) -> Result<String, String> {
    let instead = || "write HOST:PORT, such as 127.0.0.1:9001 or app1.example.org:8080".to_string();
    let (host, port) = text.rsplit_once(':').ok_or_else(instead)?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let v6 = |h: &str| {
        h.strip_prefix('[')
            .and_then(|h| h.strip_suffix(']'))
            .is_some_and(|h| h.parse::<std::net::Ipv6Addr>().is_ok())
    };
    let named = (1..=253).contains(&host.len()) && host.bytes().all(plain);
    let good = (named || v6(host)) && port.bytes().all(|b| b.is_ascii_digit());
    let port = port.parse::<u16>().ok().filter(|p| good && *p > 0);
    port.map(|_| text.to_string()).ok_or_else(instead)
}

/// One of several words.
pub fn word<T: Copy>(words: &'static [(&'static str, T)]) -> impl Fn(&str) -> Result<T, String> {
    move |text| {
        let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let found = words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        found.ok_or_else(|| format!("write one of {}", all.join(", ")))
    }
}

/// A name of a worker, a route or a pool.
pub fn label(text: &str) -> Result<String, String> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':' | b'~');
    let good = (1..=128).contains(&text.len()) && text.bytes().all(plain);
    let instead = "write letters, digits, '-', '_', '.', ':' and '~', 128 at most";
    good.then(|| text.to_string()).ok_or_else(|| instead.into())
}

/// A path from the root on.
pub fn path(text: &str) -> Result<String, String> {
    let good =
        text.starts_with('/') && text.bytes().all(|b| b.is_ascii_graphic()) && !text.contains(['?', '#']);
    good.then(|| text.to_string()).ok_or_else(|| "write a path from the root on, such as /app".into())
}

/// A small whole number, from 0.
pub fn small(text: &str) -> Result<u32, String> {
    let digits = (1..=3).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    let number = text.parse().ok().filter(|n| digits && *n <= 255);
    number.ok_or_else(|| "write a whole number from 0 to 255".into())
}

/// Attempts for one request.
pub fn attempts(text: &str) -> Result<u32, String> {
    small(text)
        .ok()
        .filter(|n| (1..=16).contains(n))
        .ok_or_else(|| "write a whole number from 1 to 16".into())
}

/// A host as a request names it, in small letters and without a port.
pub fn host(text: &str) -> Result<String, String> {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'.');
    let good = (1..=253).contains(&text.len()) && text.bytes().all(plain);
    good.then(|| text.to_string())
        .ok_or_else(|| "write a host in small letters, such as app.example.org".into())
}

/// The name of a class.
pub fn name(text: &str) -> Result<String, String> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let good = (1..=64).contains(&text.len()) && text.bytes().all(plain);
    good.then(|| text.to_string()).ok_or_else(|| "write letters, digits, '-', '_' and '.', 64 at most".into())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_have_units_and_bounds() {
        assert_eq!((bytes("64MiB"), bytes("1.5KiB")), (Ok(64 << 20), Ok(1536)));
        assert_eq!((duration("500ms"), duration("1.5s"), duration("2h")), (Ok(500.0), Ok(1500.0), Ok(7.2e6)));
        assert_eq!((part("15%"), weight("2.5"), count("7")), (Ok(0.15), Ok(2.5), Ok(7)));
        for bad in ["", "5", "s", "-1s", "1e3s", "5 s", "5S", "1.s", ".5s", "NaNs", "infs", "5ss"] {
            assert!(duration(bad).is_err(), "{bad}");
        }
        assert!(positive_duration("0s").is_err() && duration("0s").is_ok());
        for bad in ["0", "-1", "+1", "1.5", "x", "", "99999999999"] {
            assert!(count(bad).is_err(), "{bad}");
        }
        assert!(bytes("64").is_err() && bytes("64MB").is_err() && bytes("0KiB").is_err());
        assert!(
            part("91%").is_err() && part("0.5").is_err() && weight("0").is_err() && weight("1001").is_err()
        );
        assert!(name("fund-batch").is_ok() && name("a b").is_err() && name("").is_err());
    }
}
