use super::{Line, fit};

#[test]
fn a_line_through_its_own_points_misses_nothing() {
    let points = [(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)];
    let line = Line {
        base: 3.0,
        slope: 2.0,
        residual: 0.0,
    };
    assert_eq!(fit(&points), line);
}

#[test]
fn the_residual_is_the_root_of_the_mean_square() {
    let line = fit(&[(0.0, 1.0), (0.0, -1.0), (1.0, 1.0), (1.0, -1.0)]);
    assert_eq!((line.base, line.slope, line.residual), (0.0, 0.0, 1.0));
}

#[test]
fn points_at_one_place_give_a_level_line() {
    let line = fit(&[(3.0, 1.0), (3.0, 3.0)]);
    assert_eq!((line.base, line.slope), (2.0, 0.0));
}
