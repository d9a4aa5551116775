package org.copperspindle.capacity;

import java.util.List;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A linear regression over measured points.
 *
 * @param name   what was measured
 * @param xUnit  unit of the horizontal axis
 * @param yUnit  unit of the vertical axis
 * @param points the measured points, at least two
 */
public record CapacitySlope(String name, String xUnit, String yUnit, List<Point> points) {

    /**
     * Returns the increase of y per unit of x.
     *
     * @return the slope
     */
    public double slope() {
        return regression().getSlope();
    }

    /**
     * Returns y at x = 0.
     *
     * @return the intercept
     */
    public double intercept() {
        return regression().getIntercept();
    }

    /**
     * Returns the goodness of the fit.
     *
     * @return coefficient of determination, 1 for a perfect line
     */
    public double fit() {
        return regression().getRSquare();
    }

    private SimpleRegression regression() {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.x(), point.y()));
        return regression;
    }

    /**
     * One measured point.
     *
     * @param x the load or size
     * @param y the measured cost
     */
    public record Point(double x, double y) {}
}
