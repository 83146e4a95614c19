//! Header values that several parsers share: trace ids and durations.

use crate::clock::Millis;

/// Maximum length of a trace id.
const MAX_TRACE_ID_BYTES: usize = 128;
/// Maximum duration in a header: one day, which is longer than any client waits.
const MAX_DURATION: Millis = 86_400_000.0;
/// One millisecond, in milliseconds.
const MILLISECOND: Millis = 1.0;
/// One microsecond, in milliseconds.
pub const MICROSECOND: Millis = 1e-3;

/// Returns whether a text is a valid trace id. All of its characters must be allowed unescaped in a path
/// segment: the path of a cancellation contains the trace id, which must not turn it into a different
/// request.
pub fn is_trace_id(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~' | b':');
    (1..=MAX_TRACE_ID_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Parses a duration with the unit `m` (milliseconds) or `u` (microseconds). Returns `None` if the text is
/// not a duration, or if the duration is negative or longer than one day. `default_unit` is the unit, in
/// milliseconds, of a text without one; if it is `None`, the unit is required.
pub fn parse_duration(text: &str, default_unit: Option<Millis>) -> Option<Millis> {
    let (number, unit) = match text.as_bytes().last()? {
        b'm' => (&text[..text.len() - 1], MILLISECOND),
        b'u' => (&text[..text.len() - 1], MICROSECOND),
        _ => (text, default_unit?),
    };
    let duration = number.parse::<f64>().ok()? * unit;
    (0.0..=MAX_DURATION).contains(&duration).then_some(duration)
}
