//! Sets up the log: destination, format and level. Whatever is logged at `info` or above is also kept as an event.
//!
//! A thread of its own writes the lines, from a bounded queue that drops what does not fit. Otherwise a full disk,
//! or a terminal that accepts no output, would stall the node's only thread.

use std::fmt::{Debug, Write as _};
use std::io::{self, Write};
use std::path::PathBuf;

use file_rotate::compression::Compression;
use file_rotate::suffix::AppendCount;
use file_rotate::{ContentLimit, FileRotate};
use lilacquay_control::EventLog;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry, fmt};

/// Capacity of the queue of lines to be written; lines beyond it are dropped.
const MAX_QUEUED_LINES: usize = 4096;
/// Prefix of the log targets of this workspace's packages.
const WORKSPACE_TARGET_PREFIX: &str = "lilacquay";

/// The format of a line. Its `Debug` output is part of the diagnostic bundle, as is that of [`Log`] and [`Files`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Plain text, for people.
    #[default]
    Text,
    /// One JSON object per line, for programs.
    Json,
}

/// The rotated log files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Files {
    pub folder: PathBuf,
    /// Size limit of each file in bytes; a file that exceeds it is rotated.
    pub bytes: usize,
    /// Number of rotated files to keep besides the current one.
    pub old: usize,
}

/// The configuration of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    pub level: Level,
    pub format: Format,
    /// `None` logs to standard error.
    pub files: Option<Files>,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: Level::INFO, format: Format::Text, files: None }
    }
}

/// A running log; dropping it writes the lines that are still queued.
pub struct Logging {
    pub events: EventLog,
    level_filter: Handle<Targets, Registry>,
    _writer_guard: WorkerGuard,
}

/// Installs the global log subscriber and starts the thread that writes.
///
/// # Errors
/// If the folder cannot be created or written, or a subscriber is installed already.
pub fn start(log: &Log) -> io::Result<Logging> {
    let sink: Box<dyn Write + Send> = match &log.files {
        None => Box::new(io::stderr()),
        Some(files) => Box::new(open_rotating_file(files)?),
    };
    let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = queue.thread_name("log").finish(sink);
    let (filter, level_filter) = reload::Layer::new(target_filter(log.level));
    let lines = fmt::layer().with_ansi(false).with_target(false).with_writer(writer);
    let lines: Box<dyn Layer<Registry> + Send + Sync> = match log.format {
        Format::Text => lines.with_filter(filter).boxed(),
        Format::Json => lines.json().flatten_event(true).with_filter(filter).boxed(),
    };
    let events = EventLog::new();
    let event_layer = EventLayer(events.clone()).with_filter(target_filter(Level::INFO));
    // Not joined by `and_then`, which would take the events' level for the most verbose one of both layers.
    tracing_subscriber::registry().with(lines).with(event_layer).try_init().map_err(io::Error::other)?;
    Ok(Logging { events, level_filter, _writer_guard: guard })
}

/// Lets through this workspace's packages at `level` and above, and dependencies only at `warn` and above.
fn target_filter(level: Level) -> Targets {
    Targets::new().with_default(LevelFilter::WARN).with_target(WORKSPACE_TARGET_PREFIX, level)
}

fn open_rotating_file(files: &Files) -> io::Result<FileRotate<AppendCount>> {
    std::fs::create_dir_all(&files.folder)?;
    let path = files.folder.join("node.log");
    // Opened here so that a file that cannot be written is an error at the start; in the writer thread the error
    // would go unnoticed.
    std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
    let limit = ContentLimit::BytesSurpassed(files.bytes);
    Ok(FileRotate::new(path, AppendCount::new(files.old), limit, Compression::None, None))
}

impl Logging {
    /// Changes the least severe level that is logged.
    ///
    /// # Errors
    /// If there is no such level, or the subscriber is gone.
    pub fn set_level(&self, level: &str) -> Result<(), String> {
        let level = parse_level(level).ok_or_else(|| LEVEL_HINT.to_owned())?;
        self.level_filter.reload(target_filter(level)).map_err(|error| error.to_string())
    }
}

/// The fix that is suggested for an invalid level.
pub const LEVEL_HINT: &str = "write error, warn, info, debug or trace";

/// A level by its name.
pub fn parse_level(text: &str) -> Option<Level> {
    let level_names = ["error", "warn", "info", "debug", "trace"];
    level_names.contains(&text).then(|| text.parse().ok()).flatten()
}

/// Records what is logged in the event log.
struct EventLayer(EventLog);

impl<S: Subscriber> Layer<S> for EventLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut text = EventText::default();
        event.record(&mut text);
        self.0.record(event.metadata().level().as_str(), text.message + &text.fields);
    }
}

/// The text of one event: its message, and its fields as ` name=value`.
#[derive(Default)]
struct EventText {
    message: String,
    fields: String,
}

impl Visit for EventText {
    fn record_str(&mut self, field: &Field, value: &str) {
        let _ = write!(self.fields, " {}={value}", field.name()); // writing to a String never fails
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }
}
