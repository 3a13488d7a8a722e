//! Headers between routers: the context of a forwarded request, and the reason of a denial.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use shallotrill_model::class::Class;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::instance;
use shallotrill_model::service;
use shallotrill_model::workspace;

/// Header that carries [`Forwarded`]; it is used only between routers.
pub const FORWARDED: HeaderName = HeaderName::from_static("shallotrill-forwarded");

/// Header that carries a [`Denial`]; it is used only between routers.
pub const DENIAL: HeaderName = HeaderName::from_static("shallotrill-denial");

/// The workspace of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: workspace::Name,
    /// Its priority, which takes precedence over that of the route. Zero is the most urgent.
    pub priority: u8,
}

impl Workspace {
    fn decode(text: &str) -> Option<Self> {
        let (name, priority) = text.split_once(',')?;
        Some(Self {
            name: workspace::Name::new(name).ok()?,
            priority: priority.parse().ok()?,
        })
    }
}

/// Context of a forwarded request for the router of the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarded {
    /// The backend server that was chosen.
    pub instance: instance::Name,
    /// Its incarnation. The request must not run at another one.
    pub incarnation: Incarnation,
    /// Service that the request is for.
    pub service: service::Name,
    /// Service on whose instance the request was received.
    pub caller: service::Name,
    /// Workspace of the request; `None` on a public route and while no workspaces are configured.
    pub workspace: Option<Workspace>,
    /// Remaining time until the deadline of the caller.
    pub remaining: Duration,
    /// Time within which the request must be sent to the backend server to meet its objective.
    pub start_within: Duration,
    /// Time from arrival to response within which the response has its full value.
    pub objective: Duration,
    /// Zero is the most urgent.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub class: Class,
    /// Whether no other gate is asked after this one. The request is then accepted at a slow target, and
    /// also when it can only start too late for its objective: a late response is better than none.
    pub last_gate: bool,
    /// `Host` header of the caller.
    pub host: Box<str>,
}

impl Forwarded {
    /// Encodes the header value; `None` when the host contains bytes that a header value must not contain.
    pub fn encode(&self) -> Option<HeaderValue> {
        let class = match self.class {
            Class::Idempotent => 'i',
            Class::NonIdempotent => 'n',
        };
        let workspace = self.workspace.as_ref();
        let workspace = workspace.map(|w| format!("{},{}", w.name, w.priority));
        let workspace = workspace.unwrap_or_default();
        let text = format!(
            "{};{};{};{};{};{};{};{};{class};{};{workspace};{}",
            self.instance,
            self.incarnation.0,
            self.service,
            self.caller,
            self.remaining.as_millis(),
            self.start_within.as_millis(),
            self.objective.as_millis(),
            self.priority,
            u8::from(self.last_gate),
            self.host
        );
        HeaderValue::try_from(text).ok()
    }

    /// Decodes the header value; `None` when a field is missing or invalid.
    pub fn decode(value: &HeaderValue) -> Option<Self> {
        let mut fields = value.to_str().ok()?.splitn(12, ';');
        let mut next = || fields.next();
        Some(Self {
            instance: instance::Name::new(next()?).ok()?,
            incarnation: Incarnation(next()?.parse().ok()?),
            service: service::Name::new(next()?).ok()?,
            caller: service::Name::new(next()?).ok()?,
            remaining: Duration::from_millis(next()?.parse().ok()?),
            start_within: Duration::from_millis(next()?.parse().ok()?),
            objective: Duration::from_millis(next()?.parse().ok()?),
            priority: next()?.parse().ok()?,
            class: match next()? {
                "i" => Class::Idempotent,
                "n" => Class::NonIdempotent,
                _ => return None,
            },
            last_gate: next()? == "1",
            workspace: match next()? {
                "" => None,
                text => Some(Workspace::decode(text)?),
            },
            host: next()?.into(),
        })
    }
}

/// Why the router of a target did not return a response of its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// All slots are in use and the queue is full or too slow; the request did not run.
    Busy,
    /// The machine of the backend server is slow at the moment; the request did not run.
    Slow,
    /// The instance runs another backend server or incarnation, or it is draining; the request did not run.
    Gone,
    /// The backend server refused the request and reported that it did not run.
    Shed,
    /// The backend server cannot be reached; the request did not run.
    Unreachable,
    /// The request was sent and no complete response was received; it may have run.
    Lost,
    /// The response does not prove that it is the backend server's response to this request; it may
    /// have run.
    Spoiled,
    /// No response was received in time; it may have run.
    Timeout,
}

impl Denial {
    const ALL: [Self; 8] = [
        Self::Busy,
        Self::Slow,
        Self::Gone,
        Self::Shed,
        Self::Unreachable,
        Self::Lost,
        Self::Spoiled,
        Self::Timeout,
    ];

    /// Whether it is certain that the request did not run.
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy | Self::Slow | Self::Gone | Self::Shed | Self::Unreachable
        )
    }

    /// Whether the request may have reached the backend server.
    pub const fn has_arrived(self) -> bool {
        matches!(
            self,
            Self::Shed | Self::Lost | Self::Spoiled | Self::Timeout
        )
    }

    /// The reason as written in headers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Slow => "slow",
            Self::Gone => "gone",
            Self::Shed => "shed",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Spoiled => "spoiled",
            Self::Timeout => "timeout",
        }
    }

    /// Reads the denial from the headers of a response; `None` when the response is no denial.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(DENIAL)?.as_bytes();
        let known = Self::ALL
            .into_iter()
            .find(|d| d.as_str().as_bytes() == value);
        // A reason that this release does not know does not prove that the request did not run.
        Some(known.unwrap_or(Self::Lost))
    }
}
