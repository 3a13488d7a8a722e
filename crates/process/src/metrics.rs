//! Metrics with a bounded number of label values, in the text format of Prometheus.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::TextEncoder;

/// The label value that replaces all values beyond the limit of a label set.
pub const OTHER: &str = "other";

/// Why a metric could not be registered or encoded.
#[derive(Debug)]
pub enum Error {
    /// The name is already registered or invalid.
    Register {
        /// Name of the metric.
        name: String,
        /// The error of the metrics library.
        source: prometheus::Error,
    },
    /// The metrics could not be encoded.
    Encode(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Register { name, source } => {
                write!(f, "metric {name} could not be registered: {source}")
            }
            Self::Encode(source) => write!(f, "metrics could not be encoded: {source}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Register { source, .. } | Self::Encode(source) => Some(source),
        }
    }
}

/// The metrics of one process.
#[derive(Clone, Debug, Default)]
pub struct Registry(prometheus::Registry);

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a counter.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Register`] when the name is already registered or invalid.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, Error> {
        self.add(name, IntCounter::new(name, help))
    }

    /// Registers a gauge.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Register`] when the name is already registered or invalid.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, Error> {
        self.add(name, IntGauge::new(name, help))
    }

    /// Registers a histogram; `bounds` are the upper bounds of its buckets.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Register`] when the name is already registered or invalid.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> Result<Histogram, Error> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        self.add(name, Histogram::with_opts(options))
    }

    /// Registers counters with one label.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Register`] when the name is already registered or invalid.
    pub fn counters(&self, name: &str, help: &str, set: LabelSet) -> Result<Counters, Error> {
        let created = IntCounterVec::new(Opts::new(name, help), &[set.label]);
        let family = self.add(name, created)?;
        Ok(Counters { family, set })
    }

    /// Registers gauges with one label.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Register`] when the name is already registered or invalid.
    pub fn gauges(&self, name: &str, help: &str, set: LabelSet) -> Result<Gauges, Error> {
        let created = IntGaugeVec::new(Opts::new(name, help), &[set.label]);
        let family = self.add(name, created)?;
        Ok(Gauges { family, set })
    }

    /// Registers histograms with one label.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Register`] when the name is already registered or invalid.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
        set: LabelSet,
    ) -> Result<Histograms, Error> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let family = self.add(name, HistogramVec::new(options, &[set.label]))?;
        Ok(Histograms { family, set })
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encode`] when the library cannot encode them.
    pub fn text(&self) -> Result<String, Error> {
        let mut bytes = Vec::new();
        TextEncoder::new()
            .encode(&self.0.gather(), &mut bytes)
            .map_err(Error::Encode)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    fn add<M>(&self, name: &str, created: prometheus::Result<M>) -> Result<M, Error>
    where
        M: prometheus::core::Collector + Clone + 'static,
    {
        let error = |source| Error::Register {
            name: name.to_owned(),
            source,
        };
        let metric = created.map_err(error)?;
        self.0.register(Box::new(metric.clone())).map_err(error)?;
        Ok(metric)
    }
}

/// The values of one label. Values beyond the limit become [`OTHER`], so that requests of callers cannot increase the memory usage without bound.
#[derive(Debug)]
pub struct LabelSet {
    label: &'static str,
    limit: usize,
    values: Mutex<Vec<Arc<str>>>,
}

impl LabelSet {
    /// Creates the set of a label with at most `limit` values besides [`OTHER`].
    pub const fn new(label: &'static str, limit: usize) -> Self {
        Self {
            label,
            limit,
            values: Mutex::new(Vec::new()),
        }
    }

    /// Returns `value` if it is in the set or still fits, otherwise [`OTHER`].
    fn admit<'value>(&self, value: &'value str) -> &'value str {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        match values.binary_search_by(|known| (**known).cmp(value)) {
            Ok(_) => value,
            Err(_) if values.len() >= self.limit => OTHER,
            Err(index) => {
                values.insert(index, Arc::from(value));
                value
            }
        }
    }
}

/// Counters with one label.
#[derive(Debug)]
pub struct Counters {
    family: IntCounterVec,
    set: LabelSet,
}

impl Counters {
    /// The counter of a label value.
    pub fn of(&self, value: &str) -> IntCounter {
        self.family.with_label_values(&[self.set.admit(value)])
    }
}

/// Gauges with one label.
#[derive(Debug)]
pub struct Gauges {
    family: IntGaugeVec,
    set: LabelSet,
}

impl Gauges {
    /// The gauge of a label value.
    pub fn of(&self, value: &str) -> IntGauge {
        self.family.with_label_values(&[self.set.admit(value)])
    }
}

/// Histograms with one label.
#[derive(Debug)]
pub struct Histograms {
    family: HistogramVec,
    set: LabelSet,
}

impl Histograms {
    /// The histogram of a label value.
    pub fn of(&self, value: &str) -> Histogram {
        self.family.with_label_values(&[self.set.admit(value)])
    }
}

/// Converts a count to a gauge value, saturating at `i64::MAX`.
pub fn count(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}
