package org.copperspindle.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class BadSettingsTest {

    @TempDir
    private Path folder;

    /** A settings file has three mistakes: the command reports all three, starts nothing and exits with 2. */
    @Test
    void runReportsEveryMistakeAndExitsWithTwo() throws Exception {
        Path file = Files.writeString(
                folder.resolve("bad.ini"),
                "[process]\nid = a\nlisten = here\n[entry]\nlisten = 127.0.0.1:0\ncolour = red\n");
        PrintStream before = System.err;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setErr(new PrintStream(printed, true, StandardCharsets.UTF_8));
        ExitCode code;
        try {
            code = Copperspindle.run(new String[] {"run", "--settings", file.toString()});
        } finally {
            System.setErr(before);
        }
        assertThat(code.code()).isEqualTo(2);
        assertThat(printed.toString(StandardCharsets.UTF_8))
                .contains(
                        file + ": [process] failure-domain: missing; expected the failure domain of this VM",
                        file + ": [process] listen: bad value 'here'; expected IP:PORT",
                        file + ": [entry] colour: unknown key; expected one of");
    }
}
