package org.copperspindle.cli;

/**
 * Exit codes of all commands.
 */
enum ExitCode {
    /** Done as asked. */
    SUCCESS(0),
    /** The command ran, and what it checked or asked for failed. */
    FAILED(1),
    /** Bad arguments or bad settings; nothing was started. */
    USAGE(2),
    /** It is not known whether the change was made. */
    UNKNOWN(3),
    /** An unexpected failure of the program itself. */
    INTERNAL(70);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
