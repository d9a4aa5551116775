package org.copperspindle.admission;

/**
 * Asks the controller of a pool group when the stages of this node's requests may start. Runs on the network thread.
 */
public interface StageStarts {

    /** Starts nothing at other nodes: each request is decided by its own node. */
    StageStarts LOCAL = new StageStarts() {
        @Override
        public boolean isShort(StagedRequest request) {
            return false;
        }

        @Override
        public void request(StagedRequest request, long id, Listener listener) {
            listener.decideLocally();
        }

        @Override
        public void cancel(long id) {
            // Nothing waits.
        }
    };

    /**
     * Returns whether the controller must be asked about a request.
     *
     * @param request the request
     * @return false if no pool that it uses is short, or if the controller does not respond; the node then decides
     *     itself
     */
    boolean isShort(StagedRequest request);

    /**
     * Asks the controller. The listener is called exactly once unless the start request is cancelled, possibly before this
     * method returns.
     *
     * @param request  the request
     * @param id       id that this process has not used before
     * @param listener receives the decision
     */
    void request(StagedRequest request, long id, Listener listener);

    /**
     * Cancels the start request of a request that has ended; its listener is not called any more.
     *
     * @param id the id
     */
    void cancel(long id);

    /** Receives the decision of the controller. */
    interface Listener {

        /** Called when the stages may start now. */
        void start();

        /**
         * Called when the stages can't start in the request's time.
         *
         * @param retryAfterNanos time after which the caller should retry
         */
        void refuse(long retryAfterNanos);

        /** Called when the controller does not respond: the node decides by itself. */
        void decideLocally();
    }
}
