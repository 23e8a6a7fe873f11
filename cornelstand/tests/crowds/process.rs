//! A process under test, and what the system knows of it.

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A `cornelstand` process with a folder of its own.
pub(crate) struct Process {
    child: Child,
    pub(crate) folder: PathBuf,
}

/// The most that was seen of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peak {
    /// Resident bytes at their peak, or with the received and unread ones, if these are more.
    pub(crate) memory: usize,
    pub(crate) descriptors: usize,
    /// Received bytes that it had not read.
    pub(crate) unread: usize,
}

/// A new folder for the test `name`.
pub(crate) fn folder(name: &str) -> PathBuf {
    let name = format!("cornelstand-crowds-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    folder
}

impl Process {
    /// Starts `command`, which logs to a file in `folder`.
    pub(crate) fn start(folder: PathBuf, prepare: impl FnOnce(&mut Command)) -> Self {
        let log = std::fs::File::create(folder.join("log.jsonl")).expect("a log file");
        let errors = log.try_clone().expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_cornelstand"));
        prepare(&mut command);
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the process starts");
        Self { child, folder }
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    fn files(&self) -> PathBuf {
        Path::new("/proc").join(self.child.id().to_string())
    }

    /// A size in the status file, in bytes.
    fn size(&self, name: &str) -> usize {
        let text = std::fs::read_to_string(self.files().join("status")).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        let number = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<usize>().ok());
        number.unwrap_or_default() * 1024
    }

    /// Number of descriptors, and inodes of the sockets among them.
    fn descriptors(&self) -> (usize, HashSet<String>) {
        let entries = std::fs::read_dir(self.files().join("fd"));
        let entries: Vec<_> = entries.into_iter().flatten().flatten().collect();
        let inode = |path: PathBuf| {
            let name = path.to_str()?.strip_prefix("socket:[")?;
            Some(name.trim_end_matches(']').to_owned())
        };
        let links = entries
            .iter()
            .filter_map(|e| std::fs::read_link(e.path()).ok());
        (entries.len(), links.filter_map(inode).collect())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        if !std::thread::panicking() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

impl Peak {
    /// Notes what a process holds now.
    pub(crate) fn note(&mut self, process: &Process) {
        let (descriptors, sockets) = process.descriptors();
        let unread = unread(&sockets);
        let now = process.size("VmRSS") + unread;
        self.memory = self.memory.max(process.size("VmHWM")).max(now);
        self.descriptors = self.descriptors.max(descriptors);
        self.unread = self.unread.max(unread);
    }
}

/// Bytes that wait in the receive queues of `sockets`.
fn unread(sockets: &HashSet<String>) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queue = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_listener = fields.get(3) == Some(&"0A");
        if is_listener || !sockets.contains(*fields.get(9)?) {
            return None;
        }
        usize::from_str_radix(fields.get(4)?.split_once(':')?.1, 16).ok()
    };
    table.lines().skip(1).filter_map(queue).sum()
}
