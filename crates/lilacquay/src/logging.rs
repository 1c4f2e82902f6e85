//! Where the log goes, in which form, and how much of it. What is logged from `info` on is also kept as events.
//!
//! Lines are written by a thread of their own, from a queue that drops what it can't hold.
//! Guards against: a full disk, or a terminal that takes nothing, that stalls the node's one thread.

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

/// Lines that wait to be written; more are dropped.
const QUEUED: usize = 4096;
/// All packages of ours begin with this.
const OURS: &str = "lilacquay";

/// The form of a line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs: a line of JSON each.
    Json,
}

/// Files that are kept, and their sizes together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Files {
    pub folder: PathBuf,
    /// The size of each in bytes; at that it makes room for the next.
    pub bytes: usize,
    /// How many are kept beside the one that is written.
    pub old: usize,
}

/// How it is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    pub level: Level,
    pub format: Format,
    /// Without, to standard error.
    pub files: Option<Files>,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: Level::INFO, format: Format::Text, files: None }
    }
}

/// A log that is running; what is queued is written when it is dropped.
pub struct Logging {
    pub events: EventLog,
    level: Handle<Targets, Registry>,
    _writer: WorkerGuard,
}

/// Begins to log.
///
/// # Errors
/// If the folder can't be made or written.
pub fn start(log: &Log) -> io::Result<Logging> {
    let sink: Box<dyn Write + Send> = match &log.files {
        None => Box::new(io::stderr()),
        Some(files) => Box::new(rotated(files)?),
    };
    let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUED);
    let (writer, guard) = queue.thread_name("log").finish(sink);
    let (filter, level) = reload::Layer::new(up_to(log.level));
    let lines = fmt::layer().with_ansi(false).with_target(false).with_writer(writer);
    let lines: Box<dyn Layer<Registry> + Send + Sync> = match log.format {
        Format::Text => lines.with_filter(filter).boxed(),
        Format::Json => lines.json().flatten_event(true).with_filter(filter).boxed(),
    };
    let events = EventLog::new();
    let kept = ToEvents(events.clone()).with_filter(up_to(Level::INFO));
    let subscriber = tracing_subscriber::registry().with(lines.and_then(kept));
    subscriber.try_init().map_err(io::Error::other)?;
    Ok(Logging { events, level, _writer: guard })
}

/// Others' packages speak from a warning on.
fn up_to(level: Level) -> Targets {
    Targets::new().with_default(LevelFilter::WARN).with_target(OURS, level)
}

fn rotated(files: &Files) -> io::Result<FileRotate<AppendCount>> {
    std::fs::create_dir_all(&files.folder)?;
    let path = files.folder.join("node.log");
    // Where it can't be written, that shows now, not in a thread that nobody hears.
    std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
    let limit = ContentLimit::BytesSurpassed(files.bytes);
    Ok(FileRotate::new(path, AppendCount::new(files.old), limit, Compression::None, None))
}

impl Logging {
    /// Logs from this level on.
    ///
    /// # Errors
    /// If there is no such level.
    pub fn set_level(&self, level: &str) -> Result<(), String> {
        let level = parse_level(level).ok_or_else(|| LEVELS_ARE.to_owned())?;
        self.level.reload(up_to(level)).map_err(|error| error.to_string())
    }
}

/// What to write where a level is wanted.
pub const LEVELS_ARE: &str = "write error, warn, info, debug or trace";

/// A level by its name.
pub fn parse_level(text: &str) -> Option<Level> {
    let known = ["error", "warn", "info", "debug", "trace"];
    known.contains(&text).then(|| text.parse().ok()).flatten()
}

/// Keeps as events what is logged.
struct ToEvents(EventLog);

impl<S: Subscriber> Layer<S> for ToEvents {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut words = Words::default();
        event.record(&mut words);
        self.0.record(event.metadata().level().as_str(), words.message + &words.fields);
    }
}

#[derive(Default)]
struct Words {
    message: String,
    fields: String,
}

impl Visit for Words {
    fn record_str(&mut self, field: &Field, value: &str) {
        let _ = write!(self.fields, " {}={value}", field.name()); // to a string, which takes all
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }
}
