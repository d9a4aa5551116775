package org.copperspindle.engineload;

/**
 * What the choice of an engine needs to know of a prompt.
 *
 * @param shared       id of the part that other requests share
 * @param sharedTokens length of the shared part in tokens
 * @param tokens       length of the whole prompt in tokens
 */
public record EnginePrompt(String shared, long sharedTokens, long tokens) {

    /**
     * Returns how many tokens an engine has to read.
     *
     * @param cached true if the engine has cached the shared part
     * @return tokens
     */
    public long unreadTokens(boolean cached) {
        return cached ? tokens - sharedTokens : tokens;
    }
}
