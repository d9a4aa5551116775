package org.copperspindle.cli;

/**
 * Exit codes of all commands.
 */
enum ExitCode {
    /** The command succeeded. */
    SUCCESS(0),
    /** The command ran, but its check failed or its request was refused. */
    FAILED(1),
    /** Invalid arguments or settings; nothing was started. */
    USAGE(2),
    /** It is not known whether the change was made. */
    UNKNOWN(3),
    /** Unexpected internal error. */
    INTERNAL(70);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
