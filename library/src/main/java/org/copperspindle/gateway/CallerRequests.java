package org.copperspindle.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The requests whose callers wait for a response of this node, by id. Ids are given by callers, so that several may have the same.
 */
final class CallerRequests {

    private final Map<String, List<GatewayRequest>> byId = new HashMap<>();

    void add(GatewayRequest request) {
        byId.merge(
                request.id(),
                List.of(request),
                (known, added) -> Stream.concat(known.stream(), added.stream()).toList());
    }

    void remove(GatewayRequest request) {
        byId.computeIfPresent(request.id(), (id, known) -> known.size() == 1 ? null : without(known, request));
    }

    /**
     * Compares a call with the requests of its id. The strings of a call are normally those of its request, so that
     * comparing them costs nothing more.
     *
     * @param id     id that the call bears
     * @param method its HTTP method
     * @param uri    its target as in the request line
     * @return empty if there is a request with all three
     */
    Optional<RequestDifference> findDifference(String id, String method, String uri) {
        List<GatewayRequest> known = byId.getOrDefault(id, List.of());
        if (known.isEmpty()) {
            return Optional.of(RequestDifference.ID);
        }
        boolean hasMethod = false;
        for (GatewayRequest request : known) {
            boolean isMethod = request.method().equals(method);
            if (isMethod && request.uri().equals(uri)) {
                return Optional.empty();
            }
            hasMethod |= isMethod;
        }
        return Optional.of(hasMethod ? RequestDifference.URI : RequestDifference.METHOD);
    }

    private static List<GatewayRequest> without(List<GatewayRequest> requests, GatewayRequest removed) {
        return requests.stream().filter(request -> request != removed).toList();
    }
}
