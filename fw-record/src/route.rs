//! Routes from path prefixes to plain services.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use fw_base::id;
use smol_str::SmolStr;

use crate::field;
use crate::schema::Encoding;
use crate::schema::Field;

const PATH: Field = Field::same(&["path"]);
const SERVICE: Field = Field::same(&["service"]);
const REPEATABLE: Field = Field {
    v1: Some("repeatable"),
    v2: &["methods", "repeatable"],
    encoding: Encoding::Same,
};
const TIMEOUT: Field = Field {
    v1: Some("timeout_ms"),
    v2: &["timeout", "total"],
    encoding: Encoding::Millis,
};
const HEDGE: Field = Field {
    v1: Some("hedge_ms"),
    v2: &["hedge", "after"],
    encoding: Encoding::Millis,
};

/// The fields of a route record.
pub const FIELDS: &[Field] = &[PATH, SERVICE, REPEATABLE, TIMEOUT, HEDGE];

/// Safe methods, which change nothing: the repeatable ones unless the record names others.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Paths that the entry handles itself.
const RESERVED: [&str; 6] = [
    "/v1/chat",
    "/v1/programs",
    "/v1/models",
    "/healthz",
    "/readyz",
    "/metrics",
];

const MAX_PATH: usize = 512;
const MAX_METHODS: usize = 16;
const MAX_METHOD: usize = 16;
const TIME_BOUNDS: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(3600);

/// A path prefix that leads to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: SmolStr,
    /// Path prefix, matched by whole segments. No trailing `/`, except for the root.
    pub path: SmolStr,
    /// The plain service.
    pub service: id::ServiceId,
    /// Methods, in upper case, whose calls are idempotent. Calls with other methods need an
    /// `Idempotency-Key`.
    pub repeatable: BTreeSet<SmolStr>,
    /// Longest wait for an answer; the service's timeout if absent.
    pub timeout: Option<Duration>,
    /// Delay after which a repeatable call is hedged to a second upstream; no hedging if absent.
    pub hedge: Option<Duration>,
}

impl Route {
    /// Parses the record `name`.
    ///
    /// # Errors
    ///
    /// When a field is missing, has the wrong type or is out of bounds.
    pub fn read(name: &str, fields: &field::Reader<'_>) -> field::Result<Self> {
        let service = fields.text(&SERVICE, id::MAX_NAME)?;
        let service =
            service.ok_or_else(|| fields.invalid(&SERVICE, "the name of a plain service"))?;
        Ok(Self {
            name: name.into(),
            path: read_path(fields)?,
            service,
            repeatable: read_repeatable(fields)?,
            timeout: fields.duration(&TIMEOUT, TIME_BOUNDS)?,
            hedge: fields.duration(&HEDGE, TIME_BOUNDS)?,
        })
    }

    /// Whether the route covers `path`.
    pub fn covers(&self, path: &str) -> bool {
        is_below(path, &self.path)
    }

    /// Whether a call with `method` may be repeated.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable.contains(method)
    }
}

/// Whether `path` is `prefix` or lies below it, segment by segment.
pub fn is_below(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix == "/",
        None => false,
    }
}

fn read_path(fields: &field::Reader<'_>) -> field::Result<SmolStr> {
    let path = fields.text(&PATH, MAX_PATH)?.unwrap_or_default();
    let is_clean = path
        .bytes()
        .all(|b| b.is_ascii_graphic() && !b"?#%".contains(&b));
    let is_dotted = path.split('/').any(|part| matches!(part, "." | ".."));
    if !path.starts_with('/') || !is_clean || is_dotted {
        let expected =
            "a path that begins with `/`, without `?`, `#`, `%` or segments `.` and `..`";
        return Err(fields.invalid(&PATH, expected));
    }
    let path = match path.trim_end_matches('/') {
        "" => "/",
        trimmed => trimmed,
    };
    if RESERVED.iter().any(|reserved| is_below(path, reserved)) {
        let expected = format!("outside of {}, which entries answer", RESERVED.join(", "));
        return Err(fields.invalid(&PATH, expected));
    }
    Ok(path.into())
}

fn read_repeatable(fields: &field::Reader<'_>) -> field::Result<BTreeSet<SmolStr>> {
    if !fields.has(&REPEATABLE) {
        return Ok(SAFE_METHODS.map(SmolStr::new_static).into());
    }
    let methods = fields.texts(&REPEATABLE, MAX_METHODS, MAX_METHOD)?;
    let is_method = |method: &SmolStr| method.bytes().all(|b| b.is_ascii_uppercase());
    if !methods.iter().all(is_method) {
        return Err(fields.invalid(&REPEATABLE, "methods in upper case, such as `GET`"));
    }
    Ok(methods.into_iter().collect())
}
