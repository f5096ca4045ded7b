//! Users that look closely: right after a job was accepted, ended or confirmed as
//! cancelled they ask at all controllers every few milliseconds, and repeat the
//! submission; some cancel at once.

use super::{Ev, World};
use hookworks::ids::JobId;
use hookworks::wire::peer::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub struct CloseLooks {
    /// For how long users ask after each piece of news, and how often.
    pub for_s: f64,
    pub every_s: f64,
    /// Chance that the news makes a user cancel.
    pub cancels: f64,
    rng: StdRng,
}

impl CloseLooks {
    pub fn new(seed: u64, cancels: f64) -> CloseLooks {
        CloseLooks {
            for_s: 3.0,
            every_s: 0.012,
            cancels,
            rng: StdRng::seed_from_u64(seed),
        }
    }
}

impl World {
    /// A user has learned something new of this job.
    pub(super) fn look_closely(&mut self, id: &JobId) {
        let Some(mut looks) = self.close_looks.take() else {
            return;
        };
        let spec = self.specs.contains_key(id).then(|| self.body_of(id));
        let mut at = 0.0;
        while at < looks.for_s {
            at += looks.rng.random_range(0.001..2.0 * looks.every_s);
            let via = looks.rng.random_range(0..self.ctls.len());
            let ask = match &spec {
                Some(body) if looks.rng.random_bool(0.2) => Request::Submit(body.clone()),
                _ => Request::Poll(id.to_string()),
            };
            self.at(at, Ev::UserVia(via, ask));
        }
        if looks.cancels > 0.0 && looks.rng.random_bool(looks.cancels) {
            let (at, via) = (
                looks.rng.random_range(0.0..0.1),
                looks.rng.random_range(0..self.ctls.len()),
            );
            for k in 0..4 {
                let ask = Request::Cancel(id.to_string());
                self.at(at + 0.5 * k as f64, Ev::UserVia(via, ask));
            }
        }
        self.close_looks = Some(looks);
    }
}
