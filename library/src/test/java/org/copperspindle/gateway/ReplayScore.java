package org.copperspindle.gateway;

/** Outcomes of the requests of a kind. */
final class ReplayScore {
    int requests;
    int onTime;
    int late;
    int refused;
    private final double valueOnTime;
    private final double valueLate;

    ReplayScore(double valueOnTime, double valueLate) {
        this.valueOnTime = valueOnTime;
        this.valueLate = valueLate;
    }

    /** Returns the value of all responses. */
    double value() {
        return onTime * valueOnTime + late * valueLate;
    }

    /** Returns the earned part of the value of all requests. */
    double credit() {
        return value() / (requests * valueOnTime);
    }

    /** Returns the number of requests that got a response. */
    int served() {
        return onTime + late;
    }

    /** Returns the sum of two scores of one kind. */
    ReplayScore plus(ReplayScore other) {
        ReplayScore sum = new ReplayScore(valueOnTime, valueLate);
        sum.requests = requests + other.requests;
        sum.onTime = onTime + other.onTime;
        sum.late = late + other.late;
        sum.refused = refused + other.refused;
        return sum;
    }

    /** Returns the number of requests that have ended, whatever the outcome. */
    int ended() {
        return onTime + late + refused;
    }

    @Override
    public String toString() {
        return "requests " + requests + " on time " + onTime + " late " + late + " refused " + refused;
    }
}
