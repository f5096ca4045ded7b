//! A hash over all effects that the schedulers give out, to compare two versions.

use hookworks::ids::Epoch;
use hookworks::sched::Effect;

/// Everything that the schedulers of one world have given out, in order, as a CRC-32.
///
/// The hash is taken over what goes on the wire, never over the names that the code
/// gives to it, so that renaming types and fields doesn't change it.
#[derive(Default)]
pub struct EffectLog {
    hasher: crc32fast::Hasher,
    effects: u64,
}

impl EffectLog {
    /// Adds one effect of controller `controller`, which leads in `epoch`, at `now` (µs).
    pub fn add(&mut self, now: u64, controller: usize, epoch: Epoch, effect: &Effect) {
        let line = format!("{now} {controller} {} {}\n", epoch.0, text(effect));
        self.hasher.update(line.as_bytes());
        self.effects += 1;
    }

    /// The hash of all that was added until now.
    pub fn hash(&self) -> u32 {
        self.hasher.clone().finalize()
    }

    /// How many effects were added.
    pub fn effects(&self) -> u64 {
        self.effects
    }
}

fn text(effect: &Effect) -> String {
    match effect {
        Effect::Answer(request, answer) => {
            let (retry, valid) = (answer.retry_after, answer.valid_us);
            let (status, body) = (answer.status, &answer.body);
            format!("answer {} {status} {retry:?} {valid:?} {body}", request.0)
        }
        Effect::ReadFinal(job) => format!("read-final {job}"),
        Effect::ReadRecord(request, job) => format!("read-record {} {job}", request.0),
        Effect::Orders {
            call,
            host,
            addr,
            orders,
        } => {
            let orders = serde_json::to_string(orders).expect("orders are JSON");
            format!("orders {} {host} {addr} {orders}", call.0)
        }
        Effect::Rent(hire) => {
            let hire = serde_json::to_string(hire).expect("a request to the cloud is JSON");
            format!("hire {hire}")
        }
        Effect::Release(hosts) => {
            let hosts = serde_json::to_string(hosts).expect("names are JSON");
            format!("release {hosts}")
        }
    }
}
