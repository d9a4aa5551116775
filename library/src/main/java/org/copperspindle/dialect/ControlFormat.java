package org.copperspindle.dialect;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * How operators and upstreams of a deployment write what they want of a node.
 */
public interface ControlFormat {

    /**
     * Returns how an upstream announces itself.
     *
     * @return method and start of the path; the upstream's id follows
     */
    ControlCall announce();

    /**
     * Returns how an upstream says that it leaves.
     *
     * @return method and start of the path; the upstream's id follows
     */
    ControlCall leave();

    /**
     * Returns how an operator sends a configuration.
     *
     * @return method and path
     */
    ControlCall putTable();

    /**
     * Returns how an operator reads the newest configuration.
     *
     * @return method and path
     */
    ControlCall readTable();

    /**
     * Returns how an operator has a failure domain evacuated.
     *
     * @return method and start of the path; the failure domain's name follows
     */
    ControlCall evacuate();

    /**
     * Returns how an operator has a failure domain used again.
     *
     * @return method and start of the path; the failure domain's name follows
     */
    ControlCall endEvacuation();

    /**
     * Returns the content type of configurations.
     *
     * @return for example {@code application/json}
     */
    String tableType();

    /**
     * Writes which version was accepted.
     *
     * @param version the newest accepted version
     * @return the body
     */
    JsonNode acceptedBody(long version);

    /**
     * Writes an error.
     *
     * @param text what is wrong
     * @return the body
     */
    JsonNode errorBody(String text);

    /**
     * Reads an announcement. It may come from a writer of another kind or version: what it does not say in full names no
     * upstream.
     *
     * @param id   id of the upstream
     * @param body what it says
     * @return the announcement
     * @throws IllegalArgumentException if something is missing or wrong; names the field
     */
    UpstreamRecord readAnnouncement(String id, JsonNode body);

    /**
     * Reads which life of an upstream leaves.
     *
     * @param body what the upstream says when it leaves
     * @return its incarnation; {@link UpstreamRecord#UNKNOWN_INCARNATION} if it does not say so
     * @throws IllegalArgumentException if what it says is wrong; names the field
     */
    long readDeparture(JsonNode body);

    /**
     * A call of a node.
     *
     * @param method HTTP method
     * @param path   path, or its start
     */
    record ControlCall(String method, String path) {}
}
