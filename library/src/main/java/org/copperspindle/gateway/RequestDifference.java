package org.copperspindle.gateway;

/**
 * In what a call differs from every request in progress.
 */
enum RequestDifference {
    /** No request has its id. */
    ID("id"),

    /** A request has its id, none of these its method. */
    METHOD("method"),

    /** A request has its id and method, none of these its target: path and query. */
    URI("uri");

    private final String label;

    RequestDifference(String label) {
        this.label = label;
    }

    /** Returns its name in metrics and log lines. */
    String label() {
        return label;
    }
}
