package larkworks.proxy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HashSet;
import java.util.Set;

/**
 * Stores the backends in maintenance in a folder that outlives the process, as one empty file per backend,
 * named after the backend's Base64-encoded id. Two live processes share the folder; with a file per backend
 * neither overwrites what the other stored.
 */
final class MaintenanceStore {

    private static final String FILE_PREFIX = "out-";

    private final Path folder;

    MaintenanceStore(Path folder) {
        this.folder = folder;
    }

    private static String encode(String text) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private Path backendFile(String backend) {
        return folder.resolve(FILE_PREFIX + encode(backend));
    }

    /** Stores that the backend is in maintenance; visible to other processes once this returns. */
    void add(String backend) throws IOException {
        Path file = backendFile(backend);
        if (!Files.exists(file)) {
            Files.write(file, new byte[0]);
        }
    }

    void remove(String backend) throws IOException {
        Files.deleteIfExists(backendFile(backend));
    }

    /** Returns the ids of all backends in maintenance. */
    Set<String> backends() throws IOException {
        Set<String> backends = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, FILE_PREFIX + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString().substring(FILE_PREFIX.length());
                backends.add(new String(Base64.getUrlDecoder().decode(name), StandardCharsets.UTF_8));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("a file in " + folder + " has a name that is not '" + FILE_PREFIX
                    + "' and a Base64-encoded backend id", e);
        }
        return backends;
    }
}
