package larkworks;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Finds out from {@code /proc} whether a process owns the remote end of a connection on this machine. */
public final class SocketOwner {

    /** Columns of the tables {@code /proc/net/tcp} and {@code /proc/net/tcp6}. */
    private static final int LOCAL = 1;
    private static final int REMOTE = 2;
    private static final int INODE = 9;

    private SocketOwner() { }

    /**
     * Returns whether a process owns the remote end of a socket; false if the process or that end is gone.
     */
    public static boolean holds(Process process, Socket near) {
        try {
            String inode = inode(near.getPort(), near.getLocalPort());
            if (inode.isEmpty() || !process.isAlive()) {
                return false;
            }
            try (DirectoryStream<Path> files = Files.newDirectoryStream(
                    Path.of("/proc/" + process.pid() + "/fd"))) {
                for (Path file : files) {
                    if (target(file).equals("socket:[" + inode + "]")) {
                        return true;
                    }
                }
            }
            return false;
        } catch (IOException | UncheckedIOException e) {
            return false;
        }
    }

    private static String target(Path link) {
        try {
            return Files.readSymbolicLink(link).toString();
        } catch (IOException e) {
            return "";  // The descriptor was closed after the directory was listed.
        }
    }

    /** Returns the inode of the socket with these ports, or "" if there is none. */
    private static String inode(int localPort, int remotePort) throws IOException {
        for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.strip().split("\\s+");
                if (port(fields[LOCAL]) == localPort && port(fields[REMOTE]) == remotePort) {
                    return fields[INODE];
                }
            }
        }
        return "";
    }

    private static int port(String address) {
        int colon = address.indexOf(':');
        return colon < 0 ? -1 : Integer.parseInt(address.substring(colon + 1), 16);
    }
}
