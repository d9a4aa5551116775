package org.copperspindle.dialect;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.gateway.GatewayRequestResult;
import org.copperspindle.gateway.ResumePoint;
import org.copperspindle.http.EmbeddedCaller;
import org.copperspindle.http.HeaderField;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeaderCallerDialectTest {

    private static final String LAST_EVENT_ID = "Last-Event-Id";

    private final HeaderCallerDialect dialect = new HeaderCallerDialect(HeaderNames.STANDARD);

    /** Guards against events that a caller gets twice or not at all: it does not say after which one it goes on. */
    @Test
    void severalLastEventIdsAreRefused() {
        assertThat(read(LAST_EVENT_ID, "5", LAST_EVENT_ID, "9")).isInstanceOf(GatewayRequestResult.Invalid.class);
    }

    /** Guards against a stream that is taken up elsewhere than where it began, because two beginnings are named. */
    @Test
    void severalFirstRequestsNameNone() {
        String resumes = HeaderNames.STANDARD.resumes();
        assertThat(resumePoint(LAST_EVENT_ID, "5", resumes, "a", resumes, "b"))
                .contains(new ResumePoint("5", Optional.empty()));
        assertThat(resumePoint(LAST_EVENT_ID, "5", resumes, "a")).contains(new ResumePoint("5", Optional.of("a")));
    }

    private Optional<ResumePoint> resumePoint(String... fields) {
        return ((GatewayRequestResult.Valid) read(fields)).request().resumePoint();
    }

    private GatewayRequestResult read(String... fields) {
        List<HeaderField> all = new ArrayList<>(List.of(new HeaderField(HeaderNames.STANDARD.requestId(), "id")));
        for (int i = 0; i < fields.length; i += 2) {
            all.add(new HeaderField(fields[i], fields[i + 1]));
        }
        return dialect.read(new EmbeddedCaller(all).exchange());
    }
}
