//! Measured decode rates.
//!
//! A declared power may be wrong, or a runner may be slow for a while. The
//! time between tokens at a runner, scaled by its declared power, is compared
//! with what all runners show at a like number of calls on an accelerator.

/// Share of a new sample in a mean.
const SAMPLE_SHARE: f64 = 0.1;
/// Classes of load, by the binary logarithm of the calls on an accelerator.
const CLASSES: usize = 10;
/// Bounds of the measured power, relative to the declared one.
const RANGE: std::ops::RangeInclusive<f64> = 0.2..=2.0;

/// Times between tokens over all runners, by load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reference {
    /// Mean time in ms at power 1; none before the first sample.
    means: [Option<f64>; CLASSES],
}

impl Reference {
    /// Takes in the time between tokens of one call; returns the runner's new speed.
    ///
    /// `gap_ms` is scaled by the declared power, `load` counts the calls on an accelerator.
    pub(crate) fn sample(&mut self, speed: f64, load: f64, gap_ms: f64) -> f64 {
        let gap = gap_ms.max(0.01);
        let mean = &mut self.means[class(load)];
        let usual = mean.map_or(gap, |usual| blend(usual, gap));
        *mean = Some(usual);
        let shown = (usual / gap).clamp(*RANGE.start(), *RANGE.end());
        blend(speed, shown)
    }
}

fn blend(mean: f64, sample: f64) -> f64 {
    mean + SAMPLE_SHARE * (sample - mean)
}

fn class(load: f64) -> usize {
    let mut bound = 1.0;
    let mut class = 0;
    while load > bound && class + 1 < CLASSES {
        bound *= 2.0;
        class += 1;
    }
    class
}
