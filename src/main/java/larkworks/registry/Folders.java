package larkworks.registry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Files that are there whole or not at all, also after a power cut. */
final class Folders {

    private Folders() { }

    /**
     * Takes a folder, made where there is none, for this process alone.
     *
     * @return what holds it until it is closed, or the process ends
     * @throws IOException where another has it
     */
    static FileChannel lock(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel file = FileChannel.open(folder.resolve("lock"), StandardOpenOption.WRITE,
                StandardOpenOption.CREATE);
        try {
            if (isLocked(file)) {
                return file;
            }
        } catch (IOException e) {
            file.close();
            throw e;
        }
        file.close();
        throw new IOException(folder + ": another process holds this data directory");
    }

    private static boolean isLocked(FileChannel file) throws IOException {
        try {
            FileLock lock = file.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;  // by this process itself
        }
    }

    /** Has the names in a folder on disk. */
    static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Writes a file beside, then puts it in place of what was there. */
    static void replace(Path file, ByteBuffer content) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".tmp");
        try (FileChannel channel = FileChannel.open(beside, StandardOpenOption.WRITE,
                StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (content.hasRemaining()) {
                channel.write(content);
            }
            channel.force(true);
        } catch (IOException e) {
            Files.deleteIfExists(beside);
            throw e;
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        sync(file.toAbsolutePath().getParent());
    }
}
