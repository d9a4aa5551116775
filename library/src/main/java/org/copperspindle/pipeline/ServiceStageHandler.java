package org.copperspindle.pipeline;

import org.copperspindle.config.StageSettings;

/**
 * Calls plain services: the caller's body and the response are passed through unchanged.
 */
final class ServiceStageHandler implements StageHandler {

    @Override
    public String path(StageSettings stage) {
        return stage.path();
    }

    @Override
    public byte[] request(StageContext context, StageSettings stage, boolean streaming) {
        return context.body();
    }

    @Override
    public void accept(StageContext context, byte[] body, String contentType, boolean streaming) {
        context.answer(body, contentType);
    }
}
