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
 * Shows whether another process of this proxy is alive: each process locks a file of its own in a folder that
 * they share. The system releases the lock when the process ends, however it ends.
 */
final class ProcessLock {

    private static final String FILE_PREFIX = "alive-";

    private final Path folder;
    private final Path ownFile;
    /** Open as long as the process is alive; closing it would release the lock. */
    private final FileChannel channel;

    ProcessLock(Path folder) throws IOException {
        this.folder = folder;
        ownFile = Files.createTempFile(folder, FILE_PREFIX, "");
        channel = FileChannel.open(ownFile, StandardOpenOption.WRITE);
        channel.lock();
    }

    /** Returns whether another process is alive, and removes files of processes that have ended. */
    boolean isOtherProcessAlive() throws IOException {
        boolean isAnyAlive = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            for (Path file : files) {
                isAnyAlive |= !file.equals(ownFile) && isLocked(file);
            }
        }
        return isAnyAlive;
    }

    private static boolean isLocked(Path file) throws IOException {
        try (FileChannel otherChannel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = otherChannel.tryLock()) {
            if (lock != null) {
                Files.deleteIfExists(file);
            }
            return lock == null;
        } catch (OverlappingFileLockException e) {
            // The lock belongs to another proxy within this JVM.
            return true;
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    /** Releases the lock, as the end of the process would. */
    void close() throws IOException {
        channel.close();
    }
}
