//! Whether a cascade is expected to be cheaper than one adequate version.

use std::time::Duration;

use crate::state::quality_estimate::QualityEstimate;

/// Price of rating one answer, in micro-units of currency.
pub const RATING_PRICE: u64 = 20;
/// Time that rating one answer takes.
pub const RATING_TIME: Duration = Duration::from_millis(300);
/// Expected time of a cascade relative to the time left, up to which the deadline has room.
const DEADLINE_SHARE: f64 = 0.5;
/// Expected quality above the target that a cascade needs.
const QUALITY_MARGIN: f64 = 0.01;
/// Share of the spread of ratings that is of quality; the rest is noise, which keeps no promise.
const RATING_RELIABILITY: f64 = 0.35;
/// Number of ratings tried as the lowest that is accepted.
const ACCEPT_STEPS: u32 = 16;

/// Expected outcome of a cascade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeEstimate {
    /// Lowest rating at which the first answer is kept.
    pub accept_rating: f64,
    /// Expected price, with the rating and the escalations.
    pub price: f64,
    /// Expected latency, in microseconds.
    pub latency_micros: f64,
}

/// Estimates the cheapest cascade from one version to another that meets the target.
pub fn estimate_cascade(
    first: (&QualityEstimate, u64),
    second: (&QualityEstimate, u64),
    target: f64,
    time_left: Duration,
) -> Option<CascadeEstimate> {
    let (first, first_price) = first;
    let (second, second_price) = second;
    let rating_micros = RATING_TIME.as_micros() as f64;
    let longest = first.latency_micros + rating_micros + second.latency_micros;
    if longest > DEADLINE_SHARE * time_left.as_micros() as f64 {
        return None;
    }
    for step in 0..=ACCEPT_STEPS {
        let above = f64::from(step) / f64::from(ACCEPT_STEPS);
        let accept = target + (4.0 * above - 2.0) * first.deviation;
        let z = (accept - first.mean) / first.deviation.max(1e-6);
        let kept = 1.0 - normal_cdf(z);
        let gain = RATING_RELIABILITY * first.deviation * normal_density(z);
        let kept_quality = kept * first.mean + gain;
        // The second version answers the harder requests, and so loses what the first one gains.
        let quality = kept_quality + (1.0 - kept) * second.mean - gain;
        if quality < target + QUALITY_MARGIN {
            continue;
        }
        let escalated = 1.0 - kept;
        return Some(CascadeEstimate {
            accept_rating: accept.clamp(0.0, 1.0),
            price: first_price as f64 + RATING_PRICE as f64 + escalated * second_price as f64,
            latency_micros: first.latency_micros
                + rating_micros
                + escalated * second.latency_micros,
        });
    }
    None
}

/// Returns the density of the standard normal distribution.
fn normal_density(z: f64) -> f64 {
    (-0.5 * z * z).exp() / (2.0 * std::f64::consts::PI).sqrt()
}

/// Returns the distribution function of the standard normal distribution, to about 1e-4.
fn normal_cdf(z: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.33267 * z.abs());
    let tail = normal_density(z) * t * (0.436_183_6 + t * (-0.120_167_6 + t * 0.937_298));
    if z >= 0.0 { 1.0 - tail } else { tail }
}
