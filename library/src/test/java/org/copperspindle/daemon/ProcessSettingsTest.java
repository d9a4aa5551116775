package org.copperspindle.daemon;

import java.util.Random;

import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class ProcessSettingsTest {

    private static final String VALID = """
            [process]
            id = entry-1
            failure-domain = north
            listen = 127.0.0.1:7400
            controls = 127.0.0.1:7500
            [entry]
            listen = 127.0.0.1:8080
            max-body = 1MiB
            read-timeout = 10s
            """;

    @ParameterizedTest(name = "{1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "id = entry-1              |                         | f.ini: [process] id: missing; expected a name unique",
                "listen = 127.0.0.1:7400   | listen = localhost:7400 | f.ini: [process] listen: bad value 'localhost:7400'; expected IP:PORT",
                "listen = 127.0.0.1:7400   | listen = 127.0.0.1:7x   | f.ini: [process] listen: bad value '127.0.0.1:7x'; expected IP:PORT",
                "listen = 127.0.0.1:7400   | listen = 127.0.0.1:70000 | f.ini: [process] listen: bad value '127.0.0.1:70000'; expected IP:PORT",
                "controls = 127.0.0.1:7500 | controls = 1.2.3.4:5, x | f.ini: [process] controls: bad value '1.2.3.4:5, x'; expected IP:PORT, IP:PORT",
                "max-body = 1MiB           | max-body = 1MB          | f.ini: [entry] max-body: bad value '1MB'; expected a size such as",
                "max-body = 1MiB           | max-body = 1GiB         | f.ini: [entry] max-body: bad value '1GiB'; expected a size such as",
                "max-body = 1MiB           | max-body = 9999999999999999GiB | f.ini: [entry] max-body: bad value",
                "max-body = 1MiB           | max-connections = 0     | f.ini: [entry] max-connections: bad value '0'; expected a whole number from 1",
                "max-body = 1MiB           | maxbody = 1MiB          | f.ini: [entry] maxbody: unknown key; expected one of",
                "read-timeout = 10s        | read-timeout = 10       | f.ini: [entry] read-timeout: bad value '10'; expected a duration such as",
                "read-timeout = 10s        | read-timeout = 999999999999d | f.ini: [entry] read-timeout: bad value",
                "read-timeout = 10s        | read-timeout = ${env:HOME} | f.ini: [entry] read-timeout: bad value '${env:HOME}'; expected a duration",
                "id = entry-1              | id = a~id = b           | f.ini: [process] id: given 2 times; expected one value",
                "[entry]                   | [entri]                 | f.ini: [entri]: unknown section; expected one of",
                "[process]                 | x = 1~[process]         | f.ini: keys outside any section",
                "[process]                 | [other]                  | f.ini: [process]: section missing"
            })
    void eachProblemIsReported(String from, String to, String expected) {
        String text = VALID.replace(from, to == null ? "" : to.replace('~', '\n'));
        assertThat(text).isNotEqualTo(VALID);

        SettingsException failure = catchThrowableOfType(
                SettingsException.class, () -> ProcessSettings.read(SettingsFile.parse("f.ini", text)));

        assertThat(failure).hasMessageContaining(expected);
    }

    @Test
    void allProblemsAreReportedTogether() {
        String text = VALID.replace("7400", "x").replace("1MiB", "big").replace("10s", "soon") + "colour = red\n";

        SettingsException failure = catchThrowableOfType(
                SettingsException.class, () -> ProcessSettings.read(SettingsFile.parse("f.ini", text)));

        assertThat(failure.problems()).hasSize(4);
        assertThat(failure.getMessage().lines()).hasSize(4).allMatch(line -> line.startsWith("f.ini: ["));
    }

    /**
     * Each of 5,000 damaged files (seed 5) is read, or refused with a list of its problems; no other exception and
     * no hang.
     */
    @Test
    void damagedFilesAreReadOrRefused() {
        Random random = new Random(5);
        int refused = 0;
        for (int i = 0; i < 5000; i++) {
            StringBuilder text = new StringBuilder(VALID);
            for (int damage = random.nextInt(4); damage >= 0; damage--) {
                int at = random.nextInt(text.length());
                if (random.nextBoolean()) {
                    text.setCharAt(at, (char) random.nextInt(256));
                } else {
                    text.delete(at, Math.min(text.length(), at + random.nextInt(20)));
                }
            }
            try {
                ProcessSettings.read(SettingsFile.parse("f.ini", text.toString()));
            } catch (SettingsException e) {
                assertThat(e.problems()).isNotEmpty();
                refused++;
            }
        }
        assertThat(refused).isBetween(1, 4999);
    }
}
