package org.copperspindle.disk;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Makes changes of a folder durable.
 */
public final class FolderSync {

    private FolderSync() {}

    /**
     * Syncs a folder, so that files created, renamed or deleted in it survive a crash.
     *
     * @param folder the folder
     * @throws IOException if it can't be synced
     */
    public static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
