package larkworks.proxy;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Shows whether another process of this proxy lives: each holds a lock on a file of its own in a folder that
 * they share. The system ends the lock with the process, however that ends.
 */
final class Presence {

    private static final String PREFIX = "alive-";

    private final Path folder;
    private final Path own;
    /** Open as long as the process lives; closing it would end the lock. */
    private final FileChannel channel;

    Presence(Path folder) throws IOException {
        this.folder = folder;
        own = Files.createTempFile(folder, PREFIX, "");
        channel = FileChannel.open(own, StandardOpenOption.WRITE);
        channel.lock();
    }

    /** Whether another process lives. Files of processes that ended are removed. */
    boolean accompanied() throws IOException {
        boolean others = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                others |= !file.equals(own) && locked(file);
            }
        }
        return others;
    }

    private static boolean locked(Path file) throws IOException {
        try (FileChannel other = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = other.tryLock()) {
            if (lock != null) {
                Files.deleteIfExists(file);
            }
            return lock == null;
        } catch (OverlappingFileLockException e) {
            // Held within this JVM, by another proxy in it.
            return true;
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    /** As if the process ended. */
    void close() throws IOException {
        channel.close();
    }
}
