//! Measured decode speed of runners.
//!
//! A declared power may be wrong, or a runner may be slow for a while. The
//! time between tokens at a runner, scaled by its declared power, is compared
//! with the mean over all runners at a similar number of calls per accelerator.

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of load classes, by the binary logarithm of the calls per accelerator.
const LOAD_CLASSES: usize = 10;
/// Bounds of the measured speed, relative to the declared power.
const SPEED_BOUNDS: std::ops::RangeInclusive<f64> = 0.2..=2.0;

/// Mean time between tokens over all runners, by load class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reference {
    /// Mean time between tokens at power 1, in ms; `None` before the first sample.
    means: [Option<f64>; LOAD_CLASSES],
}

impl Reference {
    /// Records the time between tokens of one call and returns the runner's new speed.
    ///
    /// `speed` is the runner's previous speed, `load` its calls per accelerator,
    /// and `gap_ms` the time between tokens scaled by the declared power.
    pub(crate) fn sample(&mut self, speed: f64, load: f64, gap_ms: f64) -> f64 {
        let gap = gap_ms.max(0.01);
        let mean = &mut self.means[load_class(load)];
        let average = mean.map_or(gap, |average| moving_average(average, gap));
        *mean = Some(average);
        let measured = (average / gap).clamp(*SPEED_BOUNDS.start(), *SPEED_BOUNDS.end());
        moving_average(speed, measured)
    }
}

fn moving_average(mean: f64, sample: f64) -> f64 {
    mean + SAMPLE_WEIGHT * (sample - mean)
}

fn load_class(load: f64) -> usize {
    let mut bound = 1.0;
    let mut class = 0;
    while load > bound && class + 1 < LOAD_CLASSES {
        bound *= 2.0;
        class += 1;
    }
    class
}
