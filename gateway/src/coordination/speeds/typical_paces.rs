//! Typical paces of a service's answers, by kind of request and load of the server.

use std::sync::Arc;

/// Paces of a kind without which there is no typical one.
const MIN_PACES: f64 = 8.0;
/// Most kinds that are told apart; configurations name a few models and tens of routes. Paces of
/// further kinds are not used.
const MAX_KINDS: usize = 256;

/// Moments of the paces of one kind, from which a linear function of the load is fitted.
#[derive(Clone, Copy, Debug, Default)]
struct PaceMoments {
    count: f64,
    load: f64,
    seconds: f64,
    load_variance: f64,
    covariance: f64,
}

impl PaceMoments {
    /// Adds a pace.
    fn record(&mut self, load: f64, seconds: f64) {
        self.count += 1.0;
        let weight = 1.0 / self.count;
        let (load_off, seconds_off) = (load - self.load, seconds - self.seconds);
        self.load += weight * load_off;
        self.seconds += weight * seconds_off;
        let kept = 1.0 - weight;
        self.load_variance = kept * (self.load_variance + weight * load_off * load_off);
        self.covariance = kept * (self.covariance + weight * load_off * seconds_off);
    }

    /// Returns the typical seconds under a load. Load never makes an answer faster, and an answer
    /// without load takes at least a quarter of the mean.
    fn typical(&self, load: f64) -> f64 {
        let slope = if self.load_variance > 0.0 {
            (self.covariance / self.load_variance).max(0.0)
        } else {
            0.0
        };
        let seconds = self.seconds + slope * (load - self.load);
        seconds.max(self.seconds / 4.0).max(f64::MIN_POSITIVE)
    }
}

/// Typical paces of answers, by service and kind of request.
#[derive(Clone, Debug, Default)]
pub struct TypicalPaces {
    kinds: Vec<(Arc<str>, Arc<str>)>,
    moments: Vec<PaceMoments>,
}

impl TypicalPaces {
    /// Returns the number of a service's kind of requests; `None` if there are too many.
    pub fn kind(&mut self, service: &Arc<str>, kind: &Arc<str>) -> Option<u16> {
        let is_same = |known: &(Arc<str>, Arc<str>)| known.0 == *service && known.1 == *kind;
        let position = self.kinds.iter().position(is_same);
        let number = match position {
            Some(number) => number,
            None if self.kinds.len() >= MAX_KINDS => return None,
            None => {
                self.kinds.push((service.clone(), kind.clone()));
                self.moments.push(PaceMoments::default());
                self.kinds.len() - 1
            }
        };
        u16::try_from(number).ok()
    }

    /// Drops all paces, to record the current ones anew.
    pub fn clear(&mut self) {
        self.moments.fill(PaceMoments::default());
    }

    /// Records the seconds that an answer of a kind takes under a load at a typical server.
    pub fn record(&mut self, kind: u16, load: u16, seconds: f64) {
        if let Some(moments) = self.moments.get_mut(usize::from(kind)) {
            moments.record(f64::from(load), seconds);
        }
    }

    /// Returns the typical seconds of an answer under a load; `None` if too few are known of its kind.
    ///
    /// ```
    /// use galenamast_gateway::coordination::speeds::TypicalPaces;
    ///
    /// let mut paces = TypicalPaces::default();
    /// let kind = paces.kind(&"engines".into(), &"small".into()).expect("there is one kind");
    /// for load in 0..16 {
    ///     paces.record(kind, load, 0.01 + 0.001 * f64::from(load));
    /// }
    /// let typical = paces.typical(kind, 20).expect("paces are known");
    /// assert!((typical - 0.03).abs() < 1e-9);
    /// ```
    pub fn typical(&self, kind: u16, load: u16) -> Option<f64> {
        let moments = self.moments.get(usize::from(kind))?;
        let is_known = moments.count >= MIN_PACES;
        is_known.then(|| moments.typical(f64::from(load)))
    }
}
