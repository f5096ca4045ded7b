//! What the slopes predict.

use crate::bounds::Demand;
use crate::slopes::{Axis, Series, Slopes};

/// The slopes as a prediction: the line along the workers' axis, and along each
/// other axis what it adds or takes against that axis's base.
pub struct Model<'s> {
    slopes: &'s Slopes,
}

impl<'s> Model<'s> {
    /// Made from the options or the parts given.
    pub fn new(slopes: &'s Slopes) -> Model<'s> {
        Model { slopes }
    }

    /// What the series were run with besides their own axis.
    fn base(series: &Series, axis: Axis) -> f64 {
        match axis {
            Axis::Workers => series.workers as f64,
            Axis::Starts => series.starts,
            Axis::Teams => series.teams as f64,
            Axis::Zones => series.zones as f64,
        }
    }

    /// The measure under this demand; none without a line along the workers' axis.
    pub fn at(&self, measure: &str, d: &Demand) -> Option<f64> {
        let main = self.slopes.series.get(&Axis::Workers)?;
        let mut value = main.fits.get(measure)?.at(d.workers);
        let others = [
            (Axis::Starts, d.starts),
            (Axis::Teams, d.teams),
            (Axis::Zones, d.zones),
        ];
        for (axis, wanted) in others {
            let fit = self
                .slopes
                .series
                .get(&axis)
                .and_then(|s| s.fits.get(measure));
            if let Some(fit) = fit {
                value += fit.slope * (wanted - Model::base(main, axis));
            }
        }
        Some(value.max(0.0))
    }

    /// At how many machines, starts in proportion, the measure reaches `bound`.
    pub fn ends_at(&self, measure: &str, bound: f64) -> Option<f64> {
        let (low, high) = (1000.0, 2000.0);
        let (a, b) = (
            self.at(measure, &Demand::at(low))?,
            self.at(measure, &Demand::at(high))?,
        );
        let slope = (b - a) / (high - low);
        (slope > 0.0).then(|| low + (bound - a) / slope)
    }
}
