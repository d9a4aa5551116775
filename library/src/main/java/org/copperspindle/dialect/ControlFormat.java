package org.copperspindle.dialect;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * Format of the control requests that the operators and upstreams of a deployment send to a node.
 */
public interface ControlFormat {

    /**
     * Returns the call by which an upstream announces itself.
     *
     * @return method and prefix of the path; the upstream's id follows
     */
    ControlCall announce();

    /**
     * Returns the call by which an upstream announces that it leaves.
     *
     * @return method and prefix of the path; the upstream's id follows
     */
    ControlCall leave();

    /**
     * Returns the call by which an operator submits a configuration.
     *
     * @return method and path
     */
    ControlCall putTable();

    /**
     * Returns the call by which an operator reads the newest configuration.
     *
     * @return method and path
     */
    ControlCall readTable();

    /**
     * Returns the call by which an operator evacuates a failure domain.
     *
     * @return method and prefix of the path; the failure domain's name follows
     */
    ControlCall evacuate();

    /**
     * Returns the call by which an operator ends the evacuation of a failure domain.
     *
     * @return method and prefix of the path; the failure domain's name follows
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
     * Reads an announcement. It may come from a sender of another kind or version; one that lacks a field does not
     * identify an upstream.
     *
     * @param id   id of the upstream
     * @param body the announcement
     * @return the announcement
     * @throws IllegalArgumentException if a field is missing or invalid; names the field
     */
    UpstreamRecord readAnnouncement(String id, JsonNode body);

    /**
     * Reads the incarnation of an upstream that leaves.
     *
     * @param body the message that the upstream sends when it leaves
     * @return its incarnation; {@link UpstreamRecord#UNKNOWN_INCARNATION} if it is absent
     * @throws IllegalArgumentException if it is invalid; names the field
     */
    long readDeparture(JsonNode body);

    /**
     * Method and path of a call to a node.
     *
     * @param method HTTP method
     * @param path   path, or its prefix
     */
    record ControlCall(String method, String path) {}
}
