package org.copperspindle.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.PoolSettings;
import org.copperspindle.config.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The deployment files that ship with the project are valid and have the intended settings.
 */
class DeploymentFilesTest {

    private static final int CLIENT_ACCOUNTS = 5;

    @ParameterizedTest
    @CsvSource({
        "wijzerplaat, 4, engines, 13, false",
        "wijzerplaat, 4, gallery, 4, false",
        "wijzerplaat, 4, upload, 4, true",
        "wijzerplaat, 4, sync, 4, true",
        "wijzerplaat, 4, moderation, 4, true",
        "aarebogen, 3, engines, 8, false",
        "aarebogen, 3, classroom, 3, false",
        "aarebogen, 3, editorial, 4, true",
        "aarebogen, 3, member, 4, true",
        "aarebogen, 3, print-planning, 4, true"
    })
    void poolHasItsSizeAndSpreadsOverAllFailureDomains(
            String name, int failureDomains, String pool, int size, boolean reportsLoad) throws Exception {
        Deployment deployment = load(name);
        PoolSettings settings = deployment.pool(pool).orElseThrow();

        assertThat(deployment.failureDomains()).hasSize(failureDomains);
        assertThat(settings.size()).isEqualTo(size);
        assertThat(settings.reportsLoad()).isEqualTo(reportsLoad);
        assertThat(settings.failureDomains()).isEqualTo(deployment.failureDomains());
    }

    @ParameterizedTest
    @ValueSource(strings = {"wijzerplaat", "aarebogen"})
    void clientAccountsHaveDemoKeys(String name) throws Exception {
        Deployment deployment = load(name);

        assertThat(deployment.name()).isEqualTo(name);
        assertThat(deployment.accounts()).hasSize(CLIENT_ACCOUNTS);
        for (AccountSettings account : deployment.accounts().values()) {
            assertThat(account.keyDigest()).isEqualTo(sha256("demo-" + name + "-" + account.name()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"wijzerplaat", "aarebogen"})
    void everyPipelineIsReachableWithinItsDeadline(String name) throws Exception {
        Deployment deployment = load(name);

        for (PipelineSettings pipeline : deployment.pipelines().values()) {
            List<AccountSettings> allowed = deployment.accounts().values().stream()
                    .filter(a -> a.pipelines().contains(pipeline.name()))
                    .toList();
            assertThat(allowed).as(pipeline.name()).isNotEmpty();
            assertThat(allowed)
                    .as(pipeline.name())
                    .anyMatch(a -> a.maxDeadline().compareTo(pipeline.deadline()) >= 0);
        }
    }

    @ParameterizedTest
    @CsvSource({"wijzerplaat, install", "wijzerplaat, upload", "aarebogen, exercise-sheet", "aarebogen, print-slot"})
    void callsThatMayNotRunTwiceAreUnrepeatable(String name, String pipeline) throws Exception {
        assertThat(load(name).pipeline(pipeline).orElseThrow().repeatable()).isFalse();
    }

    @Test
    void classroomHasPriorityOverEditorialWork() throws Exception {
        Deployment deployment = load("aarebogen");

        assertThat(deployment.pipeline("lesson").orElseThrow().priority()).isEqualTo(Priority.INTERACTIVE);
        assertThat(deployment.pipeline("answer-check").orElseThrow().priority()).isEqualTo(Priority.INTERACTIVE);
        assertThat(deployment.pipeline("chapter-review").orElseThrow().priority())
                .isEqualTo(Priority.BATCH);
    }

    private static Deployment load(String name) throws Exception {
        return DeploymentLoader.load(Path.of("..", "conf", name + ".ini"));
    }

    private static String sha256(String text) throws Exception {
        byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest);
    }
}
