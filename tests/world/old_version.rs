//! What a controller of the version in production makes of the state service and of
//! submissions: it ignores fields that came later, can't read compact records and leaves
//! those jobs alone. See [`super::versions`] for which process runs which version.

use super::needs::NEEDS;
use super::{World, store};
use hookworks::store::client::{ReadError, StateStore, TxnOutcome};
use hookworks::store::{
    FORMAT_KEY, FormatRecord, PARTS_PREFIX, PIECES_PREFIX, RecordFormat, UNFINISHED_PREFIX,
    VERSIONS_PREFIX,
};
use hookworks::wire::peer::Request;
use hookworks::wire::state::{Item, Page, Txn};
use serde_json::Value;

#[path = "../upgrade/production.rs"]
pub mod production;

/// The version in production reads what stands under this key.
fn production_reads(key: &str, value: &Value) -> bool {
    match key {
        k if k.starts_with(UNFINISHED_PREFIX) => production::read_live(value).is_some(),
        // A part by itself: the tasks of the compact form are no list.
        k if k.starts_with(PARTS_PREFIX) => value.is_object() && value["a"].as_str().is_none(),
        k => !k.starts_with(PIECES_PREFIX),
    }
}

/// The state service as the version in production sees it: later keys are not looked
/// for, and later forms can't be read.
pub struct ProductionView(pub store::Handle);

impl StateStore for ProductionView {
    fn get(&self, key: &str) -> Result<Option<Item>, ReadError> {
        let item = self.0.get(key)?;
        Ok(item.filter(|_| key != FORMAT_KEY && !key.starts_with(VERSIONS_PREFIX)))
    }

    fn page(&self, prefix: &str, after: Option<&str>, limit: u32) -> Result<Page, ReadError> {
        let mut page = self.0.page(prefix, after, limit)?;
        if prefix == PIECES_PREFIX {
            page.items.clear();
            page.more = false;
        }
        for item in &mut page.items {
            if !production_reads(&item.key, &item.value) {
                item.value = serde_json::json!({ "cancelled": item.value["cancelled"] });
            }
        }
        Ok(page)
    }

    fn txn(&self, t: &Txn) -> TxnOutcome {
        self.0.txn(t)
    }

    fn grant(&self, ttl_ms: u64) -> Result<u64, ReadError> {
        self.0.grant(ttl_ms)
    }

    fn renew(&self, lease: u64) -> Result<bool, ReadError> {
        self.0.renew(lease)
    }

    fn revoke(&self, lease: u64) {
        self.0.revoke(lease)
    }
}

impl World {
    /// The switch to compact records is on record from the beginning.
    pub fn begin_compact(&mut self) {
        self.put_format(RecordFormat::Compact);
    }

    /// It is on record that every controller is of this version, and writes this form.
    pub(super) fn put_format(&mut self, records: RecordFormat) {
        let record = FormatRecord { records, since: 0 };
        let value = serde_json::to_value(record).unwrap();
        self.store.put(FORMAT_KEY, value);
    }

    pub fn all_new(&self) -> bool {
        (0..self.ctls.len()).all(|i| self.is_new(i))
    }

    /// The switch to compact records is on record.
    pub fn is_switched(&self) -> bool {
        let value = self.store.peek(FORMAT_KEY);
        value.is_some_and(|value| FormatRecord::read(&value).records == RecordFormat::Compact)
    }

    /// What controller `i` takes a question for.
    pub(super) fn as_understood(&self, i: usize, ask: Request) -> Request {
        let Request::Submit(body) = &ask else {
            return ask;
        };
        if self.is_new(i) {
            return ask;
        }
        let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
            return ask;
        };
        match fields.remove(NEEDS) {
            Some(_) => Request::Submit(Value::Object(fields).to_string().into_bytes()),
            None => ask,
        }
    }

    /// While a process of the version in production may lead, it can read all records.
    pub(super) fn check_readable(&mut self) {
        if self.versions.are_played() && !self.is_switched() {
            let all = self.store.all().into_iter();
            let unread = all.filter(|(key, value)| !production_reads(key, value));
            let text = |key| format!("unreadable: {key} while the old version may lead");
            self.broken.extend(unread.map(|(key, _)| text(key)));
        }
    }
}
