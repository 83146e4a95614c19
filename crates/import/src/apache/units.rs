//! Values of Apache's parameters.

/// A length of time in milliseconds: seconds, unless a unit (`ms`, `s`, `mi`, `h`) says otherwise.
pub fn time(text: &str) -> Option<f64> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let factor = match text[digits.len()..].to_ascii_lowercase().as_str() {
        "" | "s" => 1e3,
        "ms" => 1.0,
        "mi" => 60e3,
        "h" => 3_600e3,
        _ => return None,
    };
    let whole = !digits.is_empty() && digits.len() <= 9 && digits.bytes().all(|b| b.is_ascii_digit());
    Some(digits.parse::<f64>().ok().filter(|_| whole)? * factor)
}

/// `On` or `Off`, in any case.
pub fn switch(text: &str) -> Option<bool> {
    match text.to_ascii_lowercase().as_str() {
        "on" => Some(true),
        "off" => Some(false),
        _ => None,
    }
}

/// The parts of a URL: its scheme, host, port (the scheme's own where none is named) and path.
pub fn url(text: &str) -> Option<(String, String, u16, String)> {
    let (scheme, rest) = text.split_once("://")?;
    let scheme = scheme.to_ascii_lowercase();
    let (authority, path) = rest.find('/').map_or((rest, ""), |at| rest.split_at(at));
    let usual = match scheme.as_str() {
        "http" | "ws" | "h2c" => 80,
        "https" | "wss" | "h2" => 443,
        "ajp" => 8009,
        "fcgi" => 8000,
        _ => 0,
    };
    let port_at = authority.rfind(':').filter(|at| !authority[*at..].contains(']'));
    let (host, port) = match port_at {
        Some(at) => (&authority[..at], authority[at + 1..].parse().ok()?),
        None => (authority, usual),
    };
    (!host.is_empty()).then(|| (scheme, host.to_string(), port, path.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_switches_and_urls_are_read() {
        assert_eq!(
            [time("5"), time("500ms"), time("2mi"), time("x")],
            [Some(5e3), Some(500.0), Some(120e3), None]
        );
        assert_eq!([switch("ON"), switch("off"), switch("1")], [Some(true), Some(false), None]);
        let parts = |t| url(t).map(|(s, h, p, path)| format!("{s} {h} {p} {path}"));
        assert_eq!(parts("http://a:8080/x/y").unwrap(), "http a 8080 /x/y");
        assert_eq!(parts("AJP://a").unwrap(), "ajp a 8009 ");
        assert_eq!(parts("http://[::1]:9/").unwrap(), "http [::1] 9 /");
        assert_eq!(
            (parts("http://[::1]").unwrap().as_str(), parts("a:80"), parts("http://:80")),
            ("http [::1] 80 ", None, None)
        );
    }
}
