//! Lines through measured points.

use hookworks_scale::fit::Fit;

#[test]
fn points_on_a_line_give_it_back() {
    let fit = Fit::of(&[(3.0, 7.0), (1.0, 3.0), (2.0, 5.0), (5.0, 11.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.at_zero - 1.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9 && fit.linear);
    assert_eq!(fit.reaches(101.0).map(f64::round), Some(50.0));
    assert!((fit.at(10.0) - 21.0).abs() < 1e-9);
}

#[test]
fn a_curve_is_called_not_linear_and_its_range_of_slopes_is_told() {
    let square: Vec<_> = (0..6).map(|x| (f64::from(x), f64::from(x * x))).collect();
    let fit = Fit::of(&square).unwrap();
    assert!(!fit.linear, "{fit:?}");
    assert_eq!(fit.slope_range, (1.0, 9.0));
}

#[test]
fn one_size_gives_no_line_and_a_falling_one_reaches_nothing() {
    assert_eq!(Fit::of(&[(1.0, 2.0), (1.0, 3.0)]), None);
    let falling = Fit::of(&[(0.0, 5.0), (1.0, 4.0)]).unwrap();
    assert_eq!(falling.reaches(9.0), None);
}
