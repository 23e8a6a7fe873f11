//! Fakes at the interfaces, for tests on paused time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cornelstand::{ClaimObjects, Condition, VALUE_BYTES, Version, WriteResult};
use futures::FutureExt;
use tokio::time::sleep;

/// Fault of one call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreFault {
    /// The call is refused without effect.
    Down,
    /// The answer is lost after the call took effect.
    AnswerLost,
    /// The call is lost and has no effect.
    CallLost,
    /// The answer is lost and a write takes effect only after this time.
    Late(Duration),
    /// The answer takes this much longer.
    Slow(Duration),
}

/// Time of an ordinary answer.
pub(crate) const STORE_TIME: Duration = Duration::from_millis(3);

/// Time after which a lost answer is given up.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Default)]
struct State {
    objects: BTreeMap<String, (Version, String)>,
    version: u64,
    reads: u64,
    writes: u64,
    faults: VecDeque<Option<StoreFault>>,
    standing: Option<StoreFault>,
}

/// Object API in memory. Clones share the objects.
#[derive(Clone, Default)]
pub(crate) struct FakeStore {
    state: Arc<Mutex<State>>,
}

impl FakeStore {
    /// Faults of the next calls, in their order.
    pub(crate) fn script(&self, faults: impl IntoIterator<Item = Option<StoreFault>>) {
        self.state.lock().unwrap().faults.extend(faults);
    }

    /// Fault of every call that is not scripted, from now on.
    pub(crate) fn set(&self, fault: Option<StoreFault>) {
        self.state.lock().unwrap().standing = fault;
    }

    /// Reads and writes so far.
    pub(crate) fn calls(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.reads, state.writes)
    }

    /// Sizes of the objects, by name.
    pub(crate) fn sizes(&self) -> BTreeMap<String, usize> {
        let state = self.state.lock().unwrap();
        let size = |(name, (_, value)): (&String, &(Version, String))| (name.clone(), value.len());
        state.objects.iter().map(size).collect()
    }

    /// The claim objects as a claim store uses them.
    pub(crate) fn objects(&self) -> ClaimObjects {
        let (reader, writer, deleter) = (self.clone(), self.clone(), self.clone());
        ClaimObjects {
            delete: Arc::new(move |name| deleter.clone().delete(name.to_owned()).boxed()),
            get: Arc::new(move |name| reader.clone().get(name.to_owned()).boxed()),
            put: Arc::new(move |name, condition, value| {
                writer
                    .clone()
                    .put(name.to_owned(), condition, value)
                    .boxed()
            }),
        }
    }

    async fn delete(self, name: String) {
        sleep(STORE_TIME).await;
        self.state.lock().unwrap().objects.remove(&name);
    }

    async fn get(self, name: String) -> Result<Option<(Version, String)>, ()> {
        let fault = self.next(|s| s.reads += 1);
        match fault {
            Some(StoreFault::Down) => return Err(()),
            Some(StoreFault::Slow(by)) => sleep(by).await,
            Some(_) => {
                sleep(STORE_TIMEOUT).await;
                return Err(());
            }
            None => {}
        }
        sleep(STORE_TIME).await;
        Ok(self.state.lock().unwrap().objects.get(&name).cloned())
    }

    async fn put(self, name: String, condition: Condition, value: String) -> WriteResult {
        let fault = self.next(|s| s.writes += 1);
        sleep(STORE_TIME / 2).await;
        match fault {
            Some(StoreFault::Down) => return WriteResult::NotWritten,
            Some(StoreFault::CallLost) => {
                sleep(STORE_TIMEOUT).await;
                return WriteResult::Unknown;
            }
            Some(StoreFault::Late(by)) => {
                tokio::spawn(async move {
                    sleep(by).await;
                    self.write(&name, condition, value);
                });
                sleep(STORE_TIMEOUT).await;
                return WriteResult::Unknown;
            }
            Some(StoreFault::AnswerLost | StoreFault::Slow(_)) | None => {}
        }
        let end = self.write(&name, condition, value);
        match fault {
            Some(StoreFault::AnswerLost) => {
                sleep(STORE_TIMEOUT).await;
                return WriteResult::Unknown;
            }
            Some(StoreFault::Slow(by)) => sleep(by).await,
            _ => {}
        }
        sleep(STORE_TIME / 2).await;
        end
    }

    fn next(&self, count: impl FnOnce(&mut State)) -> Option<StoreFault> {
        let mut state = self.state.lock().unwrap();
        count(&mut state);
        let standing = state.standing;
        state.faults.pop_front().unwrap_or(standing)
    }

    fn write(&self, name: &str, condition: Condition, value: String) -> WriteResult {
        let mut state = self.state.lock().unwrap();
        let present = state.objects.get(name).map(|(version, _)| *version);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Match(version) => present == Some(version),
        };
        if !holds {
            return WriteResult::Conflict;
        }
        if value.len() > VALUE_BYTES {
            return WriteResult::NotWritten;
        }
        state.version += 1;
        let version = Version(state.version);
        state.objects.insert(name.to_owned(), (version, value));
        WriteResult::Written(version)
    }
}
