package org.copperspindle.direct;

/**
 * What the content of a complete response shows about the call that it answers.
 */
public enum ResponseProof {
    /** It answers this call, as far as content can show; the connection may carry another one. */
    OWN,
    /** It may answer this call, and is harmless if it does not. No other call may follow on its connection. */
    UNPROVEN,
    /** It answers another call and must not be used; its connection is closed. */
    FOREIGN
}
