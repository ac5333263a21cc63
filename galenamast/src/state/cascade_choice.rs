//! Price and latency estimates of a cascade, in which a cheap version answers first and a better
//! one answers if the first answer is rated too low.

use std::time::Duration;

use crate::state::quality_estimate::QualityEstimate;

/// Price of rating one answer, in micro-units of currency.
pub const RATING_PRICE: u64 = 20;
/// Time that rating one answer takes.
pub const RATING_TIME: Duration = Duration::from_millis(300);
/// Maximum expected time of both answers and the rating, as a fraction of the time left.
const MAX_DEADLINE_FRACTION: f64 = 0.5;
/// Margin by which the expected quality of a cascade must exceed the target.
const QUALITY_MARGIN: f64 = 0.01;
/// Fraction of the spread of ratings that reflects quality.
///
/// The rest is noise: answers selected by it are no better than the mean.
const RATING_RELIABILITY: f64 = 0.35;
/// Number of equal steps in which the search for the lowest accepted rating goes from two standard
/// deviations below the target to two above it.
const ACCEPT_STEPS: u32 = 16;

/// Expected outcome of a cascade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeEstimate {
    /// Lowest rating at which the first answer is kept.
    pub accept_rating: f64,
    /// Expected price with the rating and the escalations, in micro-units of currency.
    pub price: f64,
    /// Expected latency, in microseconds.
    pub latency_micros: f64,
}

/// Estimates the cheapest cascade from one version to another that meets the target.
///
/// Each version is given with the price of its answer. Returns `None` if no accepted rating meets
/// the target or the time left is too short.
pub fn estimate_cascade(
    first: (&QualityEstimate, u64),
    second: (&QualityEstimate, u64),
    target: f64,
    time_left: Duration,
) -> Option<CascadeEstimate> {
    let (first, first_price) = first;
    let (second, second_price) = second;
    let rating_micros = RATING_TIME.as_micros() as f64;
    let longest_micros = first.latency_micros + rating_micros + second.latency_micros;
    if longest_micros > MAX_DEADLINE_FRACTION * time_left.as_micros() as f64 {
        return None;
    }
    for step in 0..=ACCEPT_STEPS {
        let fraction = f64::from(step) / f64::from(ACCEPT_STEPS);
        let accept_rating = target + (4.0 * fraction - 2.0) * first.deviation;
        let z = (accept_rating - first.mean) / first.deviation.max(1e-6);
        let kept = 1.0 - normal_cdf(z);
        let gain = RATING_RELIABILITY * first.deviation * normal_density(z);
        let kept_quality = kept * first.mean + gain;
        // The second version answers the harder requests, so it loses what the first one gains.
        let quality = kept_quality + (1.0 - kept) * second.mean - gain;
        if quality < target + QUALITY_MARGIN {
            continue;
        }
        let escalated = 1.0 - kept;
        return Some(CascadeEstimate {
            accept_rating: accept_rating.clamp(0.0, 1.0),
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
